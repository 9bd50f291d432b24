"""The proxy program of a VM: `siskinhold-proxy`.

Exit codes:

    0    done: a graceful shutdown, or the check found no fault
    1    an unexpected failure
    2    wrong usage
    3    the settings are invalid or can't be read; one line for each fault
    4    an address can't be bound
    5    a file named in the settings can't be used
    130  terminated at once by a second SIGINT, or by one during startup; 143 by a
         second SIGTERM

A failure at startup is reported in one line on standard error that begins with
`failure=` and names the setting. The first SIGTERM or SIGINT starts a graceful
shutdown: the VM accepts no new callers, finishes open transactions and exits.
"""

import enum
import logging
import sys
from dataclasses import dataclass
from typing import Annotated

import aiomisc
import cappa
import uvloop
from result import Err

from .. import __version__
from ..settings import Settings, SettingsReport, load_settings
from ._log import configure_log
from ._proxy_service import FileUnusable, ProxyService

_log = logging.getLogger(__name__)


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    DONE = 0
    FAILED = 1
    SETTINGS = 3
    ADDRESS = 4
    FILE = 5
    INTERRUPTED = 130


@cappa.command(name="siskinhold-proxy")
@dataclass(slots=True, kw_only=True)
class Options:
    """Run the proxy of one VM.

    Args:
        settings: the INI file with the settings.
        check: check the settings and exit.
    """

    settings: Annotated[str, cappa.Arg(value_name="FILE")]
    check: Annotated[bool, cappa.Arg(long=True)] = False


def run(settings: Settings) -> None:
    """Run the proxy until a graceful shutdown is complete.

    aiomisc runs the service and the event loop. Its signal handling is disabled: it
    stops the services and the loop at the first signal, which would abort running
    statements, and a second signal would not terminate the process sooner. The service
    handles signals itself.

    Raises:
        AdapterFailed: if an address can't be bound; `place` names the settings section.
        FileUnusable: if a file named in the settings can't be used.
    """
    service = ProxyService(settings=settings)
    with aiomisc.entrypoint(
        service,
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.wait())


def main(arguments: list[str] | None = None) -> None:
    """Run the program and exit; `arguments` default to the command line.

    Raises:
        SystemExit: with one of the exit codes.
    """
    options = cappa.parse(Options, argv=arguments, version=__version__)
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        _print_settings_faults(loaded.err_value)
        raise SystemExit(int(ExitCode.SETTINGS))
    settings = loaded.ok_value
    if options.check:
        print(f"event=settings_valid file={options.settings!r}", flush=True)
        raise SystemExit(int(ExitCode.DONE))
    configure_log(settings.vm.log_level)
    raise SystemExit(int(_run_and_report(settings)))


def _run_and_report(settings: Settings) -> ExitCode:
    """Run the proxy, print a failure, and return the exit code."""
    try:
        run(settings)
    except FileUnusable as error:
        _print_failure("file_unusable", error.place, error.detail)
        return ExitCode.FILE
    except OSError as error:
        _print_failure("address_unusable", getattr(error, "place", ""), str(error))
        return ExitCode.ADDRESS
    except KeyboardInterrupt:
        # Raised only before the service handles signals, when no session is open.
        return ExitCode.INTERRUPTED
    except Exception as error:
        _log.debug("event=failed", exc_info=error)
        _print_failure("unexpected", "", f"{type(error).__name__}: {error}")
        return ExitCode.FAILED
    return ExitCode.DONE


def _print_settings_faults(report: SettingsReport) -> None:
    for fault in report.faults:
        _print_failure("settings_invalid", fault.place, fault.reason)


def _print_failure(kind: str, place: str, detail: str) -> None:
    line = f"failure={kind} place={place!r} detail={detail!r}"
    print(line, file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
