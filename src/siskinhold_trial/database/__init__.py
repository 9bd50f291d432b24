"""A stand-in for a replicated database that speaks the MySQL protocol."""

from ._control import ControlPort, Faults, apply_faults, describe
from ._database import TrialDatabase
from ._errors import ServerError
from ._instance import Instance, LogEntry, Role
from ._server import InstanceLimits, InstanceServer

__all__ = [
    "ControlPort",
    "InstanceLimits",
    "Faults",
    "Instance",
    "InstanceServer",
    "LogEntry",
    "Role",
    "ServerError",
    "TrialDatabase",
    "apply_faults",
    "describe",
]
