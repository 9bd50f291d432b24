"""What is held for one caller, and when reading from it stops."""

import logging
from collections import deque

from ..direct import Refusal
from ._clock import read_clock
from ._memory import Holder
from ._protocol import LineProtocol
from ._relay import RelayProtocol

_log = logging.getLogger(__name__)


class CallerFlow(LineProtocol, Holder):
    """A caller's connection as a holder of bytes; see `CallerProtocol` for the rest.

    Args:
        callers: all connections of callers, with their limits.
        user_timeout: as of `LineProtocol`.
    """

    kind = "caller"

    def __init__(self, *, callers, user_timeout: float) -> None:
        super().__init__(user_timeout=user_timeout)
        self._callers = callers
        self._session = 0
        self._connect_line = b""
        self._busy = False
        self._lines_ahead: deque[bytes] = deque()
        self._relay: RelayProtocol | None = None
        self._relaying = False
        self._write_ended = False
        self._ahead_bytes = 0
        self._running_bytes = 0
        self._session_bytes = 0
        self._partial_since = 0.0
        self._progress = (0, 0.0)
        self._write_paused = False
        self._released = False

    def find_stall(self, now: float) -> str:
        """Return what the caller has stopped to do in the middle, empty for nothing."""
        limits = self._callers.limits
        unsent, since = self._progress
        if not self.unsent or self.unsent != unsent:
            self._progress = (self.unsent, now)
        elif now - since >= limits.answer_timeout:
            return "answer_not_taken"
        if self._partial_since and not self._reading_paused:
            if now - self._partial_since >= limits.line_timeout:
                return "line_not_ended"
        return ""

    @property
    def held(self) -> int:
        """Bytes that this process holds for the caller."""
        if self._released:
            return 0
        held = len(self._buffer) + self._ahead_bytes + self._running_bytes
        # Kept for relays, and its key by the core, until the session ends.
        held += 2 * len(self._connect_line)
        if self._relay is not None:
            held += self._relay.held
        return held + self._session_bytes + self.unsent

    def release(self) -> None:
        """Refuse the caller, or cut it off if it is owed an answer."""
        _log.warning(
            "event=caller_released session=%d peer=%s held=%d buffered=%d ahead=%d "
            "running=%d session_bytes=%d unsent=%d",
            self._session,
            self.peer,
            self.held,
            len(self._buffer),
            self._ahead_bytes,
            self._running_bytes,
            self._session_bytes,
            self.unsent,
        )
        owed = self.unanswered or self.unsent or self._relaying
        self._drop_lines()
        self._released = True
        if owed:
            self.abort()
            return
        refusal = self._callers.codec.encode_refusal(Refusal.OVERLOAD, "memory")
        self.write(refusal)
        self._write_ended = True
        self.close()

    @property
    def peer(self) -> str:
        """Address of the caller, for log lines."""
        if self.transport is None:
            return ""
        peer = self.transport.get_extra_info("peername") or ("", 0)
        return f"{peer[0]}:{peer[1]}"

    def _drop_lines(self) -> None:
        """Forget what was read and not yet handled."""
        self._lines_ahead.clear()
        self._buffer.clear()
        self._ahead_bytes = 0

    def pause_writing(self) -> None:
        """Handle no further statements until the caller has taken its answers."""
        self._write_paused = True
        if self._relay is not None:
            self._relay.pause()

    def resume_writing(self) -> None:
        """Go on once the caller has taken most of its answers."""
        self._write_paused = False
        if self._relay is not None:
            self._relay.resume()
        else:
            self._handle_lines_ahead()
        self._update_flow()

    def _update_flow(self) -> None:
        """Count what is held; read on only if little has been sent ahead."""
        self._callers.memory.update(self)
        if self.transport is None or self.transport.is_closing():
            return
        waiting = len(self._buffer) + self._ahead_bytes
        awaiting = self._busy or self._write_paused
        if self._relay is not None:
            waiting += self._relay.waiting_bytes
            awaiting = awaiting or self._relay.outstanding > 0
        pause = awaiting and waiting > self._callers.limits.ahead
        if pause and not self._write_ended and not self._reading_paused:
            self._callers.observe("reading_paused_total")
            self.pause()
        elif not pause:
            self.resume()

    def resume(self) -> None:
        """Read from the caller again; a line that has begun gets its whole time."""
        if self._reading_paused:
            self._partial_since = read_clock() if self._buffer else 0.0
        super().resume()

    def _take_line_ahead(self) -> bytes:
        """Return the oldest line that waits, which it does no longer."""
        line = self._lines_ahead.popleft()
        self._ahead_bytes -= len(line)
        return line
