"""Drawn scenarios with large outages, in which slices must not stay without a server.

Zones are lost or fall silent, proxies lose the relay, and servers are replaced by the dozen,
several of these at a time. Only the rules on empty tables, drains and duplicates are checked:
those on slow start and on the channel cannot be kept in all of them.
"""

import hashlib

from havendyke import interface as core
from havendyke.lab.rules import Bounds, RuleChecker
from havendyke.registry import ObjectRegistry
from havendyke.state import LinearCongruentialGenerator

from ..draw import Draw
from ..registry import check, register
from .core import SERVER_REQUESTS_PER_S, Scenario, play_steps

HEADER_BYTES = 6  # determine the deployment; each step after them has four bytes
MAX_DURATION_MS = 40_000.0
STEP_UNIT_MS = 100.0  # between steps; twice as much more per unit of the upper four bits
ZONES = 3
LEASE_MS = 800.0
MAX_WRITE_IN_FLIGHT_MS = 3000.0
MAX_EMPTY_TABLE_MS = 3800.0
MAX_EMPTY_TABLE_EXCLUSIVE_MS = 12_000.0
DRAIN_GRACE_MS = 3000.0
DRAIN_MS = 5000.0  # from the notice of a drain to the end of the server
CHECKED_RULES = ("empty table", "drain", "duplicate")


class OutageScenario(Scenario):
    """A deployment of three zones with drawn outages, however many at a time."""

    def __init__(self, draw: Draw, seed: int):
        self.random_numbers = LinearCongruentialGenerator(seed)
        flags = draw.byte()
        exclusive_ownership = bool(flags & 1)
        self.server_count = ZONES * (2 + draw.below(4))
        self.proxy_count = ZONES * (4 + draw.below(3))
        self.slice_count = self.server_count * (2 + draw.below(4))
        self.utilization = draw.choice((0.35, 0.55, 0.8))
        self.push_delay_ms = draw.choice((100.0, 250.0, 400.0))
        limit = 4.0 * self.proxy_count * (8 + 6 + 1.6 * self.slice_count)
        max_empty_ms = MAX_EMPTY_TABLE_EXCLUSIVE_MS if exclusive_ownership else MAX_EMPTY_TABLE_MS
        self.settings = core.Settings(
            request_classes=[
                core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT),
                core.RequestClass(2000.0, 6000.0, core.Idempotency.NON_IDEMPOTENT),
            ],
            zone_count=ZONES,
            slice_count=self.slice_count,
            exclusive_ownership=exclusive_ownership,
            lease_ms=LEASE_MS if exclusive_ownership else 0.0,
            max_write_in_flight_ms=MAX_WRITE_IN_FLIGHT_MS if exclusive_ownership else 0.0,
            max_empty_table_ms=max_empty_ms,
            channel_queue_limit=limit,
            channel_rate_per_s=limit / 1.2,
            message_overhead=8.0,
            push_delay_ms=self.push_delay_ms,
            report_interval_ms=1000.0,
            warm_up_ms=12_000.0,
            initial_capacity_share=0.16,
            warm_up_overload_factor=3.0,
            health_checks=bool(flags & 2),
            load_shedding=core.LoadShedding.BY_SHARE,
            sizes_stated=bool(flags & 4),
        )
        bounds = Bounds(empty_table_ms=max_empty_ms, drain_grace_ms=DRAIN_GRACE_MS)
        self.start(
            ObjectRegistry(self.settings, seed),
            RuleChecker(self.settings, bounds, SERVER_REQUESTS_PER_S),
        )

    def servers_in_zone(self, zone):
        return [s for s in self.running_servers() if int(s.id[1:]) % ZONES == zone]

    # Steps

    def disconnect_zone(self, a, b, c):
        """The proxies of a zone lose their streams; its servers go on serving."""
        for view in list(self.data_plane.proxies.values()):
            if view.zone == a % ZONES and view.connected:
                self.inbox.append(self.data_plane.disconnect(view.proxy))
                self.schedule(2000.0 + b * 60.0, lambda view=view: self.reconnect_proxy(view, c))

    def lose_zone(self, a, b, c):
        """The servers of a zone are lost, at times with its proxies; the list tells late."""
        self.lose(self.servers_in_zone(a % ZONES), b, c)
        if a & 64:
            self.disconnect_zone(a, b, c)

    def lose_some(self, a, b, c):
        """A share of the servers, from all zones, is lost; the list tells late."""
        running = self.running_servers()
        self.lose(running[a % 3 :: 3], b, c)

    def lose(self, lost, b, c):
        for server in lost:
            self.servers[server] = "hung" if c & 1 else "down"
        if c & 2:
            gone = self.endpoint_list(core.ListScope.CHANGES, lost, "gone")
            self.send_list(gone, 1000.0 + c * 48.0)
        self.schedule(1500.0 + b * 80.0, lambda: self.return_servers(lost, c))

    def return_servers(self, lost, c):
        servers = [server for server in lost if server not in self.draining]
        for server in servers:
            self.servers[server] = "up"
        event = self.endpoint_list(core.ListScope.CHANGES, servers, "ready", self.now_ms)
        self.send_list(event, 300.0 + c * 16.0)

    def release(self, a, b, c):
        """Servers are replaced, up to all that run; successors start cold."""
        running = self.running_servers()
        first = a % max(1, len(running))
        self.replace_each(running[first:] + running[:first], b, c)

    def release_two_zones(self, a, b, c):
        """The servers of all zones but one are replaced."""
        kept = self.servers_in_zone(a % ZONES)
        self.replace_each([s for s in self.running_servers() if s not in kept], b, c)

    def replace_each(self, servers, b, c):
        for k, server in enumerate(servers[: 1 + b // 16]):
            self.schedule(k * 2.0 * c, lambda server=server: self.replace(server))

    def replace(self, server):
        if server in self.draining:
            return
        successor = self.add_server()
        self.send_list(
            self.endpoint_list(core.ListScope.CHANGES, [successor], "ready", self.now_ms)
        )
        self.draining.append(server)
        self.send_list(self.endpoint_list(core.ListScope.CHANGES, [server], "draining"))
        self.schedule(DRAIN_MS, lambda: self.end(server))

    def end(self, server):
        self.servers[server] = "down"
        self.send_list(self.endpoint_list(core.ListScope.CHANGES, [server], "gone"))

    def reassign_slices(self, unassigned):
        if self.running_servers():
            super().reassign_slices(unassigned)
        else:
            self.schedule(1000.0, lambda: self.reassign_slices(unassigned))

    def slow_server(self, a, b, c):
        if self.running_servers():
            super().slow_server(a, b, c)

    def send_complete_list(self, a, b, c):
        """A complete list, which repeats what is known."""
        state = self.rule_checker.state
        listed = [s for s in self.servers if state.get(s) in ("ready", "draining")]
        entries = [self.list_entry(s, state[s], self.rule_checker.started.get(s)) for s in listed]
        self.send_list(core.EndpointListUpdate(core.ListScope.COMPLETE, entries))

    STEPS = (
        Scenario.wait,
        disconnect_zone,
        lose_zone,
        release,
        lose_some,
        Scenario.unassign_slices,
        send_complete_list,
        release_two_zones,
        lose_zone,
        Scenario.stop_reports,
        Scenario.toggle_proxy,
        disconnect_zone,
        Scenario.shift_demand,
        Scenario.disconnect_channel,
        slow_server,
    )

    def check_rules(self):
        """Checks the rules that can be kept in any outage."""
        broken = [v for v in self.rule_checker.violations if v.rule in CHECKED_RULES]
        check(not broken, "rule violated:", *[str(violation) for violation in broken[:1]])


def run_outages(data) -> OutageScenario:
    seed = int.from_bytes(hashlib.blake2b(data[:HEADER_BYTES], digest_size=4).digest(), "big")
    scenario = OutageScenario(Draw(data[:HEADER_BYTES].ljust(HEADER_BYTES, b"\0")), seed)
    end_ms = scenario.now_ms + MAX_DURATION_MS
    scenario.run_for(3000.0)
    play_steps(scenario, data[HEADER_BYTES:], end_ms, STEP_UNIT_MS)
    scenario.run_for(10_000.0)
    return scenario


def outage_seeds() -> list:
    """A zone that falls silent, or loses its proxies, and a release of the other servers."""
    headers = [bytes([flags, 1, 1, 1, 1, 1]) for flags in range(4)]
    wait = bytes([0xF0, 0, 0, 0])
    silent_zone = bytes([0xF2, 1, 200, 1])
    zone_without_proxies = bytes([0xF1, 0, 250, 0])
    release = bytes([0xF3, 0, 255, 100])
    release_two_zones = bytes([0xF7, 0, 255, 20])
    lists_late = bytes([0xF2, 64, 20, 250]) + bytes([0xF4, 1, 100, 3]) + release
    days = [
        silent_zone + release,
        zone_without_proxies + release_two_zones + wait,
        lists_late,
    ]
    return [header + day for header in headers for day in days]


@register(
    name="outages",
    description="large outages at a time, in which no slice may stay without a server",
    seeds=outage_seeds,
    covers=("policy", "state"),
    engine="hypothesis",
    step_size=4,
    header_size=HEADER_BYTES,
    max_size=HEADER_BYTES + 40,
)
def run_outages_target(data):
    run_outages(data)
