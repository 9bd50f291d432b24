"""Interface between the line connections and the wire that a platform defines."""

import abc
import enum
from dataclasses import dataclass

from ..direct import Answer, Command, Refusal, ServerReport, Statement, TransactionState
from ..model import Position

LINE_LIMIT = 1 << 20
"""Greatest length of a line in bytes, as the wire defines it."""


@dataclass(slots=True, kw_only=True, frozen=True)
class ConnectRequest:
    """A caller names its database."""

    database: str


@dataclass(slots=True, kw_only=True, frozen=True)
class DisconnectRequest:
    """A caller ends its session."""


@dataclass(slots=True, kw_only=True, frozen=True)
class MalformedLine:
    """A line that is no message."""

    reason: str


CallerMessage = ConnectRequest | DisconnectRequest | MalformedLine | Statement


class AnswerLineKind(enum.Enum):
    """What a line of a backend server's answer is."""

    ROW = "row"
    DONE = "done"
    REFUSED = "refused"
    READY = "ready"
    GARBLED = "garbled"


@dataclass(slots=True, kw_only=True, frozen=True)
class AnswerLine:
    """One line of a backend server's answer.

    Args:
        text: a row, a signature, or the text beside a refusal.
    """

    kind: AnswerLineKind
    text: str = ""
    refusal: Refusal | None = None
    transaction: TransactionState = TransactionState.NONE
    position: Position | None = None


class LineCodec(abc.ABC):
    """Translates between lines and typed messages; it decides nothing."""

    @abc.abstractmethod
    def parse_caller_line(self, line: bytes) -> CallerMessage:
        """Return what a caller's line says."""

    @abc.abstractmethod
    def encode_acceptance(self) -> bytes:
        """Return the acceptance of a caller's connection."""

    @abc.abstractmethod
    def encode_refusal(self, refusal: Refusal, detail: str) -> bytes:
        """Return the refusal of a caller's connection."""

    @abc.abstractmethod
    def encode_answer(self, answer: Answer) -> bytes:
        """Return an answer to a caller's statement."""

    @abc.abstractmethod
    def encode_connect_request(self, service: str, vm: str, server: str) -> bytes:
        """Return the opening of a connection to a backend server."""

    @abc.abstractmethod
    def encode_command(self, command: Command) -> bytes:
        """Return a command to a backend server."""

    @abc.abstractmethod
    def parse_answer_line(self, line: bytes) -> AnswerLine:
        """Return what a line of a backend server's answer says."""

    @abc.abstractmethod
    def parse_status_rows(self, rows: tuple[str, ...]) -> ServerReport | None:
        """Return what a server says of itself in the rows of a status answer."""
