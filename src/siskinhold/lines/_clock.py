"""The clock of all events and timeouts.

The event loop's clock is too coarse, as it is read once per iteration: to confirm a
primary, the core must know whether a command was sent before or after a statement
arrived. This clock also advances while the VM is suspended, so that information from
before a suspension doesn't count as recent afterwards.
"""

import time


def read_clock() -> float:
    """Return the time since the VM was booted, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
