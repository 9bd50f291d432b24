"""Measurement of the queueing time of short statements beside stragglers."""

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
"""Seconds at the beginning of a run whose statements are not measured."""


@dataclass(slots=True, frozen=True, kw_only=True)
class Percentiles:
    """Percentiles of the times of `runs` statements in ms."""

    p50: float
    p99: float
    max: float
    runs: int


@dataclass(slots=True, frozen=True, kw_only=True)
class ShortWaitResult:
    """The result of `measure_short_wait`.

    Args:
        wait: time until a server started a short read.
        write_wait: the same for writes.
        long: time from sending to the answer of the stragglers that were done.
        short_lost: number of short statements that were not done.
        long_lost: number of stragglers that were not done.
        seed: the run's seed.
    """

    wait: Percentiles
    write_wait: Percentiles
    long: Percentiles
    short_lost: int
    long_lost: int
    seed: int


def compute_percentiles(seconds: list[float]) -> Percentiles:
    """Return the percentiles, in ms, of times in seconds."""
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
    """Return the short statements per second that use all slots of the replicas.

    A statement holds its slot for its service time plus the network round trip.
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
        policy: scheduling rules; `make_baseline` returns the rules to compare with.
        stragglers: share of stragglers among all statements.
        own_shape: whether stragglers have another shape than short reads.
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
    """Return the result for the samples of a run."""
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
