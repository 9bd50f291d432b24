"""Runs the fault soak briefly with a fixed seed, and checks its own checks."""

import random

import pytest

from .soak import Soak
from .soak_accounts import AccountsSoak
from .soak_callers import CROSSING_PERIOD, Sent, StayingCallers
from .soak_processes import VmProcess


class TestSoak:
    async def test_short_run_has_no_violations(self, tmp_path):
        """Guards against violated guarantees while processes and links fail."""
        soak = Soak(seed=1, vms=2, folder=tmp_path)
        await soak.run(6)
        assert soak.violations == []
        assert soak.counts["done"] > 100

    async def test_short_run_with_restores_has_no_violations(self, tmp_path):
        """Guards against the same while the store returns to older copies."""
        soak = Soak(seed=4, vms=2, folder=tmp_path, restores=True)
        await soak.run(6)
        assert soak.violations == []
        assert soak.counts["done"] > 100

    async def test_short_run_with_stops_has_no_violations(self, tmp_path):
        """Guards against callers without an answer from a VM that is stopped."""
        soak = Soak(seed=2, vms=2, folder=tmp_path, stops=True)
        await soak.run(8)
        assert soak.violations == []
        assert soak.counts["done"] > 100
        assert soak.counts["stops"] > 1

    @pytest.mark.parametrize("refusals", [False, True])
    async def test_short_run_with_texts_has_no_violations(self, tmp_path, refusals):
        """Guards against statements that run with other texts than were set up."""
        soak = Soak(seed=5, vms=2, folder=tmp_path, texts=0.2, refusals=refusals)
        await soak.run(5)
        assert soak.violations == []
        assert soak.counts["prepared_runs"] > 100

    async def test_short_run_with_routes_has_no_violations(self, tmp_path):
        """Guards against routes that are not in force in time, or come and go again."""
        soak = Soak(seed=6, vms=5, folder=tmp_path, routes=True, connections=12)
        await soak.run(12)
        assert soak.violations == []
        assert soak.counts["served"] > 100
        assert soak.counts["unknown"] > 100

    @pytest.mark.parametrize("sync", [1, 2])
    async def test_short_run_with_acknowledging_replicas_loses_nothing(
        self, tmp_path, sync
    ):
        """Guards against commits that are lost as instances end beside deaf ones."""
        soak = Soak(seed=7, vms=2, folder=tmp_path, sync=sync)
        await soak.run(12)
        assert soak.violations == []
        assert soak.counts["done"] > 100
        assert soak.counts["ends"] > 1

    async def test_short_run_with_accounts_has_no_violations(self, tmp_path):
        """Guards against withdrawn keys that run, and an account beyond its rate."""
        soak = AccountsSoak(seed=3, vms=3, folder=tmp_path)
        await soak.run(8)
        assert soak.violations == []
        assert soak.counts["done"] > 100


class TestCrossing:
    """A statement without an answer, sent shortly before its connection's end."""

    def list_unanswered(self, tmp_path, *, waited, stalled):
        """Return what is reported if the soak stood still for a part of the wait."""
        vm = VmProcess(name="vm-0", path=tmp_path, ports=(), output=tmp_path)
        callers = StayingCallers(random=random.Random(1), vms=[vm])
        callers.sent.append(
            Sent(
                vm=vm,
                caller="vm-0-4",
                request="c1-3",
                text="READ k",
                sent_at=10.0,
                ended_at=10.0 + waited,
            )
        )
        callers.stalls.record(9.5, 9.9)
        callers.stalls.record(10.0, 10.0 + stalled)
        return callers.list_unanswered([])

    def test_stall_of_the_soak_itself_is_not_the_wait_for_a_vm(self, tmp_path):
        """Guards against a VM that is blamed for what its callers read late."""
        waited = CROSSING_PERIOD + 0.03
        assert not self.list_unanswered(tmp_path, waited=waited, stalled=0.1)

    @pytest.mark.parametrize("stalled", (0.0, 0.02))
    def test_wait_of_a_running_soak_is_reported(self, tmp_path, stalled):
        """Guards against a stall that excuses more than itself."""
        waited = CROSSING_PERIOD + 0.03
        found = self.list_unanswered(tmp_path, waited=waited, stalled=stalled)
        assert len(found) == 1
        assert f"stalled={stalled:.3f}" in found[0]


class TestReadOfAnOlderValue:
    """A read of 36 after 37 was acknowledged."""

    async def read(self, tmp_path, *, log, in_doubt):
        """Return what is reported if the primary has a log of numbers."""
        soak = Soak(seed=1, vms=1, folder=tmp_path)
        group = soak._deployment.group
        for place, number in enumerate(log):
            group.leader.append((1, place + 1, {"k": str(number)}))
        soak._vms.append(
            VmProcess(name="vm-0", path=tmp_path, ports=(1,), output=tmp_path)
        )
        soak._acknowledged["k"] = 37
        soak._in_doubt |= {("k", number) for number in in_doubt}
        await soak._read_once(AnsweringClient("ROW 36", "COMPLETE i-0.c1-1"), "k")
        assert soak.counts["read_late"] + len(soak.violations) == 1
        return soak.violations

    async def test_write_in_doubt_that_ran_later_is_allowed(self, tmp_path):
        """Guards against a report of what its caller was told may still happen."""
        assert not await self.read(tmp_path, log=(35, 37, 36), in_doubt=(36,))

    async def test_write_in_doubt_that_ran_before_is_reported(self, tmp_path):
        """Guards against reads of an old value that a doubt would excuse."""
        found = await self.read(tmp_path, log=(35, 36, 37), in_doubt=(36,))
        assert "in_doubt=True places=1,2" in found[0]

    async def test_acknowledged_write_that_ran_later_is_reported(self, tmp_path):
        """Guards against a write that ran again, though it was answered."""
        found = await self.read(tmp_path, log=(35, 37, 36), in_doubt=())
        assert "in_doubt=False places=2,1" in found[0]


class AnsweringClient:
    """A client whose statements all get the same answer."""

    port = 1

    def __init__(self, *lines) -> None:
        self._lines = list(lines)

    async def execute(self, text: str) -> list[str]:
        """Return the answer."""
        return self._lines
