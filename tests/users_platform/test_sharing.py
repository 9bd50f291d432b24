"""Tests of the exchange of store data between VMs while the store can't be read."""

import random

import pytest

from siskinhold.direct import (
    Configuration,
    ConfigurationConfirmed,
    ConfigurationRead,
    CopySource,
    DirectState,
    Revision,
    ServerEntry,
    ServersRead,
    TimeAdvanced,
    VmEntry,
    VmsRead,
    is_current,
    reduce,
)
from siskinhold.lines._clock import read_clock
from siskinhold.lines._http import HttpServer
from siskinhold.lines._sharing import VM_LIST_PATH, _update_from_peer, answer_snapshot

ZONES = {"a": "east", "b": "west"}


def make_vms(count: int) -> tuple[VmEntry, ...]:
    """Return VMs of one availability zone; the first two are large."""
    vms = []
    for index in range(count):
        vms.append(
            VmEntry(
                name=f"vm{index}",
                host="127.0.0.1",
                relay_port=7441,
                zone="a",
                size=2000 if index < 2 else 500,
            )
        )
    return tuple(vms)


def make_state(name: str) -> DirectState:
    """Return the state of a VM that has just started and knows nothing."""
    state = DirectState(
        vm=name, zone="a", regions=ZONES, grace=6.0, random=random.Random(1)
    )
    reduce(state, TimeAdvanced(at=1.0))
    return state


def make_peer(vms: tuple[VmEntry, ...]) -> DirectState:
    """Return the state of a holder that knows all that the store held."""
    state = make_state("vm0")
    configuration = Configuration(
        version=7, routes={}, connections={"db": 20}, idle_transaction=3.0
    )
    reduce(state, ConfigurationRead(at=1.0, configuration=configuration))
    reduce(state, VmsRead(at=1.1, vms=vms, connections=20))
    return state


def make_list(revision: Revision, *servers: str) -> ServersRead:
    """Return a list of servers."""
    entries = []
    for name in servers:
        entries.append(
            ServerEntry(
                server=name,
                service="db",
                host="127.0.0.1",
                port=1,
                zone="a",
                slots=2,
                draining=False,
                leads=False,
                started=1,
            )
        )
    return ServersRead(at=3.0, revision=revision, entries=tuple(entries))


async def update_from(peer: DirectState, state: DirectState) -> list[str]:
    """Have a VM request what it lacks from another one; return the paths."""
    asked = []

    def answer(path):
        asked.append(path)
        return answer_snapshot(peer, path)

    server = HttpServer(host="127.0.0.1", port=0, answer=answer)
    await server.start()
    port = server._server.sockets[0].getsockname()[1]
    await _update_from_peer(
        state,
        "127.0.0.1",
        port,
        lambda event: reduce(state, event),
        lambda entry: None,
    )
    await server.stop()
    return asked


class TestOutage:
    @pytest.mark.parametrize(
        ("name", "needed"), [("vm1", True), ("vm30", False), ("unlisted", True)]
    )
    async def test_only_holders_ask_for_the_configuration(self, name, needed):
        """Guards against a configuration for each VM of a fleet that restarts while
        the store is away, from the few VMs that are asked; a VM that nobody lists
        serves its callers itself."""
        peer = make_peer(make_vms(60))
        state = make_state(name)
        # The time until which it waits for the list of VMs has passed.
        reduce(state, TimeAdvanced(at=2.1))
        asked = await update_from(peer, state)
        assert asked[0] == VM_LIST_PATH
        assert (len(asked) == 2) == needed
        assert (state.configuration is not None) == needed
        assert state.vms_known == (name != "unlisted")

    def test_list_of_vms_has_no_configuration(self):
        """Guards against a large answer to a VM that only relays its callers."""
        peer = make_peer(make_vms(60))
        answer = answer_snapshot(peer, VM_LIST_PATH)
        assert answer.status == 200
        assert b"idle_transaction" not in answer.body
        assert answer_snapshot(make_state("vm3"), VM_LIST_PATH).status == 204


class TestEras:
    @pytest.mark.parametrize(
        ("known", "other", "newest"),
        [
            (Revision(era=1, number=90), Revision(era=2, number=20), "new"),
            (Revision(era=2, number=20), Revision(era=1, number=90), "old"),
            (Revision(era=1, number=90), Revision(era=3, number=90), "new"),
            (Revision(number=90), Revision(era=1, number=20), "new"),
            (Revision(era=1, number=20), Revision(number=90), "old"),
        ],
    )
    async def test_list_of_a_newer_era_replaces_that_of_an_older_one(
        self, known, other, newest
    ):
        """Guards against a VM without the store that goes on with servers of before a
        restore, or goes back to them."""
        vms = make_vms(3)
        state, peer = make_peer(vms), make_peer(vms)
        reduce(state, make_list(known, "old"))
        reduce(peer, make_list(other, "new"))
        await update_from(peer, state)
        assert newest in state.servers
        assert state.servers_revision == max(known, other)
        # An answer may arrive after this VM has learned of the newer era itself.
        reduce(state, make_list(min(known, other), "late"))
        assert "late" not in state.servers

    async def test_vm_of_an_older_version_is_asked_and_answered(self):
        """Guards against VMs that learn nothing from each other during an update."""
        vms = make_vms(3)
        state, peer = make_state("vm1"), make_peer(vms)
        reduce(state, TimeAdvanced(at=2.1))
        reduce(peer, make_list(Revision(era=1, number=20), "new"))
        # A VM that knows of no era asks in the form that all versions answer.
        assert await update_from(peer, state) == [VM_LIST_PATH, "/knowledge/0/0"]
        assert state.servers_revision == Revision(era=1, number=20)

    async def test_known_list_is_not_sent_again(self):
        """Guards against the whole list in each answer while the store is away."""
        state, peer = make_state("vm1"), make_peer(make_vms(3))
        reduce(state, TimeAdvanced(at=2.1))
        reduce(peer, make_list(Revision(era=1, number=20), "new"))
        await update_from(peer, state)
        asked = await update_from(peer, state)
        assert answer_snapshot(peer, asked[-1]).status == 204

    @pytest.mark.parametrize("late", [Revision(era=1, number=90), Revision(number=99)])
    def test_older_list_does_not_replace_one_that_waits_for_the_configuration(
        self, late
    ):
        """Guards against a VM that starts with the servers of before a restore."""
        state = make_state("vm1")
        reduce(state, make_list(Revision(era=2, number=20), "new"))
        reduce(state, make_list(late, "old"))
        configuration = make_peer(make_vms(1)).configuration
        reduce(state, ConfigurationRead(at=4.0, configuration=configuration))
        assert list(state.servers) == ["new"]


class TestConfirmation:
    async def test_copy_of_a_vm_that_is_current_confirms_the_own_one(self):
        """Guards against a VM without the store that refuses what it knows."""
        now = read_clock()
        peer, state = make_peer(make_vms(3)), make_state("vm1")
        reduce(state, TimeAdvanced(at=now))
        reduce(peer, ConfigurationConfirmed(at=now, confirmed_at=now - 1.0))
        await update_from(peer, state)
        assert now - 1.5 < state.copy.confirmed_at <= now - 1.0
        assert state.copy.source is CopySource.VM

    async def test_older_copy_of_a_vm_confirms_nothing(self):
        """Guards against a newer copy that is taken for current by an older one."""
        now = read_clock()
        peer, state = make_peer(make_vms(3)), make_peer(make_vms(3))
        newer = Configuration(
            version=8, routes={}, connections={"db": 20}, idle_transaction=3.0
        )
        reduce(state, ConfigurationRead(at=now, configuration=newer))
        reduce(peer, ConfigurationConfirmed(at=now, confirmed_at=now))
        await update_from(peer, state)
        assert not is_current(state)
        assert state.configuration.version == 8

    async def test_copy_that_was_confirmed_long_ago_confirms_nothing(self):
        """Guards against VMs without the store that confirm each other's copies."""
        now = read_clock()
        peer, state = make_peer(make_vms(3)), make_state("vm1")
        reduce(state, TimeAdvanced(at=now))
        reduce(peer, ConfigurationConfirmed(at=now, confirmed_at=now - 60.0))
        await update_from(peer, state)
        assert state.configuration.version == 7
        assert not is_current(state)
