"""Tests of promotions by a seeded campaign of faults.

`SISKINHOLD_CAMPAIGN_SEEDS=FIRST:END` in the environment plays other seeds.
"""

import os

import pytest

from .campaign import list_violations, play

FIRST_SEED, END_SEED = (
    int(number)
    for number in os.environ.get("SISKINHOLD_CAMPAIGN_SEEDS", "0:20").split(":")
)


class TestCampaign:
    @pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
    def test_vms_keep_the_lease_and_the_order_of_tokens(self, seed):
        """Guards against two VMs that order promotions in turns.

        No order has a lower token or that of another VM, and no write is acknowledged
        that ran at a replaced primary.
        """
        world = play(seed)
        assert list_violations(world) == [], f"seed {seed}"
        assert world.orders, f"seed {seed}"
