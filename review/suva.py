"""A small deployment like suva-head-office: its settings, servers, proxies and traffic.

Figures are those of the site file, or lie inside its ranges; `lingers` and `emptyFor` are the
longest deadline of a write and three hand-overs.
"""

import random

from world import Proxy, Server

MS, S = 1_000_000, 1_000_000_000
ZONES = ["suva-a", "suva-b", "nausori", "lami"]
SERVERS, PROXIES, SLICES = 16, 12, 80
HOT_SHARE = 0.27  # of the traffic goes to a few slices in demand
REQUESTS_PER_S = 180
WRITE_SHARE = 0.35
SERVICE_MU = -1.0  # service times with some waiting: 0.44 s in the mean
DRAIN_S = 6.0  # from a drain's notice to the end of the process

SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zone": 0,
    "localities": ZONES,
    "kinds": ["m1"],
    "weightKind": "none",
    "registryMode": "push",
    "requestClasses": [
        {"name": "tile-fetch", "promise": 2 * S, "hardLimit": 6 * S, "repeat": "pure"},
        {"name": "tile-order", "promise": 2 * S, "hardLimit": 3 * S, "repeat": "side_effect"},
    ],
    "familyInfo": {
        "keyRanges": SLICES,
        "dataPlaneSize": PROXIES,
        "oneOwner": True,
        "lease": 800 * MS,
        "lingers": 3020 * MS,
        "emptyFor": 12_200 * MS,
        "channelRate": 4800.0,
        "pendingMax": 7200.0,
        "overhead": 16.0,
        "pushDelay": 250 * MS,
        "lateMost": 625 * MS,
        "interval": 2 * S,
        "ingestRate": 150.0,
        "throttleBy": "share",
        "waitsForTable": 200 * MS,
        "updateCap": 0,
        "strikes": 3,
    },
    "limits": {"probes": False, "connectTimeout": 500 * MS, "connIdle": 15 * S},
    "obligations": {
        "cold": 15 * S,
        "coldFrom": 0.18,
        "drainGrace": 3 * S,
        "overloadFactor": 3.0,
        "fall": 1500 * MS,
    },
    "telemetry": {"source": "none", "names": []},
}


def servers() -> list[Server]:
    """The servers, spread over the zones."""
    return [Server(f"t-{k:02}", ZONES[k % 4]) for k in range(SERVERS)]


def proxies() -> list[Proxy]:
    """The proxies, spread over the zones."""
    return [Proxy(k, ZONES[k % 4]) for k in range(PROXIES)]


def tables(names: list[str]) -> dict[int, dict[str, tuple[float, int]]]:
    """The tables at the start: each slice names one server."""
    return {slice_id: {names[slice_id % SERVERS]: (1.0, 0)} for slice_id in range(SLICES)}


def choose(rng: random.Random, hot_slices: tuple[int, ...]) -> tuple[int, bool]:
    """The slice of a request, and whether it is a write."""
    hot = rng.random() < HOT_SHARE
    slice_id = rng.choice(hot_slices) if hot else rng.randrange(SLICES)
    return slice_id, rng.random() < WRITE_SHARE
