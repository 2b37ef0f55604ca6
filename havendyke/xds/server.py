"""The gRPC service for the proxies' streams, with their response queues and the clock.

It makes no decisions.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc

from .. import interface as core
from . import wire
from .proxy_streams import ProxyStreams
from .stream import InvalidRequestError

if TYPE_CHECKING:
    from ..state import Server

END_OF_STREAM = object()
# After its first request a stream has this time to request all types that the proxy holds.
INITIAL_REQUESTS_S = 1.0


class DiscoveryService(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):  # type: ignore[misc]
    """Serves both variants of the protocol.

    `zone_names` are in the order of the settings. `log(event, **fields)` logs errors.
    `send_health_check(server)` carries out a health check, where the deployment has health checks.
    """

    def __init__(
        self,
        proxy_streams: ProxyStreams,
        zone_names: Sequence[str],
        log: Callable[..., None] = lambda event, **fields: None,
        send_health_check: Callable[[Server], None] = lambda server: None,
        max_streams: int = 1000,
    ) -> None:
        self.proxy_streams = proxy_streams
        self.zone_names = zone_names
        self.log = log
        self.send_health_check = send_health_check
        self.max_streams = max_streams
        self.queues: dict[int, asyncio.Queue[Any]] = {}
        self.reconciliation_scheduled = False
        self.timers: set[asyncio.TimerHandle] = set()
        self.last_stream_key = 0

    @staticmethod
    def now_ms() -> float:
        """Returns the time of the monotonic clock."""
        return time.monotonic() * 1000

    def add_event(self, event: core.Event) -> None:
        """Adds an event from another source, such as an endpoint list or a load report."""
        self.proxy_streams.registry.pending_events.append(event)
        self.schedule_reconciliation()

    def schedule_reconciliation(self) -> None:
        """Schedules a reconciliation on the event loop, unless one is scheduled already."""
        if not self.reconciliation_scheduled:
            self.reconciliation_scheduled = True
            asyncio.get_running_loop().call_soon(self._reconcile)

    def _reconcile(self) -> None:
        self.reconciliation_scheduled = False
        orders, responses, to_close = self.proxy_streams.reconcile(self.now_ms())
        for order in orders:
            if type(order) is core.StartTimer:
                timer = asyncio.get_running_loop().call_later(
                    order.delay_ms / 1000, self._fire_timer, order.timer_id
                )
                self.timers.add(timer)
            elif type(order) is core.SendHealthCheck:
                self.send_health_check(order.server)
        self._deliver(responses, to_close)
        if self.proxy_streams.registry.pending_events:
            # Streams whose proxy held everything already acknowledge the push at once.
            self.schedule_reconciliation()

    def _fire_timer(self, timer_id: int) -> None:
        self.timers = {t for t in self.timers if t.when() > asyncio.get_running_loop().time()}
        self.add_event(core.TimerFired(timer_id))

    def _deliver(self, responses: Iterable[Any], to_close: Iterable[Any]) -> None:
        for key, response in responses:
            if key in self.queues:
                # The state machine bounds the queue: one response in flight for each type.
                self.queues[key].put_nowait(response)
        for key, reason in to_close:
            self.log("stream_closed", stream=key, why=reason)
            if key in self.queues:
                self.queues[key].put_nowait(END_OF_STREAM)
            self.proxy_streams.close_stream(key)
            self.schedule_reconciliation()

    def _finish_initial_requests(self, key: int) -> None:
        if key in self.proxy_streams.streams:
            self._deliver(*self.proxy_streams.finish_initial_requests(self.now_ms(), key))
            self.schedule_reconciliation()

    async def DeltaAggregatedResources(self, requests: Any, context: Any) -> AsyncIterator[Any]:
        """Serves a stream of the incremental protocol."""
        async for response in self._serve_stream(
            requests, context, wire.parse_delta_request, wire.encode_delta_response, False
        ):
            yield response

    async def StreamAggregatedResources(self, requests: Any, context: Any) -> AsyncIterator[Any]:
        """Serves a stream of the state of the world protocol."""
        async for response in self._serve_stream(
            requests, context, wire.parse_sotw_request, wire.encode_sotw_response, True
        ):
            yield response

    async def _serve_stream(
        self,
        requests: Any,
        context: Any,
        parse_request: Callable[[Any], Any],
        encode_response: Callable[[Any], Any],
        sotw: bool,
    ) -> AsyncIterator[Any]:
        if len(self.queues) >= self.max_streams:
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                f"the limit of {self.max_streams} streams is reached",
            )
        self.last_stream_key += 1
        key = self.last_stream_key
        queue: asyncio.Queue[Any] = asyncio.Queue()
        self.queues[key] = queue
        reader = asyncio.get_running_loop().create_task(
            self._read_requests(key, requests, queue, parse_request, sotw)
        )
        try:
            while (response := await queue.get()) is not END_OF_STREAM:
                if isinstance(response, InvalidRequestError):
                    await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(response))
                yield encode_response(response)
        finally:
            reader.cancel()
            del self.queues[key]
            if key in self.proxy_streams.streams:
                self.proxy_streams.close_stream(key)
                self.schedule_reconciliation()

    async def _read_requests(
        self,
        key: int,
        requests: Any,
        queue: asyncio.Queue[Any],
        parse_request: Callable[[Any], Any],
        sotw: bool,
    ) -> None:
        """Handles a stream's requests to its end; an invalid one ends it with the reason."""
        try:
            async for message in requests:
                if key not in self.proxy_streams.streams:
                    node_id, zone, request_rate = wire.parse_node(message)
                    self.proxy_streams.open_stream(
                        key,
                        node_id,
                        max(0, self.zone_names.index(zone) if zone in self.zone_names else 0),
                        request_rate,
                        sotw,
                    )
                    asyncio.get_running_loop().call_later(
                        INITIAL_REQUESTS_S, self._finish_initial_requests, key
                    )
                self._deliver(
                    *self.proxy_streams.handle_request(self.now_ms(), key, parse_request(message))
                )
                self.schedule_reconciliation()
            queue.put_nowait(END_OF_STREAM)
        except InvalidRequestError as error:
            self.log("stream_refused", stream=key, field=str(error)[:200])
            queue.put_nowait(error)
        except (KeyError, grpc.RpcError):
            # The stream was closed, by this side or the proxy, while a request was handled.
            queue.put_nowait(END_OF_STREAM)


async def serve(service: DiscoveryService, address: str) -> tuple[Any, int]:
    """Starts a gRPC server at a loopback or private address; returns it and its port."""
    server = grpc.aio.server(
        options=[("grpc.so_reuseport", 0), ("grpc.max_receive_message_length", 1 << 22)]
    )
    ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(service, server)
    port = server.add_insecure_port(address)
    await server.start()
    return server, port
