"""One watch stream of the relay as a state machine: the present state first, then changes.

The relay marks neither the end of the present state nor the end of a slice's table. On a watch they
count as complete once no further message has arrived for `limits.relay_settle_ms`; entries that
arrive later correct them. A snapshot, which is not corrected, is complete at the first ping: the
relay sends the present state first.
"""

from enum import Enum, auto
from typing import Any, Protocol

from ..fields import FieldError
from .connection import MAX_LOGGED_FIELD_CHARS, CloseReason, Connection
from .event_loop import Address, EventLoop
from .generations import is_present, next_absent, next_present, present_from
from .json_lines import LineParser, parse_object
from .proxy_sessions import ProxySessions
from .published_tables import Table, Tables
from .slice_assignments import SliceAssignments
from .snapshots import Snapshot
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

    WATCH = auto()  # the present state, then changes
    SNAPSHOT = auto()  # the present state once


class StreamState(Enum):
    """The phase of a stream."""

    REQUESTED = auto()
    GRANTED = auto()  # the relay sends the present state
    SYNCHRONISED = auto()  # the present state was applied; a snapshot stream is closed instead


class StreamOwner(Protocol):
    """The watch that a stream belongs to."""

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
        """No further entry of these tables has arrived for a while on a watch."""

    def pinged(self, stream: "RelayStream") -> None:
        """A synchronised watch has received everything that the relay sent before a ping."""

    def snapshot_received(self, stream: "RelayStream", snapshot: Snapshot) -> None:
        """A snapshot is complete, or nothing further has arrived for a while."""

    def stream_closed(self, stream: "RelayStream", reason: str) -> None:
        """The stream's connection was closed."""


class RelayStream:
    """One connection on which the relay sends notifications."""

    name = "relay_watch"

    def __init__(self, owner: StreamOwner, purpose: StreamPurpose) -> None:
        """Connects to the relay."""
        self._owner = owner
        self._event_loop = owner.event_loop
        self.purpose = purpose
        self.state = StreamState.REQUESTED
        self.has_complete_state = False
        self._parser: LineParser | None = None
        self._silence_timer = Timer(self._event_loop, lambda: self.close(CloseReason.SILENT))
        self._completion_timer = Timer(self._event_loop, self._finish_tables)
        # Generations by id, counted from this stream's own notifications.
        self.proxies: dict[int, int] = {}
        self.slices: dict[int, int] = {}
        self.subscriptions: dict[int, Subscription] = {}
        self._partial_tables: Tables = {}
        self.assigned_ms: dict[int, float] = {}  # by slice, time of the latest assignment
        self._late_entry_ms: dict[int, float] = {}  # by slice, time of the latest late entry
        self.requested_ms = self._event_loop.now()
        self.address = owner.address
        # None where no connection slot was free; the stream is then unusable.
        self.connection: Connection | None = self._event_loop.connect(self.address, self)
        if self.connection is not None:
            self._expect_message()

    @property
    def is_watch(self) -> bool:
        """Whether the stream stays open after the present state."""
        return self.purpose is StreamPurpose.WATCH

    @property
    def is_synchronised(self) -> bool:
        """Whether the present state was applied and the stream follows changes."""
        return self.state is StreamState.SYNCHRONISED

    @property
    def last_received_ms(self) -> float:
        """When bytes were received last."""
        return self.connection.last_received_ms if self.connection is not None else LONG_AGO_MS

    def close(self, reason: CloseReason) -> None:
        """Closes the stream's connection."""
        if self.connection is not None:
            self.connection.close(reason)

    def opened(self, connection: Connection) -> None:
        """The connection is established: requests the watch."""
        self._parser = LineParser(connection.buffer, self._event_loop.limits.max_message_bytes)
        self.requested_ms = self._event_loop.now()
        connection.write(encode_call(self._owner.next_request_id(), Method.WATCH))

    def handle_next(self, connection: Connection) -> bool:
        """Handles the next message; returns whether one was complete."""
        line = self._parser.next() if self._parser is not None else None
        if line:
            self._handle_message(parse_object(line))
            # Bytes without a complete message do not restart the silence timer.
            if self.is_watch and not connection.ended:
                self._expect_message()
        return line is not None

    def closed(self, connection: Connection, reason: str) -> None:
        """The connection was closed."""
        self._silence_timer.cancel()
        self._completion_timer.cancel()
        self._owner.stream_closed(self, reason)

    def _expect_message(self) -> None:
        limits = self._event_loop.limits
        # A snapshot stream has one deadline until its entries have arrived.
        wait_ms = (
            limits.relay_watch_silence_timeout_ms if self.is_watch else limits.snapshot_timeout_ms
        )
        self._silence_timer.start(wait_ms)

    def _handle_message(self, message: dict[str, Any]) -> None:
        kind = self._owner.codec.notification_type(message)
        if kind is None:
            if self.state is StreamState.REQUESTED:
                self.state = StreamState.GRANTED
            self._restart_completion_timer()
        elif kind is NotificationType.ACKNOWLEDGEMENT:
            self._handle_acknowledgement(message)
        elif kind is not NotificationType.PING:
            self._handle_notification(kind, message)
        elif self.state is not StreamState.REQUESTED:
            self._pinged()

    def _pinged(self) -> None:
        """The relay sends a ping only after the present state."""
        self.has_complete_state = True
        if not self.is_watch:
            self._report_snapshot(complete=True)
        elif self.is_synchronised:
            self._owner.pinged(self)

    def _handle_acknowledgement(self, message: dict[str, Any]) -> None:
        try:
            self._handle_notification(NotificationType.ACKNOWLEDGEMENT, message)
        except FieldError as error:
            # A lost acknowledgement only delays its slices until the next push. After any other
            # invalid notification the relay's state is unknown, and the stream must be replaced.
            self._event_loop.count("bad_acknowledgements")
            self._event_loop.log("bad_acknowledgement", field=str(error)[:MAX_LOGGED_FIELD_CHARS])

    def _handle_notification(self, kind: NotificationType, message: dict[str, Any]) -> None:
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
        # The stream's first report may repeat a connection that another stream has reported.
        self.proxies[proxy_id] = present_from(reported) if seen is None else next_present(seen)
        if self.is_synchronised:
            self.report_proxy(proxy_id)
        else:
            self._restart_completion_timer()

    def _proxy_disconnected(self, proxy_id: int) -> None:
        seen = self.proxies.get(proxy_id, self._owner.proxies.generation(proxy_id))
        self.proxies[proxy_id] = next_absent(seen)
        if self.is_synchronised:
            self.report_proxy(proxy_id)

    def report_proxy(self, proxy_id: int) -> None:
        """Reports this stream's state of a proxy, if its generation is newer."""
        generation = self.proxies[proxy_id]
        self._owner.proxies.update(proxy_id, generation, self.subscriptions.get(proxy_id))

    def _acknowledged(self, proxy_id: int, params: dict[str, Any]) -> None:
        acknowledgement = self._owner.codec.acknowledgement(params)
        # A proxy that is not connected cannot have received a push.
        if self.is_watch and self._owner.proxies.is_connected(proxy_id):
            self._owner.acknowledged(proxy_id, acknowledgement)

    def _slice_assignment(self, slice_id: int, params: dict[str, Any]) -> None:
        reported, seen = self._owner.slices.generation(slice_id), self.slices.get(slice_id)
        if self._owner.codec.assigned(params):
            self.slices[slice_id] = present_from(reported) if seen is None else next_present(seen)
            self._partial_tables[slice_id] = {}
            self.assigned_ms[slice_id] = self._event_loop.now()
            self._restart_completion_timer()
            return
        generation = next_absent(reported if seen is None else seen)
        self.slices[slice_id] = generation
        self._partial_tables.pop(slice_id, None)
        if generation > reported and self.is_watch:
            self._owner.slices.unassign(slice_id, generation)

    def _table_entry(self, slice_id: int, params: dict[str, Any]) -> None:
        entry = self._owner.codec.table_entry(params)
        if slice_id not in self._partial_tables:
            # The entry arrived so long after its assignment that the table counted as complete.
            known = self._owner.slices.tables.get(slice_id, {})
            if entry.server_id in known or not is_present(self.slices.get(slice_id, 0)):
                return
            if self._is_too_late(slice_id):
                # The entry may be outdated. Ignored without a check, its server could keep a share
                # of the traffic that the controller does not know of.
                self._owner.slices.verify(slice_id)
                return
            self._reopen_table(slice_id, known)
        self._partial_tables[slice_id][entry.server_id] = entry.weight
        self._restart_completion_timer()

    def _is_too_late(self, slice_id: int) -> bool:
        last_ms = max(
            self.assigned_ms.get(slice_id, LONG_AGO_MS),
            self._late_entry_ms.get(slice_id, LONG_AGO_MS),
        )
        return self._event_loop.now() - last_ms > self._event_loop.limits.late_entry_window_ms

    def _reopen_table(self, slice_id: int, known: Table) -> None:
        """Reopens the known table for late entries, as if the slice were assigned anew with it."""
        self._partial_tables[slice_id] = dict(known)
        # Extends the window for further late entries. `assigned_ms` stays the time of the
        # assignment, by which `RelayWatch` selects the tables to verify when it loses this stream.
        self._late_entry_ms[slice_id] = self._event_loop.now()
        # Late entries do not show what a call has changed since the assignment. With a new
        # generation, the table is reported once complete, and verified by a snapshot.
        self.slices[slice_id] = next_present(self.slices[slice_id])

    def _restart_completion_timer(self) -> None:
        self._completion_timer.start(self._event_loop.limits.relay_settle_ms)

    def _finish_tables(self) -> None:
        if self.state is StreamState.REQUESTED:
            return
        if self._parser is not None and self._parser.has_partial_line():
            # The rest of a message is still to come; if it never does, the silence timer closes
            # the stream.
            self._restart_completion_timer()
            return
        if not self.is_watch:
            self._report_snapshot(complete=False)
            return
        tables, self._partial_tables = self._partial_tables, {}
        self._owner.tables_received(self, tables)

    def _report_snapshot(self, complete: bool) -> None:
        # The ping may take longer than the entries.
        self._silence_timer.start(self._event_loop.limits.relay_watch_silence_timeout_ms)
        tables = {slice_id: dict(table) for slice_id, table in self._partial_tables.items()}
        self._owner.snapshot_received(self, Snapshot(tables, complete))
