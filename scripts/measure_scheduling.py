"""Measures scheduling: the wait of short statements, peak load, taking from a queue.

Run it from the repository's root with `PYTHONPATH=src`. All figures but those of
taking a job are simulated times, which depend on the seed only.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Annotated

import cappa

from siskinhold.core import JobQueue
from siskinhold_trial.load import (
    CRANNOG,
    MALABAR,
    make_baseline,
    make_policy,
    measure_peak_load,
    measure_short_wait,
    measure_take_time,
)

POLICIES = {"policy": make_policy, "baseline": make_baseline}
STRAGGLER_SHARES = (0.0, 0.001, 0.003, 0.01)


@dataclass
class MeasureScheduling:
    """Measure scheduling under load.

    Args:
        seconds: simulated seconds of each run of the wait of short statements.
        seeds: number of seeds.
        jobs: number of parallel processes.
        policies: policies to compare, separated by commas.
    """

    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    seeds: Annotated[int, cappa.Arg(long=True)] = 1
    jobs: Annotated[int, cappa.Arg(long=True)] = 4
    policies: Annotated[str, cappa.Arg(long=True)] = "policy,baseline"

    def __call__(self) -> None:
        """Run all measurements and print one line for each."""
        runs = []
        for deployment in (CRANNOG, MALABAR):
            for policy in self.policies.split(","):
                for seed in range(1, self.seeds + 1):
                    for share in STRAGGLER_SHARES:
                        shapes = (True, False) if share else (True,)
                        for own in shapes:
                            runs.append((deployment, policy, seed, share, own))
                    runs.append((deployment, policy, seed, None, True))
        with ProcessPoolExecutor(self.jobs) as executor:
            for line in executor.map(_measure, runs, [self.seconds] * len(runs)):
                print(line, flush=True)
        for waiting in (100, 1_000, 10_000):
            taken = measure_take_time(JobQueue, waiting)
            refused = measure_take_time(JobQueue, waiting, refused=True)
            print(f"take waiting={waiting} us={taken:.1f} refused_us={refused:.1f}")


def _measure(run: tuple, seconds: float) -> str:
    deployment, name, seed, share, own = run
    policy = POLICIES[name]()
    head = f"deployment={deployment.name} policy={name} seed={seed}"
    if share is None:
        return f"crest {head} {_measure_peak_load(deployment, policy, seed)}"
    result = measure_short_wait(
        deployment,
        policy,
        stragglers=share,
        own_shape=own,
        seconds=seconds,
        seed=seed,
    )
    wait, long = result.wait, result.long
    return (
        f"short_wait {head} stragglers={share} own_shape={own}"
        f" p50_ms={wait.p50:.2f} p99_ms={wait.p99:.2f} max_ms={wait.max:.0f}"
        f" runs={wait.runs} lost={result.short_lost}"
        f" write_p99_ms={result.write_wait.p99:.2f}"
        f" long_p99_ms={long.p99:.0f} long_max_ms={long.max:.0f}"
        f" long_runs={long.runs} long_lost={result.long_lost}"
    )


def _measure_peak_load(deployment, policy, seed: int) -> str:
    result = measure_peak_load(deployment, policy, seed=seed)
    return (
        f"capacity_goodput={result.capacity_goodput:.0f}"
        f" crest_goodput={result.crest_goodput:.0f}"
        f" marked_refused={result.marked_refused:.3f}"
        f" writes_refused={result.writes_refused:.3f}"
        f" reads_refused={result.reads_refused:.3f}"
        f" recovery_s={result.recovery:.1f} max_waiting={result.max_waiting}"
        f" usual_p99_ms={result.usual.p99:.1f} crest_p99_ms={result.crest.p99:.0f}"
        f" runs={result.crest.runs}"
    )


if __name__ == "__main__":
    cappa.invoke(MeasureScheduling)
