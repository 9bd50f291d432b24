"""The line protocol on sockets, and the process that serves it."""

from ._client import HistoryGone, LeaderResult, PlatformClient, StoreUnavailable
from ._codec import (
    LINE_LIMIT,
    AnswerPart,
    CallerMessage,
    Garbled,
    Goodbye,
    Hello,
    LineCodec,
    PartKind,
)
from ._http import HttpAnswer, HttpClient, HttpFailure
from ._service import DirectService

__all__ = [
    "AnswerPart",
    "CallerMessage",
    "DirectService",
    "Garbled",
    "Goodbye",
    "Hello",
    "HistoryGone",
    "HttpAnswer",
    "HttpClient",
    "HttpFailure",
    "LINE_LIMIT",
    "LeaderResult",
    "LineCodec",
    "PartKind",
    "PlatformClient",
    "StoreUnavailable",
]
