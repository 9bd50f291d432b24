"""History of a run and one check for each guarantee of the design page.

The checks are written here because no known PyPI package does the work of the
usual history checkers Porcupine (Go), Knossos and Elle (Clojure). Hypothesis'
stateful testing generates runs but does not check recorded concurrent ones;
networkx finds cycles, but no guarantee here is a cycle condition. Most
guarantees also need the database's record of executions, promotions and terms
beside the calls and answers. Because unique values are appended to rows, each
check is a scan of the records.
"""

from collections.abc import Sequence

from ._answers import check_answers, check_transactions
from ._fleet import check_drains, check_shutdowns, check_tickets
from ._recorder import RecordedSession
from ._records import (
    DatabaseRecord,
    Drain,
    History,
    Invocation,
    TicketEvent,
    VmLife,
    read_database,
)
from ._violations import (
    AnswerMismatched,
    CutOffByShutdown,
    NotRunButRan,
    RanTwice,
    ReadMissedOwnWrite,
    TicketLate,
    TicketReverted,
    TransactionMixed,
    Violation,
    WorkAfterLeaving,
    WriteLost,
    WriteOnReplacedPrimary,
)
from ._writes import (
    check_acknowledged_kept,
    check_not_run,
    check_once,
    check_read_your_writes,
    check_replaced_primary,
)


def check_all(
    history: History, records: Sequence[DatabaseRecord], *, kept: bool = True
) -> list[Violation]:
    """Return all violations of guarantees 1 to 9.

    Args:
        kept: whether acknowledged writes must survive promotions, as is
            required with `acknowledge=replica`.
    """
    violations = check_read_your_writes(history)
    if kept:
        violations += check_acknowledged_kept(history, records)
    violations += check_replaced_primary(history, records)
    violations += check_transactions(history, records)
    violations += check_answers(history, records)
    violations += check_not_run(history, records)
    violations += check_once(history, records)
    violations += check_drains(history, records)
    violations += check_shutdowns(history)
    violations += check_tickets(history)
    return violations


__all__ = [
    "AnswerMismatched",
    "CutOffByShutdown",
    "DatabaseRecord",
    "History",
    "Invocation",
    "Drain",
    "NotRunButRan",
    "RanTwice",
    "ReadMissedOwnWrite",
    "RecordedSession",
    "TicketEvent",
    "TicketLate",
    "TicketReverted",
    "TransactionMixed",
    "Violation",
    "VmLife",
    "WorkAfterLeaving",
    "WriteLost",
    "WriteOnReplacedPrimary",
    "check_acknowledged_kept",
    "check_all",
    "check_answers",
    "check_drains",
    "check_not_run",
    "check_once",
    "check_read_your_writes",
    "check_replaced_primary",
    "check_shutdowns",
    "check_tickets",
    "check_transactions",
    "read_database",
]
