"""Resumption of the replication that was suspended for a promotion.

A `RESUME` names no term, so it would undo the suspension for another VM's promotion as
well. And a replica that receives again before it knows of a term that has begun would
attest that there is none. So its status is queried first.
"""

from ._promotion import SUSPENSION_TIMEOUT
from ._promotion_state import PromotionStep
from ._server_state import Purpose, Server
from ._state import DirectState, Effects
from ._types import Answer, Command, CommandKind
from .pools import find_control_connection, send

RESUMPTION_RETRY_DELAY = 0.2
"""Seconds until the status of a server that may not be resumed yet is queried again."""

MAX_SUSPENSION = 30.0
"""Seconds after a promotion in which a replica that has not learned of its term stays
suspended."""


def resume_replication(state: DirectState, server: Server, out: Effects) -> None:
    """Query a server that this VM suspended, once its resumption is due."""
    if server.resume_at is None or state.now < server.resume_at:
        return
    if _awaits_promotion(state, server):
        return
    control = find_control_connection(server)
    if control is None or control.pending:
        return
    status = Command(kind=CommandKind.STATUS)
    send(state, control, status, Purpose.SUSPENSION, out)


def handle_suspension_status(
    state: DirectState, server: Server, answer: Answer, out: Effects
) -> None:
    """Resume replication on a server that is still suspended for this VM's promotion.

    If the promotion has taken effect, the server is left suspended until it knows of
    the new term, which ends the suspension.
    """
    if server.resume_at is None or state.now < server.resume_at:
        return
    status = answer.status
    control = find_control_connection(server)
    if status is None or control is None:
        server.resume_at = state.now + RESUMPTION_RETRY_DELAY
        return
    term = server.suspended_for
    if status.leads or status.term >= term or status.suspended_term != term:
        server.resume_at = None
        return
    leader = state.databases[server.entry.service].leader
    if leader is not None and leader.term >= term:
        if state.now - server.suspended_at < MAX_SUSPENSION:
            server.resume_at = state.now + RESUMPTION_RETRY_DELAY
            return
    send(state, control, Command(kind=CommandKind.RESUME), Purpose.RESUMPTION, out)


def handle_resumption_answer(server: Server, sent_at: float) -> None:
    """Note that a server was resumed, unless this VM has suspended it again."""
    if server.suspended_at <= sent_at:
        server.resume_at = None


def _awaits_promotion(state: DirectState, server: Server) -> bool:
    """Return whether another VM may have suspended a server for its own promotion.

    That is so while the VMs agree that the primary is to be replaced. One that is still
    reached may commit, so the server is kept from receiving only for a while.
    """
    database = state.databases[server.entry.service]
    promotion = database.promotion
    if promotion is None or promotion.step is PromotionStep.SUSPECTING:
        return False
    leader = state.leader_of(database)
    if leader is None or leader.down_at is not None:
        return True
    return state.now - server.resume_at < SUSPENSION_TIMEOUT
