"""Metrics of a VM that runs the direct core."""

from ..observability import Metric, MetricKind, define_counter, define_histogram

METRICS: dict[str, Metric] = {
    "statements_total": define_counter("Statements of callers, by kind.", "kind"),
    "statement_seconds": define_histogram(
        "Time from statement to reply, by kind.", "kind"
    ),
    "refused_total": define_counter(
        "Statements without a result, by reason.", "reason"
    ),
    "retries_total": define_counter("Statements sent again, by cause.", "cause"),
    "hedges_total": define_counter("Reads sent a second time."),
    "service_seconds": define_histogram("Time of a statement at the backend server."),
    "confirmation_seconds": define_histogram(
        "Time until a primary was proved to lead."
    ),
    "promotion_seconds": define_histogram(
        "Time from the claim of a promotion to its end."
    ),
    "backend_connections_opened_total": define_counter(
        "Connections opened to backend servers."
    ),
    "held_bytes": Metric(
        kind=MetricKind.GAUGE, help="Bytes held for callers, once a second."
    ),
    "holders_released_total": define_counter(
        "Connections that held the most at the limit of the process.", "kind"
    ),
    "reading_paused_total": define_counter(
        "Times that a caller had sent too much ahead."
    ),
    "stalled_callers_total": define_counter(
        "Callers that stopped in the middle, by reason.", "reason"
    ),
    "answers_dropped_total": define_counter(
        "Answers of backend servers that were too large."
    ),
    "requests_closed_total": define_counter(
        "Connections to HTTP ports that were closed for newer ones."
    ),
}
"""Metrics by name, without the common prefix."""
