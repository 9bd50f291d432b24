"""The search for a connection holder that accepts a relayed caller."""

import asyncio
from dataclasses import dataclass, field

from ..direct import RelayTerms, VmEntry
from ._reachability import CONNECT_TIMEOUT
from ._relay import RelayProtocol

ACCEPT_TIMEOUT = 0.6
"""Seconds that a connected holder has to accept the caller before the next is tried. A
VM that is frozen or still starting accepts connections but doesn't answer."""

SEARCH_TIMEOUT = 1.6
"""Seconds until the search for a holder ends. Callers time out after 2 s, and must be
refused before."""


@dataclass(slots=True, kw_only=True)
class RelaySearch:
    """The result of a search for a connection holder.

    Args:
        relay: the connection to the holder, None if there is none.
        silent: names of holders that did not answer in time.
        refused: names of holders that refused, as their process is down or not ready.
        behind: holders that could not confirm their configuration.
        moved: names of the VMs that serve the caller, as a holder told.
        version: newest version of the configuration that a holder told.
        unconfirmed: whether a holder accepted the caller that could not confirm its
            configuration, as no other one did.
    """

    relay: RelayProtocol | None = None
    silent: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    behind: list[VmEntry] = field(default_factory=list)
    moved: tuple[str, ...] = ()
    version: int = 0
    unconfirmed: bool = False

    @property
    def ended(self) -> bool:
        """Whether no further holder has to be tried."""
        return self.relay is not None or bool(self.moved)


async def open_relay(
    holders: tuple[VmEntry, ...],
    connect_line: bytes,
    make_protocol,
    *,
    version: int = 0,
    unconfirmed: bool = False,
) -> RelaySearch:
    """Connect to the first holder that accepts a caller.

    Holders that can't confirm their configuration are asked again, and for good, if no
    other one accepts the caller.

    Args:
        holders: the holders to try, in order of preference.
        connect_line: the caller's first line.
        make_protocol: returns a new `RelayProtocol`.
        version: newest version of the configuration that this VM has seen.
        unconfirmed: whether all of them are asked for good at once.
    """
    search = RelaySearch()
    terms = RelayTerms(version=version, last=unconfirmed)
    try:
        async with asyncio.timeout(SEARCH_TIMEOUT):
            await _search(holders, connect_line, make_protocol, terms, search)
            if search.ended or unconfirmed:
                return search
            terms = RelayTerms(version=max(version, search.version), last=True)
            again = tuple(search.behind)
            await _search(again, connect_line, make_protocol, terms, search)
            search.unconfirmed = search.relay is not None
    except TimeoutError:
        # Ends early enough that the caller is refused before its own timeout.
        return search
    return search


async def _search(
    holders: tuple[VmEntry, ...],
    connect_line: bytes,
    make_protocol,
    terms: RelayTerms,
    search: RelaySearch,
) -> None:
    """Try holders in turn until one accepts the caller or names others."""
    for holder in holders:
        search.relay = await _connect_to_holder(
            holder, connect_line, make_protocol, terms, search
        )
        if search.ended:
            return


async def _connect_to_holder(
    holder: VmEntry,
    connect_line: bytes,
    make_protocol,
    terms: RelayTerms,
    search: RelaySearch,
) -> RelayProtocol | None:
    """Return the connection to a holder, None if it doesn't accept the caller.

    A holder that doesn't is added to `search`, as silent, refusing or behind.
    """
    loop = asyncio.get_running_loop()
    protocol = make_protocol()
    protocol.holder = holder
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            await loop.create_connection(
                lambda: protocol, holder.host, holder.relay_port
            )
        if protocol.transport is None:
            raise ConnectionResetError
        protocol.send_connect_line(connect_line, terms)
        async with asyncio.timeout(ACCEPT_TIMEOUT):
            await protocol.answered.wait()
    except ConnectionError:
        search.refused.append(holder.name)
        return None
    except (OSError, TimeoutError):
        search.silent.append(holder.name)
        protocol.close()
        return None
    except asyncio.CancelledError:
        search.silent.append(holder.name)
        protocol.close()
        raise
    search.version = max(search.version, protocol.version)
    if protocol.accepted:
        return protocol
    search.moved = protocol.other_homes
    if protocol.is_behind:
        if not terms.last:
            search.behind.append(holder)
    elif not search.moved:
        search.refused.append(holder.name)
    protocol.close()
    return None
