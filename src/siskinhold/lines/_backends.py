"""Connections to backend servers over the line protocol."""

import asyncio
import logging
import sys
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
from ._codec import AnswerLine, AnswerLineKind, FieldUnencodable, LineCodec
from ._memory import Holder, MemoryAccount
from ._protocol import LineProtocol

CONNECT_TIMEOUT = 0.7
"""Seconds until an attempt to connect fails: many times the round trip to the other
region plus the time that a server needs to accept a connection."""

USER_TIMEOUT = 0.6
"""Seconds that sent data may stay unacknowledged before a connection counts as lost.
The kernel of a server that is merely busy still acknowledges at once."""

STATUS_COMMANDS = frozenset(
    {
        CommandKind.STATUS,
        CommandKind.STEP_DOWN,
        CommandKind.SUSPEND,
        CommandKind.RESUME,
    }
)
"""Commands whose answer is the server's status report."""

UNCOUNTED_BYTES = 1 << 16
"""Bytes of an answer up to which it is not counted while it arrives."""

_log = logging.getLogger(__name__)

Emit = Callable[[Event], None]


class LineBackends:
    """Connects to backend servers, sends commands and emits answers as events.

    Args:
        vm: name that this VM gives to servers when it connects.
        codec: encodes commands and parses answers.
        memory: account of what the process holds.
        answer_limit: bytes of the rows of one answer; a larger one is dropped.
        observe: called with the name and the value of a metric.
    """

    def __init__(
        self,
        *,
        vm: str,
        codec: LineCodec,
        memory: MemoryAccount,
        answer_limit: int,
        observe: Callable,
    ) -> None:
        self.observe = observe
        self.memory = memory
        self.answer_limit = answer_limit
        self.vm = vm
        self.codec = codec
        self.connections: dict[int, _BackendProtocol] = {}
        self._opening: dict[int, asyncio.Task] = {}
        self._loop = asyncio.get_running_loop()
        self.emit: Emit | None = None

    def start(self, emit: Emit) -> None:
        """Set the function that takes the events of all connections."""
        self.emit = emit

    def open(self, effect: OpenBackend) -> None:
        """Start to connect; the outcome is emitted as an event."""
        task = self._loop.create_task(self._connect(effect))
        self._opening[effect.connection] = task

    async def _connect(self, effect: OpenBackend) -> None:
        """Connect, send the connect request and await its answer; report a failure."""
        protocol = _BackendProtocol(
            backends=self, number=effect.connection, user_timeout=USER_TIMEOUT
        )
        reason = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await self._loop.create_connection(
                    lambda: protocol, effect.host, effect.port
                )
                self.connections[effect.connection] = protocol
                request = self.codec.encode_connect_request(
                    effect.service, effect.account or self.vm, effect.server
                )
                protocol.transport.write(request)
                await protocol.opened.wait()
        except TimeoutError:
            reason = LossReason.SILENT
        except ConnectionRefusedError:
            reason = LossReason.REFUSED
        except OSError:
            reason = LossReason.SILENT
        except (FieldUnencodable, OverflowError) as error:
            # The entry is no usable one: a field of the line, or the port.
            _log.error(
                "event=connect_unencodable connection=%d error=%r",
                effect.connection,
                error,
            )
            reason = LossReason.GARBLED
        finally:
            self._opening.pop(effect.connection, None)
        if reason is not None:
            protocol.fail(reason)

    def send(self, effect: SendCommands) -> None:
        """Send commands; do nothing if the connection is lost, which was reported."""
        protocol = self.connections.get(effect.connection)
        if protocol is None or protocol.transport is None:
            return
        try:
            data = [self.codec.encode_command(command) for command in effect.commands]
        except FieldUnencodable as error:
            _log.error(
                "event=command_unencodable connection=%d error=%r",
                effect.connection,
                error,
            )
            protocol.fail(LossReason.GARBLED)
            return
        protocol.outstanding.extend(command.kind for command in effect.commands)
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


class _BackendProtocol(LineProtocol, Holder):
    """One connection to a backend server."""

    kind = "server"

    def __init__(
        self, *, backends: LineBackends, number: int, user_timeout: float
    ) -> None:
        super().__init__(user_timeout=user_timeout)
        self._backends = backends
        self._number = number
        self.outstanding: deque[CommandKind] = deque()
        self.opened = asyncio.Event()
        self._rows: list[str] = []
        self._row_bytes = 0
        self._too_large = False
        self._final_line: AnswerLine | None = None
        self._ended = False

    @property
    def held(self) -> int:
        """Bytes of the answer that arrives, and of what is still to be sent."""
        return len(self._buffer) + self._row_bytes + self.unsent

    def release(self) -> None:
        """Drop the rows of the answer; the caller is told at its end."""
        if not self._too_large:
            self._backends.observe("answers_dropped_total", 1)
            _log.warning(
                "event=answer_dropped connection=%d held=%d", self._number, self.held
            )
        self._drop_rows()
        self._too_large = True

    def _drop_rows(self) -> None:
        """Forget the rows of the answer."""
        self._rows = []
        self._row_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Handle all complete lines, and count what is held meanwhile."""
        super().data_received(data)
        if len(self._buffer) + self._row_bytes > UNCOUNTED_BYTES:
            self._backends.memory.update(self)

    def _add_row(self, row: str) -> None:
        """Keep a row of the answer unless the answer is too large."""
        if self._too_large:
            return
        self._rows.append(row)
        self._row_bytes += sys.getsizeof(row)
        if self._row_bytes > self._backends.answer_limit:
            self.release()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss unless it was reported before."""
        silent = isinstance(error, TimeoutError)
        self.fail(LossReason.SILENT if silent else LossReason.CLOSED)

    def fail(self, reason: LossReason) -> None:
        """Abort the connection and report its loss once."""
        if self._ended:
            return
        self.abort()
        self._backends.connections.pop(self._number, None)
        self._backends.emit(
            BackendLost(at=read_clock(), connection=self._number, reason=reason)
        )

    def abort(self) -> None:
        """Abort the connection without an event."""
        self._ended = True
        self.opened.set()
        self._drop_rows()
        self._buffer.clear()
        self._backends.memory.remove(self)
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def handle_overflow(self) -> None:
        """Fail the connection to a server whose line exceeds the limit."""
        self.fail(LossReason.GARBLED)

    def handle_line(self, line: bytes) -> None:
        """Add a line to the current answer; emit the answer once it is complete."""
        answer_line = self._backends.codec.parse_answer_line(line)
        if answer_line.kind is AnswerLineKind.ROW:
            self._add_row(answer_line.text)
        elif answer_line.kind is AnswerLineKind.GARBLED:
            self.fail(LossReason.GARBLED)
        elif not self.opened.is_set():
            self._handle_connect_answer(answer_line)
        elif answer_line.kind is AnswerLineKind.READY:
            self._complete_answer(answer_line)
        else:
            self._final_line = answer_line

    def _handle_connect_answer(self, answer_line: AnswerLine) -> None:
        """Emit that the connection is open, or fail it if the server refused."""
        if answer_line.kind is AnswerLineKind.REFUSED:
            reasons = {
                Refusal.WRONG_SERVER: LossReason.WRONG_SERVER,
                Refusal.OVERLOAD: LossReason.OVERLOAD,
            }
            self.fail(reasons.get(answer_line.refusal, LossReason.CLOSED))
            return
        if answer_line.kind is not AnswerLineKind.READY:
            self.fail(LossReason.GARBLED)
            return
        self.opened.set()
        self._backends.emit(
            BackendOpened(
                at=read_clock(),
                connection=self._number,
                answer=Answer(
                    transaction=answer_line.transaction, position=answer_line.position
                ),
            )
        )

    def _complete_answer(self, ready: AnswerLine) -> None:
        """Emit the answer to the oldest command, which its `READY` line completes."""
        final_line = self._final_line
        if final_line is None or not self.outstanding:
            self.fail(LossReason.GARBLED)
            return
        rows = tuple(self._rows)
        self._drop_rows()
        self._backends.memory.remove(self)
        refusal, detail = final_line.refusal, final_line.text
        if self._too_large:
            self._too_large = False
            refusal, detail = Refusal.FAILED, "answer_too_large"
        self._final_line = None
        status = None
        if self.outstanding.popleft() in STATUS_COMMANDS:
            status = self._backends.codec.parse_status_rows(rows)
        answer = Answer(
            rows=rows,
            signature=detail if refusal is None else "-",
            refusal=refusal,
            detail=detail if refusal is not None else "",
            transaction=ready.transaction,
            position=ready.position,
            status=status,
        )
        self._backends.emit(
            BackendAnswered(at=read_clock(), connection=self._number, answer=answer)
        )
