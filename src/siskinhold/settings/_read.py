"""Reads a settings file and reports all its faults at once."""

import configparser
from types import MappingProxyType

from result import Err, Ok, Result

from ._keys import KEYS, USERS_SECTION, Key
from ._types import (
    BackendSettings,
    CallerSettings,
    FleetSettings,
    OperatorSettings,
    PeerSettings,
    Settings,
    SettingsFault,
    SettingsReport,
    StoreSettings,
    TimelineSettings,
    VmSettings,
)
from ._values import parse_user, parse_value

_SECTIONS = {
    "vm": VmSettings,
    "callers": CallerSettings,
    "peers": PeerSettings,
    "operator": OperatorSettings,
    "backends": BackendSettings,
    "store": StoreSettings,
    "fleet": FleetSettings,
    "timeline": TimelineSettings,
}
# configparser copies the keys of this section into all others.
_DEFAULT_SECTION = "DEFAULT"


def load_settings(path: str) -> Result[Settings, SettingsReport]:
    """Read and check the settings file at a path. Never raises."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        fault = SettingsFault(
            file=path, section="", key="", problem=f"can't be read: {reason}"
        )
        return Err(SettingsReport(faults=(fault,)))
    return parse_settings(text, file=path)


def parse_settings(text: str, *, file: str) -> Result[Settings, SettingsReport]:
    """Check the text of a settings file. Never raises.

    Args:
        text: the INI text.
        file: its path, for the report.
    """
    return _Reader(file).read(text)


class _Reader:
    """Collects the values and the faults of one settings file."""

    def __init__(self, file: str) -> None:
        self._file = file
        self._faults: list[SettingsFault] = []

    def read(self, text: str) -> Result[Settings, SettingsReport]:
        """Return the settings, or the report of all faults."""
        parser = self._parse(text)
        self._check_names(parser)
        values = {section: {} for section in _SECTIONS}
        for key in KEYS:
            self._read_key(parser, key, values[key.section])
        users = self._read_users(parser)
        self._check_combinations(values)
        if self._faults:
            return Err(SettingsReport(faults=tuple(self._faults)))
        sections = {
            name: section_type(**values[name])
            for name, section_type in _SECTIONS.items()
        }
        return Ok(Settings(users=MappingProxyType(users), **sections))

    def _add_fault(
        self, problem: str, *, section: str = "", key: str = "", allowed: str = ""
    ) -> None:
        self._faults.append(
            SettingsFault(
                file=self._file,
                section=section,
                key=key,
                problem=problem,
                allowed=allowed,
            )
        )

    def _parse(self, text: str) -> configparser.ConfigParser:
        """Parse the text and record faults of its syntax.

        Returns a parser with all that could be read.
        """
        parser = _make_parser(strict=True)
        try:
            parser.read_string(text)
            return parser
        except configparser.DuplicateOptionError as error:
            self._add_fault("is given twice", section=error.section, key=error.option)
        except configparser.DuplicateSectionError as error:
            self._add_fault("the section is given twice", section=error.section)
        except configparser.Error:
            pass
        # Parse again leniently, so that the remaining faults are reported too.
        parser = _make_parser(strict=False)
        try:
            parser.read_string(text)
        except configparser.MissingSectionHeaderError as error:
            self._add_fault(f"line {error.lineno} is before the first section")
        except configparser.ParsingError as error:
            for line, _ in error.errors:
                self._add_fault(f"line {line} is invalid: no key=value pair")
        return parser

    def _check_names(self, parser: configparser.ConfigParser) -> None:
        """Record unknown sections and keys."""
        known = {(key.section, key.name) for key in KEYS}
        if parser.defaults():
            self._add_fault("unknown section", section=_DEFAULT_SECTION)
        for section in parser.sections():
            if section == USERS_SECTION:
                continue
            if section not in _SECTIONS:
                allowed = ", ".join((*_SECTIONS, USERS_SECTION))
                self._add_fault("unknown section", section=section, allowed=allowed)
                continue
            for name in parser[section]:
                if (section, name) not in known and name not in parser.defaults():
                    names = [key.name for key in KEYS if key.section == section]
                    self._add_fault(
                        "unknown key",
                        section=section,
                        key=name,
                        allowed=", ".join(names),
                    )

    def _read_key(
        self,
        parser: configparser.ConfigParser,
        key: Key,
        values: dict[str, object],
    ) -> None:
        """Store the value of a key in `values`, or record why it is unusable."""
        text = parser.get(key.section, key.name, fallback=key.default)
        problem = "is missing"
        if text is not None:
            try:
                values[key.name] = parse_value(key, text.strip())
                return
            except ValueError as error:
                problem = str(error)
        self._add_fault(problem, section=key.section, key=key.name, allowed=key.allowed)

    def _read_users(self, parser: configparser.ConfigParser) -> dict[str, str]:
        """Return the password hashes by user name; records unusable ones."""
        users: dict[str, str] = {}
        if not parser.has_section(USERS_SECTION) or not parser[USERS_SECTION]:
            self._add_fault("no user is defined", section=USERS_SECTION)
            return users
        for name, text in parser[USERS_SECTION].items():
            try:
                users[name] = parse_user(name, text or "")
            except ValueError as error:
                self._add_fault(str(error), section=USERS_SECTION, key=name[:80])
        return users

    def _check_combinations(self, values: dict[str, dict[str, object]]) -> None:
        """Record faults of the TLS files and ports that are used twice."""
        callers = values["callers"]
        certificate = callers.get("tls_certificate", "")
        private_key = callers.get("tls_key", "")
        if bool(certificate) != bool(private_key):
            missing = "tls_key" if certificate else "tls_certificate"
            self._add_fault(
                "tls_certificate and tls_key need each other",
                section="callers",
                key=missing,
            )
        for name in ("tls_certificate", "tls_key"):
            self._check_file(str(callers.get(name, "")), name)
        ports: dict[object, str] = {}
        for section in ("callers", "peers", "operator"):
            port = values[section].get("port")
            if not port:
                continue
            if port in ports:
                problem = f"port {port} is already used by [{ports[port]}]"
                self._add_fault(problem, section=section, key="port")
            ports.setdefault(port, section)

    def _check_file(self, path: str, name: str) -> None:
        """Record a fault if a file is set and can't be read."""
        if not path:
            return
        try:
            with open(path, "rb"):
                pass
        except OSError as error:
            problem = f"file {path!r} can't be read: {error.strerror}"
            self._add_fault(problem, section="callers", key=name)


def _make_parser(*, strict: bool) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        strict=strict,
        empty_lines_in_values=False,
    )
    # User names are case-sensitive; the default converts keys to lower case.
    parser.optionxform = str
    return parser
