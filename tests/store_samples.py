"""Values that the tests of the store, the tickets and the operator port share."""

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


def make_peer(name: str, ticket: int, state=VmState.LIVE, heard_at=0.0) -> Peer:
    address = make_address(name)
    view = VmView(address=address, incarnation=1, state=state, beat=1, ticket=ticket)
    return Peer(view=view, heard_at=heard_at)


def make_server(name: str, host: str = "127.0.0.1", **fields) -> BackendServer:
    values = dict(name=name, host=host, port=3306, region="r", availability_zone="z")
    return BackendServer(**(values | fields))


def write(key: str, value: bytes = b"v", version: int = 0) -> WriteObject:
    return WriteObject(key=key, value=value, expected_version=version)
