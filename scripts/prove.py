"""Runs campaigns of seeded runs with injected faults and prints their findings.

prove.py --seeds 0:20             the unmodified core; exits 1 if a run fails
prove.py --seeds 0:4 --fault NAME only that fault (may be repeated); restore_store
                                  is played only if it is named
prove.py --mutants --seeds 0:6    the core without one rule at a time;
                                  exits 1 if a mutant is not detected
"""

import argparse
import multiprocessing
import sys
import time

from siskinhold.model import Acknowledge
from siskinhold_trial.proof import (
    FAULTS,
    MUTANTS,
    RESTORE_FAULTS,
    Mutant,
    RunReport,
    run_seed,
)

WORKERS = 4
"""Number of worker processes."""


def parse_arguments() -> argparse.Namespace:
    """Return the command line's arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0:16", help="first:end of the seeds")
    parser.add_argument("--fault", action="append", default=[])
    parser.add_argument("--count", type=int, default=4, help="faults in a run")
    parser.add_argument(
        "--acknowledge", default="replica", choices=("replica", "primary")
    )
    parser.add_argument("--mutants", action="store_true")
    return parser.parse_args()


def run_unmodified(task: tuple[int, tuple[str, ...], int, str]) -> RunReport:
    """Run one seed on the unmodified core."""
    seed, names, count, acknowledge = task
    faults = FAULTS
    if names:
        known = {fault.name: fault for fault in (*FAULTS, *RESTORE_FAULTS)}
        faults = tuple(fault for fault in known.values() if fault.name in names)
    return run_seed(
        seed, faults=faults, count=count, acknowledge=Acknowledge(acknowledge)
    )


def run_mutant(task: tuple[str, tuple[int, ...]]) -> tuple[str, RunReport | None]:
    """Run seeds on one mutant until a violation is found."""
    name, seeds = task
    mutant: Mutant = next(item for item in MUTANTS if item.name == name)
    for seed in seeds:
        with mutant.active():
            report = run_seed(seed, faults=mutant.faults, count=4)
        if report.violations:
            return name, report
    return name, None


def print_report(report: RunReport) -> None:
    """Print a line for the run, then its first violations and stuck items."""
    verdict = "passed" if report.passed else "FAILED"
    print(
        f"seed={report.seed} {verdict} deployment={report.deployment}"
        f" operations={report.operations} done={report.done}"
        f" not_run={report.not_run} unknown={report.unknown}"
        f" unanswered={report.unanswered} promotions={report.promotions}"
        f" faults={','.join(report.faults)}",
        flush=True,
    )
    for violation in report.violations[:5]:
        print(f"  {violation}")
    for stuck in report.stuck[:5]:
        print(f"  stuck: {stuck}")


def prove_unmodified(
    pool, seeds: tuple[int, ...], names: tuple[str, ...], count: int, acknowledge: str
) -> bool:
    """Run the unmodified core; return whether all runs passed."""
    began = time.monotonic()
    reports = []
    tasks = [(seed, names, count, acknowledge) for seed in seeds]
    for report in pool.imap(run_unmodified, tasks):
        print_report(report)
        reports.append(report)
    failed = [report for report in reports if not report.passed]
    print(
        f"runs={len(reports)}"
        f" operations={sum(report.operations for report in reports)}"
        f" faults={sum(len(report.faults) for report in reports)}"
        f" promotions={sum(report.promotions for report in reports)}"
        f" violations={sum(len(report.violations) for report in reports)}"
        f" failed_runs={len(failed)}"
        f" seconds={time.monotonic() - began:.0f}"
    )
    return not failed


def prove_mutants(pool, seeds: tuple[int, ...]) -> bool:
    """Run every mutant; return whether each was detected."""
    all_detected = True
    tasks = [(mutant.name, seeds) for mutant in MUTANTS]
    for name, report in pool.imap(run_mutant, tasks):
        if report is None:
            all_detected = False
            print(f"mutant={name} NOT NOTICED in seeds {seeds[0]}:{seeds[-1] + 1}")
            continue
        kinds = sorted({type(item).__name__ for item in report.violations})
        print(
            f"mutant={name} noticed seed={report.seed}"
            f" violations={len(report.violations)} kinds={','.join(kinds)}",
            flush=True,
        )
    return all_detected


def main() -> int:
    """Run the campaign of the command line; return the exit code."""
    arguments = parse_arguments()
    first, end = arguments.seeds.split(":")
    seeds = tuple(range(int(first), int(end)))
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        if arguments.mutants:
            passed = prove_mutants(pool, seeds)
        else:
            names = tuple(arguments.fault)
            passed = prove_unmodified(
                pool, seeds, names, arguments.count, arguments.acknowledge
            )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
