"""Wire to events, orders to wire. Ids become objects here, nanoseconds become milliseconds."""
import json

from .. import interface as core
from ..rules import Controller

SCOPES = {"Partial": "changes", "Complete": "whole", "Persisted": "stale", "Error": "failed"}
STATES = {"U": "ready", "L": "draining", "D": "gone"}
REPEATS = {"pure": "safe", "token": "keyed", "side_effect": "once"}
OUTCOMES = {"completed": "answered", "errored": "error", "saturated": "full", "overdue": "overdue",
            "refused_conn": "refused", "severed": "reset", "recalled": "overdue", "superseded": "overdue"}
LOADS = {"load_share": "busy", "tps": "answers", "concurrent": "held", "depth": "waiting", "mean_ms": "service",
         "err_ps": "errors"}
NUMBER = (int, float)
SERVICE_WIDE = 65535


class WireError(Exception):
    """The input is not what the wire's page says; the text names the field."""


def take(message, name, kind, default=...):
    value = message.get(name) if isinstance(message, dict) else None
    if value is None:
        if default is ...:
            raise WireError(f"field '{name}' is missing in {clip(message)}")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise WireError(f"field '{name}' has the wrong type in {clip(message)}")
    return value


def clip(message):
    return json.dumps(message)[:120]


def give_in(number, error):
    # The wire wants a failure in the decisions declared, whatever its cause.
    return {"kind": "GIVE_IN", "assignerId": number, "message": f"{type(error).__name__}: {error}"}


def word(message, name, table):
    value = take(message, name, str)
    if value not in table:
        raise WireError(f"field '{name}' has the unknown value '{value}'")
    return table[value]


def ms(message, name, default=...):
    return take(message, name, NUMBER, default if default is ... else default * 1e6) / 1e6


def read_settings(raw):
    family, duty = take(raw, "familyInfo", dict, {}), take(raw, "obligations", dict, {})
    limits = take(raw, "limits", dict, {})
    zonal = take(family, "classOwnZone", list, [])
    classes = [
        core.OperationClass(
            quoted=ms(c, "promise"), patience=ms(c, "hardLimit"), credit=take(c, "worth", NUMBER, 1.0),
            repeat=REPEATS.get(c.get("repeat"), "once"), group=take(c, "group", str, "all"),
            window=ms(c, "window", 0.0), own_zone=k < len(zonal) and bool(zonal[k]))
        for k, c in enumerate(take(raw, "requestClasses", list))]
    return core.Settings(
        classes=classes, controllers=take(raw, "balancers", int, 1),
        zones=len(take(raw, "localities", list, [None])), zone=take(raw, "zone", int, 0),
        slices=take(family, "keyRanges", int, 0), one_owner=take(family, "oneOwner", bool, False),
        lease=ms(family, "lease", 0.0), lingers=ms(family, "lingers", 0.0),
        queue_limit=take(family, "pendingMax", NUMBER, 1e9),
        channel_rate=take(family, "channelRate", NUMBER, 1e9), overhead=take(family, "overhead", NUMBER, 0.0),
        push_delay=ms(family, "pushDelay", 0.0), message_cap=take(family, "updateCap", int, 0),
        message_span=ms(family, "countedOver", 0.0), report_period=ms(family, "interval", 1000.0),
        drain_grace=ms(duty, "drainGrace", 1000.0), cold=ms(duty, "cold", 0.0),
        cold_from=take(duty, "coldFrom", NUMBER, 1.0), overload=take(duty, "overloadFactor", NUMBER, 1e9),
        ask=raw.get("registryMode") == "ask", ask_within=ms(duty, "askWithin", 0.0),
        probes=take(limits, "probes", bool, False), levels=take(family, "throttleBy", str, "none"),
        sized=raw.get("weightKind") in ("nominal", "rough"))


class Door:
    """One instance: its controller, and the ids of what it knows."""

    def __init__(self, number, message):
        self.number = number
        self.controller = Controller(read_settings(take(message, "settings", dict)), take(message, "salt", int))
        self.servers, self.slices, self.proxies = {}, {}, {}
        self.inbox = []

    def one(self, kind, make, number):
        if number not in kind:
            kind[number] = make(number)
        return kind[number]

    def server(self, message):
        return self.one(self.servers, self.controller.server, take(message, "task", str))

    def slice(self, message):
        return self.one(self.slices, self.controller.slice, take(message, "routeTable", int))

    def proxy(self, message):
        return self.one(self.proxies, self.controller.proxy, take(message, "agent", int))

    def load(self, message):
        told = take(message, "feedback", dict, {})
        return {LOADS[name]: take(told, name, NUMBER) for name in told if name in LOADS}

    def read(self, kind, m):
        if kind == "TRAFFIC_REPORT":
            return core.ServerReport(self.server(m), take(m, "az", int), take(m, "count", int),
                                     take(m, "bad", int), ms(m, "latency"), ms(m, "window"), self.load(m))
        if kind == "SLICE_LOAD":
            return core.SliceReport(self.slice(m), take(m, "service", int), take(m, "count", int),
                                    take(m, "bad", int), ms(m, "window"))
        if kind == "REMINDER":
            return core.Reminder(take(m, "ctx", int))
        if kind == "ECHO":
            return core.Probed(self.server(m), word(m, "stateCode", OUTCOMES), ms(m, "latency"), self.load(m))
        if kind == "CAUGHT_UP":
            return core.Answered(self.proxy(m), take(m, "rev", int), ms(m, "latency"))
        if kind == "JOINED":
            return core.Joined(self.proxy(m), take(m, "az", int), take(m, "part", NUMBER),
                               take(m, "active", bool, False))
        if kind == "PARTED":
            return core.Parted(self.proxy(m))
        if kind == "CUSTODY":
            return core.Custody(self.slice(m), take(m, "active", bool))
        if kind == "IN_STORE":
            return core.Stored(self.slice(m), self.server(m), take(m, "part", NUMBER))
        if kind == "MEMBERS":
            return core.Members(word(m, "scope", SCOPES), [self.entry(e) for e in take(m, "items", list, [])])
        if kind in ("INTAKE", "HEARD"):
            return None
        raise WireError(f"field 'kind' has the unknown value '{kind}'")

    def entry(self, e):
        started = take(e, "readyAt", NUMBER, 0)
        return core.Entry(self.server(e), word(e, "health", STATES), started / 1e6 if started else None,
                          take(e, "az", int, 0), take(e, "stripe", int, 0), take(e, "machine", int, 0),
                          take(e, "part", NUMBER, 1.0))

    def write(self, order):
        out = {"kind": None, "assignerId": self.number}
        match order:
            case core.Line():
                out |= {"kind": "LINE", "routeTable": order.slice.id, "task": order.server.id,
                        "part": order.weight}
            case core.Withdraw():
                out |= {"kind": "BENCH", "task": order.server.id, "active": order.out}
            case core.Mark():
                out |= {"kind": "BARRIER", "rev": order.number, "active": order.everyone}
            case core.Probe():
                out |= {"kind": "CHECK", "task": order.server.id}
            case core.Timer():
                out |= {"kind": "TIMER", "ctx": order.tag, "fromNow": round(order.after * 1e6)}
            case core.Tries():
                out |= {"kind": "RATION", "routeTable": SERVICE_WIDE, "only": order.classes,
                        "limit": order.level, "secondTry": order.further}
            case core.Clear():
                out |= {"kind": "WIPE", "routeTable": order.slice.id}
            case core.Bind():
                out |= {"kind": "BIND", "routeTable": order.slice.id, "only": order.classes,
                        "agent": order.proxy.id}
            case core.Follow():
                out |= {"kind": "SUBSCRIBE", "active": True}
            case core.Note():
                out |= {"kind": "PRINT", "message": order.text}
            case _:
                raise TypeError(f"no wire form for {order!r}")
        return out


class Link:
    """Many instances, each behind its own door; nothing passes between doors."""

    def __init__(self):
        self.doors = {}

    def answer(self, line):
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if not isinstance(batch, dict):
            raise WireError("a batch must be an object")
        now, serial = ms(batch, "ts"), take(batch, "serial", int)
        outbox, waiting = [], {}
        for message in take(batch, "inbox", list):
            kind, number = take(message, "kind", str), take(message, "assignerId", int)
            if kind == "BOOT":
                try:
                    self.doors[number] = waiting[number] = Door(number, message)
                except WireError:
                    raise
                except Exception as error:
                    outbox.append(give_in(number, error))
            elif kind == "TEARDOWN":
                self.doors.pop(number, None)
                waiting.pop(number, None)
            elif number in self.doors:
                door = waiting[number] = self.doors[number]
                event = door.read(kind, message)
                if event is not None:
                    door.inbox.append(event)
        for number, door in waiting.items():
            events, door.inbox = door.inbox, []
            try:
                outbox += [door.write(order) for order in door.controller.turn(now, events)]
            except Exception as error:
                outbox.append(give_in(number, error))
        return json.dumps({"serial": serial, "outbox": outbox}, separators=(",", ":"))
