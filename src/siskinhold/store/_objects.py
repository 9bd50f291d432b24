"""Calls to the platform's object store and their results."""

import enum

from msgspec import Struct


class StoreFailure(enum.Enum):
    """Why a store call failed.

    After `NO_ANSWER`, a write may or may not have taken effect. `CONFLICT`
    means that the object's version was not the expected one, so the write did
    not take effect.
    """

    NO_ANSWER = "no_answer"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    REJECTED = "rejected"


class StoredObject(Struct, frozen=True, kw_only=True):
    """An object in the store.

    Args:
        key: path-like key such as `ticket/7`.
        value: encoded value, at most 1 MB.
        version: increases with each change of this object; 0 stands for absent.
        revision: the store-wide revision of the last change.
    """

    key: str
    value: bytes
    version: int
    revision: int


class ReadObject(Struct, frozen=True, kw_only=True, tag="read"):
    """Reads one object."""

    key: str


class ListObjects(Struct, frozen=True, kw_only=True, tag="list"):
    """Reads all objects whose key starts with a prefix."""

    prefix: str


class WriteObject(Struct, frozen=True, kw_only=True, tag="write"):
    """Writes one object if its version is the expected one.

    Args:
        key: key of the object.
        value: encoded value.
        expected_version: current version; 0 if the object must be absent.
        expected_era: era of that version; 0 if the write is not conditional on it.
    """

    key: str
    value: bytes
    expected_version: int
    expected_era: int = 0


StoreCall = ReadObject | ListObjects | WriteObject


class StoreResult(Struct, frozen=True, kw_only=True):
    """The result of a store call.

    Args:
        failure: None on success.
        objects: the objects read, or the object written.
        revision: the store-wide revision that the answer reflects.
        era: rises each time the store is restored from a copy; 0 if the store has
            no eras. Revisions and versions compare within one era only.
    """

    failure: StoreFailure | None = None
    objects: tuple[StoredObject, ...] = ()
    revision: int = 0
    era: int = 0
