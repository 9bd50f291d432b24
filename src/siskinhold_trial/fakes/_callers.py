"""Fake callers, driven by a test script."""

import asyncio
from dataclasses import dataclass
from functools import partial

from siskinhold import effects, events
from siskinhold.adapters import Callers, Emit
from siskinhold.model import (
    Marks,
    NotRun,
    NotRunReason,
    Outcome,
    Position,
    RequestId,
    StatementKind,
)

from ._emitter import Emitter
from ._world import FakeWorld


class CallerConnectionClosed(Exception):
    """The VM closed the caller's connection or does not listen."""


@dataclass(slots=True, kw_only=True)
class Reply:
    """The reply to a caller's statement."""

    request: RequestId | None
    outcome: Outcome
    positions: dict[str, Position]


class FakeCallers(Emitter, Callers):
    """The listener of one VM for callers in the test's process.

    Args:
        world: the simulated environment of the test.
        delay: one-way delay to callers in seconds.

    Attributes:
        stray: replies to connected callers that had no statement in progress;
            a correct VM sends none.
    """

    def __init__(self, *, world: FakeWorld, delay: float = 0.0) -> None:
        super().__init__(world=world)
        self.delay = delay
        self.stray: list[effects.ReplyCaller] = []
        self._connections: dict[int, "FakeCaller"] = {}
        self._last_session = 0
        self._listening = False

    async def start(self, emit: Emit) -> None:
        """Start accepting callers."""
        await super().start(emit)
        self._listening = True

    def connect(self, *, database: str, user: str = "caller") -> "FakeCaller":
        """Open a connection.

        Raises:
            CallerConnectionClosed: if the VM does not listen.
        """
        if not self._listening:
            raise CallerConnectionClosed
        self._last_session += 1
        caller = FakeCaller(callers=self, session=self._last_session)
        self._connections[caller.session] = caller
        self.emit_later(
            events.CallerOpened, session=caller.session, user=user, database=database
        )
        return caller

    def emit_later(self, event_type: type, /, **fields: object) -> None:
        """Emit an event after the delay between caller and VM."""
        self.world.call_later(self.delay, partial(self.emit, event_type, **fields))

    def handle_close(self, session: int) -> None:
        """Remove a connection that the caller closed."""
        if self._connections.pop(session, None) is not None:
            self.emit_later(events.CallerClosed, session=session)

    def reply(self, effect: effects.ReplyCaller) -> None:
        """Send the reply to a statement."""
        self.world.call_later(self.delay, self._deliver, effect)

    def stop_listening(self) -> None:
        """Accept no new callers; connected ones stay connected."""
        self._listening = False

    def close(self, effect: effects.CloseCaller) -> None:
        """Close a caller's connection after the replies sent so far.

        On a shutdown, a statement that has not reached the VM yet is answered as
        not run, as in the MySQL adapter.
        """
        self.world.call_later(
            self.delay,
            self._close_connection,
            effect.session,
            effect.reason,
            self.world.now(),
        )

    async def stop(self) -> None:
        """Close all connections, as the end of the process would."""
        await super().stop()
        self._listening = False
        for session in list(self._connections):
            self._close_connection(session, "stopped", self.world.now())

    def _deliver(self, effect: effects.ReplyCaller) -> None:
        caller = self._connections.get(effect.session)
        if caller is None:
            return
        if caller.pending_reply is None:
            self.stray.append(effect)
            return
        pending_reply, caller.pending_reply = caller.pending_reply, None
        if not pending_reply.done():
            pending_reply.set_result(
                Reply(
                    request=effect.request,
                    outcome=effect.outcome,
                    positions=dict(effect.positions),
                )
            )

    def _close_connection(self, session: int, reason: str, closed_at: float) -> None:
        caller = self._connections.pop(session, None)
        if caller is None:
            return
        caller.closed = True
        self.emit_later(events.CallerClosed, session=session)
        if caller.pending_reply is None or caller.pending_reply.done():
            return
        if reason == "shutdown" and caller.sent_at + self.delay > closed_at:
            refused = NotRun(reason=NotRunReason.SHUTDOWN)
            reply = Reply(request=None, outcome=refused, positions={})
            caller.pending_reply.set_result(reply)
            return
        caller.pending_reply.set_exception(CallerConnectionClosed(reason))


class FakeCaller:
    """A caller's connection, created by `FakeCallers.connect`."""

    def __init__(self, *, callers: FakeCallers, session: int) -> None:
        self.session = session
        self.closed = False
        self.sent_at = 0.0
        self.pending_reply: asyncio.Future[Reply] | None = None
        self._callers = callers

    async def run(self, kind: StatementKind, sql: str, marks: Marks = Marks()) -> Reply:
        """Send a statement and wait for its reply.

        Raises:
            CallerConnectionClosed: if the connection closes first.
            RuntimeError: if a statement is already in progress.
        """
        if self.closed:
            raise CallerConnectionClosed
        if self.pending_reply is not None:
            raise RuntimeError(f"session {self.session} already runs a statement")
        self.pending_reply = self._callers.world.loop.create_future()
        self.sent_at = self._callers.world.now()
        self._callers.emit_later(
            events.StatementReceived,
            session=self.session,
            kind=kind,
            sql=sql,
            marks=marks,
        )
        return await self.pending_reply

    def present(self, positions: dict[str, Position]) -> None:
        """Present log positions, as a valid session token does."""
        self._callers.emit_later(
            events.TokenPresented, session=self.session, positions=dict(positions)
        )

    def close(self) -> None:
        """Close the connection; a statement in progress gets no answer."""
        if self.closed:
            return
        self.closed = True
        self._callers.handle_close(self.session)
        if self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_exception(
                CallerConnectionClosed("closed by the caller")
            )
