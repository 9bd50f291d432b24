"""Service at the crest of a swing of demand."""

from dataclasses import dataclass

from siskinhold.core import SchedulingRules
from siskinhold.model import Done, StatementKind

from ._cell import START_TIME, Cell
from ._deployments import Deployment
from ._generator import Sample
from ._runs import run_load
from ._short_wait import Spread, measure_capacity, measure_spread
from ._statements import Mix

USUAL_LOAD = 0.5
"""Usual demand as a share of capacity; ten times that is five times capacity."""
CREST_FACTOR = 10
RISE = 1.0
"""Seconds in which demand rises to the crest, and falls again."""
USUAL_TIME = 2.0
"""Seconds of usual demand before the crest."""
AFTER = 3.0
"""Seconds of usual demand after the crest."""
WINDOW = 0.1
"""Seconds of arrivals that are judged together when recovery is looked for."""
WARM_UP = 1.0
"""Seconds at the beginning that aren't counted."""


@dataclass(slots=True, frozen=True, kw_only=True)
class Crest:
    """The result of `measure_crest`.

    Args:
        capacity_goodput: answers within their deadline a second at capacity.
        crest_goodput: the same at the crest.
        marked_refused: share of marked writes at the crest that weren't done.
        writes_refused: the same of other writes.
        reads_refused: the same of reads.
        recovery: seconds from the end of the fall until the latencies of reads
            are at most twice the usual p99 for good.
        max_waiting: most works that waited in the queue.
        usual: latency of reads before the crest.
        crest: latency of reads done at the crest.
        seed: the run's seed.
    """

    capacity_goodput: float
    crest_goodput: float
    marked_refused: float
    writes_refused: float
    reads_refused: float
    recovery: float
    max_waiting: int
    usual: Spread
    crest: Spread
    seed: int


def measure_crest(
    deployment: Deployment,
    policy: SchedulingRules,
    *,
    seconds: float = 3.0,
    deadline_ms: int = 1_000,
    seed: int = 1,
) -> Crest:
    """Measure a crest of ten times the usual demand, and a run at capacity.

    Args:
        policy: scheduling rules; `make_baseline` gives those to compare with.
        seconds: how long the crest lasts.
        deadline_ms: time that each statement may take.
    """
    mix = Mix(writes=0.3, marked=0.2, deadline_ms=deadline_ms)
    capacity = measure_capacity(deployment, mix)
    top = START_TIME + USUAL_TIME + RISE
    fall = top + seconds

    def rate(at: float) -> float:
        usual = USUAL_LOAD * capacity
        if at < top:
            share = max(0.0, 1 - (top - at) / RISE)
        else:
            share = max(0.0, 1 - max(0.0, at - fall) / RISE)
        return usual * (1 + (CREST_FACTOR - 1) * share)

    lengths = [0]

    def watch(cell: Cell) -> None:
        for pool in cell.node.pools.pools.values():
            lengths.append(len(pool.queue))

    flat = run_load(
        deployment,
        policy,
        mix,
        rate=lambda at: capacity,
        seconds=WARM_UP + seconds,
        seed=seed,
    )
    samples = run_load(
        deployment,
        policy,
        mix,
        rate=rate,
        seconds=USUAL_TIME + 2 * RISE + seconds + AFTER,
        seed=seed,
        watch=watch,
    )
    begin = START_TIME + WARM_UP
    usual = _measure_reads(samples, begin, top - RISE)
    at_crest = [s for s in samples if top <= s.sent < fall]
    return Crest(
        capacity_goodput=_measure_goodput(flat, begin, begin + seconds, deadline_ms),
        crest_goodput=_measure_goodput(samples, top, fall, deadline_ms),
        marked_refused=_measure_refused(at_crest, StatementKind.WRITE, True),
        writes_refused=_measure_refused(at_crest, StatementKind.WRITE, False),
        reads_refused=_measure_refused(at_crest, StatementKind.READ, False),
        recovery=_measure_recovery(samples, fall + RISE, 2 * usual.p99 / 1000),
        max_waiting=max(lengths),
        usual=usual,
        crest=_measure_reads(samples, top, fall),
        seed=seed,
    )


def _measure_goodput(
    samples: list[Sample], begin: float, end: float, deadline_ms: int
) -> float:
    good = 0
    for sample in samples:
        if not begin <= sample.ended < end or not isinstance(sample.outcome, Done):
            continue
        good += sample.ended - sample.sent <= deadline_ms / 1000
    return good / (end - begin)


def _measure_refused(samples: list[Sample], kind: StatementKind, once: bool) -> float:
    count = lost = 0
    for sample in samples:
        statement = sample.statement
        if statement.kind is not kind or statement.marks.once is not once:
            continue
        count += 1
        lost += not isinstance(sample.outcome, Done)
    return lost / count if count else 0.0


def _measure_reads(samples: list[Sample], begin: float, end: float) -> Spread:
    times = []
    for sample in samples:
        if sample.statement.kind is not StatementKind.READ:
            continue
        if begin <= sample.sent < end and isinstance(sample.outcome, Done):
            times.append(sample.ended - sample.sent)
    return measure_spread(times)


def _measure_recovery(samples: list[Sample], begin: float, limit: float) -> float:
    """Return when the last window with a tenth of its reads over the limit ended."""
    windows: dict[int, list[bool]] = {}
    for sample in samples:
        if sample.sent < begin or sample.statement.kind is not StatementKind.READ:
            continue
        good = isinstance(sample.outcome, Done) and sample.ended - sample.sent <= limit
        windows.setdefault(int((sample.sent - begin) / WINDOW), []).append(good)
    last = -1
    for window, found in windows.items():
        if found.count(False) * 10 > len(found):
            last = max(last, window)
    return (last + 1) * WINDOW
