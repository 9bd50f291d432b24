"""Tests of graceful shutdowns by a seeded campaign of callers and faults.

`SISKINHOLD_STOP_SEEDS=FIRST:END` in the environment plays other seeds.
"""

import os

import pytest

from .stop_campaign import list_violations, play

FIRST_SEED, END_SEED = (
    int(number) for number in os.environ.get("SISKINHOLD_STOP_SEEDS", "0:16").split(":")
)


class TestStopCampaign:
    @pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
    def test_every_statement_is_answered_before_the_process_ends(self, seed):
        """Guards against a shutdown that leaves callers without a true answer."""
        world = play(seed)
        assert list_violations(world) == [], f"seed {seed}"
        assert world.stops, f"seed {seed}"
        assert len(world.requests) > 100, f"seed {seed}"
