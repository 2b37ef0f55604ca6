"""The cost of reconciliations compared with an earlier version, at three sizes:
`fleet [--against COMMIT]`.

Times the first reconciliation, reconciliations in normal operation and reconciliations in a
release, as ratios and as min/median/max over repeats. Counts the health checks that several
controllers send together; the counts are the same in every run."""

import argparse
import json
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NoReturn

from havendyke.interface import HealthCheckOutcome, Idempotency, ListScope, ServerState

from . import _former
from ._earlier import UnknownRevisionError, commit_of, compare_speed, import_revision
from ._former import Version, VersionController

BEFORE = "56d355e"  # the last version before fleet growth; 5e7bf43: before the fleet test
SIZES = ((50, 60, 375), (200, 249, 1500), (1024, 300, 2000))  # servers, assigned slices, proxies
RECONCILIATIONS = 12
REPEATS = 5
START_MS = 1000.0
TICK_MS = 250.0
REPORTS = 100  # per reconciliation
LATENCY_MS, SLOW_LATENCY_MS = 100.0, 250.0
CONTROLLER_COUNTS = (1, 5, 60)
CHECKED_SERVERS, CHECKED_MS = 60, 10_000.0

Size = tuple[int, int, int]


class UsageError(ValueError):
    """The command line is invalid."""


class Options(argparse.ArgumentParser):
    """A parser that raises instead of printing its usage."""

    def error(self, message: str) -> NoReturn:
        """Raises `CallError`."""
        raise UsageError(message)


def settings(version: Version, slices: int, proxies: int, controllers: int = 5) -> Any:
    """The settings of the measured deployment."""
    return version.settings(
        request_classes=[version.make("RequestClass", 1000.0, 3000.0, Idempotency.IDEMPOTENT)],
        zone_count=3,
        slice_count=slices,
        health_checks=True,
        channel_queue_limit=proxies * 400.0,
        channel_rate_per_s=proxies * 200.0,
        message_overhead=8.0,
        warm_up_ms=16_000.0,
        initial_capacity_share=0.2,
        warm_up_overload_factor=3.0,
        report_interval_ms=500.0,
        controller_count=controllers,
        connection_capacity=119.0,
        connection_idle_ms=15_000.0,
    )


@dataclass
class Deployment:
    """A controller, its servers and proxies, and the pending events."""

    version: Version
    controller: VersionController
    servers: list[Any] = field(default_factory=list)
    proxies: list[Any] = field(default_factory=list)
    events: list[Any] = field(default_factory=list)

    def add_servers(self, count: int) -> None:
        """Adds ready servers in three zones with a complete endpoint list."""
        self.servers += [self.controller.add_server(f"s{k}") for k in range(count)]
        entries = [self.entry(s, k % 3) for k, s in enumerate(self.servers)]
        self.events.append(self.version.make("EndpointListUpdate", ListScope.COMPLETE, entries))

    def entry(
        self,
        server: Any,
        zone: int,
        state: ServerState = ServerState.READY,
        started_ms: float | None = None,
    ) -> Any:
        """An entry of the endpoint list."""
        return self.version.make("EndpointEntry", server, state, started_ms, zone, 0, 0, 1.0)

    def assign(self, number: int, server: Any) -> None:
        """Assigns a slice whose table has one server."""
        assigned = self.controller.add_slice(number)
        self.events.append(self.version.make("SliceAssignment", assigned, True))
        self.events.append(self.version.make("SnapshotEntry", assigned, server, 1.0))

    def connect(self, count: int) -> None:
        """Connects proxies in three zones."""
        self.proxies += [self.controller.add_proxy(k) for k in range(count)]
        self.events += [
            self.version.make("ProxyConnected", proxy, k % 3, 1.0, True)
            for k, proxy in enumerate(self.proxies)
        ]

    def reconcile(self, now_ms: float) -> list[Any]:
        """Reconciles with the pending events."""
        events, self.events = self.events, []
        return self.controller.reconcile(now_ms, events)


def deployment(version: Version, size: Size) -> Deployment:
    """Creates a deployment whose first events are pending."""
    servers, slices, proxies = size
    fleet = Deployment(version, version.controller(settings(version, 5 * slices, proxies), 3))
    fleet.add_servers(servers)
    for number in range(slices):
        fleet.assign(number, fleet.servers[number % servers])
    fleet.connect(proxies)
    return fleet


def first_reconciliation(version: Version, size: Size) -> Callable[[], None]:
    """Returns a call that creates a deployment and reconciles once."""

    def run() -> None:
        deployment(version, size).reconcile(START_MS)

    return run


class Reconciliations:
    """Reconciliations of a running deployment, each with load reports and the last push's ACKs.

    A quarter of the servers is slow.
    """

    def __init__(self, version: Version, size: Size) -> None:
        self.deployment = deployment(version, size)
        self.types = version.types
        self.now_ms = START_MS
        self.nonce = 0
        self.reported = 0
        self.deployment.reconcile(self.now_ms)

    def run(self) -> None:
        """Reconciles `RECONCILIATIONS` times."""
        for _ in range(RECONCILIATIONS):
            self.now_ms += TICK_MS
            self.deployment.events = [self.types["TimerFired"](0), *self.reports(), *self.acks()]
            for order in self.deployment.reconcile(self.now_ms):
                if type(order) is self.types["RequestAcknowledgement"]:
                    self.nonce = _former.field(order, "nonce")

    def reports(self) -> list[Any]:
        """Load reports of the next `REPORTS` servers."""
        report, servers, reports = self.types["ServerLoadReport"], self.deployment.servers, []
        for _ in range(REPORTS):
            self.reported = (self.reported + 1) % len(servers)
            latency_ms = LATENCY_MS if self.reported % 4 else SLOW_LATENCY_MS
            reports.append(report(servers[self.reported], 0, 10, 0, latency_ms, 500.0))
        return reports

    def acks(self) -> list[Any]:
        """All proxies' acknowledgements of the last push."""
        ack = self.types["PushAcknowledged"]
        return [ack(proxy, self.nonce, 10.0) for proxy in self.deployment.proxies]


def reconciliations(version: Version, size: Size) -> Callable[[], None]:
    """Returns a call that reconciles in normal operation."""
    return Reconciliations(version, size).run


def reconciliations_in_a_release(version: Version, size: Size) -> Callable[[], None]:
    """Returns a call that reconciles in a release.

    A third of the servers drains, and as many new servers have just started."""
    workload = Reconciliations(version, size)
    fleet = workload.deployment
    draining = fleet.servers[: size[0] // 3]
    started = [fleet.controller.add_server(f"n{k}") for k in range(len(draining))]
    entries = [fleet.entry(s, k % 3, started_ms=workload.now_ms) for k, s in enumerate(started)]
    entries += [fleet.entry(s, 0, ServerState.DRAINING) for s in draining]
    fleet.servers += started
    fleet.events = [version.make("EndpointListUpdate", ListScope.CHANGES, entries)]
    fleet.reconcile(workload.now_ms)
    return workload.run


def health_checks(version: Version, controllers: int) -> dict[str, float]:
    """Health checks per second that a server gets from all controllers together.

    The controllers share six slices per server.
    """
    counts: Counter[str] = Counter()
    for number in range(controllers):
        counts.update(count_health_checks(version, number, controllers))
    per_second = 1000 / CHECKED_MS
    return {
        "most": round(max(counts.values()) * per_second, 2),
        "least": round(min(counts.values()) * per_second, 2),
    }


def count_health_checks(version: Version, number: int, controllers: int) -> Counter[str]:
    """Counts one controller's health checks by server."""
    slices = 6 * CHECKED_SERVERS
    checked_settings = settings(version, slices, 100, controllers)
    fleet = Deployment(version, version.controller(checked_settings, 1 + 7919 * number))
    fleet.add_servers(CHECKED_SERVERS)
    for id_ in range(number, slices, controllers):
        fleet.assign(id_, fleet.servers[id_ % CHECKED_SERVERS])
    counts: Counter[str] = Counter()
    for tick in range(int(CHECKED_MS / TICK_MS)):
        orders = fleet.reconcile(START_MS + TICK_MS * tick)
        checks = [o.server for o in orders if type(o) is version.types["SendHealthCheck"]]
        counts.update(server.id for server in checks)
        fleet.events = [version.make("TimerFired", 0)]
        fleet.events += [
            version.make("HealthCheckResult", server, HealthCheckOutcome.PASSED, 5.0)
            for server in checks
        ]
    return counts


MEASURED: dict[str, Callable[[Version, Size], Callable[[], None]]] = {
    "first_reconciliation": first_reconciliation,
    "reconciliations": reconciliations,
    "reconciliations_in_a_release": reconciliations_in_a_release,
}


def measure(before: str = BEFORE) -> dict[str, Any]:
    """All figures of the present version and of an earlier one."""
    earlier, present = Version(import_revision(before)), Version("havendyke")
    return {
        "benchmark": "fleet",
        "before": before,
        "reconciliations_a_run": RECONCILIATIONS,
        **{
            name: {
                f"{size[0]}_servers_{size[1]}_slices_{size[2]}_proxies": compare_speed(
                    prepare(earlier, size), prepare(present, size), REPEATS
                )
                for size in SIZES
            }
            for name, prepare in MEASURED.items()
        },
        "health_checks_a_second_at_one_server": {
            f"{count}_controllers": {
                "old": health_checks(earlier, count),
                "new": health_checks(present, count),
            }
            for count in CONTROLLER_COUNTS
        },
    }


def main(arguments: Sequence[str]) -> int:
    """Prints the figures as one line of JSON; returns the exit status."""
    options = Options(prog="benchmarks fleet")
    options.add_argument("--against", default=BEFORE, metavar="COMMIT", help="the earlier version")
    try:
        before = options.parse_args(arguments).against
        commit_of(before)
    except (UsageError, UnknownRevisionError) as error:
        print(f"benchmarks: fleet: {error}", file=sys.stderr)
        return 2
    print(json.dumps(measure(before)))
    return 0
