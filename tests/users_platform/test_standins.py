"""Tests of the store's stand-in: restores, and writes whose answer is lost."""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from .standins import Group, Instance, Store


@contextlib.asynccontextmanager
async def run_store(instances=()):
    """Run a store; yield it and a function that calls it."""
    store = Store(instances=list(instances))
    await store.start()
    async with aiohttp.ClientSession(f"http://127.0.0.1:{store.port}") as session:

        async def call(method: str, path: str, body: dict | None = None):
            path = f"/-/objects/{path}"
            async with session.request(method, path, json=body) as answer:
                content = await answer.json() if answer.status == 200 else None
                return answer.status, answer.headers.get("Store-Era"), content

        yield store, call
    await store.stop()


def make_object(name: str, **meta) -> dict:
    """Return the body of a write."""
    return {"meta": {"name": name, **meta}, "spec": {"by": "a VM"}}


class TestEra:
    async def test_each_answer_carries_the_era(self):
        """Guards against an answer, also of an error, that doesn't show a restore."""
        async with run_store() as (store, call):
            store.put("vms", "a", {})
            for path in ("vms", "vms/a", "vms/b", "vms?watch=9&wait_ms=0"):
                assert (await call("GET", path))[1] == "1"
            store.restore(0)
            assert (await call("POST", "vms", make_object("a")))[:2] == (409, "2")
            store.down = True
            assert (await call("GET", "vms"))[:2] == (503, "2")
            store.era = None
            assert (await call("GET", "vms"))[1] is None


class TestRestore:
    async def test_only_operator_and_instances_write_again(self):
        """Guards against a restore that loses too little or too much."""
        group = Group(lag=0)
        instance = Instance(group=group, service="db", name="i", zone="a", leads=True)
        instance.running = True
        async with run_store([instance]) as (store, call):
            store.put("vms", "early", {})
            copied = dict(store.objects)
            await asyncio.sleep(0.05)
            store.put("vms", "late", {})
            store.put("config", "main", {"version": 2})
            store.refresh()
            store.restore(0.02, delay=0.5)
            assert store.revision == 2
            assert (await call("GET", "servers"))[2]["items"] == []
            assert store.objects == copied
            await asyncio.sleep(0.6)
            found = {
                key: item["meta"]["revision"] for key, item in store.objects.items()
            }
            assert found == {
                ("vms", "early"): 2,
                ("config", "main"): 3,
                ("servers", "i"): 4,
            }
            assert store.objects["config", "main"]["spec"] == {"version": 2}

    async def test_watch_depends_on_the_revision_alone(self):
        """Guards against a watch that is told of a restore by more than its number."""
        async with run_store() as (store, call):
            await asyncio.sleep(0.02)
            began = time.monotonic()
            store.put("config", "main", {"version": 1})
            waiting = asyncio.create_task(call("GET", "config?watch=2&wait_ms=9000"))
            await asyncio.sleep(0.05)
            store.restore(time.monotonic() - began, delay=1.0)
            # The HTTP client repeats a call whose connection was cut off.
            assert (await waiting)[0] == 410
            assert store.calls == [("GET", "config")] * 2
            await asyncio.sleep(1.1)
            status, _, content = await call("GET", "config?watch=2&wait_ms=0")
            assert (status, content["events"]) == (200, [])

    async def test_state_before_an_earlier_restore_can_return(self):
        """Guards against a second restore that can't reach behind the first."""
        async with run_store() as (store, call):
            store.put("vms", "a", {})
            store.put("vms", "b", {})
            await asyncio.sleep(0.05)
            store.restore(9)
            assert store.objects == {}
            store.restore(0.03)
            assert set(store.objects) == {("vms", "a"), ("vms", "b")}
            assert (store.revision, len(store.history), store.era) == (3, 2, 3)


class TestLateWrites:
    async def test_unanswered_write_is_carried_out_if_its_condition_holds(self):
        """Guards against a late write that ignores what has happened since."""
        async with run_store() as (store, call):
            store.put("vms", "a", {})
            store.put("vms", "b", {})
            await asyncio.sleep(0.02)
            store.write_delay = 0.1
            for name, revision in (("a", 2), ("b", 3)):
                with pytest.raises(aiohttp.ClientError):
                    await call(
                        "PUT", f"vms/{name}", make_object(name, revision=revision)
                    )
            store.restore(0.01)
            store.put("vms", "b", {})
            await asyncio.sleep(0.2)
            assert store.objects["vms", "a"]["spec"] == {"by": "a VM"}
            assert store.objects["vms", "b"]["spec"] == {}
