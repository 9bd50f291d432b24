"""Mutants of the core that lack one rule, which the checks must detect.

Each mutant replaces one function of the core while it is active. A campaign
over a mutant must find violations; one over the unmodified core must not.
"""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from unittest import mock

from siskinhold.core import (
    _answers,
    _confirmation,
    _entries,
    _health,
    _owners,
    _placement,
    _pools,
    _routes,
    _shutdown,
)
from siskinhold.model import NotRun, ServerState

from ._faults import (
    FAULTS,
    Fault,
    delay_replicas,
    drain_server,
    isolate_primary_with_owner,
    kill_owner,
    kill_vm,
    lose_answers,
    restart_vm_gracefully,
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Mutant:
    """The core without one rule.

    Args:
        name: the rule that is missing.
        target: the module that holds the replaced function.
        attribute: the function's name in that module.
        replacement: takes the original function and returns its replacement.
        faults: the faults under which the missing rule leads to violations.
        also: mutants whose rules are missing as well, as they hide this one.
    """

    name: str
    target: object
    attribute: str
    replacement: Callable[[Callable], Callable]
    faults: tuple[Fault, ...]
    also: tuple["Mutant", ...] = ()

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Replace the function within the context."""
        original = getattr(self.target, self.attribute)
        replacement = self.replacement(original)
        with contextlib.ExitStack() as stack:
            for other in self.also:
                stack.enter_context(other.active())
            patch = mock.patch.object(self.target, self.attribute, replacement)
            stack.enter_context(patch)
            yield


def _select_faults(*actions: Callable) -> tuple[Fault, ...]:
    return tuple(fault for fault in FAULTS if fault.run in actions)


def _confirm_always(original: Callable) -> Callable:
    return lambda *args, **kwargs: True


def _ignore_position(original: Callable) -> Callable:
    def confirm(node, database, since, *, term, position=None):
        return original(node, database, since, term=term, position=None)

    return confirm


def _ignore_floor(original: Callable) -> Callable:
    return lambda node, health, job: True


def _forget_attempt(original: Callable) -> Callable:
    """Answer "not run" although an earlier attempt may have run."""

    def refuse(node, job, reason, out, detail=""):
        _pools.answer(node, job, NotRun(reason=reason, detail=detail), out)

    return refuse


def _forget_keys(original: Callable) -> Callable:
    """Answer "not run" although an earlier request with the key may have run."""
    return lambda marks: False


def _repeat_all(original: Callable) -> Callable:
    """Resend any write after its owner was lost."""

    def resend(node, entry, out):
        _routes._schedule_resend(node, entry)

    return resend


def _ignore_leaving(original: Callable) -> Callable:
    def fit(node, health):
        if health.server.state is ServerState.LEAVING:
            return _health.is_reachable(node, health)
        return original(node, health)

    return fit


def _drop_positions(original: Callable) -> Callable:
    return lambda session, database, position: None


def _ignore_in_flight(original: Callable) -> Callable:
    return lambda node: 0


_KEY_UNSETTLED = Mutant(
    name="key_unsettled",
    target=_entries,
    attribute="_has_key",
    replacement=_forget_keys,
    faults=_select_faults(lose_answers),
)

MUTANTS = (
    Mutant(
        name="write_confirmation",
        target=_confirmation,
        attribute="confirm_since",
        replacement=_confirm_always,
        faults=_select_faults(isolate_primary_with_owner),
    ),
    Mutant(
        name="replica_holds_write",
        target=_confirmation,
        attribute="confirm_since",
        replacement=_ignore_position,
        faults=_select_faults(isolate_primary_with_owner, delay_replicas),
    ),
    Mutant(
        name="read_position",
        target=_placement,
        attribute="can_read",
        replacement=_ignore_floor,
        faults=_select_faults(delay_replicas),
    ),
    Mutant(
        name="session_position",
        target=_entries,
        attribute="raise_position",
        replacement=_drop_positions,
        faults=_select_faults(delay_replicas),
    ),
    Mutant(
        name="not_run_after_attempt",
        target=_answers,
        attribute="refuse",
        replacement=_forget_attempt,
        faults=_select_faults(lose_answers),
        also=(_KEY_UNSETTLED,),
    ),
    _KEY_UNSETTLED,
    Mutant(
        name="unknown_after_lost_owner",
        target=_owners,
        attribute="handle_owner_loss",
        replacement=_repeat_all,
        faults=_select_faults(kill_owner, kill_vm),
    ),
    Mutant(
        name="leaving_server_unfit",
        target=_pools,
        attribute="is_fit",
        replacement=_ignore_leaving,
        faults=_select_faults(drain_server),
    ),
    Mutant(
        name="drain_before_stop",
        target=_shutdown,
        attribute="_count_in_flight",
        replacement=_ignore_in_flight,
        faults=_select_faults(restart_vm_gracefully),
    ),
)
"""All mutants, by the rule they lack."""
