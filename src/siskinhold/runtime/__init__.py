"""The runtime: feeds events to the reducer and carries out its effects."""

from ._driver import AdapterFailed, Driver

__all__ = ["AdapterFailed", "Driver"]
