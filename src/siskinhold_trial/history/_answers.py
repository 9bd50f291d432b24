"""Checks of transactions and answers: guarantees 3 and 4."""

from collections.abc import Iterable

from siskinhold.model import Done, RequestId

from ._records import DatabaseRecord, History, Invocation
from ._violations import AnswerMismatched, TransactionMixed, Violation


def check_transactions(
    history: History, records: Iterable[DatabaseRecord]
) -> list[Violation]:
    """Check guarantee 3: transactions of callers and servers match one to one.

    A transaction on a backend server holds statements of one caller transaction
    only, and a caller transaction is not split over several of them. A server
    transaction that committed nothing does not count as a split: when the
    connection of a first statement is lost, the server rolls back and the
    statement is started again elsewhere.
    """
    caller_transactions = {
        invocation.tag: invocation.transaction for invocation in history.invocations
    }
    violations: list[Violation] = []
    caller_by_backend: dict[tuple, str] = {}
    backend_by_caller: dict[str, tuple] = {}
    records = list(records)
    committed = {
        (execution.server, execution.connection, execution.transaction)
        for record in records
        for execution in record.executions
        if execution.committed_at is not None
    }
    for record in records:
        for execution in record.executions:
            caller_transaction = caller_transactions.get(execution.tag)
            if caller_transaction is None or execution.ran_at is None:
                continue
            backend_transaction = (
                execution.server,
                execution.connection,
                execution.transaction,
            )
            if execution.transaction == 0:
                if caller_transaction:
                    violations.append(
                        _make_mixed(execution.tag, "ran outside", caller_transaction)
                    )
                continue
            if (
                caller_by_backend.setdefault(backend_transaction, caller_transaction)
                != caller_transaction
            ):
                violations.append(
                    _make_mixed(
                        execution.tag, "shares", caller_by_backend[backend_transaction]
                    )
                )
            if execution.form == "begin" or not caller_transaction:
                continue
            if backend_transaction not in committed:
                continue
            if (
                backend_by_caller.setdefault(caller_transaction, backend_transaction)
                != backend_transaction
            ):
                violations.append(
                    _make_mixed(execution.tag, "split", caller_transaction)
                )
    return violations


def _make_mixed(tag: str, what: str, transaction: str) -> Violation:
    return TransactionMixed(
        subject=tag, detail=f"{what} transaction {transaction or 'of autocommit'}"
    )


def check_answers(
    history: History, records: Iterable[DatabaseRecord]
) -> list[Violation]:
    """Check guarantee 4: each request gets one complete answer, and only its own.

    A read of the form `SELECT v, '<tag>' FROM ...` must return its own tag.
    """
    violations: list[Violation] = []
    for request in history.stray:
        violations.append(
            AnswerMismatched(subject=str(request), detail="nobody waited for it")
        )
    tags: dict[RequestId, str] = {}
    for invocation in history.invocations:
        if invocation.request is None:
            continue
        if tags.setdefault(invocation.request, invocation.tag) != invocation.tag:
            violations.append(_make_mismatch(invocation, "identity answered twice"))
        if invocation.parsed.form == "read" and invocation.is_done:
            if not _is_whole(invocation, invocation.outcome):
                violations.append(_make_mismatch(invocation, "other or partial rows"))
    for record in records:
        for execution in record.executions:
            tag = tags.get(execution.request)
            if tag is None or not execution.tag:
                continue
            if tag != execution.tag:
                violations.append(
                    AnswerMismatched(subject=tag, detail=f"ran {execution.tag}")
                )
    return violations


def _is_whole(invocation: Invocation, outcome: Done) -> bool:
    echo = invocation.parsed.value
    if len(outcome.rows) != 1:
        return False
    row = outcome.rows[0]
    if not echo:
        return len(row) == 1
    return len(row) == 2 and row[1] == echo.encode()


def _make_mismatch(invocation: Invocation, detail: str) -> Violation:
    return AnswerMismatched(subject=invocation.tag, detail=detail)
