"""The store adapter against the trial store, over loopback sockets."""

import asyncio
import datetime
import ipaddress
import random
import ssl

import pytest
import pytest_asyncio
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from store_samples import make_address, started, write

from siskinhold.adapters import HttpStore, StoreClient
from siskinhold.effects import CallStore, WatchStore
from siskinhold.events import StoreChanged, StoreRestored, VmListReported
from siskinhold.store import ListObjects, ReadObject, StoreFailure
from siskinhold_trial.store import Outage, StoreEngine, StoreFaults, StoreServer, VmList


class StoreHarness:
    """An adapter with a queue of the events that it emits."""

    def __init__(self, url: str) -> None:
        self.store = HttpStore(url=url, random_source=random.Random(1), watch_wait=0.3)
        self.events: asyncio.Queue = asyncio.Queue()

    async def next(self):
        return await asyncio.wait_for(self.events.get(), 5)

    async def call(self, operation, timeout: float = 2.0):
        self.store.call(CallStore(call=1, operation=operation, timeout=timeout))
        return (await self.next()).result

    async def collect_keys(self, count: int) -> list[str]:
        keys: list[str] = []
        while len(keys) < count:
            event = await self.next()
            assert isinstance(event, StoreChanged)
            keys.extend(stored.key for stored in event.objects)
        return keys


@pytest_asyncio.fixture
async def server():
    server = StoreServer(engine=StoreEngine(page_bytes=10), vms=VmList())
    async with started(server):
        yield server


@pytest_asyncio.fixture
async def harness(server):
    harness = StoreHarness(server.url)
    async with started(harness.store, harness.events.put_nowait):
        yield harness


class TestCalls:
    async def test_conditional_write(self, harness):
        """A second create is a conflict; guards against a lost update."""
        first = await harness.call(write("ticket/1"))
        second = await harness.call(write("ticket/1", b"w"))
        assert first.failure is None and first.objects[0].version == 1
        assert second.failure is StoreFailure.CONFLICT
        assert second.objects[0].value == b"v"

    async def test_absent_object(self, harness):
        """An absent object is `NOT_FOUND`; guards against reporting no answer."""
        result = await harness.call(ReadObject(key="term/x"))
        assert result.failure is StoreFailure.NOT_FOUND

    async def test_key_with_special_characters(self, harness):
        """A key with special characters is kept; guards against path normalisation."""
        await harness.call(write("term/../a?b#c%20é"))
        result = await harness.call(ReadObject(key="term/../a?b#c%20é"))
        assert result.objects[0].value == b"v"

    async def test_list_of_several_pages(self, harness):
        """A list of several pages is complete; guards against dropping later pages."""
        for number in range(5):
            await harness.call(write(f"a/{number}", b"123456"))
        await harness.call(write("b/1"))
        result = await harness.call(ListObjects(prefix="a/"))
        assert [stored.key for stored in result.objects] == [
            f"a/{number}" for number in range(5)
        ]
        assert result.revision == 6

    @pytest.mark.parametrize("raise_era", [False, True])
    async def test_restore_between_two_pages(self, server, harness, raise_era):
        """Guards against a list whose pages come from different copies of the store."""
        copy = server.engine.save_copy()
        for number in range(3):
            await harness.call(write(f"a/{number}", b"123456"))
        read_page = server.engine.list_page

        def read_and_restore(*arguments, **options):
            page = read_page(*arguments, **options)
            server.engine.restore(copy, raise_era=raise_era)
            return page

        server.engine.list_page = read_and_restore
        result = await harness.call(ListObjects(prefix="a/"))
        assert result.failure is StoreFailure.NO_ANSWER

    async def test_too_large_value(self, harness):
        """1 MB is stored and a larger value rejected; guards against a lower limit."""
        assert (await harness.call(write("a", b"x" * 1_000_000))).failure is None
        result = await harness.call(write("b", b"x" * 1_000_001))
        assert result.failure is StoreFailure.REJECTED


class TestFaults:
    @pytest.mark.parametrize("down", [Outage.REFUSE, Outage.WITHHOLD])
    async def test_store_down(self, server, harness, down):
        """An outage gives `NO_ANSWER` until it ends; guards against a stuck call."""
        await server.set_faults(StoreFaults(down=down))
        result = await harness.call(write("a"), timeout=0.2)
        assert result.failure is StoreFailure.NO_ANSWER
        await server.set_faults(StoreFaults())
        assert (await harness.call(ReadObject(key="a"))).failure is (
            StoreFailure.NOT_FOUND
        )

    async def test_answer_lost_after_effect(self, server, harness):
        """A write is not repeated after a lost answer; guards a false conflict."""
        await harness.call(ReadObject(key="a"))
        await server.set_faults(StoreFaults(lose_answers=1))
        result = await harness.call(write("a"))
        assert result.failure is StoreFailure.NO_ANSWER
        assert server.counters["write"] == 1
        assert (await harness.call(ReadObject(key="a"))).objects[0].version == 1

    async def test_longest_call(self, server, harness):
        """A call's timeout is limited; guards against a setting without effect."""
        harness.store = HttpStore(url=server.url, call_timeout=0.1)
        await server.set_faults(StoreFaults(delay=0.5))
        async with started(harness.store, harness.events.put_nowait):
            result = await harness.call(write("a"), timeout=5.0)
        assert result.failure is StoreFailure.NO_ANSWER

    async def test_slow_store(self, server, harness):
        """A call that exceeds its timeout fails; guards against waiting forever."""
        await server.set_faults(StoreFaults(delay=0.3))
        result = await harness.call(write("a"), timeout=0.1)
        assert result.failure is StoreFailure.NO_ANSWER


class TestWatch:
    async def test_changes_before_and_after_the_start(self, server, harness):
        """Earlier and later changes arrive once, in order; guards against a gap."""
        server.engine.call(write("t/1"))
        server.engine.call(write("t/2"))
        harness.store.watch(WatchStore(prefix="t/", after=1))
        assert await harness.collect_keys(1) == ["t/2"]
        server.engine.call(write("u/1"))
        server.engine.call(write("t/3"))
        assert await harness.collect_keys(1) == ["t/3"]

    @pytest.mark.parametrize("down", [Outage.REFUSE, Outage.WITHHOLD])
    async def test_outage(self, server, harness, down):
        """Changes made during an outage arrive; guards against missed changes."""
        harness.store.watch(WatchStore(prefix="t/", after=0))
        server.engine.call(write("t/0", b"123456"))
        await harness.collect_keys(1)
        await server.set_faults(StoreFaults(down=down))
        for number in range(1, 6):
            server.engine.call(write(f"t/{number}", b"123456"))
        await asyncio.sleep(0.3)
        await server.set_faults(StoreFaults())
        keys = await harness.collect_keys(5)
        assert keys == [f"t/{number}" for number in range(1, 6)]

    async def test_repeated_outages(self, server, harness):
        """Writes during outages all arrive; guards against a loss between two polls."""
        choose = random.Random(7)
        harness.store.watch(WatchStore(prefix="t/", after=0))
        for number in range(60):
            if number % 10 == 0:
                down = choose.choice(list(Outage))
                await server.set_faults(StoreFaults(down=down))
            server.engine.call(write(f"t/{number}", b"123456"))
            await asyncio.sleep(choose.uniform(0, 0.02))
        await server.set_faults(StoreFaults())
        assert await harness.collect_keys(60) == [f"t/{n}" for n in range(60)]

    @pytest.mark.parametrize("raise_era", [False, True])
    async def test_restored_store(self, server, harness, raise_era):
        """Guards against a watch that goes on from a revision which the restored store
        has not given out yet, or has given out for another change."""
        copy = server.engine.save_copy()
        harness.store.watch(WatchStore(prefix="t/", after=0))
        for number in range(3):
            server.engine.call(write(f"t/{number}"))
        await harness.collect_keys(3)
        server.engine.restore(copy, raise_era=raise_era)
        for number in range(5 if raise_era else 2):
            server.engine.call(write(f"t/{number}"))
        event = await harness.next()
        assert isinstance(event, StoreRestored)
        assert event.era == raise_era

    async def test_replaced_watch_emits_nothing(self, server, harness):
        """A replaced or ended watch emits nothing; guards against two watches."""
        harness.store.watch(WatchStore(prefix="t/", after=0))
        harness.store.watch(WatchStore(prefix="u/", after=0))
        server.engine.call(write("t/1"))
        server.engine.call(write("u/1"))
        assert await harness.collect_keys(1) == ["u/1"]
        harness.store.unwatch()
        await asyncio.sleep(0)
        server.engine.call(write("u/2"))
        await asyncio.sleep(0.1)
        assert harness.events.empty()


class TestVmList:
    async def test_registered_vm(self, harness):
        """A registered VM is in the list; guards against a list that stays empty."""
        vm = make_address("a")
        assert await harness.store.register_vm(vm) is None
        harness.store.read_vm_list()
        event = await harness.next()
        assert isinstance(event, VmListReported)
        assert event.live == (vm,) and event.leaving == ()


def make_tls_contexts(folder) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return TLS contexts of a server and of a client that trusts only it."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "store")])
    now = datetime.datetime.now(datetime.timezone.utc)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    path = folder / "store.pem"
    path.write_bytes(
        key.private_bytes(
            pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
        + certificate.public_bytes(pem)
    )
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(path)
    return server, ssl.create_default_context(cafile=str(path))


class TestTls:
    async def test_trusted_and_untrusted(self, tmp_path):
        """An untrusted certificate is rejected; guards against missing verification."""
        server_tls, client_tls = make_tls_contexts(tmp_path)
        server = StoreServer(engine=StoreEngine(), vms=VmList(), tls=server_tls)
        failures = []
        async with started(server):
            for tls in (client_tls, None):
                async with started(StoreClient(url=server.url, tls=tls)) as client:
                    result = await client.call(ListObjects(prefix=""), timeout=2.0)
                failures.append(result.failure)
        assert failures == [None, StoreFailure.NO_ANSWER]


MALFORMED = [
    (200, b""),
    (200, b"{"),
    (200, b"[" * 100_000),
    (200, b'{"objects": []}'),
    (200, b'{"objects": [{"key": "b", "value": "", "version": 1, "revision": 1}]}'),
    (200, b'{"failure": "conflict"}'),
    (404, b"not found"),
    (302, b"{}"),
    (500, b"{}"),
    (200, b" " * 8_000_001),
]


class TestEra:
    @pytest.mark.parametrize("era", ["x", "-1", "1.0", "\u0661", "9" * 20, "9" * 5_000])
    async def test_malformed_header(self, era):
        """Guards against an era that no later one exceeds, or an exception."""

        async def answer(request):
            body = b'{"failure": "not_found"}'
            return web.Response(status=404, body=body, headers={"Revision-Era": era})

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", answer)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        harness = StoreHarness(f"http://127.0.0.1:{runner.addresses[0][1]}")
        async with started(harness.store, harness.events.put_nowait):
            result = await harness.call(ReadObject(key="a"))
        await runner.cleanup()
        assert result.failure is StoreFailure.NO_ANSWER


class TestMalformedAnswers:
    @pytest.mark.parametrize("status, body", MALFORMED)
    async def test_typed_failure(self, status, body):
        """Any malformed answer gives `NO_ANSWER`; guards against an exception."""

        async def answer(request):
            return web.Response(status=status, body=body, headers={"Location": "/"})

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", answer)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        harness = StoreHarness(f"http://127.0.0.1:{runner.addresses[0][1]}")
        async with started(harness.store, harness.events.put_nowait):
            for operation in (ReadObject(key="a"), write("a")):
                result = await harness.call(operation)
                assert result.failure is StoreFailure.NO_ANSWER
            assert await harness.store.register_vm(make_address("a"))
        await runner.cleanup()
