"""Tests of crowds of callers that don't behave, on processes with little memory.

The bounds are the limits of the machine; run these tests apart from other load.
"""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from pathlib import Path

import pytest
import yaml

from .standins import Client, Deployment, find_ports, spawn_vm
from .test_service import Vm

MEMORY_MB = 160
"""Memory limit of a machine."""

DESCRIPTORS = 700
"""Descriptor limit of a machine, of which callers get 300."""

PART = 1 << 20
"""Bytes of one call of a member of a crowd that sends."""

CONNECT = b"CONNECT orders u1\r\n"

BIG = b"x" * (PART - 40)
"""Data of a statement of nearly the greatest length."""

MANY_ROWS = "\r\nROW ".join([BIG.decode()] * 50)
"""An item that a server returns as many long rows."""

SENDING_PERIOD = 5.0
"""Seconds for which a crowd goes on sending."""

START_ATTEMPTS = 1200
"""Attempts, 0.05 s apart, to find a VM ready before the crowd begins."""

REQUEST_PERIOD = 30.0
"""Seconds within which an ordinary request is tried again, as refusals are allowed."""


class Crowd:
    """Connections of callers that don't behave.

    Args:
        port: port that they connect to.
    """

    def __init__(self, *, port: int) -> None:
        self._port = port
        self._sockets: list[socket.socket] = []

    async def connect(self) -> socket.socket | None:
        """Connect a member, which never reads; None if it is not let in."""
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sockets.append(connection)
        try:
            async with asyncio.timeout(SENDING_PERIOD):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(connection, ("127.0.0.1", self._port))
        except (OSError, TimeoutError):
            return None
        return connection

    async def send(
        self, members: int, *parts: bytes, times: int = 1, pause: float = 0.0
    ) -> None:
        """Have members send parts, the last one repeatedly, until they have or
        `SENDING_PERIOD` is over; a closed connection ends a member."""
        runs = [self._send(parts, times, pause) for _ in range(members)]
        await asyncio.gather(*runs)

    async def _send(self, parts: tuple[bytes, ...], times: int, pause: float) -> None:
        connection = await self.connect()
        if connection is None:
            return
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SENDING_PERIOD):
                for part in (*parts[:-1], *parts[-1:] * times):
                    await loop.sock_sendall(connection, part)
                    await asyncio.sleep(pause)

    def half_close(self) -> None:
        """End the sending side of all members."""
        for connection in self._sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        """Reset all connections."""
        for connection in self._sockets:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()
        self._sockets.clear()


class Machines:
    """VMs' processes and what they take at their peak."""

    def __init__(self, *, deployment, vms: list[Vm]) -> None:
        self.deployment = deployment
        self.vms = vms
        self.crowds: list[Crowd] = []
        self._descriptors = [0] * len(vms)

    def gather_crowd(self, port: int) -> Crowd:
        """Return a new crowd at a port."""
        self.crowds.append(Crowd(port=port))
        return self.crowds[-1]

    async def count_descriptors(self) -> None:
        """Keep the highest counts of open descriptors; never returns."""
        while True:
            for index, vm in enumerate(self.vms):
                with contextlib.suppress(OSError):
                    open_files = list(Path(f"/proc/{vm.process.pid}/fd").iterdir())
                    highest = max(self._descriptors[index], len(open_files))
                    self._descriptors[index] = highest
            await asyncio.sleep(0.02)

    async def check(self, port: int) -> None:
        """Check the limits and that an ordinary request is answered, twice: while the
        crowd stays, and after it has left."""
        served = [await self.is_served(port)]
        for crowd in self.crowds:
            crowd.reset()
        served.append(await self.is_served(port))
        found = []
        for index, vm in enumerate(self.vms):
            peak = 0
            with contextlib.suppress(OSError):
                status = Path(f"/proc/{vm.process.pid}/status").read_text()
                peak = int(status.partition("VmHWM:")[2].split()[0]) >> 10
            found.append((vm.process.returncode, peak, self._descriptors[index]))
        print(f"exit code, peak MB, descriptors: {found}, served: {served}")
        for exit_code, peak, descriptors in found:
            assert exit_code is None
            assert peak <= MEMORY_MB
            assert descriptors <= DESCRIPTORS
        assert served == [True, True]

    async def is_served(self, port: int) -> bool:
        """Return whether an ordinary request is answered, tried repeatedly."""
        deadline = asyncio.get_running_loop().time() + REQUEST_PERIOD
        while asyncio.get_running_loop().time() < deadline:
            with contextlib.suppress(OSError, TimeoutError):
                client, first_line = await Client.connect(port, "orders")
                lines = [first_line]
                if first_line == "READY I -":
                    lines = await client.execute("READ x")
                client.close()
                if lines[0] == "ROW none":
                    return True
            await asyncio.sleep(0.2)
        return False


async def wait_for_output(vm: Vm, text: str) -> None:
    """Wait until a VM has written a text."""
    async with asyncio.timeout(REQUEST_PERIOD):
        while text not in vm.read_output():
            await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def run_machines(tmp_path, vms: int = 1, connections: int = 34):
    """Run VMs on machines with little memory; the last one has the least processor."""
    deployment = Deployment(connections=connections)
    for instance in deployment.instances:
        # Long statements are not kept.
        instance.executed = deque(maxlen=4)
        instance.append((1, 1, {"big": BIG.decode(), "many": MANY_ROWS, "x": "none"}))
    await deployment.start()
    started = []
    counting = None
    try:
        for index in range(vms):
            ports = find_ports()
            settings = deployment.make_settings(f"vm-{index}", ports)
            limits = {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS}
            settings["limits"].update(limits, cpu_share=0.9 - 0.2 * index)
            path, output = tmp_path / f"vm-{index}.yaml", tmp_path / f"vm-{index}.log"
            path.write_text(yaml.safe_dump(settings))
            process = await spawn_vm(path, output)
            started.append(Vm(process=process, ports=ports, path=path, output=output))
            await started[-1].wait_ready(attempts=START_ATTEMPTS)
        machines = Machines(deployment=deployment, vms=started)
        counting = asyncio.create_task(machines.count_descriptors())
        assert await machines.is_served(started[-1].ports[0])
        if vms > 1:
            await wait_for_output(started[-1], "is_holder=False")
        yield machines
    finally:
        if counting is not None:
            counting.cancel()
            for crowd in machines.crowds:
                crowd.reset()
        for vm in started:
            if vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
        await deployment.stop()


class TestCallers:
    async def test_long_statements_sent_ahead(self, tmp_path):
        """Guards against statements that pile up before they run."""
        async with run_machines(tmp_path) as machines:
            crowd = machines.gather_crowd(machines.vms[0].ports[0])
            await crowd.send(30, CONNECT, b"QUERY 1 READ " + BIG + b"\r\n", times=60)
            await machines.check(machines.vms[0].ports[0])

    @pytest.mark.parametrize("size", [PART - 4, 4096], ids=["whole", "pieces"])
    async def test_lines_that_never_end(self, tmp_path, size):
        """Guards against parts of lines that fill the memory together."""
        async with run_machines(tmp_path) as machines:
            for port in (machines.vms[0].ports[0], machines.vms[0].ports[2] + 1):
                crowd = machines.gather_crowd(port)
                times = (PART - 4) // size
                await crowd.send(250, CONNECT, b"y" * size, times=times)
            await machines.check(machines.vms[0].ports[0])

    async def test_long_rows_that_nobody_reads(self, tmp_path):
        """Guards against answers that pile up at callers that don't take them."""
        async with run_machines(tmp_path) as machines:
            crowd = machines.gather_crowd(machines.vms[0].ports[0])
            read = b"QUERY 1 READ big\r\n"
            await crowd.send(30, b"CONNECT views u1\r\n", read, times=60, pause=0.1)
            await machines.check(machines.vms[0].ports[0])

    async def test_values_and_names_without_end(self, tmp_path):
        """Guards against sessions that grow with each statement."""
        async with run_machines(tmp_path) as machines:
            crowd = machines.gather_crowd(machines.vms[0].ports[0])
            parts = [CONNECT]
            for number in range(400):
                data = BIG[: PART // 8]
                parts.append(b"QUERY 1 SET v%d %b\r\n" % (number, data))
                parts.append(b"QUERY 1 PREPARE s%d READ %b\r\n" % (number, data))
            await crowd.send(20, *parts)
            await machines.check(machines.vms[0].ports[0])

    async def test_lines_far_over_the_limit(self, tmp_path):
        """Guards against a line that is read to its end before it is refused."""
        async with run_machines(tmp_path) as machines:
            for port in (machines.vms[0].ports[0], machines.vms[0].ports[2] + 1):
                crowd = machines.gather_crowd(port)
                await crowd.send(30, b"QUERY 1 READ ", BIG, times=64)
            await machines.check(machines.vms[0].ports[0])

    async def test_slow_and_stopped_ones(self, tmp_path):
        """Guards against descriptors that callers take which say next to nothing."""
        async with run_machines(tmp_path) as machines:
            crowd = machines.gather_crowd(machines.vms[0].ports[0])
            runs = [crowd.send(400, b"C"), crowd.send(200, b"CONNECT ", b"o", times=9)]
            runs.append(crowd.send(100, CONNECT, b"QUERY 1 BEGIN\r\n", b"QUERY 1 RE"))
            await asyncio.gather(*runs)
            await machines.check(machines.vms[0].ports[0])

    async def test_half_closed_and_reset_ones(self, tmp_path):
        """Guards against answers that are kept for callers which have gone."""
        async with run_machines(tmp_path) as machines:
            for _ in range(4):
                crowd = machines.gather_crowd(machines.vms[0].ports[0])
                await crowd.send(20, CONNECT, b"QUERY 1 READ big\r\n", times=40)
                crowd.half_close()
            for _ in range(4):
                crowd = machines.gather_crowd(machines.vms[0].ports[0])
                await crowd.send(20, CONNECT, b"QUERY 1 READ " + BIG + b"\r\n")
                crowd.reset()
            await machines.check(machines.vms[0].ports[0])


class TestOtherPorts:
    async def test_flood_of_http_requests(self, tmp_path):
        """Guards against ports that take every connection and keep each answer."""
        async with run_machines(tmp_path) as machines:
            _, ready, internal = machines.vms[0].ports
            header = b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
            for port in (ready, internal):
                crowd = machines.gather_crowd(port)
                await asyncio.gather(
                    crowd.send(800, header),
                    crowd.send(100, header + b"A: ", BIG, times=20),
                    crowd.send(100, (header + b"\r\n") * 400, times=9),
                )
            await machines.check(machines.vms[0].ports[0])

    async def test_answer_of_a_server_without_end(self, tmp_path):
        """Guards against rows that are kept however many there are."""
        async with run_machines(tmp_path) as machines:
            crowd = machines.gather_crowd(machines.vms[0].ports[0])
            await crowd.send(4, CONNECT, b"QUERY 1 READ many\r\n")
            await asyncio.sleep(SENDING_PERIOD)
            await machines.check(machines.vms[0].ports[0])

    async def test_answer_of_the_store_without_end(self, tmp_path):
        """Guards against a list that is read whole however long it is."""
        async with run_machines(tmp_path) as machines:
            store = machines.deployment.store
            store.put("servers", "i-9", {"service": "z" * 100 * PART})
            asked = store.calls.count(("GET", "servers"))
            async with asyncio.timeout(REQUEST_PERIOD):
                while store.calls.count(("GET", "servers")) < asked + 3:
                    await asyncio.sleep(0.1)
            store.remove("servers", "i-9")
            await machines.check(machines.vms[0].ports[0])


class TestRelayedCallers:
    @pytest.mark.parametrize("item", [b"big", BIG], ids=["rows", "statements"])
    async def test_much_in_either_direction(self, tmp_path, item):
        """Guards against a VM that keeps what it relays."""
        async with run_machines(tmp_path, vms=2, connections=5) as machines:
            crowd = machines.gather_crowd(machines.vms[1].ports[0])
            read = b"QUERY 1 READ " + item + b"\r\n"
            await crowd.send(45, b"CONNECT views u1\r\n", read, times=60, pause=0.1)
            await machines.check(machines.vms[1].ports[0])
