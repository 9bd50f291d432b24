"""Programs of the stand-ins."""
