"""Client accounts: who a caller is, which VM serves it, whether its key still holds.

Each account has a home: one connection holder that serves all of its callers, so that
its connections to backend servers and its count of operations are in one place. See
`_homes` for the choice and `_keys` for the withdrawal of keys.
"""

from ._homes import (
    count_home_regions,
    find_home,
    hears_majority,
    is_account_home,
    is_home_certain,
    list_heard_demands,
    list_likely_homes,
    rank_homes,
    record_presence,
    report_presence,
)
from ._keys import (
    KeyFault,
    find_account,
    find_key_fault,
    is_confirmed,
    is_key_required,
    name_account,
    uses_accounts,
)
from ._observation import observe_accounts
from ._relocation import list_home_targets, list_known_homes, note_homes

__all__ = [
    "KeyFault",
    "count_home_regions",
    "find_account",
    "find_home",
    "find_key_fault",
    "hears_majority",
    "is_account_home",
    "is_home_certain",
    "is_confirmed",
    "list_heard_demands",
    "is_key_required",
    "list_home_targets",
    "list_known_homes",
    "list_likely_homes",
    "name_account",
    "note_homes",
    "observe_accounts",
    "rank_homes",
    "record_presence",
    "report_presence",
    "uses_accounts",
]
