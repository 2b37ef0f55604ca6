"""gRPC round the forwarders: streams, their queues, the clock. It decides nothing."""

import asyncio
import time

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc

from .. import interface as core
from . import wire
from .forwarders import Forwarders
from .stream import InvalidRequestError

END = object()
BEGUN = 1.0  # s after its first request by which a stream has asked for all types that it holds


class Server(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):
    """`zones` are the settings' names in order; `log(event, **more)` hears of what goes wrong;
    `probe(server)` carries a probe order out, where the installation probes."""

    def __init__(
        self,
        forwarders: Forwarders,
        zones: list,
        log=lambda event, **more: None,
        probe=lambda server: None,
        streams: int = 1000,
    ):
        self.forwarders, self.zones, self.log, self.probe, self.most = (
            forwarders,
            zones,
            log,
            probe,
            streams,
        )
        self.queues, self.due, self.timers, self.serial = {}, False, set(), 0

    @staticmethod
    def now() -> float:
        return time.monotonic() * 1000

    # Turns

    def tell(self, event):
        """An event from elsewhere: a list, a report, a probe's answer."""
        self.forwarders.registry.pending_events.append(event)
        self.soon()

    def soon(self):
        if not self.due:
            self.due = True
            asyncio.get_running_loop().call_soon(self.turn)

    def turn(self):
        self.due = False
        orders, responses, close = self.forwarders.turn(self.now())
        for order in orders:
            if type(order) is core.StartTimer:
                timer = asyncio.get_running_loop().call_later(
                    order.delay_ms / 1000, self.ring, order.timer_id
                )
                self.timers.add(timer)
            elif type(order) is core.SendHealthCheck:
                self.probe(order.server)
        self.deliver(responses, close)
        if self.forwarders.registry.pending_events:
            self.soon()  # marks that were answered by what was held already

    def ring(self, tag):
        self.timers = {t for t in self.timers if t.when() > asyncio.get_running_loop().time()}
        self.tell(core.TimerFired(tag))

    def deliver(self, responses, close):
        for key, response in responses:
            if key in self.queues:
                self.queues[key].put_nowait(response)  # one a type: the state machine bounds it
        for key, why in close:
            self.log("stream_closed", stream=key, why=why)
            if key in self.queues:
                self.queues[key].put_nowait(END)
            self.forwarders.closed(key)
            self.soon()

    # Streams

    def begun(self, key):
        if key in self.forwarders.joined:
            self.deliver(*self.forwarders.began(self.now(), key))
            self.soon()

    async def DeltaAggregatedResources(self, requests, context):
        async for response in self.stream(
            requests, context, wire.delta_ask, wire.delta_response, False
        ):
            yield response

    async def StreamAggregatedResources(self, requests, context):
        async for response in self.stream(
            requests, context, wire.whole_ask, wire.whole_response, True
        ):
            yield response

    async def stream(self, requests, context, ask_of, response_of, whole):
        if len(self.queues) >= self.most:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"over {self.most} streams")
        self.serial += 1
        key, queue = self.serial, asyncio.Queue()
        self.queues[key] = queue
        reader = asyncio.get_running_loop().create_task(
            self.read(key, requests, queue, ask_of, whole)
        )
        try:
            while (response := await queue.get()) is not END:
                if isinstance(response, InvalidRequestError):
                    await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(response))
                yield response_of(response)
        finally:
            reader.cancel()
            del self.queues[key]
            if key in self.forwarders.joined:
                self.forwarders.closed(key)
                self.soon()

    async def read(self, key, requests, queue, ask_of, whole):
        """All that one forwarder says, to its end; what it says wrong ends it with the reason."""
        try:
            async for told in requests:
                if key not in self.forwarders.joined:
                    node, zone, rate = wire.node_of(told)
                    self.forwarders.opened(
                        key,
                        node,
                        max(0, self.zones.index(zone) if zone in self.zones else 0),
                        rate,
                        whole,
                    )
                    asyncio.get_running_loop().call_later(BEGUN, self.begun, key)
                self.deliver(*self.forwarders.asked(self.now(), key, ask_of(told)))
                self.soon()
            queue.put_nowait(END)
        except InvalidRequestError as error:
            self.log("stream_refused", stream=key, field=str(error)[:200])
            queue.put_nowait(error)
        except (KeyError, grpc.RpcError):
            queue.put_nowait(END)  # closed by us, or gone, while it was speaking


async def serve(servicer: Server, address: str):
    """A running gRPC server at a loopback or private address; `port` is the one it got."""
    server = grpc.aio.server(
        options=[("grpc.so_reuseport", 0), ("grpc.max_receive_message_length", 1 << 22)]
    )
    ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(servicer, server)
    port = server.add_insecure_port(address)
    await server.start()
    return server, port
