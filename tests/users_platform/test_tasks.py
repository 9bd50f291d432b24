"""Tests of a process's tasks: feeds of the store, timers, published suspicions."""

import asyncio
import contextlib
import socket

import pytest

from siskinhold.direct import (
    ConfigurationRead,
    DirectState,
    LeaderRecord,
    LeaderState,
    ListSuspicions,
    ListVms,
    Log,
    OrderPromotion,
    ProbeVm,
    PromotionOutcome,
    PublishSuspicion,
    RemoveVm,
    Revision,
    ServerEntry,
    StoreOutcome,
    Suspicion,
    VmEntry,
    VmProbed,
)
from siskinhold.lines import (
    HistoryGone,
    HttpClient,
    HttpFailure,
    StoreUnavailable,
    _driver,
    _http,
    _reachability,
)
from siskinhold.lines._driver import DirectDriver
from siskinhold.lines._feeds import StoreHealth, follow_configuration, follow_servers
from siskinhold.lines._http import HttpServer
from siskinhold.lines._inquiries import answer_inquiry, ask_vms
from siskinhold.lines._supervision import keep_running
from siskinhold_platform._client import HttpPlatformClient, _Reply

from .standins import Store, make_configuration


class FakeClient:
    """Answers the calls of the feeds from lists, then waits forever."""

    def __init__(self, *, servers=()) -> None:
        self.servers = list(servers)
        self.calls = []
        self.watches = []
        self.suspicions = []
        self.failures = 0
        self.orders = []
        self.listed = ()
        self.hangs = 0
        self.reads = 0
        self.most_reads = 0

    async def read_configuration(self, *, fresh):
        """Record the read."""
        self.calls.append(("configuration", fresh))
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("away")
        return Revision(number=1), None

    async def watch_configuration(self, revision, wait):
        """Record the revision and wait forever."""
        self.watches.append(revision.number)
        await asyncio.Event().wait()

    async def list_servers(self, *, fresh):
        """Return the next list."""
        self.calls.append(("servers", fresh))
        if not self.servers:
            await asyncio.Event().wait()
        names = self.servers.pop(0)
        revision = Revision(number=len(self.calls))
        return revision, tuple(make_entry(name) for name in names)

    async def publish_suspicion(self, suspicion):
        """Record the suspicion; the first ones fail or take longer than later ones."""
        await asyncio.sleep(0.05 if suspicion.term else 0.0)
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("away")
        self.suspicions.append(suspicion)

    async def list_suspicions(self):
        """Return the prepared suspicions after a while; the first reads may hang."""
        self.calls.append(("suspicions", 0))
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("away")
        if self.hangs:
            self.hangs -= 1
            await asyncio.Event().wait()
        self.reads += 1
        self.most_reads = max(self.most_reads, self.reads)
        await asyncio.sleep(0.02)
        self.reads -= 1
        return self.listed

    async def list_vms(self, *, fresh):
        """Record the read."""
        self.calls.append(("vms", fresh))
        return (), 0

    async def remove_vm(self, entry):
        """Fail."""
        raise StoreUnavailable("away")

    async def order_promotion(self, service, server, *, vm, token, deadline):
        """Record the order."""
        self.orders.append((service, deadline))
        return PromotionOutcome.UNKNOWN


def make_entry(name: str) -> ServerEntry:
    """Return the entry of a server."""
    return ServerEntry(
        server=name,
        service="db",
        host="127.0.0.1",
        port=1,
        zone="a",
        slots=2,
        draining=False,
        leads=False,
        started=1,
    )


async def run_briefly(coroutine, seconds: float) -> None:
    """Run a coroutine that never returns for some time."""
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(seconds):
            await coroutine


class TestFeeds:
    async def test_first_configuration_is_not_a_stale_one(self):
        """Guards against a removed route that is in use again after a restart."""
        client = FakeClient()
        feed = follow_configuration(client, print, lambda: True, StoreHealth())
        await run_briefly(feed, 0.05)
        assert client.calls == [("configuration", True)]

    async def test_stale_one_is_read_if_the_store_refuses(self):
        """Guards against a start that waits for a store which answers stale reads."""
        client = FakeClient()
        client.failures = 1
        feed = follow_configuration(client, print, lambda: True, StoreHealth())
        await run_briefly(feed, 0.3)
        assert client.calls == [("configuration", True), ("configuration", False)]

    async def test_data_is_fresh_when_it_is_needed_again(self, monkeypatch):
        """Guards against a removed route or server that a VM uses which relayed its
        callers for a while."""
        monkeypatch.setattr("siskinhold.lines._feeds.POLL_INTERVAL", 0.01)
        for follow in (follow_configuration, follow_servers):
            client = FakeClient(servers=(("a",),) * 9)
            needed = [True, False, False, True, True]
            feed = follow(
                client,
                lambda event: None,
                lambda: needed.pop(0) if needed else False,
                StoreHealth(),
            )
            await run_briefly(feed, 0.1)
            reads = [call[1] for call in client.calls if call[0] != "watch"]
            assert reads[:2] == [True, True], follow.__name__

    async def test_missing_server_is_looked_up_in_fresh_data(self, monkeypatch):
        """Guards against replacing a primary whose entry is back in the store."""
        monkeypatch.setattr("siskinhold.lines._feeds.POLL_INTERVAL", 0.01)
        client = FakeClient(
            servers=(("a", "b"), ("a", "b"), ("a",), ("a", "b"), ("a",))
        )
        feed = follow_servers(client, lambda event: None, lambda: True, StoreHealth())
        await run_briefly(feed, 0.2)
        fresh = [call[1] for call in client.calls]
        assert fresh == [True, False, False, True, False, True]

    async def test_list_is_up_to_date_from_time_to_time(self, monkeypatch):
        """Guards against lists that lack a new server for as long as stale reads do."""
        monkeypatch.setattr("siskinhold.lines._feeds.POLL_INTERVAL", 0.02)
        monkeypatch.setattr("siskinhold.lines._feeds.FRESH_LIST_INTERVAL", 0.05)
        client = FakeClient(servers=(("a",),) * 99)
        events = []
        feed = follow_servers(client, events.append, lambda: True, StoreHealth())
        await run_briefly(feed, 0.3)
        fresh = [call[1] for call in client.calls]
        assert fresh.count(True) >= 3 and fresh.count(False) >= 3
        for event, up_to_date in zip(events, fresh, strict=False):
            assert (event.read_at is not None) == up_to_date

    async def test_stale_list_is_read_if_the_store_refuses(self, monkeypatch):
        """Guards against no list at all from an overloaded store."""
        monkeypatch.setattr("siskinhold.lines._feeds.POLL_INTERVAL", 0.02)
        monkeypatch.setattr("siskinhold.lines._feeds.FRESH_LIST_INTERVAL", 0.05)
        client = FakeClient(servers=(("a",),) * 99)
        feed = follow_servers(client, lambda event: None, lambda: True, StoreHealth())
        task = asyncio.ensure_future(feed)
        async with asyncio.timeout(1):
            while client.calls.count(("servers", True)) < 2:
                await asyncio.sleep(0)
        client.failures = 1
        client.calls.clear()
        await asyncio.sleep(0.4)
        task.cancel()
        assert ("servers", False) in client.calls

    async def test_watch_ends_with_the_era(self):
        """Guards against a configuration that is noticed only when the watch ends."""
        client, health = FakeClient(), StoreHealth()
        feed = follow_configuration(client, print, lambda: True, health)
        task = asyncio.ensure_future(feed)
        for watches in (1, 2, 3):
            async with asyncio.timeout(1):
                while len(client.watches) < watches:
                    await asyncio.sleep(0)
            assert client.calls == [("configuration", True)] * watches
            health.begin_era()
            health.begin_era()
        task.cancel()
        assert client.watches == [1] * 3

    async def test_store_without_a_history_is_polled(self, monkeypatch):
        """Guards against fresh reads as fast as the store answers."""
        monkeypatch.setattr("siskinhold.lines._feeds.POLL_INTERVAL", 0.1)
        client = FakeClient()

        async def watch(revision, wait):
            await asyncio.sleep(0)
            raise HistoryGone

        client.watch_configuration = watch
        feed = follow_configuration(client, print, lambda: True, StoreHealth())
        await run_briefly(feed, 0.25)
        assert client.calls == [("configuration", True)] * 4

    async def test_stale_read_after_a_restore_gives_no_revision(self):
        """Guards against a watch from a revision that the store gives out again."""
        client, health = FakeClient(), StoreHealth()
        client.failures = 1
        health.begin_era()
        feed = follow_configuration(client, print, lambda: True, health)
        await run_briefly(feed, 0.3)
        reads = [("configuration", fresh) for fresh in (True, False, True)]
        assert client.calls == reads
        assert client.watches == [1]

    async def test_configuration_older_than_the_one_before_a_restore_is_not_the_last(
        self,
    ):
        """Guards against a feed that ends with what the copy holds."""
        store, client = await start_store()
        health = StoreHealth()
        client.follow_era(lambda era: health.begin_era())
        versions = []

        def record(event):
            if isinstance(event, ConfigurationRead):
                versions.append(event.configuration.version)

        feed = asyncio.ensure_future(
            follow_configuration(client, record, lambda: True, health)
        )
        for version in (1, 2):
            store.put("config", "main", make_configuration(version, {}))
            await asyncio.sleep(0.3)
        store.restore(0.4, delay=0.5)
        await asyncio.sleep(0.4)
        store.restore(0.8, delay=0.5)
        await asyncio.sleep(0.4)
        assert versions[:2] == [1, 2] and versions[-1] == 1
        await asyncio.sleep(0.5)
        assert versions[-1] == 2
        feed.cancel()
        await client.close()
        await store.stop()

    async def test_stale_list_is_not_used_after_a_restore(self, monkeypatch):
        """Guards against a list of before the restore that counts as the newest one."""
        monkeypatch.setattr("siskinhold.lines._feeds.POLL_INTERVAL", 0.01)
        monkeypatch.setattr("siskinhold.lines._feeds.STALE_PERIOD", 0.05)
        client, health = FakeClient(servers=(("a",),) * 99), StoreHealth()
        list_servers, emitted = client.list_servers, []

        async def restore(*, fresh):
            if len(client.calls) == 1:
                health.begin_era()
            return await list_servers(fresh=fresh)

        client.list_servers = restore
        feed = follow_servers(client, emitted.append, lambda: True, health)
        await run_briefly(feed, 0.2)
        reads = [fresh for _, fresh in client.calls]
        assert [event.revision.number for event in emitted[:3]] == [1, 3, 4]
        assert reads[:4] == [True, False, True, True]
        assert reads[-1] is False


class TestErrors:
    async def test_task_is_started_again(self, monkeypatch):
        """Guards against a VM that follows the store no more after one bad answer."""
        monkeypatch.setattr("siskinhold.lines._supervision.RESTART_DELAY", 0.01)
        starts = []

        async def run():
            starts.append(None)
            if len(starts) < 3:
                raise AttributeError("unexpected")

        await keep_running("test", run)
        assert len(starts) == 3


class FakeCallers:
    """Accepts all effects of callers; fails when a caller is accepted."""

    def __getattr__(self, name):
        return self._ignore

    def _ignore(self, *arguments) -> None:
        return None


def make_vm_entry(name, *, port) -> VmEntry:
    """Return the entry of a VM on the loopback interface."""
    return VmEntry(name=name, host="127.0.0.1", relay_port=port, zone="a", size=1000)


def make_driver(client) -> DirectDriver:
    """Return a driver that is connected to fakes."""
    state = DirectState(
        vm="vm-1", zone="a", regions={"a": "east"}, grace=6.0, random=None
    )
    return DirectDriver(
        entry=make_vm_entry("vm-1", port=7441),
        state=state,
        callers=FakeCallers(),
        backends=FakeCallers(),
        client=client,
        probe=None,
        log=FakeCallers(),
        metrics=FakeCallers(),
    )


class TestDriver:
    async def test_timer_goes_on_after_an_error(self, monkeypatch):
        """Guards against a VM without deadlines or failover after one error."""
        calls = []

        def fail(state, event):
            calls.append(event)
            raise ValueError("unexpected")

        monkeypatch.setattr(_driver, "reduce", fail)
        driver = make_driver(FakeClient())
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        with pytest.raises(ValueError):
            driver.start()
        await asyncio.sleep(0.35)
        driver.stop()
        assert len(calls) > 2

    async def test_failed_effect_does_not_stop_the_others(self, monkeypatch):
        """Guards against commands that are recorded as sent but never sent."""
        driver = make_driver(FakeClient())
        performed = []

        def write(effect):
            performed.append(effect)
            if len(performed) == 1:
                raise OSError("unexpected")

        driver._handlers[Log] = write
        lines = [Log(event="a", fields=()), Log(event="b", fields=())]
        monkeypatch.setattr(_driver, "reduce", lambda state, event: lines)
        driver.emit(None)
        assert len(performed) == 2


def make_suspicion(term: int) -> PublishSuspicion:
    """Return the effect that publishes a suspicion of a term, 0 to withdraw it."""
    suspicion = Suspicion(service="db", server="a", term=term, vm="vm-1")
    return PublishSuspicion(suspicion=suspicion)


class TestSuspicions:
    async def test_withdrawal_is_not_overtaken(self):
        """Guards against a vote that stays though the primary is reached again."""
        client = FakeClient()
        driver = make_driver(client)
        driver._publish_suspicion(make_suspicion(1))
        await asyncio.sleep(0)
        driver._publish_suspicion(make_suspicion(0))
        await asyncio.sleep(0.2)
        assert [s.term for s in client.suspicions] == [1, 0]

    async def test_failed_one_is_published_again(self):
        """Guards against a lost primary that too few VMs are known to miss."""
        client = FakeClient()
        client.failures = 1
        driver = make_driver(client)
        driver._publish_suspicion(make_suspicion(1))
        await asyncio.sleep(0.5)
        assert [s.term for s in client.suspicions] == [1]

    async def test_next_one_is_published_after_an_unexpected_error(self, monkeypatch):
        """Guards against a database for which a VM publishes nothing any more."""
        client = FakeClient()
        driver = make_driver(client)
        with monkeypatch.context() as patched:
            patched.setattr(client, "publish_suspicion", int)
            driver._publish_suspicion(make_suspicion(1))
            await asyncio.sleep(0.05)
        driver._publish_suspicion(make_suspicion(2))
        await asyncio.sleep(0.2)
        assert [s.term for s in client.suspicions] == [2]

    async def test_databases_share_a_read(self):
        """Guards against as many reads of all suspicions as an availability zone has
        primaries when it is lost: together they took all of a VM's memory."""
        client = FakeClient()
        for number in range(50):
            suspicion = Suspicion(service=f"db{number}", server="a", term=1, vm="vm-1")
            client.listed += (suspicion,)
        driver = make_driver(client)
        events = []
        driver.emit = events.append
        for number in range(50):
            driver._list_suspicions(ListSuspicions(call=number, service=f"db{number}"))
            if number == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(0.2)
        # The first read may have begun before the others asked.
        assert client.calls == [("suspicions", 0)] * 2
        assert client.most_reads == 1
        assert [event.call for event in events] == list(range(50))
        for event in events:
            found = [suspicion.service for suspicion in event.suspicions]
            assert found == [f"db{event.call}"]

    async def test_failed_read_is_reported_to_each_database(self):
        """Guards against a promotion that waits for an answer for ever."""
        client = FakeClient()
        client.failures = 1
        driver = make_driver(client)
        events = []
        driver.emit = events.append
        driver._write_failure = lambda event, error: None
        for number in range(3):
            driver._list_suspicions(ListSuspicions(call=number, service="db"))
        await asyncio.sleep(0.2)
        assert [event.suspicions for event in events] == [None] * 3

    async def test_stuck_read_is_not_waited_for(self, monkeypatch):
        """Guards against a lost primary that is not replaced while one read hangs."""
        monkeypatch.setattr("siskinhold.lines._driver.STUCK_READ_PERIOD", 0.05)
        client = FakeClient()
        client.hangs = 1
        driver = make_driver(client)
        events = []
        driver.emit = events.append
        driver._list_suspicions(ListSuspicions(call=1, service="db"))
        await asyncio.sleep(0.1)
        driver._list_suspicions(ListSuspicions(call=2, service="db"))
        await asyncio.sleep(0.1)
        assert [event.call for event in events] == [2]
        driver.stop()


class TestOrders:
    async def test_nothing_is_sent_after_the_deadline(self, monkeypatch):
        """Guards against two VMs that both order a promotion.

        The VM was suspended after it had decided; timers do not count that time.
        """
        requests = []

        async def answer(reader, writer):
            requests.append(await reader.read(1))
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(host="127.0.0.1", port=port)
        times = iter((0.0, 5.0))
        monkeypatch.setattr(_http, "read_clock", lambda: next(times))
        with pytest.raises(HttpFailure):
            await client.request("POST", "/promotion", timeout=1.0, send_by=3.0)
        await asyncio.sleep(0.05)
        server.close()
        assert requests in ([], [b""])

    async def test_deadline_of_an_order_reaches_the_client(self):
        """Guards against an order that may be sent at any time."""
        client = FakeClient()
        driver = make_driver(client)
        driver._order_promotion(
            OrderPromotion(call=1, service="db", server="a", token=7, deadline=3.0)
        )
        await asyncio.sleep(0.05)
        assert client.orders == [("db", 3.0)]


class TestVms:
    async def test_probe_tells_a_listening_vm_from_an_unreachable_one(self):
        """Guards against VMs that are removed though their machine answers."""
        driver = make_driver(FakeClient())
        events = []
        driver.emit = events.append
        server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        driver._probe_vm(ProbeVm(vm=make_vm_entry("vm-2", port=port)))
        await asyncio.sleep(0.2)
        server.close()
        # A machine that answers by a refusal is alive as well.
        driver._probe_vm(ProbeVm(vm=make_vm_entry("vm-3", port=port)))
        await asyncio.sleep(0.2)
        assert all(isinstance(event, VmProbed) for event in events)
        assert [event.reached for event in events] == [True, True]

    async def test_fresh_list_is_not_read_from_stale_data(self):
        """Guards against the list of before a restore."""
        client = FakeClient()
        driver = make_driver(client)
        driver.emit = lambda event: None
        driver._list_vms(ListVms(fresh=True))
        driver._list_vms(ListVms())
        await asyncio.sleep(0.01)
        assert client.calls == [("vms", True), ("vms", False)]

    async def test_failed_removal_is_logged(self):
        """Guards against an error that ends the task without a line."""
        client = FakeClient()
        driver = make_driver(client)
        failures = []
        driver._write_failure = lambda event, error: failures.append(event)
        driver._remove_vm(RemoveVm(vm=make_vm_entry("vm-2", port=7441)))
        await asyncio.sleep(0.05)
        assert failures == ["vm_unremoved"]


async def start_store():
    """Start a store and return it with a client."""
    store = Store(instances=[])
    await store.start()
    address = f"127.0.0.1:{store.port}"
    return store, HttpPlatformClient(store=address, promotion=address)


class TestWatch:
    @pytest.mark.parametrize("learnt_before", [False, True])
    async def test_revision_of_an_older_era_is_not_watched(self, learnt_before):
        """Guards against a change that is missed as its revision is given out again."""
        store, client = await start_store()
        store.put("config", "main", make_configuration(1, {}))
        revision, _ = await client.read_configuration(fresh=True)
        store.restore(0.0)
        if learnt_before:
            await client.list_vms(fresh=True)
            store.calls.clear()
        with pytest.raises(HistoryGone):
            await client.watch_configuration(revision, 0.05)
        assert ("GET", "config") not in store.calls or not learnt_before
        revision, _ = await client.read_configuration(fresh=True)
        assert revision.era == 2
        store.put("config", "main", make_configuration(2, {}))
        _, configuration = await client.watch_configuration(revision, 0.05)
        assert configuration.version == 2
        await client.close()
        await store.stop()


class TestListOfVms:
    async def test_removed_vm_is_not_listed(self):
        """Guards against a removal that the store does not carry out."""
        store, client = await start_store()
        entry = make_vm_entry("vm-2", port=7441)
        await client.register_vm(entry, fresh=True)
        await client.remove_vm(entry)
        assert await client.list_vms(fresh=True) == ((), 0)
        await client.remove_vm(entry)
        await store.stop()

    async def test_vm_that_registered_anew_is_kept(self):
        """Guards against the removal of a VM that has come back at a new address."""
        store, client = await start_store()
        old = make_vm_entry("vm-2", port=7441)
        new = make_vm_entry("vm-2", port=7442)
        await client.register_vm(old, fresh=True)
        await client.register_vm(new, fresh=True)
        await client.remove_vm(old)
        assert await client.list_vms(fresh=True) == ((new,), 0)
        await store.stop()

    async def test_vm_that_restarts_writes_nothing(self):
        """Guards against as many writes as VMs when a whole fleet restarts: the store
        would refuse those above its rate, and VMs would register seconds later."""
        store, client = await start_store()
        entry = make_vm_entry("vm-2", port=7441)
        await client.register_vm(entry, fresh=False)
        store.calls.clear()
        await client.register_vm(entry, fresh=False)
        assert [method for method, _ in store.calls] == ["GET"]
        assert await client.list_vms(fresh=True) == ((entry,), 0)
        await store.stop()


class TestLeaderRecords:
    @pytest.mark.parametrize("revision", [True, False, 0, -1, 1.0, "7", None])
    @pytest.mark.parametrize("status", [200, 201, 409])
    async def test_answer_without_a_revision_is_no_claim(self, revision, status):
        """Guards against a fence token that the store did not give."""
        store, client = await start_store()
        body = {"meta": {"name": "db", "revision": revision}, "spec": {}}

        async def reply(*arguments, **options):
            return _Reply(status=status, era=0, era_known=True, body=body)

        client._call = reply
        record = LeaderRecord(
            state=LeaderState.PROMOTING,
            server="a",
            term=1,
            vm="vm-1",
            attempt="x",
            holder="",
        )
        for result in (
            await client.write_leader("db", record, Revision()),
            await client.read_leader("db", 0),
        ):
            assert result.outcome is StoreOutcome.UNKNOWN
        await store.stop()


class TestInquiries:
    async def start_vm(self):
        """Start the server that answers other VMs; return it with its VM's entry."""
        server = HttpServer(host="127.0.0.1", port=0, answer=answer_inquiry)
        await server.start()
        port = server._server.sockets[0].getsockname()[1]
        return server, make_vm_entry("vm-2", port=port + 1)

    async def test_other_vm_tells_whether_it_reaches_a_server(self, monkeypatch):
        """Guards against a promotion against a primary that others reach."""
        monkeypatch.setattr(_reachability, "CONNECT_TIMEOUT", 0.05)
        server, vm = await self.start_vm()
        reached, missed = await ask_vms((vm,), "127.0.0.1", vm.information_port)
        assert (reached, missed) == (("vm-2",), ())
        with socket.socket() as full:
            # With its queue of connections full, a socket drops further attempts.
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            with contextlib.ExitStack() as stack:
                for _ in range(2):
                    client = stack.enter_context(socket.socket())
                    client.setblocking(False)
                    client.connect_ex(full.getsockname())
                await asyncio.sleep(0.05)
                port = full.getsockname()[1]
                reached, missed = await ask_vms((vm,), "127.0.0.1", port)
        assert (reached, missed) == ((), ("vm-2",))
        await server.stop()
        # Lets the server notice the end of its connections.
        await asyncio.sleep(0.05)

    async def test_silent_vm_has_no_say(self):
        """Guards against a VM without an answer that counts against a primary."""
        vm = make_vm_entry("vm-2", port=2)
        assert await ask_vms((vm,), "127.0.0.1", 1) == ((), ())

    async def test_malformed_question_is_an_unknown_path(self):
        """Guards against a request that is answered with an error."""
        paths = ("/reach/a/1", "/reach/127.0.0.1/0", "/reach/127.0.0.1/x", "/reach/1")
        for path in paths:
            assert await answer_inquiry(path) is None
