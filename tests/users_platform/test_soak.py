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
