"""How long backend servers take for statements, relative to their usual time.

Times are compared as logarithms: a few long statements among many short ones are usual,
and would dominate a mean of seconds. Each kind of statement has a usual time of its
own, so that a server that gets the long ones does not look slow.
"""

import math

from .._effects import Log, Observe
from .._server_state import Purpose, Server
from .._speed_state import Slowdown, UsualTime
from .._state import DirectState, Effects, Job

SLOW_FACTOR = 2.5
"""Multiple of the usual time from which a server counts as slowed. Below it, another
server's answer would gain callers less than the way to a further zone costs."""

USUAL_FACTOR = 1.6
"""Multiple of the usual time up to which an answer of a slowed server counts as usual.
It is about the middle, as ratios, between the usual time and `SLOW_FACTOR`."""

MIN_ANSWERS = 6
"""Answers before a server is judged: fewer don't tell slowness from long statements."""

MIN_USUAL_ANSWERS = 20
"""Answers before a usual time is compared with."""

ANSWER_WEIGHT = 0.15
"""Weight of an answer in a server's average, which six slow answers then decide."""

USUAL_WEIGHT = 0.01
"""Weight of an answer in a usual time: it changes over minutes, not with a fault."""

ACCEPTANCE_PERIOD = 60.0
"""Seconds after which the times of a slowed server count as usual ones."""

FIRST_PAUSE = 0.1
"""Seconds between two reads of a server that was just found to be slowed."""

MAX_PAUSE = 0.8
"""Upper limit of the seconds between two reads: a recovery shows within about it."""

LIMIT_DECREASE = 0.5
"""Factor of the limit after a slow answer."""

LIMIT_GROWTH = 2.0
"""Increase of the limit per second of usual answers: a server with four slots has all
its reads back after two seconds. It is divided by one more after each setback, as each
further attempt costs callers slow answers."""

MAX_GROWTH_PERIOD = 0.25
"""Seconds without answers for which the limit grows at most."""


def record_answer_time(
    state: DirectState, server: Server, job: Job, seconds: float, out: Effects
) -> None:
    """Record the time of a statement that a server ran.

    Time that it spent behind other statements of this VM is not counted: a server with
    fewer slots than this VM has connections is not slow.
    """
    sent_at = state.now - seconds
    waiting = count_own_statements(server) + 1
    seconds *= min(1.0, max(1, server.entry.slots) / waiting)
    logarithm = math.log(max(seconds, 1e-4))
    kind = (server.entry.zone, job.route.database, job.commits)
    usual = state.speeds.usual.setdefault(kind, UsualTime())
    slowdown = server.slowdown
    if usual.answers >= MIN_USUAL_ANSWERS:
        _judge(state, server, logarithm - usual.mean, sent_at, out)
    slowed_at = slowdown.slowed_at
    if slowed_at is None or state.now - slowed_at >= ACCEPTANCE_PERIOD:
        usual.answers += 1
        weight = max(USUAL_WEIGHT, 1.0 / usual.answers)
        usual.mean += weight * (logarithm - usual.mean)


def count_own_statements(server: Server) -> int:
    """Return the number of this VM's statements that a server has yet to answer."""
    count = 0
    for connection in server.connections.values():
        for command in connection.pending:
            if command.purpose is Purpose.JOB:
                count += 1
    return count


def _judge(
    state: DirectState, server: Server, deviation: float, sent_at: float, out: Effects
) -> None:
    """Count an answer, and find whether the server has slowed down or recovered.

    Args:
        deviation: logarithm of the statement's time relative to the usual one.
    """
    slowdown = server.slowdown
    slowdown.answers += 1
    slowdown.mean += ANSWER_WEIGHT * (deviation - slowdown.mean)
    if slowdown.slowed_at is not None:
        _adjust_limit(state, server, deviation, sent_at, out)
        return
    if slowdown.answers < MIN_ANSWERS or slowdown.mean < math.log(SLOW_FACTOR):
        return
    slowdown.slowed_at = state.now
    slowdown.pause = FIRST_PAUSE
    slowdown.next_read_at = state.now + FIRST_PAUSE
    _log_change(
        "server_slowed", server, ("times", round(math.exp(slowdown.mean), 1)), out
    )
    out.append(Observe(metric="slowdowns_total"))


def _adjust_limit(
    state: DirectState, server: Server, deviation: float, sent_at: float, out: Effects
) -> None:
    """Adjust what a slowed server gets: less after a slow answer, else more.

    Below one statement at once, its reads are spread by a pause. Once the limit exceeds
    the server's slots, it has recovered.
    """
    slowdown = server.slowdown
    if deviation > math.log(USUAL_FACTOR):
        if sent_at < slowdown.reduced_at:
            # It was sent under the higher limit, which has been reduced since.
            return
        if slowdown.limit > 1.0:
            slowdown.setbacks += slowdown.limit >= 2.0
            slowdown.limit = max(1.0, slowdown.limit * LIMIT_DECREASE)
        else:
            slowdown.pause = min(MAX_PAUSE, max(FIRST_PAUSE, 2 * slowdown.pause))
        slowdown.reduced_at = slowdown.adjusted_at = state.now
        return
    if slowdown.pause > 0:
        slowdown.pause = slowdown.pause / 4 if slowdown.pause > FIRST_PAUSE else 0.0
        slowdown.next_read_at = min(slowdown.next_read_at, state.now + slowdown.pause)
    else:
        elapsed = min(state.now - slowdown.adjusted_at, MAX_GROWTH_PERIOD)
        slowdown.limit += LIMIT_GROWTH * elapsed / (1 + slowdown.setbacks)
    slowdown.adjusted_at = state.now
    if slowdown.limit <= server.entry.slots:
        return
    after = round((state.now - slowdown.slowed_at) * 1000)
    server.slowdown = Slowdown(recovered_at=state.now)
    _log_change("server_recovered", server, ("after_ms", after), out)


def _log_change(
    event: str, server: Server, detail: tuple[str, float], out: Effects
) -> None:
    """Log that a server has slowed down or recovered."""
    out.append(
        Log(
            event=event,
            fields=(("server", server.entry.server), detail),
            essential=True,
        )
    )
