"""Calls, results and object formats of the platform's object store."""

from ._codec import (
    MAX_VALUE_BYTES,
    TERM_PREFIX,
    TICKET_PREFIX,
    CodecError,
    CodecFailure,
    decode_term,
    decode_ticket,
    encode_term,
    encode_ticket,
    term_key,
    ticket_key,
)
from ._objects import (
    ListObjects,
    ReadObject,
    StoreCall,
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
)

__all__ = [
    "CodecError",
    "CodecFailure",
    "ListObjects",
    "MAX_VALUE_BYTES",
    "ReadObject",
    "StoreCall",
    "StoreFailure",
    "StoreResult",
    "StoredObject",
    "TERM_PREFIX",
    "TICKET_PREFIX",
    "WriteObject",
    "decode_term",
    "decode_ticket",
    "encode_term",
    "encode_ticket",
    "term_key",
    "ticket_key",
]
