"""Checks of what servers and VMs keep, while a soak runs."""

import asyncio
import time
from pathlib import Path

MAX_STATEMENTS = 128
"""Prepared statements that a server may keep for a connection."""

MAX_NAME_LENGTH = 32
"""Characters of their names."""

MAX_KEPT_BYTES = 64 << 10
"""Bytes of values and statements that it may keep for an idle connection."""

IDLE_PERIOD = 2.0
"""Seconds without a command after which a connection counts as idle: a second for which
larger values are kept, and one to release them."""

WARM_PERIOD = 3.0
"""Seconds after a VM's start in which its memory may grow without a bound."""

GROWTH_KB = 16 << 10
"""Kilobytes by which a VM may grow from then on."""


def read_resident_kb(process: int) -> int:
    """Return the resident memory of a process in kilobytes, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{process}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(x.split()[1]) for x in lines if x.startswith("VmRSS:")), 0)


class KeptChecks:
    """Checks the connections of instances and the memory of VMs from time to time.

    The bytes of idle connections are only checked once no fault is injected: a VM must
    be able to release them.
    """

    def __init__(self, *, instances, vms, faults) -> None:
        self._instances = instances
        self._vms = vms
        self._faults = faults
        self._seen: dict[int, tuple[float, int]] = {}
        self._healed_at: float | None = None
        self._found: dict[object, str] = {}
        self.counts = {"grown_kb": 0, "most_prepared": 0, "most_kept": 0}

    @property
    def violations(self) -> list[str]:
        """The last finding of each connection and VM."""
        return list(self._found.values())

    async def repeat(self) -> None:
        """Check until the task is cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if not self._faults.injecting:
                self._healed_at = self._healed_at or now
            for instance in self._instances:
                for session in instance.sessions:
                    self._check_session(now, instance.name, session)
            for vm in self._vms:
                self._check_memory(now, vm)

    def _check_session(self, now: float, name: str, session) -> None:
        count = len(session.prepared)
        self.counts["most_prepared"] = max(self.counts["most_prepared"], count)
        longest = max(map(len, session.prepared), default=0)
        if count > MAX_STATEMENTS or longest > MAX_NAME_LENGTH:
            text = f"{name}: keeps {count} statements, names of {longest} characters"
            self._found[session, "statements"] = text
        since = session.idle_since
        if self._healed_at is None or since is None or session.state != "I":
            return
        if now - max(since, self._healed_at) < IDLE_PERIOD:
            return
        kept = session.measure_kept()
        self.counts["most_kept"] = max(self.counts["most_kept"], kept)
        if kept > MAX_KEPT_BYTES:
            text = f"{name}: keeps {kept} bytes for an idle connection"
            self._found[session, "bytes"] = text

    def _check_memory(self, now: float, vm) -> None:
        process = vm.process.pid
        resident = read_resident_kb(process)
        started, base = self._seen.setdefault(process, (now, 0))
        if not base and resident and now - started >= WARM_PERIOD:
            self._seen[process] = started, resident
        if not base or not resident:
            return
        self.counts["grown_kb"] = max(self.counts["grown_kb"], resident - base)
        if resident - base > GROWTH_KB:
            self._found[process] = f"{vm.name}: grew from {base} to {resident} KB"
