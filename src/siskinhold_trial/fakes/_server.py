"""One instance of a fake database: sessions, slots, row locks and terms."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from siskinhold.model import (
    BackendServer,
    Column,
    Done,
    Failed,
    Position,
    RequestId,
    Role,
    ServerStatus,
)

from ._log import Change, Execution, Log, Promotion, apply_change
from ._sql import Parsed, parse
from ._world import FakeWorld

if TYPE_CHECKING:
    from ._database import FakeDatabase

LOCK_WAIT_LIMIT = 2.0
"""Seconds after which a wait for a row lock rolls the transaction back."""

SILENT_SESSION_LIMIT = 10.0
"""Seconds after which a server closes a connection that went silent."""


class Rejected(Exception):
    """A control statement got error 3100."""


@dataclass(slots=True, kw_only=True)
class Result:
    """How a statement ended on the server; `ran` is that of `KeySettled`."""

    outcome: Done | Failed
    position: Position | None = None
    in_transaction: bool = False
    ran: bool | None = None


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A statement on its way through a server."""

    session: "Session"
    parsed: Parsed
    key: str
    autocommit: bool
    settle: bool
    answer: Callable[[Result], None]
    execution: Execution
    term: int


@dataclass(slots=True, kw_only=True, eq=False)
class Session:
    """A server's end of a connection.

    Args:
        lost: called when the server closes it.
        silent: nothing passes any more, though neither end is told.
        doomed: its transaction was rolled back when the term changed.
    """

    number: int
    vm: str
    control: bool
    lost: Callable[[], None]
    silent: bool = False
    closed: bool = False
    closing: bool = False
    doomed: bool = False
    job: Job | None = None
    transaction: int = 0
    changes: list[Change] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    locks: list[str] = field(default_factory=list)


class FakeServer:
    """One instance. Made by `FakeDatabase`.

    Args:
        world: the test's surroundings.
        database: what it is an instance of.
        place: the instance's configuration.
        primary: whether it leads term 1.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        database: "FakeDatabase",
        place: BackendServer,
        primary: bool,
    ) -> None:
        self.world = world
        self.database = database
        self.place = place
        self.term = 1
        self.role = Role.PRIMARY if primary else Role.REPLICA
        self.source = ""
        self.heard_at = world.now()
        self.lag = 0.0
        self.log = Log()
        self.alive = True
        self.frozen = False
        self.running = 0
        self.sessions: dict[int, Session] = {}
        self._numbers = 0
        self._epoch = 0
        self._stalled: list[tuple[Callable, tuple]] = []
        self._queue: deque[Job] = deque()
        self._locks: dict[str, Session] = {}
        self._lock_waits: dict[str, deque[Job]] = {}

    # Faults.

    def kill(self) -> None:
        """Stop the process: connections break and the log stays."""
        self.database.before_change()
        self.alive = False
        self.frozen = False
        self._epoch += 1
        self._stalled.clear()
        sessions, self.sessions = self.sessions, {}
        self._queue.clear()
        self._locks.clear()
        self._lock_waits.clear()
        self.running = 0
        for session in sessions.values():
            session.closed = True
            session.lost()

    def restart(self) -> None:
        """Start the process again, killing it first if it runs."""
        if self.alive:
            self.kill()
        self.alive = True
        self.database.after_change()

    def freeze(self) -> None:
        """Stop all work without closing anything."""
        self.database.before_change()
        self.frozen = True

    def unfreeze(self) -> None:
        """Go on with what has arrived meanwhile."""
        self.frozen = False
        stalled, self._stalled = self._stalled, []
        for call, args in stalled:
            self.receive(call, *args)
        self.database.after_change()

    def silence(self, vms: set[str] | None = None) -> None:
        """Make the open connections silent, of some VMs or of all."""
        for session in list(self.sessions.values()):
            if vms is None or session.vm in vms:
                self.silence_session(session)

    def silence_session(self, session: Session) -> None:
        """Make one connection silent; the server closes it much later."""
        if session.silent or session.closed:
            return
        session.silent = True
        self._later(SILENT_SESSION_LIMIT, self.close_session, session)

    # Connections.

    def receive(self, call: Callable, *args: object) -> None:
        """Do what a message asks: now, once unfrozen, or not at all if dead."""
        if self.frozen:
            self._stalled.append((call, args))
        elif self.alive:
            call(*args)

    def open_session(
        self,
        vm: str,
        lost: Callable[[], None] = lambda: None,
        *,
        control: bool = False,
    ) -> Session | None:
        """Return a new session, or None above the connection limit.

        Control sessions don't count towards the limit.
        """
        if not control:
            taken = sum(not session.control for session in self.sessions.values())
            if taken >= self.place.connections:
                return None
        self._numbers += 1
        session = Session(number=self._numbers, vm=vm, control=control, lost=lost)
        self.sessions[session.number] = session
        return session

    def close_session(self, session: Session) -> None:
        """Close a session; a statement on it still runs to its end."""
        if session.closed:
            return
        if session.job is not None:
            session.closing = True
            return
        session.closed = True
        self.sessions.pop(session.number, None)
        self._end_transaction(session)

    # Control statements.

    def report_status(self) -> ServerStatus:
        """Answer `SHOW GROUP STATUS`."""
        silence = 0.0
        if self.role is not Role.PRIMARY:
            silence = self.database.measure_silence(self)
        return ServerStatus(
            term=self.term,
            role=self.role,
            position=self.log.position,
            source_silence_ms=int(silence * 1000),
        )

    def report_activity(self, number: int) -> bool:
        """Answer `SHOW CONNECTION ACTIVITY`: whether it is executing."""
        session = self.sessions.get(number)
        return session is not None and session.job is not None

    def fence(self, term: int) -> ServerStatus:
        """Carry out `GROUP FENCE`.

        Raises:
            Rejected: if the server's term is higher.
        """
        if term < self.term:
            raise Rejected
        if term > self.term:
            self.database.before_change()
            self._leave_term(term)
            self.role, self.source = Role.FENCED, ""
        return self.report_status()

    def promote(self, term: int) -> ServerStatus:
        """Carry out `GROUP PROMOTE`.

        Raises:
            Rejected: if the server is not fenced at exactly this term.
        """
        if self.role is not Role.FENCED or term != self.term:
            raise Rejected
        self.database.before_change()
        self.role = Role.PRIMARY
        self.database.promotions.append(
            Promotion(
                at=self.world.now(),
                server=self.place.name,
                term=term,
                offset=self.log.position.offset,
            )
        )
        self.database.after_change()
        return self.report_status()

    def follow(self, term: int, source: str) -> ServerStatus:
        """Carry out `GROUP FOLLOW`; the source is given by name.

        Raises:
            Rejected: if the term is lower than the server's own, or it leads
                that term itself.
        """
        if term < self.term or (term == self.term and self.role is Role.PRIMARY):
            raise Rejected
        self.database.before_change()
        if term > self.term:
            self._leave_term(term)
        self.role, self.source = Role.REPLICA, source
        self.database.after_change()
        return self.report_status()

    def _leave_term(self, term: int) -> None:
        self.term = term
        for session in list(self.sessions.values()):
            if session.transaction:
                self._end_transaction(session)
                session.doomed = True

    # Statements.

    def submit(
        self,
        session: Session,
        *,
        request: RequestId,
        sql: str,
        answer: Callable[[Result], None],
        key: str = "",
        autocommit: bool = True,
        settle: bool = False,
    ) -> None:
        """Take a statement; `answer` is called when it ends."""
        parsed = parse(sql)
        execution = Execution(
            arrived_at=self.world.now(),
            server=self.place.name,
            connection=session.number,
            request=request,
            form="settle" if settle else parsed.form,
            tag=parsed.tag,
            key=key,
        )
        self.database.executions.append(execution)
        job = Job(
            session=session,
            parsed=parsed,
            key=key,
            autocommit=autocommit,
            settle=settle,
            answer=answer,
            execution=execution,
            term=self.term,
        )
        session.job = job
        self._take_locks(job)

    def _take_locks(self, job: Job) -> None:
        wanted = [f"key {job.key}"] if job.key else []
        if job.parsed.lock or job.parsed.form in ("set", "append"):
            wanted.append(f"row {job.parsed.key}")
        for name in wanted:
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
        elif self.running < self.place.slots:
            self._start(job)
        else:
            self._queue.append(job)

    def _wait_for_lock(self, job: Job, name: str) -> None:
        self._lock_waits.setdefault(name, deque()).append(job)
        self._later(LOCK_WAIT_LIMIT, self._expire_lock_wait, job, name)

    def _expire_lock_wait(self, job: Job, name: str) -> None:
        waits = self._lock_waits.get(name, ())
        if job not in waits:
            return
        waits.remove(job)
        self._end_transaction(job.session)
        self._reply(job, _fail(1213, "40001", "deadlock found"))

    def _start(self, job: Job) -> None:
        self.running += 1
        cost = job.parsed.cost
        if cost is None:
            cost = self.database.draw_service()
        self._later(cost, self._finish, job)

    def _finish(self, job: Job) -> None:
        self.running -= 1
        result = self._run(job)
        while self._queue and self.running < self.place.slots:
            self._start(self._queue.popleft())
        self._reply(job, result)

    def _reply(self, job: Job, result: Result) -> None:
        session = job.session
        session.job = None
        result.in_transaction = session.transaction != 0
        if isinstance(result.outcome, Done):
            result.position = self.log.position
        if session.closing:
            self.close_session(session)
        else:
            job.answer(result)

    def _run(self, job: Job) -> Result:
        session, form = job.session, job.parsed.form
        if session.doomed:
            session.doomed = False
            self._end_transaction(session)
            if form != "rollback":
                return _fail(1290, "HY000", "the term changed; rolled back")
        if form == "begin":
            return self._begin(session, job)
        opened = not session.transaction and (job.autocommit or form == "rollback")
        if not session.transaction and not opened:
            self._begin(session, job)
        result = self._apply(job)
        if not opened and form != "commit":
            return result
        if isinstance(result.outcome, Failed):
            self._end_transaction(session)
        else:
            self._commit(session)
        return result

    def _begin(self, session: Session, job: Job) -> Result:
        self._commit(session)
        self._numbers += 1
        session.transaction = self._numbers
        job.execution.transaction = session.transaction
        job.execution.ran_at = self.world.now()
        return Result(outcome=Done())

    def _apply(self, job: Job) -> Result:
        session, parsed, execution = job.session, job.parsed, job.execution
        execution.transaction = session.transaction
        if parsed.form == "invalid":
            return _fail(1064, "42000", "syntax error")
        if parsed.form == "rollback":
            self._end_transaction(session)
            return Result(outcome=Done())
        changing = parsed.is_write or job.key
        if changing or (parsed.form == "commit" and session.changes):
            if self.role is not Role.PRIMARY or job.term != self.term:
                return _fail(1290, "HY000", "the server is not the primary")
        if job.key:
            known = self._find_key(session, job.key)
            if job.settle and known is not None:
                return Result(outcome=Done(), ran=known)
            if known is True:
                self._end_transaction(session)
                return Result(outcome=Done(repeated=True))
            if known is False:
                return _fail(1062, "23000", "the key was settled as not run")
            session.changes.append(("key", job.key, "" if job.settle else "ran"))
        if job.settle:
            return Result(outcome=Done(), ran=False)
        execution.ran_at = self.world.now()
        if parsed.form == "read":
            return Result(outcome=self._read(session, parsed))
        session.executions.append(execution)
        if parsed.is_write:
            session.changes.append((parsed.form, parsed.key, parsed.value))
            return Result(outcome=Done(affected_rows=1))
        return Result(outcome=Done())

    def _find_key(self, session: Session, key: str) -> bool | None:
        for form, row, value in session.changes:
            if form == "key" and row == key:
                return value == "ran"
        return self.log.keys.get(key)

    def _read(self, session: Session, parsed: Parsed) -> Done:
        value = self.log.rows.get(parsed.key)
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
            position = self.database.write(self, session.changes)
            for execution in session.executions:
                execution.committed_at = self.world.now()
                execution.position = position
        self._end_transaction(session)

    def _end_transaction(self, session: Session) -> None:
        session.transaction = 0
        session.changes = []
        session.executions = []
        released, session.locks = session.locks, []
        for name in released:
            self._locks.pop(name, None)
        for name in released:
            waits = self._lock_waits.get(name)
            if waits and name not in self._locks:
                self._take_locks(waits.popleft())

    def _later(self, delay: float, call: Callable, *args: object) -> None:
        self.world.later(delay, self._enter, self._epoch, call, args)

    def _enter(self, epoch: int, call: Callable, args: tuple) -> None:
        if epoch == self._epoch:
            self.receive(call, *args)


def _fail(code: int, sqlstate: str, message: str) -> Result:
    return Result(outcome=Failed(code=code, sqlstate=sqlstate, message=message))
