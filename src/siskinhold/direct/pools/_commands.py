"""Commands that are sent on connections to backend servers."""

from .._connection_life import ConnectionState, IllegalTransition
from .._effects import Log, Observe, SendCommands
from .._server_session import MAX_KEPT_BYTES, MAX_STATEMENTS, VALUES_RETENTION
from .._server_state import Connection, PendingCommand, Purpose
from .._state import DirectState, Effects, Job, Session
from .._types import Answer, Command, CommandKind, TransactionState
from ._closing import close_connection

_STATES = {
    Purpose.SETUP: ConnectionState.PREPARING,
    Purpose.BEGIN: ConnectionState.PREPARING,
    Purpose.PREPARE: ConnectionState.PREPARING,
    Purpose.CLEANUP: ConnectionState.CLEANING,
    Purpose.RELEASE: ConnectionState.CLEANING,
}
"""State that a command brings about by its purpose, if it is not `IN_USE`."""


class WrongAccount(Exception):
    """A statement was about to run on a connection of another client account."""


def _enter_use(connection: Connection, purpose: Purpose, job: Job | None) -> None:
    """Enter the state that a command brings about.

    Raises:
        IllegalTransition: if the connection may not be used for that purpose.
        WrongAccount: if it serves another account than the job's.
    """
    if job is not None and job.session.account != connection.account:
        raise WrongAccount(f"connection {connection.number} serves another account")
    connection.advance(_STATES.get(purpose, ConnectionState.IN_USE))


def send(
    state: DirectState,
    connection: Connection,
    command: Command,
    purpose: Purpose,
    out: Effects,
    job: Job | None = None,
) -> None:
    """Send a command, and record its purpose for the handling of its answer.

    Consecutive commands on a connection are joined into one effect. A `RESET` clears
    the recorded values and prepared statements.

    Raises:
        IllegalTransition: if the connection may not be used for that purpose; it is
            closed then.
        WrongAccount: if it serves another account than the job's; likewise.
    """
    try:
        _enter_use(connection, purpose, job)
    except (IllegalTransition, WrongAccount):
        if connection.state is not ConnectionState.CLOSED:
            close_connection(state, connection, out, "misused")
        raise
    connection.pending.append(
        PendingCommand(purpose=purpose, sent_at=state.now, work=job)
    )
    connection.used_at = state.now
    if command.kind is CommandKind.RESET:
        connection.kept.clear()
    if (
        out
        and isinstance(out[-1], SendCommands)
        and out[-1].connection == connection.number
    ):
        last = out.pop()
        out.append(
            SendCommands(
                connection=connection.number, commands=(*last.commands, command)
            )
        )
        return
    out.append(SendCommands(connection=connection.number, commands=(command,)))


def apply_session_values(
    state: DirectState,
    connection: Connection,
    session: Session,
    out: Effects,
    job: Job | None = None,
) -> bool:
    """Set the session values of a caller on a connection before its statement runs.

    Values that are set already are not sent again. A connection with values that the
    session lacks is reset first.

    Args:
        job: handled with the answer to the last command.

    Returns:
        whether anything was sent.
    """
    kept = connection.kept
    commands = []
    values = kept.values
    if any(name not in session.values for name in values):
        commands.append(Command(kind=CommandKind.RESET))
        values = {}
    for name, value in session.values.items():
        if values.get(name) == value:
            continue
        commands.append(Command(kind=CommandKind.SET, name=name, value=value))
    for command in commands:
        work = job if command is commands[-1] else None
        send(state, connection, command, Purpose.SETUP, out, work)
        if command.kind is CommandKind.SET:
            kept.set_value(command.name, command.value)
    return bool(commands)


def prepare_statement(
    state: DirectState, connection: Connection, job: Job, out: Effects
) -> str:
    """Prepare what a job executes unless that is done; return its name.

    The statements that were unused for longest make room for it.
    """
    statement = job.statement
    writes, shape = statement.writes, statement.shape
    kept = connection.kept
    name = kept.find_statement(writes, shape)
    if name is not None:
        return name
    removed = kept.remove_excess(count=MAX_STATEMENTS - 1, size=MAX_KEPT_BYTES)
    _deallocate(state, connection, removed, Purpose.SETUP, out)
    name = kept.add_statement(writes, shape)
    command = Command(kind=CommandKind.PREPARE, name=name, value=shape, writes=writes)
    send(state, connection, command, Purpose.PREPARE, out, job)
    fields = (
        ("request", statement.request),
        ("server", connection.server.entry.server),
        ("connection", connection.number),
        ("name", name),
        ("length", len(shape)),
    )
    out.append(Log(event="statement_prepared", fields=fields))
    return name


def _deallocate(
    state: DirectState,
    connection: Connection,
    names: list[str],
    purpose: Purpose,
    out: Effects,
) -> None:
    """Have the server forget statements."""
    for name in names:
        command = Command(kind=CommandKind.DEALLOCATE, name=name)
        send(state, connection, command, purpose, out)
        out.append(Observe(metric="backend_statements_released_total"))


def release_kept(state: DirectState, connection: Connection, out: Effects) -> None:
    """Have the server release what it keeps for a free connection beyond the limits.

    All of it, if that holds for the values, or if it differs from the record. Large
    values are released once they were unused for a while, or at once if all connections
    keep too much.
    """
    kept = connection.kept
    limit = min(MAX_KEPT_BYTES, state.kept_limit // len(state.connections))
    surplus = kept.values_size > limit
    unused = state.now - connection.used_at >= VALUES_RETENTION
    if surplus and not unused:
        total = sum(c.kept.size for c in state.connections.values())
        surplus = total > state.kept_limit
    if surplus or kept.rejection is not None:
        command = Command(kind=CommandKind.RESET)
        send(state, connection, command, Purpose.RELEASE, out)
        return
    room = limit - kept.values_size if unused else limit
    if kept.statements_size > room:
        removed = kept.remove_excess(count=MAX_STATEMENTS, size=room)
        _deallocate(state, connection, removed, Purpose.RELEASE, out)


def settle(
    state: DirectState, connection: Connection, answer: Answer, out: Effects
) -> None:
    """Make a connection free after its last answer, or close it if it may not be.

    What the server keeps for it beyond the limits is released first. It is closed if
    the server did not confirm that no transaction is open. A control connection stays
    open, and is not free until an answer confirms that.
    """
    if not connection.open or connection.pending:
        return
    if connection.transaction is not None:
        connection.advance(ConnectionState.IN_USE)
    elif answer.transaction is TransactionState.NONE:
        connection.advance(ConnectionState.FREE)
        release_kept(state, connection, out)
    elif connection.control:
        connection.advance(ConnectionState.CLEANING)
    else:
        close_connection(state, connection, out, "transaction_uncertain")
