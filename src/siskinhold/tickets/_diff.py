"""Lists the differences between two ticket states."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import msgspec

from ..model import BackendServer, Database, DatabaseGroup
from ._state import TicketState


class DiffKind(enum.Enum):
    """The kind of a difference between two states."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(slots=True, frozen=True, kw_only=True)
class DiffLine:
    """One difference between two states.

    Args:
        kind: whether an item was added or removed, or a field changed.
        path: `group`, `group/database` or `group/database/server`, followed by
            `.field` for a changed field.
        before: the old value of a changed field; a removed server's address,
            location and state; otherwise empty.
        after: the new value of a changed field; an added server's address,
            location and state; otherwise empty.
    """

    kind: DiffKind
    path: str
    before: str = ""
    after: str = ""


def diff_states(before: TicketState, after: TicketState) -> list[DiffLine]:
    """Return the differences in ascending order of path.

    An added or removed group or database is followed by a line for each
    database and server in it.
    """
    lines = list(_diff_named(before.groups, after.groups, "", _diff_group))
    return sorted(lines, key=lambda line: line.path)


def _diff_group(
    path: str, before: DatabaseGroup | None, after: DatabaseGroup | None
) -> Iterator[DiffLine]:
    """Yield changed routing rules and the differences of the databases."""
    if before is not None and after is not None:
        yield from _diff_fields(f"{path}.rules", before.rules, after.rules)
    yield from _diff_named(
        _index_by_name(before.databases if before else ()),
        _index_by_name(after.databases if after else ()),
        f"{path}/",
        _diff_database,
    )


def _diff_database(
    path: str, before: Database | None, after: Database | None
) -> Iterator[DiffLine]:
    """Yield a changed primary and the differences of the servers."""
    if before is not None and after is not None:
        yield from _diff_field(path, "primary", before.primary, after.primary)
    yield from _diff_named(
        _index_by_name(before.servers if before else ()),
        _index_by_name(after.servers if after else ()),
        f"{path}/",
        _diff_fields,
    )


def _diff_named(
    before: Mapping, after: Mapping, prefix: str, diff_parts
) -> Iterator[DiffLine]:
    """Yield added and removed items, and the differences within all that differ.

    Args:
        before: the old items by name.
        after: the new items by name.
        prefix: start of each item's path.
        diff_parts: yields the differences within an item; one side may be None.
    """
    for name in sorted(before.keys() | after.keys()):
        old = before.get(name)
        new = after.get(name)
        path = f"{prefix}{name}"
        if old is None:
            yield DiffLine(kind=DiffKind.ADDED, path=path, after=_summarise(new))
        if new is None:
            yield DiffLine(kind=DiffKind.REMOVED, path=path, before=_summarise(old))
        if old != new:
            yield from diff_parts(path, old, new)


def _diff_fields(
    path: str, before: msgspec.Struct | None, after: msgspec.Struct | None
) -> Iterator[DiffLine]:
    """Yield the changed fields; nothing if an item was added or removed."""
    if before is None or after is None:
        return
    for field in before.__struct_fields__:
        old = getattr(before, field)
        new = getattr(after, field)
        yield from _diff_field(path, field, old, new)


def _diff_field(path: str, field: str, old: object, new: object) -> Iterator[DiffLine]:
    if old == new:
        return
    yield DiffLine(
        kind=DiffKind.CHANGED,
        path=f"{path}.{field}",
        before=_format_value(old),
        after=_format_value(new),
    )


def _summarise(item: object) -> str:
    """Return a server's address, location and state; empty for other items."""
    if not isinstance(item, BackendServer):
        return ""
    location = f"{item.region}/{item.availability_zone}"
    return f"{item.host}:{item.port} {location} {item.state.value}"


def _format_value(value: object) -> str:
    return str(value.value if isinstance(value, enum.Enum) else value)


def _index_by_name(items: tuple) -> dict:
    return {item.name: item for item in items}
