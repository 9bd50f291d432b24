"""Two instances are shut down as planned while the third one receives nothing.

The service has `sync_replicas` 1. A replica and then the primary report that they are
draining. Both go on for seconds, and both have every acknowledged commit. The third
instance is behind for a while; nothing crashes.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import BROKEN, HELD, Deployment, make_configuration, run_case

DEAF_SECONDS = 6.5
"""Seconds for which a replica receives nothing."""

SHUTDOWN_GAP_SECONDS = 1.0
"""Seconds between the reports of the two instances."""


async def main(folder: Path, trouble: bool) -> int:
    """Play the case; without trouble the third instance receives all the time."""
    world = Deployment(folder=folder, zones=["a", "b", "c"], bounds={})
    world.group.sync = 1
    try:
        await world.start(make_configuration(1, {"ledger": "primary"}, sync=1))
        primary, near, far = world.instances
        client = await world.open("client", world.vms[0], "ledger")
        await client.query("WRITE a 1")
        await asyncio.sleep(0.5)
        began = world.record.now()
        if trouble:
            far.cut_from.add(primary.name)
            world.record.add(f"{far.name} receives nothing")
        for number in range(2, 8):
            await client.query(f"WRITE a {number}")
            await asyncio.sleep(0.1)
        for instance in (near, primary):
            instance.state = "draining"
            world.record.add(f"{instance.name} reports draining")
            await asyncio.sleep(SHUTDOWN_GAP_SECONDS)
        await asyncio.sleep(max(0.0, began + DEAF_SECONDS - world.record.now()))
        far.cut_from.clear()
        world.record.add(f"{far.name} receives again")
        # Both leaving instances have to serve for `drain_ms`, which is 7 s.
        await asyncio.sleep(2.0)
        for line in world.group.lost:
            world.record.add(f"BROKEN: acknowledged commit lost: {line}")
        return BROKEN if world.group.lost else HELD
    finally:
        await world.stop()


run_case(main, Path(__file__).resolve().parent)
