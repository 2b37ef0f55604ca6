"""The decisions themselves: drawn days against the five rules, wild events, and the same orders in
another process."""

import atexit
import hashlib
import math
import os
import subprocess
import sys

from havendyke import interface as core
from havendyke.lab.data_plane import DataPlane
from havendyke.lab.rules import Bounds, RuleChecker
from havendyke.registry import ObjectRegistry
from havendyke.state import LinearCongruentialGenerator

from ..draw import Draw
from ..registry import check, register

TICK_MS = 50.0  # ms between looks at the proxies
SERVER_REQUESTS_PER_S = 100.0  # operations a second that a server answers well
LONGEST = 40_000.0
HEAD = 9  # bytes that draw the deployment; four a step after them
REQUEST_CLASS_VARIANTS = (
    dict(idempotency=core.Idempotency.IDEMPOTENT),
    dict(idempotency=core.Idempotency.NON_IDEMPOTENT),
    dict(idempotency=core.Idempotency.KEYED, deduplication_window_ms=9000.0),
    dict(
        idempotency=core.Idempotency.KEYED,
        deduplication_scope=core.DeduplicationScope.CELL,
        deduplication_window_ms=9000.0,
    ),
    dict(idempotency=core.Idempotency.KEYED, deduplication_window_ms=500.0),
)


def well_formed(orders, registry):
    """Every order names what the registry knows and says what the interface allows."""
    servers, pieces, proxies = (
        set(registry.servers.values()),
        set(registry.slices.values()),
        set(registry.proxies.values()),
    )
    for o in orders:
        match o:
            case core.SetEndpointWeight():
                check(math.isfinite(o.weight) and o.weight >= 0, "a weight of", o.weight)
                check(
                    o.server in servers and o.slice in pieces | set(registry.controller.slices),
                    "a line of strangers",
                )
            case core.SetEjection():
                check(o.server in servers and type(o.ejected) is bool, "a withdrawal", o)
            case core.SetAdmission():
                check(
                    o.retry_policy in core.RetryPolicy and math.isfinite(o.limit) and o.limit >= 0,
                    "tries",
                    o,
                )
                classes = range(len(registry.controller.settings.request_classes))
                check(o.request_classes and set(o.request_classes) <= set(classes), "classes", o)
            case core.RequestAcknowledgement():
                check(0 <= o.nonce < 65536, "a mark of", o.nonce)
            case core.StartTimer():
                check(math.isfinite(o.delay_ms) and o.delay_ms > 0, "a timer after", o.delay_ms)
            case core.BindTable():
                check(o.proxy in proxies, "a stranger bound")


class Scenario:
    """A deployment and a day of troubles that leave the rules a way: `step`s are drawn, the world
    goes on by itself.

    What must be moved at once fits the channel twice, as deployments set it; at most a quarter of
    the servers drain at a time and not before the last batch has gone, at most as many fail, and
    not while the channel is slow."""

    def __init__(self, draw, seed):
        self.random_numbers = LinearCongruentialGenerator(seed)
        self.server_count = 5 + draw.below(6)
        per, self.proxy_count = 3 + draw.below(3), 2 + draw.below(4)
        self.slice_count = per * self.server_count
        flags = draw.byte()
        one_owner = flags & 7 == 7
        head = draw.choice((6.0, 8.0, 12.0))
        self.batch_size = max(1, self.server_count // 4)
        urgent = math.ceil(1.6 * self.batch_size * per) + self.batch_size
        limit = (2.5, 4.0)[flags >> 5 & 1] * self.proxy_count * (head + 6 + urgent)
        self.push_delay_ms = draw.choice((100.0, 200.0, 350.0))
        self.utilization = draw.choice((0.35, 0.5, 0.65, 0.8))
        self.settings = core.Settings(
            request_classes=[
                core.RequestClass(1000.0, 3000.0, **REQUEST_CLASS_VARIANTS[0]),
                core.RequestClass(1500.0, 5000.0, **REQUEST_CLASS_VARIANTS[1 + (flags >> 3) % 4]),
            ],
            zone_count=3,
            slice_count=self.slice_count,
            exclusive_ownership=one_owner,
            lease_ms=1000.0 if one_owner else 0.0,
            max_write_in_flight_ms=800.0 if one_owner else 0.0,
            channel_queue_limit=limit,
            channel_rate_per_s=limit / 1.2,
            message_overhead=head,
            push_delay_ms=self.push_delay_ms,
            report_interval_ms=1000.0,
            warm_up_ms=12_000.0,
            initial_capacity_share=draw.choice((0.2, 0.1)),
            warm_up_overload_factor=draw.choice((3.0, 1.5)),
            health_checks=bool(flags & 32),
            load_shedding=(core.LoadShedding.BY_SHARE, core.LoadShedding.NONE)[flags >> 6 & 1],
            sizes_stated=bool(flags & 128),
        )
        bounds = Bounds(
            empty_table_ms=6000.0 if one_owner else 2500.0,
            drain_grace_ms=2300.0 + 2 * max(0.0, self.push_delay_ms - 200.0),
        )
        self.start(
            ObjectRegistry(self.settings, seed),
            RuleChecker(self.settings, bounds, SERVER_REQUESTS_PER_S),
        )

    def start(self, registry, rules):
        """The fleet as it stands at first, and all that the controller behind `registry` is told of
        it."""
        self.registry, self.rule_checker = registry, rules
        self.now_ms, self.data_plane = 100_000.0, DataPlane(self.settings, self.random_numbers.draw)
        self.data_plane.now = self.rule_checker.now = self.now_ms
        self.last_server_number, self.action_serial, self.digest = (
            0,
            0,
            hashlib.blake2b(digest_size=12),
        )
        (
            self.timers,
            self.scheduled,
            self.channel_available,
            self.stalled_until_ms,
            self.reports_stopped_until_ms,
        ) = (
            [],
            [],
            True,
            0.0,
            0.0,
        )
        self.servers = {}  # by object: "up", "down" or "hung"
        self.draining, self.drained_at_ms, self.failed_at_ms, self.channel_slow_until_ms = (
            [],
            -1e9,
            -1e9,
            -1e9,
        )
        self.slowdowns, self.stood = {}, []
        names = [self.add_server() for _ in range(self.server_count)]
        total = SERVER_REQUESTS_PER_S * self.utilization * self.server_count
        raw = [0.4 + self.random_numbers.draw() for _ in range(self.slice_count)]
        self.demand = {self.registry.slice(k): total * r / sum(raw) for k, r in enumerate(raw)}
        self.inbox = [
            core.EndpointListUpdate(core.ListScope.CACHED, []),
            self.endpoint_list(core.ListScope.COMPLETE, names),
        ]
        self.rule_checker.observe_list(self.now_ms, self.inbox[-1])
        for k, piece in enumerate(self.demand):
            self.inbox += self.data_plane.assign_slice(piece, {names[k % len(names)]: 1.0})
        for k in range(self.proxy_count):
            self.inbox.append(self.data_plane.connect(self.registry.proxy(k), k % 3, 20.0, True))
        self.next_report_ms = self.now_ms + 1000.0

    # The servers and their list

    def add_server(self):
        self.last_server_number += 1
        server = self.registry.server(f"s{self.last_server_number}")
        self.servers[server] = "up"
        return server

    def list_entry(self, server, state, started):
        return core.EndpointEntry(
            server, state, started, int(server.id[1:]) % 3, int(server.id[1:]) % 4, 0, 1.0
        )

    def endpoint_list(self, scope, servers, state="ready", started=None):
        return core.EndpointListUpdate(scope, [self.list_entry(s, state, started) for s in servers])

    def send_list(self, event, wait=0.0):
        self.schedule(wait, lambda: self.deliver_list(event))

    def deliver_list(self, event):
        self.rule_checker.observe_list(self.now_ms, event)
        self.inbox.append(event)

    def running_servers(self):
        return [s for s, how in self.servers.items() if how == "up" and s not in self.draining]

    # Steps; each leaves alone what would leave the rules no way

    def wait(self, a, b, c):
        pass

    def drain(self, a, b, c):
        calm = (
            self.now_ms > self.channel_slow_until_ms + 2000
            and self.now_ms - max(self.drained_at_ms, self.failed_at_ms) > 4000
        )
        if (
            self.draining
            or not calm
            or len(self.running_servers()) < self.server_count - self.batch_size + 1
        ):
            return
        up = self.running_servers()
        self.draining = [
            up[(a + k) % len(up)] for k in range(min(self.batch_size, 1 + b % self.batch_size))
        ]
        self.drained_at_ms = self.now_ms
        self.send_list(self.endpoint_list(core.ListScope.CHANGES, self.draining, "draining"))

    def replace_drained(self, a, b, c):
        if self.draining and self.now_ms - self.drained_at_ms > 3000:
            gone, self.draining = self.draining, []
            for server in gone:
                self.servers[server] = "down"
            self.send_list(self.endpoint_list(core.ListScope.CHANGES, gone, "gone"))
            fresh = [self.add_server() for _ in gone]
            self.send_list(
                self.endpoint_list(core.ListScope.CHANGES, fresh, "ready", self.now_ms), c * 4.0
            )
            self.failed_at_ms = self.now_ms

    def fail_servers(self, a, b, c):
        up = self.running_servers()
        if (
            self.draining
            or self.now_ms - max(self.failed_at_ms, self.drained_at_ms) < 6000
            or len(up) < self.server_count
            or self.now_ms < self.channel_slow_until_ms + 2000
        ):
            return
        self.failed_at_ms = self.now_ms
        struck = [
            up[(a + k) % len(up)] for k in range(min(self.batch_size, 1 + b % self.batch_size))
        ]
        for server in struck:
            self.servers[server] = "hung" if c & 1 else "down"
        if not c & 1:
            self.send_list(
                self.endpoint_list(core.ListScope.CHANGES, struck, "gone"), 1000.0 + c * 8
            )
        self.schedule(5000.0 + b * 16, lambda: self.restore_servers(struck))

    def restore_servers(self, struck):
        for server in struck:
            self.servers[server] = "up"
        self.send_list(
            self.endpoint_list(core.ListScope.CHANGES, struck, "ready", self.now_ms), 300.0
        )

    def toggle_proxy(self, a, b, c):
        view = list(self.data_plane.proxies.values())[a % self.proxy_count]
        if view.connected:
            if len(self.data_plane.connected_proxies()) > 1:
                self.inbox.append(self.data_plane.disconnect(view.proxy))
                self.schedule(200.0 + b * 20, lambda: self.reconnect_proxy(view, c))
        else:
            self.reconnect_proxy(view, c)

    def reconnect_proxy(self, view, c):
        if not view.connected:
            self.inbox.append(
                self.data_plane.connect(view.proxy, view.zone, view.rate, bool(c & 1))
            )

    def unassign_slices(self, a, b, c):
        pieces = list(self.demand)
        taken = [pieces[(a + k) % len(pieces)] for k in range(1 + b % max(1, len(pieces) // 4))]
        self.inbox += [
            self.data_plane.unassign_slice(p) for p in taken if p in self.data_plane.assigned_slices
        ]
        self.schedule(800.0 + c * 8, lambda: self.reassign_slices(taken))

    def reassign_slices(self, taken):
        up = self.running_servers()
        for k, piece in enumerate(taken):
            if piece not in self.data_plane.assigned_slices:
                # Whoever had it meanwhile may have moved it; of a sole owner not so fast that
                # writes could meet.
                other = up[k % len(up)] if k % 2 and not self.settings.exclusive_ownership else None
                self.inbox += self.data_plane.assign_slice(
                    piece, {other: 1.0} if other else self.data_plane.store[piece]
                )

    def slow_server(self, a, b, c):
        up = self.running_servers()
        self.slowdowns[up[a % len(up)]] = 1.0 + b / 64

    def slow_channel(self, a, b, c):
        if not self.draining and self.now_ms - self.failed_at_ms > 6000:
            self.data_plane.slowdown, self.channel_slow_until_ms = (
                1.0 + a / 128,
                self.now_ms + b * 20.0,
            )
            self.schedule(b * 20.0, lambda: setattr(self.data_plane, "slowdown", 1.0))

    def stop_reports(self, a, b, c):
        self.reports_stopped_until_ms = self.now_ms + a * 16.0

    def disconnect_channel(self, a, b, c):
        if self.channel_available:
            self.channel_available = False
            self.inbox.append(core.PushChannelStatus(False))
            self.rule_checker.set_channel_available(self.now_ms, False)
            self.schedule(50.0 + a * 8, self.restore_channel)

    def restore_channel(self):
        if not self.channel_available:
            self.channel_available = True
            self.inbox.append(core.PushChannelStatus(True))
            self.rule_checker.set_channel_available(self.now_ms, True)

    def shift_demand(self, a, b, c):
        pieces = list(self.demand)
        hot, usual = pieces[a % len(pieces)], sum(self.demand.values()) / len(pieces)
        gain = min(usual * (b % 4), 0.2 * usual * len(pieces))
        rest = sum(d for p, d in self.demand.items() if p is not hot)
        for piece in pieces:
            self.demand[piece] -= gain * self.demand[piece] / rest if piece is not hot else -gain

    def repeat_events(self, a, b, c):
        """Answers and lists that were told before, and what nobody asked for."""
        proxies = list(self.registry.proxies.values())
        joined = [v.proxy for v in self.data_plane.connected_proxies()]
        if joined:
            proxy = joined[a % len(joined)]
            serial = self.registry.controller.observed.channel.last_serial
            held = {
                proxy
                for push in self.registry.controller.observed.channel.pushes
                if push.nonce == b
                for proxy in push.awaiting_proxies
            }
            if proxy not in held:
                self.inbox.append(
                    core.PushAcknowledged(proxies[a % len(proxies)], (serial + 5 + b) % 65536, 1.0)
                )
        if c & 1:
            self.inbox.append(core.EndpointListUpdate(core.ListScope.FAILED, []))

    def stall_controller(self, a, b, c):
        """The controller makes no turn; all comes at once afterwards."""
        if not self.draining and self.now_ms - self.failed_at_ms > 5000:
            self.stalled_until_ms = self.now_ms + a * 4.0

    STEPS = (
        wait,
        drain,
        replace_drained,
        fail_servers,
        toggle_proxy,
        unassign_slices,
        slow_server,
        slow_channel,
        stop_reports,
        disconnect_channel,
        shift_demand,
        repeat_events,
        stall_controller,
        drain,
        replace_drained,
    )

    # The world

    def schedule(self, wait, call):
        self.action_serial += 1
        self.scheduled.append((self.now_ms + wait, self.action_serial, call))

    def request_rates(self):
        """Operations a second that the proxies send to each server."""
        views, brought = self.data_plane.connected_proxies(), {}
        for view in views:
            for piece in self.data_plane.assigned_slices:
                for server, part in view.traffic_shares(piece).items():
                    brought[server] = brought.get(server, 0.0) + part * self.demand[piece] / max(
                        1, len(views)
                    )
        return brought

    def send_reports(self):
        told = []
        for server, rate in self.request_rates().items():
            tries = int(rate)
            used = rate / 100.0 * self.slowdowns.get(server, 1.0)
            bad = (
                tries
                if self.servers[server] != "up"
                else int(tries * max(0.0, min(0.9, used - 1.2)))
            )
            slow = 60.0 * (1 + 6 * max(0.0, used - 0.6)) * self.slowdowns.get(server, 1.0)
            if tries:
                told.append(
                    core.ServerLoadReport(
                        server,
                        0,
                        tries,
                        bad,
                        slow if bad < tries else 0.0,
                        1000.0,
                        core.ServerLoad(in_flight=used * 3),
                    )
                )
        for piece in self.data_plane.assigned_slices:
            told += [
                core.SliceLoadReport(piece, k, int(self.demand[piece] * share), 0, 1000.0)
                for k, share in enumerate((0.7, 0.3)[: len(self.settings.request_classes)])
            ]
        if self.now_ms >= self.reports_stopped_until_ms:
            self.schedule(
                300.0 + 900.0 * self.random_numbers.draw(), lambda: self.inbox.extend(told)
            )

    def process_orders(self, orders):
        well_formed(orders, self.registry)
        for o in orders:
            self.digest.update(told(o).encode())
        self.apply_orders(orders)
        self.rule_checker.observe_orders(self.now_ms, orders, self.data_plane)

    def apply_orders(self, orders):
        """What the world makes of one turn's orders."""
        for o in orders:
            if type(o) is core.StartTimer:
                self.timers.append((self.now_ms + o.delay_ms, o.timer_id))
            elif type(o) is core.SendHealthCheck:
                how = self.servers[o.server]
                outcome, wait = {
                    "up": (core.HealthCheckOutcome.PASSED, 5.0),
                    "down": (core.HealthCheckOutcome.REFUSED, 5.0),
                    "hung": (core.HealthCheckOutcome.TIMED_OUT, 500.0),
                }[how]
                self.schedule(
                    wait,
                    lambda s=o.server, w=outcome, t=wait: self.inbox.append(
                        core.HealthCheckResult(s, w, t)
                    ),
                )
        self.data_plane.apply_orders(
            [
                o
                for o in orders
                if type(o) not in (core.StartTimer, core.SendHealthCheck, core.RequestEndpointList)
            ]
        )

    def reconcile(self):
        if self.now_ms < self.stalled_until_ms:
            return
        rung = [t for t in self.timers if t[0] <= self.now_ms]
        self.timers = [t for t in self.timers if t[0] > self.now_ms]
        if self.inbox or rung:
            self.registry.pending_events = self.inbox + [
                core.TimerFired(tag) for _, tag in sorted(rung)
            ]
            self.inbox = []
            self.process_orders(self.registry.reconcile(self.now_ms))

    def run_for(self, ms):
        end = self.now_ms + ms
        while self.now_ms < end:
            self.now_ms += TICK_MS
            due = sorted(x for x in self.scheduled if x[0] <= self.now_ms)
            self.scheduled = [x for x in self.scheduled if x[0] > self.now_ms]
            for _, _, call in due:
                call()
            self.inbox += self.data_plane.advance(self.now_ms)
            if self.now_ms >= self.next_report_ms:
                self.next_report_ms += 1000.0
                self.send_reports()
            self.reconcile()
            self.rule_checker.check(self.now_ms, self.data_plane, self.demand)
            check(
                not self.rule_checker.violations,
                "broken:",
                *[str(b) for b in self.rule_checker.violations[:1]],
            )

    def check_published_tables(self):
        """What the decisions believe of the tables is what the store has."""
        for piece in self.data_plane.assigned_slices:
            check(
                piece.published == self.data_plane.store[piece],
                "slice",
                piece.id,
                "is believed",
                {s.id: w for s, w in piece.published.items()},
                "and is",
                {s.id: w for s, w in self.data_plane.store[piece].items()},
            )


def told(order) -> str:
    """An order as a text that is the same in every process."""
    return " ".join(
        [type(order).__name__]
        + [str(getattr(v, "id", v)) for v in (getattr(order, n) for n in order.__slots__)]
    )


def run_scenario(data) -> Scenario:
    seed = int.from_bytes(hashlib.blake2b(data[:HEAD], digest_size=4).digest(), "big")
    scenario = Scenario(Draw(data[:HEAD].ljust(HEAD, b"\0")), seed)
    begun = scenario.now_ms
    scenario.run_for(1500.0)
    for begin in range(HEAD, len(data), 4):
        op, a, b, c = data[begin : begin + 4].ljust(4, b"\0")
        if scenario.now_ms - begun > LONGEST:
            break
        Scenario.STEPS[op % len(Scenario.STEPS)](scenario, a, b, c)
        scenario.run_for(TICK_MS * (1 + (op >> 4) * 2))
    scenario.run_for(4000.0)
    scenario.check_published_tables()
    return scenario


def days() -> list:
    plain = [
        bytes(HEAD),
        bytes([5, 2, 3, 255, 2, 1, 2, 1, 0]),
        bytes([3, 1, 2, 7, 1, 2, 1, 0, 1]),
        bytes([1, 1, 1, 40, 1, 1, 0, 1, 1]),
    ]
    alone = [
        bytes([2, 1, 2, 32, 1, 1, 1, 0, 0])
        + bytes([k | 0xF0, 9 * k % 256, 40, k, 0xF0, 0, 0, 0, k | 0xF0, 3, 2, 1])
        for k in range(len(Scenario.STEPS))
    ]
    release = (
        bytes([1, 1, 2, 32, 1, 1, 0, 0, 0])
        + bytes([0xF1, 0, 3, 0, 0xF0, 0, 0, 0, 0xF0, 0, 0, 0, 0xF2, 0, 0, 30]) * 4
    )
    # A sole owner's proxy is away while its slices change hands; both bits of the channel and of
    # the cold.
    sole = [
        bytes([0, 0, 0, 55 | k, 0, 0, 0, 0, 0])
        + bytes([4, 0, 100, 0, 1, 0, 0, 0, 0xF0, 0, 0, 0, 0xF0, 0, 0, 0])
        for k in (0, 128)
    ]
    full = [bytes([5, 2, 3, 128, 0, 0, 3, 1, k]) + release[HEAD:] for k in (0, 1)]
    return plain + alone + [release] + sole + full


@register(
    name="days",
    description="drawn days against the five rules as written in code",
    seeds=days,
    covers=("policy", "state", "registry"),
    engine="hypothesis",
    step_size=4,
    header_size=HEAD,
    max_size=HEAD + 72,
)
def run_day(data):
    run_scenario(data)


# Wild events: nothing about them is likely, all of it is within the interface.


def figure(draw):
    return draw.choice((0.0, 1.0, 0.5, 1e-9, 3.0, 100.0, 2500.0, 1e6, 1e-300, 65535.0))


def arbitrary_event(draw, registry, now):
    server, piece = registry.server(f"s{draw.below(7)}"), registry.slice(draw.below(6))
    proxy = registry.proxy(draw.below(5))
    kind = draw.below(12)
    if kind == 0:
        scope = draw.choice(tuple(core.ListScope))
        entries = [
            core.EndpointEntry(
                registry.server(f"s{draw.below(7)}"),
                draw.choice(tuple(core.ServerState)),
                draw.choice((None, now - 1e9, now - 100.0, now, now + 5000.0)),
                draw.below(3),
                0,
                0,
                figure(draw),
            )
            for _ in range(draw.below(5))
        ]
        return core.EndpointListUpdate(scope, [] if scope is core.ListScope.FAILED else entries)
    if kind == 11:
        return core.PushChannelStatus(
            draw.flag(), tuple(draw.below(4) for _ in range(draw.below(3)))
        )
    tries = int(figure(draw))
    return (
        core.ProxyConnected(proxy, draw.below(3), figure(draw), draw.flag()),
        core.ProxyDisconnected(proxy),
        core.SliceAssignment(piece, draw.flag()),
        core.SnapshotEntry(piece, server, figure(draw)),
        core.ServerLoadReport(
            server,
            draw.below(3),
            tries,
            min(tries, int(figure(draw))),
            figure(draw),
            figure(draw),
            core.ServerLoad(in_flight=figure(draw)) if draw.flag() else core.ServerLoad(),
        ),
        core.SliceLoadReport(piece, draw.below(2), tries, int(figure(draw)), figure(draw)),
        core.HealthCheckResult(
            server,
            draw.choice(tuple(core.HealthCheckOutcome)[:-1]),
            figure(draw),
        ),
        core.PushAcknowledged(proxy, draw.below(65536), figure(draw)),
        core.TimerFired(draw.below(3)),
        core.SnapshotEntry(piece, server, 1.0),
    )[kind - 1]


def arbitrary_settings(draw):
    flags = draw.byte()
    return core.Settings(
        request_classes=[core.RequestClass(1000.0, 3000.0, **REQUEST_CLASS_VARIANTS[flags % 5])]
        * (1 + (flags >> 6 & 1))
        + [core.RequestClass(draw.choice((0.0, 1e-3, 2000.0)), 1e6, own_zone_only=bool(flags & 8))],
        zone_count=3,
        slice_count=0 if flags & 3 == 3 else 6,
        exclusive_ownership=flags & 48 == 48,
        channel_queue_limit=draw.choice((0.0, 60.0, 4000.0)),
        channel_rate_per_s=draw.choice((1.0, 2000.0)),
        message_overhead=draw.choice((0.0, 8.0)),
        push_delay_ms=draw.choice((0.0, 300.0)),
        message_limit=draw.choice((0, 1, 20)),
        message_limit_window_ms=10_000.0,
        warm_up_ms=draw.choice((0.0, 12_000.0)),
        initial_capacity_share=0.2,
        warm_up_overload_factor=draw.choice((3.0, 1e9)),
        list_on_request=bool(flags & 128),
        list_request_timeout_ms=4000.0,
        health_checks=bool(flags & 4),
        load_shedding=(
            core.LoadShedding.BY_SHARE,
            core.LoadShedding.BY_RATE,
            core.LoadShedding.NONE,
        )[flags % 3],
        sizes_stated=bool(flags & 16),
    )


def wild(data):
    draw = Draw(data)
    settings = arbitrary_settings(draw)
    registry, now, digest = ObjectRegistry(settings, 7), 1000.0, hashlib.blake2b(digest_size=12)
    while not draw.exhausted:
        now += draw.choice((0.0, 1.0, 50.0, 250.0, 1000.0, 5000.0, 1e7))
        registry.pending_events = [
            arbitrary_event(draw, registry, now) for _ in range(1 + draw.below(4))
        ]
        if draw.below(4) == 3:
            registry.pending_events.append(core.TimerFired(0))
        orders = registry.reconcile(now)
        well_formed(orders, registry)
        for o in orders:
            digest.update(told(o).encode())
        for server in registry.controller.servers:
            for value in (
                server.assigned_load,
                server.capacity,
                server.guaranteed_capacity,
                server.relative_latency,
            ):
                check(
                    math.isfinite(value) and value >= -1e-6,
                    "server",
                    server.id,
                    "has a figure of",
                    value,
                )
        if draw.below(16) == 15 and not registry.pending_events:
            registry.remove_unreferenced_servers(2)
    return digest.hexdigest()


def wilds() -> list:
    return [bytes([k] * 60) for k in range(0, 256, 17)] + [
        bytes((k * m + 3) % 256 for k in range(200)) for m in (3, 7, 11, 29)
    ]


@register(
    name="wild",
    description="events and settings of every kind: no exception, only orders that make sense",
    seeds=wilds,
    covers=("policy", "state", "registry"),
    max_size=300,
)
def run_wild(data):
    wild(data)


class Twin:
    """The same program in another process whose sets are ordered otherwise."""

    def __init__(self):
        environ = dict(
            os.environ,
            PYTHONHASHSEED="4711" if os.environ.get("PYTHONHASHSEED") != "4711" else "815",
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "fuzz.twin"],
            env=environ,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        atexit.register(self.process.kill)

    def ask(self, data):
        self.process.stdin.write(data.hex() + "\n")
        self.process.stdin.flush()
        return self.process.stdout.readline().strip()


TWIN = []


def digest_of(data) -> str:
    """What a program orders, in short: a day where its first bit says so, else wild events."""
    if data[:1] and data[0] & 1:
        return run_scenario(data[1 : 1 + HEAD + 16]).digest.hexdigest()
    return wild(data[1:])


@register(
    name="same",
    description="the same events give the same orders in a process with another hash seed",
    step_size=1,
    max_size=200,
    covers=("policy", "state"),
    seeds=lambda: [b"\1" + d[:60] for d in days()] + [b"\0" + d for d in wilds()],
)
def same(data):
    if not TWIN:
        TWIN.append(Twin())
    here = digest_of(data)
    there = TWIN[0].ask(data)
    check(there == here, "orders differ between two processes:", here, there)
