"""Results of measurements as percentiles and as a table."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

UNITS_PER_VALUE = 1_000_000
"""Histogram units per unit of value: six decimal places."""
MAX_UNITS = 10**13
"""Largest recordable value in histogram units."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Measure:
    """Percentiles of one measured quantity under one policy.

    Args:
        deployment: name of the deployment.
        measure: name of the quantity; its suffix is the unit.
        policy: `siskinhold` or the name of the baseline.
        p50: median.
        p99: 99th percentile.
        max: largest value.
        runs: number of values.
        seed: first of the consecutive seeds that were used.
        note: conditions of the measurement.
    """

    deployment: str
    measure: str
    policy: str
    p50: float
    p99: float
    max: float
    runs: int
    seed: int
    note: str = ""


def summarise(
    deployment: str,
    measure: str,
    policy: str,
    values: list[float],
    *,
    seed: int,
    note: str = "",
) -> Measure:
    """Return the percentiles of the values."""
    histogram = HdrHistogram(1, MAX_UNITS, 3)
    for value in values:
        histogram.record_value(max(1, round(value * UNITS_PER_VALUE)))
    return Measure(
        deployment=deployment,
        measure=measure,
        policy=policy,
        p50=(
            round(histogram.get_value_at_percentile(50) / UNITS_PER_VALUE, 6)
            if values
            else 0
        ),
        p99=(
            round(histogram.get_value_at_percentile(99) / UNITS_PER_VALUE, 6)
            if values
            else 0
        ),
        max=round(max(values), 6) if values else 0,
        runs=len(values),
        seed=seed,
        note=note,
    )


def format_table(measures: list[Measure]) -> str:
    """Return the measures as a table of fixed-width columns."""
    lines = [
        f"{'deployment':<11}{'measure':<28}{'policy':<24}"
        f"{'p50':>12}{'p99':>12}{'max':>12}{'runs':>8}  note"
    ]
    for item in measures:
        lines.append(
            f"{item.deployment:<11}{item.measure:<28}{item.policy:<24}"
            f"{item.p50:>12.4f}{item.p99:>12.4f}{item.max:>12.4f}{item.runs:>8}"
            f"  {item.note}"
        )
    return "\n".join(lines)
