"""Loads and validates the INI settings of a proxy VM."""

from ._keys import KEYS, USERS_SECTION, Key, Kind
from ._read import load_settings, parse_settings
from ._reference import render_reference
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

__all__ = [
    "KEYS",
    "USERS_SECTION",
    "BackendSettings",
    "CallerSettings",
    "FleetSettings",
    "Key",
    "Kind",
    "OperatorSettings",
    "PeerSettings",
    "Settings",
    "SettingsFault",
    "SettingsReport",
    "StoreSettings",
    "TimelineSettings",
    "VmSettings",
    "load_settings",
    "parse_settings",
    "render_reference",
]
