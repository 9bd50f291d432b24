"""Proof that a promotion keeps every acknowledged commit.

A service may acknowledge a commit once `k` replicas have received it, so `k + 1` of its
`n` servers hold it. Any `n - k` servers include one of those. So a promotion needs the
logs of `n - k` servers, shown after they were kept from following a primary of an older
term: the `k` others can't acknowledge anything more among them. A majority is not
enough for that if two holders of five are out of reach.

All servers count that may hold a log: those that are draining, and those that have left
the list, as an entry may expire while its server runs, and a server that crashed comes
back with its log. One that has left the list no longer counts once another server has
its address, which got its log, or once `k` replicas have received what the primary had
committed by then. The leader record names them, for VMs that start later.

Where no replica has to acknowledge (`k` is 0), what a lost primary alone had committed
can't be kept. A majority suffices then.
"""

from ..model import Position
from ._database_state import DepartedServer
from ._effects import Log
from ._server_state import Server
from ._state import Database, DirectState, Effects
from ._types import ServerPlace, ServerReport
from .pools import find_control_connection

COVERING_DELAY = 2.5
"""Seconds without its entry after which a server counts as gone: one that was lost with
the store's data is back by then."""


def count_acknowledging(state: DirectState, database: Database) -> int:
    """Return how many replicas must have received a commit before it is acknowledged.

    A service that the configuration no longer names keeps its last number.
    """
    configuration = state.configuration
    if configuration is not None and database.name in configuration.connections:
        number = configuration.acknowledging.get(database.name, 0)
        database.acknowledging = number
    return database.acknowledging


def count_logs_needed(state: DirectState, database: Database) -> int:
    """Return how many servers have to show their logs for a promotion, 0 for any."""
    acknowledging = count_acknowledging(state, database)
    if not acknowledging:
        return 0
    servers = len(list_log_servers(state, database))
    # At least the primary and those that acknowledge exist.
    return max(servers, acknowledging + 1) - acknowledging


def list_log_servers(state: DirectState, database: Database) -> set[str]:
    """Return the names of all servers that may hold acknowledged commits."""
    places = set()
    for member in state.members(database.name):
        if member.gone_at is None:
            places.add((member.entry.host, member.entry.port))
    found = set(database.departed)
    for member in state.members(database.name):
        place = (member.entry.host, member.entry.port)
        if member.gone_at is None or place not in places:
            found.add(member.entry.server)
    return found


def list_reachable_logs(state: DirectState, database: Database) -> list[Server]:
    """Return the servers that this VM reaches and that have kept their logs."""
    found = []
    for member in state.members(database.name):
        if member.down_at is not None or member.log_lost:
            continue
        if find_control_connection(member) is not None:
            found.append(member)
    return found


def shows_enough_logs(state: DirectState, database: Database, shown: set[str]) -> bool:
    """Return whether the servers that were fenced hold every acknowledged commit."""
    complete = 0
    for member in state.members(database.name):
        if member.entry.server in shown and not member.log_lost:
            complete += 1
    return complete >= count_logs_needed(state, database)


def note_report(
    state: DirectState, server: Server, status: ServerReport, out: Effects
) -> None:
    """Note the end of a server's received log.

    In the same term it only grows, so a server that shows less than before has lost its
    log and shows nothing of what was acknowledged.
    """
    server.received = status.received
    held = server.held
    if held is None or status.term > server.held_term or status.received >= held:
        server.held = status.received
        server.held_term = max(status.term, server.held_term)
        server.log_lost = False
        return
    if status.term == server.held_term and not server.log_lost:
        server.log_lost = True
        fields = (
            ("server", server.entry.server),
            ("received", status.received),
            ("held", held),
        )
        out.append(Log(event="log_lost", fields=fields, essential=True))


def list_places(state: DirectState, database: Database) -> tuple[ServerPlace, ...]:
    """Return the servers that may hold acknowledged commits, for the leader record.

    It is empty where no replica acknowledges commits.
    """
    if not count_acknowledging(state, database):
        return ()
    found = []
    for name in list_log_servers(state, database):
        departed = database.departed.get(name)
        entry = departed or state.servers[name].entry
        found.append(ServerPlace(server=name, host=entry.host, port=entry.port))
    return tuple(sorted(found))


def learn_servers(
    state: DirectState, database: Database, places: tuple[ServerPlace, ...]
) -> None:
    """Count the servers that another VM has recorded and this one does not know."""
    if not count_acknowledging(state, database):
        return
    listed = set()
    for member in state.members(database.name):
        if member.gone_at is None:
            listed.add((member.entry.host, member.entry.port))
    for place in places:
        if place.server in state.servers or place.server in database.departed:
            continue
        if place.server in database.covered or (place.host, place.port) in listed:
            continue
        database.departed[place.server] = DepartedServer(
            host=place.host, port=place.port, left_at=state.now
        )


def depart(state: DirectState, database: Database, server: Server) -> None:
    """Remember a server that is removed from the state, if it may hold commits."""
    if not count_acknowledging(state, database):
        return
    if server.entry.server not in list_log_servers(state, database):
        return
    database.departed[server.entry.server] = DepartedServer(
        host=server.entry.host,
        port=server.entry.port,
        left_at=state.now,
        held=server.held,
        held_term=server.held_term,
    )


def welcome(state: DirectState, database: Database, server: Server) -> None:
    """Stop counting servers in whose place a listed one has come.

    It has to show at least what the server had that left its address.
    """
    database.covered.discard(server.entry.server)
    place = (server.entry.host, server.entry.port)
    for name, departed in list(database.departed.items()):
        if name != server.entry.server and (departed.host, departed.port) != place:
            continue
        del database.departed[name]
        _expect_log(server, departed.held, departed.held_term)
    for member in state.members(database.name):
        if member is server or member.gone_at is None:
            continue
        if (member.entry.host, member.entry.port) == place:
            _expect_log(server, member.held, member.held_term)


def _expect_log(server: Server, held: Position | None, term: int) -> None:
    """Note what a server has to show, as its log was transferred to it."""
    if held is None or server.held is not None and server.held >= held:
        return
    server.held = held
    server.held_term = max(term, server.held_term)


def forget_covered(state: DirectState, database: Database, out: Effects) -> None:
    """Stop counting departed servers whose commits others hold; at each tick."""
    leader = state.leader_of(database)
    if not database.departed or leader is None or leader.evidence is None:
        return
    needed = count_acknowledging(state, database)
    for name, departed in list(database.departed.items()):
        if departed.reference is None:
            if leader.evidence.sent_at >= departed.left_at + COVERING_DELAY:
                departed.reference = leader.evidence.position
            continue
        covering = 0
        for member in state.members(database.name):
            if member is leader or not member.usable or member.evidence is None:
                continue
            covering += member.evidence.position >= departed.reference
        if covering < needed:
            continue
        del database.departed[name]
        database.covered.add(name)
        fields = (
            ("database", database.name),
            ("server", name),
            ("position", departed.reference),
            ("holders", covering + 1),
        )
        out.append(Log(event="departed_server_covered", fields=fields, essential=True))
