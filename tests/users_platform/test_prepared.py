"""Tests of prepared statements that several callers share connections for."""

import asyncio
import random

import pytest
import yaml

from .prepared_callers import PreparingCallers
from .soak_kept import GROWTH_KB, read_resident_kb
from .standins import Client
from .test_service import run_deployment

SHAPE_BYTES = 60_000
"""Bytes of a long shape, far below the longest message."""


async def play_callers(deployment, vms, seed: int, seconds: float, **options):
    """Have six callers prepare and execute; return them once they have ended."""
    for instance in deployment.instances:
        instance.runs = []
    callers = PreparingCallers(
        random=random.Random(seed), ports=[vm.ports[0] for vm in vms], **options
    )
    tasks = callers.start(6)
    await asyncio.sleep(seconds)
    callers.stop()
    await asyncio.gather(*tasks)
    return callers


class TestShapes:
    @pytest.mark.parametrize("vms", [1, 2])
    async def test_shapes_with_blanks_and_line_ends_run_as_prepared(
        self, tmp_path, vms
    ):
        """Guards against a shape that is read as a name and another shape."""
        async with run_deployment(tmp_path, vms) as (deployment, started):
            callers = await play_callers(deployment, started, 1, 3)
            assert callers.list_violations(deployment.instances) == []
            ran = sum(bool(r.shape) for i in deployment.instances for r in i.runs)
            assert ran > 100
            assert callers.refused == []

    async def test_shape_that_reads_like_a_preparation_replaces_no_other(
        self, tmp_path
    ):
        """Guards against a shape that prepares another caller's name anew."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            leader = deployment.instances[0]
            leader.runs = []
            clients = []
            for _ in range(2):
                clients.append((await Client.connect(vm.ports[0], "orders"))[0])
            for index, text in (
                (0, "PREPARE s1 WRITE q1"),
                (1, "PREPARE s1 WRITE q1 WRITE pc"),
                (1, "PREPARE s2 READ q2 READ mnhitdxm"),
                (0, "EXECUTE s1 k a"),
                (1, "EXECUTE s1 k b"),
                (0, "EXECUTE s1 k c"),
                (1, "EXECUTE s2 k d"),
            ):
                lines = await clients[index].execute(text)
                assert lines[-2].startswith("COMPLETE")
            for client in clients:
                client.close()
            ran = [(r.mode, r.shape, r.text.split(" ", 2)[2]) for r in leader.runs]
            assert ran == [
                ("WRITE", "q1", "k a"),
                ("WRITE", "q1 WRITE pc", "k b"),
                ("WRITE", "q1", "k c"),
                ("READ", "q2 READ mnhitdxm", "k d"),
            ]

    async def test_plain_shapes_run_as_prepared(self, tmp_path):
        """Guards against callers whose equal names are mixed up."""
        async with run_deployment(tmp_path) as (deployment, started):
            callers = await play_callers(deployment, started, 1, 2, plain=True)
            assert callers.list_violations(deployment.instances) == []


class TestMemory:
    async def test_ever_new_long_shapes_do_not_grow_the_vm(self, tmp_path):
        """Guards against statements that are kept for callers who are gone."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            fields = yaml.safe_load(vm.path.read_text())
            fields["limits"]["memory_mb"] = 300
            await vm.restart(fields)
            client, _ = await Client.connect(vm.ports[0], "orders")
            await self.execute_shapes(client, range(50))
            before = read_resident_kb(vm.process.pid)
            await self.execute_shapes(client, range(50, 1050))
            client.close()
            assert read_resident_kb(vm.process.pid) - before < GROWTH_KB

    async def execute_shapes(self, client: Client, numbers: range) -> None:
        """Prepare, execute and deallocate a new long shape for each number."""
        for number in numbers:
            shape = f"q{number}".ljust(SHAPE_BYTES, "x")
            for text in (f"PREPARE s READ {shape}", "EXECUTE s k1", "DEALLOC s"):
                lines = await client.execute(text)
                assert lines[-2].startswith("COMPLETE"), lines
