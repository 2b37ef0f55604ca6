"""Real gRPC on loopback: stand-in clients of both forms that join, acknowledge, refuse, are cut and
come back."""

import asyncio

import grpc
import pytest
from controller_harness import ControllerHarness
from envoy.config.route.v3 import route_components_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from havendyke import interface as core
from havendyke.registry import ObjectRegistry
from havendyke.xds import wire
from havendyke.xds.forwarders import Forwarders
from havendyke.xds.resources import CLUSTER, ENDPOINTS, VIRTUAL_HOSTS
from havendyke.xds.server import Server, serve

URL = {kind: wire.PREFIX + url for kind, url in wire.URLS.items()}


class World:
    """A controller with five servers and ten slices behind a gRPC server."""

    async def __aenter__(self):
        self.registry = ObjectRegistry(
            core.Settings(
                request_classes=[core.RequestClass(1000.0, 3000.0, core.Idempotency.IDEMPOTENT)],
                slice_count=10,
                channel_queue_limit=4000.0,
                channel_rate_per_s=4000.0,
                message_overhead=4.0,
                push_delay_ms=20.0,
                warm_up_ms=10_000.0,
            ),
            1,
        )
        front = Forwarders(self.registry, lambda uid: f"127.0.0.9:{1000 + int(uid[1:])}")
        self.list("ready", *(f"s{k}" for k in range(5)))
        front.begin({k: {f"s{k % 5}": 1.0} for k in range(10)})
        self.server = Server(front, ["a", "b"])
        self.grpc, port = await serve(self.server, "127.0.0.1:0")
        self.server.soon()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}")
        self.stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.channel)
        return self

    async def __aexit__(self, *error):
        await self.channel.close()
        await self.grpc.stop(0)

    def list(self, state, *names):
        self.registry.pending_events.append(
            core.EndpointListUpdate(
                core.ListScope.CHANGES,
                [
                    core.EndpointEntry(self.registry.server(n), state, None, 0, 0, 0, 1.0)
                    for n in names
                ],
            )
        )


class Delta:
    """A delta client: a ledger of what it applied, by type and name."""

    def __init__(self, world, node="n1", holds=None):
        self.call, self.node = world.stub.DeltaAggregatedResources(), node
        self.held, self.ledger = (
            holds or {kind: {} for kind in (CLUSTER, ENDPOINTS, VIRTUAL_HOSTS)},
            [],
        )

    def request(self, kind, **more):
        made = discovery_pb2.DeltaDiscoveryRequest(type_url=URL[kind], **more)
        made.node.id, made.node.locality.zone = self.node, "b"
        made.node.metadata["rate"] = 25.0
        return made

    async def start(self):
        for kind in self.held:
            await self.call.write(
                self.request(
                    kind,
                    resource_names_subscribe=["*"],
                    initial_resource_versions={n: v for n, (v, _) in self.held[kind].items()},
                )
            )

    async def read(self, seconds=2.0, refuses=lambda resource: False):
        """Applies what comes until nothing does for a moment."""
        while True:
            try:
                response = await asyncio.wait_for(self.call.read(), seconds)
            except (TimeoutError, grpc.aio.AioRpcError):
                return
            if response is grpc.aio.EOF:
                return
            kind = wire.KINDS[response.type_url]
            answer = self.request(kind, response_nonce=response.nonce)
            if any(refuses(r) for r in response.resources):
                answer.error_detail.message = "cannot use it"
            else:
                for r in response.resources:
                    self.held[kind][r.name] = (r.version, r.resource)
                    self.ledger.append((kind, r.name, r.version))
                for name in response.removed_resources:
                    self.held[kind].pop(name, None)
            await self.call.write(answer)
            seconds = min(seconds, 1.7)


def run(scene):
    async def inside():
        async with World() as world:
            await scene(world)

    asyncio.run(asyncio.wait_for(inside(), 30))


def test_a_delta_client_holds_the_tables_once_and_a_return_brings_the_difference():
    async def scene(world):
        client = Delta(world)
        await client.start()
        await client.read()
        assert len(client.held[VIRTUAL_HOSTS]) == 10 and len(client.ledger) == len(
            set(client.ledger)
        )
        one = route_components_pb2.VirtualHost()
        assert client.held[VIRTUAL_HOSTS]["slice/3"][1].Unpack(one) and "s3" in {
            c.name for c in one.routes[0].route.weighted_clusters.clusters
        }
        (proxy,) = world.registry.proxies.values()
        scene = ControllerHarness.wrap(world.registry.controller)
        assert (
            scene.is_connected(proxy)
            and proxy.zone == 1
            and scene.request_rate(proxy) == 25.0
            and scene.acknowledged_push(proxy) == scene.push_count > 0
        )
        client.call.cancel()  # cut: the drain comes while it is away
        await asyncio.sleep(0.2)
        assert not scene.is_connected(proxy)
        world.list("draining", "s1")
        world.server.soon()
        await asyncio.sleep(1.2)
        back = Delta(world, holds=client.held)
        await back.start()
        await back.read(1.5)
        assert (
            scene.is_connected(proxy)
            and 0 < len(back.ledger) < 25
            and not set(back.ledger) & set(client.ledger)
        )
        told = back.held[ENDPOINTS].get("s1")
        assert (
            told is None or b"\x10\x03" in told[1].value
        )  # gone, or its health says that it drains

    run(scene)


def test_a_whole_state_client_and_a_refusal_that_holds_nobody_back():
    async def scene(world):
        good, call = Delta(world, "good"), world.stub.StreamAggregatedResources()
        await good.start()
        held = {}

        async def whole():
            first = discovery_pb2.DiscoveryRequest(type_url=URL[CLUSTER])
            first.node.id = "whole"
            await call.write(first)
            while (response := await call.read()) is not grpc.aio.EOF:
                held[response.type_url] = response.version_info, len(response.resources)
                await call.write(
                    discovery_pb2.DiscoveryRequest(
                        type_url=response.type_url,
                        response_nonce=response.nonce,
                        version_info=response.version_info,
                    )
                )

        reading = asyncio.get_running_loop().create_task(whole())
        bad = Delta(world, "bad")
        await bad.start()
        await asyncio.gather(good.read(), bad.read(refuses=lambda r: r.name == "slice/3"))
        assert (
            "slice/3" not in bad.held[VIRTUAL_HOSTS]
            and len(bad.held[VIRTUAL_HOSTS]) == 9
            and len(good.held[VIRTUAL_HOSTS]) == 10
        )
        assert (
            held[URL[CLUSTER]][1] == len(good.held[CLUSTER])
            and world.server.forwarders.counts["refused"] >= 1
        )
        reading.cancel()

    run(scene)


@pytest.mark.parametrize(
    "kind, node, said", [("odd", "n", "not served"), (URL[CLUSTER], "", "name its node")]
)
def test_what_a_client_says_wrong_ends_its_stream_with_the_reason(kind, node, said):
    async def scene(world):
        call = world.stub.DeltaAggregatedResources()
        made = discovery_pb2.DeltaDiscoveryRequest(type_url=kind)
        made.node.id = node
        await call.write(made)
        with pytest.raises(grpc.aio.AioRpcError) as error:
            while await call.read() is not grpc.aio.EOF:
                pass
            await call.code()
            raise grpc.aio.AioRpcError(await call.code(), None, None, details=await call.details())
        assert (
            error.value.code() == grpc.StatusCode.INVALID_ARGUMENT and said in error.value.details()
        )
        assert not world.server.forwarders.joined

    run(scene)
