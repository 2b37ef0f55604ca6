"""The relay's watch on two or more redundant streams, so that no change is lost with one of them.

Each change is reported once, by the stream that receives it first. After all streams were lost,
changes may have been missed: the next stream's present state is then compared with what was
reported.
"""

from collections.abc import Callable

from .. import interface as core
from ..registry import ObjectRegistry
from .connection import CloseReason
from .event_loop import Address, EventLoop
from .generations import aligned_from, is_present
from .proxy_sessions import ProxySessions
from .published_tables import Tables
from .relay_stream import RelayStream, StreamPurpose, StreamState
from .slice_assignments import CallTracker, SliceAssignments
from .snapshots import Snapshot, SnapshotCallback, SnapshotRequests
from .timer import Backoff
from .wire_relay import Acknowledgement, RelayCodec


class RelayWatch:
    """Opens and replaces streams, and merges what they report."""

    def __init__(
        self,
        event_loop: EventLoop,
        address: Address,
        codec: RelayCodec,
        registry: ObjectRegistry,
        notify: Callable[[core.Event], None],
        calls: CallTracker,
    ) -> None:
        """Opens no stream before `start`."""
        self.event_loop = event_loop
        self.address = address
        self.codec = codec
        self._calls = calls
        self.proxies = ProxySessions(event_loop, registry, notify)
        self.slices = SliceAssignments(event_loop, registry, notify, calls, self.request_snapshot)
        self.streams: list[RelayStream] = []
        self._snapshot_requests = SnapshotRequests()
        self._snapshot_streams: list[RelayStream] = []
        self._last_request_id = 0
        # Changes may have been missed, because all synchronised streams were lost.
        self._has_gap = False
        self._backoff = Backoff(
            event_loop.limits.min_relay_backoff_ms, event_loop.limits.max_backoff_ms
        )

    def next_request_id(self) -> int:
        """The id of the next call to the relay, on any connection."""
        self._last_request_id += 1
        return self._last_request_id

    @property
    def has_gap(self) -> bool:
        """Whether changes may have been missed and the present tables are not known yet."""
        return self._has_gap or self.slices.has_unconfirmed

    def start(self) -> None:
        """Opens the missing streams.

        Until the first stream is synchronised no other is opened, to limit the load on a relay that
        is unavailable.
        """
        while len(self._streams_at_address()) < self._wanted_streams():
            if not self.add_stream():
                self.event_loop.after(self._backoff.next(), self.start)
                return

    def add_stream(self) -> bool:
        """Opens one more stream; False where no connection slot is free."""
        stream = RelayStream(self, StreamPurpose.WATCH)
        if stream.connection is None:
            return False
        self.streams.append(stream)
        return True

    def set_address(self, address: Address) -> None:
        """Moves the watch to another address of the relay.

        The old streams are closed once a new one is synchronised; closed earlier, all proxies would
        be reported as disconnected.
        """
        self.address = address
        self._backoff.reset()
        self.start()

    def request_snapshot(self, callback: SnapshotCallback) -> None:
        """Calls `callback` with snapshots of now or later, until one suffices."""
        self._snapshot_requests.add(self.event_loop.now(), callback)
        self._open_snapshot_stream()

    def acknowledged(self, proxy_id: int, acknowledgement: Acknowledgement) -> None:
        """A proxy acknowledged a push."""
        if self.proxies.acknowledge(proxy_id, acknowledgement):
            self._calls.acknowledged(acknowledgement.nonce)

    def tables_received(self, stream: RelayStream, tables: Tables) -> None:
        """A watch has received tables, as far as known completely."""
        if stream.is_synchronised:
            self._apply_tables(stream, tables, None)
        else:
            self._synchronise(stream, tables)
            snapshot = Snapshot(tables, complete=False)
            self._snapshot_requests.answer(stream.requested_ms, snapshot)
            if not self._snapshot_streams:
                self._open_snapshot_stream()

    def pinged(self, stream: RelayStream) -> None:
        """A synchronised stream has received everything that the relay sent before a ping."""
        if self.proxies.has_unconfirmed or self.slices.has_unconfirmed:
            self._report_departed(stream)
            self._calls.send_next()

    def snapshot_received(self, stream: RelayStream, snapshot: Snapshot) -> None:
        """A snapshot stream has received tables."""
        self._snapshot_requests.answer(stream.requested_ms, snapshot)
        if not self._snapshot_requests.can_be_answered(stream.requested_ms):
            stream.close(CloseReason.DONE)

    def stream_closed(self, stream: RelayStream, reason: str) -> None:
        """A stream was closed; another one replaces it."""
        if not stream.is_watch:
            if stream in self._snapshot_streams:
                self._snapshot_streams.remove(stream)
            if reason != CloseReason.DONE:
                self.event_loop.after(self._backoff.next(), self._open_snapshot_stream)
            return
        if stream in self.streams:
            self.streams.remove(stream)
        if stream.is_synchronised:
            self._synchronised_stream_lost(stream, reason)
        for other in self._synchronised_streams():
            self._align_all_proxies(other)
            self._align_slices(other)
        # A stream that failed before it was synchronised is replaced with backoff: a relay that
        # fails every stream would otherwise be sent requests in a tight loop.
        self.event_loop.after(0.0 if stream.is_synchronised else self._backoff.next(), self.start)

    def _streams_at_address(self) -> list[RelayStream]:
        return [stream for stream in self.streams if stream.address == self.address]

    def _wanted_streams(self) -> int:
        has_synchronised = any(stream.is_synchronised for stream in self._streams_at_address())
        return self.event_loop.limits.relay_watch_count if has_synchronised else 1

    def _synchronised_streams(self) -> list[RelayStream]:
        return [stream for stream in self.streams if stream.is_synchronised]

    def _close_moved_streams(self) -> None:
        if any(stream.is_synchronised for stream in self._streams_at_address()):
            for stream in [s for s in self.streams if s.address != self.address]:
                stream.close(CloseReason.MOVED)

    def _open_snapshot_stream(self) -> None:
        # Without a synchronised stream, the next one to be synchronised answers the requests.
        if not self._snapshot_requests or not self._synchronised_streams():
            return
        stream = RelayStream(self, StreamPurpose.SNAPSHOT)
        if stream.connection is None:
            self.event_loop.after(self._backoff.next(), self._open_snapshot_stream)
        else:
            self._snapshot_streams.append(stream)

    def _synchronised_stream_lost(self, stream: RelayStream, reason: str) -> None:
        if not self._is_covered_by_another(stream):
            # Acknowledgements that only the lost stream would have carried are never repeated, and
            # a push channel that counts them as outstanding would take no more orders.
            for other in self._synchronised_streams():
                other.close(CloseReason.OVERDUE)
        self.event_loop.log("watch_lost", why=reason, left=len(self._synchronised_streams()))
        if not self._synchronised_streams():
            self._has_gap = True
        for slice_id, assigned_ms in stream.assigned_ms.items():
            # Entries of a table that the stream had received in part may be lost.
            if self.event_loop.now() - assigned_ms < self.event_loop.limits.late_entry_window_ms:
                self.slices.verify(slice_id)

    def _is_covered_by_another(self, lost: RelayStream) -> bool:
        """Whether another stream has received everything since the lost stream's last bytes."""
        overdue_ms = self.event_loop.now() - self.event_loop.limits.relay_watch_overdue_ms
        return any(
            stream.requested_ms <= lost.last_received_ms and stream.last_received_ms >= overdue_ms
            for stream in self._synchronised_streams()
        )

    def _align_all_proxies(self, stream: RelayStream) -> None:
        for proxy_id in set(self.proxies.generations) | set(stream.proxies):
            if proxy_id in stream.proxies or not self.proxies.is_unconfirmed(proxy_id):
                self._align_proxy(proxy_id, stream)

    def _align_proxy(self, proxy_id: int, stream: RelayStream) -> None:
        """Sets the reported state of a proxy to this stream's."""
        reported = self.proxies.generation(proxy_id)
        seen = stream.proxies.get(proxy_id, 0)
        if is_present(reported) and seen < reported and not is_present(seen):
            # Only a lost stream has reported that the proxy connected; this one may lag behind.
            stream.proxies.pop(proxy_id, None)
            self.proxies.mark_unconfirmed(proxy_id)
            return
        stream.proxies[proxy_id] = aligned_from(reported, seen)
        stream.report_proxy(proxy_id)

    def _align_slices(self, stream: RelayStream) -> None:
        """Renumbers a stream's slice generations from the reported ones."""
        for slice_id, reported in self.slices.generations.items():
            stream.slices[slice_id] = aligned_from(reported, stream.slices.get(slice_id, 0))

    def _synchronise(self, stream: RelayStream, tables: Tables) -> None:
        """Applies a stream's present state, which is complete."""
        is_only_one = not self._synchronised_streams()
        ends_gap = is_only_one and self._has_gap
        stream.state = StreamState.SYNCHRONISED
        if ends_gap:
            self._end_gap(stream, tables)
        elif is_only_one:
            self._align_all_proxies(stream)
        else:
            for proxy_id in stream.proxies:
                stream.report_proxy(proxy_id)
        self._apply_tables(stream, tables, stream.requested_ms)
        self._backoff.reset()
        self.start()
        if ends_gap:
            self._calls.send_next()
        # A pause within the present state may have been mistaken for its end; until the rest has
        # arrived, the old streams stay open.
        self.event_loop.after(self.event_loop.limits.address_overlap_ms, self._close_moved_streams)
        self.event_loop.log(
            "watch_synchronised",
            streams=len(self._synchronised_streams()),
            proxies=sum(map(is_present, stream.proxies.values())),
            slices=len(tables),
        )

    def _end_gap(self, stream: RelayStream, tables: Tables) -> None:
        """Reports what may have changed while no stream was synchronised.

        Acknowledgements were missed, proxies may have reconnected and slices may have been assigned
        elsewhere meanwhile. A proxy that is still connected may also have kept its stream: what was
        sent to it is on its way.
        """
        self._has_gap = False
        connected = {
            proxy_id: stream.subscriptions[proxy_id]
            for proxy_id, generation in stream.proxies.items()
            if is_present(generation)
        }
        self.proxies.end_gap(connected)
        self._align_all_proxies(stream)
        self.slices.end_gap(tables, stream.requested_ms)
        if stream.has_complete_state:
            self._report_departed(stream)

    def _report_departed(self, stream: RelayStream) -> None:
        """Reports what a complete state lacks.

        Before that, a pause within the present state may have been mistaken for its end, and what
        follows would pass for new: without messages on their way from before.
        """
        self.proxies.disconnect_unconfirmed()
        assigned = {s for s, generation in stream.slices.items() if is_present(generation)}
        self.slices.unassign_unconfirmed(assigned)

    def _apply_tables(
        self, stream: RelayStream, tables: Tables, requested_ms: float | None
    ) -> None:
        for slice_id, table in tables.items():
            self.slices.update(slice_id, stream.slices[slice_id], table, requested_ms)
