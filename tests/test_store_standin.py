"""Tests of the store stand-in."""

import aiohttp
import msgspec
import pytest
import pytest_asyncio
from hypothesis import given, settings, strategies as st
from msgspec.structs import replace
from store_samples import make_address, started, write

from siskinhold.store import ListObjects, ReadObject, StoreFailure
from siskinhold_trial.store import (
    StoreEngine,
    StoreServer,
    VmList,
    VmListing,
    VmPresence,
)

# Every run uses the same examples.
REPEATABLE = settings(derandomize=True, deadline=None, max_examples=60)
VM = make_address("vm1")
KEYS = ["a/1", "a/2", "b/1", "a"]


class TestEngine:
    @REPEATABLE
    @given(
        st.lists(st.tuples(st.sampled_from(KEYS), st.binary(max_size=8), st.booleans()))
    )
    def test_conditional_writes(self, attempts):
        """Versions grow by one and stale writes fail; guards against lost updates."""
        engine = StoreEngine()
        accepted: dict[str, tuple[bytes, int]] = {}
        for key, value, stale in attempts:
            value_before, version = accepted.get(key, (b"", 0))
            result = engine.call(write(key, value, version + stale))
            if stale:
                assert result.failure is StoreFailure.CONFLICT
                continue
            accepted[key] = (value, version + 1)
            assert result.objects[0].version == version + 1
            assert result.revision == engine.revision
        for key, (value, version) in accepted.items():
            found = engine.call(ReadObject(key=key)).objects[0]
            assert (found.value, found.version) == (value, version)
        listed = engine.call(ListObjects(prefix="a/")).objects
        assert [item.key for item in listed] == sorted(
            key for key in accepted if key.startswith("a/")
        )

    @REPEATABLE
    @given(st.lists(st.sampled_from(KEYS), max_size=20), st.data())
    def test_watch_misses_nothing(self, keys, data):
        """Occasional polls return every change; guards against a gap between pages."""
        engine = StoreEngine(page_bytes=3)
        versions: dict[str, int] = {}
        seen: dict[str, int] = {}
        after = 0
        for key in keys:
            versions[key] = versions.get(key, 0) + 1
            engine.call(write(key, b"xx", versions[key] - 1))
            if data.draw(st.booleans()):
                after = self._poll(engine, after, seen)
        while after < engine.revision:
            after = self._poll(engine, after, seen)
        assert seen == {key: n for key, n in versions.items() if key != "b/1"}

    def _poll(self, engine: StoreEngine, after: int, seen: dict[str, int]) -> int:
        result = engine.changes("a", after=after)
        for item in result.objects:
            assert after < item.revision <= result.revision
            seen[item.key] = item.version
        return result.revision

    def test_restored_copy(self):
        """Writes after the copy are gone and their numbers are given out again.

        Guards against trials of a restored store that loses nothing.
        """
        engine = StoreEngine()
        engine.call(write("a", b"1", 0))
        copy = engine.save_copy()
        engine.call(write("a", b"2", 1))
        engine.call(write("b", b"1", 0))
        engine.restore(copy, raise_era=True)
        assert engine.call(ReadObject(key="b")).failure is StoreFailure.NOT_FOUND
        assert engine.changes("", after=0).objects == copy.objects
        old_era = replace(write("a", b"3", 1), expected_era=5)
        assert engine.call(old_era).failure is StoreFailure.CONFLICT
        written = engine.call(write("a", b"3", 1)).objects[0]
        assert (written.version, written.revision, engine.era) == (2, 2, 1)

    def test_limits(self):
        """A value has at most 1 MB; guards against trials with values that the
        platform's store would reject."""
        engine = StoreEngine()
        assert engine.call(write("a", b"x" * 1_000_000, 0)).failure is None
        for refused in (write("b", b"x" * 1_000_001, 0), write("", b"", 0)):
            assert engine.call(refused).failure is StoreFailure.REJECTED


class TestVmList:
    def test_lag(self):
        """Changes show late and in order; guards against a list without lag."""
        vms = VmList(lag=2.0)
        vms.register(VM, now=0.0)
        assert vms.set_presence("vm1", VmPresence.LEAVING, now=1.0)
        assert vms.read(now=1.0) == VmListing()
        assert vms.read(now=2.0) == VmListing(live=(VM,))
        assert vms.read(now=3.0) == VmListing(live=(VM,), leaving=("vm1",))
        vms.set_presence("vm1", VmPresence.GONE, now=3.0)
        assert vms.read(now=5.0) == VmListing()
        assert not vms.set_presence("vm2", VmPresence.LIVE, now=5.0)


@pytest_asyncio.fixture
async def server():
    server = StoreServer(engine=StoreEngine(), vms=VmList())
    async with started(server):
        yield server


@pytest_asyncio.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


class TestControlPort:
    async def test_counters(self, server, session):
        """Each call and watch counts once; guards against an underestimated load."""
        changes = "/v1/changes?prefix=&after=0&wait_ms=10"
        for path in ("/v1/object?key=a", changes, "/v1/objects?prefix=", "/v1/vms"):
            await session.get(server.url + path)
        url = f"{server.control_url}/control/counters"
        expected = {"read": 1, "watch": 1, "list": 1, "vm_list": 1, "total": 4}
        assert await (await session.get(url)).json() == expected
        await session.delete(url)
        assert await (await session.get(url)).json() == {"total": 0}

    async def test_faults_over_http(self, server, session):
        """A fault is set and cleared; guards against losing the control port."""
        url = f"{server.control_url}/control/faults"
        assert (await session.put(url, json={"down": "refuse"})).status == 200
        with pytest.raises(aiohttp.ClientConnectionError):
            await session.get(f"{server.url}/v1/vms")
        assert (await session.put(url, json={})).status == 200
        assert (await session.get(f"{server.url}/v1/vms")).status == 200
        assert (await session.put(url, json={"dwon": "refuse"})).status == 400

    async def test_era(self, server, session):
        """Answers name the era once it has risen; guards against hidden restores."""
        url = f"{server.url}/v1/object?key=a"
        assert "Revision-Era" not in (await session.get(url)).headers
        server.engine.restore(server.engine.save_copy(), raise_era=True)
        assert (await session.get(url)).headers["Revision-Era"] == "1"
        post = f"{url}&expected_version=0"
        headers = {"Revision-Era": "2"}
        assert (await session.post(post, headers=headers)).status == 409
        assert (await session.post(post)).status == 200

    async def test_vm_list(self, server, session):
        """Only a registered VM can leave; guards against accepting a misspelt name."""
        await session.post(f"{server.url}/v1/vms", data=msgspec.json.encode(VM))
        url = f"{server.control_url}/control/vms"
        leaving = {"presence": "leaving"}
        assert (await session.put(f"{url}/vm1", json=leaving)).status == 200
        assert (await session.put(f"{url}/vm2", json=leaving)).status == 404
        listing = await (await session.get(f"{server.url}/v1/vms")).json()
        assert listing["leaving"] == ["vm1"]
