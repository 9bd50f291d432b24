"""Runs the fault soak briefly with a fixed seed."""

import pytest

from .soak import Soak
from .soak_accounts import AccountsSoak


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
