"""What the targets stand on: an assigner in the laboratory's time, and the protocol's messages
around it."""

import orjson

from havendyke import config
from havendyke.lab.event_loop import SimulatedEventLoop, feed
from havendyke.net.assigner import Assigner

from ..registry import check

FAR = 5000.0  # ms after which every deadline of a single question has passed

SETTINGS = {
    "requestClasses": [
        {"name": "lookup", "promise": 1e9, "hardLimit": 3e9, "repeat": "pure"},
        {"name": "write", "promise": 2e9, "hardLimit": 6e9, "repeat": "side_effect"},
    ],
    "familyInfo": {
        "keyRanges": 8,
        "dataPlaneSize": 6,
        "channelRate": 2000.0,
        "pendingMax": 4000.0,
        "overhead": 8.0,
        "pushDelay": 3e8,
        "throttleBy": "share",
    },
    "obligations": {"cold": 12e9, "coldFrom": 0.2, "overloadFactor": 3.0},
    "telemetry": {"source": "answers"},
    "localities": ["a", "b"],
    "kinds": ["m1", "m2"],
    "weightKind": "nominal",
    "limits": {"probes": True},
}


def raw_config(**more) -> dict:
    return {
        "name": "n1",
        "listen": "127.0.0.1:8443",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "distributor": {"address": "127.0.0.1:6400"},
        "settings": SETTINGS,
    } | more


def listed(ident: str, state: str = "in_service", **more) -> dict:
    return {
        "uid": ident,
        "endpoint": "127.0.0.9:80",
        "az": "a",
        "model": "m2",
        "pod_group": 3,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    } | more


def known(*idents) -> dict:
    return {"rev": 1, "all": True, "targets": [listed(i) for i in idents]}


def assigner_on(quiet: bool = True, servers=("s1", "s2", "s3"), limits=None, **more):
    """An assigner and its hub; a quiet one makes no turns, so that what it is told stays in its
    inbox."""
    hub = SimulatedEventLoop(**{"relay_watch_count": 1} | (limits or {}))
    made = Assigner(config.read_config(raw_config(known=known(*servers), **more), {}), hub)
    made.reconcile_pending = quiet
    for number in range(SETTINGS["familyInfo"]["keyRanges"]):
        made.registry.slice(number)
    return made, hub


def watch(connection, data: bytes):
    """Bytes to a connection; a defect of the front is a finding here, where service only counts
    it."""
    feed(connection, data)
    connection.event_loop.run()
    check(
        not connection.event_loop.counters.get("failures"),
        "a failure:",
        connection.event_loop.logged[-1:],
    )


def line(**told) -> bytes:
    return orjson.dumps(told) + b"\n"
