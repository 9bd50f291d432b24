"""Limits on the operations of client accounts in the whole fleet."""

from ._admission import (
    admit_operation,
    list_demands,
    maintain_rates,
    note_reported,
    refuse_rate,
)

__all__ = [
    "admit_operation",
    "list_demands",
    "maintain_rates",
    "note_reported",
    "refuse_rate",
]
