"""Resumption of the replication that was suspended for a promotion."""

from ._connections import find_control_connection, send
from ._promotion import SUSPENSION_TIMEOUT
from ._promotion_state import PromotionStep
from ._server_state import Purpose, Server
from ._state import DirectState, Effects
from ._types import Command, CommandKind


def resume_replication(state: DirectState, server: Server, out: Effects) -> None:
    """Resume replication on a server that this VM suspended, once it is due."""
    if server.resume_at is None or state.now < server.resume_at:
        return
    if _awaits_promotion(state, server):
        return
    control = find_control_connection(server)
    if control is None or control.pending:
        return
    server.resume_at = None
    command = Command(kind=CommandKind.RESUME)
    send(state, control, command, Purpose.ATTEST, out)


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
