"""Backend servers that speak the line protocol."""

import asyncio
from collections import deque
from collections.abc import Callable

from ..direct import (
    Answer,
    BackendAnswered,
    BackendLost,
    BackendOpened,
    CloseBackend,
    CommandKind,
    Event,
    LossReason,
    OpenBackend,
    Refusal,
    SendCommands,
)
from ._clock import read_clock
from ._codec import AnswerPart, LineCodec, PartKind
from ._protocol import LineProtocol

OPEN_TIMEOUT = 0.7
"""Seconds until an attempt to connect is given up: many times the round trip to the
other region and the time that a server takes for a connection."""

USER_TIMEOUT = 0.6
"""Seconds without an acknowledgement after which a connection is lost. The kernel of a
server that is merely busy acknowledges at once."""

REPORTING = frozenset(
    {
        CommandKind.STATUS,
        CommandKind.STEP_DOWN,
        CommandKind.SUSPEND,
        CommandKind.RESUME,
    }
)
"""Commands whose answer is what a server says of itself."""

Emit = Callable[[Event], None]


class LineBackends:
    """Carries commands to backend servers and their answers back.

    Args:
        vm: name given to servers.
        codec: the wire.
    """

    def __init__(self, *, vm: str, codec: LineCodec) -> None:
        self.vm = vm
        self.codec = codec
        self.connections: dict[int, _BackendProtocol] = {}
        self._opening: dict[int, asyncio.Task] = {}
        self._loop = asyncio.get_running_loop()
        self.emit: Emit | None = None

    def start(self, emit: Emit) -> None:
        """Prepare to carry out effects."""
        self.emit = emit

    def open(self, effect: OpenBackend) -> None:
        """Begin to open a connection."""
        task = self._loop.create_task(self._connect(effect))
        self._opening[effect.connection] = task

    async def _connect(self, effect: OpenBackend) -> None:
        protocol = _BackendProtocol(
            backends=self, number=effect.connection, user_timeout=USER_TIMEOUT
        )
        reason = None
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                await self._loop.create_connection(
                    lambda: protocol, effect.host, effect.port
                )
                self.connections[effect.connection] = protocol
                hello = self.codec.encode_hello(effect.service, self.vm, effect.server)
                protocol.transport.write(hello)
                await protocol.opened.wait()
        except TimeoutError:
            reason = LossReason.SILENT
        except ConnectionRefusedError:
            reason = LossReason.REFUSED
        except OSError:
            reason = LossReason.SILENT
        finally:
            self._opening.pop(effect.connection, None)
        if reason is not None:
            protocol.lose(reason)

    def send(self, effect: SendCommands) -> None:
        """Send commands; a connection that is gone has reported so."""
        protocol = self.connections.get(effect.connection)
        if protocol is None or protocol.transport is None:
            return
        data = []
        for command in effect.commands:
            protocol.outstanding.append(command.kind)
            data.append(self.codec.encode_command(command))
        protocol.transport.write(b"".join(data))

    def close(self, effect: CloseBackend) -> None:
        """Close a connection at once, without an event."""
        task = self._opening.pop(effect.connection, None)
        if task is not None:
            task.cancel()
        protocol = self.connections.pop(effect.connection, None)
        if protocol is not None:
            protocol.abort()

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._opening.values():
            task.cancel()
        for protocol in list(self.connections.values()):
            protocol.abort()


class _BackendProtocol(LineProtocol):
    """One connection to a backend server."""

    def __init__(
        self, *, backends: LineBackends, number: int, user_timeout: float
    ) -> None:
        super().__init__(user_timeout=user_timeout)
        self._backends = backends
        self._number = number
        self.outstanding: deque[CommandKind] = deque()
        self.opened = asyncio.Event()
        self._rows: list[str] = []
        self._end: AnswerPart | None = None
        self._ended = False

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss unless it is already known."""
        silent = isinstance(error, TimeoutError)
        self.lose(LossReason.SILENT if silent else LossReason.CLOSED)

    def lose(self, reason: LossReason) -> None:
        """Report once that the connection is of no more use, and end it."""
        if self._ended:
            return
        self.abort()
        self._backends.connections.pop(self._number, None)
        self._backends.emit(
            BackendLost(at=read_clock(), connection=self._number, reason=reason)
        )

    def abort(self) -> None:
        """End the connection without an event."""
        self._ended = True
        self.opened.set()
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def take_overflow(self) -> None:
        """Give up a server that sends an endless line."""
        self.lose(LossReason.GARBLED)

    def take_line(self, line: bytes) -> None:
        """Add a line to the answer under way; report the answer once it is whole."""
        part = self._backends.codec.parse_part(line)
        if part.kind is PartKind.ROW:
            self._rows.append(part.text)
        elif part.kind is PartKind.GARBLED:
            self.lose(LossReason.GARBLED)
        elif not self.opened.is_set():
            self._open(part)
        elif part.kind is PartKind.READY:
            self._finish(part)
        else:
            self._end = part

    def _open(self, part: AnswerPart) -> None:
        if part.kind is PartKind.REFUSED:
            reasons = {
                Refusal.WRONG_SERVER: LossReason.WRONG_SERVER,
                Refusal.OVERLOAD: LossReason.OVERLOAD,
            }
            self.lose(reasons.get(part.refusal, LossReason.CLOSED))
            return
        if part.kind is not PartKind.READY:
            self.lose(LossReason.GARBLED)
            return
        self.opened.set()
        self._backends.emit(
            BackendOpened(
                at=read_clock(),
                connection=self._number,
                answer=Answer(transaction=part.transaction, position=part.position),
            )
        )

    def _finish(self, ready: AnswerPart) -> None:
        end = self._end
        if end is None or not self.outstanding:
            self.lose(LossReason.GARBLED)
            return
        rows = tuple(self._rows)
        self._rows = []
        self._end = None
        status = None
        if self.outstanding.popleft() in REPORTING:
            status = self._backends.codec.read_report(rows)
        answer = Answer(
            rows=rows,
            signature=end.text if end.refusal is None else "-",
            refusal=end.refusal,
            detail=end.text if end.refusal is not None else "",
            transaction=ready.transaction,
            position=ready.position,
            status=status,
        )
        self._backends.emit(
            BackendAnswered(at=read_clock(), connection=self._number, answer=answer)
        )
