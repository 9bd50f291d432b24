"""What VMs tell each other of the store when one of them is cut off from it.

A VM that can't read the store asks other VMs for a newer configuration and list of
servers. Without that, it would go on by an old configuration for callers that other
VMs, which reach the store, relay to it.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from ..direct import (
    Configuration,
    ConfigurationRead,
    DirectState,
    Event,
    Log,
    ServerEntry,
    ServersRead,
)
from ._clock import read_clock
from ._http import HttpAnswer, HttpClient, HttpFailure

SNAPSHOT_PATH = "/knowledge"
"""Path on the port between VMs; the known version and revision follow."""

REQUEST_INTERVAL = 0.7
"""Seconds between two questions while the store can't be read."""

REQUEST_TIMEOUT = 0.5
"""Seconds until an answer of another VM is given up."""

PEERS_PER_ROUND = 2
"""VMs that are asked each time."""


class StoreSnapshot(msgspec.Struct, kw_only=True, frozen=True):
    """What a VM knows from the store.

    Args:
        configuration: the configuration in force; None if the asker has it.
        revision: store revision of the list of servers.
        servers: the entries, empty if the asker has the list.
    """

    configuration: Configuration | None = None
    revision: int = -1
    servers: tuple[ServerEntry, ...] = ()


def answer_snapshot(state: DirectState, path: str) -> HttpAnswer | None:
    """Return what this VM knows that is newer than the path says, 204 if nothing."""
    parts = path.split("/")
    if len(parts) != 4 or not parts[2].isdigit() or not parts[3].isdigit():
        return None
    version, revision = int(parts[2]), int(parts[3])
    configuration = state.configuration
    if configuration is not None and configuration.version <= version:
        configuration = None
    entries = ()
    if state.servers_revision > revision:
        entries = tuple(s.entry for s in state.servers.values() if s.gone_at is None)
    if configuration is None and not entries:
        return HttpAnswer(status=204, body=b"")
    snapshot = StoreSnapshot(
        configuration=configuration, revision=state.servers_revision, servers=entries
    )
    return HttpAnswer(status=200, body=msgspec.json.encode(snapshot))


async def request_snapshots(
    state: DirectState,
    emit: Callable[[Event], None],
    is_store_unreadable: Callable[[], bool],
    write_line: Callable[[Log], None],
) -> None:
    """Ask other VMs again and again while the store can't be read; never returns.

    Args:
        is_store_unreadable: whether it can't be read now.
        write_line: takes the log lines.
    """
    generator = random.Random(state.vm)
    while True:
        await asyncio.sleep(REQUEST_INTERVAL)
        peers = [vm for vm in state.holders if vm.name != state.vm]
        if not is_store_unreadable() or not peers:
            continue
        for vm in generator.sample(peers, min(PEERS_PER_ROUND, len(peers))):
            snapshot = await _request_snapshot(state, vm.host, vm.information_port)
            if snapshot is None:
                continue
            write_line(
                Log(
                    event="knowledge_taken",
                    fields=(
                        ("from", vm.name),
                        ("revision", snapshot.revision),
                        ("configuration", snapshot.configuration is not None),
                    ),
                    essential=True,
                )
            )
            _emit_snapshot(snapshot, emit)


async def _request_snapshot(
    state: DirectState, host: str, port: int
) -> StoreSnapshot | None:
    version = state.configuration.version if state.configuration is not None else 0
    client = HttpClient(host=host, port=port)
    target = f"{SNAPSHOT_PATH}/{version}/{max(0, state.servers_revision)}"
    try:
        answer = await client.request("GET", target, timeout=REQUEST_TIMEOUT)
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.body, type=StoreSnapshot)
    except (HttpFailure, msgspec.DecodeError):
        # The VM may be gone; another one is asked next.
        return None
    finally:
        client.close()


def _emit_snapshot(snapshot: StoreSnapshot, emit: Callable[[Event], None]) -> None:
    now = read_clock()
    if snapshot.configuration is not None:
        emit(ConfigurationRead(at=now, configuration=snapshot.configuration))
    if snapshot.servers:
        emit(ServersRead(at=now, revision=snapshot.revision, entries=snapshot.servers))
