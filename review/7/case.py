"""A tenant leaves: its key and its database's route are removed by one configuration.

A client of the tenant is inside a transaction at that moment. It goes on for longer
than `revoke_ms`, writes and commits.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import BROKEN, HELD, Deployment, make_configuration, run_case

REVOKE_SECONDS = 5.0
"""`revoke_ms` of the deployments with keys."""

BOUNDS = {"revoke_strict": True, "revoke_ms": 5000, "quota_window_s": 5}
BOUNDS |= {"quota_excess": 0.1, "quota_slack": 20}


async def main(folder: Path, trouble: bool) -> int:
    """Play the case; without trouble the route stays and only the key is removed."""
    world = Deployment(folder=folder, zones=["a", "b", "c"], bounds=BOUNDS)
    try:
        routes = {"ledger": "primary", "other": "primary"}
        tenants = {"t1": ["key-one"], "t2": ["key-two"]}
        await world.start(make_configuration(1, routes, tenants=tenants))
        client = await world.open("client", world.vms[0], "ledger", "key-one")
        await client.query("BEGIN")
        await client.query("WRITE a 1")
        kept = {"other": "primary"} if trouble else routes
        left = {"t2": ["key-two"]}
        revoked_at = world.platform.configure(make_configuration(2, kept, tenants=left))
        # Shorter pauses than `tx_idle_ms`, and fewer than 12 statements.
        while world.record.now() < revoked_at + REVOKE_SECONDS + 1.5:
            await client.query("READ a")
            await asyncio.sleep(1.3)
        await client.query("WRITE b 2")
        await client.query("COMMIT")
        late = []
        for instance in world.instances:
            for _, request, text, who in instance.runs:
                sent_at, _ = client.sent.get(request, (0.0, ""))
                if sent_at > revoked_at + REVOKE_SECONDS:
                    late.append(f"{text!r} sent {sent_at - revoked_at:.1f} s after")
        for line in late:
            world.record.add(f"BROKEN: ran with a withdrawn key: {line}")
        return BROKEN if late else HELD
    finally:
        await world.stop()


run_case(main, Path(__file__).resolve().parent)
