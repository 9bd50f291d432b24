"""Serves the line protocol on sockets: connections, store client and VM process."""

from ._client import HistoryGone, LeaderResult, PlatformClient, StoreUnavailable
from ._codec import (
    LINE_END,
    LINE_LIMIT,
    AnswerLine,
    AnswerLineKind,
    CallerMessage,
    ConnectRequest,
    DisconnectRequest,
    FieldUnencodable,
    LineCodec,
    MalformedLine,
)
from ._http import HttpAnswer, HttpClient, HttpFailure
from ._service import DirectService

__all__ = [
    "AnswerLine",
    "AnswerLineKind",
    "CallerMessage",
    "ConnectRequest",
    "DirectService",
    "DisconnectRequest",
    "FieldUnencodable",
    "HistoryGone",
    "HttpAnswer",
    "HttpClient",
    "HttpFailure",
    "LINE_END",
    "LINE_LIMIT",
    "LeaderResult",
    "LineCodec",
    "MalformedLine",
    "PlatformClient",
    "StoreUnavailable",
]
