"""Checks whether another VM's machine answers."""

import asyncio

from ..direct import VmEntry

CONNECT_TIMEOUT = 0.25
"""Seconds to connect before the next holder is tried: ten round trips to a region."""

CHECK_ATTEMPTS = 2
"""Connection attempts to a silent holder, each with `CONNECT_TIMEOUT`, until it counts
as lost: a single packet may get lost."""


async def is_reachable(vm: VmEntry) -> bool:
    """Return whether another VM's machine answers connection attempts.

    A refused connection is an answer: a holder may be shutting down and still answer
    the callers that it has.
    """
    return await is_address_reachable(vm.host, vm.relay_port)


async def is_address_reachable(host: str, port: int) -> bool:
    """Return whether a machine answers connection attempts, by refusals as well."""
    loop = asyncio.get_running_loop()
    for _ in range(CHECK_ATTEMPTS):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, host, port
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            # Counted: after the last attempt the caller logs the loss.
            continue
        transport.abort()
        return True
    return False
