"""The protocol's words to events and orders to its words; the protocol's names stop here."""
import orjson

from .. import interface as core
from ..config import Config
from ..door import Door
from ..fields import NUMBER, FieldError, clip, take, word

STATES = {"in_service": "ready", "terminating": "draining", "terminated": "gone"}
LOADS = {"util": "busy", "qps": "answers", "inflight": "held", "queue": "waiting", "latency_ms": "service",
         "eps": "errors"}
UNKNOWN = -1  # a zone or class that the settings do not name


def text(part) -> str:
    return str(part, "utf-8", "replace")


def number(told, name: str, least: float = 0.0) -> float:
    try:
        made = float(told)
    except ValueError:
        raise FieldError(f"field '{name}' is no number: {clip(told)}") from None
    if not least <= made < 1e15:
        raise FieldError(f"field '{name}' is out of range: {clip(told)}")
    return made


def whole(told, name: str) -> int:
    if not told.isdigit() or len(told) > 15:
        raise FieldError(f"field '{name}' is no whole number: {clip(told)}")
    return int(told)


def read_load(told: str) -> dict:
    """`inflight:7,util:0.61` of a collector or `TEXT inflight=7, queue=2` of a server; unknown names are skipped."""
    told = told.strip().removeprefix("TEXT ")
    made = {}
    for pair in told.split(","):
        name, _, value = pair.replace("=", ":").strip().partition(":")
        if name in LOADS:
            made[LOADS[name]] = number(value.strip(), name)
    return made


class Messages:
    """Reads and writes for one door; it keeps which ids the settings and the list allow."""

    def __init__(self, config: Config, door: Door, wall):
        """`wall()`: what to add to Unix milliseconds to get the clock's."""
        words = config.words
        self.door, self.wall, self.settings = door, wall, config.settings
        self.zones = {name: k for k, name in enumerate(words["zones"])}
        self.classes = {name: k for k, name in enumerate(words["classes"])}
        self.kinds = {name: k for k, name in enumerate(words["kinds"])}
        self.names, self.proxies = words["classes"], words["proxies"] or 65536
        self.endpoints, self.started = {}, {}  # of servers, by their objects

    # From collectors

    def report(self, parts: list):
        """The event of a LOAD or SHARD; None where it is of something unknown."""
        if len(parts) % 2 == 0:
            raise FieldError("a name without a value")
        told = {text(parts[k]): text(parts[k + 1]) for k in range(1, len(parts), 2)}
        kind = bytes(parts[0])
        if kind == b"LOAD":
            server = self.door.servers.get(take(told, "host", str))
            zone = self.zones.get(take(told, "az", str), UNKNOWN)
            tries, bad = whole(take(told, "n", str), "n"), whole(take(told, "bad", str), "bad")
            event = core.ServerReport(server, zone, tries, min(bad, tries), number(told.get("avg", "0"), "avg"),
                                      number(take(told, "window", str), "window"),
                                      read_load(told.get("report", "")))
            return event if server else None
        if kind == b"SHARD":
            piece, n = whole(take(told, "partition", str), "partition"), whole(take(told, "n", str), "n")
            event = core.SliceReport(None, self.classes.get(take(told, "kind", str), UNKNOWN), n,
                                     whole(take(told, "bad", str), "bad"),
                                     number(take(told, "window", str), "window"))
            if piece not in self.door.slices or event.operation == UNKNOWN:
                return None
            event.slice = self.door.slices[piece]
            return event
        raise FieldError(f"kind '{text(parts[0])[:40]}' is unknown")

    # From discovery

    def members(self, told: dict, scope: str = ""):
        """The event of a list, and its version."""
        version = take(told, "rev", int)
        whole_list = take(told, "all", bool)
        entries, ends = [], []
        for e in take(told, "targets", list):
            ident = take(e, "uid", str)
            ends.append((ident, take(e, "endpoint", str, "")))
            boot = take(e, "boot_ms", NUMBER, 0)
            entries.append(core.Entry(ident, word(e, "state", STATES), boot, self.zones.get(take(e, "az", str), UNKNOWN),
                                      take(e, "pod_group", int, 0),
                                      self.kinds.get(take(e, "model", str, ""), 0),
                                      take(e, "capacity_hint", NUMBER, 1.0)))
        # Only what was read whole reaches the door.
        for entry, (ident, end) in zip(entries, ends):
            entry.server = self.door.server(ident)
            if end:
                self.endpoints[entry.server] = end
            entry.started = self.start(entry.server, entry.started)
        return core.Members(scope or ("whole" if whole_list else "changes"), entries), version

    def start(self, server, boot):
        # The same start is the same time for good: a step of the system's clock would look like a restart.
        known = self.started.get(server)
        if known is None or known[0] != boot:
            known = self.started[server] = (boot, boot + self.wall() if boot else None)
        return known[1]

    # From the relay; None for an id that the settings leave no room for

    def proxy(self, told: dict) -> int | None:
        made = take(told, "sidecar", int)
        return made if 0 <= made < self.proxies else None

    def piece(self, told: dict) -> int | None:
        made = take(told, "partition", int)
        return made if 0 <= made < self.settings.slices else None

    # To the relay

    def order(self, order):
        """The order's key, which a newer order for the same thing shares, and its words; None: not for the relay."""
        match order:
            case core.Line():
                return (("line", order.slice.id, order.server.id),
                        {"op": "SET", "table": order.slice.id, "host": order.server.id, "share": order.weight})
            case core.Clear():
                return ("clear", order.slice.id), {"op": "DEL", "table": order.slice.id}
            case core.Withdraw():
                return ("out", order.server.id), {"op": "OUT" if order.out else "IN", "host": order.server.id}
            case core.Tries():
                routes = [name for k, name in enumerate(self.names) if order.classes >> k & 1 or not order.classes]
                return (("tries", *routes),
                        {"op": "LIMIT", "routes": routes, "admit": order.level, "policy": order.further})
            case core.Mark():
                return ("mark",), {"op": "SYNC", "nonce_out": order.number, "yes": int(order.everyone)}
        return None


def call(number: int, method: str, orders: list | None = None) -> bytes:
    made = {"jsonrpc": "2.0", "id": number, "method": method}
    if orders is not None:
        made["params"] = {"orders": orders}
    return orjson.dumps(made, option=orjson.OPT_APPEND_NEWLINE)
