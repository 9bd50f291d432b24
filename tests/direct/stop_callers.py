"""Callers that keep using a VM until its process has ended, on simulated time."""

from abc import ABC, abstractmethod
from dataclasses import replace

from siskinhold.direct import Refusal, StatementKind

from .world import make_statement

RETRY_DELAY = 0.05
"""Seconds after which a caller connects again."""

NAMES = ("s1", "q1", "s\t1", "1")
"""Names of prepared statements, which all callers use."""

LONG_TEXT = 40_000
"""Characters of a long text."""


class Request:
    """A statement that a VM's core got, and what it answered.

    Args:
        transaction: number of the transaction that it belongs to, 0 for none.
        text: what must run for it.
        values: the session values with which it must run.
    """

    def __init__(self, *, vm, session, statement, transaction, at, text, values):
        self.vm = vm
        self.session = session
        self.statement = statement
        self.transaction = transaction
        self.at = at
        self.text = text
        self.values = values
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

    def make(self, word, writes=False):
        """Return a statement; a read or write if only its word is given.

        Args:
            writes: whether what it executes writes.
        """
        text = {"READ": "READ x", "WRITE": "WRITE x 1"}.get(word, word)
        statement = make_statement(self.world.allocate_request(), text)
        if statement.kind is StatementKind.EXECUTE:
            return replace(statement, writes=writes)
        return statement


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
    """Prepares odd shapes under names that others use too, sets values, executes."""

    def act(self):
        """Send statements, some in transactions, until the connection ends."""
        prepared, name = {}, ""
        transaction = ""
        for _ in range(self.random.choice((5, 20, 100))):
            actions = ("prepare", "set", "deallocate", "end") + ("execute",) * 4
            action = self.random.choice(actions)
            if action == "set":
                text = f"SET {self.random.choice('abc')} {self.make_text()}"
            elif action == "end" and transaction:
                text = self.random.choice(("COMMIT", "ROLLBACK"))
            elif action == "end":
                text = self.random.choice(("BEGIN", "BEGIN READ"))
            elif action == "prepare" or not prepared:
                mode = self.random.choice(("READ", "WRITE"))
                name = self.random.choice(NAMES)
                text = f"PREPARE {name} {mode} {self.make_text()}"
            elif action == "deallocate":
                name = self.random.choice(list(prepared))
                text = f"DEALLOC {name}"
            else:
                name = self.random.choice(list(prepared))
                if (prepared[name], transaction) == ("WRITE", "BEGIN READ"):
                    continue
                text = f"EXECUTE {name} k {self.make_text()}"
            answer = yield self.make(text, prepared.get(name) == "WRITE")
            if answer.refusal is not None:
                if transaction:
                    yield self.make("ROLLBACK")
                return
            if action == "end":
                transaction = "" if transaction else text
            elif text.startswith("PREPARE"):
                prepared[name] = mode
            elif action == "deallocate":
                del prepared[name]
            yield self.random.choice((0.0, 0.0, 0.05, 0.3))

    def make_text(self):
        """Return a word, or several that blanks and lone line ends separate."""
        texts = ("q1", "q1 WRITE pc", "s1 READ q1", "q\t1", "q1 ", "q\r\n1", "q=1")
        if self.random.random() < 0.05:
            return f"q{self.world.allocate_request()}".ljust(LONG_TEXT, "x")
        return self.random.choice(texts)


KINDS = (SingleCaller, SingleCaller, LongCaller, TransactionCaller) + (
    LeavingCaller,
    PreparedCaller,
)
"""Kinds of callers; single statements on new connections count twice."""
