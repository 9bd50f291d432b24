"""State of this VM's copy of the configuration: where it was read and how old it is."""

import enum
from dataclasses import dataclass


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


@dataclass(slots=True, kw_only=True)
class CopyState:
    """How current this VM's copy of the configuration is.

    Args:
        source: where it was read.
        confirmed_at: time before which every accepted configuration is known here. It
            is a time of the runtime's clock, which also counts standstills.
    """

    source: CopySource = CopySource.NONE
    confirmed_at: float = -1000.0
