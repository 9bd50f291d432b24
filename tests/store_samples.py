"""Sample objects for the tests of the store, the tickets and the operator port."""

import contextlib
import random

from siskinhold.core import Identity, NodeState
from siskinhold.core._state import Peer
from siskinhold.model import BackendServer, VmAddress, VmState, VmView
from siskinhold.store import WriteObject


def make_address(name: str, operator_port: int = 0) -> VmAddress:
    return VmAddress(
        name=name,
        host="127.0.0.1",
        peer_port=1,
        operator_port=operator_port,
        region="r",
        availability_zone="z",
    )


def make_node(name: str, *peers: Peer) -> NodeState:
    identity = Identity(address=make_address(name), incarnation=3)
    node = NodeState(identity=identity, random=random.Random(1))
    node.membership.peers = {peer.view.address.name: peer for peer in peers}
    return node


def make_peer(name: str, ticket: int, state=VmState.LIVE, heard_at=0.0) -> Peer:
    address = make_address(name)
    view = VmView(address=address, incarnation=1, state=state, beat=1, ticket=ticket)
    return Peer(view=view, heard_at=heard_at)


def make_server(name: str, host: str = "127.0.0.1", **fields) -> BackendServer:
    values = dict(name=name, host=host, port=3306, region="r", availability_zone="z")
    return BackendServer(**(values | fields))


@contextlib.asynccontextmanager
async def started(service, *arguments):
    await service.start(*arguments)
    try:
        yield service
    finally:
        await service.stop()


def write(key: str, value: bytes = b"v", version: int = 0) -> WriteObject:
    return WriteObject(key=key, value=value, expected_version=version)
