"""Incoming connections: collectors, which send load reports, and clients that only send pings."""

from __future__ import annotations

from collections.abc import Callable

from ..fields import FieldError
from ..interface import ServerLoadReport, SliceLoadReport
from .connection import MAX_LOGGED_FIELD_CHARS, Connection
from .event_loop import EventLoop
from .peer_codecs import PeerCodecs
from .resp import MessageSkippedError, RespParser, encode
from .timer import Timer
from .wire_fields import decode_text

PONG = encode("PONG")
NACK = encode("NACK")
MAX_QUOTED_KIND_CHARS = 40

Message = list[memoryview | None]
NotifyReport = Callable[[ServerLoadReport | SliceLoadReport], None]


class Client:
    """One incoming connection: unidentified until it names its zone, then a collector.

    A malformed message of a collector is discarded, and the connection stays. An unidentified
    client is closed for it, and after a timeout in any case: otherwise it could keep its connection
    forever by pings alone.
    """

    name = "clients"

    def __init__(self, collectors: Collectors) -> None:
        """`Collectors.accept` sets the connection."""
        self.zone: str | None = None
        self.connection: Connection
        self._collectors = collectors
        self._event_loop = collectors.event_loop
        self._parser: RespParser
        self._identify_timer = Timer(self._event_loop, self._close_unidentified)
        self._silence_timer = Timer(self._event_loop, self._check_silence)

    def opened(self, connection: Connection) -> None:
        """Starts the timeout for the client to name its zone."""
        limits = self._event_loop.limits
        self._parser = RespParser(
            connection.buffer, limits.max_unidentified_message_bytes, limits.max_message_parts
        )
        self._identify_timer.start(limits.identify_timeout_ms)

    def handle_next(self, connection: Connection) -> bool:
        """Handles the next message, or skips a part of one; returns whether it did."""
        try:
            message = self._parser.next()
        except MessageSkippedError as error:
            self._reject_message(error)
            return True
        if message is None:
            return self._parser.is_behind
        try:
            self._handle_message(message)
        except ValueError as error:
            self._reject_message(error)
        return True

    def closed(self, connection: Connection, reason: str) -> None:
        """Removes the client."""
        self._identify_timer.cancel()
        self._silence_timer.cancel()
        if self in self._collectors.clients:
            self._collectors.clients.remove(self)
        if self.zone is not None:
            self._event_loop.log("collector_disconnected", zone=self.zone, why=reason)

    def _handle_message(self, message: Message) -> None:
        kind = _message_kind(message)
        if kind == b"PING":
            self._event_loop.count("pings")
            self.connection.write(PONG)
        elif kind == b"SOURCE":
            self._identify(self._collectors.peer_codecs.reports.zone_name(message))
        elif self.zone is None:
            quoted = decode_text(kind)[:MAX_QUOTED_KIND_CHARS]
            raise FieldError(f"message '{quoted}' before the client named its zone")
        else:
            report = self._collectors.peer_codecs.reports.decode(message)
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
        # A rejected client does not stay longer than a silent one.
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
        # A half-open connection stays silent forever and would keep its slot.
        limit_ms = self._event_loop.limits.collector_silence_timeout_ms
        silent_ms = self._event_loop.now() - self.connection.last_received_ms
        if silent_ms >= limit_ms:
            self.connection.close("silent")
        else:
            self._silence_timer.start(limit_ms - silent_ms)

    def _close_unidentified(self) -> None:
        self.connection.close("unidentified")


class Collectors:
    """All clients: `limits.max_clients` at most, beyond which a new one evicts another."""

    def __init__(
        self, event_loop: EventLoop, peer_codecs: PeerCodecs, notify: NotifyReport
    ) -> None:
        """`notify` is called with each load report."""
        self.event_loop = event_loop
        self.peer_codecs = peer_codecs
        self.notify = notify
        self.clients: list[Client] = []

    def accept(self) -> Connection:
        """Creates the connection of a new client, closed already if no slot is free."""
        if len(self.clients) >= self.event_loop.limits.max_clients:
            self._evict_client()
        client = Client(self)
        client.connection = self.event_loop.accept(client)
        if not client.connection.ended:
            # Added before it is established: the loop accepts many before the first of them is.
            self.clients.append(client)
        return client.connection

    def _evict_client(self) -> None:
        """Closes the client that was silent for longest, unidentified clients first.

        Half-open connections must not keep collectors out.
        """
        evicted = min(
            self.clients, key=lambda c: (c.zone is not None, c.connection.last_received_ms)
        )
        evicted.connection.close("evicted")


def _message_kind(message: Message) -> bytes:
    """The kind of a message, its first part in upper case; empty if there is none."""
    kind = message[0] if message else None
    return b"" if kind is None else bytes(kind).upper()
