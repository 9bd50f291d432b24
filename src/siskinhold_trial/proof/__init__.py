"""Campaigns of seeded simulation runs with injected faults."""

from ._campaign import RunReport, run_seed
from ._faults import FAULTS, Fault
from ._mutants import MUTANTS, Mutant

__all__ = ["FAULTS", "Fault", "MUTANTS", "Mutant", "RunReport", "run_seed"]
