"""Stand-ins for the review's scripts: store, promotion API, instances and clients.

They use the standard library alone, speak the protocols of the users' pages on loopback
addresses, and write what is sent, answered and run to a record.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD")
"""Codes which promise that nothing of a client attempt is kept."""

REPLICATION_SECONDS = 0.01
"""Seconds until a replica has received and applied a commit."""

EXPIRY_SECONDS = 3.6
"""Seconds of silence, three intervals of heartbeats, after which an entry is removed."""

REGIONS = {"a": "east", "b": "east", "c": "west"}
"""Region by zone."""

LIMITS = {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4200}
"""Limits of a machine in the sheets of the small deployments."""

WORK_SECONDS = 0.005
"""Seconds that an instance takes for a read, a write or a commit."""


class Record:
    """Lines with the time since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> float:
        """Write a line; return its time."""
        at = self.now()
        self._file.write(f"{at:9.3f} {text}\n")
        self._file.flush()
        return at


class Group:
    """The instances of one service, and the replication between them.

    Attributes:
        sync: replicas that must have received a commit before it is acknowledged.
        lost: acknowledged commits that a promoted instance lacked.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.sync = 0
        self.acknowledged: list[tuple[int, int, dict[str, str]]] = []
        self.lost: list[str] = []
        self.instances: list[Instance] = []

    def replicate(self, primary: "Instance") -> None:
        """Send a primary's log to the replicas that it reaches."""
        loop = asyncio.get_running_loop()
        for other in self.instances:
            if other is not primary:
                loop.call_later(REPLICATION_SECONDS, other.receive, primary)

    def promote(self, instance: "Instance") -> None:
        """Have an instance lead the next term with what it has received."""
        if instance.leads or not instance.running:
            return
        instance.term = max(other.term for other in self.instances) + 1
        instance.leads = True
        instance.suspended = 0
        self.record.add(f"promoted {instance.name} term={instance.term}")
        for entry in self.acknowledged:
            if entry not in instance.log:
                self.lost.append(f"{instance.name} lacks {entry}")
        loop = asyncio.get_running_loop()
        for other in self.instances:
            if other is not instance:
                loop.call_later(REPLICATION_SECONDS, other.follow, instance)


class Instance:
    """An instance of a service; `blocked` names VMs whose packets are dropped."""

    def __init__(
        self, *, group: Group, service: str, name: str, zone: str, leads: bool
    ) -> None:
        self.group = group
        self.record = group.record
        group.instances.append(self)
        self.service, self.name, self.zone, self.leads = service, name, zone, leads
        self.term = 1
        self.suspended = 0
        self.log: list[tuple[int, int, dict[str, str]]] = []
        self.data: dict[str, str] = {}
        self.running = True
        self.down_at = 0.0
        self.state = "ready"
        self.blocked: set[str] = set()
        self.cut_from: set[str] = set()
        self.runs: list[tuple[float, str, str, str]] = []
        self.commits: list[tuple[float, str]] = []
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2 << 20)
        self.port = server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Go down; connections are reset and new ones as well."""
        self.running = False
        self.down_at = time.monotonic()
        self.record.add(f"{self.name} crashes")
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def position(self) -> tuple[int, int]:
        """End of the log, which is applied as soon as it is received."""
        return self.log[-1][:2] if self.log else (1, 0)

    def receive(self, primary: "Instance") -> None:
        """Take over a primary's log unless it is cut off, suspended or outdated."""
        if not self.running or not primary.running or self.leads:
            return
        if primary.name in self.cut_from or primary.term < self.term:
            return
        if self.suspended > primary.term:
            return
        self._copy(primary)

    def follow(self, primary: "Instance") -> None:
        """Become a replica of a newer primary once it can be reached."""
        if not self.running or self.term >= primary.term:
            return
        if primary.name in self.cut_from or not primary.running:
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self.follow, primary)
            return
        self.term, self.leads, self.suspended = primary.term, False, 0
        self._copy(primary)
        self.record.add(f"{self.name} follows {primary.name} term={self.term}")

    def _copy(self, primary: "Instance") -> None:
        self.log = list(primary.log)
        self.data = {}
        for _, _, items in self.log:
            self.data.update(items)

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "seq_num": 1,
            "warmup_left_ms": 0,
            "born": 1,
            "db_role": "primary" if self.leads else "replica",
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await self._answer_all(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_all(self, reader, writer) -> None:
        words = (await read_line(reader)).split(" ")
        if not self.running:
            writer.transport.abort()
            return
        fits = len(words) >= 3 and words[:2] == ["CONNECT", self.service]
        if not fits or len(words) > 3 and words[3] != self.name:
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        session = Session(who=words[2])
        await self._write(session, writer, self._ready(session))
        while line := await read_line(reader):
            _, request, text = line.split(" ", 2)
            answer = await self._run(session, request, text)
            await self._write(session, writer, answer + self._ready(session))

    async def _write(self, session, writer, data: bytes) -> None:
        if session.who in self.blocked:
            await asyncio.Event().wait()
        writer.write(data)

    def _ready(self, session) -> bytes:
        return (
            f"READY {session.state} {self.position[0]}.{self.position[1]}\r\n".encode()
        )

    async def _run(self, session, request: str, text: str) -> bytes:
        if session.who in self.blocked:
            await asyncio.Event().wait()
        verb, _, rest = text.partition(" ")
        if verb == "AFTER":
            needed, _, text = rest.partition(" ")
            if self.position < tuple(int(part) for part in needed.split(".")):
                return f"ERROR LAGGING {self.name}\r\n".encode()
            verb, _, rest = text.partition(" ")
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self._run_statement(session, request, text)
        return self._control(session, verb, rest)

    def _control(self, session, verb: str, rest: str) -> bytes:
        name, _, value = rest.partition(" ")
        row = b""
        if verb == "BEGIN":
            if not rest and not self.leads:
                return f"ERROR READONLY {self.name}\r\n".encode()
            session.state, session.plain = "T", not rest
        elif verb == "ROLLBACK":
            session.state, session.written = "I", {}
        elif verb == "RESET":
            session.values, session.prepared = {}, {}
        elif verb == "SET":
            session.values[name] = value
        elif verb == "PREPARE":
            session.prepared[name] = tuple(value.split(" ", 1))
        elif verb == "DEALLOC":
            session.prepared.pop(rest, None)
        elif verb in ("STATUS", "STEPDOWN", "SUSPEND", "RESUME"):
            if verb == "STEPDOWN" and int(rest) > self.term:
                self.leads = False
                self.record.add(f"{self.name} stepped down")
            elif verb == "SUSPEND" and not self.leads and int(rest) > self.term:
                self.suspended = max(self.suspended, int(rest))
            elif verb == "RESUME":
                self.suspended = 0
            role = "primary" if self.leads else "replica"
            end = f"{self.position[0]}.{self.position[1]}"
            row = f"ROW {role} {self.term} {end} {self.suspended} 0 0 1\r\n".encode()
        return row + b"COMPLETE -\r\n"

    async def _run_statement(self, session, request: str, text: str) -> bytes:
        verb, _, rest = text.partition(" ")
        mode = verb
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                return b"ERROR NOSTMT -\r\n"
            mode = session.prepared[name][0]
        lost = session.state == "T" and session.plain and not self.leads
        if lost and (verb != "COMMIT" or session.written):
            session.state = "E"
            return f"ERROR READONLY {self.name}\r\n".encode()
        if mode == "WRITE" and not self.leads:
            return f"ERROR READONLY {self.name}\r\n".encode()
        at = self.record.add(f"run {self.name} by {session.who}: {request} {text}")
        self.runs.append((at, request, text, session.who))
        await asyncio.sleep(WORK_SECONDS)
        row = b""
        if mode == "WRITE":
            item, _, data = rest.partition(" ")
            session.written[item] = data
        elif verb != "COMMIT":
            row = f"ROW {session.written.get(rest, self.data.get(rest, '-'))}\r\n"
            row = row.encode()
        if verb == "COMMIT" or mode == "WRITE" and session.state == "I":
            if session.written:
                await self._commit(request, session.written)
            session.state, session.written = "I", {}
        return row + f"COMPLETE {self.name}.{request}\r\n".encode()

    async def _commit(self, request: str, items: dict[str, str]) -> None:
        entry = (self.term, self.position[1] + 1, dict(items))
        self.log.append(entry)
        self.data.update(items)
        at = self.record.add(f"commit {self.name} {self.position} {request} {items}")
        self.commits.append((at, request))
        self.group.replicate(self)
        others = [other for other in self.group.instances if other is not self]
        while sum(entry in other.log for other in others) < self.group.sync:
            await asyncio.sleep(0.005)
            self.group.replicate(self)
        self.group.acknowledged.append(entry)


class Session:
    """What an instance keeps for one connection."""

    def __init__(self, *, who: str) -> None:
        self.who = who
        self.state = "I"
        self.plain = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple] = {}
        self.written: dict[str, str] = {}


async def read_line(reader) -> str:
    """Return the next line, empty at the end."""
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError:
        return ""
    return line[:-2].decode()


class Door:
    """A port of the platform for one VM; `mode` is `ok`, `busy` (503) or `silent`."""

    def __init__(self, platform: "Platform") -> None:
        self.platform = platform
        self.mode = "ok"
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        ends = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while await self._serve_one(reader, writer):
                continue
        writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        size = int(headers.get("content-length", "0"))
        body = json.loads(await reader.readexactly(size)) if size else {}
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "busy":
            status, answer = 503, {}
        else:
            status, answer = await self.platform.answer(method, target, headers, body)
        if self.mode == "silent":
            await asyncio.Event().wait()
        data = json.dumps(answer).encode()
        lines = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
        writer.write(f"{lines}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        return True


class Platform:
    """The metadata store and the promotion API."""

    def __init__(self, group: Group, record: Record) -> None:
        self.group, self.record = group, record
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 100
        self.history: list[tuple[int, str, dict, bool]] = []
        self.orders: list[tuple[float, str, str, int]] = []
        self.effect_seconds = 0.6
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: dict) -> dict:
        """Create or replace an object, unless that changes nothing."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["meta"]["create_rev"] if old is not None else self.revision
        meta = {"name": name, "revision": self.revision, "create_rev": created}
        meta |= {"finalizers": [], "deleting": False}
        item = {"meta": meta, "spec": spec, "status": {}}
        self.objects[kind, name] = item
        self._note(kind, item, deleted=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._note(kind, self.objects.pop((kind, name)), deleted=True)

    def _note(self, kind: str, item: dict, *, deleted: bool) -> None:
        self.history.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def configure(self, spec: dict) -> float:
        """Accept a configuration; return the time of the acknowledgement."""
        self.put("config", "main", spec)
        version, names = spec["version"], [r["host"] for r in spec["routes"]]
        keys = {t["name"]: t["api_keys"] for t in spec.get("tenants", ())}
        return self.record.add(f"config acknowledged {version} {names} {keys}")

    def list_instances(self) -> None:
        """Bring the entries of the instances up to date."""
        for instance in self.group.instances:
            silent = time.monotonic() - instance.down_at
            if instance.running:
                self.put("servers", instance.name, instance.entry())
            elif (
                "servers",
                instance.name,
            ) in self.objects and silent >= EXPIRY_SECONDS:
                self.remove("servers", instance.name)

    async def answer(self, method, target, headers, body) -> tuple[int, dict]:
        """Carry out a call; return its status and answer."""
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")[1:]]
        if path == ["promotion"]:
            return self._promote(headers, body)
        kind, name = path[2], path[3] if len(path) > 3 else None
        if kind == "servers":
            self.list_instances()
        if name is None and method == "GET":
            return await self._list(kind, query)
        name = name or body["meta"]["name"]
        item = self.objects.get((kind, name))
        if method == "GET":
            return (200, item) if item is not None else (404, {})
        if method == "POST":
            if item is not None:
                return 409, item
            return 201, self.put(kind, name, body["spec"])
        if item is None:
            return 404, {}
        wanted = query.get("revision") or body.get("meta", {}).get("revision")
        if wanted is not None and int(wanted) != item["meta"]["revision"]:
            return 409, item
        if method == "DELETE":
            self.remove(kind, name)
            return 200, item
        return 200, self.put(kind, name, body["spec"])

    async def _list(self, kind: str, query: dict) -> tuple[int, dict]:
        if "watch" in query:
            return await self._watch(kind, query)
        names = sorted(n for k, n in self.objects if k == kind)
        items = [self.objects[kind, n] for n in names if n > query.get("after", "")]
        return 200, {
            "items": items,
            "has_more": False,
            "store_revision": self.revision,
        }

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        since = int(query["watch"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = []
            for revision, found, item, deleted in self.history:
                if revision > since and found == kind:
                    events.append({"object": item, "deleted": deleted})
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _promote(self, headers: dict, body: dict) -> tuple[int, dict]:
        holder = headers["x-siskinhold-duty-holder"]
        token = int(headers["x-siskinhold-fence-token"])
        at = self.record.add(f"promotion ordered {body['id']} by {holder} {token}")
        self.orders.append((at, holder, body["id"], token))
        for instance in self.group.instances:
            if instance.name == body["id"] and instance.running:
                loop = asyncio.get_running_loop()
                loop.call_later(self.effect_seconds, self.group.promote, instance)
                return 200, {}
        return 409, {}


class Vm:
    """A VM's process, run with the command of the deploy file."""

    def __init__(self, *, name: str, host: str, zone: str, door: Door) -> None:
        self.name, self.host, self.zone, self.door = name, host, zone, door
        self.process: asyncio.subprocess.Process | None = None

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Client:
    """A client of the wire."""

    _numbers = itertools.count(1)

    def __init__(self, *, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.sent: dict[str, tuple[float, str]] = {}

    async def connect(self, vm: Vm, port: int, database: str, key: str) -> str:
        """Connect; return the first line of the answer."""
        self.reader, self._writer = await asyncio.open_connection(
            vm.host, port, limit=2 << 20
        )
        self._writer.write(f"CONNECT {database} {key}\r\n".encode())
        line = await asyncio.wait_for(read_line(self.reader), 5)
        self.record.add(f"{self.name} connects to {vm.name} {database} {key}: {line}")
        return line

    async def query(self, text: str, *, timeout: float = 8.0) -> list[str]:
        """Send a statement; return the lines of its answer."""
        request = f"{next(self._numbers):016x}"
        at = self.record.add(f"{self.name} sends {request} {text}")
        self.sent[request] = (at, text)
        self._writer.write(f"QUERY {request} {text}\r\n".encode())
        lines = []
        try:
            async with asyncio.timeout(timeout):
                while not lines or not lines[-1].startswith("READY"):
                    line = await read_line(self.reader)
                    if not line:
                        lines.append("CLOSED")
                        break
                    lines.append(line)
        except (TimeoutError, ConnectionError) as error:
            lines.append(f"CLOSED {type(error).__name__}")
        self.record.add(f"{self.name} gets {request} {' | '.join(lines)}")
        return lines

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Deployment:
    """The platform, one service of three instances, and VMs.

    Args:
        zones: zone of each VM.
        regions: region by zone.
        bounds: figures that replace those of the settings.
        limits: likewise.
    """

    def __init__(
        self,
        *,
        folder: Path,
        zones: list[str],
        bounds: dict,
        regions: dict = REGIONS,
        limits: dict = {},
    ) -> None:
        self.limits = limits
        self.regions = regions
        self.record = Record(folder)
        self.group = Group(self.record)
        self.platform = Platform(self.group, self.record)
        self.bounds = bounds
        self.instances = []
        for index, zone in enumerate(("a", "b", "c")):
            instance = Instance(
                group=self.group,
                service="db",
                name=f"i-{index}",
                zone=zone,
                leads=index == 0,
            )
            self.instances.append(instance)
        self.vms = []
        for index, zone in enumerate(zones):
            door = Door(self.platform)
            name, host = f"front-{index + 1}", f"127.0.7.{index + 1}"
            self.vms.append(Vm(name=name, host=host, zone=zone, door=door))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ports = find_ports(self.vms[0].host)

    async def start(self, configuration: dict) -> None:
        """Start everything, and wait until all VMs are ready."""
        for instance in self.instances:
            await instance.start()
        self.platform.list_instances()
        self.platform.configure(configuration)
        for vm in self.vms:
            await vm.door.start()
            await self.start_vm(vm)
        async with asyncio.timeout(15):
            for vm in self.vms:
                while not await self._is_ready(vm):
                    await asyncio.sleep(0.1)
        self.record.add("all VMs are ready")

    async def start_vm(self, vm: Vm) -> None:
        """Start a VM's process with its settings."""
        path = self.folder / f"{vm.name}.json"
        path.write_text(json.dumps(self._make_settings(vm)))
        words = shlex.split(
            tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["proxy"][
                "run"
            ]
        )
        output = (self.folder / f"{vm.name}.log").open("ab")
        vm.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            stdout=output,
            stderr=output,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target/deps"),
                "SISKINHOLD_SETTINGS": str(path),
            },
        )
        self.record.add(f"started {vm.name}")

    def _make_settings(self, vm: Vm) -> dict:
        front, ready, control, first = self.ports
        bounds = {
            "contact_ms": 4000,
            "drain_ms": 7000,
            "grace_s": 6,
            "config_apply_ms": 3000,
            "revert_slack_ms": 250,
            "fencing_enforced": False,
            "thaw_ms": 300,
        }
        address = f"127.0.0.1:{vm.door.port}"
        return {
            "node_name": vm.name,
            "role": "proxy",
            "serves": ["front", "control"],
            "ip": vm.host,
            "zone": vm.zone,
            "zones": self.regions,
            "listen": {
                "front": f"{vm.host}:{front}",
                "ready": f"{vm.host}:{ready}",
                "control": f"{vm.host}:{control}",
            },
            "internal_ports": [first, first + 15],
            "seeds": [f"{other.host}:{control}" for other in self.vms[:3]],
            "first_start": True,
            "limits": LIMITS | self.limits,
            "heartbeat_ms": 1200,
            "bounds": bounds | self.bounds,
            "platform": {"address": address, "form": "objects"},
            "cloud_api": {"address": address, "duties": ["promotion"]},
        }

    async def _is_ready(self, vm: Vm) -> bool:
        try:
            reader, writer = await asyncio.open_connection(vm.host, self.ports[1])
        except OSError:
            return False
        writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200" in line

    async def open(self, name: str, vm: Vm, database: str, key: str = "-") -> Client:
        """Return a client that is connected, and accepted after some attempts."""
        for _ in range(20):
            client = Client(record=self.record, name=name)
            with contextlib.suppress(OSError):
                line = await client.connect(vm, self.ports[0], database, key)
                if line.startswith("READY"):
                    return client
                client.close()
            await asyncio.sleep(0.3)
        raise CaseNotRun(f"{name} was not accepted")

    async def stop(self) -> None:
        """End all processes, and remove their settings and logs."""
        for vm in self.vms:
            await vm.stop()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)


class CaseNotRun(Exception):
    """The case could not be brought about."""


def make_configuration(
    version: int,
    routes: dict[str, str],
    *,
    tenants: dict[str, list[str]] | None = None,
    connections: int = 34,
    timeout_ms: int = 800,
    sync: int = 0,
) -> dict:
    """Return a configuration: type of route by database, and keys by tenant."""
    listed = []
    for host, kind in routes.items():
        route = {"name": f"r-{host}", "host": host, "path_prefix": "/"}
        route |= {"route_type": kind, "service": "db", "priority": 1}
        route |= {"timeout_ms": timeout_ms, "target_latency_ms": 400}
        route |= {"max_attempts": 2, "max_staleness_ms": 1500}
        listed.append(route)
    service = {"name": "db", "max_connections": connections, "sync_replicas": sync}
    configuration = {"version": version, "routes": listed, "services": [service]}
    configuration["limits"] = {"tx_idle_ms": 5000}
    if tenants is not None:
        configuration["tenants"] = [
            {"name": name, "api_keys": keys, "rate_per_s": 100, "burst": 100}
            for name, keys in tenants.items()
        ]
    return configuration


def find_ports(host: str) -> tuple[int, int, int, int]:
    """Return free ports for clients, readiness and control, and the first internal."""
    sockets = []
    for _ in range(3):
        found = socket.socket()
        found.bind((host, 0))
        sockets.append(found)
    ports = [found.getsockname()[1] for found in sockets]
    for first in range(21000 + os.getpid() * 16 % 8000, 32000, 16):
        with contextlib.suppress(OSError):
            for port in (first, first + 1):
                found = socket.socket()
                sockets.append(found)
                found.bind((host, port))
            break
    for found in sockets:
        found.close()
    return *ports, first


def run_case(main, folder: Path, *, seconds: float = 110.0) -> None:
    """Run a script's `main(folder, trouble)` and exit with its code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(main(folder, trouble), seconds))
    except Exception as error:
        # An error of the script itself says nothing of the rule either.
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
