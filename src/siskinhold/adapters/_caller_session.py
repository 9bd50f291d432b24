"""A caller's session: statements answered by the entry VM and those it forwards.

The entry VM is the one that the caller is connected to.

Stock clients switch autocommit off after connecting and expect their statements
to form transactions. While it is off and no transaction is open, the session sends
a BEGIN before a write or a locking read and waits for its answer. Reads before the
first write are not part of the transaction: they run on their own, so they may go to
replicas and occupy no backend connection. Each of them sees the newest data that its
position and maximum age allow; they do not share one snapshot. Switching autocommit
on again commits, as in MySQL.
"""

import asyncio
from collections.abc import Callable

from mysql_mimic.charset import CharacterSet
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import ColumnType
from mysql_mimic.variables import SYSTEM_VARIABLES, GlobalVariables, SessionVariables
from result import Err

from .. import statements
from ..effects import ReplyCaller
from ..events import (
    CallerClosed,
    CallerOpened,
    DatabaseSelected,
    StatementReceived,
    TokenPresented,
)
from ..model import (
    Column,
    Done,
    Failed,
    Marks,
    NotRun,
    NotRunReason,
    Outcome,
    Position,
    StatementKind,
    Unknown,
)
from ..tokens import TokenCodec
from ._caller_packets import UNKNOWN_VARIABLE, to_error, to_refusal
from ._interfaces import Emit

SERVER_VERSION = "8.0.36-siskinhold"
_DEADLOCK_CODE = 1213
_REPEATED_CODE = 5000
_CHARSETS = {"utf8mb4", "utf8mb3", "utf8", "ascii"}
_VARIABLES = {
    **SYSTEM_VARIABLES,
    "default_storage_engine": (str, "InnoDB", True),
    "default_tmp_storage_engine": (str, "InnoDB", True),
    "init_connect": (str, "", True),
    "license": (str, "", False),
    "sql_mode": (
        str,
        "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
        "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION",
        True,
    ),
    "transaction_isolation": (str, "REPEATABLE-READ", True),
    "tx_isolation": (str, "REPEATABLE-READ", True),
    "tx_read_only": (bool, False, True),
    "version": (str, SERVER_VERSION, False),
    "version_comment": (str, "siskinhold", False),
}
_GLOBALS = GlobalVariables(_VARIABLES)
_WARNING_COLUMNS = (Column("Level"), Column("Code"), Column("Message"))


class CallerSession(BaseSession):
    """State of a caller's session, from connecting to disconnecting.

    Args:
        number: the session's number, never reused on this VM.
        emit: receives the session's events.
        tokens: encodes and verifies session tokens.

    `opened` is set once the caller has authenticated and `ended` once its
    connection is lost.
    """

    def __init__(self, *, number: int, emit: Emit, tokens: TokenCodec) -> None:
        self.number = number
        self.variables = SessionVariables(_GLOBALS)
        self.username: str | None = None
        self.database: str | None = None
        self.autocommit = True
        self.in_transaction = False
        self._transaction_lost = False
        self._emit = emit
        self._tokens = tokens
        self._loop = asyncio.get_running_loop()
        # By database: the minimum log position that the session's reads must see.
        self._positions: dict[str, Position] = {}
        self._pending_outcome: asyncio.Future[Outcome] | None = None
        self._insert_id = 0
        self._warnings: tuple[tuple[bytes | None, ...], ...] = ()
        self.opened = False
        self.ended = False

    @property
    def waiting(self) -> bool:
        """Whether a statement is waiting for its reply."""
        return self._pending_outcome is not None and not self._pending_outcome.done()

    def open(self) -> None:
        """Emit `CallerOpened` for the authenticated caller.

        Raises:
            ConnectionClosed: if the connection has ended or is not authenticated.
        """
        if self.ended or self.username is None:
            raise ConnectionClosed()
        self.opened = True
        self._emit(
            CallerOpened(
                at=self._loop.time(),
                session=self.number,
                user=self.username,
                database=self.database or "",
            )
        )

    def end(self) -> None:
        """Emit `CallerClosed` once and abandon a waiting statement."""
        if self.ended:
            return
        self.ended = True
        if self.opened:
            self._emit(CallerClosed(at=self._loop.time(), session=self.number))
        if self._pending_outcome is not None and not self._pending_outcome.done():
            self._pending_outcome.set_exception(ConnectionClosed())

    def handle_reply(self, effect: ReplyCaller) -> bool:
        """Complete the waiting statement; return False if none is waiting."""
        if self._pending_outcome is None or self._pending_outcome.done():
            return False
        self._positions = dict(effect.positions)
        self._pending_outcome.set_result(effect.outcome)
        return True

    async def use(self, database: str) -> None:
        """Select the default database."""
        self.database = database
        at = self._loop.time()
        self._emit(DatabaseSelected(at=at, session=self.number, database=database))

    async def reset(self) -> None:
        """Roll back an open transaction; reset autocommit, warnings and insert ID.

        The default database, the character set and the positions stay.
        """
        if self.in_transaction:
            await self._forward(StatementKind.ROLLBACK, "ROLLBACK", Marks())
        self._transaction_lost = False
        self.autocommit = True
        self._insert_id = 0
        self._warnings = ()

    async def run(self, sql: str, attributes: dict[str, object]) -> Done | Failed:
        """Run a statement and return its result or the error for the caller.

        Raises:
            ConnectionClosed: if the caller disconnected.
        """
        found = statements.classify(sql, attributes, in_transaction=self.in_transaction)
        if isinstance(found, Err):
            return self._record_outcome(to_refusal(found.err_value))
        statement = found.ok_value
        if isinstance(statement, statements.ShowWarnings):
            return Done(columns=_WARNING_COLUMNS, rows=self._warnings)
        if not isinstance(statement, statements.Forwarded):
            return self._record_outcome(await self._answer_locally(statement))
        charset = str(self.variables.get("character_set_client"))
        if charset not in _CHARSETS:
            detail = f"character set {charset}: use SET NAMES utf8mb4"
            return self._record_outcome(
                NotRun(reason=NotRunReason.UNSUPPORTED, detail=detail)
            )
        return self._record_outcome(await self._run_forwarded(statement, sql))

    async def _run_forwarded(
        self, statement: statements.Forwarded, sql: str
    ) -> Outcome:
        """Run a statement on a backend server, after a COMMIT or BEGIN that it implies.

        After the loss of a transaction, all statements are refused until the caller
        ends it or begins another. A COMMIT or ROLLBACK without an open transaction is
        answered without the server.
        """
        kind = statement.kind
        if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            return await self._end_transaction(kind, sql, statement.marks)
        if kind is StatementKind.BEGIN:
            self._transaction_lost = False
        if self._transaction_lost:
            return _TRANSACTION_LOST
        if statement.commits and self.in_transaction:
            outcome = await self._forward(StatementKind.COMMIT, "COMMIT", Marks())
            if not isinstance(outcome, Done):
                return outcome
        if self._needs_begin(statement):
            outcome = await self._forward(StatementKind.BEGIN, "BEGIN", Marks())
            if not isinstance(outcome, Done):
                return outcome
        return await self._forward(kind, sql, statement.marks)

    def _needs_begin(self, statement: statements.Forwarded) -> bool:
        """Return whether a BEGIN has to precede the statement: autocommit is off."""
        if self.autocommit or self.in_transaction or statement.commits:
            return False
        return statement.kind is StatementKind.WRITE

    async def _end_transaction(
        self, kind: StatementKind, sql: str, marks: Marks
    ) -> Outcome:
        """End the open transaction, if there is one.

        The COMMIT of a lost transaction is refused; its ROLLBACK succeeds.
        """
        if self._transaction_lost:
            self._transaction_lost = False
            return Done() if kind is StatementKind.ROLLBACK else _TRANSACTION_LOST
        if not self.in_transaction:
            return Done()
        return await self._forward(kind, sql, marks)

    async def _forward(self, kind: StatementKind, sql: str, marks: Marks) -> Outcome:
        """Emit a statement, wait for its outcome and update the transaction state.

        Raises:
            ConnectionClosed: if the caller disconnected.
        """
        if self.ended:
            raise ConnectionClosed()
        self._pending_outcome = self._loop.create_future()
        self._emit(
            StatementReceived(
                at=self._loop.time(),
                session=self.number,
                kind=kind,
                sql=sql,
                marks=marks,
            )
        )
        outcome = await self._pending_outcome
        self._pending_outcome = None
        self._update_transaction(kind, outcome)
        return outcome

    def _update_transaction(self, kind: StatementKind, outcome: Outcome) -> None:
        """Set whether a transaction is open or lost after a statement's outcome."""
        if kind is StatementKind.BEGIN:
            self.in_transaction = isinstance(outcome, Done)
        elif kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self.in_transaction = False
        elif self.in_transaction and _loses_transaction(outcome):
            # Later statements must not run outside a transaction, so they are
            # refused until the caller ends the lost one.
            self.in_transaction = False
            self._transaction_lost = True

    def _record_outcome(self, outcome: Outcome) -> Done | Failed:
        """Store the outcome for SHOW WARNINGS and LAST_INSERT_ID().

        Returns the outcome, as an error for the caller if it is not `Done`.
        """
        if not isinstance(outcome, Done):
            error = to_error(outcome)
            self._warnings = (_make_warning("Error", error.code, error.message),)
            return error
        if outcome.insert_id:
            self._insert_id = outcome.insert_id
        self._warnings = ()
        if outcome.repeated:
            text = "repeated: the idempotency key was found, the statement had run"
            self._warnings = (_make_warning("Note", _REPEATED_CODE, text),)
        return outcome

    async def _answer_locally(self, statement: statements.Classified) -> Outcome:
        """Run a local statement.

        Enabling autocommit commits an open transaction on its backend server.
        """
        if isinstance(statement, statements.SetAutocommit):
            return await self._set_autocommit(statement.enabled)
        if isinstance(statement, statements.SetCharset):
            return self._set_charset(statement.name)
        if isinstance(statement, statements.UseDatabase):
            await self.use(statement.database)
        elif isinstance(statement, statements.PresentToken):
            return self._apply_token(statement.token)
        elif isinstance(statement, statements.ReadValues):
            return self._read_values(statement)
        return Done()

    async def _set_autocommit(self, enabled: bool) -> Outcome:
        """Set autocommit; enabling it commits an open transaction first."""
        if enabled and not self.autocommit:
            kind = StatementKind.COMMIT
            outcome = await self._end_transaction(kind, "COMMIT", Marks())
            if not isinstance(outcome, Done):
                return outcome
        self.autocommit = enabled
        return Done()

    def _set_charset(self, name: str) -> Outcome:
        """Set the character set variables, or refuse one that is not supported."""
        if name == "default":
            name = "utf8mb4"
        if name not in _CHARSETS:
            detail = f"character set {name}: not supported"
            return NotRun(reason=NotRunReason.UNSUPPORTED, detail=detail)
        name = "utf8" if name == "utf8mb3" else name
        for variable in ("client", "connection", "results"):
            self.variables.set(f"character_set_{variable}", name)
        return Done()

    def _apply_token(self, token: str) -> Outcome:
        """Raise the session's positions to those of a token; emits `TokenPresented`."""
        found = self._tokens.decode(token)
        if isinstance(found, Err):
            detail = f"fault={found.err_value.fault.value} {found.err_value.detail}"
            return NotRun(reason=NotRunReason.TOKEN_INVALID, detail=detail)
        positions = found.ok_value
        for database, position in positions.items():
            known = self._positions.get(database)
            if known is None or known < position:
                self._positions[database] = position
        at = self._loop.time()
        self._emit(TokenPresented(at=at, session=self.number, positions=positions))
        return Done()

    def _read_values(self, statement: statements.ReadValues) -> Outcome:
        """Return a row of session values, or the error for an unknown variable."""
        row: list[bytes | None] = []
        columns: list[Column] = []
        for label, expression in statement.columns:
            if expression.startswith("@@") and expression[2:] not in _VARIABLES:
                text = f"Unknown system variable '{expression[2:66]}'"
                return Failed(code=UNKNOWN_VARIABLE, sqlstate="HY000", message=text)
            value = self._read_value(expression)
            row.append(_to_bytes(value))
            columns.append(_to_column(label, value))
        return Done(columns=tuple(columns), rows=(tuple(row),))

    def _read_value(self, expression: str) -> object:
        if expression == "@@autocommit":
            return self.autocommit
        if expression.startswith("@@"):
            return self.variables.get(expression[2:])
        return _VALUE_READERS[expression](self)

    def _read_token(self) -> str:
        return self._tokens.encode(self._positions)


def _loses_transaction(outcome: Outcome) -> bool:
    """Return whether an outcome in a transaction means that it is lost."""
    if isinstance(outcome, Failed):
        return outcome.code == _DEADLOCK_CODE
    if isinstance(outcome, NotRun):
        return outcome.reason is NotRunReason.TRANSACTION_LOST
    return isinstance(outcome, Unknown)


def _make_warning(level: str, code: int, text: str) -> tuple[bytes | None, ...]:
    """Return a row of SHOW WARNINGS."""
    return level.encode(), str(code).encode(), text.encode("utf-8", "replace")


def _to_column(label: str, value: object) -> Column:
    """Return the column of a session value: an integer or text."""
    if isinstance(value, int):
        return Column(label, ColumnType.LONGLONG, CharacterSet.binary)
    return Column(label)


def _to_bytes(value: object) -> bytes | None:
    if value is None:
        return None
    if isinstance(value, bool):
        value = int(value)
    return str(value).encode("utf-8", "replace")


_TRANSACTION_LOST = NotRun(
    reason=NotRunReason.TRANSACTION_LOST, detail="the transaction was rolled back"
)
_VALUE_READERS: dict[str, Callable[[CallerSession], object]] = {
    "@siskinhold_token": CallerSession._read_token,
    "connection_id()": lambda session: session.number & 0xFFFFFFFF,
    "current_user()": lambda session: f"{session.username}@%",
    "database()": lambda session: session.database or None,
    "last_insert_id()": lambda session: session._insert_id,
    "schema()": lambda session: session.database or None,
    "session_user()": lambda session: f"{session.username}@%",
    "system_user()": lambda session: f"{session.username}@%",
    "user()": lambda session: f"{session.username}@%",
    "version()": lambda session: SERVER_VERSION,
}
