"""The table of all settings keys."""

import enum
from dataclasses import dataclass

USERS_SECTION = "users"
USERS_DESCRIPTION = (
    "One key for each caller's user name. Its value is the password, or "
    "SHA1(SHA1(password)) as 40 hex digits, optionally after `*`, as MySQL "
    "itself stores it. At least one user is needed."
)


class Kind(enum.Enum):
    """The type of a key's value, as the reference page names it."""

    NAME = "name"
    TEXT = "text"
    INTEGER = "integer"
    IP_ADDRESS = "IP address"
    CHOICE = "choice"
    PATH = "path"
    URL = "URL"
    HEX_KEYS = "hex keys"
    SEEDS = "addresses of VMs"


@dataclass(slots=True, kw_only=True, frozen=True)
class Key:
    """One settings key.

    Args:
        section: section that the key belongs to.
        name: name of the key.
        kind: type of the value.
        description: purpose of the key, for the reference page.
        default: text used when the key is absent; None for a required key.
        unit: unit of the value; empty for a value without a unit.
        low: smallest accepted value of an integer.
        high: largest accepted value of an integer.
        choices: accepted values of a choice.
    """

    section: str
    name: str
    kind: Kind
    description: str
    default: str | None = None
    unit: str = ""
    low: int = 0
    high: int = 0
    choices: tuple[str, ...] = ()

    @property
    def allowed(self) -> str:
        """The accepted values in words, for reports and the reference page."""
        if self.kind is Kind.INTEGER:
            unit = f" {self.unit}" if self.unit else ""
            return f"{self.low} to {self.high}{unit}"
        if self.kind is Kind.CHOICE:
            return ", ".join(self.choices)
        return _ALLOWED[self.kind]


_ALLOWED = {
    Kind.NAME: "1 to 64 letters, digits, dots, hyphens and underscores",
    Kind.TEXT: "at most 64 printable characters",
    Kind.IP_ADDRESS: "an IPv4 or IPv6 address",
    Kind.PATH: "a file path, or empty",
    Kind.URL: "http://host:port or https://host:port",
    Kind.HEX_KEYS: "keys of 16 to 64 bytes in hex, separated by spaces",
    Kind.SEEDS: "name=host:port/region/availability_zone, separated by spaces",
}

KEYS: tuple[Key, ...] = (
    Key(
        section="vm",
        name="name",
        kind=Kind.NAME,
        description="Unique name of this VM.",
    ),
    Key(
        section="vm",
        name="host",
        kind=Kind.IP_ADDRESS,
        description="Address that this VM listens on and is reached at.",
    ),
    Key(
        section="vm",
        name="region",
        kind=Kind.NAME,
        description="Region of this VM.",
    ),
    Key(
        section="vm",
        name="availability_zone",
        kind=Kind.NAME,
        description="Availability zone of this VM.",
    ),
    Key(
        section="vm",
        name="log_level",
        kind=Kind.CHOICE,
        default="info",
        choices=("debug", "info", "warning", "error"),
        description="Least level of log lines written.",
    ),
    Key(
        section="callers",
        name="port",
        kind=Kind.INTEGER,
        default="3306",
        low=1,
        high=65_535,
        description="TCP port for callers, MySQL protocol.",
    ),
    Key(
        section="callers",
        name="max_sessions",
        kind=Kind.INTEGER,
        default="20000",
        low=1,
        high=1_000_000,
        description="Callers' connections at a time; more are refused.",
    ),
    Key(
        section="callers",
        name="max_statement_bytes",
        kind=Kind.INTEGER,
        default="1048576",
        unit="bytes",
        low=1_024,
        high=67_108_864,
        description=(
            "Size of a statement with its query attributes; a larger one is refused "
            "as not run."
        ),
    ),
    Key(
        section="callers",
        name="handshake_timeout_ms",
        kind=Kind.INTEGER,
        default="10000",
        unit="ms",
        low=100,
        high=60_000,
        description="Time in which a caller must authenticate.",
    ),
    Key(
        section="callers",
        name="tls_certificate",
        kind=Kind.PATH,
        default="",
        description="PEM certificate chain for TLS; empty offers no TLS.",
    ),
    Key(
        section="callers",
        name="tls_key",
        kind=Kind.PATH,
        default="",
        description="PEM private key of the certificate.",
    ),
    Key(
        section="peers",
        name="port",
        kind=Kind.INTEGER,
        default="7300",
        low=1,
        high=65_535,
        description="TCP port for other VMs.",
    ),
    Key(
        section="peers",
        name="seeds",
        kind=Kind.SEEDS,
        default="",
        description="VMs to greet at the start; one a line is usual.",
    ),
    Key(
        section="operator",
        name="port",
        kind=Kind.INTEGER,
        default="7301",
        low=0,
        high=65_535,
        description="TCP port for operators, HTTP; 0 for none.",
    ),
    Key(
        section="backends",
        name="user",
        kind=Kind.NAME,
        default="siskinhold",
        description="User name on all backend servers.",
    ),
    Key(
        section="backends",
        name="password",
        kind=Kind.TEXT,
        default="",
        description="Its password.",
    ),
    Key(
        section="backends",
        name="connect_timeout_ms",
        kind=Kind.INTEGER,
        default="2000",
        unit="ms",
        low=50,
        high=60_000,
        description="Time after which opening a connection has failed.",
    ),
    Key(
        section="store",
        name="url",
        kind=Kind.URL,
        description="Where the platform's object store is.",
    ),
    Key(
        section="store",
        name="timeout_ms",
        kind=Kind.INTEGER,
        default="5000",
        unit="ms",
        low=50,
        high=60_000,
        description="Longest time of a store call; most calls give up earlier.",
    ),
    Key(
        section="fleet",
        name="key",
        kind=Kind.HEX_KEYS,
        description=(
            "Keys of session tokens, the same on all VMs. The first one signs, "
            "all are accepted."
        ),
    ),
    Key(
        section="timeline",
        name="path",
        kind=Kind.PATH,
        default="",
        description="File that timeline events are appended to; empty for stderr.",
    ),
)
