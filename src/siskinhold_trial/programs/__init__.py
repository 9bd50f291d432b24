"""Programs that run the stand-ins."""
