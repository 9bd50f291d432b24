"""Runs of a load on a fresh cell."""

import asyncio
from collections.abc import Callable

import looptime

from siskinhold.core import SchedulingRules
from siskinhold_trial.fakes import FakeWorld

from ._deployments import Deployment
from ._generator import Generator, Sample
from ._simulation import START_TIME, PoolSimulation
from ._statements import StatementMix


def run_load(
    deployment: Deployment,
    policy: SchedulingRules,
    mix: StatementMix,
    *,
    rate: Callable[[float], float],
    seconds: float,
    seed: int,
    watch: Callable[[PoolSimulation], None] | None = None,
) -> list[Sample]:
    """Send a load for some simulated time and return what became of it.

    Arrivals begin at `START_TIME`. They depend on the seed only, so that
    policies are compared over the same statements.

    Args:
        rate: arrivals a second at a time of the simulated clock.
        watch: called ten times a second while arrivals go on.
    """
    # Nothing here waits for sockets or threads, so no idle turns are needed.
    loop = looptime.new_event_loop(start=0, noop_cycles=0)
    try:
        return loop.run_until_complete(
            _run(deployment, policy, mix, rate, seconds, seed, watch, loop)
        )
    finally:
        loop.close()


async def _run(deployment, policy, mix, rate, seconds, seed, watch, loop):
    world = FakeWorld(loop=loop, seed=seed)
    simulation = PoolSimulation(
        world=world, deployment=deployment, policy=policy, seed=seed
    )
    await simulation.start()

    def call_watch() -> None:
        watch(simulation)
        world.later(0.1, call_watch)

    if watch is not None:
        world.later(START_TIME, call_watch)
    generator = Generator(simulation=simulation, mix=mix, rate=rate, seed=seed)
    await asyncio.sleep(START_TIME - world.now())
    samples = await generator.run(seconds)
    await simulation.driver.stop()
    return samples
