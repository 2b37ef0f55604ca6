"""The controller's decisions: drawn scenarios checked against the five rules, arbitrary events, and
the same orders in another process."""

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

TICK_MS = 50.0
# Those that the bench's wire has too.
OUTCOMES = tuple(
    outcome
    for outcome in core.HealthCheckOutcome
    if outcome not in (core.HealthCheckOutcome.NOT_SENT, core.HealthCheckOutcome.SUPERSEDED)
)
SERVER_REQUESTS_PER_S = 100.0  # that a server serves without overload
MAX_DURATION_MS = 40_000.0
HEADER_BYTES = 9  # determine the deployment; each step after them has four bytes
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


def check_orders(orders, registry):
    """Checks that orders refer to registered objects and have values that the interface allows."""
    servers = set(registry.servers.values())
    slices = set(registry.slices.values())
    proxies = set(registry.proxies.values())
    for order in orders:
        match order:
            case core.SetEndpointWeight():
                check(
                    math.isfinite(order.weight) and order.weight >= 0, "a weight of", order.weight
                )
                check(
                    order.server in servers
                    and order.slice in slices | set(registry.controller.slices),
                    "a weight order for an unknown server or slice",
                )
            case core.SetEjection():
                check(
                    order.server in servers and type(order.ejected) is bool,
                    "an invalid ejection:",
                    order,
                )
            case core.SetAdmission():
                check(
                    order.retry_policy in core.RetryPolicy
                    and math.isfinite(order.limit)
                    and order.limit >= 0,
                    "an invalid admission:",
                    order,
                )
                classes = range(len(registry.controller.settings.request_classes))
                check(
                    order.request_classes and set(order.request_classes) <= set(classes),
                    "invalid request classes:",
                    order,
                )
            case core.RequestAcknowledgement():
                check(0 <= order.nonce < 65536, "a nonce of", order.nonce)
            case core.StartTimer():
                check(
                    math.isfinite(order.delay_ms) and order.delay_ms > 0,
                    "a timer after",
                    order.delay_ms,
                )
            case core.BindTable():
                check(order.proxy in proxies, "a table bound to an unknown proxy")


class Scenario:
    """A simulated deployment with drawn faults under which the five rules can still be kept.

    The push channel has room for twice the entries that must be moved at once, as deployments
    configure it. At most a quarter of the servers drain at a time, and not before the previous
    batch is gone; at most as many fail, and not while the channel is slow."""

    def __init__(self, draw, seed):
        self.random_numbers = LinearCongruentialGenerator(seed)
        self.server_count = 5 + draw.below(6)
        slices_per_server = 3 + draw.below(3)
        self.proxy_count = 2 + draw.below(4)
        self.slice_count = slices_per_server * self.server_count
        flags = draw.byte()
        exclusive_ownership = flags & 7 == 7
        message_overhead = draw.choice((6.0, 8.0, 12.0))
        self.batch_size = max(1, self.server_count // 4)
        urgent_entries = math.ceil(1.6 * self.batch_size * slices_per_server) + self.batch_size
        queue_limit = (
            (2.5, 4.0)[flags >> 5 & 1] * self.proxy_count * (message_overhead + 6 + urgent_entries)
        )
        self.push_delay_ms = draw.choice((100.0, 200.0, 350.0))
        self.utilization = draw.choice((0.35, 0.5, 0.65, 0.8))
        self.settings = core.Settings(
            request_classes=[
                core.RequestClass(1000.0, 3000.0, **REQUEST_CLASS_VARIANTS[0]),
                core.RequestClass(1500.0, 5000.0, **REQUEST_CLASS_VARIANTS[1 + (flags >> 3) % 4]),
            ],
            zone_count=3,
            slice_count=self.slice_count,
            exclusive_ownership=exclusive_ownership,
            lease_ms=1000.0 if exclusive_ownership else 0.0,
            max_write_in_flight_ms=800.0 if exclusive_ownership else 0.0,
            channel_queue_limit=queue_limit,
            channel_rate_per_s=queue_limit / 1.2,
            message_overhead=message_overhead,
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
            empty_table_ms=6000.0 if exclusive_ownership else 2500.0,
            drain_grace_ms=2300.0 + 2 * max(0.0, self.push_delay_ms - 200.0),
        )
        self.start(
            ObjectRegistry(self.settings, seed),
            RuleChecker(self.settings, bounds, SERVER_REQUESTS_PER_S),
        )

    def start(self, registry, rule_checker):
        """Sets up the initial fleet and the events that announce it to the controller of
        `registry`."""
        self.registry = registry
        self.rule_checker = rule_checker
        self.now_ms = 100_000.0
        self.data_plane = DataPlane(self.settings, self.random_numbers.draw)
        self.data_plane.now = self.rule_checker.now = self.now_ms
        self.last_server_number = 0
        self.action_serial = 0
        self.digest = hashlib.blake2b(digest_size=12)
        self.timers = []
        self.scheduled = []
        self.channel_available = True
        self.stalled_until_ms = 0.0
        self.reports_stopped_until_ms = 0.0
        self.servers = {}  # state by server: "up", "down" or "hung"
        self.draining = []
        self.drained_at_ms = -1e9
        self.failed_at_ms = -1e9
        self.channel_slow_until_ms = -1e9
        self.slowdowns = {}
        servers = [self.add_server() for _ in range(self.server_count)]
        total_requests_per_s = SERVER_REQUESTS_PER_S * self.utilization * self.server_count
        weights = [0.4 + self.random_numbers.draw() for _ in range(self.slice_count)]
        self.demand = {
            self.registry.slice(index): total_requests_per_s * weight / sum(weights)
            for index, weight in enumerate(weights)
        }
        self.inbox = [
            core.EndpointListUpdate(core.ListScope.CACHED, []),
            self.endpoint_list(core.ListScope.COMPLETE, servers),
        ]
        self.rule_checker.observe_list(self.now_ms, self.inbox[-1])
        for index, slice_ in enumerate(self.demand):
            self.inbox += self.data_plane.assign_slice(slice_, {servers[index % len(servers)]: 1.0})
        for index in range(self.proxy_count):
            self.inbox.append(
                self.data_plane.connect(self.registry.proxy(index), index % 3, 20.0, True)
            )
        self.next_report_ms = self.now_ms + 1000.0

    # Servers and the endpoint list

    def add_server(self):
        self.last_server_number += 1
        server = self.registry.server(f"s{self.last_server_number}")
        self.servers[server] = "up"
        return server

    def list_entry(self, server, state, started_ms):
        return core.EndpointEntry(
            server, state, started_ms, int(server.id[1:]) % 3, int(server.id[1:]) % 4, 0, 1.0
        )

    def endpoint_list(self, scope, servers, state="ready", started_ms=None):
        return core.EndpointListUpdate(
            scope, [self.list_entry(s, state, started_ms) for s in servers]
        )

    def send_list(self, event, delay_ms=0.0):
        self.schedule(delay_ms, lambda: self.deliver_list(event))

    def deliver_list(self, event):
        self.rule_checker.observe_list(self.now_ms, event)
        self.inbox.append(event)

    def running_servers(self):
        return [s for s, state in self.servers.items() if state == "up" and s not in self.draining]

    # Steps; a step does nothing where the rules could not be kept after it

    def wait(self, a, b, c):
        pass

    def drain(self, a, b, c):
        undisturbed = (
            self.now_ms > self.channel_slow_until_ms + 2000
            and self.now_ms - max(self.drained_at_ms, self.failed_at_ms) > 4000
        )
        if (
            self.draining
            or not undisturbed
            or len(self.running_servers()) < self.server_count - self.batch_size + 1
        ):
            return
        running = self.running_servers()
        self.draining = [
            running[(a + k) % len(running)]
            for k in range(min(self.batch_size, 1 + b % self.batch_size))
        ]
        self.drained_at_ms = self.now_ms
        self.send_list(self.endpoint_list(core.ListScope.CHANGES, self.draining, "draining"))

    def replace_drained(self, a, b, c):
        if self.draining and self.now_ms - self.drained_at_ms > 3000:
            drained = self.draining
            self.draining = []
            for server in drained:
                self.servers[server] = "down"
            self.send_list(self.endpoint_list(core.ListScope.CHANGES, drained, "gone"))
            replacements = [self.add_server() for _ in drained]
            self.send_list(
                self.endpoint_list(core.ListScope.CHANGES, replacements, "ready", self.now_ms),
                c * 4.0,
            )
            self.failed_at_ms = self.now_ms

    def fail_servers(self, a, b, c):
        running = self.running_servers()
        if (
            self.draining
            or self.now_ms - max(self.failed_at_ms, self.drained_at_ms) < 6000
            or len(running) < self.server_count
            or self.now_ms < self.channel_slow_until_ms + 2000
        ):
            return
        self.failed_at_ms = self.now_ms
        failed = [
            running[(a + k) % len(running)]
            for k in range(min(self.batch_size, 1 + b % self.batch_size))
        ]
        for server in failed:
            self.servers[server] = "hung" if c & 1 else "down"
        if not c & 1:
            self.send_list(
                self.endpoint_list(core.ListScope.CHANGES, failed, "gone"), 1000.0 + c * 8
            )
        self.schedule(5000.0 + b * 16, lambda: self.restore_servers(failed))

    def restore_servers(self, servers):
        for server in servers:
            self.servers[server] = "up"
        self.send_list(
            self.endpoint_list(core.ListScope.CHANGES, servers, "ready", self.now_ms), 300.0
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
        slices = list(self.demand)
        unassigned = [
            slices[(a + k) % len(slices)] for k in range(1 + b % max(1, len(slices) // 4))
        ]
        self.inbox += [
            self.data_plane.unassign_slice(slice_)
            for slice_ in unassigned
            if slice_ in self.data_plane.assigned_slices
        ]
        self.schedule(800.0 + c * 8, lambda: self.reassign_slices(unassigned))

    def reassign_slices(self, unassigned):
        running = self.running_servers()
        for index, slice_ in enumerate(unassigned):
            if slice_ not in self.data_plane.assigned_slices:
                # The other controller may have migrated the slice meanwhile; under exclusive
                # ownership not so soon that writes to source and target could overlap.
                other_server = (
                    running[index % len(running)]
                    if index % 2 and not self.settings.exclusive_ownership
                    else None
                )
                self.inbox += self.data_plane.assign_slice(
                    slice_, {other_server: 1.0} if other_server else self.data_plane.store[slice_]
                )

    def slow_server(self, a, b, c):
        running = self.running_servers()
        self.slowdowns[running[a % len(running)]] = 1.0 + b / 64

    def slow_channel(self, a, b, c):
        if not self.draining and self.now_ms - self.failed_at_ms > 6000:
            self.data_plane.slowdown = 1.0 + a / 128
            self.channel_slow_until_ms = self.now_ms + b * 20.0
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
        slices = list(self.demand)
        target = slices[a % len(slices)]
        average = sum(self.demand.values()) / len(slices)
        increase = min(average * (b % 4), 0.2 * average * len(slices))
        remaining_demand = sum(
            demand for slice_, demand in self.demand.items() if slice_ is not target
        )
        for slice_ in slices:
            self.demand[slice_] -= (
                increase * self.demand[slice_] / remaining_demand
                if slice_ is not target
                else -increase
            )

    def repeat_events(self, a, b, c):
        """Repeats acknowledgements and failed lists, and sends unrequested ones."""
        proxies = list(self.registry.proxies.values())
        connected = [v.proxy for v in self.data_plane.connected_proxies()]
        if connected:
            proxy = connected[a % len(connected)]
            last_serial = self.registry.controller.observed.channel.last_serial
            awaiting = {
                proxy
                for push in self.registry.controller.observed.channel.pushes
                if push.nonce == b
                for proxy in push.awaiting_proxies
            }
            if proxy not in awaiting:
                self.inbox.append(
                    core.PushAcknowledged(
                        proxies[a % len(proxies)], (last_serial + 5 + b) % 65536, 1.0
                    )
                )
        if c & 1:
            self.inbox.append(core.EndpointListUpdate(core.ListScope.FAILED, []))

    def stall_controller(self, a, b, c):
        """Runs no reconciliation for a while; all events are pending afterwards."""
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

    # The simulated environment

    def schedule(self, delay_ms, callback):
        self.action_serial += 1
        self.scheduled.append((self.now_ms + delay_ms, self.action_serial, callback))

    def request_rates(self):
        """Requests per second that the proxies send to each server."""
        views = self.data_plane.connected_proxies()
        rates = {}
        for view in views:
            for slice_ in self.data_plane.assigned_slices:
                for server, share in view.traffic_shares(slice_).items():
                    rates[server] = rates.get(server, 0.0) + share * self.demand[slice_] / max(
                        1, len(views)
                    )
        return rates

    def send_reports(self):
        reports = []
        for server, rate in self.request_rates().items():
            attempts = int(rate)
            utilization = rate / 100.0 * self.slowdowns.get(server, 1.0)
            failures = (
                attempts
                if self.servers[server] != "up"
                else int(attempts * max(0.0, min(0.9, utilization - 1.2)))
            )
            latency_ms = (
                60.0 * (1 + 6 * max(0.0, utilization - 0.6)) * self.slowdowns.get(server, 1.0)
            )
            if attempts:
                reports.append(
                    core.ServerLoadReport(
                        server,
                        0,
                        attempts,
                        failures,
                        latency_ms if failures < attempts else 0.0,
                        1000.0,
                        core.ServerLoad(in_flight=utilization * 3),
                    )
                )
        for slice_ in self.data_plane.assigned_slices:
            reports += [
                core.SliceLoadReport(
                    slice_, request_class, int(self.demand[slice_] * share), 0, 1000.0
                )
                for request_class, share in enumerate(
                    (0.7, 0.3)[: len(self.settings.request_classes)]
                )
            ]
        if self.now_ms >= self.reports_stopped_until_ms:
            self.schedule(
                300.0 + 900.0 * self.random_numbers.draw(), lambda: self.inbox.extend(reports)
            )

    def process_orders(self, orders):
        check_orders(orders, self.registry)
        for order in orders:
            self.digest.update(order_text(order).encode())
        self.apply_orders(orders)
        self.rule_checker.observe_orders(self.now_ms, orders, self.data_plane)

    def apply_orders(self, orders):
        """Applies the orders of one reconciliation to the environment."""
        for order in orders:
            if type(order) is core.StartTimer:
                self.timers.append((self.now_ms + order.delay_ms, order.timer_id))
            elif type(order) is core.SendHealthCheck:
                state = self.servers[order.server]
                outcome, delay_ms = {
                    "up": (core.HealthCheckOutcome.PASSED, 5.0),
                    "down": (core.HealthCheckOutcome.REFUSED, 5.0),
                    "hung": (core.HealthCheckOutcome.TIMED_OUT, 500.0),
                }[state]
                self.schedule(
                    delay_ms,
                    lambda s=order.server, w=outcome, t=delay_ms: self.inbox.append(
                        core.HealthCheckResult(s, w, t)
                    ),
                )
        self.data_plane.apply_orders(
            [
                order
                for order in orders
                if type(order)
                not in (core.StartTimer, core.SendHealthCheck, core.RequestEndpointList)
            ]
        )

    def reconcile(self):
        if self.now_ms < self.stalled_until_ms:
            return
        fired = [timer for timer in self.timers if timer[0] <= self.now_ms]
        self.timers = [timer for timer in self.timers if timer[0] > self.now_ms]
        if self.inbox or fired:
            self.registry.pending_events = self.inbox + [
                core.TimerFired(timer_id) for _, timer_id in sorted(fired)
            ]
            self.inbox = []
            self.process_orders(self.registry.reconcile(self.now_ms))

    def run_for(self, ms):
        end = self.now_ms + ms
        while self.now_ms < end:
            self.now_ms += TICK_MS
            due = sorted(action for action in self.scheduled if action[0] <= self.now_ms)
            self.scheduled = [action for action in self.scheduled if action[0] > self.now_ms]
            for _, _, callback in due:
                callback()
            self.inbox += self.data_plane.advance(self.now_ms)
            if self.now_ms >= self.next_report_ms:
                self.next_report_ms += 1000.0
                self.send_reports()
            self.reconcile()
            self.rule_checker.check(self.now_ms, self.data_plane, self.demand)
            self.check_rules()

    def check_rules(self):
        """Checks that no rule has been broken."""
        check(
            not self.rule_checker.violations,
            "rule violated:",
            *[str(violation) for violation in self.rule_checker.violations[:1]],
        )

    def check_published_tables(self):
        """Checks that the published tables in the controller's state match the store."""
        for slice_ in self.data_plane.assigned_slices:
            check(
                slice_.published == self.data_plane.store[slice_],
                "slice",
                slice_.id,
                "is published as",
                {server.id: weight for server, weight in slice_.published.items()},
                "but stored as",
                {server.id: weight for server, weight in self.data_plane.store[slice_].items()},
            )


def order_text(order) -> str:
    """A text for an order that is the same in every process."""
    return " ".join(
        [type(order).__name__]
        + [str(getattr(v, "id", v)) for v in (getattr(order, n) for n in order.__slots__)]
    )


def run_scenario(data) -> Scenario:
    seed = int.from_bytes(hashlib.blake2b(data[:HEADER_BYTES], digest_size=4).digest(), "big")
    scenario = Scenario(Draw(data[:HEADER_BYTES].ljust(HEADER_BYTES, b"\0")), seed)
    end_ms = scenario.now_ms + MAX_DURATION_MS
    scenario.run_for(1500.0)
    play_steps(scenario, data[HEADER_BYTES:], end_ms, TICK_MS)
    scenario.run_for(4000.0)
    scenario.check_published_tables()
    return scenario


def play_steps(scenario, data, end_ms, step_unit_ms):
    """Takes a step for each four bytes; the upper half of the first byte is the time after it."""
    for begin in range(0, len(data), 4):
        step, a, b, c = data[begin : begin + 4].ljust(4, b"\0")
        if scenario.now_ms > end_ms:
            break
        scenario.STEPS[step % len(scenario.STEPS)](scenario, a, b, c)
        scenario.run_for(step_unit_ms * (1 + (step >> 4) * 2))


def scenario_seeds() -> list:
    deployments = [
        bytes(HEADER_BYTES),
        bytes([5, 2, 3, 255, 2, 1, 2, 1, 0]),
        bytes([3, 1, 2, 7, 1, 2, 1, 0, 1]),
        bytes([1, 1, 1, 40, 1, 1, 0, 1, 1]),
    ]
    single_steps = [
        bytes([2, 1, 2, 32, 1, 1, 1, 0, 0])
        + bytes([k | 0xF0, 9 * k % 256, 40, k, 0xF0, 0, 0, 0, k | 0xF0, 3, 2, 1])
        for k in range(len(Scenario.STEPS))
    ]
    release = (
        bytes([1, 1, 2, 32, 1, 1, 0, 0, 0])
        + bytes([0xF1, 0, 3, 0, 0xF0, 0, 0, 0, 0xF0, 0, 0, 0, 0xF2, 0, 0, 30]) * 4
    )
    # Exclusive ownership: a proxy is disconnected while slices are migrated, with both values of
    # the bit for stated sizes.
    exclusive = [
        bytes([0, 0, 0, 55 | k, 0, 0, 0, 0, 0])
        + bytes([4, 0, 100, 0, 1, 0, 0, 0, 0xF0, 0, 0, 0, 0xF0, 0, 0, 0])
        for k in (0, 128)
    ]
    all_limits = [bytes([5, 2, 3, 128, 0, 0, 3, 1, k]) + release[HEADER_BYTES:] for k in (0, 1)]
    return deployments + single_steps + [release] + exclusive + all_limits


@register(
    name="days",
    description="drawn scenarios against the five rules as written in code",
    seeds=scenario_seeds,
    covers=("policy", "state", "registry"),
    engine="hypothesis",
    step_size=4,
    header_size=HEADER_BYTES,
    max_size=HEADER_BYTES + 72,
)
def run_scenario_target(data):
    run_scenario(data)


# Arbitrary events: unlikely in service, but allowed by the interface


def arbitrary_number(draw):
    return draw.choice((0.0, 1.0, 0.5, 1e-9, 3.0, 100.0, 2500.0, 1e6, 1e-300, 65535.0))


def proxy_event(proxy, zone, rate, first_connection):
    resynchronised = zone == 2 and not first_connection
    event = core.ProxyResynchronised if resynchronised else core.ProxyConnected
    return event(proxy, zone, rate, first_connection)


def arbitrary_event(draw, registry, now):
    server = registry.server(f"s{draw.below(7)}")
    slice_ = registry.slice(draw.below(6))
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
                arbitrary_number(draw),
            )
            for _ in range(draw.below(5))
        ]
        return core.EndpointListUpdate(scope, [] if scope is core.ListScope.FAILED else entries)
    if kind == 11:
        return core.PushChannelStatus(
            draw.flag(), tuple(draw.below(4) for _ in range(draw.below(3)))
        )
    attempts = int(arbitrary_number(draw))
    return (
        proxy_event(proxy, draw.below(3), arbitrary_number(draw), draw.flag()),
        core.ProxyDisconnected(proxy),
        core.SliceAssignment(slice_, draw.flag()),
        core.SnapshotEntry(slice_, server, arbitrary_number(draw)),
        core.ServerLoadReport(
            server,
            draw.below(3),
            attempts,
            min(attempts, int(arbitrary_number(draw))),
            arbitrary_number(draw),
            arbitrary_number(draw),
            core.ServerLoad(in_flight=arbitrary_number(draw)) if draw.flag() else core.ServerLoad(),
        ),
        core.SliceLoadReport(
            slice_, draw.below(2), attempts, int(arbitrary_number(draw)), arbitrary_number(draw)
        ),
        core.HealthCheckResult(
            server,
            draw.choice(OUTCOMES),
            arbitrary_number(draw),
        ),
        core.PushAcknowledged(proxy, draw.below(65536), arbitrary_number(draw)),
        core.TimerFired(draw.below(3)),
        core.SnapshotEntry(slice_, server, 1.0),
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


def run_arbitrary_events(data):
    draw = Draw(data)
    settings = arbitrary_settings(draw)
    registry = ObjectRegistry(settings, 7)
    now = 1000.0
    digest = hashlib.blake2b(digest_size=12)
    while not draw.exhausted:
        now += draw.choice((0.0, 1.0, 50.0, 250.0, 1000.0, 5000.0, 1e7))
        registry.pending_events = [
            arbitrary_event(draw, registry, now) for _ in range(1 + draw.below(4))
        ]
        if draw.below(4) == 3:
            registry.pending_events.append(core.TimerFired(0))
        orders = registry.reconcile(now)
        check_orders(orders, registry)
        for order in orders:
            digest.update(order_text(order).encode())
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
                    "has a value of",
                    value,
                )
        if draw.below(16) == 15 and not registry.pending_events:
            registry.remove_unreferenced_servers(2)
    return digest.hexdigest()


def arbitrary_seeds() -> list:
    return [bytes([k] * 60) for k in range(0, 256, 17)] + [
        bytes((k * m + 3) % 256 for k in range(200)) for m in (3, 7, 11, 29)
    ]


@register(
    name="wild",
    description="events and settings of every kind: no exception, only valid orders",
    seeds=arbitrary_seeds,
    covers=("policy", "state", "registry"),
    max_size=300,
)
def run_arbitrary_target(data):
    run_arbitrary_events(data)


class OtherProcess:
    """Runs inputs in a process with another hash seed, so that sets are ordered differently."""

    def __init__(self):
        environ = dict(
            os.environ,
            PYTHONHASHSEED="4711" if os.environ.get("PYTHONHASHSEED") != "4711" else "815",
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "fuzz.digest_process"],
            env=environ,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        atexit.register(self.process.kill)

    def digest_of(self, data):
        self.process.stdin.write(data.hex() + "\n")
        self.process.stdin.flush()
        return self.process.stdout.readline().strip()


OTHER_PROCESS = []


def digest_of(data) -> str:
    """The digest of the orders of an input: a scenario if its first bit is set, else arbitrary
    events."""
    if data[:1] and data[0] & 1:
        return run_scenario(data[1 : 1 + HEADER_BYTES + 16]).digest.hexdigest()
    return run_arbitrary_events(data[1:])


@register(
    name="same",
    description="the same events give the same orders in a process with another hash seed",
    step_size=1,
    max_size=200,
    covers=("policy", "state"),
    seeds=lambda: (
        [b"\1" + d[:60] for d in scenario_seeds()] + [b"\0" + d for d in arbitrary_seeds()]
    ),
)
def same(data):
    if not OTHER_PROCESS:
        OTHER_PROCESS.append(OtherProcess())
    here = digest_of(data)
    there = OTHER_PROCESS[0].digest_of(data)
    check(there == here, "orders differ between two processes:", here, there)
