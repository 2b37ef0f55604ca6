"""The relay breaks its news right after slices were taken from a draining owner.

A rolling deploy replaces two of twelve servers at a time at a site with sole owners. In each step
the assigner empties the tables of the slices that must move. With the disruption, the relay's
connections break once, 50 ms after it has answered that call; proxies and their channel are well.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import world as w

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STEPS, AT_A_TIME, STEP_S, DRAIN_S = 8, 2, 8.0, 5.0


async def day(world: w.World) -> None:
    """A rolling deploy; each step is followed by one break."""
    await asyncio.sleep(5)
    assigner = world.assigners["n0"]
    step = {"due": False}

    def after_emptying(orders: list[dict]) -> None:
        if TROUBLE and step["due"] and any(order["op"] == "DEL" for order in orders):
            step["due"] = False
            world.after(0.05, world.reset_relay, assigner)

    assigner.on_call = after_emptying
    queue = list(world.servers.values())
    for number in range(STEPS):
        draining = [queue.pop(0) for _ in range(AT_A_TIME)]
        for k, server in enumerate(draining):
            queue.append(await world.add_server(f"t-{number}{k}", server.zone, time.time()))
        step["due"] = True
        world.list_change({server.uid: "terminating" for server in draining})
        for server in draining:
            world.after(DRAIN_S, world.remove, server)
        await asyncio.sleep(STEP_S)


raise SystemExit(
    w.run(
        day,
        110,
        Path(__file__).resolve().parent,
        rule="no effect twice",
        servers=list("abcabcabcabc"),
        zones=["a", "b", "c"],
        classes=[("price-look", "pure", 700, 2500), ("stock-set", "side_effect", 2200, 3000)],
        slices=48,
        proxies=16,
        rate=50.0,
        exclusive=True,
        lease_ms=400,
        lingers_ms=3000,
        empty_ms=9000,
        delay_ms=469.0,
        late_most_ms=1172.0,
        channel_rate=4000.0,
        pending=6800.0,
        head=12.0,
        cold_ms=8000,
        retry_default=0,
        interval_ms=1500,
        probes=False,
        long_writes=1.0,
    )
)
