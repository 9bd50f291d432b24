"""The objects of the store stand-in, without I/O."""

from collections.abc import Callable

from msgspec import Struct
from sortedcontainers import SortedDict

from siskinhold.store import (
    ListObjects,
    ReadObject,
    StoreCall,
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
)

MAX_VALUE_BYTES = 1_000_000
MAX_KEY_CHARACTERS = 512
# Limit for the values in one page of a list or watch answer. It bounds the memory
# of a receiver whatever the size of the store, and fits a value of maximum size.
PAGE_BYTES = 4_000_000

Listener = Callable[[], None]


class StoreCopy(Struct, frozen=True, kw_only=True):
    """All objects of a store at one revision."""

    objects: tuple[StoredObject, ...]
    revision: int


class StoreEngine:
    """Objects with versions, a store-wide revision and conditional updates.

    Every accepted write increments the revision and is visible to all later
    calls. Objects are never deleted. Only a restored copy takes writes back.

    >>> engine = StoreEngine()
    >>> write = WriteObject(key="ticket/1", value=b"a", expected_version=0)
    >>> engine.call(write).objects[0].version
    1
    >>> engine.call(write).failure
    <StoreFailure.CONFLICT: 'conflict'>
    """

    def __init__(self, *, page_bytes: int = PAGE_BYTES) -> None:
        self._page_bytes = page_bytes
        self._objects: SortedDict = SortedDict()
        self._keys_by_revision: SortedDict = SortedDict()
        self._listeners: list[Listener] = []
        self.revision = 0
        self.era = 0

    def save_copy(self) -> StoreCopy:
        """Return a copy of all objects for `restore`."""
        return StoreCopy(objects=tuple(self._objects.values()), revision=self.revision)

    def restore(self, copy: StoreCopy, *, raise_era: bool) -> None:
        """Replace all objects by a copy; its revisions and versions are in force again.

        Args:
            raise_era: whether the era rises. It stays 0 in a store without eras.
        """
        self._objects.clear()
        self._keys_by_revision.clear()
        for stored in copy.objects:
            self._objects[stored.key] = stored
            self._keys_by_revision[stored.revision] = stored.key
        self.revision = copy.revision
        self.era += raise_era
        for listener in tuple(self._listeners):
            listener()

    def call(self, operation: StoreCall) -> StoreResult:
        """Execute a call; a list is returned in one page."""
        if isinstance(operation, WriteObject):
            return self._write(operation)
        if isinstance(operation, ReadObject):
            return self._read(operation)
        objects = tuple(self._iterate(operation.prefix, start_after=""))
        return StoreResult(objects=objects, revision=self.revision)

    def list_page(
        self, operation: ListObjects, *, start_after: str = ""
    ) -> tuple[StoreResult, bool]:
        """Return one page of a list and whether more objects follow.

        Args:
            start_after: return only objects with a greater key; empty for all.
        """
        objects, more = self._collect_page(self._iterate(operation.prefix, start_after))
        return StoreResult(objects=objects, revision=self.revision), more

    def changes(self, prefix: str, *, after: int) -> StoreResult:
        """Return the objects changed after a revision, ascending by revision.

        An object that changed more than once appears once, in its current
        state. The result contains every change up to its revision.
        """
        objects, more = self._collect_page(self._iterate_changes(prefix, after))
        revision = objects[-1].revision if more else self.revision
        return StoreResult(objects=objects, revision=revision)

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call `listener` after every accepted write.

        Returns:
            A function that ends the subscription.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def _write(self, operation: WriteObject) -> StoreResult:
        if not _is_acceptable(operation):
            return StoreResult(failure=StoreFailure.REJECTED, revision=self.revision)
        current = self._objects.get(operation.key)
        version = current.version if current else 0
        stale = operation.expected_era not in (0, self.era)
        if stale or version != operation.expected_version:
            return StoreResult(
                failure=StoreFailure.CONFLICT,
                objects=(current,) if current else (),
                revision=self.revision,
            )
        self.revision += 1
        written = StoredObject(
            key=operation.key,
            value=operation.value,
            version=version + 1,
            revision=self.revision,
        )
        if current:
            del self._keys_by_revision[current.revision]
        self._objects[written.key] = written
        self._keys_by_revision[written.revision] = written.key
        for listener in tuple(self._listeners):
            listener()
        return StoreResult(objects=(written,), revision=self.revision)

    def _read(self, operation: ReadObject) -> StoreResult:
        found = self._objects.get(operation.key)
        if found is None:
            return StoreResult(failure=StoreFailure.NOT_FOUND, revision=self.revision)
        return StoreResult(objects=(found,), revision=self.revision)

    def _iterate(self, prefix: str, start_after: str):
        first = max(prefix, start_after)
        for key in self._objects.irange(first, inclusive=(not start_after, True)):
            if not key.startswith(prefix):
                return
            yield self._objects[key]

    def _iterate_changes(self, prefix: str, after: int):
        for revision in self._keys_by_revision.irange(after, inclusive=(False, True)):
            key = self._keys_by_revision[revision]
            if key.startswith(prefix):
                yield self._objects[key]

    def _collect_page(self, objects) -> tuple[tuple[StoredObject, ...], bool]:
        page: list[StoredObject] = []
        size = 0
        for stored in objects:
            size += len(stored.value)
            if page and size > self._page_bytes:
                return tuple(page), True
            page.append(stored)
        return tuple(page), False


def _is_acceptable(operation: WriteObject) -> bool:
    key = operation.key
    if not key or len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        return False
    return len(operation.value) <= MAX_VALUE_BYTES and operation.expected_version >= 0
