"""One seeded run of a fleet under faults, checked against the guarantees."""

import asyncio
import random
from dataclasses import dataclass, field

import looptime

from siskinhold.model import (
    Acknowledge,
    Done,
    NotRun,
    RoutingRules,
    StatementKind,
    Unknown,
)
from siskinhold_trial.fleet import CRANNOG, MALABAR, Fleet
from siskinhold_trial.history import Violation

from ._faults import FAULTS, Fault
from ._workload import RoamingSession

SESSIONS = 12
"""Number of caller sessions in a run."""
RUN_TIME = 30.0
"""Seconds of a run during which faults begin."""
RECOVERY_TIME = 12.0
"""Seconds after the last repair within which all VMs must serve writes again."""


@dataclass(slots=True, kw_only=True)
class RunReport:
    """Statistics and findings of one run.

    Args:
        seed: the run's seed.
        deployment: name of the deployment.
        faults: names of the faults injected.
        operations: statements sent.
        done: statements answered as done.
        not_run: statements answered as not run.
        unknown: statements answered as unknown.
        unanswered: statements whose connection closed.
        promotions: changes of primary.
        violations: broken guarantees.
        stuck: errors of sessions and faults, and failed writes after the
            repairs.
    """

    seed: int
    deployment: str
    faults: list[str] = field(default_factory=list)
    operations: int = 0
    done: int = 0
    not_run: int = 0
    unknown: int = 0
    unanswered: int = 0
    promotions: int = 0
    violations: list[Violation] = field(default_factory=list)
    stuck: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether the run has no violations and nothing is stuck."""
        return not self.violations and not self.stuck


def run_seed(
    seed: int,
    *,
    faults: tuple[Fault, ...] = FAULTS,
    count: int = 4,
    seconds: float = RUN_TIME,
    acknowledge: Acknowledge = Acknowledge.REPLICA,
) -> RunReport:
    """Run a fleet with `count` faults drawn from the seed, and check its history.

    Even seeds use the crannog deployment, odd ones malabar.

    Args:
        faults: the faults to choose from.
        count: how many are chosen.
        seconds: time in which faults begin.
        acknowledge: when the group acknowledges writes; with `PRIMARY` they may
            be lost in a promotion, but the session must be told so.
    """
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(seed, faults, count, seconds, acknowledge))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def _run(
    seed: int,
    faults: tuple[Fault, ...],
    count: int,
    seconds: float,
    acknowledge: Acknowledge,
) -> RunReport:
    rng = random.Random(seed)
    deployment = CRANNOG if seed % 2 == 0 else MALABAR
    report = RunReport(seed=seed, deployment=deployment.name)
    fleet = Fleet(
        deployment=deployment,
        seed=seed,
        vm_count=rng.choice((3, 6, 9)),
        lag=rng.choice((0.0, 0.02, 0.2)),
        rules=RoutingRules(acknowledge=acknowledge),
        service_time=lambda random_: 0.001 + random_.expovariate(500),
    )
    await fleet.start()
    sessions = _make_sessions(fleet, rng)
    tasks = [asyncio.create_task(session.run_until_stopped()) for session in sessions]
    await _inject_faults(fleet, rng, faults, count, seconds, report)
    await asyncio.sleep(RECOVERY_TIME)
    for session in sessions:
        session.stopping = True
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            report.stuck.append(repr(result))
    await _check_writes(fleet, report)
    await fleet.stop()
    _count_outcomes(fleet, report)
    report.violations = fleet.check(kept=acknowledge is Acknowledge.REPLICA)
    return report


def _make_sessions(fleet: Fleet, rng: random.Random) -> list[RoamingSession]:
    sessions = []
    names = sorted(fleet.databases)
    for number in range(SESSIONS):
        sessions.append(
            RoamingSession(
                fleet=fleet,
                name=f"s{number}",
                database=names[number % len(names)],
                seed=rng.getrandbits(32),
            )
        )
    return sessions


async def _inject_faults(
    fleet: Fleet,
    rng: random.Random,
    faults: tuple[Fault, ...],
    count: int,
    seconds: float,
    report: RunReport,
) -> None:
    """Start faults at random times, possibly overlapping, and await their repair."""
    running = []
    for _ in range(count):
        await asyncio.sleep(rng.uniform(0.2, seconds / count))
        fault = rng.choice(faults)
        report.faults.append(fault.name)
        running.append(asyncio.create_task(fault.run(fleet, rng)))
    results = await asyncio.gather(*running, return_exceptions=True)
    for name, result in zip(report.faults, results):
        if isinstance(result, Exception):
            report.stuck.append(f"{name}: {result!r}")


async def _check_writes(fleet: Fleet, report: RunReport) -> None:
    """Check that a write through each VM succeeds after all repairs."""
    for vm in fleet.list_running():
        for name in sorted(fleet.databases):
            caller = vm.callers.connect(database=name)
            sql = "UPDATE kv SET v=CONCAT(v,',last') WHERE k='last'"
            reply = await caller.run(StatementKind.WRITE, sql)
            caller.close()
            if not isinstance(reply.outcome, Done):
                report.stuck.append(f"{vm.address.name} {name} {reply.outcome}")


def _count_outcomes(fleet: Fleet, report: RunReport) -> None:
    for invocation in fleet.history.invocations:
        report.operations += 1
        if isinstance(invocation.outcome, Done):
            report.done += 1
        elif isinstance(invocation.outcome, NotRun):
            report.not_run += 1
        elif isinstance(invocation.outcome, Unknown):
            report.unknown += 1
        elif invocation.outcome is None:
            report.unanswered += 1
    for database in fleet.databases.values():
        report.promotions += len(database.promotions) - 1
