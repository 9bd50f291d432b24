"""The ticket tool against the store stand-in and an operator port."""

import asyncio

import msgspec
import pytest
import pytest_asyncio
from result import Err, Ok
from store_samples import make_address, make_node, make_peer, make_server, started

from siskinhold.adapters import OperatorServer, StoreClient
from siskinhold.model import ChangeTicket, Database, DatabaseGroup, VmState
from siskinhold.programs import ticket as tool
from siskinhold.programs._ticket_store import StoreFaultKind, submit_ticket
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


class Desk:
    """A store stand-in and the tool's commands against it."""

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
async def desk(tmp_path):
    desk = Desk(tmp_path)
    async with started(desk.server):
        yield desk


@pytest_asyncio.fixture
async def client(desk):
    async with started(StoreClient(url=desk.server.url)) as client:
        yield client


class TestCommands:
    async def test_check_diff_apply_history(self, desk):
        """The usual way of a ticket; guards against a command that breaks it."""
        assert (await desk.apply(make_ticket(1))).code == 0
        second = desk.write_file(make_ticket(2))
        assert (await desk.run(tool.Check(file=second))).code == 0
        diff = await desk.run(tool.Diff(file=second))
        paths = [line.path for line in diff.body["differences"]]
        assert paths == ["g/d/d-0.slots", "g/d/d-1.slots", "g/d/d-2.slots"]
        assert (await desk.run(tool.Apply(file=second))).code == 0
        history = await desk.run(tool.HistoryCommand())
        numbers = [item["number"] for item in history.body["tickets"]]
        assert numbers == [1, 2]
        for report in (diff, history):
            assert msgspec.json.decode(report.render(as_json=True))["result"] == "done"

    async def test_invalid_ticket(self, desk):
        """Nothing is written; guards against accepting a ticket with faults."""
        assert (await desk.apply(make_ticket(5))).code == 3
        assert desk.engine.revision == 0

    async def test_gap_in_the_store(self, desk, client):
        """A missing ticket is a failure; guards against a state never in force."""
        assert isinstance(await submit_ticket(client, make_ticket(2)), Ok)
        assert (await desk.run(tool.HistoryCommand())).code == 5

    def test_usage(self, capsys, tmp_path):
        """Wrong usage has its own code; guards against taking it as a refusal."""
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


class TestRaces:
    async def test_two_operators(self, desk):
        """One wins and the other learns who; guards against a lost ticket."""
        first, second = await asyncio.gather(
            desk.apply(make_ticket(1, "ann")), desk.apply(make_ticket(1, "bob"))
        )
        assert sorted([first.code, second.code]) == [0, 4]
        loser, winner = (first, "bob") if first.code else (second, "ann")
        assert loser.result == "ticket_number_taken"
        assert loser.body["winner"]["author"] == winner
        assert loser.body["winner"]["reason"] == f"reason of {winner}"
        assert desk.engine.revision == 1

    async def test_both_checked_before_either_wrote(self, client):
        """The store decides; guards against a check that is out of date."""
        results = await asyncio.gather(
            submit_ticket(client, make_ticket(1, "ann")),
            submit_ticket(client, make_ticket(1, "bob")),
        )
        refused = [result for result in results if isinstance(result, Err)]
        assert len(refused) == 1
        assert refused[0].err_value.kind is StoreFaultKind.NUMBER_TAKEN

    async def test_same_ticket_again(self, desk):
        """The same identity is done already; guards against a false refusal."""
        assert (await desk.apply(make_ticket(1))).code == 0
        assert (await desk.apply(make_ticket(1))).code == 0
        other = await desk.apply(make_ticket(1, identity="other"))
        assert other.code == 4
        assert desk.engine.revision == 1


class TestStoreFaults:
    async def test_answer_lost_after_effect(self, desk):
        """Read-back settles it; guards against reporting it as taken."""
        await desk.server.set_faults(StoreFaults(lose_answers=1))
        assert (await desk.apply(make_ticket(1))).code == 0
        assert desk.engine.revision == 1
        assert desk.server.counters["write"] == 1

    async def test_change_takes_effect_after_the_timeout(self, desk, client):
        """An absent object is no proof; guards against a false refusal."""
        await desk.server.set_faults(StoreFaults(delay=0.4))
        submitted = asyncio.create_task(
            submit_ticket(client, make_ticket(1), call_timeout=0.1)
        )
        await asyncio.sleep(0.3)
        await desk.server.set_faults(StoreFaults())
        assert isinstance(await submitted, Ok)
        assert desk.engine.revision == 1

    async def test_store_down(self, desk, client):
        """The outcome is unknown; guards against promising either one."""
        await desk.server.set_faults(StoreFaults(down=Outage.REFUSE))
        result = await submit_ticket(client, make_ticket(1), settle_seconds=0.2)
        assert result.err_value.kind is StoreFaultKind.NO_ANSWER
        assert (await desk.apply(make_ticket(1))).code == 5


class Fleet:
    """An operator port of a VM that knows two others, one of them leaving."""

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
    fleet = Fleet()
    async with started(fleet.server):
        yield fleet


class TestWait:
    async def test_in_force_on_all_live_vms(self, desk, fleet):
        """It ends with the last live VM; guards against stopping at the first."""
        fleet.node.config.applied = 1
        applied = asyncio.create_task(
            desk.apply(make_ticket(1), wait=5.0, operator=fleet.url)
        )
        await asyncio.sleep(0.3)
        assert not applied.done()
        fleet.node.membership.peers["vm2"] = make_peer("vm2", 1)
        assert (await applied).code == 0

    async def test_vm_that_lags(self, desk, fleet):
        """It is named; guards against a wait that ends without a reason."""
        fleet.node.config.applied = 1
        report = await desk.apply(make_ticket(1), wait=0.3, operator=fleet.url)
        assert report.code == 6
        assert "lagging=vm2" in report.lines[0]

    async def test_operator_port_from_the_list(self, desk, fleet):
        """Another VM is asked for a lost one; guards against needing one VM."""
        desk.server.vms.register(make_address("vm1", fleet.server.port), now=0.0)
        report = await desk.run(tool.Status(), operator="http://127.0.0.1:1")
        assert report.code == 0
        assert report.lines[0].startswith("vm=vm1 ")

    async def test_list_that_lags(self, desk, fleet):
        """A VM that the list names later is asked then; guards a wait in vain."""
        fleet.node.config.applied = 1
        fleet.node.membership.peers["vm2"] = make_peer("vm2", 1)
        applied = asyncio.create_task(desk.apply(make_ticket(1), wait=5.0))
        await asyncio.sleep(0.3)
        desk.server.vms.register(make_address("vm1", fleet.server.port), now=0.0)
        assert (await applied).code == 0

    async def test_no_operator_port(self, desk):
        """Its own code; guards against confusing it with the store."""
        assert (await desk.run(tool.Status())).code == 7
        assert (await desk.apply(make_ticket(1), wait=0.1)).code == 6
