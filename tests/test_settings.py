"""Tests of the INI settings."""

import dataclasses
import hashlib
from pathlib import Path

import pytest

from siskinhold.model import VmAddress
from siskinhold.settings import KEYS, load_settings, parse_settings, render_reference

MINIMAL = """
[vm]
name = vm-1
host = 127.0.0.1
region = leinster
availability_zone = leinster-a
[store]
url = http://127.0.0.1:7400
[fleet]
key = 000102030405060708090a0b0c0d0e0f
[users]
mill = alder
"""


def parse(text):
    return parse_settings(text, file="vm.ini")


def faults(text):
    """Return the section, key and text of each fault."""
    report = parse(text).unwrap_err()
    return [(fault.section, fault.key, str(fault)) for fault in report.faults]


def locate_faults(text):
    return {(section, key) for section, key, _ in faults(text)}


class TestValues:
    def test_minimal(self):
        """Absent keys get their defaults, and every key has a settings field."""
        settings = parse(MINIMAL).unwrap()
        for key in KEYS:
            assert hasattr(getattr(settings, key.section), key.name)
        assert settings.callers.port == 3306
        assert settings.fleet.key == (bytes(range(16)),)
        assert settings.address.peer_port == settings.peers.port

    def test_every_key(self):
        """Multi-line lists of seeds and keys are parsed, as are IPv6 addresses."""
        text = MINIMAL + "[peers]\nport = 7\nseeds =\n  b=10.0.0.2:7300/r/z\n"
        text += "  c=[::1]:1/r/z\n[operator]\nport = 0\n"
        text = text.replace("0d0e0f\n", "0d0e0f\n  " + "ab" * 20 + "\n")
        settings = parse(text).unwrap()
        assert settings.peers.seeds == (
            VmAddress(
                name="b",
                host="10.0.0.2",
                peer_port=7300,
                region="r",
                availability_zone="z",
            ),
            VmAddress(
                name="c", host="::1", peer_port=1, region="r", availability_zone="z"
            ),
        )
        assert len(settings.fleet.key) == 2

    def test_passwords(self):
        """Plain and hashed passwords give the same hash; user names keep their case."""
        inner_digest = hashlib.sha1(b"alder").digest()
        password_hash = hashlib.sha1(inner_digest).hexdigest()
        text = MINIMAL + f"Mill = {password_hash.upper()}\nother = *{password_hash}\n"
        users = parse(text).unwrap().users
        assert dict(users) == {
            "mill": password_hash,
            "Mill": password_hash,
            "other": password_hash,
        }

    def test_settings_are_immutable_and_hide_secrets(self):
        """Settings are immutable, and their `repr` in a log line holds no secrets."""
        settings = parse(MINIMAL).unwrap()
        with pytest.raises(dataclasses.FrozenInstanceError):
            settings.vm.name = "other"
        with pytest.raises(TypeError):
            settings.users["mill"] = ""
        assert "alder" not in repr(settings) and "\\x0f" not in repr(settings)


class TestFaults:
    def test_all_in_one_report(self):
        """All faults are reported at once, with section, key and allowed range."""
        text = MINIMAL.replace("name = vm-1", "name = a b").replace("[store]", "")
        text += "\n[callers]\nport = 70000\nmax_sessions = x\ntls_key = k\nfoo = 1\n"
        text += "[pears]\nport = 1\n[peers]\nseeds = b=host:1/r/z\nport = 7301\n"
        found = faults(text)
        assert {(section, key) for section, key, _ in found} == {
            ("vm", "name"),
            ("vm", "url"),
            ("callers", "port"),
            ("callers", "max_sessions"),
            ("callers", "tls_certificate"),
            ("callers", "tls_key"),
            ("callers", "foo"),
            ("pears", ""),
            ("peers", "seeds"),
            ("operator", "port"),
            ("store", "url"),
        }
        caller_faults = [line for section, key, line in found if section == "callers"]
        expected = "vm.ini [callers] port: 70000 is out of range; allowed: 1 to 65535"
        assert expected in caller_faults

    @pytest.mark.parametrize("key", [key for key in KEYS if key.high])
    def test_bounds(self, key):
        """Integers are accepted at their bounds and refused beyond them."""
        text = MINIMAL.replace("[store]", "[store]\n") + "[callers]\n[peers]\n"
        text += "[operator]\n[backends]\n"
        for number, wrong in [
            (key.low - 1, True),
            (key.low, False),
            (key.high, False),
            (key.high + 1, True),
        ]:
            changed = text.replace(
                f"[{key.section}]\n", f"[{key.section}]\n{key.name} = {number}\n"
            )
            result = parse(changed)
            assert result.is_err() == wrong
            if wrong:
                assert locate_faults(changed) == {(key.section, key.name)}

    @pytest.mark.parametrize(
        "line", ["key = zz", "key =", "key = aabb", "key = " + "00" * 65]
    )
    def test_bad_fleet_key(self, line):
        """An invalid key is refused, and the report doesn't quote the secret."""
        text = MINIMAL.replace("key = 000102030405060708090a0b0c0d0e0f", line)
        ((section, key, message),) = faults(text)
        assert (section, key) == ("fleet", "key")
        assert "aabb" not in message and "zz" not in message

    def test_users(self):
        """An empty password would let anybody log in, so it is refused."""
        assert locate_faults(MINIMAL + "other =\n") == {("users", "other")}
        assert locate_faults(MINIMAL.replace("mill = alder", "")) == {("users", "")}

    def test_duplicates_and_broken_lines(self):
        """Other faults are reported as well when a line is duplicate or malformed."""
        text = MINIMAL + "mill = b\n[callers]\nport = 0\n"
        assert locate_faults(text) == {("users", "mill"), ("callers", "port")}
        text = MINIMAL + "[callers]\nport = 0\nnonsense\n"
        assert locate_faults(text) == {("callers", "port"), ("", "")}
        assert ("", "") in locate_faults("port = 1\n")
        assert locate_faults(MINIMAL + "[DEFAULT]\nport = 5\n") >= {("DEFAULT", "")}

    def test_unreadable_file(self, tmp_path):
        """A missing file, a directory, a binary file and a NUL byte in the path
        are reported as faults; none raises."""
        binary = tmp_path / "binary.ini"
        binary.write_bytes(b"\xff\xfe[")
        for path in [str(tmp_path / "none"), str(tmp_path), str(binary), "a\0b"]:
            report = load_settings(path).unwrap_err()
            assert report.faults[0].file == path
        good = tmp_path / "vm.ini"
        good.write_text(MINIMAL)
        assert load_settings(str(good)).is_ok()


class TestReference:
    def test_page_is_current(self):
        """docs/settings.md is what `render_reference` returns."""
        page = Path(__file__).parent.parent / "docs" / "settings.md"
        assert page.read_text(encoding="utf-8") == render_reference()
