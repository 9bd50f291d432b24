"""The network between a VM and backend servers, and its control connections."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from siskinhold import effects, events
from siskinhold.model import ControlFailure, ServerStatus, VmAddress

from ._server import ControlRejected, FakeServer
from ._statements import Session
from ._world import FakeWorld

CONNECTION_SETUP_SECONDS = 0.012
"""Seconds that a new connection takes in addition to the network delay."""

_COMMANDS = {
    effects.FenceServer: lambda effect, server: server.fence(effect.term),
    effects.PromoteServer: lambda effect, server: server.promote(effect.term),
    effects.FollowServer: lambda effect, server: server.follow(
        effect.term, effect.primary.name
    ),
}


class ServerNetwork:
    """Delivers a VM's messages to backend servers.

    Args:
        world: the simulated environment of the test.
        vm: the VM.
    """

    def __init__(self, *, world: FakeWorld, vm: VmAddress) -> None:
        self.vm = vm
        self._world = world

    def measure_delay(self, server: FakeServer) -> float:
        """Return the one-way delay in seconds."""
        return self._world.measure_delay(self.vm, server.endpoint)

    def is_open(self, server: FakeServer) -> bool:
        """Return whether a message sent now arrives."""
        return self._world.is_open(self.vm, server.endpoint)

    def send(
        self,
        server: FakeServer,
        session: Session,
        call: Callable,
        *args: object,
        reset: Callable[[], None] | None = None,
    ) -> None:
        """Call a function on the server after the network delay.

        A message over a silent connection or a cut link is lost, and the
        connection is silent from then on.

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

        self._world.call_later(self.measure_delay(server), arrive)


@dataclass(slots=True, kw_only=True, eq=False)
class _ControlCall:
    """A control call in progress; only its first result is reported."""

    server: FakeServer
    session: Session | None
    command: Callable[[FakeServer], object]
    report: Callable[[object, ControlFailure | None], None]
    reported: bool = False


class ControlCalls:
    """The control connections of one VM, one kept open for each server.

    Args:
        world: the simulated environment of the test.
        network: the network between the VM and the servers.
        emit: called with an event's type and fields.
    """

    def __init__(
        self, *, world: FakeWorld, network: ServerNetwork, emit: Callable[..., None]
    ) -> None:
        self._world = world
        self._network = network
        self._emit = emit
        self._sessions: dict[str, Session] = {}

    def perform(self, effect) -> None:
        """Execute a status query, or a command to fence, promote or follow."""
        if isinstance(effect, effects.QueryStatus):
            report = partial(self._report, events.StatusReported, effect)
            self._start_call(
                effect, FakeServer.report_status, report, fresh=effect.fresh
            )
            return
        command = partial(_COMMANDS[type(effect)], effect)
        report = partial(self._report, events.ControlAnswered, effect)
        self._start_call(effect, command, report, fresh=False)

    def query_activity(self, effect: effects.QueryActivity, number: int) -> None:
        """Query whether the server's connection `number` is executing a statement."""

        def command(server: FakeServer) -> bool:
            return server.report_activity(number)

        def report(executing: bool | None, failure: ControlFailure | None) -> None:
            self._emit(
                events.ActivityReported,
                connection=effect.connection,
                executing=executing,
            )

        self._start_call(effect, command, report, fresh=True)

    def close(self) -> None:
        """Close all control connections."""
        for name, session in self._sessions.items():
            server = self._world.servers[name]
            self._network.send(server, session, server.close_session, session)
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

    def _start_call(
        self, effect, command: Callable, report: Callable, *, fresh: bool
    ) -> None:
        name = effect.server.name
        server = self._world.servers.get(name)
        if server is None:
            self._world.call_later(0, report, None, ControlFailure.REFUSED)
            return
        session = None if fresh else self._sessions.get(name)
        control_call = _ControlCall(
            server=server, session=session, command=command, report=report
        )
        delay = self._network.measure_delay(server)
        setup = 2 * delay + CONNECTION_SETUP_SECONDS if session is None else 0.0
        self._world.call_later(setup + delay, self._deliver_call, control_call)
        self._world.call_later(
            effect.timeout, self._complete, control_call, None, ControlFailure.TIMEOUT
        )

    def _deliver_call(self, control_call: _ControlCall) -> None:
        server, session = control_call.server, control_call.session
        if not self._network.is_open(server) or (
            session is not None and session.silent
        ):
            return
        if session is None and not server.alive:
            self._send_answer(control_call, None, ControlFailure.REFUSED)
        elif session is not None and session.closed:
            self._send_answer(control_call, None, ControlFailure.CLOSED)
        else:
            server.receive(self._run_command, control_call)

    def _run_command(self, control_call: _ControlCall) -> None:
        server = control_call.server
        if control_call.session is None:
            control_call.session = server.open_session(
                self._network.vm.name, control=True
            )
            old = self._sessions.get(server.endpoint.name)
            if old is not None:
                server.close_session(old)
            self._sessions[server.endpoint.name] = control_call.session
        try:
            self._send_answer(control_call, control_call.command(server), None)
        except ControlRejected:
            self._send_answer(control_call, None, ControlFailure.REJECTED)

    def _send_answer(
        self, control_call: _ControlCall, answer: object, failure: ControlFailure | None
    ) -> None:
        def arrive() -> None:
            silent = control_call.session is not None and control_call.session.silent
            if not silent and self._network.is_open(control_call.server):
                self._complete(control_call, answer, failure)

        self._world.call_later(self._network.measure_delay(control_call.server), arrive)

    def _complete(
        self, control_call: _ControlCall, answer: object, failure: ControlFailure | None
    ) -> None:
        if control_call.reported:
            return
        control_call.reported = True
        if failure in (ControlFailure.TIMEOUT, ControlFailure.CLOSED):
            self._sessions.pop(control_call.server.endpoint.name, None)
        control_call.report(answer, failure)
