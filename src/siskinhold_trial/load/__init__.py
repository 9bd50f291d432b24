"""Measures of scheduling under load: one VM's pool in simulated time."""

from ._deployments import CRANNOG, MALABAR, Deployment
from ._policies import FirstComeQueue, make_baseline, make_policy
from ._short_wait import ShortWait, Spread, measure_short_wait

__all__ = [
    "CRANNOG",
    "MALABAR",
    "Deployment",
    "FirstComeQueue",
    "ShortWait",
    "Spread",
    "make_baseline",
    "make_policy",
    "measure_short_wait",
]
