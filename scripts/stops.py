"""Stops VMs under callers and faults on simulated time, and prints the findings.

    python scripts/stops.py --seeds 0:200

The exit code is 1 if a check failed for any seed.
"""

import argparse
import multiprocessing
import sys
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / part) for part in ("src", "platform", "tests")]

from direct.stop_campaign import list_violations, play  # noqa: E402

WORKERS = 4
"""Number of worker processes."""


def run_seed(seed: int) -> tuple[int, float, int, int, list[str]]:
    """Play a seed; return it, its grace, stops and statements, and its violations."""
    world = play(seed)
    found = list_violations(world)
    return seed, world.grace, len(world.stops), len(world.requests), found


def main() -> int:
    """Play the seeds of the command line; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="0:50", help="first:end of the seeds")
    first, end = parser.parse_args().seeds.split(":")
    broken = 0
    kinds = Counter()
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for result in pool.imap(run_seed, range(int(first), int(end))):
            seed, grace, stops, statements, found = result
            print(
                f"seed={seed} grace={grace:g} stops={stops} statements={statements}"
                f" violations={len(found)}",
                flush=True,
            )
            for violation in found[:5]:
                print(f"  {violation}")
            broken += bool(found)
            kinds.update({violation.partition(":")[0] for violation in found})
    for kind, seeds in kinds.most_common():
        print(f"seeds with {kind!r}: {seeds}")
    print(f"seeds_broken={broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
