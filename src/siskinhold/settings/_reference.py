"""Generates the settings reference page from the table of keys."""

from ._keys import KEYS, USERS_DESCRIPTION, USERS_SECTION, Key

_HEADER = """# Settings

`siskinhold-proxy` reads one INI file. All faults of the file are reported at
once, unknown sections and keys included.
"""
_TABLE_HEADER = """
| key | type | default | allowed | description |
|---|---|---|---|---|
"""


def render_reference() -> str:
    """Return the reference page as Markdown."""
    parts = [_HEADER]
    section = ""
    for key in KEYS:
        if key.section != section:
            section = key.section
            parts.append(f"\n## [{section}]\n{_TABLE_HEADER}")
        parts.append(_render_key(key))
    parts.append(f"\n## [{USERS_SECTION}]\n\n{USERS_DESCRIPTION}\n")
    return "".join(parts)


def _render_key(key: Key) -> str:
    default = "required" if key.default is None else f"`{key.default}`"
    if key.default == "":
        default = "empty"
    cells = (f"`{key.name}`", key.kind.value, default, key.allowed, key.description)
    return f"| {' | '.join(cells)} |\n"
