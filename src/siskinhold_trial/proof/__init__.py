"""Campaigns of seeded runs under faults."""

from ._campaign import RunReport, run_seed
from ._faults import FAULTS, Fault

__all__ = ["FAULTS", "Fault", "RunReport", "run_seed"]
