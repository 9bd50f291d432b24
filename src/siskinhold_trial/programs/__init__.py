"""The command-line programs of the stand-ins."""
