"""The connections of one VM to fake backend servers."""

from collections.abc import Callable
from dataclasses import dataclass

from siskinhold import effects, events
from siskinhold.adapters import Backends, Emit
from siskinhold.model import BackendServer, ControlFailure, ServerStatus, VmAddress

from ._server import FakeServer, Rejected, Result, Session
from ._world import FakeWorld

CONNECTION_COST = 0.012
"""Seconds that a new connection takes beside the links' delay."""

CONNECT_TIMEOUT = 1.0
"""Seconds after which an attempt to connect is given up."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Connection:
    """The VM's end of a connection; `run` is the effect under way on it."""

    number: int
    server: FakeServer
    session: Session | None = None
    ready: bool = False
    closed: bool = False
    run: effects.RunStatement | effects.SettleKey | None = None


@dataclass(slots=True, kw_only=True, eq=False)
class _Query:
    """A control call; `report` emits its event and is called once."""

    server: FakeServer
    act: Callable[[FakeServer], object]
    report: Callable[[object, ControlFailure | None], None]
    session: Session | None
    done: bool = False


class FakeBackends(Backends):
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
        self._world = world
        self._vm = vm
        self.answer_loss = answer_loss
        self._emit: Emit = _ignore
        self._connections: dict[int, _Connection] = {}
        self._controls: dict[str, Session] = {}
        self._perform = {
            effects.OpenBackend: self._open,
            effects.RunStatement: self._run,
            effects.SettleKey: self._run,
            effects.CloseBackend: self._close,
            effects.QueryStatus: self._query_status,
            effects.QueryActivity: self._query_activity,
            effects.FenceServer: self._order,
            effects.PromoteServer: self._order,
            effects.FollowServer: self._order,
        }

    async def start(self, emit: Emit) -> None:
        """Begin to emit events."""
        self._emit = emit

    def perform(self, effect) -> None:
        """Carry out an effect.

        Raises:
            RuntimeError: if a statement is already under way on the
                connection, which a reducer must never ask for.
        """
        self._perform[type(effect)](effect)

    async def stop(self) -> None:
        """Close all connections, as the death of the process would."""
        self._emit = _ignore
        for number in list(self._connections):
            self._close(effects.CloseBackend(connection=number))
        for name, session in self._controls.items():
            server = self._world.servers[name]
            self._send(server, session, server.close_session, session)
        self._controls.clear()

    # Work connections.

    def _open(self, effect: effects.OpenBackend) -> None:
        number = effect.connection
        server = self._world.servers.get(effect.server.name)
        if server is None:
            self._world.later(0, self._fail_open, number, ControlFailure.REFUSED)
            return
        connection = _Connection(number=number, server=server)
        self._connections[number] = connection
        delay = self._delay(server)
        self._world.later(delay, self._arrive, connection)
        self._world.later(CONNECT_TIMEOUT, self._give_up, connection)

    def _arrive(self, connection: _Connection) -> None:
        server = connection.server
        if not self._is_open(server) or connection.closed:
            return
        if not server.alive:
            self._answer_open(connection, 0, ControlFailure.REFUSED)
            return
        server.receive(self._admit, connection)

    def _admit(self, connection: _Connection) -> None:
        def lost() -> None:
            self._reset(connection)

        session = connection.server.open_session(self._vm.name, lost)
        connection.session = session
        if session is None:
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
                opened = events.BackendOpened(
                    at=self._world.now(), connection=connection.number
                )
                self._emit(opened)

        self._world.later(cost + self._delay(connection.server), arrive)

    def _give_up(self, connection: _Connection) -> None:
        if connection.ready or connection.closed:
            return
        self._end_session(connection)
        self._drop(connection, ControlFailure.TIMEOUT)

    def _drop(self, connection: _Connection, failure: ControlFailure) -> None:
        connection.closed = True
        self._connections.pop(connection.number, None)
        run = connection.run
        now = self._world.now()
        if isinstance(run, effects.RunStatement):
            self._emit(
                events.BackendLost(
                    at=now,
                    connection=connection.number,
                    request=run.request,
                    sent=True,
                )
            )
            return
        if run is not None:
            self._emit(
                events.KeySettled(
                    at=now,
                    connection=connection.number,
                    request=run.request,
                    ran=None,
                )
            )
        self._fail_open(connection.number, failure)

    def _fail_open(self, number: int, failure: ControlFailure) -> None:
        self._emit(
            events.BackendClosed(
                at=self._world.now(), connection=number, failure=failure
            )
        )

    def _reset(self, connection: _Connection) -> None:
        def arrive() -> None:
            if self._is_open(connection.server) and not connection.closed:
                self._drop(connection, ControlFailure.CLOSED)

        self._world.later(self._delay(connection.server), arrive)

    def _close(self, effect: effects.CloseBackend) -> None:
        connection = self._connections.pop(effect.connection, None)
        if connection is not None:
            connection.closed = True
            self._end_session(connection)

    def _end_session(self, connection: _Connection) -> None:
        server, session = connection.server, connection.session
        if session is not None:
            self._send(server, session, server.close_session, session)

    def _run(self, effect: effects.RunStatement | effects.SettleKey) -> None:
        connection = self._connections.get(effect.connection)
        if connection is None or not connection.ready:
            self._world.later(0, self._report_unsent, effect)
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
            reset=lambda: self._reset(connection),
        )

    def _report_unsent(self, effect: effects.RunStatement | effects.SettleKey) -> None:
        number, request = effect.connection, effect.request
        now = self._world.now()
        if isinstance(effect, effects.SettleKey):
            self._emit(
                events.KeySettled(at=now, connection=number, request=request, ran=None)
            )
            return
        self._emit(
            events.BackendLost(at=now, connection=number, request=request, sent=False)
        )

    def _submit(
        self,
        connection: _Connection,
        effect: effects.RunStatement | effects.SettleKey,
    ) -> None:
        settle = isinstance(effect, effects.SettleKey)

        def answer(result: Result) -> None:
            self._answer(connection, effect, result)

        connection.server.submit(
            connection.session,
            request=effect.request,
            sql="COMMIT" if settle else effect.sql,
            answer=answer,
            key=effect.key,
            autocommit=settle or effect.autocommit,
            settle=settle,
        )

    def _answer(self, connection: _Connection, effect, result: Result) -> None:
        server, session = connection.server, connection.session
        if self.answer_loss and self._world.random.random() < self.answer_loss:
            server.close_session(session)
            self._reset(connection)
            return

        def arrive() -> None:
            if session.silent or not self._is_open(server):
                server.silence_session(session)
                return
            if connection.closed:
                return
            connection.run = None
            self._emit_answer(effect, result)

        self._world.later(self._delay(server), arrive)

    def _emit_answer(self, effect, result: Result) -> None:
        now = self._world.now()
        if isinstance(effect, effects.SettleKey):
            settled = events.KeySettled(
                at=now,
                connection=effect.connection,
                request=effect.request,
                ran=result.ran,
                position=result.position,
            )
            self._emit(settled)
            return
        answered = events.BackendAnswered(
            at=now,
            connection=effect.connection,
            request=effect.request,
            outcome=result.outcome,
            position=result.position if effect.want_position else None,
            in_transaction=result.in_transaction,
        )
        self._emit(answered)

    # Control connections.

    def _query_status(self, effect: effects.QueryStatus) -> None:
        def report(status: ServerStatus | None, failure: ControlFailure | None):
            return events.StatusReported(
                at=self._world.now(),
                server=effect.server.name,
                call=effect.call,
                status=status,
                failure=failure,
            )

        self._ask(effect, FakeServer.report_status, report, fresh=effect.fresh)

    def _query_activity(self, effect: effects.QueryActivity) -> None:
        connection = self._connections.get(effect.connection)
        session = connection.session if connection is not None else None
        number = session.number if session is not None else 0

        def report(executing: bool | None, failure: ControlFailure | None):
            return events.ActivityReported(
                at=self._world.now(), connection=effect.connection, executing=executing
            )

        self._ask(
            effect, lambda server: server.report_activity(number), report, fresh=True
        )

    def _order(
        self,
        effect: effects.FenceServer | effects.PromoteServer | effects.FollowServer,
    ) -> None:
        def act(server: FakeServer) -> ServerStatus:
            if isinstance(effect, effects.FenceServer):
                return server.fence(effect.term)
            if isinstance(effect, effects.PromoteServer):
                return server.promote(effect.term)
            return server.follow(effect.term, effect.primary.name)

        def report(status: ServerStatus | None, failure: ControlFailure | None):
            return events.ControlAnswered(
                at=self._world.now(),
                server=effect.server.name,
                call=effect.call,
                status=status,
                failure=failure,
            )

        self._ask(effect, act, report, fresh=False)

    def _ask(self, effect, act: Callable, make_event: Callable, *, fresh: bool) -> None:
        place: BackendServer = effect.server

        def report(answer: object, failure: ControlFailure | None) -> None:
            if query.done:
                return
            query.done = True
            if failure in (ControlFailure.TIMEOUT, ControlFailure.CLOSED):
                self._controls.pop(place.name, None)
            self._emit(make_event(answer, failure))

        server = self._world.servers.get(place.name)
        session = None if fresh else self._controls.get(place.name)
        query = _Query(server=server, act=act, report=report, session=session)
        if server is None:
            self._world.later(0, report, None, ControlFailure.REFUSED)
            return
        delay = self._delay(server)
        setup = 0.0 if session is not None else 2 * delay + CONNECTION_COST
        self._world.later(setup + delay, self._reach, query)
        self._world.later(effect.timeout, report, None, ControlFailure.TIMEOUT)

    def _reach(self, query: _Query) -> None:
        server, session = query.server, query.session
        if not self._is_open(server):
            return
        if session is not None and session.silent:
            return
        if not server.alive:
            failure = ControlFailure.REFUSED if session is None else None
            self._return(query, None, failure or ControlFailure.CLOSED)
        elif session is not None and session.closed:
            self._return(query, None, ControlFailure.CLOSED)
        else:
            server.receive(self._act, query)

    def _act(self, query: _Query) -> None:
        server = query.server
        if query.session is None:
            query.session = server.open_session(self._vm.name, _nothing, control=True)
            old = self._controls.get(server.place.name)
            if old is not None:
                server.close_session(old)
            self._controls[server.place.name] = query.session
        try:
            answer = query.act(server)
        except Rejected:
            self._return(query, None, ControlFailure.REJECTED)
        else:
            self._return(query, answer, None)

    def _return(
        self, query: _Query, answer: object, failure: ControlFailure | None
    ) -> None:
        def arrive() -> None:
            if query.session is not None and query.session.silent:
                return
            if self._is_open(query.server):
                query.report(answer, failure)

        self._world.later(self._delay(query.server), arrive)

    # Links.

    def _delay(self, server: FakeServer) -> float:
        return self._world.measure_delay(self._vm, server.place)

    def _is_open(self, server: FakeServer) -> bool:
        return self._world.is_open(self._vm, server.place)

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

        self._world.later(self._delay(server), arrive)


def _ignore(event: events.Event) -> None:
    """Take an event that nobody wants."""


def _nothing() -> None:
    """Do nothing when a control connection closes."""
