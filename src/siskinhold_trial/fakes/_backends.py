"""The connections of one VM to fake backend servers."""

from dataclasses import dataclass
from functools import partial

from siskinhold import effects, events
from siskinhold.adapters import Backends
from siskinhold.model import ControlFailure, VmAddress

from ._control import CONNECTION_SETUP_SECONDS, ControlCalls, ServerNetwork
from ._emitter import Emitter
from ._server import FakeServer
from ._statements import Result, Session
from ._world import FakeWorld

CONNECT_TIMEOUT_SECONDS = 1.0
"""Seconds after which an attempt to connect fails."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    """The VM's end of a connection; `run` is the statement in progress on it."""

    number: int
    server: FakeServer
    session: Session | None = None
    ready: bool = False
    closed: bool = False
    run: effects.RunStatement | None = None


class FakeBackends(Emitter, Backends):
    """Executes one VM's effects on the backend servers of the world.

    Args:
        world: the simulated environment of the test.
        vm: the VM; its region and zone determine the latencies.
        answer_loss: probability that a connection breaks after a statement
            took effect and before its answer arrives; may be changed during
            the run.
    """

    def __init__(
        self, *, world: FakeWorld, vm: VmAddress, answer_loss: float = 0.0
    ) -> None:
        super().__init__(world=world)
        self.answer_loss = answer_loss
        self._connections: dict[int, _Connection] = {}
        self._network = ServerNetwork(world=world, vm=vm)
        self._control = ControlCalls(world=world, network=self._network, emit=self.emit)
        self._handlers = {
            effects.OpenBackend: self._open,
            effects.RunStatement: self._run,
            effects.CloseBackend: self._close,
            effects.QueryActivity: self._query_activity,
        }

    def perform(self, effect) -> None:
        """Execute an effect.

        Raises:
            RuntimeError: if a statement is already in progress on the
                connection, which a reducer must never cause.
        """
        self._handlers.get(type(effect), self._control.perform)(effect)

    async def stop(self) -> None:
        """Close all connections, as the end of the process would."""
        await super().stop()
        for number in list(self._connections):
            self._close(effects.CloseBackend(connection=number))
        self._control.close()

    def _open(self, effect: effects.OpenBackend) -> None:
        server = self.world.servers.get(effect.server.name)
        if server is None:
            self.world.call_later(0, self._emit_refused, effect.connection)
            return
        connection = _Connection(number=effect.connection, server=server)
        self._connections[effect.connection] = connection
        self.world.call_later(
            self._network.measure_delay(server), self._handle_open_request, connection
        )
        self.world.call_later(CONNECT_TIMEOUT_SECONDS, self._time_out_open, connection)

    def _emit_refused(self, number: int) -> None:
        failure = ControlFailure.REFUSED
        self.emit(events.BackendClosed, connection=number, failure=failure)

    def _handle_open_request(self, connection: _Connection) -> None:
        server = connection.server
        if not self._network.is_open(server) or connection.closed:
            return
        if server.alive:
            server.receive(self._open_session, connection)
        else:
            self._send_open_answer(connection, 0, ControlFailure.REFUSED)

    def _open_session(self, connection: _Connection) -> None:
        reset = partial(self._send_reset, connection)
        connection.session = connection.server.open_session(
            self._network.vm.name, reset
        )
        if connection.session is None:
            self._send_open_answer(connection, 0, ControlFailure.REJECTED)
        else:
            self._send_open_answer(connection, CONNECTION_SETUP_SECONDS, None)

    def _send_open_answer(
        self, connection: _Connection, cost: float, failure: ControlFailure | None
    ) -> None:
        def arrive() -> None:
            if not self._network.is_open(connection.server):
                return
            if connection.closed:
                self._end_session(connection)
            elif failure is not None:
                self._fail_connection(connection, failure)
            else:
                connection.ready = True
                self.emit(events.BackendOpened, connection=connection.number)

        self.world.call_later(
            cost + self._network.measure_delay(connection.server), arrive
        )

    def _time_out_open(self, connection: _Connection) -> None:
        if not connection.ready and not connection.closed:
            self._end_session(connection)
            self._fail_connection(connection, ControlFailure.TIMEOUT)

    def _send_reset(self, connection: _Connection) -> None:
        def arrive() -> None:
            if connection.session.silent or connection.closed:
                return
            if self._network.is_open(connection.server):
                self._fail_connection(connection, ControlFailure.CLOSED)

        self.world.call_later(self._network.measure_delay(connection.server), arrive)

    def _fail_connection(
        self, connection: _Connection, failure: ControlFailure
    ) -> None:
        connection.closed = True
        self._connections.pop(connection.number, None)
        if connection.run is not None:
            self._emit_lost(connection.run, True)
            return
        self.emit(events.BackendClosed, connection=connection.number, failure=failure)

    def _emit_lost(self, effect: effects.RunStatement, sent: bool) -> None:
        self.emit(
            events.BackendLost,
            connection=effect.connection,
            request=effect.request,
            sent=sent,
        )

    def _close(self, effect: effects.CloseBackend) -> None:
        connection = self._connections.pop(effect.connection, None)
        if connection is not None:
            connection.closed = True
            self._end_session(connection)

    def _end_session(self, connection: _Connection) -> None:
        server, session = connection.server, connection.session
        if session is not None:
            self._network.send(server, session, server.close_session, session)

    def _run(self, effect: effects.RunStatement) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None or not connection.ready:
            self.world.call_later(0, self._emit_lost, effect, False)
            return
        if connection.run is not None:
            raise RuntimeError(
                f"connection {effect.connection} is busy with a statement"
            )
        connection.run = effect
        self._network.send(
            connection.server,
            connection.session,
            self._submit,
            connection,
            effect,
            reset=partial(self._send_reset, connection),
        )

    def _submit(self, connection: _Connection, effect: effects.RunStatement) -> None:
        connection.server.executor.submit(
            connection.session,
            request=effect.request,
            sql=effect.sql,
            answer=partial(self._send_answer, connection, effect),
            key=effect.key,
            autocommit=effect.autocommit,
        )

    def _send_answer(
        self, connection: _Connection, effect: effects.RunStatement, result: Result
    ) -> None:
        server, session = connection.server, connection.session
        if self.answer_loss and self.world.random.random() < self.answer_loss:
            server.close_session(session)
            self._send_reset(connection)
            return

        def arrive() -> None:
            if session.silent or not self._network.is_open(server):
                server.silence_session(session)
            elif not connection.closed:
                connection.run = None
                self._emit_answer(effect, result)

        self.world.call_later(self._network.measure_delay(server), arrive)

    def _emit_answer(self, effect: effects.RunStatement, result: Result) -> None:
        self.emit(
            events.BackendAnswered,
            connection=effect.connection,
            request=effect.request,
            outcome=result.outcome,
            position=result.position if effect.want_position else None,
            in_transaction=result.in_transaction,
        )

    def _query_activity(self, effect: effects.QueryActivity) -> None:
        connection = self._connections.get(effect.connection)
        session = connection.session if connection is not None else None
        self._control.query_activity(effect, session.number if session else 0)
