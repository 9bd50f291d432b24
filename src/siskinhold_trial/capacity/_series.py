"""Series of measured points with their slope, as a table and as JSON."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path


@dataclass(slots=True, kw_only=True)
class Series:
    """One quantity measured at several sizes.

    Args:
        measure: name of the measurement.
        name: name of the quantity.
        size: what the sizes are numbers of.
        unit: unit of the values.
        points: (size, value) pairs.
    """

    measure: str
    name: str
    size: str
    unit: str
    points: list[tuple[float, float]]

    @property
    def slope(self) -> float:
        """The least-squares slope of the value by the size.

        >>> points = [(1, 3.0), (2, 5.0), (3, 7.0)]
        >>> Series(measure="", name="", size="", unit="", points=points).slope
        2.0
        """
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        squares_x = sum((x - mean_x) ** 2 for x, _ in self.points)
        if not squares_x:
            return 0.0
        products_xy = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        return products_xy / squares_x


def format_table(series: list[Series]) -> str:
    """Return one line for each series with its points and slope."""
    lines = []
    for item in series:
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in item.points)
        lines.append(
            f"{item.measure:<14} {item.name:<44} {item.unit:<12} by {item.size}: "
            f"{points}  slope={item.slope:.4g}"
        )
    return "\n".join(lines)


def write_json(series: list[Series], path: Path) -> None:
    """Write all series with their slopes to a JSON file."""
    rows = []
    for item in series:
        rows.append(
            {
                "measure": item.measure,
                "name": item.name,
                "size": item.size,
                "unit": item.unit,
                "points": item.points,
                "slope": item.slope,
            }
        )
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(rows, indent=1) + "\n")


def measure_cpu_seconds(call: Callable[[], object]) -> float:
    """Return the processor time of one call in seconds."""
    started = time.process_time()
    call()
    return time.process_time() - started


def measure_allocated_bytes(call: Callable[[], object]) -> int:
    """Return the bytes of Python objects still allocated after a call.

    The result of the call is kept alive until they are counted.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = call()
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        del kept
        return used
    finally:
        tracemalloc.stop()
