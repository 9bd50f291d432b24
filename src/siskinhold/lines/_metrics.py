"""Metrics of a VM that runs the direct core."""

from ..observability import Metric, define_counter, define_gauge, define_histogram

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
    "slowdowns_total": define_counter("Backend servers found to be slower than usual."),
    "slowed_server_reads_total": define_counter("Statements sent to such a server."),
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
    "rate_refusals_total": define_counter(
        "Operations beyond the rate of their client account, by account.", "account"
    ),
    "key_refusals_total": define_counter(
        "Callers and statements refused because of their key, by reason.", "reason"
    ),
    "callers_moved_total": define_counter(
        "Relayed callers whose account another VM serves."
    ),
    "accounts_served": define_gauge(
        "Client accounts with callers whose home this VM is."
    ),
    "accounts_home": define_gauge("1 if this VM may be the home of accounts, else 0."),
    "configuration_checks_total": define_counter(
        "Checks whether the configuration is the newest one, by result.", "result"
    ),
    "configuration_age_seconds": define_gauge(
        "Time since the configuration was known to be the newest one."
    ),
    "backend_connections": define_gauge(
        "Connections to backend servers, by state.", "state"
    ),
    "backend_statements": define_gauge(
        "Prepared statements that servers keep for connections."
    ),
    "backend_statements_released_total": define_counter(
        "Prepared statements that servers forgot to make room."
    ),
    "backend_kept_bytes": define_gauge(
        "Bytes of values and prepared statements that servers keep for connections."
    ),
    "backend_connections_replaced_total": define_counter(
        "Idle connections that gave way to one of another client account."
    ),
    "held_bytes": define_gauge("Bytes held for callers, once a second."),
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
