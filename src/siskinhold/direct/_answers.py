"""Answers of backend servers, by the purpose of the command."""

from ._events import BackendAnswered
from ._evidence import record_evidence
from ._leaders import (
    handle_attestation,
    handle_leader_probe_answer,
    handle_leader_status,
)
from ._log_proof import note_report
from ._promotion import (
    handle_candidate_status,
    handle_fence_answer,
    handle_step_down_answer,
)
from ._results import (
    handle_begin_answer,
    handle_job_answer,
    handle_position_answer,
    handle_preparation_answer,
    handle_release_answer,
    handle_setup_answer,
)
from ._resumptions import handle_resumption_answer, handle_suspension_status
from ._server_state import Purpose
from ._state import DirectState, Effects
from ._switchover import handle_backlog_answer
from .pools import settle


def handle_backend_answer(
    state: DirectState, event: BackendAnswered, out: Effects
) -> None:
    """Record the server's log position and pass the answer to its command's handler.

    The handler follows from the command's purpose. Answers to `CLEANUP` commands need
    none.
    """
    connection = state.connections.get(event.connection)
    if connection is None or not connection.pending:
        return
    pending = connection.pending.popleft()
    server = connection.server
    answer = event.answer
    record_evidence(state, server, pending.sent_at, answer.position, out)
    if answer.status is not None:
        note_report(state, server, answer.status, out)
    state.pending_updates.add(server.entry.service)
    if pending.purpose is Purpose.JOB:
        handle_job_answer(state, connection, pending, answer, out)
    elif pending.purpose is Purpose.SETUP:
        handle_setup_answer(state, connection, pending, answer, out)
    elif pending.purpose is Purpose.BEGIN:
        handle_begin_answer(state, connection, pending, answer, out)
    elif pending.purpose is Purpose.PREPARE:
        handle_preparation_answer(connection, pending, answer)
    elif pending.purpose is Purpose.RELEASE:
        handle_release_answer(state, connection, answer, out)
    elif pending.purpose is Purpose.POSITION:
        handle_position_answer(connection, answer)
    elif pending.purpose is Purpose.LEAD_PROBE:
        handle_leader_probe_answer(state, server, pending.sent_at, answer, out)
    elif pending.purpose is Purpose.ROLE:
        handle_leader_status(state, server, pending.sent_at, answer, out)
    elif pending.purpose is Purpose.ATTEST:
        handle_attestation(state, server, pending.sent_at, answer, out)
    elif pending.purpose is Purpose.SUSPENSION:
        handle_suspension_status(state, server, answer, out)
    elif pending.purpose is Purpose.RESUMPTION:
        handle_resumption_answer(server, pending.sent_at)
    elif pending.purpose is Purpose.BACKLOG:
        handle_backlog_answer(server, pending.sent_at, answer)
    elif pending.purpose is Purpose.PROBE:
        handle_candidate_status(state, server, answer)
    elif pending.purpose is Purpose.FENCE:
        handle_fence_answer(state, server, pending.sent_at, answer)
    elif pending.purpose is Purpose.STEP_DOWN:
        handle_step_down_answer(state, server, pending.sent_at, answer)
    settle(state, connection, answer, out)
