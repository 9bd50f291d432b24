"""Statement kinds, marks and shapes, found without a full parse of the SQL."""

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
