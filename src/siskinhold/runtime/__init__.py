"""Runs the reducer: feeds it events and carries out its effects."""

from ._driver import Driver

__all__ = ["Driver"]
