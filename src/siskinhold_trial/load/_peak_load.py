"""Measurement of service during a temporary peak of demand."""

from dataclasses import dataclass

from siskinhold.core import SchedulingRules
from siskinhold.model import Done, StatementKind

from ._deployments import Deployment
from ._generator import Sample
from ._runs import run_load
from ._short_wait import Percentiles, compute_percentiles, measure_capacity
from ._simulation import START_TIME, PoolSimulation
from ._statements import StatementMix

USUAL_LOAD = 0.5
"""Usual demand as a share of capacity; the peak is five times capacity."""
PEAK_FACTOR = 10
RISE_TIME = 1.0
"""Seconds of the linear rise of demand to the peak, and of its fall."""
USUAL_TIME = 2.0
"""Seconds of usual demand before the rise."""
COOL_DOWN_TIME = 3.0
"""Seconds of usual demand after the fall."""
WINDOW_TIME = 0.1
"""Seconds of arrivals that are evaluated together to find the recovery."""
WARM_UP_TIME = 1.0
"""Seconds at the beginning that are not measured."""


@dataclass(slots=True, frozen=True, kw_only=True)
class PeakLoadResult:
    """The result of `measure_peak_load`.

    Args:
        capacity_goodput: answers within their deadline per second at capacity.
        crest_goodput: the same at peak load.
        marked_refused: share of `once` writes sent at the peak that were not done.
        writes_refused: the same share of other writes.
        reads_refused: the same share of reads.
        recovery: seconds from the end of the fall until the latencies of reads
            stay at most twice the usual p99.
        max_waiting: maximum number of jobs in the queue.
        usual: latency of reads before the rise.
        crest: latency of the reads sent at the peak that were done.
        seed: the run's seed.
    """

    capacity_goodput: float
    crest_goodput: float
    marked_refused: float
    writes_refused: float
    reads_refused: float
    recovery: float
    max_waiting: int
    usual: Percentiles
    crest: Percentiles
    seed: int


def measure_peak_load(
    deployment: Deployment,
    policy: SchedulingRules,
    *,
    seconds: float = 3.0,
    deadline_ms: int = 1_000,
    seed: int = 1,
) -> PeakLoadResult:
    """Measure a peak of ten times the usual demand, and a run at capacity.

    Args:
        policy: scheduling rules; `make_baseline` returns the rules to compare with.
        seconds: duration of the peak.
        deadline_ms: deadline of each statement.
    """
    mix = StatementMix(writes=0.3, marked=0.2, deadline_ms=deadline_ms)
    capacity = measure_capacity(deployment, mix)
    peak_start = START_TIME + USUAL_TIME + RISE_TIME
    peak_end = peak_start + seconds

    def rate(at: float) -> float:
        usual = USUAL_LOAD * capacity
        if at < peak_start:
            share = max(0.0, 1 - (peak_start - at) / RISE_TIME)
        else:
            share = max(0.0, 1 - max(0.0, at - peak_end) / RISE_TIME)
        return usual * (1 + (PEAK_FACTOR - 1) * share)

    queue_lengths = [0]

    def watch(simulation: PoolSimulation) -> None:
        for pool in simulation.node.pools.pools.values():
            queue_lengths.append(len(pool.queue))

    capacity_samples = run_load(
        deployment,
        policy,
        mix,
        rate=lambda at: capacity,
        seconds=WARM_UP_TIME + seconds,
        seed=seed,
    )
    samples = run_load(
        deployment,
        policy,
        mix,
        rate=rate,
        seconds=USUAL_TIME + 2 * RISE_TIME + seconds + COOL_DOWN_TIME,
        seed=seed,
        watch=watch,
    )
    begin = START_TIME + WARM_UP_TIME
    usual = _measure_reads(samples, begin, peak_start - RISE_TIME)
    at_peak = [s for s in samples if peak_start <= s.sent < peak_end]
    return PeakLoadResult(
        capacity_goodput=_measure_goodput(
            capacity_samples, begin, begin + seconds, deadline_ms
        ),
        crest_goodput=_measure_goodput(samples, peak_start, peak_end, deadline_ms),
        marked_refused=_measure_refused(at_peak, StatementKind.WRITE, True),
        writes_refused=_measure_refused(at_peak, StatementKind.WRITE, False),
        reads_refused=_measure_refused(at_peak, StatementKind.READ, False),
        recovery=_measure_recovery(samples, peak_end + RISE_TIME, 2 * usual.p99 / 1000),
        max_waiting=max(queue_lengths),
        usual=usual,
        crest=_measure_reads(samples, peak_start, peak_end),
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


def _measure_reads(samples: list[Sample], begin: float, end: float) -> Percentiles:
    times = []
    for sample in samples:
        if sample.statement.kind is not StatementKind.READ:
            continue
        if begin <= sample.sent < end and isinstance(sample.outcome, Done):
            times.append(sample.ended - sample.sent)
    return compute_percentiles(times)


def _measure_recovery(samples: list[Sample], begin: float, limit: float) -> float:
    """Return the end of the last window with over a tenth of its reads too slow.

    Reads that were not done count as too slow. The end is in seconds from `begin`.
    """
    windows: dict[int, list[bool]] = {}
    for sample in samples:
        if sample.sent < begin or sample.statement.kind is not StatementKind.READ:
            continue
        good = isinstance(sample.outcome, Done) and sample.ended - sample.sent <= limit
        windows.setdefault(int((sample.sent - begin) / WINDOW_TIME), []).append(good)
    last = -1
    for window, found in windows.items():
        if found.count(False) * 10 > len(found):
            last = max(last, window)
    return (last + 1) * WINDOW_TIME
