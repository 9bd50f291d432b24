"""Records of a run that are checked: invocations, executions, fleet changes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from siskinhold.model import Done, Marks, Outcome, Position, RequestId, StatementKind
from siskinhold_trial.fakes import Execution, FakeDatabase, Parsed, Promotion, parse


@dataclass(slots=True, kw_only=True, eq=False)
class Invocation:
    """A statement and its answer as seen by the caller.

    Args:
        tag: unique text that the statement carries as `/* id=<tag> */`.
        session: the logical session, which may move between VMs.
        vm: the entry VM.
        called_at: when it was sent, in seconds of the run's clock.
        transaction: tag of the session's BEGIN; empty outside a transaction.
        answered_at: when the answer came or the connection closed; None if
            the run ended first.
        outcome: None if no answer came.
        request: request identity in the answer.
        positions: log positions in the answer.
        parsed: `sql`, parsed.
    """

    tag: str
    session: str
    vm: str
    kind: StatementKind
    sql: str
    called_at: float
    marks: Marks = Marks()
    transaction: str = ""
    answered_at: float | None = None
    outcome: Outcome | None = None
    request: RequestId | None = None
    positions: dict[str, Position] = field(default_factory=dict)
    parsed: Parsed = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self.parsed = parse(self.sql)

    @property
    def is_done(self) -> bool:
        """Whether the answer says that the statement ran."""
        return isinstance(self.outcome, Done)


@dataclass(slots=True, kw_only=True)
class Drain:
    """A drain of a server by a ticket; `undone_at` is None if it was not undone."""

    server: str
    at: float
    undone_at: float | None = None


@dataclass(slots=True, kw_only=True)
class VmLife:
    """One incarnation of a VM.

    Args:
        shutdown_at: when a graceful shutdown was requested, None if never.
        ended_at: when the process ended, None if it still runs.
        cut_off: (start, end) of each time in which other VMs were unreachable.
    """

    vm: str
    incarnation: int
    started_at: float
    shutdown_at: float | None = None
    ended_at: float | None = None
    cut_off: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class TicketEvent:
    """A ticket was accepted (`vm` is empty) or came into force on a VM."""

    at: float
    number: int
    identity: str = ""
    vm: str = ""
    incarnation: int = 0


@dataclass(slots=True, kw_only=True)
class History:
    """Everything that callers and operators of the fleet observed in one run.

    Args:
        stray: request identities of answers that no caller was waiting for.
    """

    invocations: list[Invocation] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    lives: list[VmLife] = field(default_factory=list)
    tickets: list[TicketEvent] = field(default_factory=list)
    stray: list[RequestId] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class DatabaseRecord:
    """The database's own record of the run.

    Args:
        kept: positions in the log of the last primary when the run ended.
    """

    executions: list[Execution]
    promotions: list[Promotion]
    kept: frozenset[Position] = frozenset()


def read_database(database: FakeDatabase) -> DatabaseRecord:
    """Return a fake database's record at the end of a run."""
    entries = database.find_primary().log.entries
    return DatabaseRecord(
        executions=database.executions,
        promotions=database.promotions,
        kept=frozenset(Position(entry.term, entry.offset) for entry in entries),
    )


@dataclass(slots=True, kw_only=True, eq=False)
class Commit:
    """A committed execution and whether it survived.

    Args:
        kept: whether the log of the last primary holds it.
        replaced: whether a promotion in a higher term had finished before it.
    """

    execution: Execution
    kept: bool
    replaced: bool


class Commits:
    """Committed executions by tag and by idempotency key."""

    def __init__(self, *, records: Iterable[DatabaseRecord]) -> None:
        self.by_tag: dict[str, list[Commit]] = {}
        self.by_key: dict[str, list[Commit]] = {}
        for record in records:
            for execution in record.executions:
                if execution.committed_at is None:
                    continue
                commit = Commit(
                    execution=execution,
                    kept=execution.position in record.kept,
                    replaced=_was_replaced(execution, record.promotions),
                )
                self.by_tag.setdefault(execution.tag, []).append(commit)
                if execution.key:
                    self.by_key.setdefault(execution.key, []).append(commit)

    def find(self, invocation: Invocation) -> list[Commit]:
        """Return the commits of a statement, or of all attempts with its key."""
        if invocation.marks.key:
            return self.by_key.get(invocation.marks.key, [])
        return self.by_tag.get(invocation.tag, [])


def find_acknowledged(history: History) -> list[Invocation]:
    """Return the acknowledged writes.

    A write in a transaction is acknowledged by a "done" answer to its COMMIT.
    """
    committed = set()
    for invocation in history.invocations:
        if invocation.kind is StatementKind.COMMIT and invocation.is_done:
            committed.add(invocation.transaction)
    found = []
    for invocation in history.invocations:
        if invocation.kind is not StatementKind.WRITE or not invocation.is_done:
            continue
        if invocation.transaction and invocation.transaction not in committed:
            continue
        found.append(invocation)
    return found


def _was_replaced(execution: Execution, promotions: list[Promotion]) -> bool:
    for promotion in promotions:
        if promotion.term <= execution.position.term:
            continue
        if promotion.at <= execution.committed_at:
            return True
    return False
