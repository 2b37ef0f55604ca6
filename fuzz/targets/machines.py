"""State machines in the test's own time: drawn troubles, then rest, then everybody must agree.

An input is a program of steps of four bytes: what, and three that say how. Each target draws from
its own part of the steps, so that short programs go deep; `world` draws from all of them."""

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
from .world import known, listed, raw_config

SERVERS = [f"s{k}" for k in range(1, 7)]
ADDRESSES = [
    {"distributor": {"address": f"127.0.0.{k}:6400"}, "discovery": f"127.0.0.{k}:8500"}
    for k in (1, 2, 3)
]
REST = 9000.0  # ms of quiet after which all must agree
SPAN = 12_000.0  # ms of troubles at the most
SLOTS, DEADLINES = (
    8,
    50,
)  # at rest: streams, beside a probe a server; what hangs on them and the decisions' reminders


class Play:
    """One program over one world; `steps` are the methods that its target may draw."""

    def __init__(self, steps, before=lambda assigner: None, **limits):
        self.world = Simulation(
            self.make,
            {piece: {SERVERS[piece % 6]: 1.0} for piece in range(8)},
            {name: listed(name) for name in SERVERS},
            **limits,
        )
        self.assigner, self.hub, self.steps = self.world.assigner, self.world.event_loop, steps
        self.relay, self.registry, self.number = self.world.relay, self.world.discovery, 0
        self.began, self.addresses, self.spoilt = self.hub.time, ADDRESSES[0], False
        self.check_retries()
        before(self.assigner)
        self.assigner.start()
        self.world.run_for(1500)

    def make(self, hub):
        return Assigner(config.read_config(raw_config(known=known(*SERVERS)), {}), hub)

    def check_retries(self):
        """A call that may have changed tables is not retried before a snapshot was compared."""
        relay = self.assigner.relay
        resolve = relay.call_resolved

        def call_resolved(orders, carried_out):
            event, fields = self.hub.logged[-1]
            if not carried_out and not (event == "call_compared" and fields["tables"]):
                known = relay.watch.slices.tables
                expected = {s: dict(known[s]) for s in changed_slices(orders) if s in known}
                for order in orders.values():
                    apply_order(expected, order)
                changed = [s for s in expected if not tables_match(expected[s], known[s])]
                check(not changed, "retried without a snapshot: slices", changed)
            resolve(orders, carried_out)

        relay.call_resolved = call_resolved

    def run(self, data):
        draw = Draw(data)
        while not draw.exhausted and self.hub.time - self.began < SPAN:
            step, a, b, c = draw.choice(self.steps), draw.byte(), draw.byte(), draw.byte()
            step(self, a, b, c)
            self.world.event_loop.run()
            check(not self.hub.counters.get("failures"), "a failure:", self.hub.logged[-3:])
        self.rest()

    def rest(self):
        self.relay.call_outcome, self.relay.down, self.registry.down = "answered", False, False
        self.world.health_check_reply, self.world.refused_ports = "ok", set()
        # More is said each second than a slow connection brings: it would never come to rest.
        for peer in self.relay.open_watches():
            peer.deliver_delayed()
        self.registry.change(**{name: {"state": "in_service"} for name in SERVERS})
        for connection in self.world.clients:
            connection.close("over")
        self.world.run_for(REST)
        wrong = self.world.disagreements()
        if wrong and not self.spoilt:
            # What is drawn may end just before a stream's silence is noticed: once more, and no
            # further.
            self.world.run_for(REST)
            wrong = self.world.disagreements()
        check(not wrong, *wrong[:4])
        failed = [
            told for told in self.hub.logged if told[0] in ("failure", "reconciliation_failed")
        ]
        check(not failed, "a failure:", failed[:2])
        ended = [c for c in self.assigner.collectors.clients if c.connection.ended]
        check(not ended, len(ended), "callers hold a place though they have ended")
        slots, deadlines = (
            len(self.hub.slots),
            sum(d.callback is not None for d in self.hub.deadlines.heap),
        )
        check(
            slots <= SLOTS + len(self.assigner.registry.servers),
            slots,
            "slots in use at rest:",
            [c.peer.name for c in self.hub.slots],
        )
        check(deadlines <= DEADLINES, deadlines, "deadlines at rest")
        check(
            self.assigner.discovery.version == self.registry.version,
            "the list is of version",
            self.assigner.discovery.version,
            "not",
            self.registry.version,
        )
        states = {
            s.id: s.state for s in self.assigner.registry.controller.servers if s.id in SERVERS
        }
        check(set(states.values()) == {"ready"}, "servers are", states)

    # Steps

    def wait(self, a, b, c):
        self.world.run_for((a + 1) * (1, 4, 16)[b % 3])

    def stand_still(self, a, b, c):
        self.world.stall(a * 8.0)
        self.world.run_for(50)

    def ending(self, a, b, c):
        self.relay.call_outcome = CALL_OUTCOMES[a % len(CALL_OUTCOMES)]
        self.world.run_for(b * 4.0)

    def orders(self, a, b, c):
        """Orders of its own beside the decisions': moves that a change of the list brings about."""
        self.servers(a, b, c)
        self.world.run_for(c)

    def away(self, a, b, c):
        self.relay.down = bool(a & 1)
        for peer in self.relay.peers if b & 1 else ():
            peer.silent = peer.silent or self.relay.down
        self.world.run_for(c * 8.0)
        self.relay.down = False

    def cut_news(self, a, b, c):
        live = self.relay.open_watches()
        for peer in live if a & 1 else live[:1]:
            if b % 4 == 0:
                peer.silent = True
            elif b % 4 == 1:
                feed(peer.connection, b'{"jsonrpc":"2.0","method":"ROW","par')
                peer.close()
            elif b % 4 == 2:
                feed(peer.connection, b"\x00garbage\n")
            else:
                peer.close("ended" if c & 1 else "reset")

    def cut_calls(self, a, b, c):
        for peer in [
            p
            for p in self.relay.peers
            if not p.connection.ended and p.connection.peer.name == "relay"
        ]:
            peer.close("ended" if a & 1 else "reset")

    def proxy(self, a, b, c):
        proxy = a % 6
        if b % 4 == 0 or proxy in self.relay.connected_proxies:
            self.relay.disconnect_proxy(proxy)
        if b % 4 != 1:
            self.relay.connect_proxy(proxy)

    def custody(self, a, b, c):
        piece = a % 8
        self.relay.unassign_slice(piece)
        if b % 4 == 3:
            self.world.run_for(c)
        lines = {SERVERS[b % 6]: 1.0} | ({SERVERS[c % 6]: 0.02} if c & 8 else {})
        self.relay.assign_slice(piece, {} if c == 255 else lines)

    def again(self, a, b, c):
        """What was told is told again, or late: it must change nothing."""
        live = self.relay.open_watches()
        if not live:
            return
        if a % 3 == 0:
            for proxy in sorted(self.relay.connected_proxies):
                self.relay.notify(
                    "ACK", live[0], sidecar=proxy, version=(b << 8 | c) % 65536, lag_ms=1.0
                )
        elif a % 3 == 1 and self.relay.assigned_slices:
            self.relay.send_table(
                sorted(self.relay.assigned_slices)[b % len(self.relay.assigned_slices)]
            )
        else:
            self.relay.notify("CLOSED", sidecar=7)
            self.relay.notify("GRANT", partition=99, yes=True)

    def late_rows(self, a, b, c):
        """A grant whose lines come late, one by one, and all behind them as well: bytes held up on
        their way."""
        piece, live = a % 8, self.relay.open_watches()
        if not live or piece not in self.relay.assigned_slices:
            return
        self.relay.notify("GRANT", live[0], partition=piece, yes=True)
        live[0].delay_messages((1 + b) * 3.0)
        for host, share in self.relay.store[piece].items():
            self.relay.notify("ROW", live[0], partition=piece, host=host, share=share)
        self.world.run_for(c)

    def servers(self, a, b, c):
        names = [SERVERS[a % 6]] + ([SERVERS[b % 6]] if b & 8 else [])
        state = ("terminating", "in_service", "terminated", "terminating")[c % 4]
        more = {"boot_ms": round(5000 + self.hub.time)} if c & 4 else {}
        self.registry.change(**{n: {"state": state, **more} for n in names})

    def strange_server(self, a, b, c):
        self.number += 1
        name = f"g{self.number}"
        self.registry.change(**{name: listed(name, ("in_service", "terminating")[a & 1])})
        if b & 1:
            self.world.run_for(c * 4.0)
            self.registry.change(**{name: {"state": "terminated"}})

    def cut_list(self, a, b, c):
        live = self.registry.open_watches()
        for peer in live if a & 1 else live[:1]:
            if b % 3 == 0:
                peer.silent = True
            else:
                peer.close("ended" if b % 3 == 1 else "reset")

    def list_away(self, a, b, c):
        self.registry.down = bool(a & 1)
        self.servers(b, c, a >> 1)
        self.world.run_for(b * 8.0)
        self.registry.down = False
        for peer in self.registry.open_watches():
            peer.close()

    def list_anew(self, a, b, c):
        self.registry.restart()
        if a & 1:
            self.servers(a, b, c)

    def spoilt_entry(self, a, b, c):
        draw = Draw(bytes([a, b, c]))
        odd = draw.unusual_value()
        if type(odd) is not int or abs(odd) < 1 << 63:  # the stand-in's JSON has no longer ones
            self.registry.corrupt_fields = {
                draw.choice(("state", "boot_ms", "capacity_hint", "az")): odd
            }
        self.servers(a, b, c)

    def collector(self, a, b, c):
        connection = self.world.connect_collector(("a", "b", "z", None)[a % 4])
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

    def flood(self, a, b, c):
        for _ in range(a % 40):
            connection = self.world.connect_collector(None)
            if not connection.ended:
                feed(
                    connection,
                    (b"", b"*", b"*1\r\n$4\r\nPI", b"GET / HTTP/1.1\r\n", encode("PING"))[b % 5],
                )
        self.world.run_for(c)

    def gone_caller(self, a, b, c):
        if self.world.clients:
            self.world.clients[a % len(self.world.clients)].close("reset")

    def probes(self, a, b, c):
        self.world.health_check_reply = (
            "ok",
            "full",
            "garbage",
            "truncated",
            "refused",
            "absent",
            "silent",
        )[a % 7]
        self.world.run_for(b * 4.0)

    def move(self, a, b, c):
        self.addresses = ADDRESSES[a % 3]
        made = config.read_config(raw_config(known=known(*SERVERS), **self.addresses), {})
        self.assigner.reload(made)
        if b & 1:
            # The old addresses are closed a moment later.
            self.world.run_for(c * 2.0)
            for connection in [
                x
                for x in self.hub.connections
                if not x.ended and x.peer.name in ("relay_watch", "relay", "discovery")
            ]:
                if connection.address[0] != self.addresses["distributor"]["address"].split(":")[0]:
                    connection.close("reset")

    def refused(self, a, b, c):
        self.world.refused_ports = {6400, 8500} if a & 1 else set()
        self.world.run_for(b * 4.0)
        self.world.refused_ports = set()


CALLS = (Play.ending, Play.orders, Play.cut_calls, Play.wait, Play.away)
TURNS = (
    Play.cut_news,
    Play.proxy,
    Play.custody,
    Play.again,
    Play.wait,
    Play.away,
    Play.late_rows,
    Play.orders,
)
LISTS = (
    Play.servers,
    Play.cut_list,
    Play.list_away,
    Play.list_anew,
    Play.spoilt_entry,
    Play.strange_server,
    Play.wait,
)
CALLERS = (Play.collector, Play.flood, Play.gone_caller, Play.wait, Play.stand_still, Play.probes)
MOVES = (
    Play.move,
    Play.refused,
    Play.ending,
    Play.servers,
    Play.proxy,
    Play.cut_news,
    Play.custody,
    Play.wait,
)
ALL = tuple(dict.fromkeys(CALLS + TURNS + LISTS + CALLERS + MOVES))


def programs(steps) -> list:
    """One seed for each step alone, and one of all in turn."""
    alone = [
        bytes([k, a, a * 7 % 256, a * 13 % 256]) * 2 for k in range(len(steps)) for a in (1, 10)
    ]
    return alone + [bytes(x for k in range(len(steps)) for x in (k, 3 + k, 5 * k, 40))]


def play(name, about, steps, covers, **limits):
    @register(
        name=name,
        description=about,
        seeds=lambda: programs(steps),
        covers=covers,
        engine="hypothesis",
        step_size=4,
        max_size=96,
    )
    def run(data):
        Play(steps, **limits).run(data)


play(
    "calls",
    "calls to the relay, every ending in every order",
    CALLS,
    ("net/relay_client", "net/unresolved_call", "net/order_queue"),
)
play(
    "turns",
    "the relay's news on two streams that break, come late and repeat",
    TURNS,
    ("net/relay_watch", "net/relay_stream", "net/slice_assignments", "net/relay_client"),
    relay_watch_count=2,
)
play(
    "lists",
    "discovery's versions back and forth over watches that break",
    LISTS,
    ("net/discovery",),
)
play(
    "list_checks",
    "the same where the list is too large for its budget and checked by version",
    LISTS,
    ("net/discovery", "net/list_pace", "net/list_queries"),
    discovery_bytes_per_s=50.0,
)
play(
    "callers",
    "collectors, strangers, floods and probes",
    CALLERS,
    ("net/collectors", "net/health_checks"),
    max_clients=24,
    max_connections=64,
)
play(
    "moves",
    "reloads to other addresses in the middle of everything",
    MOVES,
    (
        "net/relay_client",
        "net/relay_watch",
        "net/relay_stream",
        "net/slice_assignments",
        "net/discovery",
    ),
)
play("world", "all of it at once", ALL, ("net", "policy"), relay_watch_count=2)


@register(
    name="deadlines",
    description="deadlines added, dropped and due in any order, against a sorted list",
    seeds=lambda: [bytes([0, 9, 0, 3, 2, 5, 1, 0, 2, 20]), bytes([0, 1, 1, 0] * 60 + [2, 9])],
    covers=("net/deadlines",),
    step_size=2,
    max_size=400,
)
def deadlines(data):
    draw, made, plain, rung, now = Draw(data), DeadlineQueue(), [], [], 0.0
    handles, serial = [], 0
    while not draw.exhausted:
        kind, value = draw.below(4), draw.byte()
        if kind in (0, 3):
            at = now + value % 32 * (1 if kind == 0 else 0.25)
            handles.append(made.add(at, lambda k=serial: rung.append(k)))
            plain.append((at, serial))
            serial += 1
        elif kind == 1 and handles:
            gone = value % len(handles)
            made.cancel(handles[gone])
            made.cancel(handles[gone])  # twice is once
            plain = [p for p in plain if p[1] != gone]
        else:
            now += value % 16
            due = sorted(p for p in plain if p[0] <= now)
            plain = [p for p in plain if p[0] > now]
            rung.clear()
            for call in made.pop_due(now):
                call()
            check(rung == [k for _, k in due], "due", rung, "in place of", due)
        first = min(plain)[0] if plain else None
        check(made.next_at_ms() == first, "the first is", made.next_at_ms(), "not", first)
        check(len(made.heap) <= 2 * len(plain) + 130, len(made.heap), "kept for", len(plain))


@register(
    name="slots",
    description="numbered slots against a plain set",
    covers=("net/slots",),
    step_size=2,
    max_size=200,
    seeds=lambda: [bytes([0, 0] * 6 + [1, 2, 1, 2, 0, 0]), bytes([1, 0, 0, 1, 0, 2])],
)
def slots(data):
    draw, made, held = Draw(data), SlotTable(5), {}
    while not draw.exhausted:
        if draw.flag():
            number = draw.below(5)
            made.release(number)
            held.pop(number, None)
        else:
            item = object()
            number = made.acquire(item)
            check((number is None) == (len(held) == 5), "slot", number, "with", len(held), "held")
            if number is not None:
                check(number not in held, "slot", number, "was given twice")
                held[number] = item
            draw.byte()
        check(len(made) == len(held) and set(made) == set(held.values()), "slots differ")


@register(
    name="events",
    description="a turn's failing events beside good ones: the good ones count, the look goes on",
    covers=("net/assigner",),
    seeds=lambda: [bytes([0, 1, 2, 3] * 4), bytes([3, 3, 0, 0] * 3), bytes([1, 0] * 8)],
    step_size=2,
    max_size=40,
)
def events(data):
    draw, turns = Draw(data), [0]
    early = draw.flag()  # the first turn of all may be the one that fails

    def before(assigner):
        right = assigner.registry.controller.reconcile

        def turn(now, events):
            turns[0] += 1
            if any(isinstance(e, core.HealthCheckResult) and e.outcome == "odd" for e in events):
                raise ZeroDivisionError("drawn")
            orders = right(now, events)
            if early and turns[0] == 1:
                raise ZeroDivisionError("drawn, and its orders with it")
            return orders

        assigner.registry.controller.reconcile = turn

    play_ = Play((Play.wait,), before)
    assigner = play_.assigner
    server = assigner.registry.server("s1")
    while not draw.exhausted:
        kind, number = draw.below(4), draw.byte() % 6
        if kind < 2:
            assigner.notify(core.HealthCheckResult(server, "odd", 1.0))
        if kind > 0:
            play_.relay.disconnect_proxy(
                number
            ) if number in play_.relay.connected_proxies else play_.relay.connect_proxy(number)
        play_.world.run_for(40)
    # It looks again without news, and what stood beside the failing ones was taken in.
    before = turns[0]
    play_.world.run_for(REST)
    check(turns[0] - before > 20, "only", turns[0] - before, "turns after failed ones")
    check(not play_.world.disagreements(), *play_.world.disagreements())
