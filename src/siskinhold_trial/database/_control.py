"""The HTTP control port: reads the state and sets the faults of a database.

Bodies are JSON.
"""

from typing import Any

import msgspec
from aiohttp import web

from ._database import TrialDatabase
from ._server import InstanceServer


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The body of `POST /instances/<name>`; an absent field changes nothing.

    Args:
        kill: "keep" or "lose": kill the instance; its rows and log are kept or
            lost.
        restart: start the instance again after a kill.
        isolated: whether replication with the other instances is cut.
        silence: "existing" (open connections become half-open permanently),
            "new" (connections accepted from now on are half-open), "all" (both)
            or "none" (new connections answer again).
        lag_ms: replication lag while it is a replica, in ms.
        service_ms: time of a statement in its slot, in ms.
        connection_ms: time to accept a connection, in ms.
    """

    kill: str | None = None
    restart: bool = False
    isolated: bool | None = None
    silence: str | None = None
    lag_ms: float | None = None
    service_ms: float | None = None
    connection_ms: float | None = None


async def apply_faults(server: InstanceServer, faults: Faults) -> None:
    """Set faults on an instance.

    Raises:
        ValueError: if `kill` or `silence` has an unknown value.
        OSError: if the port can't be bound on a restart.
    """
    if faults.kill not in (None, "keep", "lose"):
        raise ValueError(f"unknown value of kill: {faults.kill}")
    if faults.silence not in (None, "existing", "new", "all", "none"):
        raise ValueError(f"unknown value of silence: {faults.silence}")
    if faults.isolated is not None:
        server.instance.isolated = faults.isolated
    if faults.lag_ms is not None:
        server.instance.lag = faults.lag_ms / 1000
    if faults.service_ms is not None:
        server.limits.service_time = faults.service_ms / 1000
    if faults.connection_ms is not None:
        server.limits.connect_time = faults.connection_ms / 1000
    if faults.silence is not None:
        server.silence_new = faults.silence in ("new", "all")
    if faults.silence in ("existing", "all"):
        server.silence_existing()
    if faults.kill is not None and server.instance.alive:
        await server.kill(keep_memory=faults.kill == "keep")
    if faults.restart and not server.instance.alive:
        await server.start()


def describe(database: TrialDatabase) -> dict[str, Any]:
    """Return the state of a database for `GET /`."""
    servers = [_describe_server(server) for server in database.servers]
    return {"database": database.name, "instances": servers}


def _describe_server(server: InstanceServer) -> dict[str, Any]:
    instance = server.instance
    return {
        "name": instance.name,
        "host": instance.host,
        "port": instance.port,
        "alive": instance.alive,
        "term": instance.term,
        "role": instance.role.value,
        "log_term": instance.log_term,
        "log_offset": len(instance.log),
        "isolated": instance.isolated,
        "silence_new": server.silence_new,
        "lag_ms": instance.lag * 1000,
        "service_ms": server.limits.service_time * 1000,
        "connections": server.connections,
        "executing": server.executing,
    }


class ControlPort:
    """Serves the control port.

    Args:
        database: the database to control.
        host: IP address.
        port: TCP port; 0 for any free one.
    """

    def __init__(
        self, *, database: TrialDatabase, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self._database = database
        self._host = host
        self._port = port
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """The TCP port; the actual one after `start`."""
        return self._port

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: if the port can't be bound.
        """
        application = web.Application()
        application.router.add_get("/", self._get)
        application.router.add_post("/instances/{name}", self._post)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(describe(self._database))

    async def _post(self, request: web.Request) -> web.Response:
        try:
            server = self._database.server(request.match_info["name"])
        except KeyError:
            return web.json_response({"error": "unknown instance"}, status=404)
        try:
            faults = msgspec.json.decode(await request.read(), type=Faults)
            await apply_faults(server, faults)
        except (ValueError, OSError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(describe(self._database))
