"""Interface between line connections and a platform's wire format."""

import abc
import enum
from dataclasses import dataclass, field

from ..direct import Answer, Command, Refusal, ServerReport, Statement, TransactionState
from ..model import Position

LINE_END = b"\r\n"
"""Terminator of each line. A lone CR or LF is part of a field."""

LINE_LIMIT = 1 << 20
"""Maximum length of a line in bytes without its end, as the wire format defines it."""


class FieldUnencodable(ValueError):
    """A text would read back differently as a field of a line."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ConnectRequest:
    """A caller's first line, which names its database.

    Args:
        key: the key that identifies the caller, empty without one.
    """

    database: str
    key: str = field(default="", repr=False)


@dataclass(slots=True, kw_only=True, frozen=True)
class DisconnectRequest:
    """A caller's request to end its session."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MalformedLine:
    """A line that can't be parsed.

    Args:
        reason: short code that is logged and sent to the caller.
    """

    reason: str


CallerMessage = ConnectRequest | DisconnectRequest | MalformedLine | Statement


class AnswerLineKind(enum.Enum):
    """The kinds of lines in a backend server's answer.

    Attributes:
        ROW: a row of the result.
        DONE: the statement succeeded.
        REFUSED: the statement or the connect request was refused.
        READY: the answer is complete.
        GARBLED: the line can't be parsed.
    """

    ROW = "row"
    DONE = "done"
    REFUSED = "refused"
    READY = "ready"
    GARBLED = "garbled"


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerLine:
    """One line of a backend server's answer.

    Args:
        text: a row, a signature, or the detail of a refusal.
        transaction: state of the server's transaction, on `READY` lines.
        position: the server's log position, on `READY` lines.
    """

    kind: AnswerLineKind
    text: str = ""
    refusal: Refusal | None = None
    transaction: TransactionState = TransactionState.NONE
    position: Position | None = None


class LineCodec(abc.ABC):
    """Translates between lines and typed messages, without any state."""

    @abc.abstractmethod
    def parse_caller_line(self, line: bytes) -> CallerMessage:
        """Return the message in a caller's line."""

    @abc.abstractmethod
    def encode_acceptance(self) -> bytes:
        """Return the line that accepts a caller's connection."""

    @abc.abstractmethod
    def encode_ready(self, *, failed: bool) -> bytes:
        """Return the line that ends an answer whose result was sent before.

        Args:
            failed: whether the caller is in a transaction, which has failed.
        """

    @abc.abstractmethod
    def encode_refusal(self, refusal: Refusal, detail: str) -> bytes:
        """Return the line that refuses a caller's connection or a line of a caller."""

    @abc.abstractmethod
    def encode_answer(self, answer: Answer) -> bytes:
        """Return the lines that answer a caller's statement."""

    @abc.abstractmethod
    def encode_connect_request(self, service: str, user: str, server: str) -> bytes:
        """Return the first line of a connection to a backend server.

        Args:
            user: name of the client account that it serves, else of this VM.

        Raises:
            FieldUnencodable: if a text can't be a field.
        """

    @abc.abstractmethod
    def encode_command(self, command: Command) -> bytes:
        """Return the line of a command to a backend server.

        Raises:
            FieldUnencodable: if a text can't be a field.
        """

    @abc.abstractmethod
    def parse_answer_line(self, line: bytes) -> AnswerLine:
        """Return a parsed line of a backend server's answer."""

    @abc.abstractmethod
    def parse_status_rows(self, rows: tuple[str, ...]) -> ServerReport | None:
        """Return the server's status report, None if the rows contain none."""
