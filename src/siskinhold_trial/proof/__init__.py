"""Campaigns of seeded simulation runs with injected faults."""

from ._campaign import RunReport, run_seed
from ._faults import FAULTS, RESTORE_FAULTS, Fault
from ._mutants import MUTANTS, Mutant

__all__ = [
    "FAULTS",
    "Fault",
    "MUTANTS",
    "Mutant",
    "RESTORE_FAULTS",
    "RunReport",
    "run_seed",
]
