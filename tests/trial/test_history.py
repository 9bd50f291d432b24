"""Each check must reject a constructed bad history and accept a good one."""

from siskinhold.model import (
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
from siskinhold_trial import history as checks
from siskinhold_trial.fakes import Execution, Promotion

APPEND = "UPDATE kv SET v=CONCAT(v,',{tag}') WHERE k='a' /* id={tag} */"
READ = "SELECT v, '{tag}' FROM kv WHERE k='a' /* id={tag} */"
REFUSED = NotRun(reason=NotRunReason.DEADLINE)
DONE = Done(affected_rows=1)


def call(tag, outcome=DONE, *, kind=StatementKind.WRITE, at=1.0, **fields):
    """Return an invocation that was answered at once."""
    sql = READ if kind is StatementKind.READ else APPEND
    if kind in (StatementKind.BEGIN, StatementKind.COMMIT):
        sql = kind.value + " /* id={tag} */"
    fields = {"session": "s", "vm": "vm", "answered_at": at + 0.1} | fields
    return checks.Invocation(
        tag=tag,
        kind=kind,
        sql=sql.format(tag=tag),
        called_at=at,
        outcome=outcome,
        request=RequestId("vm", 1, sum(map(ord, tag))),
        **fields,
    )


def read(tag, value, *, echo=None, **fields):
    """Return a read that returned `value` beside its tag."""
    row = (value, (echo or tag).encode())
    return call(tag, Done(rows=(row,)), kind=StatementKind.READ, **fields)


def execution(tag, *, at=1.0, position=Position(1, 1), **fields):
    """Return a committed execution."""
    fields = {"server": "db-0", "connection": 1, "form": "append", "key": ""} | fields
    return Execution(
        tag=tag,
        arrived_at=at,
        ran_at=at,
        committed_at=at,
        position=position,
        request=RequestId("vm", 1, sum(map(ord, tag))),
        **fields,
    )


def record(*executions, kept=(Position(1, 1),)):
    """Return a database whose primary was replaced at the time 5."""
    promotions = [
        Promotion(at=0, server="db-0", term=1, offset=0),
        Promotion(at=5, server="db-1", term=2, offset=1),
    ]
    return [
        checks.DatabaseRecord(
            executions=list(executions), promotions=promotions, kept=frozenset(kept)
        )
    ]


def make_history(*invocations, **fields):
    """Return a history."""
    return checks.History(invocations=list(invocations), **fields)


def get_types(violations):
    """Return the types of violations."""
    return [type(violation) for violation in violations]


class TestReadYourWrites:
    def test_read_on_another_vm(self):
        """A read after a change of VM must return the session's write."""
        for value, found in ((b"w", []), (None, [checks.ReadMissedOwnWrite])):
            moved = read("r", value, vm="other", at=2.0)
            assert (
                get_types(checks.check_read_your_writes(make_history(call("w"), moved)))
                == found
            )

    def test_foreign_and_unacknowledged_writes_are_not_required(self):
        """Guards against false violations."""
        other = call("o", session="other")
        unsure = call("u", Unknown(reason=UnknownReason.DEADLINE))
        seen = read("r", None, at=2.0)
        assert checks.check_read_your_writes(make_history(other, unsure, seen)) == []

    def test_position_lost_allows_older_reads(self):
        """After a `position_lost` answer a session may read older data."""
        told = call("q", NotRun(reason=NotRunReason.POSITION_LOST), at=1.5)
        seen = read("r", None, at=2.0)
        assert checks.check_read_your_writes(make_history(call("w"), told, seen)) == []

    def test_rolled_back_transaction(self):
        """A rolled back write is visible in its own transaction only."""
        begin = call("b", kind=StatementKind.BEGIN, transaction="b")
        write = call("w", transaction="b")
        inside = read("i", None, transaction="b")
        after = read("r", None, at=2.0)
        found = checks.check_read_your_writes(make_history(begin, write, inside, after))
        assert [violation.subject for violation in found] == ["i"]


class TestAcknowledgedWrites:
    def test_kept_and_lost(self):
        """An acknowledged write must be in the surviving log."""
        ran = execution("w")
        good = checks.check_acknowledged_kept(make_history(call("w")), record(ran))
        lost = checks.check_acknowledged_kept(
            make_history(call("w")), record(ran, kept=())
        )
        never = checks.check_acknowledged_kept(make_history(call("w")), record())
        assert get_types(good) == []
        assert get_types(lost) == get_types(never) == [checks.WriteLost]

    def test_unknown_write_may_be_lost(self):
        """Guards against requiring a write that was not acknowledged."""
        unsure = call("w", Unknown(reason=UnknownReason.DEADLINE))
        assert checks.check_acknowledged_kept(make_history(unsure), record()) == []

    def test_replaced_primary(self):
        """A write that ran after the promotion must not be acknowledged."""
        late = call("w", at=6.0)
        for at, found in ((4.9, []), (6.0, [checks.WriteOnReplacedPrimary])):
            ran = record(execution("w", at=at))
            assert (
                get_types(checks.check_replaced_primary(make_history(late), ran))
                == found
            )

    def test_new_primary_of_the_term(self):
        """A write of the new term is accepted after the promotion."""
        ran = record(execution("w", at=6.0, position=Position(2, 2)))
        assert checks.check_replaced_primary(make_history(call("w", at=6.0)), ran) == []


class TestTransactions:
    def check(self, *executions):
        begin = call("b", kind=StatementKind.BEGIN, transaction="b")
        inside = [call(tag, transaction="b") for tag in ("w1", "w2")]
        other = call("x", session="other")
        made_history = make_history(begin, *inside, other)
        return get_types(checks.check_transactions(made_history, record(*executions)))

    def test_whole_transaction(self):
        """Two statements in one transaction beside another session are accepted."""
        inside = [execution(tag, transaction=7) for tag in ("w1", "w2")]
        assert self.check(*inside, execution("x", connection=2)) == []

    def test_foreign_statement(self):
        """Another session's statement inside the transaction is rejected."""
        inside = execution("w1", transaction=7)
        foreign = execution("x", transaction=7)
        assert self.check(inside, foreign) == [checks.TransactionMixed]

    def test_split(self):
        """A transaction on two connections, or outside one, is rejected."""
        one = execution("w1", transaction=7)
        for other in (
            execution("w2", transaction=8, connection=2),
            execution("w2", transaction=0),
        ):
            assert self.check(one, other) == [checks.TransactionMixed]


class TestAnswers:
    def test_own_and_foreign_rows(self):
        """A read that got another read's rows is rejected."""
        for echo, found in (("r", []), ("q", [checks.AnswerMismatched])):
            made_history = make_history(read("r", None, echo=echo))
            assert get_types(checks.check_answers(made_history, record())) == found

    def test_partial_rows(self):
        """An incomplete answer is rejected."""
        cut = call("r", Done(), kind=StatementKind.READ)
        assert get_types(checks.check_answers(make_history(cut), record())) == [
            checks.AnswerMismatched
        ]

    def test_identity_of_another_statement(self):
        """A write answered with another's request identity is rejected."""
        ran = execution("x")
        ran.request = call("w").request
        found = checks.check_answers(make_history(call("w")), record(ran))
        assert get_types(found) == [checks.AnswerMismatched]
        assert (
            checks.check_answers(make_history(call("w")), record(execution("w"))) == []
        )

    def test_stray_answer(self):
        """An answer that no caller was waiting for is rejected."""
        made_history = make_history(stray=[RequestId("vm", 1, 1)])
        assert get_types(checks.check_answers(made_history, record())) == [
            checks.AnswerMismatched
        ]


class TestNotRun:
    def test_refused_write(self):
        """A refusal, or an error, of a write that committed is rejected."""
        error = Failed(code=1290, sqlstate="HY000", message="")
        for outcome in (REFUSED, error):
            made_history = make_history(call("w", outcome))
            assert checks.check_not_run(made_history, record()) == []
            found = checks.check_not_run(made_history, record(execution("w", at=9.0)))
            assert get_types(found) == [checks.NotRunButRan]

    def test_refused_commit(self):
        """A refused COMMIT whose transaction's write committed is rejected."""
        write = call("w", transaction="b")
        commit = call("c", REFUSED, kind=StatementKind.COMMIT, transaction="b")
        made_history = make_history(write, commit)
        assert checks.check_not_run(made_history, record()) == []
        found = checks.check_not_run(made_history, record(execution("w")))
        assert get_types(found) == [checks.NotRunButRan]

    def test_key_of_an_earlier_attempt(self):
        """A refusal after the key committed is rejected, one before is not."""
        refused = call("w", REFUSED, marks=Marks(once=True, key="k"))
        for at, found in ((0.5, [checks.NotRunButRan]), (3.0, [])):
            ran = record(execution("v", key="k", at=at))
            assert get_types(checks.check_not_run(make_history(refused), ran)) == found


class TestOnce:
    def test_key(self):
        """Two surviving commits of a key are rejected; a lost one is not."""
        marks = Marks(once=True, key="k")
        made_history = make_history(call("w", marks=marks), call("v", marks=marks))
        first = execution("w", key="k")
        second = execution("v", key="k", position=Position(1, 2))
        assert checks.check_once(made_history, record(first, second)) == []
        both = record(first, second, kept=(Position(1, 1), Position(1, 2)))
        assert get_types(checks.check_once(made_history, both)) == [checks.RanTwice]

    def test_without_key(self):
        """Any second commit of a marked statement is rejected."""
        made_history = make_history(call("w", marks=Marks(once=True)))
        first = execution("w")
        second = execution("w", position=Position(2, 1), server="db-1")
        assert checks.check_once(made_history, record(first)) == []
        found = checks.check_once(made_history, record(first, second))
        assert get_types(found) == [checks.RanTwice]


class TestDrains:
    def check(self, *executions, **fields):
        made_history = make_history(
            drains=[checks.Drain(server="db-0", at=1.0, **fields)]
        )
        return get_types(checks.check_drains(made_history, record(*executions)))

    def test_new_work(self):
        """Work more than 3 s after the ticket is rejected, earlier work is not."""
        assert self.check(execution("w", at=3.9)) == []
        assert self.check(execution("w", at=4.1)) == [checks.WorkAfterLeaving]
        assert self.check(execution("w", at=4.1), undone_at=4.0) == []

    def test_open_transaction(self):
        """A transaction that began in time may continue; a new one may not start."""
        begin = execution("b", at=2.0, transaction=7)
        late = execution("w", at=9.0, transaction=7)
        assert self.check(begin, late) == []
        assert self.check(late) == [checks.WorkAfterLeaving]


class TestShutdowns:
    def check(self, *invocations):
        life = checks.VmLife(
            vm="vm", incarnation=1, started_at=0.0, shutdown_at=5.0, ended_at=8.0
        )
        return get_types(
            checks.check_shutdowns(make_history(*invocations, lives=[life]))
        )

    def test_answered_and_cut_off(self):
        """A request in flight must get its answer, not a closed connection."""
        assert self.check(call("w", at=4.0, answered_at=6.0)) == []
        for answered_at in (6.0, None):
            cut = call("w", None, at=4.0, answered_at=answered_at)
            assert self.check(cut) == [checks.CutOffByShutdown]

    def test_statement_on_closed_connection(self):
        """A statement after the close was never sent; a waiting one is cut off."""
        sent = call("w", None, at=5.0)
        sent.answered_at = 5.01
        assert self.check(sent) == [checks.CutOffByShutdown]
        unsent = call("w", None, at=5.0)
        unsent.answered_at = unsent.called_at
        assert self.check(unsent) == []

    def test_new_statement_may_be_refused(self):
        """A statement after the start of the shutdown may be refused as not run."""
        refused = NotRun(reason=NotRunReason.SHUTDOWN)
        assert self.check(call("w", refused, at=6.0)) == []
        assert self.check(call("w", refused, at=4.0, answered_at=5.5)) == [
            checks.CutOffByShutdown
        ]

    def test_open_transaction(self):
        """A transaction open at the start of the shutdown must be able to finish."""
        begin = call("b", kind=StatementKind.BEGIN, at=4.0, transaction="b")
        cut = call("c", None, kind=StatementKind.COMMIT, at=7.0, transaction="b")
        assert self.check(begin, cut) == [checks.CutOffByShutdown]

    def test_owner_lost_for_another_vm(self):
        """A graceful shutdown must not appear as an owner loss on other entry VMs."""
        lost = Unknown(reason=UnknownReason.OWNER_LOST)
        cut = call("w", lost, at=4.0, answered_at=8.1, vm="entry")
        assert self.check(cut) == [checks.CutOffByShutdown]


class TestTickets:
    def check(self, *events, **fields):
        life = checks.VmLife(vm="vm", incarnation=1, started_at=0.0, **fields)
        tickets = [checks.TicketEvent(at=1.0, number=1, identity="a"), *events]
        return get_types(
            checks.check_tickets(make_history(lives=[life], tickets=tickets))
        )

    def applied(self, at, number=1):
        return checks.TicketEvent(at=at, number=number, vm="vm", incarnation=1)

    def test_bound(self):
        """A ticket in force too late, or never, is rejected."""
        assert self.check(self.applied(15.9)) == []
        assert self.check(self.applied(16.1)) == [checks.TicketLate]
        assert self.check() == [checks.TicketLate]

    def test_unreachable_vm(self):
        """The bound of an unreachable VM counts from when it is reachable again."""
        assert self.check(self.applied(40.0), cut_off=[(0.5, 30.0)]) == []
        assert self.check(self.applied(46.0), cut_off=[(0.5, 30.0)]) == [
            checks.TicketLate
        ]
        assert self.check(ended_at=10.0) == []

    def test_backwards(self):
        """A VM that returns to an older ticket is rejected."""
        found = self.check(self.applied(2.0, 2), self.applied(3.0, 1))
        assert found == [checks.TicketReverted]

    def test_number_accepted_twice(self):
        """Two tickets accepted under one number are rejected."""
        rival = checks.TicketEvent(at=1.5, number=1, identity="b")
        assert self.check(rival, self.applied(2.0)) == [checks.TicketReverted]
