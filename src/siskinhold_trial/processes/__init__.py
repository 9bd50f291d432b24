"""Starts real processes on loopback, for the demo and tests of the programs."""

from ._deployment import ZONES, LocalDeployment, VmProcess
from ._processes import Processes, ProcessFailed, RunningProcess, find_free_ports

__all__ = [
    "LocalDeployment",
    "ProcessFailed",
    "Processes",
    "RunningProcess",
    "VmProcess",
    "ZONES",
    "find_free_ports",
]
