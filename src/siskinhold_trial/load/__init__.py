"""Measures of scheduling under load: one VM's pool in simulated time."""

from ._crest import Crest, measure_crest
from ._deployments import CRANNOG, MALABAR, Deployment
from ._policies import FirstComeQueue, make_baseline, make_policy
from ._short_wait import ShortWait, Spread, measure_short_wait
from ._take_cost import make_job, measure_take

__all__ = [
    "CRANNOG",
    "MALABAR",
    "Crest",
    "Deployment",
    "FirstComeQueue",
    "ShortWait",
    "Spread",
    "make_baseline",
    "make_policy",
    "measure_crest",
    "make_job",
    "measure_short_wait",
    "measure_take",
]
