"""Callers of accounts that another VM serves."""

import hashlib
import secrets

from .._state import DirectState
from .._types import VmEntry
from ._homes import rank_homes

MAX_HOMES = 3
"""Holders that are named for an account: its home and the next ones."""

MAX_KNOWN_KEYS = 4096
"""Keys whose homes a VM remembers."""

_DIGEST_KEY = secrets.token_bytes(16)
"""Makes digests of keys useless outside of this process."""


def list_home_targets(state: DirectState, account: str, home: VmEntry) -> list[VmEntry]:
    """Return an account's home and the holders that would serve it next."""
    targets = [home]
    for vm in rank_homes(state, account):
        if len(targets) < MAX_HOMES and vm.name not in (home.name, state.vm):
            targets.append(vm)
    return targets


def note_homes(state: DirectState, key: str, vms: tuple[str, ...]) -> None:
    """Remember which VMs serve a key's account."""
    homes = state.accounts.homes
    digest = _make_digest(key)
    homes[digest] = vms[:MAX_HOMES]
    homes.move_to_end(digest)
    if len(homes) > MAX_KNOWN_KEYS:
        homes.popitem(last=False)


def list_known_homes(state: DirectState, key: str) -> list[VmEntry]:
    """Return the remembered VMs for a key that are still registered."""
    if not state.accounts.homes or not key:
        return []
    names = state.accounts.homes.get(_make_digest(key), ())
    known = {vm.name: vm for vm in state.vms}
    return [known[name] for name in names if name in known]


def _make_digest(key: str) -> bytes:
    """Return a digest by which a key is remembered without being kept."""
    return hashlib.blake2b(key.encode(), key=_DIGEST_KEY, digest_size=16).digest()
