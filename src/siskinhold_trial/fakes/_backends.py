"""The connections of one VM to fake backend servers."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from siskinhold import effects, events
from siskinhold.adapters import Backends
from siskinhold.model import ControlFailure, ServerStatus, VmAddress

from ._emitter import Emitter
from ._server import FakeServer, Rejected
from ._statements import Result, Session
from ._world import FakeWorld

CONNECTION_COST = 0.012
"""Seconds that a new connection takes beside the links' delay."""

CONNECT_TIMEOUT = 1.0
"""Seconds after which an attempt to connect is given up."""

_ORDERS = {
    effects.FenceServer: lambda effect, server: server.fence(effect.term),
    effects.PromoteServer: lambda effect, server: server.promote(effect.term),
    effects.FollowServer: lambda effect, server: server.follow(
        effect.term, effect.primary.name
    ),
}

_Run = effects.RunStatement | effects.SettleKey


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    """The VM's end of a connection; `run` is the effect under way on it."""

    number: int
    server: FakeServer
    session: Session | None = None
    ready: bool = False
    closed: bool = False
    run: _Run | None = None


@dataclass(slots=True, kw_only=True, eq=False)
class _Query:
    """A control call; its first `report` counts."""

    server: FakeServer
    session: Session | None
    act: Callable[[FakeServer], object]
    report: Callable[[object, ControlFailure | None], None]
    reported: bool = False


class FakeBackends(Emitter, Backends):
    """Carries out one VM's effects against the servers known to the world.

    Args:
        world: the test's surroundings.
        vm: the VM; its zone gives the latencies.
        answer_loss: probability that a connection breaks after a statement
            took effect and before its answer arrives; may be changed.
    """

    def __init__(
        self, *, world: FakeWorld, vm: VmAddress, answer_loss: float = 0.0
    ) -> None:
        super().__init__(world=world)
        self.answer_loss = answer_loss
        self._vm = vm
        self._connections: dict[int, _Connection] = {}
        self._controls: dict[str, Session] = {}
        self._perform = {
            effects.OpenBackend: self._open,
            effects.RunStatement: self._run,
            effects.SettleKey: self._run,
            effects.CloseBackend: self._close,
            effects.QueryStatus: self._query_status,
            effects.QueryActivity: self._query_activity,
        }

    def perform(self, effect) -> None:
        """Carry out an effect.

        Raises:
            RuntimeError: if a statement is already under way on the
                connection, which a reducer must never ask for.
        """
        self._perform.get(type(effect), self._order)(effect)

    async def stop(self) -> None:
        """Close all connections, as the death of the process would."""
        await super().stop()
        for number in list(self._connections):
            self._close(effects.CloseBackend(connection=number))
        for name, session in self._controls.items():
            server = self.world.servers[name]
            self._send(server, session, server.close_session, session)
        self._controls.clear()

    # Work connections.

    def _open(self, effect: effects.OpenBackend) -> None:
        server = self.world.servers.get(effect.server.name)
        if server is None:
            self.world.later(0, self._refuse, effect.connection)
            return
        connection = _Connection(number=effect.connection, server=server)
        self._connections[effect.connection] = connection
        self.world.later(self._delay(server), self._arrive, connection)
        self.world.later(CONNECT_TIMEOUT, self._give_up, connection)

    def _refuse(self, number: int) -> None:
        failure = ControlFailure.REFUSED
        self.emit(events.BackendClosed, connection=number, failure=failure)

    def _arrive(self, connection: _Connection) -> None:
        server = connection.server
        if not self._is_open(server) or connection.closed:
            return
        if server.alive:
            server.receive(self._admit, connection)
        else:
            self._answer_open(connection, 0, ControlFailure.REFUSED)

    def _admit(self, connection: _Connection) -> None:
        reset = partial(self._reset, connection)
        connection.session = connection.server.open_session(self._vm.name, reset)
        if connection.session is None:
            self._answer_open(connection, 0, ControlFailure.REJECTED)
        else:
            self._answer_open(connection, CONNECTION_COST, None)

    def _answer_open(
        self, connection: _Connection, cost: float, failure: ControlFailure | None
    ) -> None:
        def arrive() -> None:
            if not self._is_open(connection.server):
                return
            if connection.closed:
                self._end_session(connection)
            elif failure is not None:
                self._drop(connection, failure)
            else:
                connection.ready = True
                self.emit(events.BackendOpened, connection=connection.number)

        self.world.later(cost + self._delay(connection.server), arrive)

    def _give_up(self, connection: _Connection) -> None:
        if not connection.ready and not connection.closed:
            self._end_session(connection)
            self._drop(connection, ControlFailure.TIMEOUT)

    def _reset(self, connection: _Connection) -> None:
        def arrive() -> None:
            if connection.session.silent or connection.closed:
                return
            if self._is_open(connection.server):
                self._drop(connection, ControlFailure.CLOSED)

        self.world.later(self._delay(connection.server), arrive)

    def _drop(self, connection: _Connection, failure: ControlFailure) -> None:
        connection.closed = True
        self._connections.pop(connection.number, None)
        if connection.run is not None:
            self._lose(connection.run, True)
        if not isinstance(connection.run, effects.RunStatement):
            self.emit(
                events.BackendClosed, connection=connection.number, failure=failure
            )

    def _lose(self, effect: _Run, sent: bool) -> None:
        ids = {"connection": effect.connection, "request": effect.request}
        if isinstance(effect, effects.SettleKey):
            self.emit(events.KeySettled, ran=None, **ids)
        else:
            self.emit(events.BackendLost, sent=sent, **ids)

    def _close(self, effect: effects.CloseBackend) -> None:
        connection = self._connections.pop(effect.connection, None)
        if connection is not None:
            connection.closed = True
            self._end_session(connection)

    def _end_session(self, connection: _Connection) -> None:
        server, session = connection.server, connection.session
        if session is not None:
            self._send(server, session, server.close_session, session)

    def _run(self, effect: _Run) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None or not connection.ready:
            self.world.later(0, self._lose, effect, False)
            return
        if connection.run is not None:
            raise RuntimeError(f"connection {effect.connection} is busy")
        connection.run = effect
        self._send(
            connection.server,
            connection.session,
            self._submit,
            connection,
            effect,
            reset=partial(self._reset, connection),
        )

    def _submit(self, connection: _Connection, effect: _Run) -> None:
        settle = isinstance(effect, effects.SettleKey)
        connection.server.executor.submit(
            connection.session,
            request=effect.request,
            sql="COMMIT" if settle else effect.sql,
            answer=partial(self._answer, connection, effect),
            key=effect.key,
            autocommit=settle or effect.autocommit,
            settle=settle,
        )

    def _answer(self, connection: _Connection, effect: _Run, result: Result) -> None:
        server, session = connection.server, connection.session
        if self.answer_loss and self.world.random.random() < self.answer_loss:
            server.close_session(session)
            self._reset(connection)
            return

        def arrive() -> None:
            if session.silent or not self._is_open(server):
                server.silence_session(session)
            elif not connection.closed:
                connection.run = None
                self._emit_answer(effect, result)

        self.world.later(self._delay(server), arrive)

    def _emit_answer(self, effect: _Run, result: Result) -> None:
        ids = {"connection": effect.connection, "request": effect.request}
        if isinstance(effect, effects.SettleKey):
            position = result.position
            self.emit(events.KeySettled, ran=result.ran, position=position, **ids)
            return
        self.emit(
            events.BackendAnswered,
            outcome=result.outcome,
            position=result.position if effect.want_position else None,
            in_transaction=result.in_transaction,
            **ids,
        )

    # Control connections.

    def _query_status(self, effect: effects.QueryStatus) -> None:
        report = partial(self._report, events.StatusReported, effect)
        self._ask(effect, FakeServer.report_status, report, fresh=effect.fresh)

    def _query_activity(self, effect: effects.QueryActivity) -> None:
        connection = self._connections.get(effect.connection)
        session = connection.session if connection is not None else None
        number = session.number if session is not None else 0

        def act(server: FakeServer) -> bool:
            return server.report_activity(number)

        def report(executing: bool | None, failure: ControlFailure | None) -> None:
            self.emit(
                events.ActivityReported,
                connection=effect.connection,
                executing=executing,
            )

        self._ask(effect, act, report, fresh=True)

    def _order(self, effect) -> None:
        act = partial(_ORDERS[type(effect)], effect)
        report = partial(self._report, events.ControlAnswered, effect)
        self._ask(effect, act, report, fresh=False)

    def _report(
        self,
        event_type: type,
        effect,
        status: ServerStatus | None,
        failure: ControlFailure | None,
    ) -> None:
        self.emit(
            event_type,
            server=effect.server.name,
            call=effect.call,
            status=status,
            failure=failure,
        )

    def _ask(self, effect, act: Callable, report: Callable, *, fresh: bool) -> None:
        name = effect.server.name
        server = self.world.servers.get(name)
        if server is None:
            self.world.later(0, report, None, ControlFailure.REFUSED)
            return
        session = None if fresh else self._controls.get(name)
        query = _Query(server=server, session=session, act=act, report=report)
        delay = self._delay(server)
        setup = 2 * delay + CONNECTION_COST if session is None else 0.0
        self.world.later(setup + delay, self._reach, query)
        self.world.later(
            effect.timeout, self._finish, query, None, ControlFailure.TIMEOUT
        )

    def _reach(self, query: _Query) -> None:
        server, session = query.server, query.session
        if not self._is_open(server) or (session is not None and session.silent):
            return
        if session is None and not server.alive:
            self._return(query, None, ControlFailure.REFUSED)
        elif session is not None and session.closed:
            self._return(query, None, ControlFailure.CLOSED)
        else:
            server.receive(self._act, query)

    def _act(self, query: _Query) -> None:
        server = query.server
        if query.session is None:
            query.session = server.open_session(self._vm.name, control=True)
            old = self._controls.get(server.place.name)
            if old is not None:
                server.close_session(old)
            self._controls[server.place.name] = query.session
        try:
            self._return(query, query.act(server), None)
        except Rejected:
            self._return(query, None, ControlFailure.REJECTED)

    def _return(
        self, query: _Query, answer: object, failure: ControlFailure | None
    ) -> None:
        def arrive() -> None:
            silent = query.session is not None and query.session.silent
            if not silent and self._is_open(query.server):
                self._finish(query, answer, failure)

        self.world.later(self._delay(query.server), arrive)

    def _finish(
        self, query: _Query, answer: object, failure: ControlFailure | None
    ) -> None:
        if query.reported:
            return
        query.reported = True
        if failure in (ControlFailure.TIMEOUT, ControlFailure.CLOSED):
            self._controls.pop(query.server.place.name, None)
        query.report(answer, failure)

    # Links.

    def _delay(self, server: FakeServer) -> float:
        return self.world.measure_delay(self._vm, server.place)

    def _is_open(self, server: FakeServer) -> bool:
        return self.world.is_open(self._vm, server.place)

    def _send(
        self,
        server: FakeServer,
        session: Session,
        call: Callable,
        *args: object,
        reset: Callable[[], None] | None = None,
    ) -> None:
        def arrive() -> None:
            if session.silent or not self._is_open(server):
                server.silence_session(session)
            elif not session.closed:
                server.receive(call, *args)
            elif reset is not None:
                reset()

        self.world.later(self._delay(server), arrive)
