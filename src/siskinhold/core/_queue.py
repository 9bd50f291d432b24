"""The queue of one pool: what waits, and what goes next."""

import abc
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..model import Outcome, Position, Request, RequestId, StatementKind

CLASS_COUNT = 4
"""Priority classes: marked writes, other writes, strong reads, browsing reads."""


@dataclass(slots=True, kw_only=True)
class Work:
    """A request in the hands of its pool owner.

    Args:
        request: what to run.
        origin: the entry VM that waits for the answer.
        region: the region of the pool that took it.
        arrived: when it was taken.
        deadline: when its caller gives up.
        shape: hash of the statement without its literals.
        attempts: how often it was given to a connection.
        server: the backend server it runs on; empty while it waits.
        connection: the connection it runs on; 0 while it waits.
        started: when it was last given to a connection.
        answered: when the backend server answered, None before.
        term: term of the server when the statement was given to it.
        outcome: the server's answer while it waits for confirmation.
        position: position of a write, read after it ran.
        may_have_run: whether an earlier attempt may have had an effect.
    """

    request: Request
    origin: str
    region: str
    arrived: float
    deadline: float
    shape: int = 0
    attempts: int = 0
    server: str = ""
    connection: int = 0
    started: float = 0.0
    answered: float | None = None
    term: int = 0
    outcome: Outcome | None = None
    position: Position | None = None
    may_have_run: bool = False

    @property
    def id(self) -> RequestId:
        """The request's identity."""
        return self.request.id

    @property
    def needs_primary(self) -> bool:
        """Whether only the primary may run it."""
        request = self.request
        return request.kind is not StatementKind.READ or request.transaction is not None


def rank(work: Work) -> int:
    """Return a work's priority class, 0 being the first to be served."""
    if work.request.marks.once:
        return 0
    if work.needs_primary:
        return 1
    if work.request.need is not None:
        return 2
    return 3


class Queue(abc.ABC):
    """Waiting work of one pool."""

    __slots__ = ()

    @abc.abstractmethod
    def push(self, work: Work) -> None:
        """Add a work."""

    @abc.abstractmethod
    def take(
        self, accept: Callable[[Work], bool], now: float, *, allow_long: bool = True
    ) -> Work | None:
        """Remove and return the next work that `accept` allows, or None.

        Args:
            now: the time in seconds.
            allow_long: whether long work may be taken.
        """

    @abc.abstractmethod
    def remove(self, work: Work) -> None:
        """Remove a work, if it waits."""

    @abc.abstractmethod
    def __iter__(self) -> Iterator[Work]:
        """Iterate over the waiting work; the queue may change meanwhile."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return how many works wait."""


@dataclass(slots=True, kw_only=True)
class WorkQueue(Queue):
    """Waiting work by priority class, first come first served in each."""

    _classes: tuple[deque[Work], ...] = field(
        default_factory=lambda: tuple(deque() for _ in range(CLASS_COUNT))
    )

    def push(self, work: Work) -> None:
        """Add a work."""
        self._classes[rank(work)].append(work)

    def take(
        self, accept: Callable[[Work], bool], now: float, *, allow_long: bool = True
    ) -> Work | None:
        """Remove and return the next work that `accept` allows, or None."""
        for waiting in self._classes:
            for index, work in enumerate(waiting):
                if not accept(work):
                    continue
                del waiting[index]
                return work
        return None

    def remove(self, work: Work) -> None:
        """Remove a work, if it waits."""
        waiting = self._classes[rank(work)]
        if work in waiting:
            waiting.remove(work)

    def __iter__(self) -> Iterator[Work]:
        for waiting in self._classes:
            yield from list(waiting)

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._classes)
