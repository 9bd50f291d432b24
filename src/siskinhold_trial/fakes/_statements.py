"""Execution of statements on a fake server: locks, slots and transactions."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from siskinhold.model import Column, Done, Failed, Position, RequestId, Role

from ._log import Change, Execution, apply_change
from ._sql import Parsed, parse

if TYPE_CHECKING:
    from ._server import FakeServer

LOCK_WAIT_TIMEOUT_SECONDS = 2.0
"""Seconds after which a wait for a row lock rolls the transaction back."""


@dataclass(slots=True, kw_only=True)
class Result:
    """The result of a statement on the server."""

    outcome: Done | Failed
    position: Position | None = None
    in_transaction: bool = False


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A statement that waits or runs on a server."""

    session: "Session"
    parsed: Parsed
    key: str
    autocommit: bool
    answer: Callable[[Result], None]
    execution: Execution
    term: int


@dataclass(slots=True, kw_only=True, eq=False)
class Session:
    """The server's end of a connection.

    Args:
        on_close: called when the server closes it.
        silent: half-open: messages are lost and neither end notices.
        rolled_back: its transaction was rolled back by a new term; the next
            statement fails.
    """

    number: int
    vm: str
    control: bool
    on_close: Callable[[], None]
    silent: bool = False
    closed: bool = False
    closing: bool = False
    rolled_back: bool = False
    job: Job | None = None
    transaction: int = 0
    changes: list[Change] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    locks: list[str] = field(default_factory=list)


class Executor:
    """Runs statements from the start of a server's process to its end.

    Args:
        server: the server.
    """

    def __init__(self, *, server: "FakeServer") -> None:
        self.running = 0
        self._server = server
        self._transactions = 0
        self._queue: deque[Job] = deque()
        self._locks: dict[str, Session] = {}
        self._lock_waits: dict[str, deque[Job]] = {}

    def submit(
        self,
        session: Session,
        *,
        request: RequestId,
        sql: str,
        answer: Callable[[Result], None],
        key: str = "",
        autocommit: bool = True,
    ) -> None:
        """Queue a statement; `answer` is called when it ends."""
        parsed = parse(sql)
        execution = Execution(
            arrived_at=self._server.world.now(),
            server=self._server.endpoint.name,
            connection=session.number,
            request=request,
            form=parsed.form,
            tag=parsed.tag,
            key=key,
        )
        self._server.database.executions.append(execution)
        job = Job(
            session=session,
            parsed=parsed,
            key=key,
            autocommit=autocommit,
            answer=answer,
            execution=execution,
            term=self._server.term,
        )
        session.job = job
        self._acquire_locks(job)

    def _acquire_locks(self, job: Job) -> None:
        needed = [f"key {job.key}"] if job.key else []
        if job.parsed.lock or job.parsed.form in ("set", "append"):
            needed.append(f"row {job.parsed.key}")
        for name in needed:
            holder = self._locks.get(name)
            if holder is job.session:
                continue
            if holder is not None:
                self._wait_for_lock(job, name)
                return
            self._locks[name] = job.session
            job.session.locks.append(name)
        if job.parsed.form in ("begin", "rollback"):
            self.running += 1
            self._finish(job)
        elif self.running < self._server.endpoint.slots and not self._queue:
            self._start(job)
        else:
            self._queue.append(job)

    def _wait_for_lock(self, job: Job, name: str) -> None:
        self._lock_waits.setdefault(name, deque()).append(job)
        self._server.call_later(
            LOCK_WAIT_TIMEOUT_SECONDS, self._expire_lock_wait, job, name
        )

    def _expire_lock_wait(self, job: Job, name: str) -> None:
        waits = self._lock_waits.get(name, ())
        if job not in waits:
            return
        waits.remove(job)
        self.end_transaction(job.session)
        self._reply(job, _make_failure(1213, "40001", "deadlock found"))

    def _start(self, job: Job) -> None:
        self.running += 1
        cost = job.parsed.cost
        if cost is None:
            cost = self._server.database.draw_service_time()
        self._server.call_later(cost, self._finish, job)

    def _finish(self, job: Job) -> None:
        self.running -= 1
        result = self._run(job)
        while self._queue and self.running < self._server.endpoint.slots:
            self._start(self._queue.popleft())
        self._reply(job, result)

    def _reply(self, job: Job, result: Result) -> None:
        session = job.session
        session.job = None
        result.in_transaction = session.transaction != 0
        if isinstance(result.outcome, Done):
            result.position = self._server.log.position
        if session.closing:
            self._server.close_session(session)
        else:
            job.answer(result)

    def _run(self, job: Job) -> Result:
        session, form = job.session, job.parsed.form
        if session.rolled_back:
            session.rolled_back = False
            self.end_transaction(session)
            if form != "rollback":
                return _make_failure(1290, "HY000", "the term changed; rolled back")
        if form == "begin" and session.transaction:
            self._commit(session)
        autocommitted = not session.transaction and self._is_autocommitted(job)
        if not session.transaction and not autocommitted:
            self._transactions += 1
            session.transaction = self._transactions
        result = self._apply(job)
        if not autocommitted and form != "commit":
            return result
        if isinstance(result.outcome, Failed):
            self.end_transaction(session)
        else:
            self._commit(session)
        return result

    def _is_autocommitted(self, job: Job) -> bool:
        if job.parsed.form == "begin":
            return False
        return job.autocommit or job.parsed.form == "rollback"

    def _apply(self, job: Job) -> Result:
        session, parsed, execution = job.session, job.parsed, job.execution
        execution.transaction = session.transaction
        if parsed.form == "invalid":
            return _make_failure(1064, "42000", "syntax error")
        if parsed.form == "rollback":
            self.end_transaction(session)
            return Result(outcome=Done())
        changing = parsed.is_write or job.key
        if changing or (parsed.form == "commit" and session.changes):
            if self._server.role is not Role.PRIMARY or job.term != self._server.term:
                return _make_failure(1290, "HY000", "the server is not the primary")
        if job.key:
            if self._has_key(session, job.key):
                self.end_transaction(session)
                return Result(outcome=Done(repeated=True))
            session.changes.append(("key", job.key, ""))
        execution.ran_at = self._server.world.now()
        if parsed.form == "read":
            return Result(outcome=self._read(session, parsed))
        session.executions.append(execution)
        if parsed.is_write:
            session.changes.append((parsed.form, parsed.key, parsed.value))
            return Result(outcome=Done(affected_rows=1))
        return Result(outcome=Done())

    def _has_key(self, session: Session, key: str) -> bool:
        return ("key", key, "") in session.changes or key in self._server.log.keys

    def _read(self, session: Session, parsed: Parsed) -> Done:
        value = self._server.log.rows.get(parsed.key)
        for form, row, change in session.changes:
            if row == parsed.key and form in ("set", "append"):
                value = apply_change(value, form, change)
        columns = (Column("v"),)
        cells = [None if value is None else value.encode()]
        if parsed.value:
            columns = (Column("v"), Column("id"))
            cells.append(parsed.value.encode())
        return Done(columns=columns, rows=(tuple(cells),))

    def _commit(self, session: Session) -> None:
        if session.changes:
            position = self._server.database.write(self._server, session.changes)
            for execution in session.executions:
                execution.committed_at = self._server.world.now()
                execution.position = position
        self.end_transaction(session)

    def end_transaction(self, session: Session) -> None:
        """Discard uncommitted changes, release the locks and grant them to waiters."""
        session.transaction = 0
        session.changes = []
        session.executions = []
        released, session.locks = session.locks, []
        for name in released:
            self._locks.pop(name, None)
        for name in released:
            waits = self._lock_waits.get(name)
            if waits and name not in self._locks:
                self._acquire_locks(waits.popleft())


def _make_failure(code: int, sqlstate: str, message: str) -> Result:
    return Result(outcome=Failed(code=code, sqlstate=sqlstate, message=message))
