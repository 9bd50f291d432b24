"""The timeline tool, `siskinhold-timeline`: merges the event logs of processes.

The order is causal: by logical clock, then by VM and sequence. The events of one
process always keep their order.
"""

import json
import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from ..observability import quote

COLUMN_FIELDS = ("vm", "incarnation", "clock", "sequence", "wall", "event")
"""Fields that are printed in columns; the others follow as key=value pairs."""

_PAIR = re.compile(r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|\Z)')
_REQUIRED = ("vm", "incarnation", "clock", "sequence", "event")


@dataclass(slots=True, kw_only=True)
class Entry:
    """One event of a log.

    Args:
        fields: all key=value pairs of the line.
        vm: VM of the process.
        incarnation: incarnation of the VM.
        sequence: position among the events of the process.
        clock: logical clock. Merging raises it to that of the process's earlier events
            if it is lower.
    """

    fields: dict[str, str]
    vm: str
    incarnation: int
    sequence: int
    clock: int


def parse_pairs(line: str) -> list[tuple[str, str]] | None:
    """Return the pairs of a line; None if it has anything but key=value pairs.

    A text within another one, such as `user='a event=b'`, is no pair.

    >>> parse_pairs('a=1 b="c d=2"'), parse_pairs("a=1 b")
    ([('a', '1'), ('b', 'c d=2')], None)
    """
    pairs = []
    line = line.strip()
    end = 0
    while end < len(line):
        match = _PAIR.match(line, end)
        if match is None:
            return None
        key, value = match.groups()
        if value.startswith('"'):
            try:
                value = json.loads(value)
            except ValueError:
                return None
        pairs.append((key, value))
        end = match.end()
    return pairs


def parse_line(line: str) -> Entry | None:
    """Return the event that a line describes; None for any other line.

    An event names each field once.

    >>> parse_line('vm=a incarnation=1 clock=2 sequence=3 event=x cause="y z"').fields
    ... # doctest: +ELLIPSIS
    {'vm': 'a', ..., 'cause': 'y z'}
    """
    pairs = parse_pairs(line) or []
    fields = dict(pairs)
    if len(fields) < len(pairs):
        return None
    if any(key not in fields for key in _REQUIRED):
        return None
    try:
        return Entry(
            fields=fields,
            vm=fields["vm"],
            incarnation=int(fields["incarnation"]),
            sequence=int(fields["sequence"]),
            clock=int(fields["clock"]),
        )
    except ValueError:
        return None


def merge_entries(entries: Iterable[Entry]) -> list[Entry]:
    """Return the entries in causal order, without duplicates."""
    processes: dict[tuple[str, int], dict[int, Entry]] = {}
    for entry in entries:
        process = processes.setdefault((entry.vm, entry.incarnation), {})
        process.setdefault(entry.sequence, entry)
    merged = []
    for process in processes.values():
        clock = 0
        for sequence in sorted(process):
            entry = process[sequence]
            clock = entry.clock = max(clock, entry.clock)
            merged.append(entry)
    merged.sort(key=lambda e: (e.clock, e.vm, e.incarnation, e.sequence))
    return merged


def select_entries(entries: list[Entry], filters: dict[str, str]) -> list[Entry]:
    """Return the entries whose fields match all filters."""
    selected = []
    for entry in entries:
        if all(entry.fields.get(key) == value for key, value in filters.items()):
            selected.append(entry)
    return selected


def select_request_events(entries: list[Entry], request: str) -> list[Entry]:
    """Return the events of a request and those that may have delayed it.

    The latter are the events between the first and the last event of the request that
    concern its database and no other request.
    """
    indexes = [
        index
        for index, entry in enumerate(entries)
        if entry.fields.get("request") == request
    ]
    if not indexes:
        return []
    request_entries = [entries[index] for index in indexes]
    databases = {entry.fields.get("database") for entry in request_entries} - {None}
    found = []
    for entry in entries[indexes[0] : indexes[-1] + 1]:
        other = entry.fields.get("request")
        if other == request:
            found.append(entry)
        elif other is None and entry.fields.get("database") in databases:
            found.append(entry)
    return found


def format_reason(entries: list[Entry], request: str) -> str:
    """Return a sentence about the last event of the request that has a cause."""
    for entry in reversed(entries):
        cause = entry.fields.get("cause")
        if entry.fields.get("request") == request and cause:
            event, vm = quote(entry.fields["event"]), quote(entry.vm)
            text = cause if cause.isprintable() else json.dumps(cause)
            return f"{request}: {event} on {vm} because: {text}"
    return f"{request}: no event names a cause"


@dataclass
class Timeline:
    """Merge event logs in causal order.

    Filters are joined by "and". Lines that are no events, or hold anything but
    key=value pairs, are passed over.
    """

    logs: Annotated[list[str], cappa.Arg(help="Log files; - for standard input.")]
    database: Annotated[str, cappa.Arg(long=True, help="Only this database.")] = ""
    session: Annotated[str, cappa.Arg(long=True, help="Only this session.")] = ""
    request: Annotated[str, cappa.Arg(long=True, help="Only this request.")] = ""
    ticket: Annotated[str, cappa.Arg(long=True, help="Only this ticket.")] = ""
    vm: Annotated[str, cappa.Arg(long=True, help="Only this VM.")] = ""
    event: Annotated[str, cappa.Arg(long=True, help="Only this event.")] = ""
    why: Annotated[
        str, cappa.Arg(long=True, help="Tell why a request waited or was refused.")
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON lines.")] = field(
        default=False
    )

    def __call__(self) -> int:
        """Print the selected events; return the exit status.

        It is 1 if a log can't be read or no event matches.
        """
        entries: list[Entry] = []
        for path in self.logs:
            try:
                entries.extend(_read_log(path))
            except OSError as error:
                print(f"cannot read {path}: {error.strerror}", file=sys.stderr)
                return 1
        entries = merge_entries(entries)
        if self.why:
            entries = select_request_events(entries, self.why)
        selected = select_entries(entries, self._build_filter())
        for entry in selected:
            print(json.dumps(entry.fields) if self.json else _format(entry))
        if self.why and selected and not self.json:
            print(format_reason(entries, self.why))
        return 0 if selected else 1

    def _build_filter(self) -> dict[str, str]:
        keys = ("database", "session", "request", "ticket", "vm", "event")
        return {key: getattr(self, key) for key in keys if getattr(self, key)}


def main(argv: list[str] | None = None) -> None:
    """Run the program and exit with its exit status."""
    raise SystemExit(cappa.invoke(Timeline, argv=argv))


def _read_log(path: str) -> list[Entry]:
    if path == "-":
        return _parse_lines(sys.stdin)
    with open(path, encoding="utf-8", errors="replace") as log:
        return _parse_lines(log)


def _parse_lines(lines: Iterable[str]) -> list[Entry]:
    """Return the events of a log; other lines are skipped."""
    entries = []
    for line in lines:
        entry = parse_line(line)
        if entry is not None:
            entries.append(entry)
    return entries


def _format(entry: Entry) -> str:
    """Return an event as a line with columns, followed by key=value pairs."""
    columns = [
        f"{entry.clock:>8}",
        quote(entry.fields.get("wall", "-")),
        quote(f"{entry.vm}.{entry.incarnation}"),
        quote(entry.fields["event"]),
    ]
    for key, value in entry.fields.items():
        if key not in COLUMN_FIELDS:
            columns.append(f"{key}={quote(value)}")
    return " ".join(columns)


if __name__ == "__main__":
    main()
