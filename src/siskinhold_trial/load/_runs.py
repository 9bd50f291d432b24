"""Runs of a load on a new simulation."""

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
    """Send a load for `seconds` of simulated time and return its samples.

    Arrivals begin at `START_TIME`. They depend on the seed only, so that
    policies are compared with the same statements.

    Args:
        rate: returns the arrivals per second at a time of the simulated clock.
        watch: called ten times a second from the first arrival on.
    """
    # Nothing waits for sockets or threads, so the loop needs no idle cycles.
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
        world.call_later(0.1, call_watch)

    if watch is not None:
        world.call_later(START_TIME, call_watch)
    generator = Generator(simulation=simulation, mix=mix, rate=rate, seed=seed)
    await asyncio.sleep(START_TIME - world.now())
    samples = await generator.run(seconds)
    await simulation.driver.stop()
    return samples
