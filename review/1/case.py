"""A write at an old primary is acknowledged after another was promoted and left again.

The primary is cut off from two of four VMs and from its replicas. The two VMs promote a
replica. That one is released soon afterwards, and told to step down for its successor.
Clients of the other two VMs are idle until then, and write again.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

ROUTES = {"lepu270": ("primary", "dele69a")}
CUT_SHARE = 0.5
CUT_SECONDS = 7.0
"""`primary_cut` on the site: share .45 to .65, 5 to 7 s."""


async def case(folder: Path) -> list[str]:
    """Play the case and return the writes that break the rule."""
    deployment = standins.Deployment(folder=folder, routes=ROUTES, vms=4)
    try:
        await deployment.start()
        writers = standins.Writers(
            deployment=deployment, vms=deployment.vms[2:], number=12, pause=0.03
        )
        await asyncio.sleep(2.0)
        writers.idle = True
        first = deployment.primary
        cut_at = time.monotonic()
        if standins.TROUBLE:
            cut = round(CUT_SHARE * len(deployment.vms))
            first.cut_from = {vm.name for vm in deployment.vms[:cut]}
            first.isolated = True
            deployment.record.write("cut off", primary=first.name, vms=cut)
        while time.monotonic() < cut_at + 4.0 and not deployment.store.effects:
            await asyncio.sleep(0.01)
        leaving = deployment.primary
        await standins.release(deployment, leaving)
        while time.monotonic() < cut_at + CUT_SECONDS - 0.5 and leaving.leads:
            await asyncio.sleep(0.01)
        deployment.record.write("stepped down", instance=leaving.name)
        writers.idle = False
        await asyncio.sleep(max(0.2, cut_at + CUT_SECONDS - time.monotonic()))
        first.cut_from = set()
        deployment.store.heal(first)
        await asyncio.sleep(3.0)
        await writers.stop()
    finally:
        await deployment.stop()
    for at, _, term in deployment.store.effects:
        print(f"term {term} began {at - cut_at:.2f} s after the cut")
    print(f"acknowledged={len(writers.acknowledged)}")
    if len(writers.acknowledged) < 100:
        raise standins.CannotRun("too few writes were acknowledged")
    return standins.find_late_commits(deployment, writers.acknowledged)


standins.play(Path(__file__).resolve().parent, case)
