"""How current this VM's copy of the configuration is, and what it may decide by it.

Whoever decides by the configuration asks `judge_copy` first. A copy that was known to
be the newest one a short time ago is current. Any other is checked against the store,
by one call for all decisions that wait for it. If the check fails, what the copy allows
is still served, as an outage of the store must not end the service, but what it denies
is refused as not run, so that the caller comes back.
"""

import enum

from ._copy_state import NEVER
from ._effects import CheckConfiguration, Log, Observe
from ._state import DirectState, Effects

CONFIRMED_SHARE = 0.95
"""Share of a bound for which a confirmed configuration is relied on. The rest allows
for clocks that run at different rates."""

MIN_CONFIRMED_PERIOD = 2.0
"""Seconds for which a confirmed copy is relied on however short the bound is: a check
confirms it for a time before the call."""

RECHECK_INTERVAL = 2.0
"""Seconds after a failed check until the next one."""

BEHIND_INTERVAL = 0.3
"""Seconds after a check in which a version that it did not show is not sought again."""

CHECK_LIMIT = 1.0
"""Seconds after which a check without a result has failed."""

OBSERVATION_INTERVAL = 1.0
"""Seconds between two reports of the copy's age."""

HOLDERS_UNCONFIRMED_PERIOD = 1.0
"""Seconds for which holders that could not confirm their copies are not asked whether
they can."""


class Standing(enum.Enum):
    """What this VM knows about the age of its copy.

    Attributes:
        CURRENT: it has every configuration that has to be in force.
        UNCHECKED: a check is under way.
        OUTDATED: it may lack a configuration that has to be in force.
    """

    CURRENT = "current"
    UNCHECKED = "unchecked"
    OUTDATED = "outdated"


def describe_copy(state: DirectState) -> tuple[tuple[str, object], ...]:
    """Return log fields with the version, age and source of the configuration.

    The age counts from when it was known to be the newest one; it is -1 if it never
    was.
    """
    version = state.configuration.version if state.configuration is not None else 0
    age = -1
    if state.copy.confirmed_at > NEVER:
        age = round((state.now - state.copy.confirmed_at) * 1000)
    return (
        ("configuration", version),
        ("age_ms", age),
        ("source", state.copy.source.value),
    )


def compute_confirmed_period(state: DirectState) -> float:
    """Return the seconds after its confirmation for which the copy is relied on."""
    return max(MIN_CONFIRMED_PERIOD, CONFIRMED_SHARE * state.copy.bound)


def is_current(state: DirectState) -> bool:
    """Return whether this VM has every configuration that has to be in force."""
    age = state.now - state.copy.confirmed_at
    return state.configuration is not None and age < compute_confirmed_period(state)


def is_behind(state: DirectState, version: int) -> bool:
    """Return whether a VM has shown a newer version than that of this VM's copy."""
    if state.configuration is None:
        return False
    return state.configuration.version < max(version, find_seen_version(state))


def find_seen_version(state: DirectState) -> int:
    """Return the newest version that another VM has shown, 0 if that is long ago.

    By then every copy that is current has it. A store that was restored may have lost
    it for good.
    """
    if state.now - state.copy.seen_at >= compute_confirmed_period(state):
        return 0
    return state.copy.seen_version


def judge_copy(state: DirectState, out: Effects, *, version: int = 0) -> Standing:
    """Return the standing of the copy for a decision, and start a check if need be.

    Args:
        version: version that the VM which asks for the decision has seen.
    """
    copy = state.copy
    behind = is_behind(state, version)
    if not behind and is_current(state):
        return Standing.CURRENT
    since_check = state.now - copy.checked_at
    if behind:
        failed = since_check < BEHIND_INTERVAL
        due = not failed
    else:
        failed = copy.unreadable
        due = not failed or since_check >= RECHECK_INTERVAL
    if due and copy.check_began_at is None:
        copy.check_began_at = state.now
        out.append(CheckConfiguration())
    # A caller that waited might outlast the process.
    if failed or copy.unreadable or state.shutdown_at is not None:
        return Standing.OUTDATED
    return Standing.UNCHECKED


def end_check(state: DirectState, failed: bool, out: Effects) -> None:
    """Record the end of a check."""
    copy = state.copy
    copy.check_began_at = None
    copy.checked_at = state.now
    label = "failed" if failed else "answered"
    out.append(Observe(metric="configuration_checks_total", label=label))
    if failed and not copy.unreadable:
        copy.unreadable = True
        log_standing(state, "configuration_unconfirmed", out)


def confirm_copy(state: DirectState, confirmed_at: float, out: Effects) -> None:
    """Record that no newer configuration had been accepted before a time."""
    copy = state.copy
    copy.confirmed_at = max(copy.confirmed_at, confirmed_at)
    if copy.unreadable and is_current(state):
        copy.unreadable = False
        log_standing(state, "configuration_confirmed", out)


def is_check_overdue(state: DirectState) -> bool:
    """Return whether a check has had no result for too long."""
    began_at = state.copy.check_began_at
    return began_at is not None and state.now - began_at >= CHECK_LIMIT


def observe_copy(state: DirectState, out: Effects) -> None:
    """Report the age of the copy as a metric once a second; at each tick."""
    copy = state.copy
    if (
        state.configuration is None
        or state.now - copy.observed_at < OBSERVATION_INTERVAL
    ):
        return
    copy.observed_at = state.now
    age = state.now - max(copy.confirmed_at, state.started_at)
    out.append(Observe(metric="configuration_age_seconds", value=age))


def log_standing(state: DirectState, event: str, out: Effects) -> None:
    """Log a change of what this VM knows about the age of its copy."""
    out.append(Log(event=event, fields=describe_copy(state), essential=True))
