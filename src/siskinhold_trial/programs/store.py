"""The program `siskinhold-trial-store`: the stand-in for the object store."""

import asyncio
import signal
from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop

from ..store import StoreEngine, StoreServer, VmList


@cappa.command(name="siskinhold-trial-store")
@dataclass(slots=True, kw_only=True)
class Options:
    """Serve the store stand-in until SIGTERM or SIGINT.

    Args:
        host: IP address to listen on.
        port: service port; 0 for any free one.
        control_port: control port; 0 for any free one.
        vm_list_lag: seconds until the list of VMs shows a change.
    """

    host: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 7300
    control_port: Annotated[int, cappa.Arg(long=True)] = 7301
    vm_list_lag: Annotated[float, cappa.Arg(long=True)] = 2.0


async def serve(options: Options) -> None:
    """Serve until SIGTERM or SIGINT.

    Raises:
        OSError: if a port can't be bound.
    """
    server = StoreServer(
        engine=StoreEngine(),
        vms=VmList(lag=options.vm_list_lag),
        host=options.host,
        port=options.port,
        control_port=options.control_port,
    )
    await server.start()
    line = f"event=listening url={server.url} control_url={server.control_url}"
    print(line, flush=True)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    await server.stop()


def main(arguments: list[str] | None = None) -> None:
    """Run the program; `arguments` default to the command line."""
    options = cappa.parse(Options, argv=arguments)
    try:
        uvloop.run(serve(options))
    except OSError as error:
        raise SystemExit(f"event=listen_failed error={error}") from error


if __name__ == "__main__":
    main()
