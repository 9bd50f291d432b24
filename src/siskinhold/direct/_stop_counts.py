"""Counts of what a graceful shutdown did, for its log line."""

from dataclasses import dataclass

from ._types import NOT_RUN, Refusal


@dataclass(slots=True, kw_only=True)
class StopCounts:
    """What happened from the request of a shutdown to its end.

    Args:
        callers_accepted: connections that were accepted.
        callers_refused: connections that were refused.
        callers_closed: connections that were closed after an answer, or while idle.
        done: statements answered with success.
        not_run: statements refused as not run.
        aborted: statements whose transaction was aborted.
        in_doubt: statements whose outcome is unknown.
        failed: statements answered with another refusal.
    """

    callers_accepted: int = 0
    callers_refused: int = 0
    callers_closed: int = 0
    done: int = 0
    not_run: int = 0
    aborted: int = 0
    in_doubt: int = 0
    failed: int = 0

    def count_answer(self, refusal: Refusal | None) -> None:
        """Count the answer to a statement."""
        if refusal is None:
            self.done += 1
        elif refusal in NOT_RUN:
            self.not_run += 1
        elif refusal is Refusal.ABORTED:
            self.aborted += 1
        elif refusal is Refusal.IN_DOUBT:
            self.in_doubt += 1
        else:
            self.failed += 1

    def to_fields(self) -> tuple[tuple[str, object], ...]:
        """Return the counts as fields of a log line."""
        return tuple((name, getattr(self, name)) for name in self.__slots__)
