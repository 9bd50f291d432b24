"""Connections that run callers' statements, with their idempotency keys."""

import asyncio
import hashlib

from .. import effects, events
from ..model import ControlFailure, Done, Failed, Outcome, Position
from ._interfaces import Emit
from ._raw_connections import AnswerTooLarge, ConnectionLost, RawConnection, ServerError
from ._server_status import SHOW_STATUS, parse_status

DUPLICATE_ENTRY_CODE = 1062

STATE_DONE = "done"

_ANSWER_TOO_LARGE = Failed(
    code=1153, sqlstate="08S01", message="The answer is too large"
)


class StatementConnection:
    """Runs statements on an open connection, one at a time, and emits the results.

    It closes the connection before it emits an event that reports its loss.

    Args:
        number: the connection's number.
        raw: the open connection.
        emit: receives the events.
    """

    def __init__(self, *, number: int, raw: RawConnection, emit: Emit) -> None:
        self.number = number
        self._raw = raw
        self._emit = emit
        self._loop = asyncio.get_running_loop()
        self._sent = False

    @property
    def server_connection_id(self) -> int:
        """The server's identifier of the connection."""
        return self._raw.thread_id()

    def abort(self) -> None:
        """Close the socket at once."""
        self._raw.abort()

    async def run(self, effect: effects.RunStatement) -> None:
        """Run a statement; emits `BackendAnswered` or `BackendLost`."""
        self._sent = False
        try:
            outcome = await self._run(effect)
            position = await self._read_position(wanted=effect.want_position)
        except ConnectionLost:
            self._report_loss(effect)
            return
        except AnswerTooLarge:
            outcome, position = _ANSWER_TOO_LARGE, None
        self._emit(
            events.BackendAnswered(
                at=self._loop.time(),
                connection=self.number,
                request=effect.request,
                outcome=outcome,
                position=position,
                in_transaction=self._raw.usable and self._raw.in_transaction,
            )
        )

    def report_end(self) -> None:
        """Emit `BackendClosed` if the connection has ended."""
        if self._raw.usable:
            return
        self._raw.abort()
        self._emit(
            events.BackendClosed(
                at=self._loop.time(),
                connection=self.number,
                failure=ControlFailure.CLOSED,
            )
        )

    def _report_loss(self, effect: effects.RunStatement) -> None:
        """Close the connection and emit `BackendLost` for its statement."""
        self._raw.abort()
        self._emit(
            events.BackendLost(
                at=self._loop.time(),
                connection=self.number,
                request=effect.request,
                sent=self._sent,
            )
        )

    async def _run(self, effect: effects.RunStatement) -> Outcome:
        """Run a statement; one with an idempotency key runs at most once."""
        if not effect.key:
            return await self._run_plain(effect.sql)
        if effect.autocommit:
            return await self._run_keyed(effect)
        return await self._run_keyed_in_transaction(effect)

    async def _run_plain(self, sql: str) -> Outcome:
        """Run a statement; an error also updates the flag of an open transaction."""
        try:
            return await self._send(sql)
        except ServerError as error:
            failed = _build_failed(error)
        if self._raw.in_transaction:
            await self._refresh_status_flags()
        return failed

    async def _run_keyed(self, effect: effects.RunStatement) -> Outcome:
        """Run a keyed statement in its own transaction, rolled back unless done."""
        outcome = await self._run_transaction(effect)
        if isinstance(outcome, Done) and not outcome.repeated:
            return outcome
        await self._roll_back()
        return outcome

    async def _run_transaction(self, effect: effects.RunStatement) -> Outcome:
        """Insert the key, run the statement and commit, unless the key exists."""
        try:
            await self._raw.run("START TRANSACTION")
            if not await self._insert_key(effect):
                return Done(repeated=True)
            done = await self._send(effect.sql)
            await self._raw.run("COMMIT")
        except ServerError as error:
            return _build_failed(error)
        return done

    async def _run_keyed_in_transaction(self, effect: effects.RunStatement) -> Outcome:
        """Run a keyed statement in the caller's transaction unless the key exists."""
        outcome: Outcome = Done(repeated=True)
        try:
            if await self._insert_key(effect):
                return await self._run_plain(effect.sql)
        except ServerError as error:
            outcome = _build_failed(error)
        await self._refresh_status_flags()
        return outcome

    async def _insert_key(self, effect: effects.RunStatement) -> bool:
        """Insert the key; return False if its statement has already run."""
        digest = hashlib.blake2b(_encode(effect.sql), digest_size=16).hexdigest()
        try:
            await self._raw.run(self._build_insert(effect.key, digest))
        except ServerError as error:
            if error.code != DUPLICATE_ENTRY_CODE:
                raise
            if not await self._has_key(effect.key):
                raise error
            return False
        return True

    def _build_insert(self, key: str, digest: str) -> str:
        key = self._raw.escape_string(key)
        return (
            "INSERT INTO siskinhold_request (request_key, digest, state, created_at)"
            f" VALUES ('{key}', '{digest}', '{STATE_DONE}', NOW())"
        )

    async def _has_key(self, key: str) -> bool:
        """Return whether the key exists, letter by letter; locks its row."""
        # A non-locking read may use a snapshot that is older than the row.
        text = self._raw.escape_string(key)
        done = await self._raw.run(
            "SELECT request_key FROM siskinhold_request"
            f" WHERE request_key = '{text}' FOR UPDATE"
        )
        # The column's collation may equate keys that differ in case.
        return any(row[0] == key.encode() for row in done.rows)

    async def _send(self, sql: str) -> Done:
        """Run a caller's statement; from here on, a loss counts as after sending it."""
        if not self._raw.usable:
            raise ConnectionLost(ControlFailure.CLOSED)
        self._sent = True
        return await self._raw.run(sql)

    async def _roll_back(self) -> None:
        """Roll back; closes the connection if that fails."""
        # The outcome holds even if this fails: the server rolls back the
        # transaction of a lost connection.
        try:
            await self._raw.run("ROLLBACK")
        except (ConnectionLost, ServerError):
            self._raw.abort()

    async def _refresh_status_flags(self) -> None:
        """Update the transaction flag; closes the connection if that fails."""
        try:
            await self._raw.refresh_status_flags()
        except ConnectionLost:
            self._raw.abort()

    async def _read_position(self, *, wanted: bool) -> Position | None:
        """Return the server's log position; None if not wanted or not available."""
        if not wanted or not self._raw.usable:
            return None
        try:
            done = await self._raw.run(SHOW_STATUS)
            return parse_status(done).position
        except (ServerError, ValueError):
            return None


def _encode(sql: str) -> bytes:
    return sql.encode("utf-8", "surrogateescape")


def _build_failed(error: ServerError) -> Failed:
    return Failed(code=error.code, sqlstate=error.sqlstate, message=error.message)
