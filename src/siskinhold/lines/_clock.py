"""The runtime's clock, finer than the event loop's, which stands still in an iteration.

Proof of a primary rests on whether a command was sent before or after a statement
arrived, so both must not fall on one reading.
"""

import time

read_clock = time.monotonic
"""Return the time in seconds; a pause of the machine is not counted."""
