"""Draws docs/failover.svg: the writes done in each 50 ms around a failover."""

import asyncio
import pathlib

import looptime

from siskinhold.model import Done, Marks, StatementKind
from siskinhold_trial.fleet import CRANNOG, Fleet

BAR_TIME = 0.05
"""Seconds that one bar covers."""
SHOWN_TIME = 4.0
"""Seconds shown."""
LOSS_DELAY = 1.0
"""Seconds from the left edge to the loss of the primary."""
WIDTH, HEIGHT, MARGIN = 800, 240, 40
"""Size and margin of the picture in pixels."""


async def write_continuously(fleet: Fleet, number: int, ends: list[float]) -> None:
    """Write continuously on one session and append when each write was done."""
    vm = fleet.vms[f"vm{number % len(fleet.vms)}"]
    caller = vm.callers.connect(database="bookings")
    sql = f"UPDATE kv SET v='x' WHERE k='{number}'"
    while True:
        reply = await caller.run(StatementKind.WRITE, sql, Marks(deadline_ms=9_000))
        if isinstance(reply.outcome, Done):
            ends.append(fleet.world.now())


async def run_failover() -> list[int]:
    """Isolate a primary under 18 writers; return the writes done in each bar."""
    fleet = Fleet(deployment=CRANNOG, seed=1)
    await fleet.start()
    ends: list[float] = []
    tasks = [asyncio.create_task(write_continuously(fleet, n, ends)) for n in range(18)]
    await asyncio.sleep(2.0)
    began = fleet.world.now()
    await asyncio.sleep(LOSS_DELAY)
    fleet.world.isolate(fleet.databases["bookings"].find_primary().endpoint.name)
    await asyncio.sleep(SHOWN_TIME - LOSS_DELAY)
    for task in tasks:
        task.cancel()
    await fleet.stop()
    bars = [0] * round(SHOWN_TIME / BAR_TIME)
    for end in ends:
        index = int((end - began) / BAR_TIME)
        if 0 <= index < len(bars):
            bars[index] += 1
    return bars


def draw_svg(bars: list[int]) -> str:
    """Return an SVG bar chart."""
    highest = max(bars) or 1
    width = (WIDTH - 2 * MARGIN) / len(bars)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}"'
        ' font-family="sans-serif" font-size="12">'
    ]
    for index, count in enumerate(bars):
        height = (HEIGHT - 2 * MARGIN) * count / highest
        x = MARGIN + index * width
        y = HEIGHT - MARGIN - height
        parts.append(
            f'<rect x="{x:.1f}" y="{y:.1f}" width="{width - 1:.1f}"'
            f' height="{height:.1f}" fill="#36c"/>'
        )
    x = MARGIN + LOSS_DELAY / BAR_TIME * width
    parts.append(
        f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{MARGIN - 10}" y2="{HEIGHT - MARGIN}"'
        ' stroke="#c33"/>'
    )
    parts.append(f'<text x="{x + 5:.1f}" y="{MARGIN - 12}">primary isolated</text>')
    parts.append(
        f'<text x="{MARGIN}" y="{HEIGHT - 15}">writes done in each 50 ms, highest'
        f" {highest}; {SHOWN_TIME:.0f} s of simulated time</text></svg>"
    )
    return "\n".join(parts)


def main() -> None:
    """Draw the picture."""
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    bars = loop.run_until_complete(run_failover())
    pathlib.Path("docs/failover.svg").write_text(draw_svg(bars) + "\n")
    print(" ".join(str(count) for count in bars))


if __name__ == "__main__":
    main()
