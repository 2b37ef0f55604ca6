"""What connects to the assigner: collectors with their reports, questions whether it is up, strangers."""
from ..fields import take
from .messages import text
from .resp import Resp, encode

PONG = encode("PONG")


class Caller:
    """One connection of somebody else's making."""

    name = "callers"

    def __init__(self, collectors):
        self.collectors, self.hub = collectors, collectors.hub
        self.connection, self.parser, self.zone = None, None, None
        self.patience = None  # the deadline of a stranger

    def opened(self, connection):
        self.parser = Resp(connection.buffer, self.hub.limits.message)
        self.patience = self.hub.after(self.hub.limits.stranger, lambda: self.connection.close("stranger"))

    def received(self, connection):
        while (parts := self.parser.next()) is not None:
            self.take(parts)

    def take(self, parts):
        kind = bytes(parts[0]).upper()
        if kind == b"PING":
            self.hub.count("pings")
            self.connection.write(PONG)
            self.hub.drop(self.patience)  # no stranger; it gives way only where room is short
        elif kind == b"SOURCE":
            told = {text(parts[k]): text(parts[k + 1]) for k in range(1, len(parts) - 1, 2)}
            self.zone = take(told, "az", str)
            self.hub.drop(self.patience)
            self.hub.log("collector", zone=self.zone[:60])
        else:
            event = self.collectors.messages.report(parts)
            self.hub.count(f"reports_{text(kind).lower()[:12]}" if event else "reports_unknown")
            if event is not None:
                self.collectors.tell(event)

    def closed(self, connection, why):
        self.hub.drop(self.patience)
        if self in self.collectors.callers:
            self.collectors.callers.remove(self)
        if self.zone is not None:
            self.hub.log("collector_lost", zone=self.zone[:60], why=why)


class Collectors:
    def __init__(self, hub, messages, tell):
        self.hub, self.messages, self.tell = hub, messages, tell
        self.callers = []

    def caller(self):
        """For the listener: the connection of a newcomer."""
        if len(self.callers) >= self.hub.limits.callers:
            # Strangers first, then whoever was silent longest: half-open ones must not keep collectors out.
            last = min(self.callers, key=lambda c: (c.zone is not None, c.connection.heard_at))
            last.connection.close("crowded")
        made = Caller(self)
        made.connection = self.hub.accept(made)
        if not made.connection.over:
            # Counted from here on: the loop accepts many before the first of them is up.
            self.callers.append(made)
        return made.connection
