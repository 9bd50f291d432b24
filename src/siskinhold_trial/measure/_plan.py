"""The measurements of `make measure` for both deployments."""

from collections.abc import Callable
from dataclasses import dataclass

from siskinhold_trial.fleet import CRANNOG, MALABAR, Deployment
from siskinhold_trial.load import (
    CRANNOG as CRANNOG_LOAD,
    MALABAR as MALABAR_LOAD,
    make_baseline,
    make_policy,
    measure_peak_load,
    measure_short_wait,
)

from ._fleet_runs import (
    detect_by_fixed_timeout,
    measure_costs,
    measure_drain,
    measure_failover,
    measure_replica_share,
    measure_tickets,
)
from ._results import Measure, summarise

FAILOVER_RUNS = 20
"""Number of primary losses for each kind of loss and policy."""
SEEDS = (1, 2, 3)
"""Seeds of the other measurements."""
STRAGGLER_SHARE = 0.003
"""Share of stragglers; with 1 % the queue of the baseline grows without bound."""
SHORT_WAIT_RUN_TIME = 12.0
"""Simulated seconds of each run that measures the wait of short statements."""
FLEET_SIZES = (3, 9, 27)
"""Numbers of VMs for which store calls and traffic are measured."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Task:
    """One measurement that yields one or more results.

    Args:
        name: name of the measurement.
        deployment: name of the deployment.
        run: performs the measurement.
        arguments: arguments of `run`.
    """

    name: str
    deployment: str
    run: Callable[..., list[Measure]]
    arguments: tuple = ()

    def __call__(self) -> list[Measure]:
        """Perform the measurement."""
        return self.run(*self.arguments)


def run_replica_share(deployment: Deployment) -> list[Measure]:
    """Measure the share of eligible reads that replicas serve at 200 ms lag."""
    eligible, of_all, baseline = [], [], []
    for seed in SEEDS:
        share, all_reads = measure_replica_share(deployment, seed)
        eligible.append(share)
        of_all.append(all_reads)
    baseline.append(measure_replica_share(deployment, SEEDS[0], replica_reads=False)[0])
    note = "of reads that a replica of the region covers on arrival"
    return [
        summarise(
            deployment.name,
            "replica_share",
            "siskinhold",
            eligible,
            seed=SEEDS[0],
            note=note,
        ),
        summarise(
            deployment.name,
            "replica_share_of_all",
            "siskinhold",
            of_all,
            seed=SEEDS[0],
            note="of all reads outside transactions",
        ),
        summarise(
            deployment.name,
            "replica_share",
            "primary_only",
            baseline,
            seed=SEEDS[0],
        ),
    ]


def run_failover(deployment: Deployment, isolate: bool, fixed: bool) -> list[Measure]:
    """Measure the time from a primary's loss to the next acknowledged write."""
    gaps = []
    for seed in range(1, FAILOVER_RUNS + 1):
        if fixed:
            with detect_by_fixed_timeout():
                gaps.append(measure_failover(deployment, seed, isolate=isolate))
            continue
        gaps.append(measure_failover(deployment, seed, isolate=isolate))
    return [
        summarise(
            deployment.name,
            "failover_gap_s",
            "fixed_timeout_3s" if fixed else "siskinhold",
            gaps,
            seed=1,
            note="isolated, silent" if isolate else "connection refused",
        )
    ]


def run_tickets(deployment: Deployment) -> list[Measure]:
    """Measure the time until a ticket is in force on all VMs."""
    times = []
    for seed in SEEDS:
        times.extend(measure_tickets(deployment, seed))
    return [
        summarise(
            deployment.name, "ticket_in_force_s", "siskinhold", times, seed=SEEDS[0]
        )
    ]


def run_drains(deployment: Deployment, primary: bool) -> list[Measure]:
    """Measure the time until a server being drained gets its last statement."""
    times = []
    for seed in SEEDS:
        times.append(measure_drain(deployment, seed, primary=primary))
    return [
        summarise(
            deployment.name,
            "drain_s",
            "siskinhold",
            times,
            seed=SEEDS[0],
            note="primary" if primary else "replica",
        )
    ]


def run_costs(deployment: Deployment, vm_count: int, load: bool) -> list[Measure]:
    """Measure store calls, cross-region bytes and, under load, reducer time."""
    calls, sent, spent = measure_costs(
        deployment, SEEDS[0], vm_count=vm_count, load=load
    )
    note = f"{vm_count} VMs, {'36 callers' if load else 'idle'}"
    results = [
        summarise(
            deployment.name,
            "store_calls_per_s",
            "siskinhold",
            [calls],
            seed=SEEDS[0],
            note=note,
        ),
        summarise(
            deployment.name,
            "cross_region_bytes_per_s",
            "siskinhold",
            [sent],
            seed=SEEDS[0],
            note=f"{note}, between VMs, both ways",
        ),
    ]
    if load:
        results.append(
            summarise(
                deployment.name,
                "overhead_us_per_statement",
                "siskinhold",
                [spent],
                seed=SEEDS[0],
                note=f"{note}, reducers of all VMs, idle work included",
            )
        )
    return results


def run_short_wait(name: str, stragglers: float, baseline: bool) -> list[Measure]:
    """Measure the queueing time of short reads beside a share of stragglers."""
    deployment = CRANNOG_LOAD if name == CRANNOG.name else MALABAR_LOAD
    results = []
    for own_shape in (True, False) if stragglers else (True,):
        waits = []
        for seed in SEEDS:
            policy = make_baseline() if baseline else make_policy()
            found = measure_short_wait(
                deployment,
                policy,
                stragglers=stragglers,
                own_shape=own_shape,
                seconds=SHORT_WAIT_RUN_TIME,
                seed=seed,
            )
            waits.append(found.wait)
        note = "no stragglers"
        if stragglers:
            kind = "of their own shape" if own_shape else "of the same shape"
            note = f"{stragglers:.1%} stragglers {kind}"
        results.append(_merge_percentiles(name, waits, baseline, note))
    return results


def run_peak_load(name: str, baseline: bool) -> list[Measure]:
    """Measure goodput and refusals at five times capacity, and the recovery."""
    deployment = CRANNOG_LOAD if name == CRANNOG.name else MALABAR_LOAD
    policy_name = "first_come_first_served" if baseline else "siskinhold"
    found = []
    for seed in SEEDS:
        policy = make_baseline() if baseline else make_policy()
        found.append(measure_peak_load(deployment, policy, seconds=2.0, seed=seed))
    columns = {
        "crest_goodput": [run.crest_goodput / run.capacity_goodput for run in found],
        "crest_marked_refused": [run.marked_refused for run in found],
        "crest_recovery_s": [run.recovery for run in found],
    }
    results = []
    for measure, values in columns.items():
        note = "at five times capacity"
        if measure == "crest_goodput":
            lowest = min(values)
            note = f"share of goodput at capacity, lowest {lowest:.3f}"
        results.append(
            summarise(name, measure, policy_name, values, seed=SEEDS[0], note=note)
        )
    return results


def _merge_percentiles(name: str, waits, baseline: bool, note: str) -> Measure:
    """Return the highest of each percentile over several runs, in seconds."""
    return Measure(
        deployment=name,
        measure="short_wait_s",
        policy="first_come_first_served" if baseline else "siskinhold",
        p50=max(wait.p50 for wait in waits) / 1000,
        p99=max(wait.p99 for wait in waits) / 1000,
        max=max(wait.max for wait in waits) / 1000,
        runs=sum(wait.runs for wait in waits),
        seed=SEEDS[0],
        note=f"{note}, worst of {len(waits)} seeds",
    )


def list_tasks() -> list[Task]:
    """Return all measurements, the longest first."""
    tasks = []
    for deployment in (CRANNOG, MALABAR):
        name = deployment.name
        tasks.append(_make_task("replica_share", name, run_replica_share, deployment))
        for primary in (False, True):
            tasks.append(_make_task("drain_s", name, run_drains, deployment, primary))
        for baseline in (False, True):
            for stragglers in (0.0, STRAGGLER_SHARE):
                tasks.append(
                    _make_task(
                        "short_wait_s", name, run_short_wait, name, stragglers, baseline
                    )
                )
        for baseline in (False, True):
            tasks.append(_make_task("crest", name, run_peak_load, name, baseline))
        for isolate in (False, True):
            for fixed in (False, True):
                tasks.append(
                    _make_task(
                        "failover_gap_s", name, run_failover, deployment, isolate, fixed
                    )
                )
        tasks.append(_make_task("ticket_in_force_s", name, run_tickets, deployment))
        tasks.append(_make_task("costs", name, run_costs, deployment, 9, True))
        for size in FLEET_SIZES:
            tasks.append(_make_task("costs", name, run_costs, deployment, size, False))
    return tasks


def _make_task(name: str, deployment: str, run: Callable, *arguments: object) -> Task:
    return Task(name=name, deployment=deployment, run=run, arguments=arguments)
