"""Graceful shutdown, which lets requests and transactions in flight end."""

from dataclasses import dataclass

from ..effects import CloseCaller, Stop, StopListening
from ..events import ShutdownRequested
from ._cut_off import cut_off
from ._entries import close_if_drained
from ._state import Effects, NodeState, record
from ._timers import TimerAction

CHECK_INTERVAL = 0.05
"""Seconds between two checks for requests and transactions in flight."""
MIN_DRAIN_DELAY = 1.0
"""Seconds for the other VMs and the load balancer to learn that this VM leaves,
before its sessions are drained."""
ANSWER_TIMEOUT = 57.0
"""Seconds from the start of the shutdown, `MIN_DRAIN_DELAY` included, after which
statements still in flight are answered as not run or unknown."""
DRAIN_TIMEOUT = 59.0
"""Seconds from the start of the shutdown after which the VM stops even if callers have
not received their answers."""


@dataclass(slots=True, frozen=True)
class DrainCheck(TimerAction):
    """Due time of the next check whether the shutdown can complete."""


def _begin_shutdown(node: NodeState, event: ShutdownRequested, out: Effects) -> None:
    """Stop listening, and schedule the checks that complete the shutdown.

    `_membership` handles the same event and announces this VM as leaving.
    """
    if node.shutting_down:
        return
    node.shutting_down = True
    node.shutdown_began = node.now
    out.append(StopListening())
    record(out, "shutdown_began", cause="requested")
    node.timers.schedule(node.now + CHECK_INTERVAL, DrainCheck())


def _check_drain(node: NodeState, action: DrainCheck, out: Effects) -> None:
    """Stop the VM if nothing is in flight or `DRAIN_TIMEOUT` has passed.

    What is still in flight at `ANSWER_TIMEOUT` is answered and closed.
    """
    elapsed = node.now - node.shutdown_began
    if elapsed >= MIN_DRAIN_DELAY:
        _drain_sessions(node, out)
    if elapsed >= ANSWER_TIMEOUT:
        cut_off(node, out)
    waiting = elapsed < MIN_DRAIN_DELAY or _count_in_flight(node) > 0
    if waiting and elapsed < DRAIN_TIMEOUT:
        node.timers.schedule(node.now + CHECK_INTERVAL, DrainCheck())
        return
    record(
        out,
        "shutdown_complete",
        cause="drained" if not waiting else "drain time is over",
        detail=(
            ("in_flight", _count_in_flight(node)),
            ("took_ms", round(elapsed * 1000)),
        ),
    )
    for number in node.sessions.sessions:
        out.append(CloseCaller(session=number, reason="shutdown"))
    out.append(Stop())


def _drain_sessions(node: NodeState, out: Effects) -> None:
    """Start to drain all sessions: each closes when nothing in it is open.

    Otherwise callers that send one statement after the other would keep the VM
    from ever being idle, and `DRAIN_TIMEOUT` would cut their statements off.
    """
    for session in node.sessions.sessions.values():
        if session.draining:
            continue
        session.draining = True
        if session.request is None:
            close_if_drained(session, out)


def _count_in_flight(node: NodeState) -> int:
    """Return the number of jobs, transactions and sessions in flight.

    It counts the unanswered jobs and open transactions of this VM's pools, and its
    sessions with their statements in progress. A session ends when its caller has
    received the last answer, which takes a slow caller a while.
    """
    count = len(node.pools.jobs) + len(node.pools.transactions)
    count += len(node.sessions.requests) + len(node.sessions.sessions)
    return count


EVENTS = {ShutdownRequested: _begin_shutdown}
MESSAGES: dict = {}
TIMERS = {DrainCheck: _check_drain}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
