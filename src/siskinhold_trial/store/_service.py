"""The service port of the store stand-in, called by VMs and tools.

Answers are JSON:

    GET  /v1/object?key=<k>                             StoreResult
    POST /v1/object?key=<k>&expected_version=<n>        StoreResult; body: value
    GET  /v1/objects?prefix=<p>&start_after=<k>         ListAnswer
    GET  /v1/changes?prefix=<p>&after=<r>&wait_ms=<ms>  StoreResult
    GET  /v1/vms                                        VmListing
    POST /v1/vms                                        VmListing; body: VmAddress

A store with eras names its era in the header `Revision-Era` of each answer. It rises
each time the store is restored from a copy. A POST of an object may carry the header
too; the store refuses it as a conflict if its era is another one.

The status is 200 on success, 404 for an absent object, 409 for a conflict (the
answer holds the current object, if there is one) and 400 for a rejected call.
A write is a POST so that no HTTP client library retries it on its own.
"""

import asyncio

import msgspec
from aiohttp import web

from siskinhold.model import VmAddress
from siskinhold.store import (
    ListObjects,
    ReadObject,
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
)

from ._engine import StoreEngine
from ._vm_list import VmList

# A longer wait is reduced to this limit, so that the watch of a client that
# disappeared without closing its connection ends.
MAX_WATCH_WAIT_MS = 60_000
ERA_HEADER = "Revision-Era"

_STATUS = {
    None: 200,
    StoreFailure.NOT_FOUND: 404,
    StoreFailure.CONFLICT: 409,
    StoreFailure.REJECTED: 400,
}
_encode = msgspec.json.Encoder().encode


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One page of a list.

    Args:
        objects: ascending by key.
        revision: the store-wide revision of the page.
        more: whether objects with greater keys follow.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    more: bool


def answer_json(value: object, *, status: int = 200) -> web.Response:
    """Return a value as a JSON answer."""
    return web.Response(
        body=_encode(value), status=status, content_type="application/json"
    )


@web.middleware
async def refuse_malformed(request: web.Request, handler) -> web.StreamResponse:
    """Answer a call with malformed parameters or body as rejected."""
    try:
        return await handler(request)
    except (ValueError, KeyError):
        return answer_json(StoreResult(failure=StoreFailure.REJECTED), status=400)


class ServiceRoutes:
    """HTTP handlers of the service port."""

    def __init__(self, *, engine: StoreEngine, vms: VmList) -> None:
        self._engine = engine
        self._vms = vms

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Register the handlers; a route is named after its kind of call."""
        router.add_get("/v1/objects", self._list, name="list")
        router.add_get("/v1/object", self._read, name="read")
        router.add_post("/v1/object", self._write, name="write")
        router.add_get("/v1/changes", self._watch, name="watch")
        router.add_get("/v1/vms", self._read_vms, name="vm_list")
        router.add_post("/v1/vms", self._register_vm, name="vm_register")

    async def _list(self, request: web.Request) -> web.Response:
        operation = ListObjects(prefix=request.query.get("prefix", ""))
        start_after = request.query.get("start_after", "")
        page, more = self._engine.list_page(operation, start_after=start_after)
        return answer_json(
            ListAnswer(objects=page.objects, revision=page.revision, more=more)
        )

    async def _read(self, request: web.Request) -> web.Response:
        operation = ReadObject(key=request.query["key"])
        return _answer_result(self._engine.call(operation))

    async def _write(self, request: web.Request) -> web.Response:
        operation = WriteObject(
            key=request.query["key"],
            value=await request.read(),
            expected_version=int(request.query["expected_version"]),
            expected_era=int(request.headers.get(ERA_HEADER, "0")),
        )
        return _answer_result(self._engine.call(operation))

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        wait_ms = min(int(request.query["wait_ms"]), MAX_WATCH_WAIT_MS)
        result = self._engine.changes(prefix, after=after)
        if not result.objects:
            await self._wait_for_change(prefix, after, wait_ms / 1000)
            result = self._engine.changes(prefix, after=after)
        return _answer_result(result)

    async def _wait_for_change(self, prefix: str, after: int, seconds: float) -> None:
        changed = asyncio.Event()
        unsubscribe = self._engine.subscribe(changed.set)
        try:
            async with asyncio.timeout(seconds):
                while not self._engine.changes(prefix, after=after).objects:
                    changed.clear()
                    await changed.wait()
        except TimeoutError:
            pass
        finally:
            unsubscribe()

    async def _read_vms(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        return answer_json(self._vms.read(now=now))

    async def _register_vm(self, request: web.Request) -> web.Response:
        address = msgspec.json.decode(await request.read(), type=VmAddress)
        now = asyncio.get_running_loop().time()
        self._vms.register(address, now=now)
        return answer_json(self._vms.read(now=now))


def _answer_result(result: StoreResult) -> web.Response:
    return answer_json(result, status=_STATUS[result.failure])
