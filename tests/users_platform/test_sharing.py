"""Tests of the exchange of store data between VMs while the store can't be read."""

import random

import pytest

from siskinhold.direct import (
    Configuration,
    ConfigurationRead,
    DirectState,
    TimeAdvanced,
    VmEntry,
    VmsRead,
    reduce,
)
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


class TestOutage:
    @pytest.mark.parametrize(
        ("name", "needed"), [("vm1", True), ("vm30", False), ("unlisted", True)]
    )
    async def test_only_holders_ask_for_the_configuration(self, name, needed):
        """Guards against a configuration for each VM of a fleet that restarts while
        the store is away, from the few VMs that are asked; a VM that nobody lists
        serves its callers itself."""
        peer = make_peer(make_vms(60))
        asked = []

        def answer(path):
            asked.append(path)
            return answer_snapshot(peer, path)

        server = HttpServer(host="127.0.0.1", port=0, answer=answer)
        await server.start()
        port = server._server.sockets[0].getsockname()[1]
        state = make_state(name)
        # The time until which it waits for the list of VMs has passed.
        reduce(state, TimeAdvanced(at=2.1))
        await _update_from_peer(
            state,
            "127.0.0.1",
            port,
            lambda event: reduce(state, event),
            lambda entry: None,
        )
        await server.stop()
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
