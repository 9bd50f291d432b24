"""One instance of a database group: term, role, log and replication."""

import asyncio
import enum
from collections.abc import Sequence
from dataclasses import dataclass

from ._errors import make_read_only_error, make_term_error
from ._storage import Storage

REPLICATION_POLL_SECONDS = 0.02
"""Seconds between a replica's polls of its source."""

FIRST_TERM = 1


class Role(enum.Enum):
    """The role of an instance at its term."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@dataclass(slots=True, kw_only=True, frozen=True)
class LogEntry:
    """A committed transaction.

    Args:
        term: term of the primary that committed it.
        offset: its position in the log, from 1.
        statements: its statements, translated for sqlite.
        committed_at: time of the commit on the loop's clock.
    """

    term: int
    offset: int
    statements: tuple[str, ...]
    committed_at: float


class Instance:
    """The state of an instance, without its sockets.

    The epoch counts changes of term, role and process; a write that began in an
    earlier epoch fails.

    Args:
        name: unique name within the group.
        host: IP address of the MySQL protocol.
        port: TCP port of the MySQL protocol.
        lag: replication lag in seconds while it is a replica.
    """

    def __init__(self, *, name: str, host: str, port: int, lag: float) -> None:
        self.name = name
        self.host = host
        self.port = port
        self.lag = lag
        self.term = FIRST_TERM
        self.role = Role.FENCED
        self.log: list[LogEntry] = []
        self.storage = Storage()
        self.lock = asyncio.Lock()
        self.epoch = 0
        self.alive = False
        self.isolated = False
        self._source: Instance | None = None
        self._log_matched = False
        self._heard_at = 0.0
        self._followers: set[Instance] = set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def log_term(self) -> int:
        """The term of the last log entry."""
        return self.log[-1].term if self.log else FIRST_TERM

    @property
    def source_silence(self) -> float:
        """Seconds since the last contact with the primary that it follows."""
        if self.role is Role.PRIMARY:
            return 0.0
        return asyncio.get_running_loop().time() - self._heard_at

    def require_primary(self, epoch: int | None = None) -> None:
        """Check that a write is allowed.

        Args:
            epoch: the epoch in which the write began; None for a new write.

        Raises:
            ServerError: if it is not the primary, or the epoch has changed.
        """
        if self.role is not Role.PRIMARY:
            raise make_read_only_error()
        if epoch is not None and epoch != self.epoch:
            raise make_read_only_error()

    def commit(self, statements: Sequence[str]) -> None:
        """Commit the open write transaction and append it to the log."""
        self.storage.commit(statements)
        if not statements:
            return
        loop = asyncio.get_running_loop()
        entry = LogEntry(
            term=self.term,
            offset=len(self.log) + 1,
            statements=tuple(statements),
            committed_at=loop.time(),
        )
        self.log.append(entry)
        for follower in self._followers:
            loop.call_later(follower.lag, follower.pull)

    def fence(self, term: int) -> None:
        """Raise the term, which aborts writes and ends replication.

        Raises:
            ServerError: if its term is higher.
        """
        if term < self.term:
            raise make_term_error(f"term is {self.term}")
        if term > self.term:
            self._enter_term(term, Role.FENCED)

    def promote(self, term: int) -> None:
        """Become primary.

        Raises:
            ServerError: if it is not fenced at exactly this term.
        """
        if term != self.term or self.role is not Role.FENCED:
            raise make_term_error(f"{self.role.value} at term {self.term}")
        self._enter_term(term, Role.PRIMARY)

    def follow(self, term: int, source: "Instance | None") -> None:
        """Follow the primary of a term.

        Raises:
            ServerError: if its term is higher, if it is the primary of that
                term, or if there is no such source.
        """
        if term < self.term:
            raise make_term_error(f"term is {self.term}")
        if term == self.term and self.role is Role.PRIMARY:
            raise make_term_error(f"is primary at term {term}")
        if source is None or source is self:
            raise make_term_error("no such source")
        self._enter_term(term, Role.REPLICA)
        self._source = source
        self._log_matched = False
        source._followers.add(self)
        self.pull()

    def pull(self) -> None:
        """Apply the source's log entries that are older than the lag."""
        source = self._source
        if source is None or not self._is_connected(source):
            return
        now = asyncio.get_running_loop().time()
        self._heard_at = now
        if not self._log_matched:
            self._match_log(source)
        # A timer may fire early by the clock's resolution; 0.5 ms covers it.
        arrived = now - self.lag + 0.0005
        for entry in source.log[len(self.log) :]:
            if entry.committed_at > arrived:
                break
            self.storage.apply(entry.statements)
            self.log.append(entry)

    def start(self) -> None:
        """Start taking part in replication."""
        self.alive = True
        self._tick()

    def stop(self, *, keep_memory: bool = True) -> None:
        """Stop taking part in replication, as a killed process.

        The term is always kept, because an instance never lowers it.

        Args:
            keep_memory: whether rows and log are kept.
        """
        self.alive = False
        if self._timer is not None:
            self._timer.cancel()
        self._abort_writes()
        if keep_memory:
            return
        self.log.clear()
        self._log_matched = False
        self.storage.close()
        self.storage = Storage()
        if self.role is Role.PRIMARY:
            self.role = Role.FENCED

    def _tick(self) -> None:
        self.pull()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPLICATION_POLL_SECONDS, self._tick)

    def _enter_term(self, term: int, role: Role) -> None:
        self.term = term
        self.role = role
        self._abort_writes()
        if self._source is not None:
            self._source._followers.discard(self)
        self._source = None

    def _abort_writes(self) -> None:
        self.epoch += 1
        self.lock = asyncio.Lock()
        self.storage.discard_working_copy()

    def _is_connected(self, source: "Instance") -> bool:
        if not self.alive or not source.alive:
            return False
        if self.isolated or source.isolated:
            return False
        return source.role is Role.PRIMARY and source.term == self.term

    def _match_log(self, source: "Instance") -> None:
        # A term has one primary, so equal terms at an offset mean equal logs
        # up to that offset.
        keep = min(len(self.log), len(source.log))
        while keep and self.log[keep - 1].term != source.log[keep - 1].term:
            keep -= 1
        if keep < len(self.log):
            self._truncate_log(keep)
        self._log_matched = True

    def _truncate_log(self, keep: int) -> None:
        del self.log[keep:]
        self.storage.close()
        self.storage = Storage()
        for entry in self.log:
            self.storage.apply(entry.statements)
