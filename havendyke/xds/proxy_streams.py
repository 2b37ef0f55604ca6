"""Connects the xDS streams of proxies to one controller; no I/O.

Requests on a stream become the controller's events, the controller's orders become responses. The
registry and the decisions are the same as with the other adapters: an open stream is a connected
proxy, an acknowledged snapshot is a `PushAcknowledged`, and a closed stream is a
`ProxyDisconnected`. A push goes to every stream. Each stream keeps its own state, so that one that
rejects resources or stalls does not affect the others.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .. import interface as core
from .resources import ENDPOINTS
from .sotw import SotwRequest, SotwResponse, SotwStream
from .stream import (
    DeltaRequest,
    DeltaResponse,
    DeltaStream,
    ResourcesRejected,
    SnapshotAcknowledged,
)
from .tables import TableResources

if TYPE_CHECKING:
    from ..registry import ObjectRegistry
    from ..state import Proxy


@dataclass(frozen=True)
class StreamOptions:
    """The limits of a stream."""

    max_response_bytes: int = 1 << 20
    acknowledgement_timeout_ms: float = 15_000.0
    max_kept_rejections: int = 20  # the latest, for diagnosis


@dataclass
class ProxyStream:
    """The open stream of a proxy."""

    proxy: Proxy
    stream: Any  # a DeltaStream or a SotwStream
    push_times_ms: dict[int, float] = field(default_factory=dict)  # not used
    # By resource type, when the oldest response in flight was sent.
    in_flight_since_ms: dict[str, float] = field(default_factory=dict)
    rejections: list[ResourcesRejected] = field(default_factory=list)


class ProxyStreams:
    """All open streams and the controller that they belong to.

    `address_of` returns a server's host:port. Methods return the responses to send as
    (stream key, response) and the streams to close as (stream key, reason). The owner of the clock
    calls `reconcile`.
    """

    def __init__(
        self,
        registry: ObjectRegistry,
        address_of: Callable[[str], str],
        options: StreamOptions = StreamOptions(),
    ) -> None:
        self.registry = registry
        self.tables = TableResources(address_of)
        self.options = options
        self.streams: dict[Hashable, ProxyStream] = {}
        self.proxy_ids: dict[str, int] = {}  # by node id
        self.push_times_ms: dict[int, float] = {}  # by nonce
        self.counts = {"joined": 0, "refused": 0, "stalled": 0, "drains_refused": 0}

    def assign_slices(self, tables: Mapping[int, Mapping[str, float]]) -> None:
        """Assigns all slices to this controller, with tables as {slice id: {server id: weight}}."""
        for slice_id, weights in sorted(tables.items()):
            slice_ = self.registry.slice(slice_id)
            self.registry.pending_events.append(core.SliceAssignment(slice_, True))
            self.registry.pending_events += [
                core.SnapshotEntry(slice_, self.registry.server(server_id), weight)
                for server_id, weight in weights.items()
            ]
            self.tables.set_table(slice_id, weights, 0)

    def open_stream(
        self, key: Hashable, node_id: str, zone: int, request_rate: float, sotw: bool = False
    ) -> None:
        """Opens a stream whose first request named its node; a known node is the same proxy."""
        first_connection = node_id not in self.proxy_ids
        proxy = self.registry.proxy(self.proxy_ids.setdefault(node_id, len(self.proxy_ids)))
        for stale_key in [k for k, stream in self.streams.items() if stream.proxy is proxy]:
            self.close_stream(stale_key)  # the node's previous stream is dead, though not reported
        stream = (SotwStream if sotw else DeltaStream)(
            self.tables.snapshot, self.options.max_response_bytes
        )
        self.streams[key] = ProxyStream(proxy, stream)
        self.counts["joined"] += 1
        self.registry.pending_events.append(
            core.ProxyConnected(proxy, zone, request_rate, first_connection)
        )

    def close_stream(self, key: Hashable) -> None:
        """Removes a stream; its proxy is disconnected."""
        closed = self.streams.pop(key, None)
        if closed is not None:
            self.registry.pending_events.append(core.ProxyDisconnected(closed.proxy))

    def handle_request(
        self, now_ms: float, key: Hashable, request: DeltaRequest | SotwRequest
    ) -> tuple[list[tuple[Hashable, DeltaResponse | SotwResponse]], list[tuple[Hashable, str]]]:
        """Applies a request; returns (responses to send, streams to close)."""
        stream = self.streams[key]
        stream.in_flight_since_ms.pop(request.resource_type, None)
        return self._record_sent(now_ms, key, stream, stream.stream.handle_request(request))

    def finish_initial_requests(
        self, now_ms: float, key: Hashable
    ) -> tuple[list[tuple[Hashable, DeltaResponse | SotwResponse]], list[tuple[Hashable, str]]]:
        """Ends the wait for initial requests; returns (responses to send, streams to close)."""
        stream = self.streams[key]
        return self._record_sent(now_ms, key, stream, stream.stream.finish_initial_requests())

    def _record_sent(
        self,
        now_ms: float,
        key: Hashable,
        stream: ProxyStream,
        responses: Iterable[DeltaResponse | SotwResponse],
    ) -> tuple[list[tuple[Hashable, DeltaResponse | SotwResponse]], list[tuple[Hashable, str]]]:
        for response in responses:
            stream.in_flight_since_ms.setdefault(response.resource_type, now_ms)
        return [(key, r) for r in responses], self._handle_events(now_ms, key, stream)

    def _handle_events(
        self, now_ms: float, key: Hashable, stream: ProxyStream
    ) -> list[tuple[Hashable, str]]:
        """Passes a stream's events to the controller; returns the stream if it has to be closed."""
        events = list(stream.stream.events)
        to_close = []
        stream.stream.events.clear()
        for event in events:
            if type(event) is SnapshotAcknowledged:
                self.registry.pending_events.append(
                    core.PushAcknowledged(
                        stream.proxy,
                        event.push_nonce,
                        now_ms - self.push_times_ms.get(event.push_nonce, now_ms),
                    )
                )
            elif type(event) is ResourcesRejected:
                self.counts["refused"] += 1
                stream.rejections = [*stream.rejections, event][-self.options.max_kept_rejections :]
                if event.resource_type == ENDPOINTS and set(event.names) & self.tables.ejected:
                    # The proxy rejected the draining state of an ejected server and keeps sending
                    # to it. Only a disconnect stops that: the proxy reconnects for the current
                    # state or leaves this controller.
                    self.counts["drains_refused"] += 1
                    to_close.append((key, "refused a drain"))
        return to_close

    def reconcile(
        self, now_ms: float
    ) -> tuple[
        list[core.Order],
        list[tuple[Hashable, DeltaResponse | SotwResponse]],
        list[tuple[Hashable, str]],
    ]:
        """Reconciles; returns (orders not for proxies, responses to send, streams to close)."""
        orders = self.registry.reconcile(now_ms)
        nonces = [order.nonce for order in orders if type(order) is core.RequestAcknowledgement]
        if not nonces:
            return orders, [], self._stalled_streams(now_ms)
        self.push_times_ms = {
            nonce: time_ms
            for nonce, time_ms in self.push_times_ms.items()
            if now_ms - time_ms < 60_000.0
        } | {nonces[-1]: now_ms}
        snapshot = self.tables.apply_orders(orders)
        to_send: list[tuple[Hashable, DeltaResponse | SotwResponse]] = []
        to_close: list[tuple[Hashable, str]] = []
        for key, stream in self.streams.items():
            responses, closing = self._record_sent(
                now_ms, key, stream, stream.stream.update_snapshot(snapshot)
            )
            to_send, to_close = to_send + responses, to_close + closing
        other_orders = [
            order
            for order in orders
            if type(order) in (core.StartTimer, core.SendHealthCheck, core.RequestEndpointList)
        ]
        return other_orders, to_send, to_close + self._stalled_streams(now_ms)

    def _stalled_streams(self, now_ms: float) -> list[tuple[Hashable, str]]:
        """Returns the streams whose oldest response in flight is past the timeout.

        One response in flight for each type bounds the data of a stalled stream; this timeout
        bounds how long the stream stays open.
        """
        stalled = [
            key
            for key, stream in self.streams.items()
            if stream.in_flight_since_ms
            and now_ms - min(stream.in_flight_since_ms.values())
            > self.options.acknowledgement_timeout_ms
        ]
        self.counts["stalled"] += len(stalled)
        return [(key, "stalled") for key in stalled]
