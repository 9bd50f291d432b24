"""Measurements of a whole fleet in simulated time."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from unittest import mock

import looptime
import msgspec

from siskinhold.core import _failover
from siskinhold.model import (
    Done,
    Marks,
    RoutingRules,
    ServerState,
    StatementKind,
    covers,
)
from siskinhold.runtime import _driver
from siskinhold_trial.fakes import CallerConnectionClosed
from siskinhold_trial.fleet import Deployment, Fleet

READ_SHARE = 0.9
"""Share of reads in the mixed workload."""
REPLICATION_LAG = 0.2
"""Seconds of replication lag in the measurement of the replica share."""
FIXED_DETECTION_TIMEOUT = 3.0
"""Seconds of silence after which the fixed-timeout baseline fails over."""


def run_in_simulated_time(make: Callable[[], Awaitable]):
    """Run the coroutine returned by `make` in simulated time; return its result."""
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(make())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


@contextmanager
def detect_by_fixed_timeout():
    """Detect the loss of a primary by one fixed timeout within the context."""

    def is_lost(node, database, primary) -> bool:
        silent = node.now - primary.failing_since
        return bool(primary.failures) and silent >= FIXED_DETECTION_TIMEOUT

    with mock.patch.object(_failover, "is_lost", is_lost):
        yield


def service_time(rng: random.Random) -> float:
    """Draw a service time in seconds with a mean of 3 ms."""
    return 0.001 + rng.expovariate(500)


class ReplicaReadCounter:
    """Counts all reads and those that a replica of their region could serve."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.eligible = 0
        self.all = 0

    def count_read(self, vm, database: str, positions: dict) -> None:
        """Count a read just before it is sent to a VM."""
        self.all += 1
        need = positions.get(database)
        record = vm.node.config.records[database]
        for server in self._fleet.databases[database].servers.values():
            endpoint = server.endpoint
            if endpoint.name == record.primary:
                continue
            if endpoint.region != vm.address.region:
                continue
            if need is None or covers(record.starts, server.log.position, need):
                self.eligible += 1
                return


async def _run_mixed_load(
    fleet: Fleet, counter: ReplicaReadCounter, number: int, until: float
) -> None:
    """Run the reads and writes of one caller on one session."""
    rng = random.Random(number)
    vm = fleet.vms[f"vm{number % len(fleet.vms)}"]
    database = sorted(fleet.databases)[number % len(fleet.databases)]
    caller = vm.callers.connect(database=database)
    positions: dict = {}
    while fleet.world.now() < until:
        await asyncio.sleep(rng.expovariate(1 / 0.05))
        key = rng.choice("abcdefgh")
        if rng.random() < READ_SHARE:
            counter.count_read(vm, database, positions)
            sql = f"SELECT v FROM kv WHERE k='{key}'"
            reply = await caller.run(StatementKind.READ, sql)
        else:
            sql = f"UPDATE kv SET v='x' WHERE k='{key}'"
            reply = await caller.run(StatementKind.WRITE, sql)
        positions = reply.positions
    caller.close()


def measure_replica_share(
    deployment: Deployment, seed: int, *, replica_reads: bool = True
) -> tuple[float, float]:
    """Return the reads served by replicas as a share of eligible and of all reads."""

    async def run() -> tuple[float, float]:
        rules = RoutingRules(replica_reads=replica_reads)
        fleet = Fleet(
            deployment=deployment,
            seed=seed,
            lag=REPLICATION_LAG,
            rules=rules,
            service_time=service_time,
        )
        await fleet.start()
        counter = ReplicaReadCounter(fleet)
        until = fleet.world.now() + 20.0
        await asyncio.gather(
            *(_run_mixed_load(fleet, counter, number, until) for number in range(36))
        )
        served = _sum_counts(fleet, "served_total", "replica")
        await fleet.stop()
        return served / counter.eligible, served / counter.all

    return run_in_simulated_time(run)


def _sum_counts(fleet: Fleet, metric: str, label: str = "") -> float:
    total = 0.0
    for vm in fleet.vms.values():
        total += vm.recorder.counts.get((metric, label), 0.0)
    return total


def measure_failover(deployment: Deployment, seed: int, *, isolate: bool) -> float:
    """Return the seconds from the loss of a primary to the next done write."""

    async def run() -> float:
        fleet = Fleet(deployment=deployment, seed=seed, service_time=service_time)
        await fleet.start()
        rng = random.Random(seed)
        name = rng.choice(sorted(fleet.databases))
        await asyncio.sleep(1.0 + rng.random())
        writers = [
            asyncio.create_task(_write_until_done(fleet, name, number, rng))
            for number in range(6)
        ]
        await asyncio.sleep(1.0)
        server = fleet.databases[name].find_primary()
        lost_at = fleet.world.now()
        if isolate:
            fleet.world.isolate(server.endpoint.name)
        else:
            server.kill()
        gaps = []
        for writer in writers:
            writer.cancel()
        while not gaps:
            attempts = [
                asyncio.create_task(_write_once(fleet, name, number, rng))
                for number in range(6)
            ]
            done, _ = await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if isinstance(task.result(), Done):
                    gaps.append(fleet.world.now() - lost_at)
            for task in attempts:
                task.cancel()
        await fleet.stop()
        return min(gaps)

    return run_in_simulated_time(run)


async def _write_once(fleet: Fleet, name: str, number: int, rng: random.Random):
    vm = fleet.vms[f"vm{number % len(fleet.vms)}"]
    caller = vm.callers.connect(database=name)
    sql = f"UPDATE kv SET v='x' WHERE k='{number}'"
    try:
        reply = await caller.run(StatementKind.WRITE, sql, Marks(deadline_ms=20_000))
    except CallerConnectionClosed:
        return None
    finally:
        caller.close()
    return reply.outcome


async def _write_until_done(
    fleet: Fleet, name: str, number: int, rng: random.Random
) -> None:
    while True:
        await _write_once(fleet, name, number, rng)
        await asyncio.sleep(0.05 * rng.random())


def measure_tickets(deployment: Deployment, seed: int, count: int = 10) -> list[float]:
    """Return the seconds from each ticket's acceptance until all VMs apply it."""

    async def run() -> list[float]:
        fleet = Fleet(deployment=deployment, seed=seed)
        await fleet.start()
        times = []
        for _ in range(count):
            await asyncio.sleep(0.5 + fleet.world.random.random())
            accepted_at = fleet.world.now()
            number = fleet.accept_ticket(fleet.group)
            while not all(
                vm.node.config.applied >= number for vm in fleet.list_running()
            ):
                await asyncio.sleep(0.001)
            times.append(fleet.world.now() - accepted_at)
        await fleet.stop()
        return times

    return run_in_simulated_time(run)


def measure_drain(deployment: Deployment, seed: int, *, primary: bool) -> float:
    """Return the seconds from a drain ticket to the server's last statement."""

    async def run() -> float:
        fleet = Fleet(deployment=deployment, seed=seed, service_time=service_time)
        await fleet.start()
        counter = ReplicaReadCounter(fleet)
        until = fleet.world.now() + 8.0
        tasks = [
            asyncio.create_task(_run_mixed_load(fleet, counter, number, until))
            for number in range(36)
        ]
        await asyncio.sleep(2.0)
        name = sorted(fleet.databases)[seed % len(fleet.databases)]
        database = fleet.databases[name]
        leaving = database.config.servers[0 if primary else 1].name
        accepted_at = fleet.world.now()
        fleet.accept_ticket(_make_draining_group(fleet, leaving))
        await asyncio.gather(*tasks)
        last = accepted_at
        for execution in database.executions:
            if execution.server == leaving:
                last = max(last, execution.arrived_at)
        await fleet.stop()
        return last - accepted_at

    return run_in_simulated_time(run)


def _make_draining_group(fleet: Fleet, leaving: str):
    databases = []
    for database in fleet.group.databases:
        servers = []
        for server in database.servers:
            if server.name == leaving:
                server = msgspec.structs.replace(server, state=ServerState.LEAVING)
            servers.append(server)
        databases.append(msgspec.structs.replace(database, servers=tuple(servers)))
    return msgspec.structs.replace(fleet.group, databases=tuple(databases))


def measure_costs(
    deployment: Deployment, seed: int, *, vm_count: int, load: bool
) -> tuple[float, float, float]:
    """Return store calls per second, link bytes per second and reducer us.

    The bytes are those of messages between VMs of different regions in both
    directions. The reducer time is per statement.
    """

    async def run() -> tuple[float, float, float]:
        fleet = Fleet(
            deployment=deployment,
            seed=seed,
            vm_count=vm_count,
            service_time=service_time,
        )
        await fleet.start()
        await asyncio.sleep(2.0)
        began = fleet.world.now()
        calls = sum(fleet.store.calls.values())
        sent = fleet.network.count_cross_region_bytes()
        counter = ReplicaReadCounter(fleet)
        until = began + 20.0
        with _measure_reducer_time() as reducer_seconds:
            if load:
                await asyncio.gather(
                    *(
                        _run_mixed_load(fleet, counter, number, until)
                        for number in range(36)
                    )
                )
            else:
                await asyncio.sleep(until - began)
        seconds = fleet.world.now() - began
        calls = sum(fleet.store.calls.values()) - calls
        sent = fleet.network.count_cross_region_bytes() - sent
        statements = max(1, counter.all / READ_SHARE)
        await fleet.stop()
        return calls / seconds, sent / seconds, reducer_seconds[0] / statements * 1e6

    return run_in_simulated_time(run)


@contextmanager
def _measure_reducer_time():
    """Sum up the seconds spent in the reducer within the context."""
    total = [0.0]
    original = _driver.reduce

    def measured(node, event):
        began = time.perf_counter()
        out = original(node, event)
        total[0] += time.perf_counter() - began
        return out

    with mock.patch.object(_driver, "reduce", measured):
        yield total


__all__ = [
    "detect_by_fixed_timeout",
    "measure_costs",
    "measure_drain",
    "measure_failover",
    "measure_replica_share",
    "measure_tickets",
    "run_in_simulated_time",
]
