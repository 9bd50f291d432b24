"""Tests of the direct core: connection holders, and relays to them."""

import random

from siskinhold.direct import (
    AnnounceReadiness,
    CallerOpened,
    Configuration,
    ConfigurationConfirmed,
    ConfigurationRead,
    DirectState,
    HoldersUnavailable,
    OpenBackend,
    PublishConnections,
    RefuseCaller,
    RelayCaller,
    Revision,
    ServerEntry,
    ServersRead,
    TimeAdvanced,
    VmEntry,
    VmsRead,
    needs_servers,
    reduce,
)
from siskinhold.direct._holders import choose_holders

ZONES = ("a", "b", "c", "d", "e", "f")


def make_fleet(count, large=0):
    """Return VMs over six availability zones; the first ones are large."""
    fleet = []
    for index in range(count):
        fleet.append(
            VmEntry(
                name=f"vm{index}",
                host=f"10.0.0.{index}",
                relay_port=7441,
                zone=ZONES[index % 6],
                size=2000 if index < large else 500,
            )
        )
    return tuple(fleet)


def make_state(fleet, name):
    """Return the state of a VM that has just started."""
    entry = next(vm for vm in fleet if vm.name == name)
    return DirectState(
        vm=name,
        zone=entry.zone,
        regions={zone: "east" if zone < "d" else "west" for zone in ZONES},
        grace=6.0,
        random=random.Random(1),
    )


def start(fleet, name, connections=53):
    """Return the state of a VM that knows the fleet, and its effects so far."""
    state = make_state(fleet, name)
    configuration = Configuration(
        version=1, routes={}, connections={"db": connections}, idle_transaction=3.0
    )
    server = ServerEntry(
        server="s1",
        service="db",
        host="10.1.0.1",
        port=1,
        zone="a",
        slots=6,
        draining=False,
        leads=True,
        started=1,
    )
    out = reduce(state, ConfigurationRead(at=1.0, configuration=configuration))
    out += reduce(
        state, ServersRead(at=1.1, revision=Revision(number=1), entries=(server,))
    )
    out += reduce(state, VmsRead(at=1.2, vms=fleet))
    out += reduce(state, TimeAdvanced(at=1.3))
    return state, out


class TestChoice:
    def test_small_fleet_holds_everywhere(self):
        """Guards against relays though every VM could hold a pool."""
        fleet = make_fleet(9)
        assert choose_holders(fleet, 34) == list(fleet)

    def test_large_fleet_has_two_large_vms_in_each_zone(self):
        """Guards against more holders than a server accepts connections from."""
        holders = choose_holders(make_fleet(86, large=12), 53)
        assert len(holders) == 12
        assert all(vm.size == 2000 for vm in holders)
        assert sorted(vm.zone for vm in holders) == sorted(ZONES * 2)

    def test_does_not_depend_on_the_order_of_the_list(self):
        """Guards against VMs that choose different holders."""
        fleet = make_fleet(86)
        mixed = tuple(reversed(fleet))
        assert set(choose_holders(fleet, 53)) == set(choose_holders(mixed, 53))

    def test_connections_suffice_for_all_holders(self):
        """Guards against more connections than a server accepts."""
        for count in (5, 9, 17, 18, 30, 86, 300):
            for connections in (8, 34, 53, 104):
                holders = choose_holders(make_fleet(count), connections)
                assert holders
                assert len(holders) * 2 <= connections


class TestStartWithoutConfiguration:
    """Reads of a large deployment's configuration by all VMs saturate a slow link."""

    def start(self, name, connections=53):
        """Return the state of a VM that knows only the fleet, and its effects."""
        fleet = make_fleet(86, large=12)
        state = make_state(fleet, name)
        out = reduce(state, TimeAdvanced(at=1.0))
        out += reduce(state, VmsRead(at=1.1, vms=fleet, connections=connections))
        out += reduce(state, TimeAdvanced(at=1.2))
        return state, out

    def test_vm_that_only_relays_does_not_need_it(self):
        """Guards against a configuration read by VMs that only relay."""
        state, out = self.start("vm84")
        assert not needs_servers(state)
        assert AnnounceReadiness(ready=True) in out
        out = reduce(state, CallerOpened(at=2.0, session=1, database="x"))
        assert [e for e in out if isinstance(e, RelayCaller)]

    def test_holder_needs_it(self):
        """Guards against a holder that is ready before it knows the routes."""
        state, out = self.start("vm0")
        assert needs_servers(state)
        assert AnnounceReadiness(ready=True) not in out
        reduce(state, CallerOpened(at=2.0, session=1, database="x"))
        assert 1 in state.pending_callers

    def test_likely_holders_read_it_while_nothing_is_published(self):
        """Guards against a first start in which nobody reads the configuration, or in
        which all VMs do."""
        readers = []
        for vm in make_fleet(86, large=12):
            state, _ = self.start(vm.name, connections=0)
            if needs_servers(state):
                readers.append(vm)
        assert len(readers) == 12
        assert all(vm.size == 2000 for vm in readers)
        assert sorted(vm.zone for vm in readers) == sorted(ZONES * 2)

    def test_all_read_it_if_nothing_is_published_for_long(self):
        """Guards against VMs that wait for ever for a holder that is down."""
        state, _ = self.start("vm84", connections=0)
        assert not needs_servers(state)
        reduce(state, TimeAdvanced(at=4.1))
        assert needs_servers(state)

    def test_caller_is_not_kept_waiting_for_the_publication(self):
        """Guards against callers that are refused as their VM waits for a holder."""
        state, _ = self.start("vm84", connections=0)
        reduce(state, CallerOpened(at=1.3, session=1, database="x"))
        assert needs_servers(state)

    def test_published_limit_ends_the_wait(self):
        """Guards against a VM of a small fleet that never becomes a holder."""
        fleet = make_fleet(24)
        for vm in fleet:
            state = make_state(fleet, vm.name)
            reduce(state, TimeAdvanced(at=1.0))
            reduce(state, VmsRead(at=1.1, vms=fleet))
            reduce(state, VmsRead(at=1.9, vms=fleet, connections=117))
            assert state.is_holder
            assert needs_servers(state)

    def test_vm_whose_holders_are_all_lost_reads_it(self):
        """Guards against callers refused as if their database were unknown."""
        state, _ = self.start("vm84")
        lost = tuple(vm.name for vm in state.holders)
        reduce(state, HoldersUnavailable(at=2.0, silent=lost))
        out = reduce(state, CallerOpened(at=2.1, session=1, database="x"))
        assert not [e for e in out if isinstance(e, RefuseCaller)]
        assert needs_servers(state)

    def test_lost_holders_are_forgotten_after_a_while(self):
        """Guards against an entry for each VM that was ever replaced."""
        state, _ = self.start("vm84")
        for number in range(50):
            lost = HoldersUnavailable(at=2.0 + 60 * number, silent=(f"old{number}",))
            reduce(state, lost)
        assert list(state.skipped_holders) == ["old49"]

    def test_configuration_that_is_not_followed_is_not_used(self):
        """Guards against callers that are served by a withdrawn route, as their VM
        relayed them until all its holders were lost."""
        fleet = make_fleet(86, large=12)
        state, _ = start(fleet, "vm84")
        assert not needs_servers(state)
        lost = tuple(vm.name for vm in state.holders)
        reduce(state, HoldersUnavailable(at=20.0, silent=lost))
        out = reduce(state, CallerOpened(at=20.1, session=1, database="x"))
        assert out == []
        assert 1 in state.pending_callers
        assert needs_servers(state)
        older = Configuration(
            version=0, routes={}, connections={"db": 53}, idle_transaction=3.0
        )
        reduce(state, ConfigurationRead(at=20.2, configuration=older))
        assert state.configuration is None
        newest = Configuration(
            version=1, routes={}, connections={"db": 53}, idle_transaction=3.0
        )
        reduce(state, ConfigurationRead(at=20.3, configuration=newest))
        out = reduce(state, ConfigurationConfirmed(at=20.3, confirmed_at=20.2))
        assert [e for e in out if isinstance(e, RefuseCaller)]

    def test_relayed_caller_that_waits_is_not_relayed_again(self):
        """Guards against a relay loop once the caller's wait is over."""
        state, _ = self.start("vm84")
        reduce(state, CallerOpened(at=2.0, session=1, database="x", relayed=True))
        out = reduce(state, TimeAdvanced(at=2.1))
        assert not [e for e in out if isinstance(e, RelayCaller)]
        assert 1 in state.pending_callers

    def test_first_holder_publishes_the_connections_once(self):
        """Guards against a limit that is never published, or published repeatedly."""
        fleet = make_fleet(86, large=12)
        written = []
        for vm in fleet:
            state, out = start(fleet, vm.name)
            out += reduce(state, VmsRead(at=1.5, vms=fleet))
            found = [e for e in out if isinstance(e, PublishConnections)]
            written.extend((vm.name, e.connections) for e in found)
            later = reduce(state, VmsRead(at=9.0, vms=fleet, connections=53))
            assert not [e for e in later if isinstance(e, PublishConnections)]
        assert written == [(choose_holders(fleet, 53)[0].name, 53)]


class TestRelays:
    def test_go_to_a_holder_of_the_zone_first(self):
        """Guards against unnecessary traffic between availability zones."""
        state, out = start(make_fleet(86, large=12), "vm84")
        assert not state.is_holder
        assert not [e for e in out if isinstance(e, OpenBackend)]
        out = reduce(state, CallerOpened(at=2.0, session=1, database="x"))
        relay = next(e for e in out if isinstance(e, RelayCaller))
        assert relay.holders[0].zone == state.zone
        assert len(relay.holders) > 1

    def test_pass_over_a_lost_holder(self):
        """Guards against callers that each wait for the timeout of a dead holder."""
        state, _ = start(make_fleet(86, large=12), "vm84")
        out = reduce(state, CallerOpened(at=2.0, session=1, database="x"))
        first = next(e for e in out if isinstance(e, RelayCaller)).holders[0]
        reduce(state, HoldersUnavailable(at=2.1, silent=(first.name,)))
        out = reduce(state, CallerOpened(at=2.2, session=2, database="x"))
        relay = next(e for e in out if isinstance(e, RelayCaller))
        assert first not in relay.holders

    def test_relayed_callers_are_not_relayed_again(self):
        """Guards against a relay loop between VMs."""
        state, _ = start(make_fleet(86, large=12), "vm84")
        out = reduce(state, CallerOpened(at=2.0, session=1, database="x", relayed=True))
        assert not [e for e in out if isinstance(e, RelayCaller)]
