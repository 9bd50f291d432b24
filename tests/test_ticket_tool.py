"""The ticket tool against the trial store and an operator port."""

import asyncio

import msgspec
import pytest
import pytest_asyncio
from hypothesis import given, strategies as st
from result import Err, Ok
from store_samples import (
    make_address,
    make_node,
    make_peer,
    make_server,
    started,
    write,
)

from siskinhold.adapters import OperatorServer, StoreClient
from siskinhold.model import (
    ChangeTicket,
    Database,
    DatabaseGroup,
    Reservation,
    TermRecord,
    TermStart,
    VmState,
)
from siskinhold.programs import ticket as tool
from siskinhold.programs._ticket_store import StoreFaultKind, submit_ticket
from siskinhold.programs.timeline import parse_pairs
from siskinhold.store import ReadObject, decode_term, encode_term, term_key
from siskinhold.tickets import TicketFault, TicketState, check_ticket, diff_states
from siskinhold_trial.store import Outage, StoreEngine, StoreFaults, StoreServer, VmList


def make_ticket(number: int, author: str = "a", identity: str = "") -> ChangeTicket:
    servers = tuple(
        make_server(f"d-{index}", port=4000 + index, slots=number) for index in range(3)
    )
    database = Database(name="d", primary="d-0", servers=servers)
    return ChangeTicket(
        number=number,
        author=author,
        identity=identity or f"{author}{number}",
        reason=f"reason of {author}",
        groups=(DatabaseGroup(name="g", databases=(database,)),),
    )


class ToolHarness:
    """A trial store, and the tool's commands run against it."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.engine = StoreEngine()
        self.server = StoreServer(engine=self.engine, vms=VmList())
        self.files = 0

    def write_file(self, ticket: ChangeTicket):
        self.files += 1
        path = self.folder / f"{self.files}.json"
        path.write_bytes(msgspec.json.encode(ticket))
        return path

    async def run(self, command, operator: str = ""):
        options = tool.Options(
            command=command, store=self.server.url, operator=operator
        )
        return await tool.run(options)

    async def apply(self, ticket: ChangeTicket, wait=None, operator: str = ""):
        file = self.write_file(ticket)
        return await self.run(tool.Apply(file=file, wait=wait), operator)


@pytest_asyncio.fixture
async def harness(tmp_path):
    harness = ToolHarness(tmp_path)
    async with started(harness.server):
        yield harness


@pytest_asyncio.fixture
async def client(harness):
    async with started(StoreClient(url=harness.server.url)) as client:
        yield client


class TestCommands:
    async def test_check_diff_apply_history(self, harness):
        """A ticket is checked, compared, applied and listed."""
        assert (await harness.apply(make_ticket(1))).code == 0
        second = harness.write_file(make_ticket(2))
        assert (await harness.run(tool.Check(file=second))).code == 0
        diff = await harness.run(tool.Diff(file=second))
        paths = [line.path for line in diff.body["differences"]]
        assert paths == ["g/d/d-0.slots", "g/d/d-1.slots", "g/d/d-2.slots"]
        assert (await harness.run(tool.Apply(file=second))).code == 0
        history = await harness.run(tool.HistoryCommand())
        numbers = [item["number"] for item in history.body["tickets"]]
        assert numbers == [1, 2]
        for report in (diff, history):
            assert msgspec.json.decode(report.render(as_json=True))["result"] == "done"

    async def test_invalid_ticket(self, harness):
        """An invalid ticket is not written; guards against accepting faults."""
        assert (await harness.apply(make_ticket(5))).code == 3
        assert harness.engine.revision == 0

    async def test_gap_in_the_store(self, harness, client):
        """A missing ticket is a failure; guards against a state that never applied."""
        assert isinstance(await submit_ticket(client, make_ticket(2)), Ok)
        assert (await harness.run(tool.HistoryCommand())).code == 5

    def test_usage(self, capsys, tmp_path):
        """Wrong usage has its own exit code; guards against reporting a refusal."""
        missing = str(tmp_path / "missing.json")
        url = "http://127.0.0.1:1"
        for arguments in (
            ["bogus"],
            ["history"],
            ["history", "--store", "ftp://x"],
            ["check", missing, "--store", url],
        ):
            with pytest.raises(SystemExit) as ended:
                tool.main(arguments)
            assert ended.value.code == 2
        with pytest.raises(SystemExit) as ended:
            tool.main(["--json", "history", "--store", url])
        assert ended.value.code == 5
        capsys.readouterr()


class TestTexts:
    @given(st.text(min_size=1))
    def test_any_text_stays_in_its_line(self, text):
        """Guards against a name or text that adds a fault or a ticket to the output."""
        ticket, groups = make_ticket(1, text, text), (DatabaseGroup(name=text),)
        ticket = msgspec.structs.replace(ticket, reason=text, groups=groups)
        state = TicketState(groups={text: groups[0]})
        faults = tool.check_ticket(ticket, TicketState())
        faults += [TicketFault(kind=faults[0].kind, subject=text, detail=text)]
        taken = tool.StoreFault(kind=StoreFaultKind.NUMBER_TAKEN, winner=ticket)
        diff = diff_states(TicketState(), state)
        reports = [tool.report_faults(faults), tool.report_waiting(ticket, [text])]
        reports += [tool.report_diff(diff, number=1, digests=("", ""))]
        reports += [
            tool.report_history((ticket,)),
            tool.report_store_fault(taken, None),
        ]
        for report in reports:
            printed = report.render(as_json=False)
            assert printed.splitlines() == report.lines
            _, found, pair = printed.rpartition(" identity=")
            assert not found or parse_pairs(f"k={pair}") == [("k", text)]


class TestRaces:
    async def test_two_operators(self, harness):
        """One ticket wins, and the other operator gets its author and reason.

        Guards against a lost ticket.
        """
        first, second = await asyncio.gather(
            harness.apply(make_ticket(1, "ann")), harness.apply(make_ticket(1, "bob"))
        )
        assert sorted([first.code, second.code]) == [0, 4]
        loser, winner = (first, "bob") if first.code else (second, "ann")
        assert loser.result == "ticket_number_taken"
        assert loser.body["winner"]["author"] == winner
        assert loser.body["winner"]["reason"] == f"reason of {winner}"
        assert harness.engine.revision == 1

    async def test_both_checked_before_either_wrote(self, client):
        """The store accepts one ticket; guards against checks of outdated state."""
        results = await asyncio.gather(
            submit_ticket(client, make_ticket(1, "ann")),
            submit_ticket(client, make_ticket(1, "bob")),
        )
        refused = [result for result in results if isinstance(result, Err)]
        assert len(refused) == 1
        assert refused[0].err_value.kind is StoreFaultKind.NUMBER_TAKEN

    async def test_same_ticket_again(self, harness):
        """A repeated ticket of the same identity succeeds.

        Guards against a false refusal.
        """
        assert (await harness.apply(make_ticket(1))).code == 0
        assert (await harness.apply(make_ticket(1))).code == 0
        other = await harness.apply(make_ticket(1, identity="other"))
        assert other.code == 4
        assert harness.engine.revision == 1


class TestStoreFaults:
    async def test_answer_lost_after_effect(self, harness):
        """A ticket read back after a lost answer is accepted, not reported as taken."""
        await harness.server.set_faults(StoreFaults(lose_answers=1))
        assert (await harness.apply(make_ticket(1))).code == 0
        assert harness.engine.revision == 1
        assert harness.server.counters["write"] == 1

    async def test_change_takes_effect_after_the_timeout(self, harness, client):
        """A write may take effect after its timeout; guards against a false refusal."""
        await harness.server.set_faults(StoreFaults(delay=0.4))
        submitted = asyncio.create_task(
            submit_ticket(client, make_ticket(1), call_timeout=0.1)
        )
        await asyncio.sleep(0.3)
        await harness.server.set_faults(StoreFaults())
        assert isinstance(await submitted, Ok)
        assert harness.engine.revision == 1

    async def test_store_restored_before_the_write(self, harness, monkeypatch):
        """A ticket is not added to a history that lacks the tickets before it.

        Guards against a gap that keeps all later tickets out of force.
        """
        harness.engine.era = 1
        assert (await harness.apply(make_ticket(1))).code == 0
        copy = harness.engine.save_copy()
        assert (await harness.apply(make_ticket(2))).code == 0

        def restore_and_check(ticket, state):
            harness.engine.restore(copy, raise_era=True)
            return check_ticket(ticket, state)

        monkeypatch.setattr(tool, "check_ticket", restore_and_check)
        report = await harness.apply(make_ticket(3))
        assert (report.code, report.result) == (5, "store_restored")
        assert harness.engine.revision == 1

    async def test_store_down(self, harness, client):
        """The outcome is unknown; guards against reporting success or refusal."""
        await harness.server.set_faults(StoreFaults(down=Outage.REFUSE))
        result = await submit_ticket(client, make_ticket(1), resolve_timeout=0.2)
        assert result.err_value.kind is StoreFaultKind.NO_ANSWER
        assert (await harness.apply(make_ticket(1))).code == 5


class OperatorPort:
    """The operator port of a VM that knows two others, one being drained."""

    def __init__(self) -> None:
        leaving = make_peer("vm3", 0, VmState.LEAVING)
        self.node = make_node("vm1", make_peer("vm2", 0), leaving)
        self.server = OperatorServer(
            node=self.node,
            host="127.0.0.1",
            port=0,
            find_owner=lambda node, database, region: None,
        )

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server.port}"


@pytest_asyncio.fixture
async def fleet():
    fleet = OperatorPort()
    async with started(fleet.server):
        yield fleet


def make_change(number: int, count: int) -> ChangeTicket:
    """Return a ticket that gives the database a number of servers."""
    servers = tuple(
        make_server(f"d-{index}", port=4000 + index) for index in range(count)
    )
    database = Database(name="d", primary="d-0", servers=servers)
    group = DatabaseGroup(name="g", databases=(database,))
    return ChangeTicket(
        number=number, author="a", identity=f"a{number}", groups=(group,)
    )


def store_reservation(harness, run: str) -> TermRecord:
    """Store a term record with a promotion under way and return it."""
    start = TermStart(term=1, offset=0, primary="d-0")
    reservation = Reservation(term=2, vm="vm1", run=run)
    record = TermRecord(database="d", starts=(start,), reservation=reservation)
    value = encode_term(record).unwrap()
    assert harness.engine.call(write(term_key("d"), value)).failure is None
    return record


def read_term(harness):
    """Return the stored version of the term record, and the record."""
    (stored,) = harness.engine.call(ReadObject(key=term_key("d"))).objects
    return stored.version, decode_term(stored.key, stored.value).unwrap()


class TestServerChanges:
    """Tickets that add or remove servers of a database."""

    async def test_earlier_ticket_has_to_be_in_force(self, harness, fleet):
        """Guards against VMs that count majorities which share no server."""
        fleet.node.config.applied = 1
        assert (await harness.apply(make_change(1, 3))).code == 0
        report = await harness.apply(make_change(2, 4), operator=fleet.url)
        assert (report.code, report.result) == (8, "earlier_ticket_not_in_force")
        assert report.body["lagging"] == ["vm2"]
        assert harness.engine.revision == 1
        fleet.node.membership.peers["vm2"] = make_peer("vm2", 1)
        report = await harness.apply(make_change(2, 4), operator=fleet.url)
        assert report.code == 0

    async def test_unknown_state_of_the_vms(self, harness):
        """Guards against taking VMs that do not answer for VMs that follow."""
        assert (await harness.apply(make_change(1, 3))).code == 0
        url = "http://127.0.0.1:1"
        assert (await harness.apply(make_change(2, 4), operator=url)).code == 7
        assert (await harness.apply(make_ticket(2), operator=url)).code == 0

    async def test_promotion_under_way_begins_again(self, harness):
        """Guards against a new primary that is chosen among the servers of two
        tickets ago."""
        assert (await harness.apply(make_change(1, 3))).code == 0
        reserved = store_reservation(harness, run="r")
        assert (await harness.apply(make_change(2, 4))).code == 0
        version, record = read_term(harness)
        assert version == 2
        assert record.highest_reserved == reserved.highest_reserved
        assert record.starts == reserved.starts
        assert record.reservation.run != reserved.reservation.run

    async def test_other_changes_leave_promotions_alone(self, harness):
        """Guards against promotions that a change of other values holds up."""
        assert (await harness.apply(make_ticket(1))).code == 0
        reserved = store_reservation(harness, run="r")
        assert (await harness.apply(make_ticket(2))).code == 0
        assert read_term(harness) == (1, reserved)


class TestWait:
    async def test_in_force_on_all_live_vms(self, harness, fleet):
        """The wait ends with the last live VM; guards against ending with the first."""
        fleet.node.config.applied = 1
        applied = asyncio.create_task(
            harness.apply(make_ticket(1), wait=5.0, operator=fleet.url)
        )
        await asyncio.sleep(0.3)
        assert not applied.done()
        fleet.node.membership.peers["vm2"] = make_peer("vm2", 1)
        assert (await applied).code == 0

    async def test_lagging_vm(self, harness, fleet):
        """A lagging VM is named; guards against a timeout without a reason."""
        fleet.node.config.applied = 1
        report = await harness.apply(make_ticket(1), wait=0.3, operator=fleet.url)
        assert report.code == 6
        assert "lagging=vm2" in report.lines[0]

    async def test_operator_port_from_the_list(self, harness, fleet):
        """If a VM fails, another one is queried; guards against depending on one VM."""
        harness.server.vms.register(make_address("vm1", fleet.server.port), now=0.0)
        report = await harness.run(tool.Status(), operator="http://127.0.0.1:1")
        assert report.code == 0
        assert report.lines[0].startswith("vm=vm1 ")

    async def test_lagging_vm_list(self, harness, fleet):
        """A VM that is listed later is queried then; guards against a useless wait."""
        fleet.node.config.applied = 1
        fleet.node.membership.peers["vm2"] = make_peer("vm2", 1)
        applied = asyncio.create_task(harness.apply(make_ticket(1), wait=5.0))
        await asyncio.sleep(0.3)
        harness.server.vms.register(make_address("vm1", fleet.server.port), now=0.0)
        assert (await applied).code == 0

    async def test_ticket_in_force_that_the_store_has_lost(self, harness, fleet):
        """Guards against a number given out twice, which a wait reports as in force."""
        harness.engine.era = 1
        fleet.node.config.applied = 1
        report = await harness.apply(make_ticket(1), operator=fleet.url)
        assert (report.code, report.result) == (5, "store_restored")
        assert harness.engine.revision == 0
        fleet.node.config.applied = 0
        assert (await harness.apply(make_ticket(1), operator=fleet.url)).code == 0

    async def test_no_operator_port(self, harness):
        """A missing operator port has its own exit code, unlike a failed store."""
        assert (await harness.run(tool.Status())).code == 7
        assert (await harness.apply(make_ticket(1), wait=0.1)).code == 6
