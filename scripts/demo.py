"""Demo of the guarantees to callers and operators, with real processes on loopback.

It starts a simulated store, two databases with three instances each in two
regions, and three VMs. Each step checks its claim and prints one line. The exit
code is 0 if all claims hold, 1 otherwise. All processes are ended at the end.
"""

import asyncio
import signal
import sys
import tempfile
import time
import warnings
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiomysql
import pymysql
import uvloop
from _load import Load

from siskinhold_trial.processes import ZONES, LocalDeployment, Processes, ProcessFailed

ORDERS = "orders"
QUOTES = "quotes"
FIRST, SECOND, REMOTE = (f"vm-{zone}" for zone in ZONES)
VMS = (FIRST, SECOND, REMOTE)
LAG_MS = 200
TICKET_BOUND = 15.0
"""Seconds within which a ticket must be in force on every VM."""
FAILOVER_BOUND = 7.0
"""Maximum seconds from the loss of a primary until writes succeed again."""
CREATE = (
    "CREATE TABLE orders (id INT AUTO_INCREMENT PRIMARY KEY, number INT, item TEXT)"
)
READ_COUNT = 20
PROMOTION = " promotion_began "
PRIMARY_CHANGED = " primary_changed "


class StepFailed(Exception):
    """The claim of a step does not hold."""


def check(holds: bool, claim: str) -> None:
    """Check a claim.

    Raises:
        StepFailed: if it does not hold.
    """
    if not holds:
        raise StepFailed(claim)


async def run(client: aiomysql.Connection, sql: str) -> tuple[tuple, ...]:
    """Run a statement and return its rows."""
    async with client.cursor() as cursor:
        await cursor.execute(sql)
        return tuple(await cursor.fetchall())


class Demo:
    """The steps of the demo.

    Args:
        deployment: the fleet.
    """

    def __init__(self, *, deployment: LocalDeployment) -> None:
        self._fleet = deployment
        self._loop = asyncio.get_running_loop()

    def list_steps(self) -> list[tuple[str, Callable[[], Awaitable[str]]]]:
        """Return the names and functions of the steps in order."""
        return [
            ("first ticket", self.apply_first_ticket),
            ("write and read", self.write_and_read),
            ("read own write by token", self.read_by_token),
            ("read own write by floor", self.read_by_floor),
            ("keyed order twice", self.repeat_order),
            ("second ticket", self.apply_second_ticket),
            ("primary killed", self.kill_primary),
            ("graceful shutdown", self.shut_down),
            ("VM killed", self.kill_vm),
            ("ticket status", self.show_status),
            ("time line", self.show_timeline),
        ]

    async def set_up(self) -> None:
        """Start all processes and wait until the VMs see one another."""
        fleet = self._fleet
        await fleet.start_store()
        await asyncio.gather(
            fleet.start_database(ORDERS, LAG_MS), fleet.start_database(QUOTES, LAG_MS)
        )
        fleet.add_vms(ZONES)
        for name in VMS:
            fleet.start_vm(name)
        await asyncio.gather(*(fleet.wait_for_vm(name) for name in VMS))
        await self._wait_for_fleet()

    async def apply_first_ticket(self) -> str:
        """A ticket puts both databases in force on every VM."""
        path = self._fleet.write_ticket(1, "first databases")
        return await self._apply_ticket(path, 1)

    async def apply_second_ticket(self) -> str:
        """A later ticket changes the routing rules on every VM."""
        path = self._fleet.write_ticket(2, "older reads accepted", max_age_ms=1_000)
        return await self._apply_ticket(path, 2)

    async def write_and_read(self) -> str:
        """A standard client with its defaults writes in a transaction and reads."""
        client = await self._fleet.connect(FIRST, ORDERS)
        await run(client, CREATE)
        client.close()
        client = await self._fleet.connect(FIRST, ORDERS, autocommit=False)
        began = self._loop.time()
        await run(client, "INSERT INTO orders (number, item) VALUES (1, 'hinge')")
        await client.commit()
        wrote = self._loop.time()
        rows = await run(client, "SELECT item FROM orders WHERE number = 1")
        read = self._loop.time()
        client.close()
        check(rows == (("hinge",),), f"the write is read back, got {rows}")
        return (
            f"write_ms={_format_ms(wrote - began)} read_ms={_format_ms(read - wrote)}"
        )

    async def read_by_token(self) -> str:
        """A session on another VM that presents the token reads the writes."""
        return await self._read_elsewhere(present=True)

    async def read_by_floor(self) -> str:
        """A session without a token reads the writes too.

        Its reads must see the floor, the minimum log position for the session.
        """
        return await self._read_elsewhere(present=False)

    async def repeat_order(self) -> str:
        """A keyed order that is sent through two VMs is inserted once."""
        sql = (
            "/* siskinhold: once=order-77 */ "
            "INSERT INTO orders (number, item) VALUES (77, 'crate')"
        )
        warnings = []
        for name in (FIRST, REMOTE):
            client = await self._fleet.connect(name, ORDERS)
            await run(client, sql)
            warnings.append(len(await run(client, "SHOW WARNINGS")))
            client.close()
        count = await self._count_rows("number = 77")
        check(count == 1, f"the order landed once, found {count}")
        check(warnings == [0, 1], f"the second answer says repeated, got {warnings}")
        return f"sent=2 landed={count}"

    async def kill_primary(self) -> str:
        """Writes succeed soon after the primary is killed; none is lost."""
        load = Load(deployment=self._fleet, vm=SECOND, database=ORDERS)
        load.start(4)
        await asyncio.sleep(0.5)
        primary = await self._find_primary()
        killed = self._loop.time()
        await self._fleet.set_faults(ORDERS, primary, kill="keep")
        await self._wait_for_write(load, after=killed + 0.05)
        await asyncio.sleep(0.5)
        await load.stop()
        gap = load.find_longest_gap(killed - 0.2, self._loop.time())
        await self._check_inserted_rows(load)
        check(gap <= FAILOVER_BOUND, f"the gap of {gap:.2f} s is within the bound")
        check(load.outcomes["cut"] == 0, f"no statement is cut off: {load.outcomes}")
        successor = await self._find_primary()
        check(successor != primary, "another server leads")
        await self._fleet.set_faults(ORDERS, primary, restart=True)
        return f"gap_s={gap:.2f} from={primary} to={successor} {_show(load)}"

    async def shut_down(self) -> str:
        """The owner VM shuts down gracefully under load; no statement is cut off."""
        owner = await self._find_owner()
        other = next(name for name in VMS if name != owner)
        loads = [
            Load(deployment=self._fleet, vm=name, database=ORDERS)
            for name in (owner, other)
        ]
        for load in loads:
            load.start(6)
        await asyncio.sleep(0.5)
        began = self._loop.time()
        process = self._fleet.vms[owner].process
        process.signal(signal.SIGTERM)
        code = await process.wait(20)
        took = self._loop.time() - began
        await asyncio.gather(*(load.stop() for load in loads))
        check(code == 0, f"exit code 0, got {code}: {process.read_log_tail()}")
        for load in loads:
            check(load.outcomes["cut"] == 0, f"nothing cut off: {load.outcomes}")
            await self._check_inserted_rows(load, through=other)
        await self._restart_vm(owner)
        return (
            f"vm={owner} took_s={took:.2f} cut_off=0"
            f" through_it=({_show(loads[0])}) through_other=({_show(loads[1])})"
        )

    async def kill_vm(self) -> str:
        """The owner VM is killed under load; callers of other VMs continue."""
        owner = await self._find_owner()
        others = [name for name in VMS if name != owner]
        loads = [
            Load(deployment=self._fleet, vm=name, database=ORDERS) for name in others
        ]
        for load in loads:
            load.start(4)
        await asyncio.sleep(0.5)
        killed = self._loop.time()
        self._fleet.vms[owner].process.signal(signal.SIGKILL)
        await asyncio.sleep(0.05)
        for load in loads:
            await self._wait_for_write(load, after=killed + 0.5)
        await asyncio.sleep(0.5)
        await asyncio.gather(*(load.stop() for load in loads))
        end = self._loop.time()
        gap = max(load.find_longest_gap(killed - 0.2, end) for load in loads)
        for load in loads:
            check(load.outcomes["cut"] == 0, f"others keep callers: {load.outcomes}")
            await self._check_inserted_rows(load, through=others[0])
        check(gap <= FAILOVER_BOUND, f"the gap of {gap:.2f} s is within the bound")
        shown = " ".join(f"through_{load.vm}=({_show(load)})" for load in loads)
        return f"vm={owner} gap_s={gap:.2f} {shown}"

    async def show_status(self) -> str:
        """`siskinhold-ticket status` prints the ticket in force on every VM."""
        code, output, errors = await self._fleet.run_ticket("status")
        check(code == 0, f"exit code 0, got {code}: {output} {errors}")
        for line in output.splitlines():
            print(f"    {line}")
        return f"lines={len(output.splitlines())}"

    async def show_timeline(self) -> str:
        """`siskinhold-timeline` merges the VMs' event logs in causal order."""
        logs = [vm.timeline for vm in self._fleet.vms.values()]
        code, output, errors = await self._fleet.processes.run(
            "siskinhold.programs.timeline", *logs, f"--database={ORDERS}"
        )
        check(code == 0, f"exit code 0, got {code}: {errors}")
        lines = output.splitlines()
        began = [number for number, line in enumerate(lines) if PROMOTION in line]
        check(len(began) > 0, "the promotion is on the time line")
        changed = [line for line in lines if PRIMARY_CHANGED in line]
        check(len(changed) == 1, f"one change of primary, {len(changed)} found")
        for line in lines[began[0] : lines.index(changed[0]) + 1]:
            print(f"    {line}")
        return f"lines={len(lines)} logs={len(logs)}"

    async def _apply_ticket(self, path: Path, number: int) -> str:
        began = self._loop.time()
        arguments = ("apply", path, f"--wait={TICKET_BOUND:g}")
        code, output, errors = await self._fleet.run_ticket(*arguments)
        took = self._loop.time() - began
        check(code == 0, f"exit code 0, got {code}: {output} {errors}")
        numbers = {}
        for name in VMS:
            numbers[name] = (await self._fleet.read_status(name)).ticket
        check(set(numbers.values()) == {number}, f"in force everywhere: {numbers}")
        return f"number={number} vms={len(numbers)} program_s={took:.2f}"

    async def _read_elsewhere(self, *, present: bool) -> str:
        writer = await self._fleet.connect(FIRST, ORDERS)
        times = []
        stale = 0
        for index in range(READ_COUNT):
            number = 100 + index + READ_COUNT * present
            await run(writer, f"INSERT INTO orders (number) VALUES ({number})")
            ((token,),) = await run(writer, "SELECT @siskinhold_token")
            reader = await self._fleet.connect(REMOTE, ORDERS)
            began = self._loop.time()
            if present:
                await run(reader, f"SET @siskinhold_token = '{token}'")
            sql = f"SELECT COUNT(*) FROM orders WHERE number = {number}"
            ((count,),) = await run(reader, sql)
            times.append(self._loop.time() - began)
            stale += count != 1
            reader.close()
        writer.close()
        check(stale == 0, f"no read misses the write, {stale} did")
        middle = sorted(times)[len(times) // 2]
        return (
            f"reads={READ_COUNT} stale=0 median_ms={_format_ms(middle)} lag_ms={LAG_MS}"
        )

    async def _count_rows(self, condition: str, through: str = FIRST) -> int:
        client = await self._fleet.connect(through, ORDERS)
        sql = f"SELECT COUNT(*) FROM orders WHERE {condition}"
        ((count,),) = await run(client, sql)
        client.close()
        return count

    async def _check_inserted_rows(self, load: Load, through: str = FIRST) -> None:
        """Check that acknowledged rows are stored once and refused ones are not."""
        client = await self._fleet.connect(through, ORDERS)
        rows = await run(client, "SELECT number FROM orders WHERE number >= 1000")
        client.close()
        numbers = [number for (number,) in rows]
        found = set(numbers)
        missing = load.acknowledged - found
        check(not missing, f"acknowledged rows are there, {len(missing)} are not")
        ran = load.refused & found
        check(not ran, f"refused rows are not there, {len(ran)} are")
        check(len(numbers) == len(found), "no row is there twice")

    async def _find_primary(self) -> str:
        status = await self._fleet.read_status(FIRST)
        return next(d.primary for d in status.databases if d.name == ORDERS)

    async def _find_owner(self) -> str:
        """Return the owner of the database of orders in its primary's region."""
        status = await self._fleet.read_status(FIRST)
        database = next(d for d in status.databases if d.name == ORDERS)
        server = next(s for s in database.servers if s.name == database.primary)
        return database.owners[server.region]

    async def _wait_for_write(self, load: Load, after: float) -> None:
        deadline = self._loop.time() + FAILOVER_BOUND + 3
        while not load.done_at or load.done_at[-1] <= after:
            check(self._loop.time() < deadline, f"writes succeed again: {_show(load)}")
            await asyncio.sleep(0.01)

    async def _restart_vm(self, name: str) -> None:
        before = (await self._fleet.read_status(self._find_other_vm(name))).vms
        self._fleet.start_vm(name)
        await self._fleet.wait_for_vm(name)
        await self._wait_for_fleet()
        after = await self._fleet.read_status(name)
        old = next(vm.incarnation for vm in before if vm.name == name)
        check(after.incarnation > old, "the VM came back with a new incarnation")

    async def _wait_for_fleet(self) -> None:
        """Wait until every VM sees all VMs as live and has the same ticket."""
        deadline = self._loop.time() + 10
        while True:
            views = [await self._fleet.read_status(name) for name in VMS]
            live = [sum(vm.state.value == "live" for vm in v.vms) for v in views]
            numbers = {view.ticket for view in views}
            if live == [len(VMS)] * len(VMS) and len(numbers) == 1:
                return
            check(self._loop.time() < deadline, f"all VMs see one another: {live}")
            await asyncio.sleep(0.1)

    def _find_other_vm(self, name: str) -> str:
        return next(other for other in VMS if other != name)


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:.1f}"


def _show(load: Load) -> str:
    return " ".join(f"{key}={count}" for key, count in sorted(load.outcomes.items()))


async def _run_steps(demo: Demo) -> int:
    began = time.monotonic()
    await demo.set_up()
    print(f"set-up: processes={len(VMS) + 3} took_s={time.monotonic() - began:.2f}")
    began = time.monotonic()
    failed = 0
    for number, (name, step) in enumerate(demo.list_steps(), start=1):
        try:
            figure = await step()
        except (StepFailed, ProcessFailed, OSError, pymysql.err.MySQLError) as error:
            failed += 1
            figure = f"FAILED {type(error).__name__}: {error}"
        print(f"{number:2} {name}: {figure}", flush=True)
    print(f"done: failed={failed} took_s={time.monotonic() - began:.2f}")
    return failed


async def _main() -> int:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory(prefix="siskinhold-demo-") as folder:
        processes = Processes(folder=Path(folder))
        deployment = LocalDeployment(folder=Path(folder), processes=processes)
        try:
            failed = await _run_steps(Demo(deployment=deployment))
        except (StepFailed, ProcessFailed) as error:
            print(f"FAILED set-up: {error}", flush=True)
            failed = 1
        finally:
            killed = processes.end()
            left = processes.list_running()
            print(f"ended: killed={killed} left={left}", flush=True)
    return 1 if failed or left else 0


if __name__ == "__main__":
    # The client would print the warning on a repeated order, which a step checks.
    warnings.filterwarnings("ignore", category=pymysql.Warning)
    try:
        sys.exit(uvloop.run(_main()))
    except asyncio.CancelledError:
        sys.exit(1)
