"""The MySQL adapter for backend servers over TLS."""

import asyncio
import datetime
import ipaddress
import socket
import ssl
from types import SimpleNamespace

from backends_harness import Harness
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, PrivateFormat
from mysql_mimic import MysqlServer, packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities, ServerStatus

from siskinhold import effects
from siskinhold.model import ControlFailure, Done


class TestTls:
    async def test_statement_over_tls(self, tmp_path):
        """Guards against sending credentials unencrypted."""
        server_context, client_context = make_contexts(tmp_path)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            serving = asyncio.to_thread(serve_one_statement, listener, server_context)
            served = asyncio.create_task(serving)
            harness = await start_tls_harness(listener, client_context)
            connection = await harness.open()
            event = await harness.run(connection, "SELECT 1")
            assert event.outcome == Done()
            assert await served == b"\x03SELECT 1"
        await harness.adapter.stop()

    async def test_server_without_tls_is_refused(self, tmp_path):
        """Guards against a silent fallback to a connection without TLS."""
        _, client_context = make_contexts(tmp_path)
        server = MysqlServer()
        await server.start_server(host="127.0.0.1", port=0)
        harness = await start_tls_harness(server.sockets()[0], client_context)
        effect = effects.OpenBackend(
            connection=1, server=harness.server(), database="trial"
        )
        assert (
            await harness.perform_and_wait(effect)
        ).failure is ControlFailure.REJECTED
        await harness.adapter.stop()
        server.close()


async def start_tls_harness(listener, context):
    port = listener.getsockname()[1]
    address = SimpleNamespace(name="s", host="127.0.0.1", port=port)
    harness = Harness(SimpleNamespace(instances=[address]), ssl_context=context)
    await harness.adapter.start(harness.emitted.put_nowait)
    return harness


def serve_one_statement(listener, context):
    """Answer one statement.

    Uses blocking reads, since asyncio may read the ClientHello too early.
    """
    client, _ = listener.accept()
    greeting = packets.make_handshake_v10(
        capabilities=DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_SSL,
        server_charset=CharacterSet.utf8mb4,
        server_version="8.0.29",
        connection_id=1,
        auth_data=b"x" * 20 + b"\0",
        status_flags=ServerStatus.SERVER_STATUS_AUTOCOMMIT,
        auth_plugin_name="mysql_native_password",
    )
    ok = packets.make_ok(
        capabilities=Capabilities.CLIENT_PROTOCOL_41,
        status_flags=ServerStatus.SERVER_STATUS_AUTOCOMMIT,
    )
    client.sendall(make_packet(greeting, 0))
    read_packet(client)
    with context.wrap_socket(client, server_side=True) as secured:
        read_packet(secured)
        secured.sendall(make_packet(ok, 3))
        statement = read_packet(secured)
        secured.sendall(make_packet(ok, 1))
    return statement


def make_packet(payload, sequence):
    return len(payload).to_bytes(3, "little") + bytes([sequence]) + payload


def read_packet(client):
    stream = client.makefile("rb", buffering=0)
    size = int.from_bytes(stream.read(4)[:3], "little")
    return stream.read(size)


def make_contexts(directory):
    """Return TLS contexts of a server and of a client that trusts it."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "trial")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    path = directory / "certificate.pem"
    path.write_bytes(
        certificate.public_bytes(Encoding.PEM)
        + key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(path)
    return server, ssl.create_default_context(cafile=path)
