"""One instance of a fake database: its connections, terms and faults."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from siskinhold.model import BackendServer, Role, ServerStatus

from ._log import Log, Promotion
from ._statements import Executor, Session
from ._world import FakeWorld

if TYPE_CHECKING:
    from ._database import FakeDatabase

SILENT_SESSION_TIMEOUT_SECONDS = 10.0
"""Seconds after which a server closes a silent (half-open) connection."""


class ControlRejected(Exception):
    """The server refused a control statement; stands for error 3100."""


class FakeServer:
    """One instance, created by `FakeDatabase`.

    Args:
        world: the simulated environment of the test.
        database: the database that it belongs to.
        endpoint: the instance's configuration.
        primary: whether it is the primary of term 1.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        database: "FakeDatabase",
        endpoint: BackendServer,
        primary: bool,
    ) -> None:
        self.world = world
        self.database = database
        self.endpoint = endpoint
        self.term = 1
        self.role = Role.PRIMARY if primary else Role.REPLICA
        self.source = ""
        self.heard_at = world.now()
        self.lag = 0.0
        self.log = Log()
        self.alive = True
        self.frozen = False
        self.sessions: dict[int, Session] = {}
        self._last_session = 0
        self._epoch = 0
        self._deferred: list[tuple[Callable, tuple]] = []
        self.executor = Executor(server=self)

    # Faults.

    def kill(self) -> None:
        """Kill the process: connections break; log, term and role are kept."""
        self.database.before_change()
        self.alive = False
        self.frozen = False
        self._epoch += 1
        self._deferred.clear()
        sessions, self.sessions = self.sessions, {}
        self.executor = Executor(server=self)
        for session in sessions.values():
            session.closed = True
            session.on_close()

    def restart(self) -> None:
        """Restart the process; one that runs is killed first."""
        if self.alive:
            self.kill()
        self.alive = True
        self.database.after_change()

    def freeze(self) -> None:
        """Suspend the process; its connections stay open."""
        self.database.before_change()
        self.frozen = True

    def unfreeze(self) -> None:
        """Resume the process; it handles what arrived while it was frozen."""
        self.frozen = False
        stalled, self._deferred = self._deferred, []
        for call, args in stalled:
            self.receive(call, *args)
        self.database.after_change()

    def silence(self, vms: set[str] | None = None) -> None:
        """Make open connections silent (half-open), of some VMs or of all."""
        for session in list(self.sessions.values()):
            if vms is None or session.vm in vms:
                self.silence_session(session)

    def silence_session(self, session: Session) -> None:
        """Make a connection silent.

        The server closes it after `SILENT_SESSION_TIMEOUT_SECONDS`.
        """
        if session.silent or session.closed:
            return
        session.silent = True
        self.call_later(SILENT_SESSION_TIMEOUT_SECONDS, self.close_session, session)

    # Connections.

    def receive(self, call: Callable, *args: object) -> None:
        """Handle a message: now, after `unfreeze`, or never if the process is down."""
        if self.frozen:
            self._deferred.append((call, args))
        elif self.alive:
            call(*args)

    def open_session(
        self,
        vm: str,
        on_close: Callable[[], None] = lambda: None,
        *,
        control: bool = False,
    ) -> Session | None:
        """Return a new session, or None at the connection limit.

        Control sessions don't count towards the limit.
        """
        if not control:
            taken = sum(not session.control for session in self.sessions.values())
            if taken >= self.endpoint.connections:
                return None
        self._last_session += 1
        session = Session(
            number=self._last_session, vm=vm, control=control, on_close=on_close
        )
        self.sessions[session.number] = session
        return session

    def close_session(self, session: Session) -> None:
        """Close a session, after the statement in progress on it, if any."""
        if session.closed:
            return
        if session.job is not None:
            session.closing = True
            return
        session.closed = True
        self.sessions.pop(session.number, None)
        self.executor.end_transaction(session)

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
        """Answer `SHOW CONNECTION ACTIVITY`: whether a statement is in progress."""
        session = self.sessions.get(number)
        return session is not None and session.job is not None

    def fence(self, term: int) -> ServerStatus:
        """Execute `GROUP FENCE`.

        Raises:
            ControlRejected: if the server's term is higher.
        """
        if term < self.term:
            raise ControlRejected
        if term > self.term:
            self.database.before_change()
            self._raise_term(term)
            self.role, self.source = Role.FENCED, ""
        return self.report_status()

    def promote(self, term: int) -> ServerStatus:
        """Execute `GROUP PROMOTE`.

        Raises:
            ControlRejected: if the server is not fenced at exactly this term.
        """
        if self.role is not Role.FENCED or term != self.term:
            raise ControlRejected
        self.database.before_change()
        self.role = Role.PRIMARY
        self.database.promotions.append(
            Promotion(
                at=self.world.now(),
                server=self.endpoint.name,
                term=term,
                offset=self.log.position.offset,
            )
        )
        self.database.after_change()
        return self.report_status()

    def follow(self, term: int, source: str) -> ServerStatus:
        """Execute `GROUP FOLLOW`; the source is given by name.

        Raises:
            ControlRejected: if the term is lower than the server's, or the server
                is the primary of that term.
        """
        if term < self.term or (term == self.term and self.role is Role.PRIMARY):
            raise ControlRejected
        self.database.before_change()
        if term > self.term:
            self._raise_term(term)
        self.role, self.source = Role.REPLICA, source
        self.database.after_change()
        return self.report_status()

    def _raise_term(self, term: int) -> None:
        self.term = term
        for session in list(self.sessions.values()):
            if session.transaction:
                self.executor.end_transaction(session)
                session.rolled_back = True

    def call_later(self, delay: float, call: Callable, *args: object) -> None:
        """Call after `delay` seconds unless the process was killed meanwhile."""
        self.world.call_later(delay, self._receive_in_epoch, self._epoch, call, args)

    def _receive_in_epoch(self, epoch: int, call: Callable, args: tuple) -> None:
        if epoch == self._epoch:
            self.receive(call, *args)
