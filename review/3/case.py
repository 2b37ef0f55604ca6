"""Case 3: servers that an earlier process has shut out stay out after the assigner's restart."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from world import NotRunError, run_case  # noqa: E402
from zilina import PROXIES, REQUESTS_PER_S, Zilina, choose  # noqa: E402

CRASHED = ("d-00", "d-01", "d-02")  # 3 of 15, one in each zone
NOTICE_S = 3.0
RESTART_AFTER_S = 9.0
BACK_AFTER_S = 14.0
STEPS_AFTER_S = 25.0
# Half of the servers are replaced, two at a time.
STEPS = (("d-03", "d-04"), ("d-05", "d-06"), ("d-07", "d-08"), ("d-09", "d-10"))
STEP_INTERVAL_S = 6.0
DRAIN_S = 5.0


async def restart(world: Zilina) -> None:
    """A planned restart: SIGTERM, the proxies' streams break, they dial again."""
    process = world.processes[-1]
    process.send_signal(signal.SIGTERM)
    for proxy in world.proxies:
        world.part(proxy)
    process.wait(5)
    world.record("assigner: ended")
    await asyncio.sleep(1.0)
    world.start_assigner(world.scratch)
    await world.assigner_ready()
    for proxy in world.proxies:
        asyncio.get_running_loop().call_later(world.rng.uniform(0.99, 2.3), world.join, proxy)


async def replace(world: Zilina, names: tuple[str, ...]) -> None:
    """One step: successors start, the old ones drain and end."""
    await world.add_successors(names)
    world.list_change(names, "terminating")
    await asyncio.sleep(DRAIN_S)
    for name in names:
        world.servers[name].running = False
    world.list_change(names, "terminated")


async def scenario(world: Zilina, trouble: bool) -> None:
    """A crash, a planned restart meanwhile, then a deploy. Without trouble: no restart."""
    await world.open()
    world.start_assigner(world.scratch)
    await world.assigner_ready()
    for proxy in world.proxies:
        world.join(proxy)
    await asyncio.sleep(1.0)
    for proxy in world.proxies:
        world.spawn(world.client(proxy, PROXIES / REQUESTS_PER_S, choose))
    await asyncio.sleep(7.0)
    world.crash(CRASHED)
    await asyncio.sleep(NOTICE_S)
    world.list_change(CRASHED, "terminated")
    await asyncio.sleep(RESTART_AFTER_S - NOTICE_S)
    if trouble:
        world.spawn(restart(world))
    await asyncio.sleep(BACK_AFTER_S - RESTART_AFTER_S)
    world.come_back(CRASHED)
    await asyncio.sleep(STEPS_AFTER_S - BACK_AFTER_S)
    for names in STEPS:
        world.spawn(replace(world, names))
        await asyncio.sleep(STEP_INTERVAL_S)
    await asyncio.sleep(12.0)
    world.record("out at proxy 0:", *sorted(world.proxies[0].out))
    for slice_id in sorted({slice_id for _, slice_id in world.reported}):
        count = world.without_line[slice_id]
        world.record(f"slice {slice_id}: {count} requests were let in and got no answer")
    if world.processes[-1].poll() is not None:
        raise NotRunError("the assigner has ended")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, Zilina, scenario))
