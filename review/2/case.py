"""A write at an old primary is acknowledged after a new instance was promoted.

An instance of a release has just started when the primary is cut off from two of four
VMs, which promote the new instance. The other two VMs still reach the primary; their
stale reads of the store, which are three seconds old, don't list the new instance yet.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins

ROUTES = {"lepu270": ("primary", "dele69a")}
STALENESS = 3.0
"""Age of stale reads in seconds; the store's documentation calls it `seconds old`."""

FAR_LAG = 0.02
"""Seconds until a replica in the other region has a commit; the site allows 48 ms."""

CUT_SHARE = 0.5
CUT_SECONDS = 7.0
"""`primary_cut` on the site: share .45 to .65, 5 to 7 s."""


async def case(folder: Path) -> list[str]:
    """Play the case and return the writes that break the rule."""
    deployment = standins.Deployment(
        folder=folder,
        routes=ROUTES,
        vms=4,
        staleness=(0.0, 0.0, STALENESS, STALENESS),
    )
    far = deployment.groups["dele69a"][2]
    far.zone, far.lag = "munster-a", FAR_LAG
    try:
        await deployment.start()
        writers = standins.Writers(
            deployment=deployment, vms=deployment.vms, number=12, pause=0.03
        )
        await asyncio.sleep(2.0)
        primary = deployment.primary
        cut_at = time.monotonic()
        if standins.TROUBLE:
            cut = round(CUT_SHARE * len(deployment.vms))
            primary.cut_from = {vm.name for vm in deployment.vms[:cut]}
            deployment.record.write("cut off", primary=primary.name, vms=cut)
        await asyncio.sleep(0.8)
        await standins.release(deployment, deployment.groups["dele69a"][1])
        await asyncio.sleep(cut_at + CUT_SECONDS - time.monotonic())
        primary.cut_from = set()
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
