"""HTTP client of the platform's object store.

Calls return failures as results; no answer of the store raises an exception.
"""

import asyncio
import ssl
from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result
from yarl import URL

from ..model import VmAddress
from ..store import (
    MAX_VALUE_BYTES,
    ListObjects,
    ReadObject,
    StoreCall,
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
)

# The store splits lists and changes into pages of 4 MB of values, which are 5.4 MB in
# base64.
MAX_ANSWER_BYTES = 8_000_000
# Limit for all pages of one list: bounds the memory of a VM however large the store is.
MAX_LIST_BYTES = 48_000_000

# Header of the store's era. A store without eras sends none and counts as of era 0.
ERA_HEADER = "Revision-Era"
MAX_ERA_DIGITS = 9

_FAILURES = {
    404: StoreFailure.NOT_FOUND,
    409: StoreFailure.CONFLICT,
    400: StoreFailure.REJECTED,
}

Answer = TypeVar("Answer")


class ListPage(msgspec.Struct, frozen=True, kw_only=True):
    """One page of a list of objects, as the store returns it."""

    objects: tuple[StoredObject, ...]
    revision: int
    more: bool
    era: int = 0


class VmListing(msgspec.Struct, frozen=True, kw_only=True):
    """The list of VMs, as the store returns it."""

    live: tuple[VmAddress, ...]
    leaving: tuple[str, ...]


class MalformedAnswer(Exception):
    """The store's answer violates its protocol; caught within this module."""


class StoreClient:
    """Calls the store; each call uses a connection of its own.

    A reused connection that has become unresponsive would cost a call its whole
    timeout, and store calls are rare enough for the cost of connecting not to matter.

    Args:
        url: URL of the store's service port.
        tls: TLS context for an `https` URL; None for the default one.
        max_answer_bytes: maximum size of an answer's body.
        max_list_bytes: maximum total size of the values in all pages of a list.

    Raises:
        ValueError: if `url` is not an absolute http or https URL.
    """

    def __init__(
        self,
        *,
        url: str,
        tls: ssl.SSLContext | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_list_bytes: int = MAX_LIST_BYTES,
    ) -> None:
        self._base = URL(url)
        if self._base.scheme not in ("http", "https") or not self._base.host:
            raise ValueError(f"not an http or https URL: {url}")
        self._tls = tls if tls is not None else True
        self._max_answer_bytes = max_answer_bytes
        self._max_list_bytes = max_list_bytes
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session on the event loop that will make the calls."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            headers={"Accept-Encoding": "identity"},
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(self, operation: StoreCall, *, timeout: float) -> StoreResult:
        """Carry out a call within `timeout` seconds."""
        result = await self._run_with_timeout(self._perform(operation), timeout)
        if isinstance(result, Err):
            return StoreResult(failure=result.err_value)
        return result.ok_value

    async def changes(
        self, prefix: str, *, after: int, wait: float, timeout: float
    ) -> Result[StoreResult, StoreFailure]:
        """Wait up to `wait` seconds for changes after a revision.

        The result is complete up to its revision.
        """
        return await self._run_with_timeout(
            self._read_changes(prefix, after, wait), timeout
        )

    async def read_vms(self, *, timeout: float) -> Result[VmListing, StoreFailure]:
        """Read the platform's list of VMs."""
        return await self._run_with_timeout(self._read_vms(), timeout)

    async def register_vm(
        self, address: VmAddress, *, timeout: float
    ) -> Result[VmListing, StoreFailure]:
        """Add a VM to the list, in trials without a platform that does so."""
        return await self._run_with_timeout(self._register_vm(address), timeout)

    async def _run_with_timeout(
        self, coroutine, timeout: float
    ) -> Result[Answer, StoreFailure]:
        """Return a call's answer.

        A timeout, a connection failure and a malformed answer all count as no answer.
        """
        try:
            async with asyncio.timeout(timeout):
                return Ok(await coroutine)
        except (aiohttp.ClientError, MalformedAnswer, OSError, ValueError):
            # Includes TimeoutError, which is an OSError. After an unreadable answer a
            # write may have taken effect as well.
            return Err(StoreFailure.NO_ANSWER)

    async def _perform(self, operation: StoreCall) -> StoreResult:
        if isinstance(operation, ListObjects):
            return await self._list(operation)
        if isinstance(operation, ReadObject):
            return await self._read(operation)
        return await self._write(operation)

    async def _read(self, operation: ReadObject) -> StoreResult:
        """Read an object and check that the answer is that object."""
        result = await self._request("GET", "object", {"key": operation.key})
        if result.failure is None:
            _require(len(result.objects) == 1)
            _require(result.objects[0].key == operation.key)
        return result

    async def _write(self, operation: WriteObject) -> StoreResult:
        """Write an object and check that the answer is the object as written."""
        if len(operation.value) > MAX_VALUE_BYTES:
            return StoreResult(failure=StoreFailure.REJECTED)
        query = {
            "key": operation.key,
            "expected_version": str(operation.expected_version),
        }
        result = await self._request(
            "POST", "object", query, operation.value, era=operation.expected_era
        )
        for stored in result.objects:
            _require(stored.key == operation.key)
        if result.failure is None:
            _require(len(result.objects) == 1)
            _require(result.objects[0].version > operation.expected_version)
            _require(result.objects[0].value == operation.value)
        return result

    async def _list(self, operation: ListObjects) -> StoreResult:
        """Read all pages of a list; fails if they exceed the limit."""
        objects: list[StoredObject] = []
        first: ListPage | None = None
        size = 0
        more = True
        while more:
            page = await self._read_page(operation.prefix, objects)
            first = first or page
            _require(page.era == first.era and page.revision >= first.revision)
            objects.extend(page.objects)
            size += sum(len(stored.value) for stored in page.objects)
            _require(size <= self._max_list_bytes)
            more = page.more
        # The list counts as of the first page's revision, so that a watch from there
        # also delivers changes made between two pages.
        return StoreResult(
            objects=tuple(objects), revision=first.revision, era=first.era
        )

    async def _read_page(self, prefix: str, before: list[StoredObject]) -> ListPage:
        """Read the page of a list that follows the objects `before`."""
        last = before[-1].key if before else ""
        query = {"prefix": prefix, "start_after": last}
        status, body, era = await self._exchange("GET", "objects", query)
        _require(status == 200)
        page = msgspec.structs.replace(_decode(body, ListPage), era=era)
        _require(bool(page.objects) or not page.more)
        for stored in page.objects:
            _require(stored.key.startswith(prefix) and stored.key > last)
            last = stored.key
        return page

    async def _read_changes(self, prefix: str, after: int, wait: float) -> StoreResult:
        """Read changes and check that they match the request and are in order.

        The revision of a store restored from a copy may be lower than `after`.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait * 1000)),
        }
        result = await self._request("GET", "changes", query)
        _require(result.failure is None)
        last = after
        for stored in result.objects:
            _require(stored.key.startswith(prefix))
            _require(last < stored.revision <= result.revision)
            last = stored.revision
        return result

    async def _read_vms(self) -> VmListing:
        status, body, _ = await self._exchange("GET", "vms", {})
        _require(status == 200)
        return _decode(body, VmListing)

    async def _register_vm(self, address: VmAddress) -> VmListing:
        data = msgspec.json.encode(address)
        status, body, _ = await self._exchange("POST", "vms", {}, data)
        _require(status == 200)
        return _decode(body, VmListing)

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        data: bytes | None = None,
        *,
        era: int = 0,
    ) -> StoreResult:
        """Make a call; return its result, whose failure must match the status.

        Args:
            era: era on which the call is conditional; 0 for none.
        """
        status, body, answered = await self._exchange(
            method, path, query, data, era=era
        )
        _require(status == 200 or status in _FAILURES)
        result = _decode(body, StoreResult)
        _require(result.failure is _FAILURES.get(status))
        return msgspec.structs.replace(result, era=answered)

    async def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        data: bytes | None = None,
        *,
        era: int = 0,
    ) -> tuple[int, bytes, int]:
        """Send a request; return the status, body and era of its response."""
        if self._session is None:
            raise MalformedAnswer("the client is not started")
        async with self._session.request(
            method,
            self._base / "v1" / path,
            params=query,
            data=data,
            headers={ERA_HEADER: str(era)} if era else None,
            ssl=self._tls,
            allow_redirects=False,
        ) as response:
            answered = _parse_era(response.headers.get(ERA_HEADER, "0"))
            return response.status, await self._read_body(response), answered

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the body of a response; fails if it exceeds the limit."""
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            _require(len(body) <= self._max_answer_bytes)
        return bytes(body)


def _parse_era(text: str) -> int:
    """Return the era in a header.

    Raises:
        MalformedAnswer: if it is no number of at most `MAX_ERA_DIGITS` digits.
    """
    _require(text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS)
    return int(text)


def _decode(body: bytes, kind: type[Answer]) -> Answer:
    """Return a decoded body.

    Raises:
        MalformedAnswer: if it can't be decoded.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedAnswer(str(error)) from error


def _require(condition: bool) -> None:
    """Raise `MalformedAnswer` unless the condition holds."""
    if not condition:
        raise MalformedAnswer("the answer breaks the store's protocol")
