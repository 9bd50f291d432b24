"""Measurements of scheduling under load: one VM's pool in simulated time."""

from ._deployments import CRANNOG, MALABAR, Deployment
from ._peak_load import PeakLoadResult, measure_peak_load
from ._policies import FifoQueue, make_baseline, make_policy
from ._short_wait import Percentiles, ShortWaitResult, measure_short_wait
from ._take_cost import make_job, measure_take_time

__all__ = [
    "CRANNOG",
    "MALABAR",
    "PeakLoadResult",
    "Deployment",
    "FifoQueue",
    "ShortWaitResult",
    "Percentiles",
    "make_baseline",
    "make_policy",
    "measure_peak_load",
    "make_job",
    "measure_short_wait",
    "measure_take_time",
]
