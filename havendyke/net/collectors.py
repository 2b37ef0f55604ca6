"""Connections that others open to the assigner.

Collectors send load reports; anybody may ask whether the assigner is alive.
"""

from __future__ import annotations

from collections.abc import Callable

from ..fields import FieldError
from ..interface import ServerLoadReport, SliceLoadReport
from .connection import MAX_LOGGED_FIELD_CHARS, Connection
from .event_loop import EventLoop
from .messages import Messages
from .resp import RespParser, encode
from .timer import Timer
from .wire_fields import decode_text

PONG = encode("PONG")
NACK = encode("NACK")
MAX_QUOTED_KIND_CHARS = 40

Message = list[memoryview | None]
NotifyReport = Callable[[ServerLoadReport | SliceLoadReport], None]


class Client:
    """One connection: unidentified until it names its zone, a collector from then on.

    A malformed message of a collector costs that message alone. An unidentified client is closed
    for it, and after a time whatever it sends: with pings alone it could stay for good.
    """

    name = "clients"

    def __init__(self, collectors: Collectors) -> None:
        """The connection is set by `Collectors.accept`."""
        self.zone: str | None = None
        self.connection: Connection
        self._collectors = collectors
        self._event_loop = collectors.event_loop
        self._parser: RespParser
        self._identify_timer = Timer(self._event_loop, self._close_unidentified)
        self._silence_timer = Timer(self._event_loop, self._check_silence)

    def opened(self, connection: Connection) -> None:
        """Begins to wait for the client's zone."""
        limits = self._event_loop.limits
        self._parser = RespParser(connection.buffer, limits.max_unidentified_message_bytes)
        self._identify_timer.start(limits.identify_timeout_ms)

    def received(self, connection: Connection) -> None:
        """Takes all messages that are complete."""
        while not connection.ended and (message := self._parser.next()) is not None:
            try:
                self._take_message(message)
            except ValueError as error:
                self._reject_message(error)

    def closed(self, connection: Connection, why: str) -> None:
        """Gives up its place among the clients."""
        self._identify_timer.cancel()
        self._silence_timer.cancel()
        if self in self._collectors.clients:
            self._collectors.clients.remove(self)
        if self.zone is not None:
            self._event_loop.log("collector_disconnected", zone=self.zone, why=why)

    def _take_message(self, message: Message) -> None:
        kind = _kind(message)
        if kind == b"PING":
            self._event_loop.count("pings")
            self.connection.write(PONG)
        elif kind == b"SOURCE":
            self._identify(self._collectors.messages.reports.zone_name(message))
        elif self.zone is None:
            quoted = decode_text(kind)[:MAX_QUOTED_KIND_CHARS]
            raise FieldError(f"kind '{quoted}' before a joining")
        else:
            report = self._collectors.messages.reports.decode(message)
            name = decode_text(kind).lower()
            self._event_loop.count(f"reports_{name}" if report else "reports_unknown")
            if report is not None:
                self._collectors.notify(report)

    def _reject_message(self, error: ValueError) -> None:
        self._event_loop.count("bad_reports" if self.zone else "clients_rejected")
        self._event_loop.log(
            "bad_report" if self.zone else "client_rejected",
            zone=self.zone,
            field=str(error)[:MAX_LOGGED_FIELD_CHARS],
        )
        if self.zone is None:
            self._reject()

    def _reject(self) -> None:
        self.connection.write(NACK)
        # A client that is rejected stays no longer than one that says nothing.
        time_left_ms = self._identify_timer.at_ms - self._event_loop.now()
        linger_ms = min(self._event_loop.limits.linger_ms, time_left_ms)
        self.connection.close("refused", linger_ms)

    def _identify(self, zone: str) -> None:
        self.zone = zone
        self._parser.max_message_bytes = self._event_loop.limits.max_message_bytes
        self._identify_timer.cancel()
        self._check_silence()
        self._event_loop.log("collector_connected", zone=zone)

    def _check_silence(self) -> None:
        # A half-open connection stays silent for good, and its place would never come free.
        limit_ms = self._event_loop.limits.collector_silence_timeout_ms
        silent_ms = self._event_loop.now() - self.connection.last_received_ms
        if silent_ms >= limit_ms:
            self.connection.close("silent")
        else:
            self._silence_timer.start(limit_ms - silent_ms)

    def _close_unidentified(self) -> None:
        self.connection.close("unidentified")


class Collectors:
    """All clients, at most `limits.max_clients` at a time; a new one takes another's place."""

    def __init__(self, event_loop: EventLoop, messages: Messages, notify: NotifyReport) -> None:
        """`notify` gets each load report."""
        self.event_loop = event_loop
        self.messages = messages
        self.notify = notify
        self.clients: list[Client] = []

    def accept(self) -> Connection:
        """The connection of a new client; closed already where no slot is free."""
        if len(self.clients) >= self.event_loop.limits.max_clients:
            self._evict_client()
        client = Client(self)
        client.connection = self.event_loop.accept(client)
        if not client.connection.ended:
            # Counted before it is up: the loop accepts many before the first of them is.
            self.clients.append(client)
        return client.connection

    def _evict_client(self) -> None:
        """Closes an unidentified client, else the one that has been silent for longest.

        Half-open connections must not keep collectors out.
        """
        last = min(self.clients, key=lambda c: (c.zone is not None, c.connection.last_received_ms))
        last.connection.close("evicted")


def _kind(message: Message) -> bytes:
    """The first word of a message; empty where it has none."""
    first = message[0] if message else None
    return b"" if first is None else bytes(first).upper()
