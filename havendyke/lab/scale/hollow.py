"""One hollow assigner: the product's state machines and decisions on a simulated clock, counted at
its connections."""

from collections import Counter

import orjson

from ... import config
from ...net.assigner import Assigner
from ...net.resp import encode
from ..event_loop import SimulatedEventLoop, feed
from ..peers import Simulation
from .fleet import Fleet, settings
from .meter import IN, OUT, Meter, kind_of, messages_in
from .size import ZONE_NAMES
from .standins import ScaleRegistry, ScaleRelay

FIRST_MS = 1000.0  # the laboratory's clock at a start
UNIX_MS = 5000.0  # what it lacks to Unix time
WINDOW_MS = 1000.0  # between a collector's reports
REJOIN_MS = (500.0, 2500.0)  # till a proxy that lost its stream has joined anew
PARTS = {
    "assess_health": "judge",
    "adjust_admission": "shed",
    "plan_tables": "plan",
    "emit_push": "emit",
    "check_health": "ask",
}  # of a turn


class MeteredHub(SimulatedEventLoop):
    """A laboratory's hub that charges what runs on it, and counts bytes where a socket would have
    them."""

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
        return self.metered(super().new_connection(peer, wait))

    def accept(self, peer):
        return self.metered(super().accept(peer))

    def metered(self, connection):
        if connection is None:
            return None
        write, updated = connection.write, connection.buffer_updated

        def written(data):
            self.meter.count(kind_of(connection.peer), OUT, data, 1)
            write(data)

        connection.write = written
        connection.buffer_updated = self.meter.timed("parse", updated)
        connection.connection_made = self.meter.timed("parse", connection.connection_made)
        connection.close = self.meter.timed("parse", connection.close)
        return connection


class HollowAssigner(Simulation):
    """An assigner with everybody round it; `fleet` is shared with the other assigners of the
    process."""

    relay_type, discovery_type = ScaleRelay, ScaleRegistry

    def __init__(self, fleet: Fleet, number: int):
        self.fleet, self.number, self.meter, self.next_line = fleet, number, Meter(), 0
        self.absent, self.asked, self.collectors = set(), Counter(), {}
        self.chance = fleet.own_chance(number)
        raw = {
            "name": f"assigner-{number}",
            "listen": "127.0.0.1:8443",
            "discovery": "127.0.0.1:8500",
            "seed": f"{1 + 7919 * number:x}",
            "distributor": {"address": "127.0.0.1:6400"},
            "settings": settings(fleet.size, number),
        }
        super().__init__(
            lambda hub: Assigner(config.read_config(raw, {}), hub),
            fleet.store(number),
            fleet.entries,
            range(fleet.size.proxies),
            event_loop=MeteredHub(self.meter),
        )
        self.measure_turns()
        self.assigner.start()
        for zone in ZONE_NAMES[: fleet.size.zones]:
            self.connect_collector(zone)

    def now(self) -> float:
        """The model's time."""
        return self.event_loop.time - FIRST_MS

    def unix_ms(self) -> float:
        """Unix time, by the laboratory's clock."""
        return self.event_loop.time + UNIX_MS

    def measure_turns(self):
        controller, registry = self.assigner.registry.controller, self.assigner.registry
        for method, activity in PARTS.items():
            setattr(controller, method, self.meter.timed(activity, getattr(controller, method)))
        registry.reconcile = self.meter.timed("turn", registry.reconcile)
        self.assigner.carry_out = self.meter.timed("send", self.assigner.carry_out)

    def connect_peer(self, connection):
        if connection.peer.name == "health_checks":
            self.asked[connection.peer.server.id] += 1
            if connection.peer.server.id in self.absent:
                return  # a machine that has vanished says nothing
        super().connect_peer(connection)

    def connect_collector(self, zone):
        connection = self.collectors[zone] = super().connect_collector(None)
        self.bring(zone, [self.source(zone)])
        return connection

    @staticmethod
    def source(zone: str) -> bytes:
        """A collector's first message."""
        return encode("SOURCE", "az", zone)

    def bring(self, zone: str, messages: list):
        connection = self.collectors[zone]
        if not connection.over:
            data = b"".join(messages)
            self.meter.count("reports", IN, data, len(messages))
            feed(connection, data)

    # What reaches it

    def report(self):
        """A window of all collectors: one part of the lines that it would have, where fewer are to
        be sent."""
        size, lines, sent = self.fleet.size, self.report_lines(), {}
        for _ in range(size.reports):
            self.next_line = (self.next_line + 1) % len(lines)
            zone, line = lines[self.next_line]
            sent.setdefault(zone, []).append(line)
        for place, zone in enumerate(ZONE_NAMES[: size.zones]):
            if zone in sent:
                self.after(WINDOW_MS * place / size.zones, lambda z=zone: self.bring(z, sent[z]))

    def report_lines(self) -> list:
        fleet, made = self.fleet, []
        zones, window = ZONE_NAMES[: fleet.size.zones], str(WINDOW_MS)
        for piece in sorted(self.relay.assigned_slices):
            for kind in range(fleet.size.classes):
                count = str(round(fleet.requests() / fleet.size.classes))
                made.append(
                    (
                        zones[piece % len(zones)],
                        encode(
                            "SHARD",
                            "partition",
                            str(piece),
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
            for host in sorted(self.relay.store[piece]):
                if host in self.relay.shut_out or fleet.entries[host]["state"] != "in_service":
                    continue
                for zone in zones:
                    count = str(max(1, round(fleet.offered[host] / len(zones))))
                    made.append(
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
                                f"{fleet.latency(host):.1f}",
                                "window",
                                window,
                                "report",
                                f"inflight:{round(8 * fleet.fullness(host))},"
                                f"util:{fleet.fullness(host):.2f}",
                            ),
                        )
                    )
        return made

    def offers(self) -> Counter:
        """Requests a second that it has the proxies send to each task."""
        made = Counter()
        for piece in self.relay.assigned_slices:
            lines = {
                h: w for h, w in self.relay.store[piece].items() if h not in self.relay.shut_out
            }
            total = sum(lines.values())
            for host, weight in lines.items():
                made[host] += self.fleet.requests() * weight / total
        return made

    def change(self, names: list, state: str):
        """Discovery's agent is told of a change of tasks, and tells the assigner."""
        more = {"state": state}
        if state == "in_service":
            more["boot_ms"] = int(self.unix_ms())
            self.absent.difference_update(names)
        elif state == "terminated":
            self.absent.update(names)
        if state != "in_service":
            self.relay.changed(names)
        self.discovery.change(**{name: more for name in names})

    def restart_proxies(self, zones: str):
        """The proxies of these zones lose their streams and join anew."""
        for proxy in [
            p for p in sorted(self.relay.connected_proxies) if self.relay.zone(p) in zones
        ]:
            self.relay.disconnect_proxy(proxy)
            self.after(self.chance.uniform(*REJOIN_MS), lambda p=proxy: self.relay.connect_proxy(p))

    def on_peer_data(self, connection, data: bytes):
        kind = kind_of(connection.peer)
        self.meter.count(kind, IN, data, messages_in(kind, data))
