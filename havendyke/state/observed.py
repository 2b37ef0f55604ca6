"""The state that events update: servers, slices, proxies, pushes and request counts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any, ClassVar

from ..interface import (
    EndpointEntry,
    EndpointListUpdate,
    Event,
    HealthCheckOutcome,
    HealthCheckResult,
    ListScope,
    ProxyConnected,
    ProxyDisconnected,
    ProxyResynchronised,
    PushAcknowledged,
    PushChannelStatus,
    ServerLoad,
    ServerLoadReport,
    ServerState,
    Settings,
    SliceAssignment,
    SliceLoadReport,
    SnapshotEntry,
)
from .histogram import DecayingHistogram, latency_position, request_position
from .proxy import ConnectedProxyCount, EjectionConfirmations, Proxy
from .push import Push, PushChannel
from .rendezvous import rounding_offset
from .server import LONG_AGO_MS, NEVER_MS, Server, ZoneLoadReport
from .slice import Slice

# Module-level alias: each reconciliation compares it for every server.
READY = ServerState.READY

# Start times of a server that differ by no more are the same start, read from different clocks.
START_TOLERANCE_MS = 1.0

CONNECT_FAILURES = (HealthCheckOutcome.REFUSED, HealthCheckOutcome.RESET)
UNANSWERED_CHECKS = (HealthCheckOutcome.TIMED_OUT, HealthCheckOutcome.ERROR)


class ObservedState:
    """The state that events update; policy derives everything else from it.

    Times are in milliseconds of the adapter's clock.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.now_ms = NEVER_MS
        self.servers: list[Server] = []
        self.slices: list[Slice] = []
        self.proxies: list[Proxy] = []
        self.connected_by_zone: dict[int, ConnectedProxyCount] = defaultdict(ConnectedProxyCount)
        self.channel = PushChannel()
        self.endpoint_list_received = False  # a current one, not a cached one
        self.last_success_ms = NEVER_MS  # of any server
        self.last_disconnect_ms = NEVER_MS  # of any proxy
        # Since the last adjustment of the admission limit.
        self.attempt_outcomes = DecayingHistogram(2)  # bins: succeeded, failed
        self.offered_requests = 0.0
        # Whether an event requires a reconciliation before the next tick.
        self.reconciliation_due = True
        self.ejections = EjectionConfirmations(self.servers)
        # Stands for all pushes so far; shared by the slices that are reported again at one time.
        self._unacknowledged_push: Push | None = None
        # The last push that was certainly sent before the channel was interrupted.
        self._serial_before_interruption = 0

    # Objects; the registry calls these once per id

    def add_server(self, server_id: str) -> Server:
        """Adds a server with a new id."""
        server = Server(server_id)
        server.ejection_unconfirmed = self.ejections.inherited
        if self.settings.slice_count:
            server.rounding_offset = rounding_offset(
                server, self.settings.controller_index, self.settings.controller_count
            )
        self.servers.append(server)
        return server

    def add_slice(self, slice_id: int) -> Slice:
        """Adds a slice with a new id."""
        slice_ = Slice(slice_id, len(self.settings.request_classes))
        self.slices.append(slice_)
        return slice_

    def add_proxy(self, proxy_id: int) -> Proxy:
        """Adds a proxy with a new id."""
        proxy = Proxy(proxy_id)
        self.proxies.append(proxy)
        return proxy

    # Selections

    def ready_servers(self) -> list[Server]:
        """The servers that are ready according to the endpoint list."""
        return [server for server in self.servers if server.state == READY]

    def assigned_slices(self) -> list[Slice]:
        """The slices that are assigned to this controller."""
        return [slice_ for slice_ in self.slices if slice_.assigned]

    def connected_proxies(self) -> list[Proxy]:
        """The proxies whose streams are open."""
        return [proxy for proxy in self.proxies if proxy.connected]

    # Events

    def apply(self, event: Event) -> None:
        """Applies one event; ignores `TimerFired`."""
        handler = self._HANDLERS.get(type(event))
        if handler is not None:
            handler(self, event)

    def reset_request_counts(self) -> None:
        """Resets the counts of attempts and offered requests, after admission was adjusted."""
        self.attempt_outcomes = DecayingHistogram(2)
        self.offered_requests = 0.0

    def _update_endpoint_list(self, event: EndpointListUpdate) -> None:
        if event.scope != ListScope.CACHED:
            self.endpoint_list_received = True
        if event.scope != ListScope.CHANGES:
            self._remove_unlisted({entry.server for entry in event.entries})
        for entry in event.entries:
            self._update_server(entry)
        self.reconciliation_due = True

    def _remove_unlisted(self, listed: set[Server]) -> None:
        for server in self.servers:
            if server.state is not None and server not in listed:
                server.set_state(ServerState.GONE, self.now_ms)

    def _update_server(self, entry: EndpointEntry) -> None:
        server = entry.server
        started_ms = entry.started_ms if entry.started_ms is not None else LONG_AGO_MS
        restarted = server.started_ms is None or started_ms > server.started_ms + START_TOLERANCE_MS
        if restarted or server.start_assumed:
            server.started_ms = started_ms
            server.start_assumed = not entry.start_confirmed
            if restarted and self.now_ms - started_ms < self.settings.warm_up_ms:
                server.begin_incarnation()
        server.set_state(entry.state, self.now_ms)
        server.zone = entry.zone
        server.size = entry.size if self.settings.sizes_stated and entry.size > 0 else 1.0

    def _connect_proxy(self, event: ProxyConnected | ProxyResynchronised) -> None:
        proxy = event.proxy
        if proxy.connected:
            self.connected_by_zone[proxy.zone].adjust(-1)
        self.connected_by_zone[event.zone].adjust(1)
        proxy.connected = True
        proxy.request_rate = event.request_rate
        proxy.zone = event.zone
        proxy.acknowledged_serial = 0
        proxy.bound = False
        self.ejections.proxy_connected(proxy, event.first_connection)
        if not self.settings.slice_count:
            self.reconciliation_due = True

    def _resynchronise_proxy(self, event: ProxyResynchronised) -> None:
        """Treats the proxy as if it had reconnected, except that it may have kept its stream.

        Pushes from before stay queued in its channel and unacknowledged: without an acknowledgement
        nothing proves that the proxy has applied them.
        """
        self._connect_proxy(event)
        event.proxy.missed_serial = self.channel.last_serial
        # Another proxy may have connected, read the tables and disconnected in between.
        self.last_disconnect_ms = self.now_ms

    def _disconnect_proxy(self, event: ProxyDisconnected) -> None:
        proxy = event.proxy
        if proxy.connected:
            self.connected_by_zone[proxy.zone].adjust(-1)
        proxy.connected = False
        proxy.acknowledged_serial = 0
        self.last_disconnect_ms = self.now_ms
        self.channel.settle_disconnected(proxy, self.now_ms + self.settings.lease_ms)

    def _assign_slice(self, event: SliceAssignment) -> None:
        slice_ = event.slice
        was_assigned = slice_.assigned
        if not was_assigned:
            slice_.observed_since_ms = self.now_ms
        if event.assigned:
            # Also where it was assigned: it may have had another controller in between.
            slice_.assigned_ms = self.now_ms
        slice_.assigned = event.assigned
        slice_.published = {}
        slice_.desired = {}
        slice_.last_push_serial = None
        # If no snapshot entry follows, the table has just been emptied, by the previous controller
        # or by this one, and proxies may still use the former primary.
        slice_.clearing_push = self._push_before_assignment(was_assigned)
        self.reconciliation_due = True

    def _push_before_assignment(self, was_assigned: bool) -> Push:
        """Stands for the push that emptied the table of a slice that is reported as assigned.

        Proxies stop to use the entries of another controller when their lease ends. A slice that
        `was_assigned` may have been emptied by a push of this controller, which only an
        acknowledgement proves to be applied.
        """
        lease_end_ms = self.last_disconnect_ms + self.settings.lease_ms
        settled_ms = max(self.now_ms, lease_end_ms)
        if not (was_assigned and self.settings.exclusive_ownership):
            return Push(0, 0, set(), self.now_ms, settled_ms)
        push = self._unacknowledged_push
        serial = self.channel.last_serial
        if push is None or (push.serial, push.sent_ms) != (serial, self.now_ms):
            push = self._unacknowledged_push = Push(serial, 0, set(), self.now_ms, settled_ms)
            self.channel.restart(push, self.connected_proxies(), self.now_ms, settled_ms)
        return push

    def _restore_entry(self, event: SnapshotEntry) -> None:
        slice_ = event.slice
        slice_.published[event.server] = event.weight
        slice_.desired[event.server] = event.weight
        slice_.clearing_push = None
        # Standby entries before the first change of a table come from an earlier controller, which
        # may have left servers ejected.
        if not self.channel.tables_changed and len(slice_.published) > 1:
            self.ejections.inherit()
        self.reconciliation_due = True

    def _count_server_load(self, event: ServerLoadReport) -> None:
        server = event.server
        successes = event.attempts - event.failures
        if successes > 0 and event.latency_ms > 0:
            server.latency.add(latency_position(event.latency_ms), successes)
        server.zone_reports[event.zone] = ZoneLoadReport(
            self.now_ms, event.window_ms, event.failures / max(event.attempts, 1)
        )
        self._count_in_flight(server, event.load)
        for histogram in (server.attempt_outcomes, self.attempt_outcomes):
            histogram.add(0, successes)
            histogram.add(1, event.failures)
        if successes > 0:
            server.unanswered_checks = 0
            server.last_success_ms = self.now_ms
            self.last_success_ms = self.now_ms

    @staticmethod
    def _count_in_flight(server: Server, load: ServerLoad) -> None:
        if load.in_flight is not None:
            server.in_flight.add(request_position(load.in_flight), 1.0)

    def _count_slice_load(self, event: SliceLoadReport) -> None:
        event.slice.requests.add(event.request_class, event.requests)
        self.offered_requests += event.requests

    def _end_health_check(self, event: HealthCheckResult) -> None:
        server = event.server
        server.check_in_flight = False
        self._count_in_flight(server, event.load)
        if event.outcome == HealthCheckOutcome.PASSED:
            server.consecutive_connect_failures = 0
            server.unanswered_checks = 0
        elif event.outcome in CONNECT_FAILURES:
            server.consecutive_connect_failures += 1
        elif event.outcome in UNANSWERED_CHECKS:
            server.unanswered_checks += 1

    def _acknowledge_push(self, event: PushAcknowledged) -> None:
        self.channel.acknowledge(event.proxy, event.nonce, self.now_ms)

    def _set_channel_status(self, event: PushChannelStatus) -> None:
        if self.channel.connected and not event.connected:
            self._serial_before_interruption = max(
                (p.applied_serial for p in self.proxies), default=0
            )
        elif event.connected and not self.channel.connected:
            self._restart_clearing_pushes()
        self.channel.set_connected(event.connected, event.unsent_nonces, self.now_ms)
        self.reconciliation_due = True

    def _restart_clearing_pushes(self) -> None:
        """Counts pushes that emptied tables as sent now, unless they were before the interruption.

        Proxies that connected while such a push waited have read the former primary's entry, and
        must acknowledge the push as well.
        """
        if not self.settings.exclusive_ownership:
            return
        connected = self.connected_proxies()
        lease_end_ms = self.last_disconnect_ms + self.settings.lease_ms
        pushes = {slice_.clearing_push for slice_ in self.slices if slice_.clearing_push}
        for push in pushes:
            if push.serial > self._serial_before_interruption:
                self.channel.restart(push, connected, self.now_ms, lease_end_ms)

    _HANDLERS: ClassVar[dict[type, Callable[[ObservedState, Any], None]]] = {
        EndpointListUpdate: _update_endpoint_list,
        ProxyConnected: _connect_proxy,
        ProxyResynchronised: _resynchronise_proxy,
        ProxyDisconnected: _disconnect_proxy,
        SliceAssignment: _assign_slice,
        SnapshotEntry: _restore_entry,
        ServerLoadReport: _count_server_load,
        SliceLoadReport: _count_slice_load,
        HealthCheckResult: _end_health_check,
        PushAcknowledged: _acknowledge_push,
        PushChannelStatus: _set_channel_status,
    }
