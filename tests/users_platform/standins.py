"""Stand-ins for the users' platform: instances, object store and promotions.

They implement the documented protocols on loopback, in one process and event loop.
"""

import asyncio
import itertools
import json
import os
import sys
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from siskinhold_trial.processes import find_free_ports

ROOT = Path(__file__).parent.parent.parent

ROUTES = {
    "orders": "primary",
    "views": "bounded_staleness",
    "crew": "read_own_writes",
}
"""Types of the routes of the first configuration, by database."""

CONNECTIONS = 34
"""Usual number of connections that an instance accepts."""

RECENT_ENTRIES = 200
"""Newest entries of a log among which a commit is looked for."""

MAX_COPIES = 2000
"""Number of changes of the store after which the oldest copy is dropped."""


LINE_LIMIT = 2 << 20
"""Bytes of a line that stand-ins read: more than the wire format allows."""


async def read_line(reader: asyncio.StreamReader) -> str:
    """Return the next line, which ends at CR LF only; empty at the end."""
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError as error:
        return error.partial.decode()
    return line[:-2].decode()


@dataclass(slots=True, kw_only=True, frozen=True)
class Run:
    """A read, write or execution, as an instance understood it.

    Args:
        text: the text without its `AFTER`, with the name that the VM gave.
        mode: whether a prepared statement reads or writes, empty without one.
        shape: what was prepared under its name, empty without one.
        values: the session values in force.
        open: whether a transaction is open on its connection.
    """

    request: str
    text: str
    mode: str
    shape: str
    values: dict[str, str]
    open: bool


class Group:
    """The instances of one service, and the replication between them.

    Args:
        lag: seconds until a replica receives a commit.

    Attributes:
        sync: replicas that must have received a commit before it is acknowledged.
        deaf: names of instances that receive nothing.
        acknowledged: positions of the commits that were acknowledged.
        lost: texts about those that a promoted instance lacked.
    """

    def __init__(self, *, lag: float) -> None:
        self.lag = lag
        self.sync = 0
        self.deaf: set[str] = set()
        self.acknowledged: set[tuple[int, int]] = set()
        self.lost: list[str] = []
        self.instances: list["Instance"] = []
        self.outdated: set[str] = set()
        self.committed: set[tuple[str, str]] = set()
        self.on_promoted = None

    @property
    def leader(self) -> "Instance":
        """The primary of the newest term."""
        return max(self.instances, key=lambda i: (i.leads, i.term))

    def commit(self, leader: "Instance", request: str, items: dict[str, str]) -> None:
        """Append a commit at a primary and send it to the replicas."""
        if leader.term < max(i.term for i in self.instances):
            self.outdated.add(request)
        number = leader.applied[1] + 1
        leader.append((leader.term, number, dict(items)))
        self.committed.update(items.items())
        loop = asyncio.get_running_loop()
        for instance in self.instances:
            if instance is not leader:
                loop.call_later(self.lag, instance.receive, leader)

    async def acknowledge(self, leader: "Instance", entry) -> None:
        """Wait until enough replicas have received a commit.

        Raises:
            ConnectionError: if the primary ceases to lead before.
        """
        others = [i for i in self.instances if i is not leader]
        while sum(entry in i.log[-RECENT_ENTRIES:] for i in others) < self.sync:
            if not leader.leads or not leader.running:
                raise ConnectionError("the primary was replaced")
            await asyncio.sleep(0.005)
        self.acknowledged.add(entry[:2])

    def hear(self, name: str) -> None:
        """Have an instance receive again."""
        self.deaf.discard(name)
        for instance in self.instances:
            if instance.name == name and instance is not self.leader:
                instance.follow(self.leader)
                instance.receive(self.leader)

    def promote(self, leader: "Instance") -> None:
        """Make an instance the primary of the next term."""
        if not leader.running or leader.leads:
            return
        if self.sync:
            held = {entry[:2] for entry in leader.log}
            for term, number in sorted(self.acknowledged - held):
                self.lost.append(f"{leader.name}: lacks commit {term}.{number}")
            self.acknowledged &= held
        leader.term = max(i.term for i in self.instances) + 1
        leader.leads = True
        leader.held_term = 0
        if self.on_promoted is not None:
            self.on_promoted(leader)
        for instance in self.instances:
            if instance is not leader and instance.running:
                loop = asyncio.get_running_loop()
                loop.call_later(0.3, instance.follow, leader)


class Instance:
    """One instance: a TCP server with the wire format of backend servers.

    Args:
        service: name of its service.
        name: its id.
        service_time: seconds that a read, write or commit takes.
        limit: maximum number of connections.

    Attributes:
        refuses: words of the commands that it refuses, with the code.
    """

    def __init__(
        self,
        *,
        group,
        service,
        name,
        zone,
        leads,
        service_time=0.002,
        limit=CONNECTIONS,
    ):
        self.group = group
        group.instances.append(self)
        self.service = service
        self.name = name
        self.zone = zone
        self.leads = leads
        self.service_time = service_time
        self.limit = limit
        self.term = 1
        self.held_term = 0
        self.log: list[tuple[int, int, dict[str, str]]] = []
        self.port = 0
        self.address_port = 0
        self.running = False
        self.starts = 0
        self.state = "ready"
        self.refuses: dict[str, str] = {}
        self.slots = asyncio.Semaphore(4)
        self.received: set[str] = set()
        self.users: set[str] = set()
        self.arrivals: list[tuple[float, str, str]] = []
        self.executed: list[tuple[str, str, tuple[int, int]]] = []
        self.runs: list[Run] | None = None
        self.sessions: set[_Session] = set()
        self.data: dict[str, str] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, on the same port as before after a restart.

        A restarted instance becomes a replica if a newer primary exists.
        """
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=LINE_LIMIT
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.running = True
        self.starts += 1
        for other in self.group.instances:
            if other.leads and other.term > self.term:
                self.follow(other)

    async def stop(self) -> None:
        """Stop as if the process crashed."""
        self.running = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def applied(self) -> tuple[int, int]:
        """The position of the newest log entry."""
        return self.log[-1][:2] if self.log else (1, 0)

    def append(self, entry) -> None:
        """Append an entry to the log and apply it."""
        self.log.append(entry)
        self.data.update(entry[2])

    def receive(self, leader: "Instance") -> None:
        """Copy a primary's log unless a newer primary is known."""
        if not self.running or self.leads or leader.term < self.term:
            return
        if self.held_term > leader.term or not leader.running:
            return
        if self.name in self.group.deaf:
            return
        self.copy(leader)

    def copy(self, leader: "Instance") -> None:
        """Replace the log by a primary's; roll back entries that it lacks."""
        self.log = list(leader.log)
        self.data = {}
        for _, _, items in self.log:
            self.data.update(items)

    def follow(self, leader: "Instance") -> None:
        """Become a replica of a newer primary."""
        if self.name in self.group.deaf:
            return
        if self.running and leader.running and self.term < leader.term:
            self.term = leader.term
            self.leads = False
            self.held_term = 0
            self.copy(leader)

    def entry(self) -> dict:
        """Return the entry that the instance writes to the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.address_port or self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "seq_num": 1,
            "warmup_left_ms": 0,
            "born": self.starts,
            "db_role": "primary" if self.leads else "replica",
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await self._handle_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_connection(self, reader, writer) -> None:
        connect_request = (await read_line(reader)).split(" ")
        if (
            len(connect_request) < 3
            or connect_request[0] != "CONNECT"
            or connect_request[1] != self.service
        ):
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        if len(connect_request) > 3 and connect_request[3] != self.name:
            writer.write(b"ERROR MISROUTED -\r\n")
            return
        if len(self._writers) > self.limit:
            writer.write(b"ERROR OVERLOAD -\r\n")
            return
        self.users.add(connect_request[2])
        session = _Session()
        session.user = connect_request[2]
        self.sessions.add(session)
        try:
            await self._answer_session(session, reader, writer)
        finally:
            self.sessions.discard(session)

    async def _answer_session(self, session, reader, writer) -> None:
        writer.write(self._ready(session))
        while line := await read_line(reader):
            word, request, text = line.split(" ", 2)
            assert word == "QUERY"
            session.idle_since = None
            answer = await self._run(session, request, text)
            writer.write(answer + self._ready(session))
            session.idle_since = time.monotonic()

    def _ready(self, session) -> bytes:
        term, number = self.applied
        return f"READY {session.state} {term}.{number}\r\n".encode()

    async def _run(self, session, request, text) -> bytes:
        verb, _, fields = text.partition(" ")
        if verb in self.refuses:
            return f"ERROR {self.refuses[verb]} -\r\n".encode()
        if verb == "AFTER":
            position, _, text = fields.partition(" ")
            term, number = position.split(".")
            if self.applied < (int(term), int(number)):
                return f"ERROR LAGGING {self.name}\r\n".encode()
            verb, _, fields = text.partition(" ")
        if verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return await self._run_statement(session, request, text)
        return self._run_control(session, verb, fields)

    def _run_control(self, session, verb, fields) -> bytes:
        done = b"COMPLETE -\r\n"
        name, _, value = fields.partition(" ")
        if verb == "BEGIN":
            if not fields and not self.leads:
                return f"ERROR READONLY {self.name}\r\n".encode()
            session.state = "T"
            session.plain = not fields
        elif verb == "ROLLBACK":
            session.state = "I"
            session.written.clear()
        elif verb == "RESET":
            session.values.clear()
            session.prepared.clear()
        elif verb == "SET":
            session.values[name] = value
        elif verb == "PREPARE":
            mode, _, shape = value.partition(" ")
            session.prepared[name] = (mode, shape)
        elif verb == "DEALLOC":
            if session.prepared.pop(fields, None) is None:
                return b"ERROR NOSTMT -\r\n"
        elif verb in ("STATUS", "STEPDOWN", "SUSPEND", "RESUME"):
            if verb == "STEPDOWN" and int(fields) > self.term:
                self.leads = False
            elif verb == "SUSPEND" and not self.leads:
                self.held_term = max(self.held_term, int(fields))
            elif verb == "RESUME":
                self.held_term = 0
            role = "primary" if self.leads else "replica"
            term, number = self.applied
            row = f"ROW {role} {self.term} {term}.{number} {self.held_term} 0 0 1\r\n"
            return row.encode() + done
        return done

    async def _run_statement(self, session, request, text) -> bytes:
        self.received.add(request)
        verb, _, fields = text.partition(" ")
        mode, shape = verb, ""
        if verb == "EXECUTE":
            name, _, fields = fields.partition(" ")
            if name not in session.prepared:
                return b"ERROR NOSTMT -\r\n"
            mode, shape = session.prepared[name]
        writes = mode == "WRITE"
        if writes and not self.leads:
            return f"ERROR READONLY {self.name}\r\n".encode()
        self.arrivals.append((time.monotonic(), session.user, request))
        self._record_run(session, request, text, mode if shape else "", shape)
        async with self.slots:
            await asyncio.sleep(self.service_time)
        self.executed.append((request, text, self.applied))
        row = b""
        if writes:
            item, _, data = fields.partition(" ")
            session.written[item] = data
            if session.state == "I":
                await self._commit(session, request)
        elif verb == "COMMIT":
            if session.written:
                if not self.leads:
                    session.state = "I"
                    session.written.clear()
                    return f"ERROR READONLY {self.name}\r\n".encode()
                await self._commit(session, request)
            session.state = "I"
        else:
            value = session.written.get(fields, self.data.get(fields, "none"))
            row = f"ROW {value}\r\n".encode()
        return row + f"COMPLETE {self.name}.{request}\r\n".encode()

    def _record_run(self, session, request, text, mode, shape) -> None:
        """Record how a statement is understood, if runs are recorded."""
        if self.runs is None:
            return
        run = Run(
            request=request,
            text=text,
            mode=mode,
            shape=shape,
            values=dict(session.values),
            open=session.state != "I",
        )
        self.runs.append(run)

    async def _commit(self, session, request) -> None:
        self.group.commit(self, request, session.written)
        session.written.clear()
        if self.group.sync:
            await self.group.acknowledge(self, self.log[-1])


class _Session:
    def __init__(self) -> None:
        self.user = ""
        self.state = "I"
        self.plain = False
        self.idle_since: float | None = None
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.written: dict[str, str] = {}

    def measure_kept(self) -> int:
        """Return the bytes of names, values and shapes that are kept."""
        texts = [*self.values, *self.values.values(), *self.prepared]
        texts += [shape for _, shape in self.prepared.values()]
        return sum(len(text.encode()) for text in texts)


class Store:
    """The object store and the promotion API over HTTP.

    Args:
        instances: instances that the store lists and that can be promoted.

    Attributes:
        era: number in the header of all answers, one higher after each restore; None
            for a store without this header.
        stale_age: age of the data in answers to reads that may be stale, in seconds.
        refuses_fresh: whether reads that may not be stale are refused.
        write_delay: seconds after which a write is carried out although its caller
            gets no answer; None while writes are answered.
    """

    def __init__(self, *, instances: list[Instance]) -> None:
        self.instances = instances
        self.era: int | None = 1
        self.stale_age = 0.0
        self.refuses_fresh = False
        self.write_delay: float | None = None
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Event()
        self.calls: list[tuple[str, str]] = []
        self.promotions: list[tuple[str, str, str, int]] = []
        self.down = False
        self.history_expired = False
        self.port = 0
        # Replaces parts of a list's text; lone surrogates become single bytes.
        self.encode = lambda text: text
        self._configuration: object = None
        self._copies = deque([(0.0, 1, {}, self.history, 0)], maxlen=MAX_COPIES)
        self._restores = 0
        self._rewriting = False
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        application = web.Application(middlewares=[self._answer])
        application.router.add_get("/-/objects/{kind}", self._list)
        application.router.add_post("/-/objects/{kind}", self._create)
        application.router.add_get("/-/objects/{kind}/{name}", self._read)
        application.router.add_put("/-/objects/{kind}/{name}", self._replace)
        application.router.add_delete("/-/objects/{kind}/{name}", self._delete)
        application.router.add_post("/promotion", self._promote)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self.port, shutdown_timeout=0.1)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object without a check of its revision."""
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["meta"]["create_rev"] if old else self.revision
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item))
        if (kind, name) == ("config", "main"):
            self._configuration = spec
        self._record()
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object without a check of its revision."""
        self.revision += 1
        del self.objects[kind, name]
        self._record()

    def restore(self, seconds: float, *, delay: float = 0.0) -> None:
        """Return to the state of some seconds ago, with its revision.

        What VMs wrote since is lost; waiting watches are cut off.

        Args:
            seconds: age of the state.
            delay: seconds until the operator and the instances write again.
        """
        then = time.monotonic() - seconds
        for copy in reversed(self._copies):
            _, self.revision, objects, history, length = copy
            if copy[0] <= then:
                break
        self.objects = dict(objects)
        self.history = history[:length]
        if self.era is not None:
            self.era += 1
        self._restores += 1
        self._rewriting = True
        self._record()
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._write_again, self._restores)

    def refresh(self) -> None:
        """Update the entries of the instances; remove those of stopped ones."""
        if self._rewriting:
            return
        for instance in self.instances:
            key = ("servers", instance.name)
            if not instance.running:
                if key in self.objects:
                    self.remove(*key)
                continue
            old = self.objects.get(key)
            if old is None or old["spec"] != instance.entry():
                self.put("servers", instance.name, instance.entry())

    def _record(self) -> None:
        """Keep a copy of the state and wake the waiting watches."""
        state = (self.revision, dict(self.objects), self.history, len(self.history))
        self._copies.append((time.monotonic(), *state))
        self.changed.set()
        self.changed = asyncio.Event()

    def _write_again(self, restores: int) -> None:
        """Write what a restore lost, unless another one has followed."""
        if restores != self._restores:
            return
        self._rewriting = False
        main = self.objects.get(("config", "main"))
        spec = self._configuration
        if spec is not None and (main is None or main["spec"] != spec):
            self.put("config", "main", spec)
        self.refresh()

    @web.middleware
    async def _answer(self, request: web.Request, handler) -> web.StreamResponse:
        kind = request.match_info.get("kind")
        if kind is None:
            return await handler(request)
        self.calls.append((request.method, kind))
        if self.down:
            response = web.Response(status=503)
        else:
            if self.write_delay is not None and request.method != "GET":
                await self._lose_answer(request, self.write_delay)
            response = await handler(request)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _lose_answer(self, request: web.Request, seconds: float) -> None:
        await request.read()
        _cut_off(request)
        await asyncio.sleep(seconds)

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if kind == "servers":
            self.refresh()
        if "watch" in request.query:
            return await self._watch(request, kind)
        stale = "stale_ok" in request.query
        if self.refuses_fresh and not stale:
            return web.Response(status=429)
        revision, objects = self.revision, self.objects
        if self.stale_age and stale:
            revision, objects = self._find_older(self.stale_age)
        items = [item for (k, _), item in objects.items() if k == kind]
        items.sort(key=lambda item: item["meta"]["name"])
        after = request.query.get("after", "")
        items = [item for item in items if item["meta"]["name"] > after]
        page = items[:4]
        listed = {
            "items": page,
            "has_more": len(items) > len(page),
            "store_revision": revision,
        }
        text = self.encode(json.dumps(listed))
        body = text.encode(errors="surrogateescape")
        return web.Response(body=body, content_type="application/json")

    def _find_older(self, seconds: float) -> tuple[int, dict]:
        """Return the revision and the objects of some seconds ago."""
        then = time.monotonic() - seconds
        for copy in reversed(self._copies):
            if copy[0] <= then:
                break
        return copy[1], copy[2]

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        wait = int(request.query["wait_ms"]) / 1000
        if self.history_expired or since > self.revision:
            return web.Response(status=410)
        restores = self._restores
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if restores != self._restores:
                _cut_off(request)
                return web.Response(status=503)
            events = []
            for revision, k, item in self.history:
                if revision > since and k == kind:
                    events.append({"object": item, "deleted": False})
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return web.json_response(
                    {"events": events, "store_revision": self.revision}
                )
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def _read(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        item = self.objects.get((kind, name))
        if item is None:
            return web.Response(status=404)
        return web.json_response(item)

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        body = await request.json()
        name = body["meta"]["name"]
        if (kind, name) in self.objects:
            return web.json_response(self.objects[kind, name], status=409)
        return web.json_response(self.put(kind, name, body["spec"]))

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = await request.json()
        item = self.objects.get((kind, name))
        if item is None:
            return web.Response(status=404)
        expected = body["meta"].get("revision")
        if expected is not None and expected != item["meta"]["revision"]:
            return web.json_response(item, status=409)
        return web.json_response(self.put(kind, name, body["spec"]))

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        item = self.objects.get((kind, name))
        if item is None:
            return web.Response(status=404)
        if request.query.get("revision") != str(item["meta"]["revision"]):
            return web.json_response(item, status=409)
        self.remove(kind, name)
        return web.json_response(item)

    async def _promote(self, request: web.Request) -> web.Response:
        body = json.loads(await request.text())
        self.promotions.append(
            (
                request.headers["X-Siskinhold-Duty-Holder"],
                body["service"],
                body["id"],
                int(request.headers["X-Siskinhold-Fence-Token"]),
            )
        )
        for instance in self.instances:
            if instance.name != body["id"]:
                continue
            if not instance.running:
                return web.Response(status=409)
            if not instance.leads:
                loop = asyncio.get_running_loop()
                loop.call_later(0.2, instance.group.promote, instance)
            return web.json_response({})
        return web.Response(status=409)


def _cut_off(request: web.Request) -> None:
    """Abort a request's connection unless the caller has closed it."""
    if request.transport is not None:
        request.transport.abort()


def make_configuration(
    version: int, routes: dict[str, str], connections: int = CONNECTIONS, sync: int = 0
) -> dict:
    """Return a configuration with one route for each database name and type.

    Args:
        connections: number of connections that each instance accepts.
        sync: replicas that acknowledge a commit.
    """
    listed = []
    for host, kind in routes.items():
        listed.append(
            {
                "name": f"r-{host}",
                "host": host,
                "path_prefix": "/",
                "route_type": kind,
                "timeout_ms": 1000,
                "target_latency_ms": 400,
                "priority": 1,
                "service": "db",
                "max_attempts": 2,
                "max_staleness_ms": 1500,
            }
        )
    return {
        "version": version,
        "routes": listed,
        "services": [
            {
                "name": "db",
                "health_path": "/health",
                "max_connections": connections,
                "protocol": "h1",
                "tls": False,
                "sync_replicas": sync,
            }
        ],
        "limits": {"tx_idle_ms": 3000},
    }


def add_accounts(configuration: dict, keys: dict[str, list[str]]) -> dict:
    """Return a configuration with an account for each name, and its keys."""
    tenants = []
    for name, held in keys.items():
        tenants.append({"name": name, "api_keys": held, "rate_per_s": 50, "burst": 50})
    return configuration | {"tenants": tenants}


class Deployment:
    """Three instances and a store, and the settings of VMs that use them.

    Args:
        connections: number of connections that each instance accepts.
        sync: replicas that acknowledge a commit.
    """

    def __init__(self, *, connections: int = CONNECTIONS, sync: int = 0) -> None:
        self.connections = connections
        self.group = Group(lag=0.005)
        self.group.sync = sync
        self.instances = []
        for index, zone in enumerate(("a", "b", "c")):
            self.instances.append(
                Instance(
                    group=self.group,
                    service="db",
                    name=f"i-{index}",
                    zone=zone,
                    leads=index == 0,
                    limit=connections,
                )
            )
        self.store = Store(instances=self.instances)

    async def start(self) -> None:
        """Start the instances and the store, then publish their objects."""
        for instance in self.instances:
            await instance.start()
        await self.store.start()
        self.publish()

    def publish(self) -> None:
        """Write the entries of the instances and the first configuration."""
        self.store.refresh()
        self.store.put("config", "main", self.configure(1, ROUTES))

    def configure(self, version: int, routes: dict[str, str]) -> dict:
        """Return a configuration with some routes."""
        return make_configuration(version, routes, self.connections, self.group.sync)

    async def stop(self) -> None:
        """Stop the instances and the store."""
        for instance in self.instances:
            if instance.running:
                await instance.stop()
        await self.store.stop()

    def make_settings(self, name: str, ports: tuple[int, int, int]) -> dict:
        """Return the fields of a VM's settings file.

        Args:
            name: name of the VM.
            ports: ports for callers, readiness and metrics.
        """
        return {
            "node_name": name,
            "zone": "a",
            "zones": {"a": "east", "b": "east", "c": "west"},
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
            },
            "internal_ports": [ports[2], ports[2] + 5],
            "limits": {"max_fds": 1024, "cpu_share": 0.5, "cores": 2},
            "bounds": {
                "grace_s": 6,
                "revoke_strict": True,
                "revoke_ms": 5000,
                "quota_slack": 20,
            },
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
            "cloud_api": {"address": f"127.0.0.1:{self.store.port}"},
            "a_field_of_the_future": 1,
        }


class Client:
    """A caller that speaks the wire format.

    Args:
        port: port of the VM that it is connected to.

    Attributes:
        mark: last characters of its request ids.
    """

    _numbers = itertools.count(1)

    def __init__(self, *, reader, writer, port: int) -> None:
        self.port = port
        self.reader = reader
        self._writer = writer
        self._number = next(self._numbers)
        self._requests = 0
        self.mark = ""
        self.sent: dict[str, str] = {}

    @classmethod
    async def connect(
        cls, port: int, database: str, key: str = "u1"
    ) -> tuple["Client", str]:
        """Connect; return the client and the first line of the answer."""
        client = await cls.open(port, database, key)
        return client, await client.read_line()

    @classmethod
    async def open(cls, port: int, database: str, key: str = "u1") -> "Client":
        """Connect without waiting for an answer."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=LINE_LIMIT
        )
        writer.write(f"CONNECT {database} {key}\r\n".encode())
        return cls(reader=reader, writer=writer, port=port)

    async def read_line(self) -> str:
        """Return the next line."""
        return await asyncio.wait_for(read_line(self.reader), 5)

    def send(self, texts: list[str]) -> list[tuple[str, str]]:
        """Send statements in one packet; return their request ids and texts."""
        sent = []
        for text in texts:
            self._requests += 1
            request = f"c{self._number:x}-{self._requests:x}{self.mark}"
            sent.append((request, text))
        self.sent.update(sent)
        lines = [f"QUERY {request} {text}\r\n" for request, text in sent]
        self._writer.write("".join(lines).encode())
        return sent

    async def execute(self, text: str) -> list[str]:
        """Send a statement; return the lines of its answer."""
        self.send([text])
        lines = []
        while True:
            line = await asyncio.wait_for(read_line(self.reader), 5)
            if not line:
                return lines
            lines.append(line)
            if lines[-1].startswith("READY"):
                return lines

    async def send_raw(self, data: bytes) -> bytes:
        """Send bytes; return all data received until the connection ends."""
        self._writer.write(data)
        return await asyncio.wait_for(self.reader.read(), 5)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


def find_ports() -> tuple[int, int, int]:
    """Return ports for callers and readiness, and the first of two between VMs."""
    callers, readiness, peers, _ = find_free_ports(4)
    return callers, readiness, peers


async def spawn_vm(
    path: Path, output: Path, first: Path | None = None
) -> asyncio.subprocess.Process:
    """Start a VM's program with a settings file; append its output to a file.

    Args:
        path: path of the settings file.
        output: file that takes the output.
        first: directory that comes first in the module search path.
    """
    folders = [ROOT / "src", ROOT / "platform"]
    if first is not None:
        folders.insert(0, first)
    environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": ":".join(str(folder) for folder in folders),
        "SISKINHOLD_SETTINGS": str(path),
    }
    with output.open("ab") as file:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "siskinhold_platform",
            stdout=file,
            stderr=file,
            env=environment,
        )
