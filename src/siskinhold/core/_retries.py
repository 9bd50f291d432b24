"""The retry budget, which keeps retries from multiplying the load after a fault."""

from ._scheduling_state import RetryWindow
from ._state import NodeState

RETRY_SHARE = 0.1
"""Allowed retries as a share of the requests of the last second."""
MIN_RETRIES = 10
"""Retries per second that are allowed at any load."""


def record_request(node: NodeState) -> None:
    """Count a request that this VM sent as entry VM or got from another VM."""
    window = _advance_window(node)
    window.requests[1] += 1


def spend_retry(node: NodeState) -> bool:
    """Count a retry if the budget allows it; return whether it does.

    The budget covers a sliding window of one second, estimated from the current
    calendar second and the share of the previous one that the window covers.
    """
    window = _advance_window(node)
    covered = 1 - node.now % 1
    requests = window.requests[0] * covered + window.requests[1]
    retries = window.retries[0] * covered + window.retries[1]
    if retries + 1 > max(MIN_RETRIES, RETRY_SHARE * requests):
        return False
    window.retries[1] += 1
    return True


def _advance_window(node: NodeState) -> RetryWindow:
    """Return the counters of this and the previous second, up to date."""
    window = node.scheduling.retries
    second = int(node.now)
    if second == window.second:
        return window
    follows = second == window.second + 1
    window.requests = [window.requests[1] if follows else 0, 0]
    window.retries = [window.retries[1] if follows else 0, 0]
    window.second = second
    return window
