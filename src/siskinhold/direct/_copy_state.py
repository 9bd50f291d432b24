"""State of this VM's copy of the configuration: where it was read and how old it is."""

import enum
from dataclasses import dataclass, field

from ._types import Statement


class CopySource(enum.Enum):
    """Where the configuration that is in use was read.

    Attributes:
        NONE: none has been read.
        STORE: an up-to-date read of the store.
        STALE: a read of the store that may return older data.
        WATCH: a watch reported it as a change.
        VM: another VM sent its copy.
    """

    NONE = "none"
    STORE = "store"
    STALE = "stale"
    WATCH = "watch"
    VM = "vm"


NEVER = -1000.0
"""Time of what has not happened yet."""


@dataclass(slots=True, kw_only=True)
class CopyState:
    """How current this VM's copy of the configuration is.

    Args:
        bound: seconds within which every accepted configuration must be in force.
        source: where it was read.
        confirmed_at: time before which every accepted configuration is known here. It
            is a time of the runtime's clock, which also counts standstills.
        check_began_at: when the check that is under way began, None without one.
        checked_at: when the last check ended.
        unreadable: whether a check has failed and nothing has confirmed the copy since.
        seen_version: newest version that another VM has shown to this one.
        seen_at: when that was.
        holders_unconfirmed_at: when the holders of a caller that this VM relays could
            not confirm their copies.
        waiting: statements that wait for a check, by session.
        observed_at: when its age was last reported as a metric.
    """

    bound: float = 3.0
    source: CopySource = CopySource.NONE
    confirmed_at: float = NEVER
    check_began_at: float | None = None
    checked_at: float = NEVER
    unreadable: bool = False
    seen_version: int = 0
    seen_at: float = NEVER
    holders_unconfirmed_at: float = NEVER
    waiting: dict[int, Statement] = field(default_factory=dict)
    observed_at: float = NEVER
