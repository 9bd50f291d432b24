"""How long short work waits beside stragglers."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from siskinhold.core import SchedulingRules
from siskinhold.model import Done, StatementKind

from ._deployments import REPLICAS, Deployment
from ._generator import Sample
from ._runs import run_load
from ._simulation import START_TIME
from ._statements import ROUND_TRIP_TIME, SHORT_SERVICE_TIME, StatementMix

WARM_UP_TIME = 2.0
"""Seconds at the beginning of a run whose statements aren't counted."""


@dataclass(slots=True, frozen=True, kw_only=True)
class Percentiles:
    """Percentiles in ms, of `runs` statements."""

    p50: float
    p99: float
    max: float
    runs: int


@dataclass(slots=True, frozen=True, kw_only=True)
class ShortWaitResult:
    """The result of `measure_short_wait`.

    Args:
        wait: time until a server began with a short read.
        write_wait: the same of writes.
        long: time from sending a straggler to its answer, of those that ran.
        short_lost: short statements that weren't done.
        long_lost: stragglers that weren't done.
        seed: the run's seed.
    """

    wait: Percentiles
    write_wait: Percentiles
    long: Percentiles
    short_lost: int
    long_lost: int
    seed: int


def compute_percentiles(seconds: list[float]) -> Percentiles:
    """Return the percentiles of some times in seconds."""
    histogram = HdrHistogram(1, 600_000_000, 3)
    for value in seconds:
        histogram.record_value(max(1, round(value * 1e6)))
    if not seconds:
        return Percentiles(p50=0.0, p99=0.0, max=0.0, runs=0)
    return Percentiles(
        p50=histogram.get_value_at_percentile(50) / 1000,
        p99=histogram.get_value_at_percentile(99) / 1000,
        max=histogram.get_max_value() / 1000,
        runs=len(seconds),
    )


def measure_capacity(deployment: Deployment, mix: StatementMix) -> float:
    """Return the short statements a second that keep all replicas' slots busy.

    A statement holds its slot for its service time and its way there and back.
    """
    slots = deployment.slots * REPLICAS
    return slots / (SHORT_SERVICE_TIME + ROUND_TRIP_TIME) / (1 - mix.writes)


def measure_short_wait(
    deployment: Deployment,
    policy: SchedulingRules,
    *,
    stragglers: float = 0.01,
    own_shape: bool = True,
    utilisation: float = 0.6,
    seconds: float = 30.0,
    seed: int = 1,
) -> ShortWaitResult:
    """Measure how long short reads wait for a slot.

    Args:
        policy: scheduling rules; `make_baseline` gives those to compare with.
        stragglers: share of all statements.
        own_shape: whether stragglers have a shape of their own.
        utilisation: share of the replicas' slots that short reads keep busy.
        seconds: simulated time of arrivals.
    """
    mix = StatementMix(stragglers=stragglers, own_shape=own_shape)
    rate = utilisation * measure_capacity(deployment, mix) / (1 - stragglers)
    samples = run_load(
        deployment, policy, mix, rate=lambda at: rate, seconds=seconds, seed=seed
    )
    begin = START_TIME + WARM_UP_TIME
    return summarise([s for s in samples if s.sent >= begin], seed)


def summarise(samples: list[Sample], seed: int) -> ShortWaitResult:
    """Return the result of a run."""
    waits, writes, longs = [], [], []
    short_lost = long_lost = 0
    for sample in samples:
        done = isinstance(sample.outcome, Done)
        if sample.statement.long:
            long_lost += not done
            if done:
                longs.append(sample.ended - sample.sent)
            continue
        short_lost += not done
        if sample.wait is None:
            continue
        if sample.statement.kind is StatementKind.WRITE:
            writes.append(sample.wait)
        else:
            waits.append(sample.wait)
    return ShortWaitResult(
        wait=compute_percentiles(waits),
        write_wait=compute_percentiles(writes),
        long=compute_percentiles(longs),
        short_lost=short_lost,
        long_lost=long_lost,
        seed=seed,
    )
