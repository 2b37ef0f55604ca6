"""Shared by the targets: an assigner in simulated time, and messages of its peers."""

from havendyke import config
from havendyke.lab.event_loop import SimulatedEventLoop, feed
from havendyke.net.assigner import Assigner

from ..registry import check

PAST_ALL_DEADLINES_MS = 5000.0  # after a single request

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


def raw_config(**overrides) -> dict:
    return {
        "name": "n1",
        "listen": "127.0.0.1:8443",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "distributor": {"address": "127.0.0.1:6400"},
        "settings": SETTINGS,
    } | overrides


def listed_server(uid: str, state: str = "in_service", **overrides) -> dict:
    return {
        "uid": uid,
        "endpoint": "127.0.0.9:80",
        "az": "a",
        "model": "m2",
        "pod_group": 3,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    } | overrides


def complete_list(*uids) -> dict:
    return {"rev": 1, "all": True, "targets": [listed_server(i) for i in uids]}


def make_assigner(hold_events: bool = True, servers=("s1", "s2", "s3"), limits=None, **overrides):
    """An assigner and its event loop. With `hold_events` no reconciliation runs, so that received
    events stay pending."""
    event_loop = SimulatedEventLoop(**{"relay_watch_count": 1} | (limits or {}))
    assigner = Assigner(
        config.read_config(raw_config(known=complete_list(*servers), **overrides), {}), event_loop
    )
    assigner.reconcile_pending = hold_events
    for slice_id in range(SETTINGS["familyInfo"]["keyRanges"]):
        assigner.registry.slice(slice_id)
    return assigner, event_loop


def feed_checked(connection, data: bytes):
    """Feeds bytes to a connection. An unexpected exception in a handler, which the event loop only
    counts in service, is a finding here."""
    feed(connection, data)
    connection.event_loop.run()
    check(
        not connection.event_loop.counters.get("failures"),
        "a failure:",
        connection.event_loop.logged[-1:],
    )
