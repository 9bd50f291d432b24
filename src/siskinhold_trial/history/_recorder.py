"""A session that records its calls and their answers."""

from siskinhold.model import Marks, Position, StatementKind
from siskinhold_trial.fakes import (
    CallerConnectionClosed,
    FakeCaller,
    FakeCallers,
    FakeWorld,
)

from ._records import History, Invocation


class RecordedSession:
    """A caller's session that may move between VMs and keeps its log positions.

    Args:
        world: provides the clock of the recorded times.
        history: receives the invocations.
        name: unique name of the session.
        database: the database it uses.
        user: the tenant.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        history: History,
        name: str,
        database: str,
        user: str = "caller",
    ) -> None:
        self.positions: dict[str, Position] = {}
        self._world = world
        self._history = history
        self._name = name
        self._database = database
        self._user = user
        self._vm = ""
        self._caller: FakeCaller | None = None
        self._transaction = ""
        self._count = 0

    def connect(self, vm: str, callers: FakeCallers) -> None:
        """Close any connection, connect to a VM and present the known positions.

        Raises:
            CallerConnectionClosed: if the VM accepts no connections.
        """
        self.close()
        self._caller = callers.connect(database=self._database, user=self._user)
        self._vm = vm
        if self.positions:
            self._caller.present(self.positions)

    def close(self) -> None:
        """Close the connection, which ends an open transaction."""
        self._transaction = ""
        if self._caller is not None:
            self._caller.close()

    async def read(self, key: str, marks: Marks = Marks()) -> Invocation:
        """Read a row."""
        sql = f"SELECT v, '{{tag}}' FROM kv WHERE k='{key}'"
        return await self.run(StatementKind.READ, sql, marks)

    async def append(
        self, key: str, marks: Marks = Marks(), value: str = "{tag}"
    ) -> Invocation:
        """Append a value, the statement's tag if none is given."""
        sql = f"UPDATE kv SET v=CONCAT(v,',{value}') WHERE k='{key}'"
        return await self.run(StatementKind.WRITE, sql, marks)

    async def run(
        self, kind: StatementKind, sql: str, marks: Marks = Marks()
    ) -> Invocation:
        """Run a statement; `{tag}` in its text is replaced by its tag.

        If the connection closes first, the outcome is recorded as None and
        `connect` has to be called before the next statement.
        """
        self._count += 1
        tag = f"{self._name}.{self._count}"
        if kind is StatementKind.BEGIN:
            self._transaction = tag
        invocation = Invocation(
            tag=tag,
            session=self._name,
            vm=self._vm,
            kind=kind,
            sql=f"{sql.replace('{tag}', tag)} /* id={tag} */",
            called_at=self._world.now(),
            marks=marks,
            transaction=self._transaction,
        )
        self._history.invocations.append(invocation)
        if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self._transaction = ""
        try:
            reply = await self._caller.run(kind, invocation.sql, marks)
        except CallerConnectionClosed:
            self._transaction = ""
        else:
            invocation.outcome = reply.outcome
            invocation.request = reply.request
            invocation.positions = reply.positions
            if kind is StatementKind.BEGIN and not invocation.is_done:
                self._transaction = ""
            self.positions.update(reply.positions)
        invocation.answered_at = self._world.now()
        return invocation
