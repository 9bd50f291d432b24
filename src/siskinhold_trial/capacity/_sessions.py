"""Costs of sessions and of queued statements by their number."""

from siskinhold import events
from siskinhold.core import NodeState, reduce
from siskinhold.messages import Forward
from siskinhold.model import Marks, Position, Request, RequestId, StatementKind

from ._samples import add_databases, add_peers, make_node, receive
from ._series import Series, measure_allocated_bytes, measure_cpu_seconds

SESSION_COUNTS = (1_000, 10_000, 100_000)
QUEUE_COUNTS = (100, 300, 1_000, 3_000)
DATABASE_COUNT = 20
READ = "SELECT id, name FROM parts WHERE id = 123456 AND kind = 'hinge'"
ENTRY, OWNER = 4, 2
"""Indexes of the entry VM and of the pool owner."""
ENTRY_PEERS = 2_000
"""VMs known to the entry VM, so many that it owns hardly any database itself."""


def measure_sessions(counts: tuple[int, ...] = SESSION_COUNTS) -> list[Series]:
    """Measure the memory of idle sessions and of statements in flight."""
    sessions = []
    requests = []
    for count in counts:
        node = _make_entry()
        sessions.append(
            (count, measure_allocated_bytes(lambda: _open_sessions(node, count)))
        )
        requests.append(
            (count, measure_allocated_bytes(lambda: _send_reads(node, count)))
        )
    return [
        Series(measure="sessions", name=n, size="sessions", unit="B", points=p)
        for n, p in (
            ("memory of idle sessions", sessions),
            ("memory of one read under way in each", requests),
        )
    ]


def measure_queue(counts: tuple[int, ...] = QUEUE_COUNTS) -> list[Series]:
    """Measure an owner whose queue grows because it reaches none of its servers."""
    memory = []
    growing = []
    remote = []
    for count in counts:
        node = _make_owner()
        memory.append(
            (count, measure_allocated_bytes(lambda: _queue_reads(node, "east", count)))
        )
        for region, points in (("east", growing), ("west", remote)):
            node = _make_owner()
            spent = measure_cpu_seconds(lambda: _queue_reads(node, region, count))
            points.append((count, spent / count * 1e6))
    return [
        Series(
            measure="queue",
            name="memory of waiting work",
            size="works",
            unit="B",
            points=memory,
        ),
        Series(
            measure="queue",
            name="reducer time to queue one, mean",
            size="works",
            unit="us",
            points=growing,
        ),
        Series(
            measure="queue",
            name="the same in a region without the primary",
            size="works",
            unit="us",
            points=remote,
        ),
    ]


def _make_entry() -> NodeState:
    node = make_node(ENTRY)
    add_peers(node, ENTRY_PEERS)
    add_databases(node, DATABASE_COUNT)
    return node


def _make_owner() -> NodeState:
    node = make_node(OWNER)
    add_databases(node, DATABASE_COUNT)
    return node


def _open_sessions(node: NodeState, count: int) -> None:
    for number in range(1, count + 1):
        database = f"db-{number % DATABASE_COUNT:04d}"
        opened = events.CallerOpened(
            at=node.now, session=number, user=f"tenant-{number % 50}", database=database
        )
        reduce(node, opened)
        positions = {database: Position(3, 1_000_000 + number)}
        reduce(
            node,
            events.TokenPresented(at=node.now, session=number, positions=positions),
        )


def _send_reads(node: NodeState, count: int) -> None:
    for number in range(1, count + 1):
        reduce(
            node,
            events.StatementReceived(
                at=node.now,
                session=number,
                kind=StatementKind.READ,
                sql=f"{READ} -- {number}",
                marks=Marks(),
            ),
        )


def _queue_reads(node: NodeState, region: str, count: int) -> None:
    for number in range(1, count + 1):
        request = Request(
            id=RequestId("vm-0001", 1_790_000_000, number),
            database="db-0000",
            tenant=f"tenant-{number % 50}",
            kind=StatementKind.READ,
            sql=f"{READ} -- {number}",
        )
        message = Forward(request=request, region=region, ticket=1)
        receive(node, "vm-0001", message)
