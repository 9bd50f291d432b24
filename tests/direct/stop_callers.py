"""Callers that keep using a VM until its process has ended, on simulated time."""

from abc import ABC, abstractmethod

from siskinhold.direct import Refusal, Statement, StatementKind

from .world import make_statement

RETRY_DELAY = 0.05
"""Seconds after which a caller connects again."""


class Request:
    """A statement that a VM's core got, and what it answered.

    Args:
        transaction: number of the transaction that it belongs to, 0 for none.
    """

    def __init__(self, *, vm, session, statement, transaction, at):
        self.vm = vm
        self.session = session
        self.statement = statement
        self.transaction = transaction
        self.at = at
        self.answers = []
        self.left = False

    def __str__(self):
        kind = self.statement.kind.value
        return f"{self.statement.request} ({kind}) of {self.vm}, sent {self.at:.3f}"


class Caller(ABC):
    """Caller that connects to the same VM again whenever its connection has ended.

    Args:
        vm: name of the VM.
        database: name of the database that it connects to.
        random: decides its statements and pauses.
    """

    def __init__(self, *, world, vm, database, random):
        self.world = world
        self.vm = vm
        self.database = database
        self.random = random
        self.session = 0
        self.actions = None

    @abstractmethod
    def act(self):
        """Yield seconds to pause, or a statement to send on the open connection.

        A statement yields its answer, None if the connection ended before. The caller
        leaves at the end.
        """

    def connect(self):
        """Connect once the VM runs."""
        if self.vm in self.world.stopped:
            self.world.after(RETRY_DELAY, self.connect)
            return
        self.actions = self.act()
        self.session = self.world.open_session(self)

    def resume(self, session, value):
        """Go on after a pause or an answer, unless the connection has ended."""
        if session != self.session:
            return
        try:
            action = self.actions.send(value)
        except StopIteration:
            self.world.leave(self)
            self.handle_end(session)
            return
        if isinstance(action, float):
            self.world.after(action, self.resume, session, None)
            return
        self.world.submit(self, action)

    def handle_end(self, session):
        """Connect again after the connection has ended."""
        if session != self.session:
            return
        self.session = 0
        self.world.after(RETRY_DELAY, self.connect)

    def make(self, word):
        """Return a read, write or transaction statement."""
        text = {"READ": "READ x", "WRITE": "WRITE x 1"}.get(word, word)
        return make_statement(self.world.allocate_request(), text)


class SingleCaller(Caller):
    """Sends one read or write on each connection."""

    def act(self):
        """Send a statement and wait for its answer."""
        yield self.make(self.random.choice(("READ", "WRITE")))


class LongCaller(Caller):
    """Uses its open connection until it is closed."""

    def act(self):
        """Send reads and writes, with short pauses."""
        while True:
            yield self.make(self.random.choice(("READ", "READ", "WRITE", "SET x 1")))
            yield self.random.choice((0.0, 0.05, 0.3, 1.5))


class TransactionCaller(Caller):
    """Runs transactions with pauses between their statements."""

    def act(self):
        """Run some transactions, each until it has ended or failed."""
        for _ in range(self.random.choice((1, 1, 5))):
            yield from self.run_transaction()
            yield 0.05

    def run_transaction(self):
        """Run a transaction, and roll it back after a failure."""
        reads_only = self.random.random() < 0.3
        answer = yield self.make("BEGIN READ" if reads_only else "BEGIN")
        if answer.refusal is not None:
            return
        words = ("READ",) if reads_only else ("READ", "WRITE", "WRITE")
        for _ in range(self.random.randrange(5)):
            yield self.random.choice((0.0, 0.0, 0.1, 0.6, 2.0))
            answer = yield self.make(self.random.choice(words))
            if answer.refusal is Refusal.ABORTED:
                break
        yield self.random.choice((0.0, 0.1, 1.0))
        yield self.make(self.random.choice(("COMMIT", "COMMIT", "ROLLBACK")))


class LeavingCaller(Caller):
    """Leaves midway, with or without a statement under way."""

    def act(self):
        """Send a single statement or a transaction, and leave at a random time."""
        leaves_in = self.random.choice((0.001, 0.005, 0.02, 0.3, 1.0))
        self.world.after(leaves_in, self.leave, self.session)
        words = self.random.choice((("READ",), ("WRITE",), ("BEGIN", "WRITE")))
        for word in words:
            yield self.make(word)
        yield leaves_in

    def leave(self, session):
        """Leave unless the connection has ended."""
        if session == self.session:
            self.world.leave(self)
            self.handle_end(session)


class PreparedCaller(Caller):
    """Prepares statements and executes them."""

    def act(self):
        """Prepare a read and a write, then execute them until the connection ends."""
        yield self.prepare("r", "READ", writes=False)
        yield self.prepare("w", "WRITE", writes=True)
        for _ in range(self.random.choice((2, 10, 100))):
            yield self.execute(self.random.choice("rw"))
            yield self.random.choice((0.0, 0.05, 0.3))

    def prepare(self, name, word, *, writes):
        """Return a statement that prepares a read or a write."""
        request = self.world.allocate_request()
        return Statement(
            request=request,
            kind=StatementKind.PREPARE,
            text=f"PREPARE {name}",
            name=name,
            shape=f"{word} x",
            writes=writes,
        )

    def execute(self, name):
        """Return a statement that executes a prepared one."""
        request = self.world.allocate_request()
        return Statement(
            request=request,
            kind=StatementKind.EXECUTE,
            text=f"EXECUTE {name}",
            name=name,
            value="1",
            writes=name == "w",
        )


KINDS = (SingleCaller, SingleCaller, LongCaller, TransactionCaller) + (
    LeavingCaller,
    PreparedCaller,
)
"""Kinds of callers; single statements on new connections count twice."""
