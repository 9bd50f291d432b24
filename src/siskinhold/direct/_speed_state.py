"""State of what one VM knows of the speed of backend servers."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Slowdown:
    """How much longer a server takes than usual, as this VM's answers show.

    Args:
        mean: moving average of the logarithm of a statement's time relative to the
            usual one.
        answers: answers counted since the start or the last recovery.
        slowed_at: when the server was found to be slower than usual, None unless it is.
        recovered_at: when it was last found to be as fast as usual again.
        limit: statements of this VM at once from which it gets no read while another
            server is faster.
        pause: seconds between two such reads, 0 without a pause.
        next_read_at: earliest time of the next one.
        adjusted_at: when the limit was last changed.
        reduced_at: when it was last reduced.
        setbacks: how often it was too high with several statements at once.
    """

    mean: float = 0.0
    answers: int = 0
    slowed_at: float | None = None
    recovered_at: float = -100.0
    limit: float = 1.0
    pause: float = 0.0
    next_read_at: float = 0.0
    adjusted_at: float = -100.0
    reduced_at: float = -100.0
    setbacks: int = 0


@dataclass(slots=True, kw_only=True)
class UsualTime:
    """Usual time of a kind of statement at the servers of an availability zone.

    Args:
        mean: moving average of the logarithm of its seconds.
        answers: answers counted.
    """

    mean: float = 0.0
    answers: int = 0


@dataclass(slots=True, kw_only=True)
class SpeedState:
    """Usual times by zone of the server, route and whether the statement commits.

    Args:
        enabled: whether reads avoid servers that are slower than usual.
    """

    enabled: bool = True
    usual: dict[tuple[str, str, bool], UsualTime] = field(default_factory=dict)
