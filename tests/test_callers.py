"""The adapter for callers, over real sockets with stock clients."""

import asyncio
import datetime
import hashlib
import ipaddress
import logging
import random
import ssl

import aiomysql
import pymysql
import pytest
import uvloop
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from siskinhold.adapters import CallerLimits, MysqlCallers
from siskinhold.effects import CloseCaller, ReplyCaller
from siskinhold.events import (
    CallerClosed,
    CallerOpened,
    DatabaseSelected,
    StatementReceived,
    TokenPresented,
)
from siskinhold.model import (
    Column,
    Done,
    Failed,
    Marks,
    NotRun,
    NotRunReason,
    Position,
    RequestId,
    StatementKind,
    Unknown,
    UnknownReason,
)
from siskinhold.tokens import TokenCodec

PASSWORD = "alder"
PASSWORD_HASH = hashlib.sha1(hashlib.sha1(PASSWORD.encode()).digest()).hexdigest()
TOKENS = TokenCodec(keys=(b"k" * 16,))


class EntryVm:
    """Replaces the runtime: collects events and sends prepared replies.

    A statement with the reply None gets no answer.
    """

    def __init__(self, **settings):
        self.events = []
        self.replies = {}
        self.positions = {}
        self.changed = asyncio.Event()
        self.connections = []
        self.callers = MysqlCallers(
            host="127.0.0.1",
            port=0,
            users={"mill": PASSWORD_HASH},
            tokens=TOKENS,
            **settings,
        )

    async def __aenter__(self):
        await self.callers.start(self.emit)
        return self

    async def __aexit__(self, *_):
        for connection in self.connections:
            connection.close()
        await self.callers.stop()

    def emit(self, event):
        self.events.append(event)
        self.changed.set()
        if isinstance(event, StatementReceived):
            outcome = self.replies.get(event.sql, Done())
            if outcome is not None:
                self.reply(event.session, outcome)

    def reply(self, session, outcome):
        request = RequestId("vm", 1, len(self.events))
        self.callers.reply(
            ReplyCaller(
                session=session,
                request=request,
                outcome=outcome,
                positions=self.positions,
            )
        )

    def find_events(self, kind):
        return [event for event in self.events if isinstance(event, kind)]

    def received_sql(self):
        return [event.sql for event in self.find_events(StatementReceived)]

    async def wait_for(self, kind):
        async with asyncio.timeout(2):
            while not self.find_events(kind):
                self.changed.clear()
                await self.changed.wait()
        return self.find_events(kind)[-1]

    async def connect(self, **settings):
        defaults = dict(
            host="127.0.0.1",
            port=self.callers.port,
            user="mill",
            password=PASSWORD,
            autocommit=True,
        )
        connection = await aiomysql.connect(**(defaults | settings))
        self.connections.append(connection)
        return connection

    async def open_socket(self):
        return await asyncio.open_connection("127.0.0.1", self.callers.port)


async def run(connection, sql):
    """Run a statement; return its cursor and rows."""
    cursor = await connection.cursor()
    await cursor.execute(sql)
    return cursor, await cursor.fetchall()


async def run_failing(connection, sql):
    """Run a statement that must fail; return the error code and message."""
    with pytest.raises(pymysql.err.MySQLError) as caught:
        await run(connection, sql)
    return caught.value.args


def make_contexts(directory):
    """Return TLS contexts of a server and of a client that trusts it."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "127.0.0.1")])
    start = datetime.datetime(2000, 1, 1)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=365_000))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = directory / "vm.pem"
    encoding = serialization.Encoding.PEM
    private = key.private_bytes(
        encoding,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    pem.write_bytes(private + certificate.public_bytes(encoding))
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(pem)
    return server, ssl.create_default_context(cafile=str(pem))


class TestAnswers:
    async def test_rows_pass_through(self):
        """Rows and types arrive unchanged; guards against re-encoded values."""
        columns = (Column("a", 8, 63), Column("b", 253), Column("c", 252, 63))
        rows = ((b"7", "é".encode(), b"\x00\xff"), (None, b"", None))
        async with EntryVm() as entry:
            entry.replies["SELECT a"] = Done(columns=columns, rows=rows)
            connection = await entry.connect(db="orders")
            cursor, found = await run(connection, "SELECT a")
            assert found == ((7, "é", b"\x00\xff"), (None, "", None))
            assert [item[:2] for item in cursor.description] == [
                ("a", 8),
                ("b", 253),
                ("c", 252),
            ]
            connection.close()
            await entry.wait_for(CallerClosed)
        opened = entry.find_events(CallerOpened)[0]
        assert (opened.user, opened.database) == ("mill", "orders")

    async def test_rows_over_one_packet(self):
        """A 17 MB value and many rows arrive complete.

        Guards against errors in splitting rows into packets.
        """
        large = b"x" * (17 * 1024 * 1024)
        rows = ((large,), (b"end",))
        many = tuple((str(number).encode(),) for number in range(2_500))
        async with EntryVm() as entry:
            entry.replies["SELECT l"] = Done(columns=(Column("l"),), rows=rows)
            entry.replies["SELECT m"] = Done(columns=(Column("m", 8),), rows=many)
            connection = await entry.connect()
            _, found = await run(connection, "SELECT l")
            assert [len(row[0]) for row in found] == [len(large), 3]
            _, found = await run(connection, "SELECT m")
            assert found == tuple((number,) for number in range(2_500))

    async def test_counts_reach_the_client(self):
        """The OK packet has the counts; the library would send zeros."""
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = Done(affected_rows=3, insert_id=41, warnings=2)
            connection = await entry.connect()
            cursor, _ = await run(connection, "INSERT a")
            assert (cursor.rowcount, cursor.lastrowid) == (3, 41)
            assert cursor._result.warning_count == 2
            _, rows = await run(connection, "SELECT LAST_INSERT_ID()")
            assert rows == ((41,),)

    async def test_repeated_write_warns(self):
        """A repeated keyed write warns; guards against an unnoticed repeat."""
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = Done(repeated=True)
            connection = await entry.connect()
            await run(connection, "INSERT a")
            _, rows = await run(connection, "SHOW WARNINGS")
            assert rows[0][1] == "5000"

    @pytest.mark.parametrize(
        "outcome, code, message",
        [
            (Failed(code=1062, sqlstate="23000", message="Duplicate"), 1062, "Dup"),
            (NotRun(reason=NotRunReason.DEADLINE), 5001, "not_run reason=deadline"),
            (
                Unknown(reason=UnknownReason.OWNER_LOST, detail="vm=a"),
                5002,
                "unknown reason=owner_lost vm=a",
            ),
        ],
    )
    async def test_outcomes_as_errors(self, outcome, code, message):
        """Each outcome has its code and text; guards the documented table."""
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = outcome
            connection = await entry.connect()
            found = await run_failing(connection, "INSERT a")
            assert found[0] == code and found[1].startswith(message)

    async def test_refusals(self):
        """A refused statement gets its error code and is not forwarded."""
        async with EntryVm() as entry:
            connection = await entry.connect()
            for sql, code, start in [
                ("INSERT a /* siskinhold: onec=1 */", 5005, "not_run reason=mark_"),
                ("LOCK TABLES a READ", 5004, "not_run reason=unsupported"),
                ("SET @siskinhold_token='x'", 5003, "not_run reason=token_invalid"),
                ("SELECT @@nothing", 1193, "Unknown"),
                ("-- nothing", 1065, "the statement is empty"),
            ]:
                found = await run_failing(connection, sql)
                assert found[0] == code and found[1].startswith(start)
            assert entry.received_sql() == []


class TestSessions:
    async def test_token_round_trip(self):
        """A token read in one session is accepted by the next."""
        async with EntryVm() as entry:
            entry.positions = {"orders": Position(2, 17)}
            first = await entry.connect()
            await run(first, "INSERT a")
            _, rows = await run(first, "SELECT @siskinhold_token")
            second = await entry.connect()
            await run(second, f"SET @siskinhold_token = '{rows[0][0]}'")
            presented = entry.find_events(TokenPresented)[0]
            assert presented.positions == {"orders": Position(2, 17)}
            assert presented.session != entry.find_events(CallerOpened)[0].session

    async def test_database_selected(self):
        """USE and COM_INIT_DB both report the database."""
        async with EntryVm() as entry:
            connection = await entry.connect()
            await run(connection, "USE `quotes`")
            await connection.select_db("orders")
            names = [event.database for event in entry.find_events(DatabaseSelected)]
            assert names == ["quotes", "orders"]
            _, rows = await run(connection, "SELECT DATABASE()")
            assert rows == (("orders",),)

    async def test_autocommit_off_begins(self):
        """With autocommit off, a statement begins a transaction.

        Guards against lost transactions of clients that switch it off by default.
        """
        async with EntryVm() as entry:
            connection = await entry.connect(autocommit=False)
            await connection.commit()
            await run(connection, "INSERT a")
            assert connection.get_transaction_status()
            await run(connection, "SELECT 1")
            await connection.commit()
            assert not connection.get_transaction_status()
            assert entry.received_sql() == ["BEGIN", "INSERT a", "SELECT 1", "COMMIT"]

    async def test_reads_before_the_first_write(self):
        """With autocommit off, only a write or a locking read begins a transaction.

        Guards against reads that occupy a connection to the primary.
        """
        async with EntryVm() as entry:
            connection = await entry.connect(autocommit=False)
            await run(connection, "SELECT 1")
            assert not connection.get_transaction_status()
            await run(connection, "SELECT 1 FOR UPDATE")
            await run(connection, "SELECT 2")
            assert entry.received_sql()[:2] == ["SELECT 1", "BEGIN"]
            assert entry.received_sql()[2:] == ["SELECT 1 FOR UPDATE", "SELECT 2"]

    async def test_autocommit_on_commits(self):
        """Switching autocommit on commits, and fails if the transaction is lost.

        Guards against a transaction that stays open or wrongly counts as committed.
        """
        async with EntryVm() as entry:
            connection = await entry.connect(autocommit=False)
            await run(connection, "INSERT a")
            await connection.autocommit(True)
            assert entry.received_sql() == ["BEGIN", "INSERT a", "COMMIT"]
            await connection.begin()
            await run(connection, "SET autocommit = 1")
            assert connection.get_transaction_status()
            await connection.rollback()
            await connection.autocommit(False)
            lost = NotRun(reason=NotRunReason.TRANSACTION_LOST)
            entry.replies["INSERT b"] = lost
            await run_failing(connection, "INSERT b")
            found = await run_failing(connection, "SET autocommit = 1")
            assert found[1].startswith("not_run reason=transaction_lost")

    async def test_lost_transaction(self):
        """After a loss, statements are refused until the caller ends the transaction.

        Guards against running the rest of a transaction outside of one.
        """
        async with EntryVm() as entry:
            lost = NotRun(reason=NotRunReason.TRANSACTION_LOST)
            entry.replies["INSERT a"] = lost
            connection = await entry.connect()
            await connection.begin()
            for sql in ["INSERT a", "INSERT b", "COMMIT"]:
                found = await run_failing(connection, sql)
                assert found[1].startswith("not_run reason=transaction_lost")
            await connection.begin()
            await run(connection, "INSERT b")
            await connection.rollback()
            kinds = [event.kind for event in entry.find_events(StatementReceived)]
            assert kinds == [
                StatementKind.BEGIN,
                StatementKind.WRITE,
                StatementKind.BEGIN,
                StatementKind.WRITE,
                StatementKind.ROLLBACK,
            ]

    async def test_begin_commits_the_open_transaction(self):
        """BEGIN and DDL commit an open transaction first, as in MySQL.

        Guards against a transaction that stays pinned to its connection.
        """
        async with EntryVm() as entry:
            connection = await entry.connect()
            await connection.begin()
            await connection.begin()
            await run(connection, "CREATE TABLE a (b int)")
            assert entry.received_sql() == [
                "BEGIN",
                "COMMIT",
                "BEGIN",
                "COMMIT",
                "CREATE TABLE a (b int)",
            ]

    async def test_reset_connection(self):
        """A reset rolls back.

        Guards against an open transaction passed to the next user of a client's pool.
        """
        async with EntryVm() as entry:
            connection = await entry.connect(autocommit=False)
            await run(connection, "INSERT a")
            await connection._execute_command(0x1F, "")
            await connection._read_ok_packet()
            assert entry.received_sql() == ["BEGIN", "INSERT a", "ROLLBACK"]
            await run(connection, "INSERT b")
            assert entry.received_sql()[3:] == ["INSERT b"]

    async def test_other_character_set(self):
        """A latin1 caller gets an error that names utf8mb4.

        Guards against wrongly decoded text.
        """
        async with EntryVm() as entry:
            connection = await entry.connect(charset="latin1")
            found = await run_failing(connection, "SELECT 1")
            assert found[0] == 5004 and "utf8mb4" in found[1]
            await run(connection, "SET NAMES utf8mb4")
            await run(connection, "SELECT 1")

    async def test_query_attributes(self):
        """Execution hints in query attributes are part of the event.

        The client does not support query attributes, so the packet is built here.
        """
        async with EntryVm() as entry:
            connection = await entry.connect(client_flag=1 << 27)
            connection.client_flag |= 1 << 27
            name = b"once"
            attributes = b"\1\1\0\1" + b"\xfd\0" + b"\4" + name + b"\3K-7"
            await connection._execute_command(3, attributes + b"INSERT a")
            await connection._read_ok_packet()
            assert entry.find_events(StatementReceived)[0].marks == Marks(
                once=True, key="K-7"
            )

    async def test_disconnect_while_waiting(self):
        """A caller that disconnects during its statement is reported at once."""
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = None
            connection = await entry.connect()
            task = asyncio.create_task(run(connection, "INSERT a"))
            received = await entry.wait_for(StatementReceived)
            connection.close()
            closed = await entry.wait_for(CallerClosed)
            assert closed.session == received.session
            assert closed.at - received.at < 0.5
            entry.reply(received.session, Done())
            with pytest.raises((pymysql.err.MySQLError, asyncio.CancelledError)):
                await task
        assert len(entry.find_events(CallerClosed)) == 1

    async def test_close_after_reply(self):
        """A reply arrives although a close follows.

        Guards against the loss of the last answer before a shutdown.
        """
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = None
            connection = await entry.connect()
            task = asyncio.create_task(run(connection, "INSERT a"))
            received = await entry.wait_for(StatementReceived)
            entry.reply(received.session, Done(affected_rows=5))
            entry.callers.close(CloseCaller(session=received.session, reason="test"))
            cursor, _ = await task
            assert cursor.rowcount == 5
            await entry.wait_for(CallerClosed)

    async def test_close_while_idle(self):
        """After a close, the next statement of the caller is answered as not run.

        Guards against an unknown outcome of a statement sent while the VM closes.
        """
        async with EntryVm() as entry:
            connection = await entry.connect()
            await entry.connect()
            for opened in entry.find_events(CallerOpened):
                close = CloseCaller(session=opened.session, reason="test")
                entry.callers.close(close)
                entry.callers.close(close)
            found = await run_failing(connection, "INSERT a")
            assert found[0] == 1053 and found[1].startswith("not_run reason=shutdown")
            async with asyncio.timeout(2):
                while len(entry.find_events(CallerClosed)) < 2:
                    await asyncio.sleep(0.01)
            assert entry.received_sql() == []

    async def test_close_after_reply_with_more(self):
        """A caller closed after a reply gets an answer to its next statement."""
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = None
            connection = await entry.connect()
            task = asyncio.create_task(run(connection, "INSERT a"))
            received = await entry.wait_for(StatementReceived)
            entry.reply(received.session, Done())
            entry.callers.close(CloseCaller(session=received.session, reason="test"))
            await task
            assert (await run_failing(connection, "INSERT b"))[0] == 1053
            assert entry.received_sql() == ["INSERT a"]


class TestAuthentication:
    @pytest.mark.parametrize(
        "user, password", [("mill", "wrong"), ("mill", ""), ("nobody", ""), ("", "")]
    )
    async def test_wrong_credentials(self, user, password):
        """Wrong and empty passwords and unknown names get the same error."""
        async with EntryVm() as entry:
            with pytest.raises(pymysql.err.OperationalError) as caught:
                await entry.connect(user=user, password=password)
            assert caught.value.args[0] == 1045
        assert entry.events == []

    async def test_refused_caller_runs_nothing(self, caplog):
        """A statement after a failed authentication ends the connection unexecuted.

        mysql-mimic continues with the command phase after a failed authentication.
        """
        async with EntryVm() as entry:
            reader, writer = await entry.open_socket()
            await reader.read(1_024)
            capabilities = 0x00088205  # protocol 4.1, secure, plugin, no database
            response = capabilities.to_bytes(4, "little") + b"\0\0\0\1\x2d" + bytes(23)
            response += b"mi\nll\0" + b"\x14" + b"z" * 20 + b"mysql_native_password\0"
            query = b"\x03DELETE FROM orders"
            writer.write(len(response).to_bytes(3, "little") + b"\1" + response)
            writer.write(len(query).to_bytes(3, "little") + b"\0" + query)
            async with asyncio.timeout(2):
                answer = await reader.read()
            assert answer[4] == 0xFF and answer[5:7] == (1045).to_bytes(2, "little")
            assert "user='mi\\nll'" in caplog.text
            assert len(answer) == 4 + int.from_bytes(answer[:3], "little")
            writer.close()
        assert entry.events == []

    async def test_other_plugin_switches(self):
        """A client that prefers another method is switched to native passwords."""
        async with EntryVm() as entry:
            connection = await entry.connect(auth_plugin="caching_sha2_password")
            await connection.ping(reconnect=False)

    async def test_tls(self, tmp_path):
        """A caller can use TLS, and its disconnecting is detected as well."""
        server, client = make_contexts(tmp_path)
        async with EntryVm(ssl=server) as entry:
            entry.replies["INSERT a"] = None
            connection = await entry.connect(ssl=client)
            await run(connection, "INSERT b")
            assert connection._writer.get_extra_info("cipher")
            task = asyncio.create_task(run(connection, "INSERT a"))
            await entry.wait_for(StatementReceived)
            await asyncio.sleep(0)
            connection.close()
            await entry.wait_for(CallerClosed)
            with pytest.raises((pymysql.err.MySQLError, asyncio.CancelledError)):
                await task


class TestTlsRequest:
    async def send_client_hello(self, entry, client, cut):
        """Send an SSL request and a ClientHello, cut in two parts; check the answer."""
        incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        client_tls = client.wrap_bio(incoming, outgoing, server_hostname="127.0.0.1")
        with pytest.raises(ssl.SSLWantReadError):
            client_tls.do_handshake()
        reader, writer = await entry.open_socket()
        await reader.read(1_024)
        request = (0x00088A05).to_bytes(4, "little") + b"\0\0\0\1\x2d"
        text = b"\x20\0\0\1" + request + bytes(23) + outgoing.read()
        writer.write(text[:cut])
        await asyncio.sleep(0.01)
        writer.write(text[len(text[:cut]) :])
        async with asyncio.timeout(2):
            answer = await reader.readexactly(3)
        assert answer[:2] == b"\x16\x03"
        writer.close()

    @pytest.mark.parametrize("factory", [asyncio.new_event_loop, uvloop.new_event_loop])
    @pytest.mark.parametrize("cut", [3, 30, 36, 50, None])
    def test_client_hello_with_request(self, tmp_path, factory, cut):
        """A ClientHello that arrives together with the SSL request is answered.

        Left in the plain reader, it stalled the handshake until the timeout.
        """
        server, client = make_contexts(tmp_path)

        async def main():
            async with EntryVm(ssl=server) as entry:
                await self.send_client_hello(entry, client, cut)

        with asyncio.Runner(loop_factory=factory) as runner:
            runner.run(main())

    async def test_client_hello_before_the_handshake_begins(
        self, tmp_path, monkeypatch
    ):
        """A ClientHello that arrives while TLS is being set up is answered.

        Guards against a ClientHello read by the plain reader, which stalled the
        handshake on a busy machine until the timeout.
        """
        server, client = make_contexts(tmp_path)
        loop = asyncio.get_running_loop()
        start = loop.start_tls

        async def start_late(*arguments, **options):
            await asyncio.sleep(0.1)
            return await start(*arguments, **options)

        monkeypatch.setattr(loop, "start_tls", start_late)
        async with EntryVm(ssl=server) as entry:
            await self.send_client_hello(entry, client, cut=36)


class TestUvloop:
    def test_blocking_client(self, tmp_path):
        """Sessions and disconnects work on uvloop, with TLS and a blocking client.

        Guards against a dependency on the transports of one event loop.
        """
        server, client = make_contexts(tmp_path)

        def use_blocking_client(port):
            connection = pymysql.connect(
                host="127.0.0.1", port=port, user="mill", password=PASSWORD, ssl=client
            )
            with connection.cursor() as cursor:
                cursor.execute("INSERT a")
                connection.commit()
                cursor.execute("SELECT a")
                rows = cursor.fetchall()
            return connection, rows

        async def main():
            async with EntryVm(ssl=server) as entry:
                entry.replies["SELECT a"] = Done(
                    columns=(Column("a", 8),), rows=((b"1",),)
                )
                entry.replies["INSERT wait"] = None
                port = entry.callers.port
                connection, rows = await asyncio.to_thread(use_blocking_client, port)
                assert rows == ((1,),)
                connection._execute_command(3, "INSERT wait")
                async with asyncio.timeout(2):
                    while "INSERT wait" not in entry.received_sql():
                        entry.changed.clear()
                        await entry.changed.wait()
                connection._force_close()
                await entry.wait_for(CallerClosed)
                assert entry.received_sql()[:3] == ["BEGIN", "INSERT a", "COMMIT"]

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())


class TestLimits:
    async def test_large_statement(self):
        """A statement over the limit is refused and the session continues."""
        limits = CallerLimits(max_statement_bytes=1_000)
        async with EntryVm(limits=limits) as entry:
            connection = await entry.connect()
            found = await run_failing(connection, "INSERT " + "a" * 100_000)
            assert found[0] == 5001
            assert found[1].startswith("not_run reason=statement_too_large")
            await run(connection, "INSERT b")
            assert entry.received_sql() == ["INSERT b"]

    async def test_too_many_sessions(self):
        """A session over the limit is refused with 1040; the others continue."""
        async with EntryVm(limits=CallerLimits(max_sessions=1)) as entry:
            first = await entry.connect()
            with pytest.raises(pymysql.err.OperationalError) as caught:
                await entry.connect()
            assert caught.value.args[0] == 1040
            await first.ping(reconnect=False)

    async def test_silent_handshake(self):
        """A caller that never answers the handshake is disconnected."""
        async with EntryVm(limits=CallerLimits(handshake_timeout=0.05)) as entry:
            reader, writer = await entry.open_socket()
            async with asyncio.timeout(2):
                await reader.read()
            writer.close()

    async def test_other_commands_are_typed(self):
        """Prepared statements and unknown commands get an error code.

        Guards against closing the connection instead.
        """
        async with EntryVm() as entry:
            connection = await entry.connect()
            for command, code in [(0x16, 1295), (0x11, 1047), (0x7F, 1047)]:
                await connection._execute_command(command, "SELECT 1")
                with pytest.raises(pymysql.err.MySQLError) as caught:
                    await connection._read_packet()
                assert caught.value.args[0] == code
            await connection.ping(reconnect=False)


class TestMalformedInput:
    async def test_malformed_bytes(self, caplog):
        """Malformed bytes close only their connection, with at most one log line.

        The line has no traceback.
        """
        caplog.set_level(logging.INFO)
        generator = random.Random(7)
        texts = [generator.randbytes(size) for size in (1, 4, 5, 40, 4_000)]
        texts += [b"\x20\0\0\1" + generator.randbytes(32) for _ in range(20)]
        texts += [b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\1", b"\xff\xff\xff\1" + b"a" * 9]
        async with EntryVm() as entry:
            for text in texts:
                caplog.clear()
                reader, writer = await entry.open_socket()
                writer.write(text)
                writer.write_eof()
                async with asyncio.timeout(2):
                    await reader.read()
                writer.close()
                lines = [record for record in caplog.records if not record.exc_info]
                assert len(lines) == len(caplog.records) <= 1
            connection = await entry.connect()
            await run(connection, "SELECT 1")

    async def test_malformed_commands_after_authentication(self):
        """Malformed commands after authentication are refused or end the session."""
        generator = random.Random(8)
        async with EntryVm() as entry:
            for _ in range(30):
                connection = await entry.connect()
                writer = connection._writer
                body = bytes([generator.randrange(1, 40)]) + generator.randbytes(20)
                writer.write(len(body).to_bytes(3, "little") + b"\0" + body)
                writer.write(generator.randbytes(30))
                connection.close()
            connection = await entry.connect()
            await connection.ping(reconnect=False)
            connection.close()
        assert (
            len(entry.find_events(CallerClosed))
            == len(entry.find_events(CallerOpened))
            == 31
        )
