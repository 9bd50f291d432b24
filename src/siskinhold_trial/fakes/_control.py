"""The wire between a VM and backend servers, and its control connections."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from siskinhold import effects, events
from siskinhold.model import ControlFailure, ServerStatus, VmAddress

from ._server import FakeServer, Rejected
from ._statements import Session
from ._world import FakeWorld

CONNECTION_COST = 0.012
"""Seconds that a new connection takes beside the links' delay."""

_ORDERS = {
    effects.FenceServer: lambda effect, server: server.fence(effect.term),
    effects.PromoteServer: lambda effect, server: server.promote(effect.term),
    effects.FollowServer: lambda effect, server: server.follow(
        effect.term, effect.primary.name
    ),
}


class Wire:
    """Carries what a VM sends to servers.

    Args:
        world: the test's surroundings.
        vm: the VM.
    """

    def __init__(self, *, world: FakeWorld, vm: VmAddress) -> None:
        self.vm = vm
        self._world = world

    def measure_delay(self, server: FakeServer) -> float:
        """Return the one-way delay in seconds."""
        return self._world.measure_delay(self.vm, server.place)

    def is_open(self, server: FakeServer) -> bool:
        """Return whether anything sent now arrives."""
        return self._world.is_open(self.vm, server.place)

    def send(
        self,
        server: FakeServer,
        session: Session,
        call: Callable,
        *args: object,
        reset: Callable[[], None] | None = None,
    ) -> None:
        """Have the server do something, unless the connection is silent.

        Args:
            reset: called instead if the server has closed the connection.
        """

        def arrive() -> None:
            if session.silent or not self.is_open(server):
                server.silence_session(session)
            elif not session.closed:
                server.receive(call, *args)
            elif reset is not None:
                reset()

        self._world.later(self.measure_delay(server), arrive)


@dataclass(slots=True, kw_only=True, eq=False)
class _Query:
    """A control call; its first `report` counts."""

    server: FakeServer
    session: Session | None
    act: Callable[[FakeServer], object]
    report: Callable[[object, ControlFailure | None], None]
    reported: bool = False


class ControlCalls:
    """Control connections of one VM, one kept open for each server.

    Args:
        world: the test's surroundings.
        wire: the VM's wire.
        emit: takes an event's type and fields.
    """

    def __init__(
        self, *, world: FakeWorld, wire: Wire, emit: Callable[..., None]
    ) -> None:
        self._world = world
        self._wire = wire
        self._emit = emit
        self._sessions: dict[str, Session] = {}

    def perform(self, effect) -> None:
        """Carry out a status query, or an order to fence, promote or follow."""
        if isinstance(effect, effects.QueryStatus):
            report = partial(self._report, events.StatusReported, effect)
            self._ask(effect, FakeServer.report_status, report, fresh=effect.fresh)
            return
        act = partial(_ORDERS[type(effect)], effect)
        report = partial(self._report, events.ControlAnswered, effect)
        self._ask(effect, act, report, fresh=False)

    def query_activity(self, effect: effects.QueryActivity, number: int) -> None:
        """Ask whether the server's connection of that number is executing."""

        def act(server: FakeServer) -> bool:
            return server.report_activity(number)

        def report(executing: bool | None, failure: ControlFailure | None) -> None:
            self._emit(
                events.ActivityReported,
                connection=effect.connection,
                executing=executing,
            )

        self._ask(effect, act, report, fresh=True)

    def close(self) -> None:
        """Close all control connections."""
        for name, session in self._sessions.items():
            server = self._world.servers[name]
            self._wire.send(server, session, server.close_session, session)
        self._sessions.clear()

    def _report(
        self,
        event_type: type,
        effect,
        status: ServerStatus | None,
        failure: ControlFailure | None,
    ) -> None:
        self._emit(
            event_type,
            server=effect.server.name,
            call=effect.call,
            status=status,
            failure=failure,
        )

    def _ask(self, effect, act: Callable, report: Callable, *, fresh: bool) -> None:
        name = effect.server.name
        server = self._world.servers.get(name)
        if server is None:
            self._world.later(0, report, None, ControlFailure.REFUSED)
            return
        session = None if fresh else self._sessions.get(name)
        query = _Query(server=server, session=session, act=act, report=report)
        delay = self._wire.measure_delay(server)
        setup = 2 * delay + CONNECTION_COST if session is None else 0.0
        self._world.later(setup + delay, self._reach, query)
        self._world.later(
            effect.timeout, self._finish, query, None, ControlFailure.TIMEOUT
        )

    def _reach(self, query: _Query) -> None:
        server, session = query.server, query.session
        if not self._wire.is_open(server) or (session is not None and session.silent):
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
            query.session = server.open_session(self._wire.vm.name, control=True)
            old = self._sessions.get(server.place.name)
            if old is not None:
                server.close_session(old)
            self._sessions[server.place.name] = query.session
        try:
            self._return(query, query.act(server), None)
        except Rejected:
            self._return(query, None, ControlFailure.REJECTED)

    def _return(
        self, query: _Query, answer: object, failure: ControlFailure | None
    ) -> None:
        def arrive() -> None:
            silent = query.session is not None and query.session.silent
            if not silent and self._wire.is_open(query.server):
                self._finish(query, answer, failure)

        self._world.later(self._wire.measure_delay(query.server), arrive)

    def _finish(
        self, query: _Query, answer: object, failure: ControlFailure | None
    ) -> None:
        if query.reported:
            return
        query.reported = True
        if failure in (ControlFailure.TIMEOUT, ControlFailure.CLOSED):
            self._sessions.pop(query.server.place.name, None)
        query.report(answer, failure)
