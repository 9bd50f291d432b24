"""Measures both deployments and baselines; writes build/measures.json.

measure.py                 everything
measure.py --only NAME     only the measurements of that name (may be repeated)
"""

import argparse
import dataclasses
import multiprocessing
import pathlib

import msgspec

from siskinhold_trial.measure import Measure, Task, format_table, list_tasks

WORKERS = 5
"""Parallel worker processes, which don't affect simulated time."""
OUTPUT = pathlib.Path("build/measures.json")


def run_task(task: Task) -> list[Measure]:
    """Run one task in a worker process."""
    return task()


def main() -> None:
    """Run the measurements, print their table and write the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", default=[])
    arguments = parser.parse_args()
    tasks = []
    for task in list_tasks():
        if not arguments.only or task.name in arguments.only:
            tasks.append(task)
    measures: list[Measure] = []
    with multiprocessing.get_context("spawn").Pool(WORKERS) as pool:
        for found in pool.imap(run_task, tasks, chunksize=1):
            measures.extend(found)
            save(measures)
    print(format_table(measures))


def save(measures: list[Measure]) -> None:
    """Write the results so far."""
    OUTPUT.parent.mkdir(exist_ok=True)
    items = [dataclasses.asdict(measure) for measure in measures]
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(items)))


if __name__ == "__main__":
    main()
