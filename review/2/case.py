"""Case 2: one call breaks, and what stands at the relay comes in two pieces."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from suva import (  # noqa: E402
    DRAIN_S,
    PROXIES,
    REQUESTS_PER_S,
    SERVICE_MU,
    SETTINGS,
    choose,
    proxies,
    servers,
    tables,
)
from world import NotRunError, World, run_case  # noqa: E402

# One batch of a rolling deploy: 3 of 16 servers. One slice of each is in demand.
DRAINED = ("t-00", "t-01", "t-02")
HOT_SLICES = (0, 1, 2)
DISTURBED_S = 1.0
PAUSE_S = 0.15  # between two pieces of one answer


def build_world() -> World:
    """Sixteen servers, twelve proxies and eighty slices of one assigner."""
    world = World(SETTINGS, servers(), proxies(), seed=54)
    world.service_mu = SERVICE_MU
    world.store = tables(list(world.servers))
    return world


async def scenario(world: World, trouble: bool) -> None:
    """Three servers drain; one call breaks, and news comes in pieces for a second."""
    await world.open()
    world.start_assigner(world.scratch)
    await world.assigner_ready()
    for proxy in world.proxies:
        world.join(proxy)
    await asyncio.sleep(1.0)
    for proxy in world.proxies:
        interval_s = PROXIES / REQUESTS_PER_S
        world.spawn(world.client(proxy, interval_s, lambda rng: choose(rng, HOT_SLICES)))
    await asyncio.sleep(6.0)
    if trouble:
        world.record("trouble: one call breaks, what stands comes in pieces")
        world.break_calls, world.pause_s = True, PAUSE_S
    world.list_change(DRAINED, "terminating")
    for _ in range(50):
        if world.calls_broken or not trouble:
            break
        await asyncio.sleep(0.01)
    world.break_calls = False
    await asyncio.sleep(DISTURBED_S)
    if trouble:
        world.record("trouble: ends")
        world.pause_s = 0.0
    await asyncio.sleep(DRAIN_S - DISTURBED_S)
    for name in DRAINED:
        world.servers[name].running = False
    world.list_change(DRAINED, "terminated")
    await asyncio.sleep(6.0)
    if any(process.poll() is not None for process in world.processes):
        raise NotRunError("the assigner has ended")
    if any(name in table for table in world.store.values() for name in DRAINED):
        raise NotRunError("the drained servers' slices were not handed over")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, build_world, scenario))
