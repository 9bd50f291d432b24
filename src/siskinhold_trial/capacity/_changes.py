"""Costs of change tickets and of term records."""

import msgspec

from siskinhold.core import NodeState
from siskinhold.messages import TermsPushed, TermsWanted, TicketsPushed, TicketsWanted
from siskinhold.model import Reservation, TermRecord, TermStart

from ._samples import (
    add_databases,
    add_peers,
    make_groups,
    make_node,
    make_ticket,
    measure_envelope,
    receive,
)
from ._series import Series, measure_allocated_bytes, measure_cpu_seconds

TICKET_COUNTS = (10, 100, 1_000)
DATABASE_COUNTS = (10, 100, 1_000)
PROMOTION_COUNTS = (1, 20, 100)
KNOWN_VM_COUNT = 100
DATABASE_COUNT = 100


def measure_tickets(counts: tuple[int, ...] = TICKET_COUNTS) -> list[Series]:
    """Measure histories of tickets that each change one group of 3 databases."""
    applying = []
    memory = []
    answering = []
    sent = []
    for count in counts:
        node = _make_node(DATABASE_COUNT)
        spent = measure_cpu_seconds(lambda: _apply_tickets(node, count))
        applying.append((count, spent * 1e3))
        asked = TicketsWanted(first=1)
        effects: list = []
        spent = measure_cpu_seconds(
            lambda: effects.extend(receive(node, "vm-0001", asked))
        )
        answering.append((count, spent * 1e3))
        sent.append((count, sum(measure_envelope(e.message) for e in effects)))
        fresh = _make_node(DATABASE_COUNT)
        memory.append(
            (count, measure_allocated_bytes(lambda: _apply_tickets(fresh, count)))
        )
    return [
        Series(measure="tickets", name=n, size="tickets", unit=u, points=p)
        for n, u, p in (
            ("time to apply all", "ms", applying),
            ("memory of the history", "B", memory),
            ("time to answer a VM that has none", "ms", answering),
            ("bytes of that answer", "B", sent),
        )
    ]


def measure_configuration(counts: tuple[int, ...] = DATABASE_COUNTS) -> list[Series]:
    """Measure a ticket that changes one group, by the number of databases."""
    applying = []
    memory = []
    sizes = []
    for count in counts:
        node = _make_node(count)
        applying.append(
            (count, measure_cpu_seconds(lambda: _apply_tickets(node, 20)) / 20 * 1e3)
        )
        fresh = make_node()
        add_peers(fresh, KNOWN_VM_COUNT)
        memory.append(
            (count, measure_allocated_bytes(lambda: add_databases(fresh, count)))
        )
        sizes.append((count, len(msgspec.msgpack.encode(make_groups(count)))))
    return [
        Series(measure="configuration", name=n, size="databases", unit=u, points=p)
        for n, u, p in (
            ("time of one ticket", "ms", applying),
            ("memory, polled state included", "B", memory),
            ("encoded state", "B", sizes),
        )
    ]


def measure_terms(counts: tuple[int, ...] = PROMOTION_COUNTS) -> list[Series]:
    """Measure a term record by its promotions, and all records by databases."""
    sizes = [(n, len(msgspec.msgpack.encode(_make_record(n)))) for n in counts]
    learning = []
    answers = []
    for databases in DATABASE_COUNTS:
        node = make_node()
        add_peers(node, KNOWN_VM_COUNT)
        add_databases(node, databases)
        record = TermsPushed(records=(_make_record(2),))
        spent = measure_cpu_seconds(lambda: receive(node, "vm-0001", record))
        learning.append((databases, spent * 1e6))
        effects = receive(node, "vm-0001", TermsWanted())
        answers.append((databases, sum(measure_envelope(e.message) for e in effects)))
    return [
        Series(
            measure="terms",
            name="bytes of a record",
            size="promotions",
            unit="B",
            points=sizes,
        ),
        Series(
            measure="terms",
            name="time to learn one record",
            size="databases",
            unit="us",
            points=learning,
        ),
        Series(
            measure="terms",
            name="bytes of all records for a VM that asks",
            size="databases",
            unit="B",
            points=answers,
        ),
    ]


def _make_node(databases: int) -> NodeState:
    node = make_node()
    add_peers(node, KNOWN_VM_COUNT)
    add_databases(node, databases)
    return node


def _apply_tickets(node: NodeState, count: int) -> None:
    first = node.config.applied + 1
    groups = make_groups(9)
    for number in range(first, first + count):
        ticket = make_ticket(number, (groups[number % 3],))
        receive(node, "vm-0001", TicketsPushed(tickets=(ticket,)))


def _make_record(promotions: int) -> TermRecord:
    starts = []
    for number in range(1, promotions + 1):
        primary = f"db-0000-{number % 3}"
        starts.append(
            TermStart(term=number, offset=number * 1_000_000, primary=primary)
        )
    reserved = Reservation(term=promotions, vm="vm-0001", run=f"{promotions:032x}")
    return TermRecord(database="db-0000", starts=tuple(starts), reservation=reserved)
