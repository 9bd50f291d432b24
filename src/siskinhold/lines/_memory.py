"""One account of the bytes that a process holds for its callers."""

import abc
from collections.abc import Callable

KEPT_SHARE = 0.875
"""Share of the limit to which the account is brought once it exceeds the limit, so that
the next few bytes don't exceed it again."""


class Holder(abc.ABC):
    """A connection that holds bytes for a caller.

    Attributes:
        kind: label of its metrics.
    """

    kind = ""

    @property
    @abc.abstractmethod
    def held(self) -> int:
        """Bytes that it holds now."""

    @abc.abstractmethod
    def release(self) -> None:
        """Drop what it holds, and refuse or close what that belongs to."""


class MemoryAccount:
    """Adds up what all holders hold; releases the largest ones at a limit.

    Args:
        limit: bytes that all holders together may hold.
        observe: called with the name, the value and the label of a metric.
    """

    __slots__ = ("limit", "total", "_held", "_observe", "_releasing")

    def __init__(
        self, *, limit: int, observe: Callable[[str, float, str], None]
    ) -> None:
        self.limit = limit
        self.total = 0
        self._held: dict[Holder, int] = {}
        self._observe = observe
        self._releasing = False

    def update(self, holder: Holder) -> None:
        """Take over what a holder holds now; release holders if it is too much."""
        self._count(holder)
        if self.total > self.limit and not self._releasing:
            self._releasing = True
            try:
                self._release_largest()
            finally:
                self._releasing = False

    def remove(self, holder: Holder) -> None:
        """Forget a holder."""
        self.total -= self._held.pop(holder, 0)

    def _count(self, holder: Holder) -> None:
        """Take over what a holder holds now."""
        held = holder.held
        self.total += held - self._held.get(holder, 0)
        if held:
            self._held[holder] = held
        else:
            self._held.pop(holder, None)

    def _release_largest(self) -> None:
        """Release the largest holders until the account is below its limit again."""
        # Holders report growth at once, but not each byte that was sent meanwhile.
        for holder in list(self._held):
            self._count(holder)
        if self.total <= self.limit:
            return
        for holder in sorted(self._held, key=self._held.__getitem__, reverse=True):
            if self.total <= self.limit * KEPT_SHARE:
                break
            self._observe("holders_released_total", 1, type(holder).kind)
            holder.release()
            self._count(holder)
