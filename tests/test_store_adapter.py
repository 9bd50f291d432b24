"""The store adapter against the stand-in, over loopback sockets."""

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
from siskinhold.events import StoreChanged, VmListReported
from siskinhold.store import ListObjects, ReadObject, StoreFailure
from siskinhold_trial.store import Outage, StoreEngine, StoreFaults, StoreServer, VmList


class Probe:
    """A started adapter whose events are collected."""

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
async def probe(server):
    probe = Probe(server.url)
    async with started(probe.store, probe.events.put_nowait):
        yield probe


class TestCalls:
    async def test_conditional_write(self, probe):
        """A second create is a conflict; guards against a lost update."""
        first = await probe.call(write("ticket/1"))
        second = await probe.call(write("ticket/1", b"w"))
        assert first.failure is None and first.objects[0].version == 1
        assert second.failure is StoreFailure.CONFLICT
        assert second.objects[0].value == b"v"

    async def test_absent_object(self, probe):
        """An absent object is typed; guards against taking it as no answer."""
        result = await probe.call(ReadObject(key="term/x"))
        assert result.failure is StoreFailure.NOT_FOUND

    async def test_key_with_special_characters(self, probe):
        """Such a key survives; guards against a path that is normalised."""
        await probe.call(write("term/../a?b#c%20é"))
        result = await probe.call(ReadObject(key="term/../a?b#c%20é"))
        assert result.objects[0].value == b"v"

    async def test_list_of_several_pages(self, probe):
        """A paged list is whole; guards against dropping later pages."""
        for number in range(5):
            await probe.call(write(f"a/{number}", b"123456"))
        await probe.call(write("b/1"))
        result = await probe.call(ListObjects(prefix="a/"))
        assert [stored.key for stored in result.objects] == [
            f"a/{number}" for number in range(5)
        ]
        assert result.revision == 6

    async def test_too_large_value(self, probe):
        """1 MB is stored and more is refused; guards against a lower limit."""
        assert (await probe.call(write("a", b"x" * 1_000_000))).failure is None
        result = await probe.call(write("b", b"x" * 1_000_001))
        assert result.failure is StoreFailure.REJECTED


class TestFaults:
    @pytest.mark.parametrize("down", [Outage.REFUSE, Outage.WITHHOLD])
    async def test_store_down(self, server, probe, down):
        """An outage is a typed failure and ends; guards against a stuck call."""
        await server.set_faults(StoreFaults(down=down))
        result = await probe.call(write("a"), timeout=0.2)
        assert result.failure is StoreFailure.NO_ANSWER
        await server.set_faults(StoreFaults())
        assert (await probe.call(ReadObject(key="a"))).failure is (
            StoreFailure.NOT_FOUND
        )

    async def test_answer_lost_after_effect(self, server, probe):
        """The write is not repeated; guards against a false conflict."""
        await probe.call(ReadObject(key="a"))
        await server.set_faults(StoreFaults(lose_answers=1))
        result = await probe.call(write("a"))
        assert result.failure is StoreFailure.NO_ANSWER
        assert server.counters["write"] == 1
        assert (await probe.call(ReadObject(key="a"))).objects[0].version == 1

    async def test_longest_call(self, server, probe):
        """A call's own timeout is cut to the bound; guards a setting in vain."""
        probe.store = HttpStore(url=server.url, call_timeout=0.1)
        await server.set_faults(StoreFaults(delay=0.5))
        async with started(probe.store, probe.events.put_nowait):
            result = await probe.call(write("a"), timeout=5.0)
        assert result.failure is StoreFailure.NO_ANSWER

    async def test_slow_store(self, server, probe):
        """A call over its timeout fails; guards against waiting for ever."""
        await server.set_faults(StoreFaults(delay=0.3))
        result = await probe.call(write("a"), timeout=0.1)
        assert result.failure is StoreFailure.NO_ANSWER


class TestWatch:
    async def test_changes_before_and_after_the_start(self, server, probe):
        """Both are delivered once, in order; guards against a gap at the start."""
        server.engine.call(write("t/1"))
        server.engine.call(write("t/2"))
        probe.store.watch(WatchStore(prefix="t/", after=1))
        assert await probe.collect_keys(1) == ["t/2"]
        server.engine.call(write("u/1"))
        server.engine.call(write("t/3"))
        assert await probe.collect_keys(1) == ["t/3"]

    @pytest.mark.parametrize("down", [Outage.REFUSE, Outage.WITHHOLD])
    async def test_outage(self, server, probe, down):
        """Changes during an outage arrive; guards against a missed change."""
        probe.store.watch(WatchStore(prefix="t/", after=0))
        server.engine.call(write("t/0", b"123456"))
        await probe.collect_keys(1)
        await server.set_faults(StoreFaults(down=down))
        for number in range(1, 6):
            server.engine.call(write(f"t/{number}", b"123456"))
        await asyncio.sleep(0.3)
        await server.set_faults(StoreFaults())
        keys = await probe.collect_keys(5)
        assert keys == [f"t/{number}" for number in range(1, 6)]

    async def test_repeated_outages(self, server, probe):
        """Writes go on meanwhile; guards against a change between two polls."""
        choose = random.Random(7)
        probe.store.watch(WatchStore(prefix="t/", after=0))
        for number in range(60):
            if number % 10 == 0:
                down = choose.choice(list(Outage))
                await server.set_faults(StoreFaults(down=down))
            server.engine.call(write(f"t/{number}", b"123456"))
            await asyncio.sleep(choose.uniform(0, 0.02))
        await server.set_faults(StoreFaults())
        assert await probe.collect_keys(60) == [f"t/{n}" for n in range(60)]

    async def test_replaced_and_ended(self, server, probe):
        """A replaced watch is silent; guards against two watches at once."""
        probe.store.watch(WatchStore(prefix="t/", after=0))
        probe.store.watch(WatchStore(prefix="u/", after=0))
        server.engine.call(write("t/1"))
        server.engine.call(write("u/1"))
        assert await probe.collect_keys(1) == ["u/1"]
        probe.store.unwatch()
        await asyncio.sleep(0)
        server.engine.call(write("u/2"))
        await asyncio.sleep(0.1)
        assert probe.events.empty()


class TestVmList:
    async def test_registered_vm(self, probe):
        """A registered VM is reported; guards against a list never filled."""
        vm = make_address("a")
        assert await probe.store.register_vm(vm) is None
        probe.store.read_vm_list()
        event = await probe.next()
        assert isinstance(event, VmListReported)
        assert event.live == (vm,) and event.leaving == ()


def make_tls_contexts(folder) -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Return contexts of a server and a client that trusts only it."""
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
        """An unknown certificate is refused; guards against not verifying it."""
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


class TestMalformedAnswers:
    @pytest.mark.parametrize("status, body", MALFORMED)
    async def test_typed_failure(self, status, body):
        """Whatever is answered is typed; guards against an escaping exception."""

        async def answer(request):
            return web.Response(status=status, body=body, headers={"Location": "/"})

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", answer)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        probe = Probe(f"http://127.0.0.1:{runner.addresses[0][1]}")
        async with started(probe.store, probe.events.put_nowait):
            for operation in (ReadObject(key="a"), write("a")):
                result = await probe.call(operation)
                assert result.failure is StoreFailure.NO_ANSWER
            assert await probe.store.register_vm(make_address("a"))
        await runner.cleanup()
