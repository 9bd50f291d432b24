"""Measurements of cost by size, on which docs/CAPACITY.md bases its figures."""

import argparse
import time
from collections.abc import Callable
from pathlib import Path

from ._changes import measure_configuration, measure_terms, measure_tickets
from ._fleets import measure_fleets
from ._members import (
    measure_heartbeats,
    measure_moves,
    measure_ownership,
    measure_views,
)
from ._series import Series, format_table, write_json
from ._servers import measure_backends
from ._sessions import measure_queue, measure_sessions
from ._sockets import measure_callers, measure_peers
from ._statements import (
    measure_confirmations,
    measure_forwarding,
    measure_polls,
    measure_statements,
)

__all__ = [
    "MEASURES",
    "Series",
    "format_table",
    "main",
    "measure_backends",
    "measure_callers",
    "measure_configuration",
    "measure_confirmations",
    "measure_fleets",
    "measure_forwarding",
    "measure_heartbeats",
    "measure_moves",
    "measure_ownership",
    "measure_peers",
    "measure_polls",
    "measure_queue",
    "measure_sessions",
    "measure_statements",
    "measure_terms",
    "measure_tickets",
    "measure_views",
    "write_json",
]

MEASURES: dict[str, Callable[[], list[Series]]] = {
    "callers": measure_callers,
    "backends": measure_backends,
    "peers": measure_peers,
    "heartbeats": measure_heartbeats,
    "views": measure_views,
    "ownership": measure_ownership,
    "moves": measure_moves,
    "sessions": measure_sessions,
    "queue": measure_queue,
    "statements": measure_statements,
    "polls": measure_polls,
    "confirmations": measure_confirmations,
    "forwarding": measure_forwarding,
    "tickets": measure_tickets,
    "configuration": measure_configuration,
    "terms": measure_terms,
    "fleets": measure_fleets,
}
"""Measurements by name. Those of resident memory come first."""


def main() -> None:
    """Run the measurements, print their tables and write them as JSON."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--only", choices=sorted(MEASURES), action="append")
    parser.add_argument("--output", type=Path, default=Path("build/capacity.json"))
    arguments = parser.parse_args()
    series = []
    for name, measure in MEASURES.items():
        if arguments.only and name not in arguments.only:
            continue
        started = time.perf_counter()
        found = measure()
        seconds = time.perf_counter() - started
        print(format_table(found))
        print(f"{name:<14} took {seconds:.1f} s", flush=True)
        series.extend(found)
    write_json(series, arguments.output)
