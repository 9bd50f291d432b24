"""Tests of leader records in the store across a restore from an older copy."""

import time

import pytest

from siskinhold.direct import (
    LeaderRecord,
    LeaderState,
    ReadLeaderRecord,
    Revision,
    StoreOutcome,
)
from siskinhold.lines import LeaderResult, StoreUnavailable

from .test_tasks import FakeClient, make_driver, start_store


def make_record(vm: str) -> LeaderRecord:
    """Return the record of a VM's claim."""
    return LeaderRecord(
        state=LeaderState.PROMOTING,
        server="s1",
        term=1,
        vm=vm,
        attempt=f"of-{vm}",
        holder="",
    )


class TestLeaderRecords:
    async def test_late_write_of_an_older_era_does_not_replace_a_claim(self):
        """Guards against two claimants by a revision that the store gives out twice."""
        store, client = await start_store()
        eras = []
        client.follow_era(eras.append)
        copied_at = time.monotonic()
        old = await client.write_leader("db", make_record("vm-1"), Revision(era=1))
        store.restore(time.monotonic() - copied_at + 0.001)
        new = await client.write_leader("db", make_record("vm-2"), Revision(era=2))
        assert new.revision.number == old.revision.number
        await client.write_leader("db", make_record("vm-3"), old.revision)
        found = await client.read_leader("db", 2)
        await client.close()
        await store.stop()
        assert found.record == make_record("vm-2")
        assert eras == [1, 2]

    async def test_record_of_a_store_that_was_not_restored_is_shared(self):
        """Guards against claims that VMs of older versions don't see."""
        store, client = await start_store()
        await client.write_leader("db", make_record("vm-1"), Revision(era=1))
        await client.close()
        await store.stop()
        assert ("leaders", "db") in store.objects

    @pytest.mark.parametrize("era", [None, "x", 1 << 23])
    async def test_answer_without_a_readable_era_is_unknown(self, era):
        """Guards against an order by a claim that only the restored store holds."""
        store, client = await start_store()
        await client.read_leader("db", 1)
        store.restore(0.0)
        store.era = era
        written = await client.write_leader("db", make_record("vm-1"), Revision(era=1))
        found = await client.read_leader("db", 1)
        await client.close()
        await store.stop()
        assert written.outcome is StoreOutcome.UNKNOWN
        assert found.outcome is StoreOutcome.UNKNOWN

    @pytest.mark.parametrize("era", [1, 2])
    async def test_answer_of_another_era_is_unknown(self, era):
        """Guards against an order by a claim that only the restored store holds."""

        class Client(FakeClient):
            async def read_leader(self, service, era, *, fresh=True):
                return LeaderResult(
                    outcome=StoreOutcome.DONE, revision=Revision(era=2, number=7)
                )

        driver = make_driver(Client())
        events = []
        driver.emit = events.append
        driver._read_leader(ReadLeaderRecord(call=1, service="db", era=era))
        for task in list(driver._tasks):
            await task
        expected = StoreOutcome.DONE if era == 2 else StoreOutcome.UNKNOWN
        assert [event.outcome for event in events] == [expected]


class TestLists:
    async def test_pages_of_two_eras_are_no_list(self, monkeypatch):
        """Guards against a list that no copy of the store has held."""
        store, client = await start_store()
        for number in range(6):
            store.put("servers", f"s{number}", {})
        call = client._call

        async def restore_after(*arguments, **options):
            reply = await call(*arguments, **options)
            store.restore(0.0)
            return reply

        monkeypatch.setattr(client, "_call", restore_after)
        with pytest.raises(StoreUnavailable):
            await client.list_servers(fresh=True)
        await client.close()
        await store.stop()
