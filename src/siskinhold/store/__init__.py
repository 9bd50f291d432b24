"""The platform's object store as the reducer sees it."""

from ._codec import (
    TERM_PREFIX,
    TICKET_PREFIX,
    Unreadable,
    decode_record,
    decode_ticket,
    encode_record,
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
    "ListObjects",
    "ReadObject",
    "StoreCall",
    "StoreFailure",
    "StoreResult",
    "StoredObject",
    "TERM_PREFIX",
    "TICKET_PREFIX",
    "Unreadable",
    "WriteObject",
    "decode_record",
    "decode_ticket",
    "encode_record",
    "encode_ticket",
    "term_key",
    "ticket_key",
]
