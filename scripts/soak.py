"""Runs VM processes against stand-ins of the platform while faults are injected.

    python scripts/soak.py --seeds 0:50 --seconds 20

Seeds run one after the other. The exit code is 1 if a check failed for any seed.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / part) for part in ("src", "platform", "tests")]

from users_platform.soak import Soak  # noqa: E402
from users_platform.soak_accounts import AccountsSoak  # noqa: E402

MAX_PRINTED = 30
"""Violations of a seed that are printed."""


def main() -> None:
    """Run the given seeds and print the violations that each found."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--seeds", default="0:3", help="first seed and end of the range, as A:B"
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=15.0,
        help="duration of fault injection for each seed",
    )
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument(
        "--restores",
        action="store_true",
        help="also restore the store, delay writes, drain servers and change routes",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="also stop VMs in series and at once, under callers that stay",
    )
    parser.add_argument(
        "--accounts",
        action="store_true",
        help="also exceed an account's rate while its keys change",
    )
    parser.add_argument(
        "--texts",
        type=float,
        nargs="?",
        const=0.2,
        help="also prepare and set odd texts, a share of them long; check what is kept",
    )
    parser.add_argument(
        "--refusals",
        action="store_true",
        help="also refuse commands that VMs send for themselves",
    )
    parser.add_argument(
        "--routes",
        action="store_true",
        help="also add and remove routes while VMs stand still or lose the store",
    )
    parser.add_argument(
        "--sync",
        type=int,
        default=0,
        help="replicas that acknowledge a commit; instances also leave in series while "
        "others receive nothing",
    )
    parser.add_argument(
        "--connections",
        type=int,
        default=34,
        help="connections of an instance; few for many VMs make some of them relay",
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition(":")
    broken = 0
    for seed in range(int(first), int(last or int(first) + 1)):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        make_soak = AccountsSoak if options.accounts else Soak
        soak = make_soak(
            seed=seed,
            vms=options.vms,
            folder=folder,
            restores=options.restores,
            stops=options.stops,
            texts=options.texts,
            refusals=options.refusals,
            routes=options.routes,
            sync=options.sync,
            connections=options.connections,
        )
        report = asyncio.run(soak.run(options.seconds))
        print(f"seed={seed} {report} logs={folder}", flush=True)
        for violation in soak.violations[:MAX_PRINTED]:
            print(f"  {violation}", flush=True)
        if soak.violations:
            print(f"  violations={len(soak.violations)}", flush=True)
        broken += bool(soak.violations)
    print(f"seeds_broken={broken}", flush=True)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
