"""How current this VM's copy of the configuration is, for decisions and log lines."""

from ._state import DirectState


def describe_copy(state: DirectState) -> tuple[tuple[str, object], ...]:
    """Return log fields with the version, age and source of the configuration.

    The age counts from when it was known to be the newest one; it is -1 if it never
    was.
    """
    version = state.configuration.version if state.configuration is not None else 0
    age = -1
    if state.copy.confirmed_at > 0:
        age = round((state.now - state.copy.confirmed_at) * 1000)
    return (
        ("configuration", version),
        ("age_ms", age),
        ("source", state.copy.source.value),
    )
