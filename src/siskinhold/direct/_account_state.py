"""State of client accounts at one VM."""

from collections import OrderedDict
from dataclasses import dataclass, field

from ._settings import AccountBounds
from ._types import VmEntry


@dataclass(slots=True, kw_only=True)
class Presence:
    """The newest report of another connection holder.

    Args:
        heard_at: when it arrived.
        serving: whether that VM serves client accounts.
        demands: operations a second that callers ask of it, of the accounts that come
            near their rate.
        heard: names of the holders whose reports it receives.
    """

    heard_at: float
    serving: bool
    demands: dict[str, float] = field(default_factory=dict)
    heard: frozenset[str] = frozenset()


@dataclass(slots=True, kw_only=True)
class AccountState:
    """What a VM knows of client accounts beside the configuration.

    Args:
        bounds: how promptly keys and rates must take effect.
        presences: newest reports of other holders, by name.
        reported_at: when this VM last reported its own presence.
        reported_serving: what it reported then.
        observed_at: when the gauges about accounts were last updated.
        homes: names of the VMs that serve a key's account, by the key's digest; only
            of keys whose callers this VM relays. The least recently used come first.
        ranks: orders of the holders by account.
        ranked: the list of holders that these orders are of.
    """

    bounds: AccountBounds = AccountBounds()
    presences: dict[str, Presence] = field(default_factory=dict)
    reported_at: float = -1000.0
    reported_serving: bool = False
    observed_at: float = -1000.0
    homes: OrderedDict[bytes, tuple[str, ...]] = field(default_factory=OrderedDict)
    ranks: dict[str, list[VmEntry]] = field(default_factory=dict)
    ranked: list[VmEntry] | None = None
