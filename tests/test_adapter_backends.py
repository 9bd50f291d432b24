"""The MySQL adapter for backend servers, against the trial database on loopback."""

import asyncio
from types import SimpleNamespace

import pytest_asyncio
from backends_harness import Harness

from siskinhold import effects, events
from siskinhold.model import ControlFailure, Done, Failed, Position, Role
from siskinhold_trial.database import InstanceLimits, TrialDatabase


@pytest_asyncio.fixture
async def database():
    limits = InstanceLimits(connect_time=0.0, service_time=0.0, lock_timeout=0.05)
    database = TrialDatabase(limits=limits)
    await database.start()
    yield database
    await database.stop()


@pytest_asyncio.fixture
async def harness(database):
    harness = Harness(database)
    await harness.adapter.start(harness.emitted.put_nowait)
    yield harness
    await harness.adapter.stop()


@pytest_asyncio.fixture
async def table(harness):
    connection = await harness.open()
    await harness.run(
        connection, "CREATE TABLE t (id INT AUTO_INCREMENT PRIMARY KEY, v TEXT)"
    )
    return SimpleNamespace(harness=harness, connection=connection)


async def count(table):
    other = await table.harness.open()
    event = await table.harness.run(other, "SELECT COUNT(*) FROM t")
    return int(event.outcome.rows[0][0])


class TestResults:
    async def test_values_stay_bytes(self, table):
        """Values arrive as the server sent them; guards against decoding them."""
        sql = "INSERT INTO t (v) VALUES ('é'), (NULL), ('')"
        written = await table.harness.run(table.connection, sql)
        assert written.outcome.affected_rows == 3
        assert written.outcome.insert_id == 3
        read = await table.harness.run(table.connection, "SELECT * FROM t ORDER BY id")
        assert read.outcome.rows == (
            (b"1", "é".encode()),
            (b"2", None),
            (b"3", b""),
        )
        assert [c.type_code for c in read.outcome.columns] == [8, 253]

    async def test_server_error_keeps_code_and_state(self, table):
        """Guards against losing the SQL state, which pymysql discards."""
        event = await table.harness.run(table.connection, "SELECT * FROM missing")
        assert isinstance(event.outcome, Failed)
        assert (event.outcome.code, event.outcome.sqlstate) == (1146, "42S02")

    async def test_second_statement_in_one_text_is_refused(self, table):
        """Guards against a write hidden behind a read."""
        sql = "SELECT 1; DELETE FROM t"
        event = await table.harness.run(table.connection, sql)
        assert event.outcome.code == 1064

    async def test_answer_beyond_limit_closes_connection(self, database):
        """Guards against unbounded memory and reuse after a partly read answer."""
        harness = Harness(database, answer_limit=2000)
        await harness.adapter.start(harness.emitted.put_nowait)
        connection = await harness.open()
        event = await harness.run(connection, f"SELECT '{'x' * 3000}'")
        assert event.outcome.code == 1153
        assert isinstance(await harness.next(), events.BackendClosed)
        await harness.adapter.stop()

    async def test_position_after_write(self, table):
        """Guards against a token that lacks the session's own write."""
        sql = "INSERT INTO t (v) VALUES ('a')"
        event = await table.harness.run(table.connection, sql, want_position=True)
        assert event.position == Position(1, 2)


class TestTransactions:
    async def test_flag_follows_the_server(self, table):
        """Guards against treating a connection in a transaction as idle."""
        h, c = table.harness, table.connection
        for sql, open_after in (
            ("BEGIN", True),
            ("INSERT INTO t (v) VALUES ('a')", True),
            ("SELECT broken FROM t", True),
            ("COMMIT", False),
        ):
            event = await h.run(c, sql, autocommit=False)
            assert event.in_transaction is open_after, sql
        assert await count(table) == 1

    async def test_close_rolls_back(self, table):
        """Guards against an abandoned transaction that keeps its lock."""
        h, c = table.harness, table.connection
        await h.run(c, "BEGIN", autocommit=False)
        await h.run(c, "INSERT INTO t (v) VALUES ('a')", autocommit=False)
        h.adapter.perform(effects.CloseBackend(connection=c))
        other = await h.open()
        event = await h.run(other, "INSERT INTO t (v) VALUES ('b')")
        assert isinstance(event.outcome, Done)
        assert await count(table) == 1

    async def test_commit_on_fenced_primary_has_no_effect(self, table):
        """Guards against a write acknowledged by a replaced primary."""
        h, c = table.harness, table.connection
        await h.run(c, "BEGIN", autocommit=False)
        await h.run(c, "INSERT INTO t (v) VALUES ('a')", autocommit=False)
        await h.perform_and_wait(effects.FenceServer(server=h.server(), call=1, term=2))
        event = await h.run(c, "COMMIT", autocommit=False)
        assert event.outcome.code == 1290
        assert event.in_transaction is False
        assert await count(table) == 0


class TestKeys:
    insert = "INSERT INTO t (v) VALUES ('a')"

    async def test_second_attempt_is_repeated(self, table):
        """Guards against a keyed write that runs twice."""
        h, c = table.harness, table.connection
        first = await h.run(c, self.insert, key="k'1", want_position=True)
        assert first.outcome == Done(affected_rows=1, insert_id=1)
        other = await h.open()
        second = await h.run(other, self.insert, key="k'1", want_position=True)
        assert second.outcome == Done(repeated=True)
        assert second.position == first.position
        assert second.in_transaction is False
        assert await count(table) == 1

    async def test_failed_statement_leaves_no_key(self, table):
        """Guards against a key that is kept after its statement is rolled back."""
        h, c = table.harness, table.connection
        failed = await h.run(c, "INSERT INTO missing VALUES (1)", key="k")
        assert failed.outcome.code == 1146
        again = await h.run(c, self.insert, key="k")
        assert again.outcome == Done(affected_rows=1, insert_id=1)

    async def test_key_in_open_transaction(self, table):
        """Guards against a repeat in a transaction that runs again or ends it."""
        h, c = table.harness, table.connection
        await h.run(c, self.insert, key="k")
        await h.run(c, "BEGIN", autocommit=False)
        event = await h.run(c, self.insert, key="k", autocommit=False)
        assert event.outcome == Done(repeated=True)
        assert event.in_transaction is True
        event = await h.run(c, self.insert, key="k2", autocommit=False)
        assert event.outcome.affected_rows == 1
        await h.run(c, "ROLLBACK", autocommit=False)
        event = await h.run(c, self.insert, key="k2")
        assert event.outcome == Done(affected_rows=1, insert_id=event.outcome.insert_id)

    async def test_second_attempt_beside_open_first(self, table):
        """Guards against "done" for a key whose attempt may still roll back."""
        h, c = table.harness, table.connection
        await h.run(c, "BEGIN", autocommit=False)
        await h.run(c, self.insert, key="k", autocommit=False)
        other = await h.open()
        event = await h.run(other, self.insert, key="k")
        assert isinstance(event.outcome, Failed)
        assert event.in_transaction is False
        await h.run(c, "ROLLBACK", autocommit=False)
        event = await h.run(other, self.insert, key="k")
        assert event.outcome.affected_rows == 1
        assert await count(table) == 1

    async def test_key_in_other_letters_is_not_repeated(self, table):
        """Guards against "done" for a write that never ran, by a table's collation."""
        h, c = table.harness, table.connection
        await h.run(c, "DROP TABLE siskinhold_request")
        columns = "digest TEXT, state TEXT, created_at TEXT"
        key = "request_key VARCHAR(64) COLLATE NOCASE PRIMARY KEY"
        await h.run(c, f"CREATE TABLE siskinhold_request ({key}, {columns})")
        assert (await h.run(c, self.insert, key="k1")).outcome.affected_rows == 1
        other = (await h.run(c, self.insert, key="K1")).outcome
        assert isinstance(other, Failed) and other.code == 1062
        assert (await h.run(c, self.insert, key="k1")).outcome == Done(repeated=True)
        assert await count(table) == 1


class TestLoss:
    async def test_running_statement_may_have_been_sent(self, table):
        """Guards against reporting a statement that the server received as not run."""
        h, c = table.harness, table.connection
        h.adapter.perform(h.statement(c, "SELECT SLEEP(5)"))
        await h.executing()
        await h.inject_faults(kill="keep")
        event = await h.next()
        assert isinstance(event, events.BackendLost)
        assert event.sent is True

    async def test_idle_connection_reports_its_end(self, table):
        """Guards against running statements on a connection that has ended."""
        h, c = table.harness, table.connection
        await h.inject_faults(kill="keep")
        event = await h.next()
        assert event == events.BackendClosed(
            at=event.at, connection=c, failure=ControlFailure.CLOSED
        )
        event = await h.run(c, "SELECT 1")
        assert isinstance(event, events.BackendLost)
        assert event.sent is False

    async def test_closed_connection_emits_nothing(self, table):
        """Guards against late events of a connection that the core has closed."""
        h, c = table.harness, table.connection
        h.adapter.perform(h.statement(c, "SELECT SLEEP(0.05)"))
        await h.executing()
        h.adapter.perform(effects.CloseBackend(connection=c))
        await asyncio.sleep(0.1)
        assert h.emitted.empty()

    async def test_effects_from_within_an_event(self, database):
        """Guards against a connection that is still busy when its event is handled."""
        harness = Harness(database)
        sql = iter(("SELECT 1", "SELECT 2"))

        def react(event):
            harness.emitted.put_nowait(event)
            if (text := next(sql, None)) is not None:
                harness.adapter.perform(harness.statement(event.connection, text))

        await harness.adapter.start(react)
        await harness.open()
        assert (await harness.next()).outcome.rows == ((b"1",),)
        assert (await harness.next()).outcome.rows == ((b"2",),)
        await harness.adapter.stop()

    async def test_refused_open(self, harness):
        """Guards against a hang when the server does not listen."""
        await harness.inject_faults(kill="keep")
        effect = effects.OpenBackend(
            connection=5, server=harness.server(), database="trial"
        )
        event = await harness.perform_and_wait(effect)
        assert event.failure is ControlFailure.REFUSED

    async def test_open_with_a_name_that_ends_early(self, harness):
        """Guards against a login for the database named by the text before a NUL."""
        server, name = harness.server(), "trial\0mysql_native_password\0\0"
        effect = effects.OpenBackend(connection=1, server=server, database=name)
        event = await harness.perform_and_wait(effect)
        assert getattr(event, "failure", None) is ControlFailure.REJECTED

    async def test_connection_limit_spares_control(self, database, harness):
        """Guards against treating a server without free connections as failed."""
        database.servers[0].limits.connections = 1
        await harness.open()
        effect = effects.OpenBackend(
            connection=50, server=harness.server(), database="trial"
        )
        assert (
            await harness.perform_and_wait(effect)
        ).failure is ControlFailure.REJECTED
        assert (await harness.status()).failure is None


class TestControl:
    async def test_status(self, harness):
        """Guards against misreading a server's status."""
        event = await harness.status(1)
        assert event.status.role is Role.REPLICA
        assert event.status.term == 1
        assert event.server == harness.server(1).name

    async def test_failures_are_distinguished(self, harness):
        """Guards against a wrong kind of failure as evidence of a server's loss."""
        await harness.status(0)
        await harness.inject_faults(0, silence="existing")
        event = await harness.status(0, timeout=0.05)
        assert event.failure is ControlFailure.TIMEOUT
        event = await harness.status(0, fresh=True)
        assert event.failure is None
        await harness.inject_faults(0, kill="keep")
        event = await harness.status(0, fresh=True)
        assert event.failure is ControlFailure.REFUSED

    async def test_fresh_query_does_not_wait_for_an_unresponsive_one(self, harness):
        """Guards against a fresh query queued behind an unresponsive connection."""
        await harness.status()
        await harness.inject_faults(silence="existing")
        silent = effects.QueryStatus(server=harness.server(), call=1, timeout=0.2)
        fresh = effects.QueryStatus(server=harness.server(), call=2, fresh=True)
        harness.adapter.perform(silent)
        assert (await harness.perform_and_wait(fresh)).call == 2
        assert (await harness.next()).failure is ControlFailure.TIMEOUT

    async def test_promotion(self, table):
        """Fence, promote, follow; guards against misspelt commands."""
        h = table.harness
        for index in (0, 1):
            command = effects.FenceServer(server=h.server(index), call=index, term=2)
            event = await h.perform_and_wait(command)
            assert event.status.role is Role.FENCED
        command = effects.PromoteServer(server=h.server(1), call=2, term=2)
        assert (await h.perform_and_wait(command)).status.role is Role.PRIMARY
        command = effects.FollowServer(
            server=h.server(0), call=3, term=2, primary=h.server(1)
        )
        event = await h.perform_and_wait(command)
        assert event.status.role is Role.REPLICA
        command = effects.FenceServer(server=h.server(0), call=4, term=1)
        assert (await h.perform_and_wait(command)).failure is ControlFailure.REJECTED

    async def test_activity(self, table):
        """Guards against treating a slow statement as an unresponsive connection."""
        h, c = table.harness, table.connection
        query = effects.QueryActivity(connection=c, server=h.server())
        assert (await h.perform_and_wait(query)).executing is False
        h.adapter.perform(h.statement(c, "SELECT SLEEP(0.1)"))
        await h.executing()
        assert (await h.perform_and_wait(query)).executing is True
        assert isinstance(await h.next(), events.BackendAnswered)
        await h.inject_faults(silence="all")
        query = effects.QueryActivity(connection=c, server=h.server(), timeout=0.05)
        assert (await h.perform_and_wait(query)).executing is None
