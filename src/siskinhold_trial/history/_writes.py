"""Checks of the effects of writes: guarantees 1, 2, 5 and 6."""

from collections.abc import Iterable, Sequence

from siskinhold.model import Failed, NotRun, NotRunReason, Position, StatementKind

from ._records import Commits, DatabaseRecord, History, Invocation, find_acknowledged
from ._violations import (
    NotRunButRan,
    RanTwice,
    ReadMissedOwnWrite,
    Violation,
    WriteLost,
    WriteOnReplacedPrimary,
)


def check_read_your_writes(history: History) -> list[Violation]:
    """Check guarantee 1: a read returns all acknowledged appends of its session.

    Only appends are checked, because another session may overwrite a value that
    was set. Reads inside a transaction must also return its own appends. After
    `position_lost` a session's earlier writes are no longer required.
    """
    acknowledged = {invocation.tag for invocation in find_acknowledged(history)}
    appends: dict[tuple[str, str], list[Invocation]] = {}
    violations: list[Violation] = []
    for invocation in history.invocations:
        parsed = invocation.parsed
        session_key = (invocation.session, parsed.key)
        if _is_position_lost(invocation):
            appends = {
                key: own for key, own in appends.items() if key[0] != session_key[0]
            }
        if parsed.form == "append" and invocation.is_done:
            appends.setdefault(session_key, []).append(invocation)
        if parsed.form != "read" or not invocation.is_done:
            continue
        seen = _read_values(invocation)
        for write in appends.get(session_key, ()):
            own = write.transaction and write.transaction == invocation.transaction
            if not own and write.tag not in acknowledged:
                continue
            if write.parsed.value not in seen:
                violations.append(
                    ReadMissedOwnWrite(
                        subject=invocation.tag, detail=f"lacks write {write.tag}"
                    )
                )
    return violations


def check_acknowledged_kept(
    history: History, records: Iterable[DatabaseRecord]
) -> list[Violation]:
    """Check guarantee 2 (`acknowledge=replica`): acknowledged writes survive."""
    commits = Commits(records=records)
    violations: list[Violation] = []
    for invocation in find_acknowledged(history):
        if not any(commit.kept for commit in commits.find(invocation)):
            violations.append(
                WriteLost(subject=invocation.tag, detail="acknowledged, not kept")
            )
    return violations


def check_replaced_primary(
    history: History, records: Iterable[DatabaseRecord]
) -> list[Violation]:
    """Check guarantee 2: acknowledged writes ran before the primary was replaced.

    `check_acknowledged_kept` reports writes without any recorded commit.
    """
    commits = Commits(records=records)
    violations: list[Violation] = []
    for invocation in find_acknowledged(history):
        found = commits.find(invocation)
        if found and all(commit.replaced for commit in found):
            server = found[0].execution.server
            violations.append(
                WriteOnReplacedPrimary(subject=invocation.tag, detail=f"on {server}")
            )
    return violations


def check_not_run(
    history: History, records: Iterable[DatabaseRecord]
) -> list[Violation]:
    """Check guarantee 5: a refused statement has no effect, then or later.

    The same holds for a statement that failed on the backend server. A refused
    COMMIT covers the writes of its transaction. A commit of another attempt with
    the same key counts only if it came before the refusal, as a retry may run.
    """
    commits = Commits(records=records)
    violations: list[Violation] = []
    for invocation in history.invocations:
        if not isinstance(invocation.outcome, (NotRun, Failed)):
            continue
        effects = list(commits.by_tag.get(invocation.tag, ()))
        if invocation.kind is StatementKind.COMMIT and invocation.transaction:
            for write in history.invocations:
                if write.transaction == invocation.transaction:
                    effects.extend(commits.by_tag.get(write.tag, ()))
        if isinstance(invocation.outcome, NotRun) and invocation.marks.key:
            for commit in commits.by_key.get(invocation.marks.key, ()):
                if commit.execution.committed_at <= invocation.answered_at:
                    effects.append(commit)
        if effects:
            server = effects[0].execution.server
            violations.append(
                NotRunButRan(subject=invocation.tag, detail=f"committed on {server}")
            )
    return violations


def check_once(history: History, records: Sequence[DatabaseRecord]) -> list[Violation]:
    """Check guarantee 6: requests marked `once` run at most once.

    All attempts with the same key have at most one surviving commit in total. A
    statement without a key has at most one commit on any server.
    """
    commits = Commits(records=records)
    violations: list[Violation] = []
    seen: set[str] = set()
    for invocation in history.invocations:
        marks = invocation.marks
        if not marks.once or marks.key in seen:
            continue
        if marks.key:
            seen.add(marks.key)
        distinct_commits: set[tuple[str, Position | None]] = set()
        for commit in commits.find(invocation):
            if marks.key and not commit.kept:
                continue
            distinct_commits.add((commit.execution.server, commit.execution.position))
        if len(distinct_commits) > 1:
            violations.append(
                RanTwice(
                    subject=invocation.tag, detail=f"{len(distinct_commits)} commits"
                )
            )
    return violations


def _is_position_lost(invocation: Invocation) -> bool:
    outcome = invocation.outcome
    if not isinstance(outcome, NotRun):
        return False
    return outcome.reason is NotRunReason.POSITION_LOST


def _read_values(invocation: Invocation) -> list[str]:
    values: list[str] = []
    for row in invocation.outcome.rows:
        if row and row[0] is not None:
            values.extend(row[0].decode().split(","))
    return values
