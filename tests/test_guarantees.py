"""Tests of the guarantees under faults: short campaigns on simulated time.

`make prove` runs longer campaigns.
"""

import pytest

from siskinhold_trial.proof import FAULTS, MUTANTS, RESTORE_FAULTS, run_seed

FAULT_NAMES = [fault.name for fault in FAULTS]
# The first seed with which `scripts/prove.py --mutants` detects each mutant.
MUTANT_SEEDS = {
    "write_confirmation": 1,
    "replica_holds_write": 1,
    "read_position": 0,
    "session_position": 0,
    "not_run_after_attempt": 8,
    "key_unsettled": 8,
    "unknown_after_lost_owner": 3,
    "leaving_server_unfit": 0,
    "drain_before_stop": 1,
}


class TestSingleFaults:
    """Runs with two faults of one kind."""

    @pytest.mark.parametrize("name", FAULT_NAMES)
    def test_guarantees_hold(self, name):
        """Guards against violated guarantees and requests that never end."""
        faults = tuple(fault for fault in FAULTS if fault.name == name)
        report = run_seed(FAULT_NAMES.index(name), faults=faults, count=2, seconds=6.0)
        assert report.violations == []
        assert report.stuck == []
        assert report.done > 500


class TestMixedFaults:
    """Runs with overlapping faults of several kinds."""

    @pytest.mark.parametrize("seed", [11, 12])
    def test_guarantees_hold(self, seed):
        """Guards against violations that only a combination of faults causes."""
        report = run_seed(seed, count=6, seconds=15.0)
        assert report.violations == []
        assert report.stuck == []

    def test_same_seed_same_run(self):
        """Guards against runs that can't be reproduced from their seed."""
        first = run_seed(5, count=2, seconds=4.0)
        assert run_seed(5, count=2, seconds=4.0) == first


class TestRestoredStore:
    """Runs in which the store goes back to older copies."""

    @pytest.mark.parametrize("seed", [32, 35])
    def test_guarantees_hold(self, seed):
        """Guards against tickets and promotions that a restored store holds up."""
        report = run_seed(seed, faults=RESTORE_FAULTS, count=8, seconds=20.0)
        assert report.violations == []
        assert report.stuck == []


class TestMutants:
    """The checks detect a core that lacks one of its rules."""

    @pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
    def test_missing_rule_is_noticed(self, mutant):
        """Guards against a campaign that passes although the core is faulty."""
        with mutant.active():
            report = run_seed(MUTANT_SEEDS[mutant.name], faults=mutant.faults)
        assert report.violations
