"""Stand-ins for the platform, its instances and clients, on loopback addresses.

They use the standard library only, and follow the users' pages on the wire, the store
and the settings of a process. All of them run in one process and event loop; the VMs are
processes of their own, started with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
LINE_LIMIT = 1 << 21
ENTRY_SECONDS = 3.6
"""Three heartbeats of 1.2 s, after which the entry of a silent instance is removed."""

PROMOTE_SECONDS = 0.6
"""Time from a promotion's answer until the instance leads: `promote_ms` of SYSTEM.md."""

STORE_SECONDS = 0.004
"""Time of an answer of the store, as SYSTEM.md gives it."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "revert_slack_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "fencing_enforced": False,
    "thaw_ms": 300,
}
"""The bounds of the small deployment, as SYSTEM.md gives them."""


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Args:
        folder: folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, what: str, **fields) -> None:
        """Write one line with the time since the start of the run."""
        words = [f"{key}={value!r}" for key, value in fields.items()]
        at = time.monotonic() - self._began
        self._file.write(f"{at:8.3f} {what} {' '.join(words)}\n")
        self._file.flush()


class Instance:
    """One instance of a service with the wire protocol; a sound one unless `grey`.

    Args:
        service: name of its service.
        name: its id.
        zone: its zone.
        leads: whether it starts as the primary.
        work: seconds of a read, write or commit.
        record: takes each statement that it runs.
    """

    def __init__(self, *, service, name, zone, leads, work, record) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.leads = leads
        self.work = work
        self.record = record
        self.term = 1
        self.place = (1, 100)
        self.held = 0
        self.lag = 0.008
        self.cut_from: set[str] = set()
        self.isolated = False
        self.state = "ready"
        self.running = False
        self.silent_since = 0.0
        self.commits: list[tuple[float, int, str]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.peers: list[Instance] = []
        self.slots = asyncio.Semaphore(5)
        self.data: dict[str, str] = {}
        self.runs: list[dict] = []
        self.grey = None
        self.connections = 0
        self.opened = 0
        self._server = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=LINE_LIMIT
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True

    def crash(self) -> None:
        """End at once; its connections are reset."""
        self.running = False
        self.silent_since = time.monotonic()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, name: str) -> None:
        """Start with its log and address, under another id.

        It is a replica if another instance was promoted meanwhile.
        """
        self.name = name
        leader = max(self.peers, key=lambda peer: (peer.leads, peer.term))
        if leader is not self and leader.leads and leader.term > self.term:
            self.leads = False
            if leader.running:
                self.follow(leader)
        await self.start()

    def follow(self, leader) -> None:
        """Become a replica of a newer primary; roll back what that one lacks."""
        if not self.running and self is not leader and self.term > leader.term:
            return
        self.term, self.place = leader.term, leader.place
        self.data = dict(leader.data)
        self.leads = False
        self.held = 0

    def entry(self) -> dict:
        """Return the entry that it writes to the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 5,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq_num": 1,
            "born": 1_700_000_000_000,
            "db_role": "primary" if self.leads else "replica",
        }

    def commit(self, items: dict[str, str], request: str) -> None:
        """Append a commit to the log; replicas receive and apply it a little later."""
        self.place = (self.term, self.place[1] + 1)
        self.commits.append((time.monotonic(), self.term, request))
        self.data.update(items)
        loop = asyncio.get_running_loop()
        for peer in self.peers:
            if peer is not self and not self.isolated:
                loop.call_later(peer.lag, peer.apply, self.place, items)

    def apply(self, place: tuple[int, int], items: dict[str, str]) -> None:
        """Apply a commit of the primary, unless suspended for a newer one."""
        term = place[0]
        if not self.running or self.leads or term < self.term or self.held > term:
            return
        self.term, self.place = term, max(self.place, place)
        self.data.update(items)

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.opened += 1
        self._writers.add(writer)
        try:
            await self._converse(reader, writer, f"{self.name}#{self.opened}")
        except (ConnectionError, ValueError):
            # The other end broke off.
            return
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _converse(self, reader, writer, label: str) -> None:
        words = (await _read_line(reader)).split(" ")
        wrong = words[0] != "CONNECT" or len(words) < 3 or words[1] != self.service
        if wrong or len(words) > 3 and words[3] != self.name:
            writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
            return
        if self.connections > 34:
            writer.write(f"ERROR OVERLOAD {self.name}\r\n".encode())
            return
        session = _Session(f"{label} of {words[2]}")
        await self._await_path(words[2])
        writer.write(self._ready(session))
        while line := await _read_line(reader):
            await self._await_path(words[2])
            word, _, rest = line.partition(" ")
            request, _, text = rest.partition(" ")
            if word != "QUERY":
                return
            answer = await self._answer(session, request, text)
            writer.write(answer.encode() + self._ready(session))

    async def _await_path(self, caller: str) -> None:
        """Stay silent towards a VM from which the instance is cut off."""
        while caller in self.cut_from:
            await asyncio.sleep(0.02)

    def _ready(self, session) -> bytes:
        return f"READY {session.state} {self.place[0]}.{self.place[1]}\r\n".encode()

    async def _answer(self, session, request: str, text: str) -> str:
        after, text = _split_after(text)
        if after is not None and self.place < after:
            return f"ERROR LAGGING {self.name}\r\n"
        verb, _, rest = text.partition(" ")
        failure = self.grey(request, verb) if self.grey is not None else None
        if failure == "BUSY":
            return f"ERROR BUSY {self.name}\r\n"
        if session.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return "ERROR MALFORMED -\r\n"
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self._run(session, request, verb, rest, failure)
        return self._control(session, verb, rest)

    def _control(self, session, verb: str, rest: str) -> str:
        if verb == "BEGIN":
            if session.state != "I":
                return "ERROR MALFORMED -\r\n"
            if rest != "READ" and not self.leads:
                return f"ERROR READONLY {self.name}\r\n"
            session.state = "T"
        elif verb == "ROLLBACK":
            session.end()
        elif verb == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            session.values[name] = value
        elif verb == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session.prepared[name] = (mode, shape)
        elif verb in ("STATUS", "STEPDOWN", "SUSPEND", "RESUME"):
            if verb == "STEPDOWN" and int(rest) > self.term:
                self.record.write("steps down", instance=self.name, by=session.label)
                self.leads = False
            elif verb == "SUSPEND" and not self.leads and int(rest) > self.term:
                self.held = max(self.held, int(rest))
            elif verb == "RESUME":
                self.held = 0
            role = "primary" if self.leads else "replica"
            place = f"{self.place[0]}.{self.place[1]}"
            row = f"{role} {self.term} {place} {self.held} 0 0 {self.connections}"
            return f"ROW {row}\r\nCOMPLETE -\r\n"
        else:
            return "ERROR MALFORMED -\r\n"
        return "COMPLETE -\r\n"

    async def _run(self, session, request, verb, rest, failure) -> str:
        shape = ""
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return "ERROR NOSTMT -\r\n"
            mode, shape = session.prepared[name]
            writes = mode == "WRITE"
        if verb == "COMMIT" and session.state != "T":
            session.end()
            return "ERROR ABORTED -\r\n"
        if writes and not self.leads:
            return f"ERROR READONLY {self.name}\r\n"
        async with self.slots:
            await asyncio.sleep(self.work)
        run = {
            "instance": self.name,
            "connection": session.label,
            "request": request,
            "text": f"{verb} {rest}".rstrip(),
            "shape": shape,
            "state": session.state,
            "values": dict(session.values),
        }
        self.runs.append(run)
        self.record.write("ran", **run, failed=failure or "")
        if failure is not None:
            if session.state == "T":
                session.state = "E" if verb != "COMMIT" else "I"
                session.written.clear()
            return f"ERROR {failure} {self.name}\r\n"
        signature = f"{self.term}.{len(self.runs):x}.{self.name}.{request}"
        if verb == "COMMIT":
            if session.written:
                self.commit(dict(session.written), request)
            session.end()
            return f"COMPLETE {signature}\r\n"
        item, _, data = rest.partition(" ")
        if not writes:
            value = session.written.get(item, self.data.get(item, "none"))
            return f"ROW {value}\r\nCOMPLETE {signature}\r\n"
        if session.state == "T":
            session.written[item] = data
        else:
            self.commit({item: data}, request)
        return f"COMPLETE {signature}\r\n"


class _Session:
    """State of one connection to an instance."""

    def __init__(self, label: str) -> None:
        self.label = label
        self.state = "I"
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.written: dict[str, str] = {}

    def end(self) -> None:
        """End the transaction without its writes."""
        self.state = "I"
        self.written.clear()


async def _read_line(reader) -> str:
    """Return the next line without its CR LF, empty at the end of the connection."""
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return ""
    return line[:-2].decode()


def _split_after(text: str):
    """Return the position of an AFTER prefix, None without one, and the statement."""
    if not text.startswith("AFTER "):
        return None, text
    _, place, text = text.split(" ", 2)
    term, number = place.split(".")
    return (int(term), int(number)), text


class Store:
    """The platform's store and the call that promotes, over HTTP.

    Args:
        instances: those that it lists.
    """

    def __init__(self, *, instances: list[Instance]) -> None:
        self.instances = instances
        self.revision = 10
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.port = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._gone: dict[str, float] = {}
        self._copies: list[tuple[float, int, list[dict]]] = []
        self.claims: list[tuple[float, str, str]] = []
        self.orders: list[tuple[float, str]] = []
        self.effects: list[tuple[float, str, int]] = []

    def stop(self) -> None:
        """Close all connections."""
        self._task.cancel()
        for writer in self._writers:
            writer.close()

    async def start(self) -> None:
        """Listen on a free port, whose stale reads are up to date."""
        self.port = await self.open_port(staleness=0.0)
        self._task = asyncio.create_task(self._follow_instances())

    async def open_port(self, *, staleness: float) -> int:
        """Listen on another port, whose stale reads of servers are seconds old."""

        async def serve(reader, writer) -> None:
            await self._serve(reader, writer, staleness)

        server = await asyncio.start_server(serve, HOST, 0, limit=LINE_LIMIT)
        return server.sockets[0].getsockname()[1]

    async def _follow_instances(self) -> None:
        """Take in what the instances write, and keep copies for stale reads."""
        while True:
            self._refresh()
            items = [item for (k, _), item in self.objects.items() if k == "servers"]
            self._copies.append((time.monotonic(), self.revision, items))
            await asyncio.sleep(0.1)

    def put(self, kind: str, name: str, spec) -> dict:
        """Create or replace an object."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["create_rev"] if old else self.revision
        meta = {
            "name": name,
            "revision": self.revision,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._note(kind, item, False)
        return item

    def _note(self, kind: str, item: dict, deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer, staleness: float) -> None:
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while request := (await reader.readline()).decode().split():
                length = 0
                while (line := (await reader.readline()).strip()) != b"":
                    key, _, value = line.decode().partition(":")
                    if key.lower() == "content-length":
                        length = int(value)
                body = json.loads(await reader.readexactly(length)) if length else {}
                status, answer = await self._handle(
                    request[0], request[1], body, staleness
                )
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode())
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _handle(self, method: str, target: str, body: dict, staleness: float):
        await asyncio.sleep(STORE_SECONDS)
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/promotion":
            return self._promote(body)
        parts = url.path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if kind == "servers":
            self._refresh()
        if method == "GET" and not name:
            if kind == "servers" and staleness and "stale_ok" in query:
                return 200, self._list_copy(staleness)
            return 200, await self._list(kind, query)
        item = self.objects.get((kind, name or body.get("meta", {}).get("name")))
        if method == "GET":
            return (200, item) if item is not None else (404, {})
        if method == "POST":
            if item is not None:
                return 409, item
            if kind == "leaders":
                spec = body["spec"]
                self.claims.append((time.monotonic(), spec["state"], name))
            return 201, self.put(kind, body["meta"]["name"], body["spec"])
        if item is None:
            return 404, {}
        expected = query.get("revision", body.get("meta", {}).get("revision"))
        if expected is not None and int(expected) != item["meta"]["revision"]:
            return 409, item
        if method == "DELETE":
            self.revision += 1
            del self.objects[kind, name]
            self._note(kind, item, True)
            return 200, item
        if kind == "leaders":
            spec = body["spec"]
            self.claims.append((time.monotonic(), spec["state"], name))
        return 200, self.put(kind, name, body["spec"])

    def _refresh(self) -> None:
        """Write the entries of the instances; remove those that were silent for long."""
        names = set()
        now = time.monotonic()
        for instance in self.instances:
            names.add(instance.name)
            if instance.running:
                self.put("servers", instance.name, instance.entry())
            elif now - instance.silent_since < ENTRY_SECONDS:
                continue
            else:
                names.discard(instance.name)
        for kind, name in list(self.objects):
            if kind != "servers" or name in names:
                continue
            self._gone.setdefault(name, now)
            restarted = all(name != i.name for i in self.instances)
            if restarted and now - self._gone[name] < 0.1:
                continue
            self.revision += 1
            item = self.objects.pop((kind, name))
            self._note(kind, item, True)

    def _list_copy(self, staleness: float) -> dict:
        """Return the servers as they were some seconds ago."""
        then = time.monotonic() - staleness
        found = self._copies[0]
        for copy in self._copies:
            if copy[0] > then:
                break
            found = copy
        _, revision, items = found
        return {"items": items, "has_more": False, "store_revision": revision}

    async def _list(self, kind: str, query: dict) -> dict:
        if "watch" not in query:
            items = [item for (k, _), item in self.objects.items() if k == kind]
            items.sort(key=lambda item: item["meta"]["name"])
            return {"items": items, "has_more": False, "store_revision": self.revision}
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = []
            for revision, k, item, deleted in self.history:
                if k == kind and revision > since:
                    events.append({"object": item, "deleted": deleted})
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def _promote(self, body: dict):
        for instance in self.instances:
            if instance.name != body["id"] or not instance.running:
                continue
            self.orders.append((time.monotonic(), instance.service))
            if not instance.leads:
                loop = asyncio.get_running_loop()
                loop.call_later(PROMOTE_SECONDS, self._lead, instance)
            return 200, {}
        return 409, {}

    def _lead(self, new: Instance) -> None:
        """Have an instance lead the next term.

        Replicas follow it; an old primary goes on for a second after it can reach it.
        """
        if not new.running or new.leads:
            return
        new.term = max(i.term for i in new.peers) + 1
        new.leads = True
        new.held = 0
        self.effects.append((time.monotonic(), new.service, new.term))
        new.record.write("leads", instance=new.name, term=new.term, place=new.place)
        loop = asyncio.get_running_loop()
        for instance in new.peers:
            if instance is new or not instance.running or instance.isolated:
                continue
            if instance.leads:
                loop.call_later(1.0, self._step_back, instance, new)
            else:
                instance.follow(new)

    def heal(self, old: Instance) -> None:
        """End the isolation of an instance; an old primary steps back after a second."""
        old.isolated = False
        new = find_primary(old.peers)
        if old.leads and new is not old:
            asyncio.get_running_loop().call_later(1.0, self._step_back, old, new)

    def _step_back(self, old: Instance, new: Instance) -> None:
        if old.running and new.running and old.leads and old.term < new.term:
            old.follow(new)


def make_route(host: str, kind: str, service: str) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{host}",
        "host": host,
        "path_prefix": "/",
        "route_type": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "max_staleness_ms": 1500,
    }


class Vm:
    """A VM's process, started with the command of the deploy file."""

    def __init__(self, *, name: str, folder: Path, store: int, seeds=()) -> None:
        self.name = name
        front, ready, control, internal = find_ports()
        self.front, self.ready = front, ready
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.fields = {
            "node_name": name,
            "role": "proxy",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": HOST,
            "zone": "leinster-a",
            "region": "leinster",
            "zones": {
                "leinster-a": "leinster",
                "leinster-b": "leinster",
                "munster-a": "munster",
            },
            "listen": {
                "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "internal_ports": [internal, internal + 1],
            "seeds": list(seeds) or [f"{HOST}:{control}"],
            "first_start": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry_mode": "vip",
            "heartbeat_ms": 1200,
            "contracts": "base drain config cost recover sql platform".split(),
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{HOST}:{store}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
            "cloud_api": {
                "address": f"{HOST}:{store}",
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }

    async def start(self) -> None:
        """Start the process with its settings as the template renders them."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["proxy"]
        template = (ROOT / role["template"]).read_text()
        text = template.replace("{{.|json}}", json.dumps(self.fields))
        self.path.write_text(text)
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SISKINHOLD_SETTINGS": str(self.path),
        }
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        try:
            line = await asyncio.wait_for(reader.readline(), 2)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    async def await_ready(self, seconds: float = 15.0) -> None:
        """Wait until it is ready.

        Raises:
            CannotRun: if that takes too long.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} was not ready within {seconds} s")

    async def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


def find_ports() -> tuple[int, int, int, int]:
    """Return three free ports, and the first of two free ones in a row."""
    for _ in range(200):
        sockets = [socket.socket() for _ in range(5)]
        try:
            for each in sockets[:4]:
                each.bind((HOST, 0))
            ports = [each.getsockname()[1] for each in sockets[:4]]
            if ports[3] >= 65535:
                continue
            sockets[4].bind((HOST, ports[3] + 1))
            return tuple(ports)
        except OSError:
            # The next port is in use; others are tried.
            continue
        finally:
            for each in sockets:
                each.close()
    raise CannotRun("no free ports")


def find_primary(group: list[Instance]) -> Instance:
    """Return the primary of the newest term."""
    return max(group, key=lambda i: (i.leads, i.term))


class Client:
    """A session of a client; one request at a time.

    Args:
        name: prefix of its request ids.
    """

    def __init__(self, *, name: str, reader, writer, record: Record) -> None:
        self.name = name
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self._record = record
        self._count = 0

    @classmethod
    async def connect(cls, vm: Vm, database: str, name: str, record: Record):
        """Open a session; None if the VM does not accept it."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, vm.front, limit=LINE_LIMIT), 2
            )
            writer.write(f"CONNECT {database} {name}\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 2)
        except (OSError, TimeoutError):
            return None
        if not line.startswith(b"READY"):
            writer.close()
            return None
        return cls(name=name, reader=reader, writer=writer, record=record)

    def make_id(self) -> str:
        """Return a new request id."""
        self._count += 1
        return f"{self.name}-{self._count}"

    async def execute(self, text: str, request: str = "", timeout: float = 6.0):
        """Send a statement; return the lines of its answer, fewer if it broke off."""
        request = request or self.make_id()
        self._record.write("sent", request=request, text=text[:200])
        lines = []
        try:
            self.writer.write(f"QUERY {request} {text}\r\n".encode())
            async with asyncio.timeout(timeout):
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readline()
                    if not line:
                        break
                    lines.append(line.decode().rstrip("\r\n"))
        except (OSError, TimeoutError):
            # Recorded as it is: an answer that is missing or incomplete.
            lines.append("<broken off>")
        if lines and lines[-1].startswith("READY"):
            self.state = lines[-1].split(" ")[1]
        else:
            self.state = ""
        self._record.write("answered", request=request, lines=[x[:120] for x in lines])
        return lines

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def release(deployment, old: Instance) -> None:
    """Start the instance that replaces another; that one then reports that it leaves."""
    new = Instance(
        service=old.service,
        name="i-c40bbf36f7",
        zone="leinster-a",
        leads=False,
        work=old.work,
        record=deployment.record,
    )
    new.peers = old.peers
    new.term, new.place, new.data = old.term, old.place, dict(old.data)
    await new.start()
    old.peers.append(new)
    deployment.instances.append(new)
    deployment.store.instances.append(new)
    deployment.record.write("released", old=old.name, new=new.name)
    await asyncio.sleep(0.2)
    old.state = "draining"


class Writers:
    """Clients that write one item after the other.

    Args:
        vms: the VMs that they are connected to.
        number: how many there are.
        pause: seconds between two writes of a client.
    """

    def __init__(self, *, deployment, vms: list[Vm], number: int, pause: float) -> None:
        self._record = deployment.record
        self._pause = pause
        self._ended = False
        self.idle = False
        self.acknowledged: set[str] = set()
        self._tasks = []
        for index in range(number):
            vm = vms[index % len(vms)]
            self._tasks.append(asyncio.create_task(self._write(vm, index)))

    async def stop(self) -> None:
        """Wait until all have ended."""
        self._ended = True
        await asyncio.wait(self._tasks, timeout=4)

    async def _write(self, vm: Vm, index: int) -> None:
        sessions = 0
        client = None
        while not self._ended:
            if self.idle:
                await asyncio.sleep(0.01)
                continue
            if client is None:
                sessions += 1
                name = f"{vm.name}u{index}s{sessions}"
                client = await Client.connect(vm, "lepu270", name, self._record)
                if client is None:
                    await asyncio.sleep(0.1)
                    continue
            request = client.make_id()
            lines = await client.execute(f"WRITE {request} data", request=request)
            done = bool(lines) and lines[0].startswith("COMPLETE")
            if done:
                self.acknowledged.add(request)
            await asyncio.sleep(self._pause if done else 0.05)
            if client.state != "I":
                client.close()
                client = None
        if client is not None:
            client.close()


def find_late_commits(deployment, acknowledged: set[str]) -> list[str]:
    """Return the acknowledged commits of a primary after a newer one led."""
    found = []
    for instance in deployment.instances:
        for at, term, request in instance.commits:
            newer = []
            for led_at, service, other in deployment.store.effects:
                if service == instance.service and other > term and led_at < at:
                    newer.append(led_at)
            if newer and request in acknowledged:
                late = (at - min(newer)) * 1000
                found.append(
                    f"ONE: {request} was committed in term {term} at {instance.name} "
                    f"{late:.0f} ms after a promotion, and acknowledged"
                )
    return found


class Deployment:
    """A store, one service of three instances, and VMs.

    Args:
        folder: folder of the case.
        routes: type and service of each route, by database name.
        vms: number of VMs.
        work: seconds of a statement at an instance.
        staleness: how old the stale reads of each VM are, by its place; 0 for others.
    """

    def __init__(
        self, *, folder: Path, routes: dict, vms: int = 1, work=0.009, staleness=()
    ) -> None:
        self._staleness = staleness
        self.record = Record(folder)
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.instances = []
        self.groups: dict[str, list[Instance]] = {}
        for number, service in enumerate(dict.fromkeys(s for _, s in routes.values())):
            group = self.groups[service] = []
            for index, zone in enumerate(("leinster-a", "leinster-b", "leinster-b")):
                instance = Instance(
                    service=service,
                    name=f"i-7f3a91c{number}{index}",
                    zone=zone,
                    leads=index == 0,
                    work=work,
                    record=self.record,
                )
                instance.peers = group
                group.append(instance)
            self.instances.extend(group)
        self.store = Store(instances=self.instances)
        self._routes = routes
        self._count = vms
        self.vms: list[Vm] = []

    @property
    def primary(self) -> Instance:
        """The instance that leads the first service."""
        return find_primary(next(iter(self.groups.values())))

    async def start(self) -> None:
        """Start all parts and wait until the VMs are ready."""
        if not (ROOT / "target/deps/siskinhold_platform").is_dir():
            raise CannotRun("the build of the deploy file is missing")
        for instance in self.instances:
            await instance.start()
        await self.store.start()
        services = []
        for service in self.groups:
            services.append(
                {
                    "name": service,
                    "health_path": "/health",
                    "max_connections": 34,
                    "protocol": "own",
                    "tls": False,
                    "sync_replicas": 0,
                }
            )
        routes = [make_route(host, *route) for host, route in self._routes.items()]
        main = {
            "version": 3,
            "routes": routes,
            "services": services,
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("config", "main", main)
        for index in range(self._count):
            port = self.store.port
            if index < len(self._staleness) and self._staleness[index]:
                port = await self.store.open_port(staleness=self._staleness[index])
            vm = Vm(name=f"front-{index + 1}", folder=self.temporary, store=port)
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            await vm.await_ready()
        await asyncio.sleep(2.5)

    async def stop(self) -> None:
        """End all processes that were started, and remove the temporary files."""
        for vm in self.vms:
            await vm.stop()
        self.store.stop()
        await asyncio.sleep(0.1)
        shutil.rmtree(self.temporary, ignore_errors=True)


def play(folder: Path, case) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        folder: folder of the case, which takes `record.txt`.
        case: coroutine function that takes the folder and returns the violations.
    """

    async def limited() -> list[str]:
        async with asyncio.timeout(115):
            return await case(folder)

    try:
        found = asyncio.run(limited())
    except (CannotRun, OSError, TimeoutError) as error:
        print(f"cannot run: {error!r}")
        raise SystemExit(2) from None
    for line in found[:10]:
        print(line)
    print(f"trouble={int(TROUBLE)} violations={len(found)}")
    raise SystemExit(1 if found else 0)
