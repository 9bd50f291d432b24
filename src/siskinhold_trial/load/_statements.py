"""The statements of a load: their kinds, service times and tenants."""

import random
from dataclasses import dataclass

from siskinhold.model import Marks, StatementKind

SHORT_SERVICE_TIME = 0.003
"""Mean service time of short work in seconds; it is exponential."""
STRAGGLER_SERVICE_TIMES = (0.3, 1.0)
"""Least and greatest service time of a straggler in seconds."""
ROUND_TRIP_TIME = 0.002
"""Seconds that a statement's way to a replica and back adds to its slot time."""


@dataclass(slots=True, frozen=True, kw_only=True)
class StatementMix:
    """Shares of the kinds of statements.

    Args:
        stragglers: share of stragglers among all statements; they are reads.
        own_shape: whether stragglers have a shape of their own.
        writes: share of writes among the others.
        marked: share of writes that are marked as not to be repeated.
        tenants: number of tenants, all alike.
        deadline_ms: time a short statement may take.
        long_deadline_ms: time a straggler may take.
    """

    stragglers: float = 0.0
    own_shape: bool = True
    writes: float = 0.1
    marked: float = 0.5
    tenants: int = 4
    deadline_ms: int = 5_000
    long_deadline_ms: int = 30_000


@dataclass(slots=True, frozen=True, kw_only=True)
class Statement:
    """One statement of a load; `cost` is its service time in seconds."""

    kind: StatementKind
    sql: str
    marks: Marks
    cost: float
    long: bool
    tenant: str


def draw_statement(mix: StatementMix, rng: random.Random, number: int) -> Statement:
    """Return the statement of an arrival."""
    tenant = f"tenant-{number % mix.tenants}"
    if rng.random() < mix.stragglers:
        return _draw_straggler(mix, rng, tenant)
    cost = rng.expovariate(1 / SHORT_SERVICE_TIME)
    if rng.random() >= mix.writes:
        return Statement(
            kind=StatementKind.READ,
            sql=f"SELECT v FROM kv WHERE k='a' {_format_cost(cost)}",
            marks=Marks(deadline_ms=mix.deadline_ms),
            cost=cost,
            long=False,
            tenant=tenant,
        )
    once = rng.random() < mix.marked
    return Statement(
        kind=StatementKind.WRITE,
        sql=f"UPDATE kv SET v='1' WHERE k='{number}' {_format_cost(cost)}",
        marks=Marks(once=once, deadline_ms=mix.deadline_ms),
        cost=cost,
        long=False,
        tenant=tenant,
    )


def _draw_straggler(mix: StatementMix, rng: random.Random, tenant: str) -> Statement:
    cost = rng.uniform(*STRAGGLER_SERVICE_TIMES)
    columns = "v, 'report'" if mix.own_shape else "v"
    return Statement(
        kind=StatementKind.READ,
        sql=f"SELECT {columns} FROM kv WHERE k='a' {_format_cost(cost)}",
        marks=Marks(deadline_ms=mix.long_deadline_ms),
        cost=cost,
        long=True,
        tenant=tenant,
    )


def _format_cost(cost: float) -> str:
    return f"/* cost_ms={cost * 1000:.3f} */"
