"""Exchange of cached store data between VMs while a VM can't read the store.

A VM that can't read the store requests a newer configuration and server list from
connection holders. Otherwise it would use an outdated configuration for callers that
are relayed to it by VMs that can read the store. A VM that starts while it can't read
the store knows no holders; it asks the seeds of its settings for the list of VMs too.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from ..counts import parse_count
from ..direct import (
    Configuration,
    ConfigurationConfirmed,
    ConfigurationRead,
    CopySource,
    DirectState,
    Event,
    Log,
    Revision,
    ServerEntry,
    ServersRead,
    VmEntry,
    VmsRead,
    compute_confirmed_period,
    needs_servers,
)
from ._clock import read_clock
from ._http import HttpAnswer, HttpClient, HttpFailure

SNAPSHOT_PATH = "/knowledge"
"""Path of snapshot requests on the port between VMs, followed by the version of the
requester's configuration, and the revision and the era of its server list."""

VM_LIST_PATH = "/knowledge/vms"
"""Path of requests for the list of VMs alone."""

REQUEST_INTERVAL = 0.7
"""Seconds between two rounds of requests while the store can't be read."""

STARTUP_REQUEST_INTERVAL = 0.15
"""The same after the start, while the VM lacks what it needs to serve callers; doubled
with each round without an answer, up to `REQUEST_INTERVAL`."""

REQUEST_TIMEOUT = 0.5
"""Seconds until a request to another VM fails."""

PEERS_PER_ROUND = 2
"""Randomly selected connection holders or seeds that are queried in each round."""


class StoreSnapshot(msgspec.Struct, kw_only=True, frozen=True):
    """A VM's cached copy of the store's configuration and lists of servers and VMs.

    It holds either the list of VMs or the rest.

    Args:
        configuration: the configuration in force, None if the requester has it.
        vms: the VMs, empty unless they were requested.
        connections: lowest connection limit of any server, 0 if it is unknown or was
            not requested.
        version: version of the sender's configuration, 0 without one.
        confirmed_age: seconds since that was known to be the newest one, None if that
            is too long ago.
        revision: number of the store revision of the list of servers.
        era: era of that revision.
        servers: the entries, empty if the requester has the list.
    """

    configuration: Configuration | None = None
    version: int = 0
    confirmed_age: float | None = None
    revision: int = -1
    era: int = 0
    servers: tuple[ServerEntry, ...] = ()
    vms: tuple[VmEntry, ...] = ()
    connections: int = 0


def answer_snapshot(state: DirectState, path: str) -> HttpAnswer | None:
    """Return a snapshot of the data that is newer than the path states.

    Returns:
        Status 204 if nothing is newer or known; None if the path is no snapshot
        request.
    """
    if path == VM_LIST_PATH:
        if not state.vms_known:
            return HttpAnswer(status=204, body=b"")
        listed = StoreSnapshot(vms=state.vms, connections=state.connections_limit)
        return HttpAnswer(status=200, body=msgspec.json.encode(listed))
    parts = path.split("/")
    # VMs of older versions don't state the era, as if the store reported none.
    if len(parts) not in (4, 5) or parts[1] != SNAPSHOT_PATH.strip("/"):
        return None
    counts = [parse_count(part) for part in parts[2:]]
    if None in counts:
        return None
    version, number, era = (*counts, 0)[:3]
    configuration = state.configuration
    if configuration is not None and configuration.version <= version:
        configuration = None
    entries = ()
    known = state.servers_revision
    if known > Revision(era=era, number=number):
        entries = tuple(s.entry for s in state.servers.values() if s.gone_at is None)
    confirmed_age = read_clock() - state.copy.confirmed_at
    if confirmed_age >= compute_confirmed_period(state):
        confirmed_age = None
    if configuration is None and not entries and confirmed_age is None:
        return HttpAnswer(status=204, body=b"")
    snapshot = StoreSnapshot(
        configuration=configuration,
        version=state.newest_version,
        confirmed_age=confirmed_age,
        revision=known.number,
        era=known.era,
        servers=entries,
    )
    return HttpAnswer(status=200, body=msgspec.json.encode(snapshot))


async def request_snapshots(
    state: DirectState,
    emit: Callable[[Event], None],
    get_seeds: Callable[[], tuple[tuple[str, int], ...]],
    is_store_unreadable: Callable[[], bool],
    write_line: Callable[[Log], None],
) -> None:
    """Request snapshots from other VMs while the store can't be read.

    Connection holders are asked, and the seeds while no holder is known. Never returns.

    Args:
        state: the core's state, which is only read.
        emit: takes the events with newer data.
        get_seeds: returns the host and control port of each seed.
        is_store_unreadable: returns whether the store can't be read now.
        write_line: takes log entries.
    """
    generator = random.Random(state.vm)
    startup_interval = STARTUP_REQUEST_INTERVAL
    while True:
        starting = not state.vms_known or state.configuration is None
        interval = startup_interval if starting else REQUEST_INTERVAL
        # Spread, as all VMs lose the store at the same time.
        await asyncio.sleep(interval * generator.uniform(0.5, 1.0))
        if not is_store_unreadable():
            continue
        if state.vms_known and not needs_servers(state):
            continue
        startup_interval = min(REQUEST_INTERVAL, 2 * startup_interval)
        peers = _list_peers(state, get_seeds())
        for host, port in generator.sample(peers, min(PEERS_PER_ROUND, len(peers))):
            if await _update_from_peer(state, host, port, emit, write_line):
                startup_interval = STARTUP_REQUEST_INTERVAL


async def _update_from_peer(
    state: DirectState,
    host: str,
    port: int,
    emit: Callable[[Event], None],
    write_line: Callable[[Log], None],
) -> bool:
    """Request what this VM lacks from another one; return whether it sent anything.

    The list of VMs comes first: it shows whether this VM needs the rest, which is
    large.
    """
    answered = False
    if not state.vms_known:
        answered = await _request(state, host, port, VM_LIST_PATH, emit, write_line)
    if needs_servers(state):
        version = state.configuration.version if state.configuration is not None else 0
        known = state.servers_revision
        path = f"{SNAPSHOT_PATH}/{version}/{max(0, known.number)}"
        if known.era:
            path += f"/{known.era}"
        answered |= await _request(state, host, port, path, emit, write_line)
    return answered


async def _request(
    state: DirectState,
    host: str,
    port: int,
    path: str,
    emit: Callable[[Event], None],
    write_line: Callable[[Log], None],
) -> bool:
    """Request a snapshot, log it and emit its data; return whether there was one."""
    sent_at = read_clock()
    snapshot = await _request_snapshot(host, port, path)
    if snapshot is None:
        return False
    write_line(
        Log(
            event="store_snapshot_received",
            fields=(
                ("from", host),
                ("revision", snapshot.revision),
                ("era", snapshot.era),
                ("configuration", snapshot.configuration is not None),
                ("version", snapshot.version),
                ("confirmed", snapshot.confirmed_age is not None),
                ("vms", len(snapshot.vms)),
            ),
            essential=True,
        )
    )
    _emit_snapshot(state, snapshot, emit, sent_at)
    return True


def _list_peers(
    state: DirectState, seeds: tuple[tuple[str, int], ...]
) -> list[tuple[str, int]]:
    """Return the addresses of the VMs to ask: holders, or seeds without holders."""
    peers = []
    for vm in state.holders:
        if vm.name != state.vm:
            peers.append((vm.host, vm.information_port))
    return peers or list(seeds)


async def _request_snapshot(host: str, port: int, path: str) -> StoreSnapshot | None:
    """Return the snapshot that a VM sends for a path, None if it sends none."""
    client = HttpClient(host=host, port=port)
    try:
        answer = await client.request("GET", path, timeout=REQUEST_TIMEOUT)
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.body, type=StoreSnapshot)
    except (HttpFailure, msgspec.DecodeError):
        # The VM may be lost; the next one is queried.
        return None
    finally:
        client.close()


def _emit_snapshot(
    state: DirectState,
    snapshot: StoreSnapshot,
    emit: Callable[[Event], None],
    sent_at: float,
) -> None:
    """Emit the configuration and the lists of servers and VMs in a snapshot.

    The list of VMs has no version, so it is used only by a VM that has none. The age of
    the sender's configuration counts from when the request was sent, which is earlier
    than its answer.
    """
    now = read_clock()
    if snapshot.vms and not state.vms_known:
        emit(VmsRead(at=now, vms=snapshot.vms, connections=snapshot.connections))
    if snapshot.configuration is not None:
        event = ConfigurationRead(
            at=now, configuration=snapshot.configuration, source=CopySource.VM
        )
        emit(event)
    known = state.configuration.version if state.configuration is not None else 0
    if snapshot.confirmed_age is not None and known and known == snapshot.version:
        confirmed_at = sent_at - snapshot.confirmed_age
        emit(ConfigurationConfirmed(at=now, confirmed_at=confirmed_at))
    if snapshot.servers:
        revision = Revision(era=snapshot.era, number=snapshot.revision)
        emit(ServersRead(at=now, revision=revision, entries=snapshot.servers))
