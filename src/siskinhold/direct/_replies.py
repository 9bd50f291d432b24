"""Replies to callers, with their log lines and metrics."""

from ._copies import describe_copy
from ._effects import CloseCaller, Log, Observe, ReplyCaller
from ._state import DirectState, Effects, Job, JobState, Session
from ._types import Answer, Refusal, Statement

DONE = Answer()
"""Answer to a successful statement that needs no backend server."""


def reply(
    state: DirectState,
    session: Session,
    answer: Answer,
    out: Effects,
    *,
    ends_session: bool = True,
) -> None:
    """Answer the current statement of a session, with its transaction's state.

    A session that is to be closed is closed if it has no open transaction.

    Args:
        ends_session: False for an answer after which the caller will go on, as it has
            only prepared what it wants to run.
    """
    session.active_at = state.now
    if state.shutdown_at is not None:
        state.stop_counts.count_answer(answer.refusal)
    out.append(
        ReplyCaller(
            session=session.number,
            answer=Answer(
                rows=answer.rows,
                signature=answer.signature,
                refusal=answer.refusal,
                detail=answer.detail,
                transaction=session.state,
            ),
            held=session.held,
        )
    )
    if ends_session and session.closing and session.transaction is None:
        close_session(state, session, out)


def close_session(state: DirectState, session: Session, out: Effects) -> None:
    """Close a session without a running statement.

    It ends once its caller has got everything, and its connection is closed. Callers
    don't count that as a failure.
    """
    if not session.end_ordered:
        session.end_ordered = True
        state.stop_counts.callers_closed += 1
    out.append(CloseCaller(session=session.number))


def refuse(
    state: DirectState,
    session: Session,
    statement: Statement,
    refusal: Refusal,
    reason: str,
    out: Effects,
    *,
    detail: str = "",
) -> None:
    """Refuse a statement that was not submitted to a backend server.

    Args:
        detail: text sent to the caller; the reason by default.
    """
    fields = [
        ("request", statement.request),
        ("session", session.number),
        ("database", session.database),
        ("outcome", refusal.value),
        ("reason", reason),
    ]
    if session.account:
        fields.append(("account", session.account))
    fields += describe_copy(state)
    out.append(Log(event="refused", fields=tuple(fields)))
    out.append(Observe(metric="refused_total", label=reason))
    reply(state, session, Answer(refusal=refusal, detail=detail or reason), out)


def end_job(
    state: DirectState, job: Job, answer: Answer, reason: str, out: Effects
) -> None:
    """End a job and answer its caller, if it is still connected.

    Args:
        reason: cause of the outcome, for the log and the metrics.
    """
    if job.state is JobState.ENDED:
        return
    job.state = JobState.ENDED
    session = job.session
    if session.work is job:
        session.work = None
    refusal = answer.refusal
    out.append(
        Log(
            event="answered",
            fields=(
                ("request", job.statement.request),
                ("session", session.number),
                ("route", job.route.database),
                ("service", job.route.service),
                ("kind", job.statement.kind.value),
                ("server", job.server),
                ("attempts", job.attempts),
                ("took_ms", round((state.now - job.arrived_at) * 1000)),
                ("position", _format_position(answer)),
                ("outcome", "done" if refusal is None else refusal.value),
                ("reason", reason),
            ),
            essential=refusal is not None,
        )
    )
    out.append(
        Observe(
            metric="statement_seconds",
            value=state.now - job.arrived_at,
            label=job.statement.kind.value,
        )
    )
    if refusal is not None:
        out.append(Observe(metric="refused_total", label=reason))
    if session.number in state.sessions:
        reply(state, session, answer, out)


def _format_position(answer: Answer) -> str:
    """Return an answer's log position as `TERM.OFFSET`, `-` for none."""
    if answer.position is None:
        return "-"
    return f"{answer.position.term}.{answer.position.offset}"
