"""The control port of the store stand-in, which faults don't affect.

    GET    /control/counters     calls by kind since the start or last reset
    DELETE /control/counters     resets the counters
    GET    /control/faults       StoreFaults
    PUT    /control/faults       StoreFaults; fields left out are reset
    PUT    /control/vms/<name>   {"presence": "live" | "leaving" | "gone"}
    PUT    /control/vm-list-lag  {"seconds": <number>}

Answers are JSON with status 200; a malformed call gets 400, an unknown VM 404.
"""

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from ._faults import StoreFaults
from ._service import answer_json
from ._vm_list import VmPresence

if TYPE_CHECKING:
    from ._server import StoreServer


class PresenceChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of `PUT /control/vms/<name>`."""

    presence: VmPresence


class LagChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of `PUT /control/vm-list-lag`."""

    seconds: float


class ControlRoutes:
    """HTTP handlers of the control port."""

    def __init__(self, *, server: "StoreServer") -> None:
        self._server = server

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with a router."""
        router.add_get("/control/counters", self._read_counters)
        router.add_delete("/control/counters", self._reset_counters)
        router.add_get("/control/faults", self._read_faults)
        router.add_put("/control/faults", self._set_faults)
        router.add_put("/control/vms/{name}", self._set_presence)
        router.add_put("/control/vm-list-lag", self._set_lag)

    async def _read_counters(self, request: web.Request) -> web.Response:
        return answer_json(self._server.read_counters())

    async def _reset_counters(self, request: web.Request) -> web.Response:
        self._server.counters.clear()
        return answer_json(self._server.read_counters())

    async def _read_faults(self, request: web.Request) -> web.Response:
        return answer_json(self._server.faults)

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = msgspec.json.decode(await request.read(), type=StoreFaults)
        await self._server.set_faults(faults)
        return answer_json(self._server.faults)

    async def _set_presence(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=PresenceChange)
        name = request.match_info["name"]
        now = asyncio.get_running_loop().time()
        if not self._server.vms.set_presence(name, change.presence, now=now):
            raise web.HTTPNotFound()
        return answer_json(change)

    async def _set_lag(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=LagChange)
        self._server.vms.lag = change.seconds
        return answer_json(change)
