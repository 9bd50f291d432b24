"""Limits on the operations of client accounts in the whole fleet."""

from ._admission import admit_operation, refuse_rate

__all__ = ["admit_operation", "refuse_rate"]
