"""A simulated deployment in one process, for proofs and measurements."""

from ._deployments import CRANNOG, MALABAR, Deployment, make_ticket
from ._fleet import Fleet
from ._vms import FleetVm

__all__ = ["CRANNOG", "MALABAR", "Deployment", "Fleet", "FleetVm", "make_ticket"]
