"""Tests of signals that reach a VM's process before its service has started."""

import asyncio
import contextlib
import signal

from .standins import Client, spawn_vm
from .test_service import SLOW_MODULE, run_deployment

LATE_PROBE_MODULE = """
import asyncio, os, sys
sys.path.remove(os.path.dirname(__file__))
del sys.modules["uvloop"]
import uvloop
from siskinhold.lines._probe import ProbeServer
start = ProbeServer.start
async def start_late(self):
    open({waiting!r}, "w").close()
    while not os.path.exists({gate!r}):
        await asyncio.sleep(0.01)
    await start(self)
ProbeServer.start = start_late
"""
"""A module that holds up a start that already serves callers until a file exists."""


async def start_again(vm, folder, source: str):
    """Kill a VM and start it with a module in place of the event loop's."""
    vm.process.kill()
    await vm.process.wait()
    modules = folder / "modules"
    modules.mkdir()
    (modules / "uvloop.py").write_text(source)
    vm.process = await spawn_vm(vm.path, vm.output, modules)


async def open_caller(vm) -> Client:
    """Connect a caller as soon as the VM listens."""
    async with asyncio.timeout(5):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                return await Client.open(vm.ports[0], "orders")
            await asyncio.sleep(0.01)


class TestSignalsAtStart:
    async def test_stop_of_a_starting_vm_answers_its_callers(self, tmp_path):
        """Guards against SIGTERM that kills a process which already reads callers."""
        gate, waiting = tmp_path / "gate", tmp_path / "waiting"
        source = LATE_PROBE_MODULE.format(gate=str(gate), waiting=str(waiting))
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            await start_again(vm, tmp_path, source)
            client = await open_caller(vm)
            async with asyncio.timeout(5):
                while not waiting.exists():
                    await asyncio.sleep(0.01)
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            gate.touch()
            assert await client.read_line() == "READY I -"
            assert (await client.execute("READ x"))[0] == "ROW none"
            client.close()
            assert await asyncio.wait_for(vm.process.wait(), 6) == 0

    async def test_stop_of_a_loading_program_answers_its_callers(self, tmp_path):
        """Guards against SIGTERM that resets callers that wait for the program."""
        gate = tmp_path / "gate"
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            await start_again(vm, tmp_path, SLOW_MODULE.format(gate=str(gate)))
            client = await open_caller(vm)
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            gate.touch()
            assert await client.read_line() == "READY I -"
            assert (await client.execute("READ x"))[0] == "ROW none"
            client.close()
            assert await asyncio.wait_for(vm.process.wait(), 6) == 0

    async def test_reload_of_a_starting_vm_keeps_its_callers(self, tmp_path):
        """Guards against SIGHUP that kills a process with waiting callers."""
        gate = tmp_path / "gate"
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            await start_again(vm, tmp_path, SLOW_MODULE.format(gate=str(gate)))
            client = await open_caller(vm)
            vm.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            gate.touch()
            assert await client.read_line() == "READY I -"
            assert (await client.execute("READ x"))[0] == "ROW none"
