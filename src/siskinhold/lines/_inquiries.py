"""Questions between VMs whether they reach an address of a backend server."""

import asyncio
import ipaddress

from ..counts import parse_count
from ..direct import VmEntry
from ._http import HttpAnswer, HttpClient, HttpFailure
from ._reachability import is_address_reachable

REACH_PATH = "reach"
"""First part of the path of a question, followed by host and port."""

MAX_PORT = 65535
"""Largest TCP port."""

ANSWER_TIMEOUT = 1.0
"""Seconds until a question fails: two connection attempts of the asked VM fit in."""

REACHED = b"reached"
MISSED = b"missed"


async def answer_inquiry(path: str) -> HttpAnswer | None:
    """Try to connect to the address in a path, and return the result.

    Returns:
        None if the path is no question of this kind.
    """
    parts = path.split("/")
    if len(parts) != 4 or parts[1] != REACH_PATH:
        return None
    port = parse_count(parts[3])
    if port is None or not 0 < port <= MAX_PORT:
        return None
    try:
        host = str(ipaddress.IPv4Address(parts[2]))
    except ValueError:
        # Answered as an unknown path.
        return None
    reached = await is_address_reachable(host, port)
    return HttpAnswer(status=200, body=REACHED if reached else MISSED)


async def ask_vms(
    vms: tuple[VmEntry, ...], host: str, port: int
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Ask VMs whether they reach an address.

    Returns:
        The names of those that reach it, and of those that don't. A VM that does not
        answer is in neither.
    """
    answers = await asyncio.gather(*[_ask_vm(vm, host, port) for vm in vms])
    reached = []
    missed = []
    for vm, answer in zip(vms, answers, strict=True):
        if answer == REACHED:
            reached.append(vm.name)
        elif answer == MISSED:
            missed.append(vm.name)
    return tuple(reached), tuple(missed)


async def _ask_vm(vm: VmEntry, host: str, port: int) -> bytes:
    """Return a VM's answer, empty without a usable one."""
    client = HttpClient(host=vm.host, port=vm.information_port)
    try:
        target = f"/{REACH_PATH}/{host}/{port}"
        answer = await client.request("GET", target, timeout=ANSWER_TIMEOUT)
    except HttpFailure:
        # The VM may be lost or cut off as well; then it has no say.
        return b""
    finally:
        client.close()
    return answer.body if answer.status == 200 else b""
