"""Runtime of a VM: passes events to the reducer and effects to the adapters."""

from ._driver import AdapterFailed, Driver

__all__ = ["AdapterFailed", "Driver"]
