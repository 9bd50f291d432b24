"""Finds a statement's kind, execution hints and shape without parsing all its SQL.

The shape is a hash of the text without its literals.
"""

from ._classify import classify
from ._marks import parse_attributes, parse_marks
from ._shapes import shape
from ._types import (
    AcceptSetting,
    Classified,
    Fault,
    Forwarded,
    PresentToken,
    ReadValues,
    SetAutocommit,
    SetCharset,
    ShowWarnings,
    StatementError,
    UseDatabase,
)

__all__ = [
    "AcceptSetting",
    "Classified",
    "Fault",
    "Forwarded",
    "PresentToken",
    "ReadValues",
    "SetAutocommit",
    "SetCharset",
    "ShowWarnings",
    "StatementError",
    "UseDatabase",
    "classify",
    "parse_attributes",
    "parse_marks",
    "shape",
]
