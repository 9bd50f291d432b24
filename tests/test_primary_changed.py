"""Tests of the `primary_changed` timeline record, on simulated time."""

import asyncio

import looptime
import pytest

from siskinhold_trial.fleet import CRANNOG, Fleet


async def change_primaries(seed, answer_loss):
    """Kill all primaries; return the `primary_changed` records of all VMs."""
    fleet = Fleet(deployment=CRANNOG, vm_count=3, seed=seed)
    await fleet.start()
    await asyncio.sleep(2.0)
    fleet.store.answer_loss = answer_loss
    for database in fleet.databases.values():
        database.find_primary().kill()
    await asyncio.sleep(10.0)
    changes = []
    for vm in fleet.list_running():
        for _, item in vm.recorder.records:
            if item.name == "primary_changed":
                changes.append((item.database, item.term))
    await fleet.stop()
    return sorted(changes), sorted(fleet.databases)


class TestPrimaryChanged:
    @pytest.mark.parametrize("answer_loss", [0.0, 0.5])
    def test_each_change_is_recorded_once(self, answer_loss):
        """Each change is recorded once, also if the store's watch reports the term
        record before the store answers its write.

        Guards against a failover that is missing in the timeline and metrics.
        """
        loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
        asyncio.set_event_loop(loop)
        try:
            changes, names = loop.run_until_complete(change_primaries(1, answer_loss))
        finally:
            asyncio.set_event_loop(None)
            loop.close()
        assert changes == [(name, 2) for name in names]
