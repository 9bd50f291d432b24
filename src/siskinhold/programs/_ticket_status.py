"""Status of the fleet, read from the operator ports of VMs."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from result import Err, Ok, Result

from ..adapters import OperatorStatus, StoreClient
from ..model import VmAddress, VmState
from ..observability import quote

STATUS_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.2
# Sufficient for several thousand VMs and the maximum number of databases.
MAX_STATUS_BYTES = 16_000_000

FindUrls = Callable[[], Awaitable[list[str]]]
ReportProgress = Callable[[str], None]


class StatusReader:
    """Reads the status from the first operator port that answers.

    Args:
        urls: URLs of operator ports, the preferred one first.
        find_urls: finds more URLs when none answers. The platform's list of VMs lags,
            so it may be empty at first.
    """

    def __init__(self, *, urls: list[str], find_urls: FindUrls | None = None) -> None:
        self._urls = list(urls)
        self._find_urls = find_urls

    async def read(self, *, max_databases: int) -> Result[OperatorStatus, str]:
        """Return the status of the first VM that answers.

        The error is a message for the operator.

        Args:
            max_databases: maximum number of databases in the status.
        """
        failures: list[str] = []
        status = await self._read_any(max_databases, tuple(self._urls), failures)
        if status is None and self._find_urls is not None:
            found = await self._find_urls()
            new = tuple(url for url in found if url not in self._urls)
            self._urls.extend(new)
            status = await self._read_any(max_databases, new, failures)
        if status is not None:
            return Ok(status)
        return Err("; ".join(failures) or "no operator port is known")

    async def _read_any(
        self, max_databases: int, urls: tuple[str, ...], failures: list[str]
    ) -> OperatorStatus | None:
        """Return the status of the first URL that answers; None if none does.

        Adds a text to `failures` for each one that does not answer.
        """
        for url in urls:
            try:
                return await self._fetch(url, max_databases)
            except (aiohttp.ClientError, OSError, ValueError) as error:
                failures.append(f"{url}: {type(error).__name__} {error}".strip())
            # A port that failed is tried last from now on.
            self._urls.remove(url)
            self._urls.append(url)
        return None

    async def _fetch(self, url: str, max_databases: int) -> OperatorStatus:
        """Request the status of one VM.

        Raises:
            aiohttp.ClientError: if the request fails.
            OSError: if it fails or times out.
            ValueError: if the answer is too large or malformed.
        """
        timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            address = f"{url.rstrip('/')}/status"
            query = {"limit": str(max_databases)}
            async with session.get(address, params=query) as response:
                response.raise_for_status()
                body = bytearray()
                async for chunk in response.content.iter_any():
                    body += chunk
                    if len(body) > MAX_STATUS_BYTES:
                        raise ValueError("the answer is too large")
        return msgspec.json.decode(body, type=OperatorStatus)


async def find_operator_urls(client: StoreClient) -> list[str]:
    """Return the URLs of the operator ports of the live VMs in the platform's list.

    The result is empty if the list can't be read.
    """
    listed = await client.read_vms(timeout=STATUS_TIMEOUT_SECONDS)
    if isinstance(listed, Err):
        return []
    return [_build_operator_url(vm) for vm in listed.ok_value.live if vm.operator_port]


async def wait_until_in_force(
    reader: StatusReader, number: int, *, seconds: float, progress: ReportProgress
) -> Result[OperatorStatus, str]:
    """Wait until a ticket is in force on every live VM.

    The error names the lagging VMs, or the reason why no status could be read.

    Args:
        reader: reads the status.
        number: the ticket's number.
        seconds: time limit.
        progress: called with a line of text whenever the state changes.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    last = ""
    while True:
        read = await reader.read(max_databases=0)
        if isinstance(read, Ok) and not list_lagging_vms(read.ok_value, number):
            return read
        lag = describe_lag(read, number)
        if lag != last:
            progress(f"event=waiting ticket={number} {lag}")
            last = lag
        if loop.time() + POLL_INTERVAL_SECONDS > deadline:
            return Err(lag)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def list_lagging_vms(status: OperatorStatus, number: int) -> list[str]:
    """Return the live VMs on which a ticket is not in force."""
    lagging = []
    for vm in status.vms:
        if vm.state is VmState.LIVE and vm.ticket < number:
            lagging.append(vm.name)
    return lagging


def describe_lag(read: Result[OperatorStatus, str], number: int) -> str:
    """Return where a ticket is not in force yet, as key=value pairs.

    They are the number of VMs that it is in force on, the number of live VMs and the
    names of the lagging ones, or the reason why no status could be read.
    """
    if isinstance(read, Err):
        return f"operator_failure={read.err_value!r}"
    live = sum(vm.state is VmState.LIVE for vm in read.ok_value.vms)
    lagging = list_lagging_vms(read.ok_value, number)
    in_force = live - len(lagging)
    names = quote(",".join(lagging)) if lagging else ""
    return f"in_force={in_force} live={live} lagging={names}"


def _build_operator_url(vm: VmAddress) -> str:
    host = f"[{vm.host}]" if ":" in vm.host else vm.host
    return f"http://{host}:{vm.operator_port}"
