"""Settings of a proxy VM and the report of their faults."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..model import VmAddress


@dataclass(slots=True, kw_only=True, frozen=True)
class VmSettings:
    """Section `vm`: name, address and location of this VM.

    `KEYS` describes the keys of all sections.
    """

    name: str
    host: str
    region: str
    availability_zone: str
    log_level: str


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerSettings:
    """Section `callers`: the port for callers and its limits."""

    port: int
    max_sessions: int
    max_statement_bytes: int
    handshake_timeout_ms: int
    tls_certificate: str
    tls_key: str


@dataclass(slots=True, kw_only=True, frozen=True)
class PeerSettings:
    """Section `peers`: the port for other VMs, and the VMs to contact at startup."""

    port: int
    seeds: tuple[VmAddress, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class OperatorSettings:
    """Section `operator`: the port for operators."""

    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class BackendSettings:
    """Section `backends`: credentials and timeout for backend connections."""

    user: str
    password: str = field(repr=False)
    connect_timeout_ms: int


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreSettings:
    """Section `store`: the platform's object store."""

    url: str
    timeout_ms: int


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetSettings:
    """Section `fleet`: the keys of session tokens; the first one signs."""

    key: tuple[bytes, ...] = field(repr=False)


@dataclass(slots=True, kw_only=True, frozen=True)
class TimelineSettings:
    """Section `timeline`: the file that timeline events are written to."""

    path: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Settings:
    """All settings of a proxy VM.

    Args:
        users: SHA1(SHA1(password)) as 40 hex digits, by the caller's user name.
    """

    vm: VmSettings
    callers: CallerSettings
    peers: PeerSettings
    operator: OperatorSettings
    backends: BackendSettings
    store: StoreSettings
    fleet: FleetSettings
    timeline: TimelineSettings
    users: Mapping[str, str] = field(repr=False)

    @property
    def address(self) -> VmAddress:
        """The address under which other VMs reach this VM."""
        return VmAddress(
            name=self.vm.name,
            host=self.vm.host,
            peer_port=self.peers.port,
            operator_port=self.operator.port,
            region=self.vm.region,
            availability_zone=self.vm.availability_zone,
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class SettingsFault:
    """One fault of a settings file.

    Args:
        file: the file's path.
        section: the section; empty for the file as a whole.
        key: the key; empty for the section as a whole.
        problem: what is wrong. It never holds a secret value.
        allowed: the accepted values; empty where they don't explain the problem.
    """

    file: str
    section: str
    key: str
    problem: str
    allowed: str = ""

    @property
    def place(self) -> str:
        """File, section and key."""
        place = self.file
        if self.section:
            place += f" [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return place

    @property
    def reason(self) -> str:
        """The problem, followed by the accepted values if there are any."""
        if not self.allowed:
            return self.problem
        return f"{self.problem}; allowed: {self.allowed}"

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


@dataclass(slots=True, kw_only=True, frozen=True)
class SettingsReport:
    """All faults of a settings file; `str` returns one per line."""

    faults: tuple[SettingsFault, ...]

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self.faults)
