"""The statements of a load: their kinds, service times and tenants."""

import random
from dataclasses import dataclass

from siskinhold.model import Marks, StatementKind

SHORT_SERVICE_TIME = 0.003
"""Mean of the exponential service time of a short statement in seconds."""
STRAGGLER_SERVICE_TIMES = (0.3, 1.0)
"""Minimum and maximum of the uniform service time of a straggler in seconds."""
ROUND_TRIP_TIME = 0.002
"""Seconds for which the way to a replica and back extends the use of a slot."""


@dataclass(slots=True, frozen=True, kw_only=True)
class StatementMix:
    """Shares of the kinds of statements.

    Args:
        stragglers: share of stragglers, which are reads, among all statements.
        own_shape: whether stragglers have another shape than short reads.
        writes: share of writes among the short statements.
        marked: share of writes marked `once`.
        tenants: number of tenants, which send equally.
        deadline_ms: deadline of a short statement.
        long_deadline_ms: deadline of a straggler.
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
    """Draw the statement of the arrival with this number."""
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
