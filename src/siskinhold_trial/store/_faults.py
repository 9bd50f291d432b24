"""Faults that the store stand-in can be given while it runs."""

import enum

from msgspec import Struct


class Outage(enum.Enum):
    """How the store is unavailable.

    `REFUSE` closes the listening socket and resets open connections.
    `WITHHOLD` accepts calls, has no effect and never answers them.
    """

    NO = "no"
    REFUSE = "refuse"
    WITHHOLD = "withhold"


class StoreFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults in force.

    Args:
        down: whether and how the store is unavailable.
        delay: seconds by which each call is carried out late.
        lose_answers: the number of accepted writes to come whose connection is
            reset in place of an answer.
    """

    down: Outage = Outage.NO
    delay: float = 0.0
    lose_answers: int = 0

    def consume_lost_answer(self) -> bool:
        """Return whether this write's answer is lost, and count it off."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
