"""The metrics of `siskinhold-proxy`."""

from ..observability import (
    Metric,
    MetricKind,
    Metrics,
    define_counter,
    define_histogram,
)

__all__ = ["METRICS", "Metric", "MetricKind", "Metrics"]

METRICS: dict[str, Metric] = {
    "timeline_events": define_counter("Events of the time line by name.", "event"),
    "statements_total": define_counter("Statements of callers, by kind.", "kind"),
    "statement_seconds": define_histogram(
        "Time from statement to reply, by kind.", "kind"
    ),
    "served_total": define_counter(
        "Statements done, by the role of the server.", "role"
    ),
    "request_seconds": define_histogram("Time of a request at its pool owner."),
    "refused_total": define_counter(
        "Requests refused as not run, by reason.", "reason"
    ),
    "unknown_total": define_counter(
        "Requests of unknown outcome, by reason.", "reason"
    ),
    "retries_total": define_counter("Requests run again, by cause.", "cause"),
    "queue_seconds": define_histogram("Time that a request waited in the queue."),
    "service_seconds": define_histogram("Time of a statement at the backend server."),
    "confirmation_seconds": define_histogram(
        "Time until a write's term was confirmed."
    ),
    "promotion_seconds": define_histogram(
        "Time from the start of a promotion to its end."
    ),
    "status_queries_total": define_counter("Status queries to backend servers."),
    "backend_connections_opened_total": define_counter(
        "Connections opened to servers."
    ),
}
"""Metric definitions, by name without the common prefix."""
