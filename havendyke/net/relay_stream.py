"""One watch at the relay: first everything that stands, then changes, as a state machine.

The relay marks neither the end of what stands nor the end of a slice's table. They are taken for
complete once nothing more has come for a moment.
"""

from enum import Enum, auto
from typing import Any, Protocol

from ..fields import FieldError
from .connection import MAX_LOGGED_FIELD_CHARS, CloseReason, Connection
from .event_loop import Address, EventLoop
from .generations import after_arrival, after_departure, is_present, present
from .json_lines import LineParser, parse_object
from .proxy_sessions import ProxySessions
from .published_tables import Table, Tables
from .slice_assignments import SliceAssignments
from .timer import Timer
from .wire_relay import (
    Acknowledgement,
    Method,
    NotificationType,
    RelayCodec,
    Subscription,
    encode_call,
)

LONG_AGO_MS = -1e9  # before any time of the monotonic clock


class StreamPurpose(Enum):
    """What a stream is opened for."""

    WATCH = auto()  # everything that stands, then changes
    SNAPSHOT = auto()  # what stands, once


class StreamState(Enum):
    """How far a stream has come."""

    REQUESTED = auto()
    GRANTED = auto()  # the relay sends what stands
    SYNCHRONISED = auto()  # what stands was taken over; a snapshot stream ends instead


class StreamOwner(Protocol):
    """The watch that a stream is a part of."""

    event_loop: EventLoop
    codec: RelayCodec
    address: Address
    proxies: ProxySessions
    slices: SliceAssignments

    def next_request_id(self) -> int:
        """The id of the next call to the relay."""

    def acknowledged(self, proxy_id: int, acknowledgement: Acknowledgement) -> None:
        """A proxy acknowledged a push."""

    def tables_received(self, stream: "RelayStream", tables: Tables) -> None:
        """The tables that have come are complete."""

    def stream_closed(self, stream: "RelayStream", reason: str) -> None:
        """The stream has ended."""


class RelayStream:
    """One connection that watches the relay."""

    name = "relay_watch"

    def __init__(self, owner: StreamOwner, purpose: StreamPurpose) -> None:
        """Connects to the relay."""
        self._owner = owner
        self._event_loop = owner.event_loop
        self.purpose = purpose
        self.state = StreamState.REQUESTED
        self._parser: LineParser | None = None
        self._silence_timer = Timer(self._event_loop, lambda: self.close(CloseReason.SILENT))
        self._completion_timer = Timer(self._event_loop, self._complete)
        # Generations as this stream has seen them.
        self.proxies: dict[int, int] = {}
        self.slices: dict[int, int] = {}
        self.subscriptions: dict[int, Subscription] = {}
        self._partial_tables: Tables = {}
        self.assigned_ms: dict[int, float] = {}  # when each slice was assigned last
        self._late_entry_ms: dict[int, float] = {}  # when an entry of its table came late
        self.requested_ms = self._event_loop.now()
        self.address = owner.address
        # None where no slot was free: the stream is of no use then.
        self.connection: Connection | None = self._event_loop.connect(self.address, self)
        if self.connection is not None:
            self._expect_message()

    @property
    def is_watch(self) -> bool:
        """Whether it goes on after what stands."""
        return self.purpose is StreamPurpose.WATCH

    @property
    def is_synchronised(self) -> bool:
        """Whether it has brought what stands and follows the changes."""
        return self.state is StreamState.SYNCHRONISED

    @property
    def last_received_ms(self) -> float:
        """When bytes came last."""
        return self.connection.last_received_ms if self.connection is not None else LONG_AGO_MS

    def close(self, reason: CloseReason) -> None:
        """Ends the stream."""
        if self.connection is not None:
            self.connection.close(reason)

    def opened(self, connection: Connection) -> None:
        """The connection is up: asks for the watch."""
        self._parser = LineParser(connection.buffer, self._event_loop.limits.max_message_bytes)
        self.requested_ms = self._event_loop.now()
        connection.write(encode_call(self._owner.next_request_id(), Method.WATCH))

    def received(self, connection: Connection) -> None:
        """More bytes have come."""
        complete = False
        while self._parser is not None and (line := self._parser.next()) is not None:
            if line:
                self._take(parse_object(line))
                complete = True
        # Bytes that never make a message count as silence.
        if complete and self.is_watch:
            self._expect_message()

    def closed(self, connection: Connection, reason: str) -> None:
        """The connection has ended."""
        self._silence_timer.cancel()
        self._completion_timer.cancel()
        self._owner.stream_closed(self, reason)

    def _expect_message(self) -> None:
        limits = self._event_loop.limits
        # A snapshot stream has one deadline for all of it.
        wait_ms = (
            limits.relay_watch_silence_timeout_ms if self.is_watch else limits.snapshot_timeout_ms
        )
        self._silence_timer.start(wait_ms)

    def _take(self, message: dict[str, Any]) -> None:
        kind = self._owner.codec.notification_type(message)
        if kind is None:
            if self.state is StreamState.REQUESTED:
                self.state = StreamState.GRANTED
            self._await_completion()
        elif kind is NotificationType.ACKNOWLEDGEMENT:
            self._take_acknowledgement(message)
        elif kind is not NotificationType.PING:
            self._take_notification(kind, message)

    def _take_acknowledgement(self, message: dict[str, Any]) -> None:
        try:
            self._take_notification(NotificationType.ACKNOWLEDGEMENT, message)
        except FieldError as error:
            # A lost acknowledgement only delays its slices until the next push. After any other
            # invalid notification it is unknown what stands, and the stream must begin anew.
            self._event_loop.count("bad_acknowledgements")
            self._event_loop.log("bad_acknowledgement", field=str(error)[:MAX_LOGGED_FIELD_CHARS])

    def _take_notification(self, kind: NotificationType, message: dict[str, Any]) -> None:
        notification = self._owner.codec.notification(kind, message)
        subject_id = notification.subject_id
        if subject_id is None:
            self._event_loop.count("watch_unknown_ids")
            return
        self._event_loop.count(f"watch_{kind}")
        match kind:
            case NotificationType.PROXY_CONNECTED:
                self._proxy_connected(subject_id, notification.params)
            case NotificationType.PROXY_DISCONNECTED:
                self._proxy_disconnected(subject_id)
            case NotificationType.ACKNOWLEDGEMENT:
                self._acknowledged(subject_id, notification.params)
            case NotificationType.SLICE_ASSIGNMENT:
                self._slice_assignment(subject_id, notification.params)
            case NotificationType.TABLE_ENTRY:
                self._table_entry(subject_id, notification.params)

    def _proxy_connected(self, proxy_id: int, params: dict[str, Any]) -> None:
        self.subscriptions[proxy_id] = self._owner.codec.subscription(params)
        reported, seen = self._owner.proxies.generation(proxy_id), self.proxies.get(proxy_id)
        # The first time, it is the connection that was reported, if one was.
        self.proxies[proxy_id] = present(reported) if seen is None else after_arrival(seen)
        if self.is_synchronised:
            self.report_proxy(proxy_id)
        else:
            self._await_completion()

    def _proxy_disconnected(self, proxy_id: int) -> None:
        seen = self.proxies.get(proxy_id, self._owner.proxies.generation(proxy_id))
        self.proxies[proxy_id] = after_departure(seen)
        if self.is_synchronised:
            self.report_proxy(proxy_id)

    def report_proxy(self, proxy_id: int) -> None:
        """Reports what this stream has seen of a proxy, where that is new."""
        generation = self.proxies[proxy_id]
        self._owner.proxies.update(proxy_id, generation, self.subscriptions.get(proxy_id))

    def _acknowledged(self, proxy_id: int, params: dict[str, Any]) -> None:
        acknowledgement = self._owner.codec.acknowledgement(params)
        # A proxy that is not connected cannot have got a push.
        if self.is_watch and self._owner.proxies.is_connected(proxy_id):
            self._owner.acknowledged(proxy_id, acknowledgement)

    def _slice_assignment(self, slice_id: int, params: dict[str, Any]) -> None:
        reported, seen = self._owner.slices.generation(slice_id), self.slices.get(slice_id)
        if self._owner.codec.assigned(params):
            self.slices[slice_id] = present(reported) if seen is None else after_arrival(seen)
            self._partial_tables[slice_id] = {}
            self.assigned_ms[slice_id] = self._event_loop.now()
            self._await_completion()
            return
        generation = after_departure(reported if seen is None else seen)
        self.slices[slice_id] = generation
        self._partial_tables.pop(slice_id, None)
        if generation > reported and self.is_watch:
            self._owner.slices.unassign(slice_id, generation)

    def _table_entry(self, slice_id: int, params: dict[str, Any]) -> None:
        entry = self._owner.codec.table_entry(params)
        if slice_id not in self._partial_tables:
            # A long gap in the bytes has cut it off from its assignment.
            known = self._owner.slices.tables.get(slice_id, {})
            if entry.server_id in known or not is_present(self.slices.get(slice_id, 0)):
                return
            if self._is_too_late(slice_id):
                # It is unknown whether it still stands; ignored, its server would keep a share of
                # the traffic that nobody knows of.
                self._owner.slices.verify(slice_id)
                return
            self._reopen_table(slice_id, known)
        self._partial_tables[slice_id][entry.server_id] = entry.weight
        self._await_completion()

    def _is_too_late(self, slice_id: int) -> bool:
        last_ms = max(
            self.assigned_ms.get(slice_id, LONG_AGO_MS),
            self._late_entry_ms.get(slice_id, LONG_AGO_MS),
        )
        return self._event_loop.now() - last_ms > self._event_loop.limits.late_entry_window_ms

    def _reopen_table(self, slice_id: int, known: Table) -> None:
        """Goes on with the known table, as if the slice had been assigned again with it."""
        self._partial_tables[slice_id] = dict(known)
        # The time of the assignment stays: these entries do not show what a call did since then.
        self._late_entry_ms[slice_id] = self._event_loop.now()
        self.slices[slice_id] = after_arrival(self.slices[slice_id])

    def _await_completion(self) -> None:
        self._completion_timer.start(self._event_loop.limits.relay_settle_ms)

    def _complete(self) -> None:
        if self.state is StreamState.REQUESTED:
            return
        if self._parser is not None and self._parser.has_partial_line():
            # More is on its way. Should it never come, silence ends the stream.
            self._await_completion()
            return
        tables, self._partial_tables = self._partial_tables, {}
        self._owner.tables_received(self, tables)
