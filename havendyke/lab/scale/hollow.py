"""A hollow assigner: production state machines with a simulated clock and metered connections."""

from collections import Counter

import orjson

from ... import config
from ...net.assigner import Assigner
from ...net.resp import encode
from ..event_loop import SimulatedEventLoop, feed
from ..peers import Simulation
from .fleet import Fleet, assigner_settings
from .meter import IN, OUT, Meter, count_messages, traffic_kind
from .size import ZONE_NAMES
from .standins import ScaleDiscovery, ScaleRelay

LOOP_START_MS = 1000.0  # the simulated event loop's time at the start
UNIX_OFFSET_MS = 5000.0  # from the event loop's time to Unix time
REPORT_WINDOW_MS = 1000.0  # between the reports of a collector
RECONNECT_DELAY_MS = (500.0, 2500.0)  # of a proxy that lost its stream
ACTIVITIES = {  # methods of the controller that run during a reconciliation
    "assess_health": "judge",
    "adjust_admission": "shed",
    "plan_tables": "plan",
    "emit_push": "emit",
    "request_observations": "ask",
}


class MeteredEventLoop(SimulatedEventLoop):
    """A simulated event loop that charges processor time to activities and counts the bytes that a
    socket would carry."""

    def __init__(self, meter: Meter):
        super().__init__()
        self.meter, self.log_lines, self.log_bytes = meter, 0, 0

    def log(self, event, **more):
        self.log_lines += 1
        self.log_bytes += len(orjson.dumps({"event": event, **more}, default=str)) + 1

    def after(self, wait, call):
        return super().after(wait, self.meter.timed("timers", call))

    def call_soon(self, call):
        super().call_soon(self.meter.timed("timers", call))

    def new_connection(self, peer, wait=None):
        return self.meter_connection(super().new_connection(peer, wait))

    def accept(self, peer):
        return self.meter_connection(super().accept(peer))

    def meter_connection(self, connection):
        if connection is None:
            return None
        write, buffer_updated = connection.write, connection.buffer_updated

        def write_metered(data):
            self.meter.count(traffic_kind(connection.peer), OUT, data, 1)
            write(data)

        connection.write = write_metered
        connection.buffer_updated = self.meter.timed("parse", buffer_updated)
        connection.connection_made = self.meter.timed("parse", connection.connection_made)
        connection.close = self.meter.timed("parse", connection.close)
        return connection


class HollowAssigner(Simulation):
    """An assigner with its peers; `fleet` is shared with the other assigners of the process."""

    relay_type, discovery_type = ScaleRelay, ScaleDiscovery

    def __init__(self, fleet: Fleet, number: int):
        self.fleet, self.number, self.meter, self.next_report = fleet, number, Meter(), 0
        self.stopped_tasks, self.health_check_counts, self.collectors = set(), Counter(), {}
        self.rng = fleet.assigner_rng(number)
        raw = {
            "name": f"assigner-{number}",
            "listen": "127.0.0.1:8443",
            "discovery": "127.0.0.1:8500",
            "seed": f"{1 + 7919 * number:x}",
            "distributor": {"address": "127.0.0.1:6400"},
            "settings": assigner_settings(fleet.size, number),
        }
        super().__init__(
            lambda event_loop: Assigner(config.read_config(raw, {}), event_loop),
            fleet.initial_tables(number),
            fleet.entries,
            range(fleet.size.proxies),
            event_loop=MeteredEventLoop(self.meter),
        )
        self.meter_activities()
        self.assigner.start()
        for zone in ZONE_NAMES[: fleet.size.zones]:
            self.connect_collector(zone)

    def now_ms(self) -> float:
        """The time of the fleet model."""
        return self.event_loop.time - LOOP_START_MS

    def unix_ms(self) -> float:
        """Unix time, by the simulated clock."""
        return self.event_loop.time + UNIX_OFFSET_MS

    def meter_activities(self):
        controller, registry = self.assigner.registry.controller, self.assigner.registry
        for method, activity in ACTIVITIES.items():
            setattr(controller, method, self.meter.timed(activity, getattr(controller, method)))
        registry.reconcile = self.meter.timed("turn", registry.reconcile)
        self.assigner.carry_out = self.meter.timed("send", self.assigner.carry_out)

    def connect_peer(self, connection):
        if connection.peer.name == "health_checks":
            self.health_check_counts[connection.peer.server.id] += 1
            if connection.peer.server.id in self.stopped_tasks:
                return  # a stopped task does not answer
        super().connect_peer(connection)

    def connect_collector(self, zone):
        connection = self.collectors[zone] = super().connect_collector(None)
        self.deliver(zone, [self.source_message(zone)])
        return connection

    @staticmethod
    def source_message(zone: str) -> bytes:
        """The first message of a collector."""
        return encode("SOURCE", "az", zone)

    def deliver(self, zone: str, messages: list):
        connection = self.collectors[zone]
        if not connection.ended:
            data = b"".join(messages)
            self.meter.count("reports", IN, data, len(messages))
            feed(connection, data)

    # Input to the assigner

    def send_reports(self):
        """Sends the next `size.reports` messages of all collectors, spread over a window.

        If the collectors have more messages than that, each window continues where the last one
        stopped."""
        size, messages, sent = self.fleet.size, self.report_messages(), {}
        for _ in range(size.reports):
            self.next_report = (self.next_report + 1) % len(messages)
            zone, message = messages[self.next_report]
            sent.setdefault(zone, []).append(message)
        for index, zone in enumerate(ZONE_NAMES[: size.zones]):
            if zone in sent:
                self.after(
                    REPORT_WINDOW_MS * index / size.zones,
                    lambda z=zone: self.deliver(z, sent[z]),
                )

    def report_messages(self) -> list:
        fleet, messages = self.fleet, []
        zones, window = ZONE_NAMES[: fleet.size.zones], str(REPORT_WINDOW_MS)
        for slice_id in sorted(self.relay.assigned_slices):
            for kind in range(fleet.size.classes):
                count = str(round(fleet.requests_per_slice() / fleet.size.classes))
                messages.append(
                    (
                        zones[slice_id % len(zones)],
                        encode(
                            "SHARD",
                            "partition",
                            str(slice_id),
                            "kind",
                            f"class{kind}",
                            "n",
                            count,
                            "bad",
                            "0",
                            "window",
                            window,
                        ),
                    )
                )
            for host in sorted(self.relay.store[slice_id]):
                if host in self.relay.ejected_hosts or fleet.entries[host]["state"] != "in_service":
                    continue
                for zone in zones:
                    count = str(max(1, round(fleet.offered_load[host] / len(zones))))
                    messages.append(
                        (
                            zone,
                            encode(
                                "LOAD",
                                "az",
                                zone,
                                "host",
                                host,
                                "n",
                                count,
                                "bad",
                                "0",
                                "avg",
                                f"{fleet.mean_latency_ms(host):.1f}",
                                "window",
                                window,
                                "report",
                                f"inflight:{round(8 * fleet.utilization(host))},"
                                f"util:{fleet.utilization(host):.2f}",
                            ),
                        )
                    )
        return messages

    def requests_by_task(self) -> Counter:
        """Requests per second that the proxies send to each task by this assigner's tables."""
        load = Counter()
        for slice_id in self.relay.assigned_slices:
            weights = {
                host: weight
                for host, weight in self.relay.store[slice_id].items()
                if host not in self.relay.ejected_hosts
            }
            total = sum(weights.values())
            for host, weight in weights.items():
                load[host] += self.fleet.requests_per_slice() * weight / total
        return load

    def apply_change(self, names: list, state: str):
        """Changes the state of tasks in discovery, which notifies the assigner."""
        fields = {"state": state}
        if state == "in_service":
            fields["boot_ms"] = int(self.unix_ms())
            self.stopped_tasks.difference_update(names)
        elif state == "terminated":
            self.stopped_tasks.update(names)
        if state != "in_service":
            self.relay.track_removal(names)
        self.discovery.change(**{name: fields for name in names})

    def reconnect_proxies(self, zones: str):
        """Disconnects the proxies of these zones; each connects again after a random delay."""
        for proxy in [
            p for p in sorted(self.relay.connected_proxies) if self.relay.proxy_zone(p) in zones
        ]:
            self.relay.disconnect_proxy(proxy)
            self.after(
                self.rng.uniform(*RECONNECT_DELAY_MS), lambda p=proxy: self.relay.connect_proxy(p)
            )

    def on_peer_data(self, connection, data: bytes):
        kind = traffic_kind(connection.peer)
        self.meter.count(kind, IN, data, count_messages(kind, data))
