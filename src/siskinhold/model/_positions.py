"""Log positions, terms and the comparison of positions across terms."""

from msgspec import Struct


class Position(Struct, frozen=True, order=True):
    """Position of an entry in a database's replicated log.

    Args:
        term: the term of the primary that wrote the entry; starts at 1.
        offset: the entry's log sequence number; counts entries.
    """

    term: int
    offset: int


class TermStart(Struct, frozen=True, kw_only=True):
    """Start of a term in the log.

    Args:
        term: the term.
        offset: the last offset of the log that the term's primary inherited.
        primary: name of the backend server that is the term's primary.
    """

    term: int
    offset: int
    primary: str


class Reservation(Struct, frozen=True, kw_only=True):
    """A term that one VM has reserved for a promotion it is carrying out.

    Args:
        term: the reserved term.
        vm: the VM that runs the promotion.
        run: identifier of that run; shows the VM whether its own reservation was
            stored when the store's answer was lost.
    """

    term: int
    vm: str
    run: str


class TermRecord(Struct, frozen=True, kw_only=True):
    """The term history of a database, stored as `term/<database>`.

    Args:
        database: the database's name.
        starts: the finished promotions in ascending order of term.
        reservation: the promotion under way, if any.
    """

    database: str
    starts: tuple[TermStart, ...] = ()
    reservation: Reservation | None = None

    @property
    def term(self) -> int:
        """The highest term whose promotion finished; 0 if there is none."""
        return self.starts[-1].term if self.starts else 0

    @property
    def primary(self) -> str | None:
        """The primary of the highest finished term; None if there is none."""
        return self.starts[-1].primary if self.starts else None

    @property
    def highest_reserved(self) -> int:
        """The highest term that was ever reserved or finished."""
        if self.reservation is None:
            return self.term
        return max(self.term, self.reservation.term)


def covers(starts: tuple[TermStart, ...], have: Position, need: Position) -> bool:
    """Return whether a log that ends at `have` contains the entry at `need`.

    Args:
        starts: the known term starts of the database, ascending.
        have: the position of the log's last entry.
        need: the position of the required entry.

    >>> starts = (
    ...     TermStart(term=1, offset=0, primary="a"),
    ...     TermStart(term=2, offset=10, primary="b"),
    ... )
    >>> covers(starts, Position(2, 12), Position(1, 10))
    True
    >>> covers(starts, Position(2, 12), Position(1, 11))
    False
    >>> covers(starts, Position(1, 12), Position(2, 11))
    False
    """
    if have.term == need.term:
        return have.offset >= need.offset
    if have.term < need.term:
        return False
    if have.offset < need.offset:
        return False
    return not is_lost(starts, need, up_to_term=have.term)


def is_lost(
    starts: tuple[TermStart, ...], need: Position, *, up_to_term: int | None = None
) -> bool:
    """Return whether a promotion after `need.term` discarded the entry at `need`.

    Args:
        starts: the known term starts of the database, ascending.
        need: the position of the entry.
        up_to_term: the highest term to consider; None for no limit.

    With `up_to_term` above `need.term`, the entry is also reported as lost when
    `starts` has no term after `need.term` up to `up_to_term`, because then nothing
    shows that the entry was kept.
    """
    seen_later = False
    for start in starts:
        if start.term <= need.term:
            continue
        if up_to_term is not None and start.term > up_to_term:
            continue
        seen_later = True
        if need.offset > start.offset:
            return True
    return up_to_term is not None and up_to_term > need.term and not seen_later
