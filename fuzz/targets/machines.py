"""State machines in simulated time: drawn faults, then a time without faults, after which the
assigner and its peers must agree.

An input consists of steps of four bytes: a method and its three arguments. Each target draws from a
subset of the methods, so that short inputs reach deep states; `world` draws from all of them."""

from havendyke import config
from havendyke import interface as core
from havendyke.lab.event_loop import feed
from havendyke.lab.peers import CALL_OUTCOMES, Simulation
from havendyke.net.assigner import Assigner
from havendyke.net.deadlines import DeadlineQueue
from havendyke.net.published_tables import apply_order, tables_match
from havendyke.net.relay_orders import changed_slices
from havendyke.net.resp import encode
from havendyke.net.slots import SlotTable

from ..draw import Draw
from ..registry import check, register
from .world import complete_list, listed_server, raw_config

SERVERS = [f"s{k}" for k in range(1, 7)]
ADDRESSES = [
    {"distributor": {"address": f"127.0.0.{k}:6400"}, "discovery": f"127.0.0.{k}:8500"}
    for k in (1, 2, 3)
]
SETTLE_MS = 9000.0  # without faults, after which all peers must agree
MAX_FAULTS_MS = 12_000.0
MAX_IDLE_SLOTS = 8  # for streams, in addition to one health check per server
MAX_IDLE_DEADLINES = 50  # of the streams, and the controller's timers


class PeerFaults:
    """Runs one input on one simulation; `steps` are the methods that its target may draw."""

    def __init__(self, steps, prepare=lambda assigner: None, **limits):
        self.simulation = Simulation(
            self.make_assigner,
            {slice_id: {SERVERS[slice_id % 6]: 1.0} for slice_id in range(8)},
            {name: listed_server(name) for name in SERVERS},
            **limits,
        )
        self.assigner = self.simulation.assigner
        self.event_loop = self.simulation.event_loop
        self.steps = steps
        self.relay = self.simulation.relay
        self.discovery = self.simulation.discovery
        self.last_server_number = 0
        self.started_ms = self.event_loop.time
        self.addresses = ADDRESSES[0]
        self.check_retries()
        prepare(self.assigner)
        self.assigner.start()
        self.simulation.run_for(1500)

    def make_assigner(self, event_loop):
        return Assigner(
            config.read_config(raw_config(known=complete_list(*SERVERS)), {}), event_loop
        )

    def check_retries(self):
        """Checks that a call that may have changed tables is not retried before its tables are
        compared with a snapshot."""
        relay = self.assigner.relay
        resolve = relay.call_resolved

        def call_resolved(orders, carried_out):
            event, fields = self.event_loop.logged[-1]
            if not carried_out and not (event == "call_compared" and fields["tables"]):
                known_tables = relay.watch.slices.tables
                expected = {
                    s: dict(known_tables[s]) for s in changed_slices(orders) if s in known_tables
                }
                for order in orders.values():
                    apply_order(expected, order)
                changed = [s for s in expected if not tables_match(expected[s], known_tables[s])]
                check(not changed, "retried without a snapshot: slices", changed)
            resolve(orders, carried_out)

        relay.call_resolved = call_resolved

    def run(self, data):
        draw = Draw(data)
        while not draw.exhausted and self.event_loop.time - self.started_ms < MAX_FAULTS_MS:
            step, a, b, c = draw.choice(self.steps), draw.byte(), draw.byte(), draw.byte()
            step(self, a, b, c)
            self.simulation.event_loop.run()
            check(
                not self.event_loop.counters.get("failures"),
                "a failure:",
                self.event_loop.logged[-3:],
            )
        self.settle()

    def settle(self):
        self.relay.call_outcome = "answered"
        self.relay.down = False
        self.discovery.down = False
        self.simulation.health_check_reply = "ok"
        self.simulation.refused_ports = set()
        # A delayed connection receives messages faster than it delivers them and never catches up.
        for peer in self.relay.open_watches():
            peer.deliver_delayed()
        self.discovery.change(**{name: {"state": "in_service"} for name in SERVERS})
        for connection in self.simulation.clients:
            connection.close("over")
        self.simulation.run_for(SETTLE_MS)
        disagreements = self.simulation.disagreements()
        if disagreements:
            # The last step may have silenced a stream whose timeout expires after this interval:
            # wait once more, but not longer.
            self.simulation.run_for(SETTLE_MS)
            disagreements = self.simulation.disagreements()
        check(not disagreements, *disagreements[:4])
        failed = [
            entry
            for entry in self.event_loop.logged
            if entry[0] in ("failure", "reconciliation_failed")
        ]
        check(not failed, "a failure:", failed[:2])
        ended = [c for c in self.assigner.collectors.clients if c.connection.ended]
        check(not ended, len(ended), "closed connections are still counted as clients")
        slots = len(self.event_loop.slots)
        deadlines = sum(d.callback is not None for d in self.event_loop.deadlines.heap)
        check(
            slots <= MAX_IDLE_SLOTS + len(self.assigner.registry.servers),
            slots,
            "slots in use at rest:",
            [c.peer.name for c in self.event_loop.slots],
        )
        check(deadlines <= MAX_IDLE_DEADLINES, deadlines, "deadlines at rest")
        check(
            self.assigner.discovery.version == self.discovery.version,
            "the endpoint list has version",
            self.assigner.discovery.version,
            "not",
            self.discovery.version,
        )
        states = {
            s.id: s.state for s in self.assigner.registry.controller.servers if s.id in SERVERS
        }
        check(set(states.values()) == {"ready"}, "servers are", states)

    # Steps

    def wait(self, a, b, c):
        self.simulation.run_for((a + 1) * (1, 4, 16)[b % 3])

    def stall(self, a, b, c):
        self.simulation.stall(a * 8.0)
        self.simulation.run_for(50)

    def set_call_outcome(self, a, b, c):
        self.relay.call_outcome = CALL_OUTCOMES[a % len(CALL_OUTCOMES)]
        self.simulation.run_for(b * 4.0)

    def cause_orders(self, a, b, c):
        """Causes orders: migrations after a change of the endpoint list."""
        self.change_servers(a, b, c)
        self.simulation.run_for(c)

    def relay_down(self, a, b, c):
        self.relay.down = bool(a & 1)
        for peer in self.relay.peers if b & 1 else ():
            peer.silent = peer.silent or self.relay.down
        self.simulation.run_for(c * 8.0)
        self.relay.down = False

    def break_relay_watches(self, a, b, c):
        watches = self.relay.open_watches()
        for peer in watches if a & 1 else watches[:1]:
            if b % 4 == 0:
                peer.silent = True
            elif b % 4 == 1:
                feed(peer.connection, b'{"jsonrpc":"2.0","method":"ROW","par')
                peer.close()
            elif b % 4 == 2:
                feed(peer.connection, b"\x00garbage\n")
            else:
                peer.close("ended" if c & 1 else "reset")

    def break_relay_calls(self, a, b, c):
        for peer in [
            p
            for p in self.relay.peers
            if not p.connection.ended and p.connection.peer.name == "relay"
        ]:
            peer.close("ended" if a & 1 else "reset")

    def reconnect_proxy(self, a, b, c):
        proxy = a % 6
        if b % 4 == 0 or proxy in self.relay.connected_proxies:
            self.relay.disconnect_proxy(proxy)
        if b % 4 != 1:
            self.relay.connect_proxy(proxy)

    def reassign_slice(self, a, b, c):
        slice_id = a % 8
        self.relay.unassign_slice(slice_id)
        if b % 4 == 3:
            self.simulation.run_for(c)
        entries = {SERVERS[b % 6]: 1.0} | ({SERVERS[c % 6]: 0.02} if c & 8 else {})
        self.relay.assign_slice(slice_id, {} if c == 255 else entries)

    def repeat_notifications(self, a, b, c):
        """Repeats notifications, or sends them late; they must change nothing."""
        watches = self.relay.open_watches()
        if not watches:
            return
        if a % 3 == 0:
            for proxy in sorted(self.relay.connected_proxies):
                self.relay.notify(
                    "ACK", watches[0], sidecar=proxy, version=(b << 8 | c) % 65536, lag_ms=1.0
                )
        elif a % 3 == 1 and self.relay.assigned_slices:
            self.relay.send_table(
                sorted(self.relay.assigned_slices)[b % len(self.relay.assigned_slices)]
            )
        else:
            self.relay.notify("CLOSED", sidecar=7)
            self.relay.notify("GRANT", partition=99, yes=True)

    def delay_table_entries(self, a, b, c):
        """A slice assignment whose table entries arrive late and one by one, as does everything
        sent after them."""
        slice_id = a % 8
        watches = self.relay.open_watches()
        if not watches or slice_id not in self.relay.assigned_slices:
            return
        self.relay.notify("GRANT", watches[0], partition=slice_id, yes=True)
        watches[0].delay_messages((1 + b) * 3.0)
        for host, share in self.relay.store[slice_id].items():
            self.relay.notify("ROW", watches[0], partition=slice_id, host=host, share=share)
        self.simulation.run_for(c)

    def change_servers(self, a, b, c):
        names = [SERVERS[a % 6]] + ([SERVERS[b % 6]] if b & 8 else [])
        state = ("terminating", "in_service", "terminated", "terminating")[c % 4]
        changes = {"boot_ms": round(5000 + self.event_loop.time)} if c & 4 else {}
        self.discovery.change(**{name: {"state": state, **changes} for name in names})

    def add_server(self, a, b, c):
        self.last_server_number += 1
        name = f"g{self.last_server_number}"
        self.discovery.change(**{name: listed_server(name, ("in_service", "terminating")[a & 1])})
        if b & 1:
            self.simulation.run_for(c * 4.0)
            self.discovery.change(**{name: {"state": "terminated"}})

    def break_discovery_watches(self, a, b, c):
        watches = self.discovery.open_watches()
        for peer in watches if a & 1 else watches[:1]:
            if b % 3 == 0:
                peer.silent = True
            else:
                peer.close("ended" if b % 3 == 1 else "reset")

    def discovery_down(self, a, b, c):
        self.discovery.down = bool(a & 1)
        self.change_servers(b, c, a >> 1)
        self.simulation.run_for(b * 8.0)
        self.discovery.down = False
        for peer in self.discovery.open_watches():
            peer.close()

    def restart_discovery(self, a, b, c):
        self.discovery.restart()
        if a & 1:
            self.change_servers(a, b, c)

    def corrupt_entry(self, a, b, c):
        draw = Draw(bytes([a, b, c]))
        value = draw.unusual_value()
        # The simulated peer's JSON encoder has no larger integers.
        if type(value) is not int or abs(value) < 1 << 63:
            self.discovery.corrupt_fields = {
                draw.choice(("state", "boot_ms", "capacity_hint", "az")): value
            }
        self.change_servers(a, b, c)

    def connect_collector(self, a, b, c):
        connection = self.simulation.connect_collector(("a", "b", "z", None)[a % 4])
        if a % 4 < 2 and not connection.ended:
            for k in range(b % 8):
                feed(
                    connection,
                    encode(
                        "LOAD",
                        "az",
                        "a",
                        "host",
                        SERVERS[(b + k) % 6],
                        "n",
                        str(c),
                        "bad",
                        str(c // 2),
                        "avg",
                        "40.5",
                        "window",
                        "1000.0",
                        "report",
                        "inflight:1",
                    ),
                )

    def flood_connections(self, a, b, c):
        for _ in range(a % 40):
            connection = self.simulation.connect_collector(None)
            if not connection.ended:
                feed(
                    connection,
                    (b"", b"*", b"*1\r\n$4\r\nPI", b"GET / HTTP/1.1\r\n", encode("PING"))[b % 5],
                )
        self.simulation.run_for(c)

    def disconnect_client(self, a, b, c):
        if self.simulation.clients:
            self.simulation.clients[a % len(self.simulation.clients)].close("reset")

    def set_health_check_reply(self, a, b, c):
        self.simulation.health_check_reply = (
            "ok",
            "full",
            "garbage",
            "truncated",
            "refused",
            "absent",
            "silent",
        )[a % 7]
        self.simulation.run_for(b * 4.0)

    def change_addresses(self, a, b, c):
        self.addresses = ADDRESSES[a % 3]
        new_config = config.read_config(
            raw_config(known=complete_list(*SERVERS), **self.addresses), {}
        )
        self.assigner.reload(new_config)
        if b & 1:
            # The connections to the old addresses close shortly afterwards.
            self.simulation.run_for(c * 2.0)
            for connection in [
                open_connection
                for open_connection in self.event_loop.connections
                if not open_connection.ended
                and open_connection.peer.name in ("relay_watch", "relay", "discovery")
            ]:
                if connection.address[0] != self.addresses["distributor"]["address"].split(":")[0]:
                    connection.close("reset")

    def refuse_connections(self, a, b, c):
        self.simulation.refused_ports = {6400, 8500} if a & 1 else set()
        self.simulation.run_for(b * 4.0)
        self.simulation.refused_ports = set()


CALL_STEPS = (
    PeerFaults.set_call_outcome,
    PeerFaults.cause_orders,
    PeerFaults.break_relay_calls,
    PeerFaults.wait,
    PeerFaults.relay_down,
)
WATCH_STEPS = (
    PeerFaults.break_relay_watches,
    PeerFaults.reconnect_proxy,
    PeerFaults.reassign_slice,
    PeerFaults.repeat_notifications,
    PeerFaults.wait,
    PeerFaults.relay_down,
    PeerFaults.delay_table_entries,
    PeerFaults.cause_orders,
)
LIST_STEPS = (
    PeerFaults.change_servers,
    PeerFaults.break_discovery_watches,
    PeerFaults.discovery_down,
    PeerFaults.restart_discovery,
    PeerFaults.corrupt_entry,
    PeerFaults.add_server,
    PeerFaults.wait,
)
CLIENT_STEPS = (
    PeerFaults.connect_collector,
    PeerFaults.flood_connections,
    PeerFaults.disconnect_client,
    PeerFaults.wait,
    PeerFaults.stall,
    PeerFaults.set_health_check_reply,
)
RELOAD_STEPS = (
    PeerFaults.change_addresses,
    PeerFaults.refuse_connections,
    PeerFaults.set_call_outcome,
    PeerFaults.change_servers,
    PeerFaults.reconnect_proxy,
    PeerFaults.break_relay_watches,
    PeerFaults.reassign_slice,
    PeerFaults.wait,
)
ALL_STEPS = tuple(
    dict.fromkeys(CALL_STEPS + WATCH_STEPS + LIST_STEPS + CLIENT_STEPS + RELOAD_STEPS)
)


def step_seeds(steps) -> list:
    """Two inputs for each step by itself, and one with all steps in turn."""
    single_steps = [
        bytes([k, a, a * 7 % 256, a * 13 % 256]) * 2 for k in range(len(steps)) for a in (1, 10)
    ]
    return single_steps + [bytes(x for k in range(len(steps)) for x in (k, 3 + k, 5 * k, 40))]


def register_faults(name, description, steps, covers, **limits):
    @register(
        name=name,
        description=description,
        seeds=lambda: step_seeds(steps),
        covers=covers,
        engine="hypothesis",
        step_size=4,
        max_size=96,
    )
    def run(data):
        PeerFaults(steps, **limits).run(data)


register_faults(
    "calls",
    "calls to the relay with every outcome in any order",
    CALL_STEPS,
    ("net/relay_client", "net/unresolved_call", "net/order_queue"),
)
register_faults(
    "turns",
    "watch events on two streams that break, are delayed and repeat messages",
    WATCH_STEPS,
    ("net/relay_watch", "net/relay_stream", "net/slice_assignments", "net/relay_client"),
    relay_watch_count=2,
)
register_faults(
    "lists",
    "changes of the endpoint list and its version over watches that break",
    LIST_STEPS,
    ("net/discovery",),
)
register_faults(
    "list_checks",
    "the same with an endpoint list over the bandwidth budget, which is checked by version",
    LIST_STEPS,
    ("net/discovery", "net/list_pace", "net/list_queries"),
    discovery_bytes_per_s=50.0,
)
register_faults(
    "callers",
    "collectors, unidentified clients, floods of connections and health checks",
    CLIENT_STEPS,
    ("net/collectors", "net/health_checks"),
    max_clients=24,
    max_connections=64,
)
register_faults(
    "moves",
    "reloads that change the peers' addresses during other faults",
    RELOAD_STEPS,
    (
        "net/relay_client",
        "net/relay_watch",
        "net/relay_stream",
        "net/slice_assignments",
        "net/discovery",
    ),
)
register_faults(
    "world",
    "the steps of all these targets together",
    ALL_STEPS,
    ("net", "policy"),
    relay_watch_count=2,
)


@register(
    name="deadlines",
    description="deadlines added, cancelled and due in any order, compared with a sorted list",
    seeds=lambda: [bytes([0, 9, 0, 3, 2, 5, 1, 0, 2, 20]), bytes([0, 1, 1, 0] * 60 + [2, 9])],
    covers=("net/deadlines",),
    step_size=2,
    max_size=400,
)
def deadlines(data):
    draw = Draw(data)
    queue = DeadlineQueue()
    expected = []
    fired = []
    now = 0.0
    handles = []
    serial = 0
    while not draw.exhausted:
        kind = draw.below(4)
        value = draw.byte()
        if kind in (0, 3):
            at = now + value % 32 * (1 if kind == 0 else 0.25)
            handles.append(queue.add(at, lambda k=serial: fired.append(k)))
            expected.append((at, serial))
            serial += 1
        elif kind == 1 and handles:
            cancelled = value % len(handles)
            queue.cancel(handles[cancelled])
            queue.cancel(handles[cancelled])  # cancelling twice has no further effect
            expected = [p for p in expected if p[1] != cancelled]
        else:
            now += value % 16
            due = sorted(p for p in expected if p[0] <= now)
            expected = [p for p in expected if p[0] > now]
            fired.clear()
            for callback in queue.pop_due(now):
                callback()
            check(fired == [k for _, k in due], "due", fired, "instead of", due)
        first = min(expected)[0] if expected else None
        check(queue.next_at_ms() == first, "the first is", queue.next_at_ms(), "not", first)
        check(
            len(queue.heap) <= 2 * len(expected) + 130, len(queue.heap), "kept for", len(expected)
        )


@register(
    name="slots",
    description="numbered slots compared with a dict",
    covers=("net/slots",),
    step_size=2,
    max_size=200,
    seeds=lambda: [bytes([0, 0] * 6 + [1, 2, 1, 2, 0, 0]), bytes([1, 0, 0, 1, 0, 2])],
)
def slots(data):
    draw = Draw(data)
    table = SlotTable(5)
    acquired = {}
    while not draw.exhausted:
        if draw.flag():
            number = draw.below(5)
            table.release(number)
            acquired.pop(number, None)
        else:
            item = object()
            number = table.acquire(item)
            check(
                (number is None) == (len(acquired) == 5),
                "slot",
                number,
                "with",
                len(acquired),
                "in use",
            )
            if number is not None:
                check(number not in acquired, "slot", number, "was acquired twice")
                acquired[number] = item
            draw.byte()
        check(len(table) == len(acquired) and set(table) == set(acquired.values()), "slots differ")


@register(
    name="events",
    description="valid events are processed and reconciliation goes on beside failing events",
    covers=("net/assigner",),
    seeds=lambda: [bytes([0, 1, 2, 3] * 4), bytes([3, 3, 0, 0] * 3), bytes([1, 0] * 8)],
    step_size=2,
    max_size=40,
)
def events(data):
    draw = Draw(data)
    reconciliations = [0]
    fails_at_first = draw.flag()  # the very first reconciliation fails

    def wrap_reconcile(assigner):
        reconcile = assigner.registry.controller.reconcile

        def failing_reconcile(now, events):
            reconciliations[0] += 1
            if any(isinstance(e, core.HealthCheckResult) and e.outcome == "odd" for e in events):
                raise ZeroDivisionError("drawn")
            orders = reconcile(now, events)
            if fails_at_first and reconciliations[0] == 1:
                raise ZeroDivisionError("drawn, its orders are lost")
            return orders

        assigner.registry.controller.reconcile = failing_reconcile

    peer_faults = PeerFaults((PeerFaults.wait,), wrap_reconcile)
    assigner = peer_faults.assigner
    server = assigner.registry.server("s1")
    while not draw.exhausted:
        kind = draw.below(4)
        number = draw.byte() % 6
        if kind < 2:
            assigner.notify(core.HealthCheckResult(server, "odd", 1.0))
        if kind > 0:
            peer_faults.relay.disconnect_proxy(
                number
            ) if number in peer_faults.relay.connected_proxies else peer_faults.relay.connect_proxy(
                number
            )
        peer_faults.simulation.run_for(40)
    # Reconciliation goes on without new events, and the events beside the failing ones took effect.
    count_before = reconciliations[0]
    peer_faults.simulation.run_for(SETTLE_MS)
    check(
        reconciliations[0] - count_before > 20,
        "only",
        reconciliations[0] - count_before,
        "reconciliations after failed ones",
    )
    check(not peer_faults.simulation.disagreements(), *peer_faults.simulation.disagreements())
