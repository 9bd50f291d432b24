"""Measurements of both deployments and of baselines in simulated time."""

from ._plan import Task, list_tasks
from ._results import Measure, format_table, summarise

__all__ = ["Measure", "Task", "format_table", "list_tasks", "summarise"]
