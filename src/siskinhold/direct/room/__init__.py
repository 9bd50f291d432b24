"""Room at backend servers that are slower than usual.

It answers a load that a server takes well when it is healthy: each server gets as many
reads as it answers in about the usual time, and the others take the rest.
"""

from ._choice import (
    defer_slowed_servers,
    estimate_slowdown,
    record_placement,
    was_judged,
)
from ._speeds import record_answer_time

__all__ = [
    "defer_slowed_servers",
    "estimate_slowdown",
    "record_answer_time",
    "record_placement",
    "was_judged",
]
