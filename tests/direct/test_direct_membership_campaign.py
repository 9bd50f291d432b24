"""Tests of unseen terms and incomplete lists of servers by a seeded campaign.

`SISKINHOLD_CAMPAIGN_SEEDS=FIRST:END` in the environment plays other seeds.
"""

import os

import pytest

from .membership_campaign import list_violations, play

FIRST_SEED, END_SEED = (
    int(number)
    for number in os.environ.get("SISKINHOLD_CAMPAIGN_SEEDS", "0:20").split(":")
)


class TestMembershipCampaign:
    @pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
    def test_vms_notice_terms_that_they_have_missed(self, seed):
        """Guards against answers of a primary that a VM does not know to be replaced.

        No write is acknowledged that ran at a replaced primary, and no read lacks a
        write that was acknowledged before.
        """
        world = play(seed)
        assert list_violations(world) == [], f"seed {seed}"
        assert world.orders, f"seed {seed}"
