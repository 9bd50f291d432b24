"""Tests the decoding of settings and of the store's objects."""

import platform
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from siskinhold.direct import (
    Consistency,
    LeaderRecord,
    LeaderState,
    ServerPlace,
    TermStart,
)
from siskinhold.model import Position
from siskinhold_platform import SettingsUnreadable, load_settings
from siskinhold_platform._objects import (
    ObjectUnreadable,
    decode_configuration,
    decode_leader,
    decode_server,
    encode_leader,
)

from .standins import Deployment, make_configuration

ROOT = Path(__file__).parent.parent.parent


def make_entry(**changes):
    entry = {
        "service": "db",
        "address": "10.128.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 5,
        "state": "ready",
        "warmup_left_ms": 0,
        "db_role": "replica",
        "seq_num": 4,
        "born": 1771274425960,
    }
    entry.update(changes)
    return entry


class TestServers:
    def test_published_entry_is_decoded(self):
        """Guards against a documented field that is decoded wrongly."""
        entry = decode_server("i-1", make_entry(state="draining", db_role="primary"))
        assert (entry.host, entry.port) == ("10.128.0.9", 8080)
        assert entry.draining and entry.leads

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": 7},
            {"address": "nowhere"},
            {"address": "example.org:80"},
            {"state": "sleeping"},
            {"db_role": "king"},
            {"service": None},
            {"slots": "many"},
            {"born": 1.5},
            {"born": True},
            {"zone": 3},
        ],
    )
    def test_invalid_entry_is_unreadable(self, changes):
        """Guards against using an invalid object as a backend server's entry."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(**changes))

    @pytest.mark.parametrize("spec", [None, 7, "text", [], {}, {"service": "db"}])
    def test_other_content_is_unreadable(self, spec):
        """Guards against a crash on content of another shape."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", spec)


class TestConfiguration:
    def test_routes_by_database(self):
        """Guards against times in the wrong unit."""
        spec = make_configuration(7, {"orders": "primary", "views": "read_own_writes"})
        configuration = decode_configuration(spec)
        assert configuration.version == 7
        route = configuration.routes["views"]
        assert route.consistency is Consistency.READ_YOUR_WRITES
        assert (route.timeout, route.staleness) == (1.0, 1.5)

    @pytest.mark.parametrize("number, expected", [(0, 0), (2, 2), (None, None)])
    def test_number_of_acknowledging_replicas(self, number, expected):
        """Guards against promotions that don't know what replicas acknowledge."""
        spec = make_configuration(7, {"orders": "primary"})
        spec["services"][0]["sync_replicas"] = number
        configuration = decode_configuration(spec)
        assert configuration.acknowledging.get("db") == expected

    @pytest.mark.parametrize("spec", [None, {}, {"routes": 3}, {"version": "x"}])
    def test_other_content_is_unreadable(self, spec):
        """Guards against a crash on a malformed object."""
        with pytest.raises(ObjectUnreadable):
            decode_configuration(spec)


def make_accounts(*changes):
    """Return a configuration with an account for each change of its fields."""
    spec = make_configuration(7, {"orders": "primary"})
    spec["tenants"] = []
    for index, change in enumerate(changes):
        account = {"name": f"a{index}", "api_keys": [f"sk-{index}"]}
        spec["tenants"].append({**account, "rate_per_s": 5, "burst": 10, **change})
    return spec


class TestAccounts:
    def test_accounts_with_and_without_keys_and_limits(self):
        """Guards against an account without keys that stops a new version, and a limit
        of 0 that counts as none."""
        none = {"api_keys": None, "rate_per_s": None, "burst": None}
        spec = make_accounts({}, {"api_keys": [], "rate_per_s": 0}, none)
        configuration = decode_configuration(spec)
        assert configuration.keys == {"sk-0": "a0"}
        limits = [(a.rate, a.burst) for a in configuration.accounts.values()]
        assert limits == [(5.0, 10.0), (0.0, 10.0), (None, 0.0)]
        assert "sk-0" not in repr(configuration)

    def test_many_keys(self):
        """Guards against a decoding whose time grows with the square of the keys."""
        keys = [f"sk-{number}" for number in range(10_000)]
        configuration = decode_configuration(make_accounts({"api_keys": keys}))
        assert len(configuration.keys) == 10_000

    @pytest.mark.parametrize(
        ("change", "named"),
        [
            ({"api_keys": ["sk-0", "sk-1"]}, "'a0' and 'a1'"),
            ({"api_keys": "sk-1"}, "'a1': the keys are no list"),
            ({"api_keys": {"sk-1": 1}}, "'a1': the keys are no list"),
            ({"api_keys": ["sk-1", ["sk-2"]]}, "'a1': a key is no text"),
            ({"api_keys": [""]}, "'a1': a key is no text"),
            ({"rate_per_s": -1}, "'a1': rate_per_s is -1"),
            ({"rate_per_s": ["sk-1"]}, "'a1': rate_per_s is a list"),
            ({"burst": float("nan")}, "'a1': burst is nan"),
            ({"burst": True}, "'a1': burst is a bool"),
            ({"name": "a0"}, "'a0' is listed twice"),
            ({"name": ["sk-1"]}, "a list is no string"),
            ({"name": None}, "a NoneType is no string"),
        ],
    )
    def test_unusable_account_is_named_and_its_key_is_not(self, change, named):
        """Guards against an error that does not lead to the account, and a key in the
        log."""
        with pytest.raises(ObjectUnreadable) as caught:
            decode_configuration(make_accounts({}, change))
        assert named in str(caught.value)
        assert "sk-" not in str(caught.value)

    @pytest.mark.parametrize("accounts", ["sk-1", {"sk-1": {}}, ["sk-1"], [None], 7])
    def test_other_content_is_unreadable(self, accounts):
        """Guards against a crash, or a key in the log, on a malformed list."""
        with pytest.raises(ObjectUnreadable) as caught:
            decode_configuration(make_accounts() | {"tenants": accounts})
        assert "sk-" not in str(caught.value)


class TestLeaderRecords:
    def test_round_trip(self):
        """Guards against a VM that can't recognize its own claim in the store."""
        record = LeaderRecord(
            state=LeaderState.PROMOTING,
            server="i-1",
            term=3,
            vm="vm",
            attempt="a1",
            holder="vm2",
            starts=(TermStart(term=3, position=Position(1, 64)),),
            servers=(ServerPlace(server="i-1", host="10.0.0.1", port=4001),),
        )
        assert decode_leader(encode_leader(record)) == record

    def test_record_of_an_older_version_is_held_by_its_vm(self):
        """Guards against a promotion right after that of a VM of an older version."""
        record = LeaderRecord(
            state=LeaderState.STABLE,
            server="i-1",
            term=3,
            vm="vm",
            attempt="a1",
            holder="",
        )
        content = encode_leader(record)
        del content["holder"]
        assert decode_leader(content).holder == "vm"


class TestSettings:
    def write(self, tmp_path, fields):
        path = tmp_path / "settings.yaml"
        path.write_text(yaml.safe_dump(fields))
        return str(path)

    def test_unknown_fields_are_ignored(self, tmp_path):
        """Guards against a failed start with the settings of a newer platform."""
        fields = Deployment().make_settings("vm-1", (5001, 5002, 5003))
        settings = load_settings(self.write(tmp_path, fields))
        assert settings.name == "vm-1"
        assert (settings.caller_port, settings.metrics_port) == (5001, 5003)

    @pytest.mark.parametrize("missing", ["node_name", "listen", "platform", "bounds"])
    def test_missing_field_is_named(self, tmp_path, missing):
        """Guards against an error that doesn't name the field."""
        fields = Deployment().make_settings("vm-1", (5001, 5002, 5003))
        del fields[missing]
        with pytest.raises(SettingsUnreadable, match=missing):
            load_settings(self.write(tmp_path, fields))

    @pytest.mark.parametrize("text", ["", "[", "\x00", "- 1", "listen: 3"])
    def test_broken_file_is_one_line(self, tmp_path, text):
        """Guards against a traceback or a multi-line error."""
        path = tmp_path / "settings.yaml"
        path.write_text(text)
        with pytest.raises(SettingsUnreadable) as caught:
            load_settings(str(path))
        assert "\n" not in str(caught.value)


class TestFolder:
    def test_standard_library_is_still_found(self):
        """Guards against a folder that hides the standard library's `platform`."""
        assert platform.python_version()
        code = "import platform; print(platform.python_version())"
        done = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        assert done.stdout.strip() == platform.python_version()

    @pytest.mark.parametrize(
        "word",
        [
            "X-Siskinhold-",
            "/-/objects",
            "db_role",
            "STEPDOWN",
            "max_staleness",
            "MISROUTED",
            "READONLY",
            "INDOUBT",
            "NOSTMT",
        ],
    )
    def test_source_contains_no_platform_names(self, word):
        """Guards against names of the platform in siskinhold's own source."""
        found = []
        for path in (ROOT / "src").rglob("*.py"):
            if word in path.read_text("utf-8"):
                found.append(str(path))
        assert found == []
