"""Forwarders on xDS streams and one controller: their streams become its events, its orders their
responses. No I/O.

The same registry, the same decisions and rules as on the platform: a stream is a proxy that joined,
an acknowledged mark is `SnapshotAcknowledged`, its end is `Parted`. What is told of a push goes to
every stream; each keeps its own account, and one that refuses or stalls costs the others nothing.
"""

from dataclasses import dataclass, field

from .. import interface as core
from .resources import ENDPOINTS
from .stream import DeltaStream, ResourcesRejected, SnapshotAcknowledged
from .tables import Tables
from .whole import SotwStream


@dataclass(frozen=True)
class Options:
    """`most` bytes of a response; `stall` ms that a response may wait for its answer; `refusals` of
    one stream that are kept for a look."""

    most: int = 1 << 20
    stall: float = 15_000.0
    refusals: int = 20


@dataclass
class Joined:
    """One stream. `since`: when its oldest unanswered response was sent, by type."""

    proxy: object
    stream: object
    known: dict = field(default_factory=dict)  # marks under way, when their push was made
    since: dict = field(default_factory=dict)
    refused: list = field(default_factory=list)


class Forwarders:
    """`addresses(uid)` gives a server's host:port. Calls give what to send as (key, response) and
    whom to close as (key, why); `turn` is for whoever owns the clock."""

    def __init__(self, registry, addresses, options: Options = Options()):
        self.registry, self.tables, self.options = registry, Tables(addresses), options
        self.joined, self.numbers, self.marks = {}, {}, {}
        self.counts = {"joined": 0, "refused": 0, "stalled": 0, "drains_refused": 0}

    def begin(self, lines: dict):
        """All slices are in this controller's charge, with these lines ({slice: {uid: weight}}) at
        first."""
        for number, told in sorted(lines.items()):
            piece = self.registry.slice(number)
            self.registry.pending_events.append(core.SliceAssignment(piece, True))
            self.registry.pending_events += [
                core.SnapshotEntry(piece, self.registry.server(uid), weight)
                for uid, weight in told.items()
            ]
            self.tables.given(number, told, 0)

    def opened(self, key, node: str, zone: int, rate: float, whole: bool = False):
        """A stream whose first request told its node; the same node is the same proxy again."""
        fresh = node not in self.numbers
        proxy = self.registry.proxy(self.numbers.setdefault(node, len(self.numbers)))
        for other in [k for k, j in self.joined.items() if j.proxy is proxy]:
            self.closed(other)  # its old stream is dead, though nobody said so
        made = (SotwStream if whole else DeltaStream)(self.tables.snapshot, self.options.most)
        self.joined[key] = Joined(proxy, made)
        self.counts["joined"] += 1
        self.registry.pending_events.append(core.ProxyConnected(proxy, zone, rate, fresh))

    def closed(self, key):
        gone = self.joined.pop(key, None)
        if gone is not None:
            self.registry.pending_events.append(core.ProxyDisconnected(gone.proxy))

    def asked(self, now: float, key, ask) -> tuple:
        """What a forwarder said: (responses to send, streams to close)."""
        one = self.joined[key]
        one.since.pop(ask.resource_type, None)
        return self.sent(now, key, one, one.stream.handle_request(ask))

    def began(self, now: float, key) -> tuple:
        one = self.joined[key]
        return self.sent(now, key, one, one.stream.begin())

    def sent(self, now, key, one, responses) -> tuple:
        for response in responses:
            one.since.setdefault(response.resource_type, now)
        return [(key, r) for r in responses], self.account(now, key, one)

    def account(self, now, key, one) -> list:
        """What the stream told becomes the controller's events; whether it has to go."""
        told, why = list(one.stream.events), []
        one.stream.events.clear()
        for event in told:
            if type(event) is SnapshotAcknowledged:
                self.registry.pending_events.append(
                    core.PushAcknowledged(
                        one.proxy, event.push_nonce, now - self.marks.get(event.push_nonce, now)
                    )
                )
            elif type(event) is ResourcesRejected:
                self.counts["refused"] += 1
                one.refused = [*one.refused, event][-self.options.refusals :]
                if event.resource_type == ENDPOINTS and set(event.names) & self.tables.out:
                    # It goes on sending to a server that drains, and there is no narrower way to
                    # say it: cut off, it comes back for what stands, or is no longer this
                    # controller's.
                    self.counts["drains_refused"] += 1
                    why.append((key, "refused a drain"))
        return why

    def turn(self, now: float) -> tuple:
        """A turn of the decisions: (orders that are not for forwarders, responses to send, streams
        to close)."""
        orders = self.registry.reconcile(now)
        marks = [o.nonce for o in orders if type(o) is core.RequestAcknowledgement]
        if not marks:
            return orders, [], self.overdue(now)
        self.marks = {m: at for m, at in self.marks.items() if now - at < 60_000.0} | {
            marks[-1]: now
        }
        snapshot, out, close = self.tables.order(orders), [], []
        for key, one in self.joined.items():
            responses, why = self.sent(now, key, one, one.stream.update_snapshot(snapshot))
            out, close = out + responses, close + why
        rest = [
            o
            for o in orders
            if type(o) in (core.StartTimer, core.SendHealthCheck, core.RequestEndpointList)
        ]
        return rest, out, close + self.overdue(now)

    def overdue(self, now) -> list:
        """Streams whose reader stalls: what waits for them is bounded by type, and so is the
        time."""
        late = [
            key
            for key, one in self.joined.items()
            if one.since and now - min(one.since.values()) > self.options.stall
        ]
        self.counts["stalled"] += len(late)
        return [(key, "stalled") for key in late]
