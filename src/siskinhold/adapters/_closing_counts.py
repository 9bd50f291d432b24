"""Counts of what happened to callers during a shutdown, for its log line."""

from dataclasses import dataclass

from ..model import Done, NotRun, Outcome, Unknown


@dataclass(slots=True, kw_only=True)
class ClosingCounts:
    """What happened from the end of listening to the stop.

    Args:
        done: statements answered as done.
        failed: statements answered with an error of their server.
        not_run: statements answered as not run.
        unknown: statements answered as unknown.
        closed: connections that were closed.
        unanswered: statements whose connection was closed without an answer.
        unsent_bytes: bytes of answers that were not sent before the stop.
    """

    done: int = 0
    failed: int = 0
    not_run: int = 0
    unknown: int = 0
    closed: int = 0
    unanswered: int = 0
    unsent_bytes: int = 0

    def add(self, outcome: Outcome) -> None:
        """Count the answer to a statement."""
        if isinstance(outcome, Done):
            self.done += 1
        elif isinstance(outcome, NotRun):
            self.not_run += 1
        elif isinstance(outcome, Unknown):
            self.unknown += 1
        else:
            self.failed += 1

    def __str__(self) -> str:
        """Return the counts as key=value pairs."""
        return " ".join(f"{name}={getattr(self, name)}" for name in self.__slots__)
