"""Faults that can be injected into the store stand-in while it runs."""

import enum

from msgspec import Struct


class Outage(enum.Enum):
    """How the store is unavailable.

    `REFUSE` closes the listening socket and resets open connections.
    `WITHHOLD` accepts calls, but neither executes nor answers them.
    """

    NO = "no"
    REFUSE = "refuse"
    WITHHOLD = "withhold"


class StoreFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """The active faults.

    Args:
        down: whether and how the store is unavailable.
        delay: seconds by which the execution of each call is delayed.
        lose_answers: number of following accepted writes whose connection is
            reset instead of an answer.
    """

    down: Outage = Outage.NO
    delay: float = 0.0
    lose_answers: int = 0

    def consume_lost_answer(self) -> bool:
        """Return whether an answer has to be lost, and decrement `lose_answers`."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
