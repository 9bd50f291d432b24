"""The trial programs."""
