"""Costs of statements, status polls and confirmation rounds."""

import itertools
import random

from siskinhold import events
from siskinhold.core import NodeState
from siskinhold.core._membership import find_owner
from siskinhold.messages import Heartbeat
from siskinhold.model import Marks, Position, StatementKind

from ._bench import Bench
from ._samples import add_databases, make_node, make_view, receive
from ._series import Series

RATES = (100, 340, 1_000)
CONCURRENCIES = (1, 8, 64)
POLLED_COUNTS = (1, 3, 10)
READ_SHARE = 0.8
WARM_UP_TIME = 1.5
MAX_THINK_TIME = 0.004
"""Maximum pause of a writer in seconds; pauses are random, so that writers don't
run in lockstep."""
READ = "SELECT id, name FROM parts WHERE id = 123456 AND kind = 'hinge'"
WRITE = "UPDATE parts SET stock = stock - 1 WHERE id = 123456"
DATABASE_COUNT = 8
ENTRY, REMOTE_ENTRY, OWNER = 4, 1, 2
"""Indexes of VMs; `ENTRY` and `OWNER` are in the region east."""


def measure_statements(
    rates: tuple[int, ...] = RATES, seconds: float = 4.0
) -> list[Series]:
    """Measure reducers under open-loop load with four reads to one write."""
    entry = []
    owner = []
    messages = []
    queries = []
    idle = _run_load(0, seconds)
    for rate in rates:
        busy = _run_load(rate, seconds)
        count = max(busy[0], 1)
        entry.append((rate, (busy[1] - idle[1]) / count * 1e6))
        owner.append((rate, (busy[2] - idle[2]) / count * 1e6))
        messages.append((rate, (busy[3] - idle[3]) / count))
        queries.append((rate, (busy[4] - idle[4]) / count))
    return [
        Series(measure="statements", name=n, size="statements/s", unit=u, points=p)
        for n, u, p in (
            ("entry reducer time a statement", "us", entry),
            ("owner reducer time a statement", "us", owner),
            ("messages between VMs a statement", "1", messages),
            ("status queries a statement, beyond polls", "1", queries),
        )
    ]


def measure_polls(
    counts: tuple[int, ...] = POLLED_COUNTS, seconds: float = 10.0
) -> list[Series]:
    """Measure the only VM of a fleet, which owns all databases and is idle."""
    near = []
    far = []
    spent = []
    for count in counts:
        node = make_node()
        vm = node.identity.name
        bench = Bench(node)
        bench.carry_out(vm, add_databases(node, count))
        bench.run(WARM_UP_TIME)
        bench.reset()
        bench.run(seconds)
        near.append((count, bench.queries[vm, False] / seconds))
        far.append((count, bench.queries[vm, True] / seconds))
        spent.append((count, bench.seconds[vm] / seconds * 1e6))
    return [
        Series(measure="polls", name=n, size="databases", unit=u, points=p)
        for n, u, p in (
            ("status queries within the region", "1/s", near),
            ("status queries across the link", "1/s", far),
            ("reducer time", "us/s", spent),
        )
    ]


def measure_confirmations(
    concurrencies: tuple[int, ...] = CONCURRENCIES, seconds: float = 3.0
) -> list[Series]:
    """Measure status queries per write with writers that await each answer."""
    queries = []
    times = []
    owner = []
    for concurrency in concurrencies:
        count, query_count, spent = _run_writers(concurrency, seconds)
        queries.append((concurrency, query_count / max(count, 1)))
        times.append((concurrency, concurrency * seconds / max(count, 1) * 1e3))
        owner.append((concurrency, spent / max(count, 1) * 1e6))
    return [
        Series(measure="confirmations", name=n, size="writers", unit=u, points=p)
        for n, u, p in (
            ("status queries a write, polls included", "1", queries),
            ("time of a write and a pause of 2 ms", "ms", times),
            ("owner reducer time a write", "us", owner),
        )
    ]


def measure_forwarding(
    lengths: tuple[int, ...] = (64, 256, 1_024), rows: tuple[int, ...] = (1, 10, 100)
) -> list[Series]:
    """Measure the bytes that a statement from another region sends across the link."""
    by_length = [
        (n, _send_across(WRITE.ljust(n), StatementKind.WRITE, 1)) for n in lengths
    ]
    by_rows = [(n, _send_across(READ, StatementKind.READ, n)) for n in rows]
    return [
        Series(
            measure="forwarding",
            name="bytes across the link a write",
            size="bytes of SQL",
            unit="B",
            points=by_length,
        ),
        Series(
            measure="forwarding",
            name="bytes across the link a strong read",
            size="rows",
            unit="B",
            points=by_rows,
        ),
    ]


def _make_pair(entry_index: int, slots: int = 5, **options):
    """Return a bench, its entry VM, an owner VM and a database of that owner."""
    entry = make_node(entry_index)
    owner = make_node(OWNER)
    bench = Bench(entry, owner, **options)
    for node, other in ((entry, OWNER), (owner, entry_index)):
        _add_vm(node, other)
        effects = add_databases(node, DATABASE_COUNT, slots=slots)
        bench.carry_out(node.identity.name, effects)
    for index in range(0, DATABASE_COUNT, 2):
        name = f"db-{index:04d}"
        if find_owner(entry, name, "east") == owner.identity.name:
            return bench, entry.identity.name, owner.identity.name, name
    raise RuntimeError("no database has the wanted owner")


def _add_vm(node: NodeState, other: int) -> None:
    view = make_view(other)
    receive(node, view.address.name, Heartbeat(views=(view,)))


def _open_caller(bench: Bench, vm: str, session: int, database: str) -> None:
    bench.feed(
        vm,
        events.CallerOpened,
        session=session,
        user=f"tenant-{session % 20}",
        database=database,
    )
    positions = {database: Position(1, 0)}
    bench.feed(vm, events.TokenPresented, session=session, positions=positions)


def _send(bench: Bench, vm: str, session: int, kind: StatementKind, sql: str) -> None:
    bench.feed(
        vm,
        events.StatementReceived,
        session=session,
        kind=kind,
        sql=sql,
        marks=Marks(),
    )


def _run_load(rate: int, seconds: float) -> tuple[int, float, float, int, int]:
    """Return answers, entry and owner seconds, messages and status queries."""
    bench, vm, owner, database = _make_pair(ENTRY)
    rng = random.Random(1)
    free = list(range(1, 401))
    answered = itertools.count()
    for session in free:
        _open_caller(bench, vm, session, database)

    def reply(_vm, effect):
        free.append(effect.session)
        next(answered)

    def arrive():
        bench.call_later(rng.expovariate(rate), arrive)
        if not free:
            return
        read = rng.random() < READ_SHARE
        kind = StatementKind.READ if read else StatementKind.WRITE
        _send(bench, vm, free.pop(0), kind, READ if read else WRITE)

    bench.on_reply = reply
    bench.run(WARM_UP_TIME)
    if rate:
        bench.call_later(0.0, arrive)
        bench.run(1.0)
    bench.reset()
    before = next(answered)
    bench.run(seconds)
    count = next(answered) - before - 1
    total = bench.sent.total()
    query_count = bench.queries.total()
    return count, bench.seconds[vm], bench.seconds[owner], total, query_count


def _run_writers(concurrency: int, seconds: float) -> tuple[int, int, float]:
    """Return the number of writes, of status queries and the owner's seconds."""
    bench, vm, owner, database = _make_pair(ENTRY, slots=64)
    answered = itertools.count()
    rng = random.Random(1)

    def reply(_vm, effect):
        next(answered)
        session = effect.session
        pause = rng.uniform(0.0, MAX_THINK_TIME)
        bench.call_later(pause, _send, bench, vm, session, StatementKind.WRITE, WRITE)

    bench.on_reply = reply
    bench.run(WARM_UP_TIME)
    for session in range(1, concurrency + 1):
        _open_caller(bench, vm, session, database)
        bench.call_later(0.0, _send, bench, vm, session, StatementKind.WRITE, WRITE)
    bench.run(1.0)
    bench.reset()
    before = next(answered)
    bench.run(seconds)
    count = next(answered) - before - 1
    queries_by_distance = [bench.queries[owner, far] for far in (False, True)]
    idle = _count_idle_queries(bench, owner, database, seconds)
    return count, sum(queries_by_distance) - idle, bench.seconds[owner]


def _count_idle_queries(bench: Bench, owner: str, database: str, seconds: float) -> int:
    """Return the polls of the owner's other databases, to be left out of the count.

    A server is polled every 0.1 s in the region of the owner, else every 0.25 s.
    """
    node = bench.nodes[owner]
    rate = 0.0
    for health in node.health.servers.values():
        if health.database == database:
            continue
        near = health.server.region == node.identity.address.region
        rate += 1 / 0.1 if near else 1 / 0.25
    return round(rate * seconds)


def _send_across(sql: str, kind: StatementKind, rows: int) -> int:
    """Return the bytes between VMs of one statement from another region."""
    bench, vm, owner, database = _make_pair(REMOTE_ENTRY, rows=rows)
    bench.run(WARM_UP_TIME)
    _open_caller(bench, vm, 1, database)
    bench.reset()
    if kind is StatementKind.READ:
        # The first statement of a transaction runs on the primary.
        _send(bench, vm, 1, StatementKind.BEGIN, "BEGIN")
    _send(bench, vm, 1, kind, sql)
    bench.run(1.0)
    names = ("Forward", "Answer")
    return sum(bench.sent_bytes[node, name] for node in (vm, owner) for name in names)
