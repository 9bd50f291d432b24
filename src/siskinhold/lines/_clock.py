"""The runtime's clock.

It is finer than the event loop's, which stands still in an iteration: proof of a
primary rests on whether a command was sent before or after a statement arrived. And it
counts the time for which the VM is suspended, so that nothing known before counts as
recent after.
"""

import time


def read_clock() -> float:
    """Return the time since the start of the VM, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
