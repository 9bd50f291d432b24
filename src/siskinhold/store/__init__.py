"""The platform's object store as the reducer sees it."""

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
    "WriteObject",
]
