"""Tests of every decoder with malformed input, derived from valid messages.

Guards against one malformed message that raises an unexpected error: an error of a
decoder ends the connection or the call at most, and is one that its docstring states.
"""

import random

import msgspec
from hypothesis import given, settings, strategies

from siskinhold.direct import DirectState, Statement, VmEntry
from siskinhold.lines import (
    AnswerLine,
    ConnectRequest,
    DisconnectRequest,
    MalformedLine,
)
from siskinhold.lines._sharing import StoreSnapshot, answer_snapshot
from siskinhold_platform import WireCodec
from siskinhold_platform._fields import SettingsUnreadable
from siskinhold_platform._objects import (
    ObjectUnreadable,
    decode_configuration,
    decode_connections,
    decode_leader,
    decode_server,
    decode_suspicion,
    decode_vm,
)
from siskinhold_platform._settings import decode_settings

from .standins import make_configuration

CODEC = WireCodec()

MESSAGES = 400
"""Messages that are tried for each decoder."""

ODD_TEXTS = ("", " ", "-", "-1", "1e9", "²", "٣", "9" * 5000, "\x00", "None", "é" * 70)
"""Texts in place of a field; some are digits to Unicode but not to `int`."""

ODD_VALUES = (
    None,
    True,
    -1,
    2**70,
    1.5,
    float("inf"),
    "",
    "²",
    [],
    {},
    [None],
    {"": 0},
)
"""Values in place of a member of a document."""

CALLER_LINES = (
    b"CONNECT lepu270 u3f1",
    b"QUERY 5c0e AFTER 3.1207 READ 1a4",
    b"QUERY 5c0e PREPARE s1 WRITE q2c",
    b"QUERY 5c0e EXECUTE s1 1a4 xkqp",
    b"QUERY 5c0e SET a 1",
    b"RELEASE",
)
ANSWER_LINES = (
    b"READY I 3.1209",
    b"READY T -",
    b"ROW replica 3 3.1209 0 12 2 17",
    b"COMPLETE 7.1f3.c.2b.90e1c4d2a7b3f655",
    b"ERROR READONLY i-7f3a91c2",
)
SNAPSHOT_PATHS = (b"/knowledge/3/120", b"/metrics", b"/knowledge/0/0")


@strategies.composite
def mutate_line(draw, lines):
    """Cut, repeat, swap, lengthen or replace the fields of a valid line."""
    fields = draw(strategies.sampled_from(lines)).decode().split(" ")
    generator = random.Random(draw(strategies.integers(0, 2**32)))
    for _ in range(generator.randint(1, 3)):
        place = generator.randrange(len(fields))
        action = generator.choice(("cut", "repeat", "swap", "part", "odd", "bytes"))
        if action == "cut" and len(fields) > 1:
            del fields[place]
        elif action == "repeat":
            fields.insert(place, fields[place])
        elif action == "swap":
            other = generator.randrange(len(fields))
            fields[place], fields[other] = fields[other], fields[place]
        elif action == "part":
            separator = generator.choice((".", "/"))
            parts = fields[place].split(separator)
            parts[generator.randrange(len(parts))] = generator.choice(ODD_TEXTS)
            fields[place] = separator.join(parts)
        elif action == "odd":
            fields[place] = generator.choice(ODD_TEXTS)
        else:
            fields[place] = fields[place][: generator.randint(0, 3)]
    line = " ".join(fields).encode()
    if generator.random() < 0.1:
        cut = generator.randint(0, len(line))
        line = line[:cut] + bytes([generator.randrange(256)]) + line[cut:]
    return line


def mutate_document(document, seed):
    """Return a copy of a document with some members removed or replaced."""
    generator = random.Random(seed)

    def copy(value):
        if generator.random() < 0.08:
            return generator.choice(ODD_VALUES)
        if isinstance(value, dict):
            kept = {k: copy(v) for k, v in value.items() if generator.random() > 0.05}
            return kept
        if isinstance(value, list):
            return [copy(item) for item in value]
        return value

    return copy(document)


SERVER = {
    "service": "booking",
    "address": "10.1.0.8:8069",
    "zone": "a",
    "version": "1",
    "slots": 3,
    "state": "ready",
    "warmup_left_ms": 0,
    "seq_num": 9,
    "born": 1796378542120,
    "db_role": "primary",
}
SETTINGS = {
    "node_name": "front-a-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "east",
    "zones": {"a": "east"},
    "listen": {
        "front": "127.0.0.1:8784",
        "ready": "127.0.0.1:8785",
        "control": "127.0.0.1:8782",
    },
    "internal_ports": [7440, 7455],
    "seeds": ["127.0.0.1:8782"],
    "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 300, "max_fds": 4200},
    "bounds": {"grace_s": 6},
    "platform": {"address": "127.0.0.1:8783"},
    "cloud_api": {"address": "127.0.0.1:8784"},
}
LEADER = {
    "state": "stable",
    "server": "i-1",
    "term": 3,
    "vm": "front-a-1",
    "attempt": "77",
}


def make_documents():
    """Return each decoder of a document with a valid one and its documented error."""
    configuration = make_configuration(4, {"lepu270": "primary"})
    return {
        "configuration": (decode_configuration, configuration, ObjectUnreadable),
        "server": (lambda d: decode_server("i-1", d), SERVER, ObjectUnreadable),
        "leader": (decode_leader, LEADER, ObjectUnreadable),
        "suspicion": (decode_suspicion, LEADER, ObjectUnreadable),
        "vm": (lambda d: decode_vm("front-a-1", d), SETTINGS, ObjectUnreadable),
        "connections": (decode_connections, {"connections": 21}, ObjectUnreadable),
        "settings": (decode_settings, SETTINGS, SettingsUnreadable),
    }


class TestLines:
    @settings(max_examples=MESSAGES, derandomize=True, deadline=None)
    @given(mutate_line(CALLER_LINES))
    def test_line_of_a_caller(self, line):
        """Guards against a caller that ends other callers' connections."""
        message = CODEC.parse_caller_line(line)
        kinds = (ConnectRequest, DisconnectRequest, MalformedLine, Statement)
        assert isinstance(message, kinds)

    @settings(max_examples=MESSAGES, derandomize=True, deadline=None)
    @given(mutate_line(ANSWER_LINES))
    def test_line_of_a_server(self, line):
        """Guards against a server whose position is no number."""
        assert isinstance(CODEC.parse_answer_line(line), AnswerLine)
        CODEC.parse_status_rows((line.decode(errors="replace"),))

    @settings(max_examples=MESSAGES, derandomize=True, deadline=None)
    @given(mutate_line(SNAPSHOT_PATHS))
    def test_path_of_another_vm(self, line):
        """Guards against a request that ends the server of the metrics."""
        state = DirectState(vm="a", zone="a", regions={}, grace=6.0, random=None)
        answer_snapshot(state, line.decode(errors="replace"))


class TestDocuments:
    def test_objects_and_settings(self):
        """Guards against an object of another writer that ends a feed."""
        for decode, document, error in make_documents().values():
            for seed in range(MESSAGES):
                try:
                    decoded = decode(mutate_document(document, seed))
                except error:
                    continue
                # The core uses these as keys.
                for name in ("vm", "server", "service", "zone"):
                    hash(getattr(decoded, name, None))

    def test_snapshot_of_another_vm(self):
        """Guards against a snapshot in another form than the expected one."""
        entry = VmEntry(name="a", host="h", relay_port=1, zone="a", size=1)
        valid = msgspec.json.encode(StoreSnapshot(vms=(entry,), revision=9))
        document = msgspec.json.decode(valid)
        for seed in range(MESSAGES):
            mutated = mutate_document(document, seed)
            try:
                data = msgspec.json.encode(mutated)
                msgspec.json.decode(data, type=StoreSnapshot)
            except msgspec.DecodeError:
                continue
