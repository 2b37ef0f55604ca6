"""The gRPC service on loopback, with clients of both variants of the protocol."""

import asyncio

import grpc
import pytest
from controller_harness import ControllerHarness
from envoy.config.route.v3 import route_components_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from havendyke import interface as core
from havendyke.registry import ObjectRegistry
from havendyke.xds import wire
from havendyke.xds.proxy_streams import ProxyStreams
from havendyke.xds.resources import CLUSTER, ENDPOINTS, VIRTUAL_HOSTS
from havendyke.xds.server import DiscoveryService, serve

TYPE_URLS = {
    resource_type: wire.TYPE_URL_PREFIX + name for resource_type, name in wire.MESSAGE_NAMES.items()
}


class Deployment:
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
        proxy_streams = ProxyStreams(
            self.registry, lambda server_id: f"127.0.0.9:{1000 + int(server_id[1:])}"
        )
        self.update_endpoints("ready", *(f"s{k}" for k in range(5)))
        proxy_streams.assign_slices({k: {f"s{k % 5}": 1.0} for k in range(10)})
        self.service = DiscoveryService(proxy_streams, ["a", "b"])
        self.grpc_server, port = await serve(self.service, "127.0.0.1:0")
        self.service.schedule_reconciliation()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}")
        self.stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.channel)
        return self

    async def __aexit__(self, *error):
        await self.channel.close()
        await self.grpc_server.stop(0)

    def update_endpoints(self, state, *names):
        self.registry.pending_events.append(
            core.EndpointListUpdate(
                core.ListScope.CHANGES,
                [
                    core.EndpointEntry(self.registry.server(n), state, None, 0, 0, 0, 1.0)
                    for n in names
                ],
            )
        )


class DeltaClient:
    """An incremental client: holds resources by type and name and lists all that it applied."""

    def __init__(self, deployment, node_id="n1", resources=None):
        self.call, self.node_id = deployment.stub.DeltaAggregatedResources(), node_id
        self.resources, self.applied = (
            resources
            or {resource_type: {} for resource_type in (CLUSTER, ENDPOINTS, VIRTUAL_HOSTS)},
            [],
        )

    def make_request(self, resource_type, **fields):
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=TYPE_URLS[resource_type], **fields)
        request.node.id, request.node.locality.zone = self.node_id, "b"
        request.node.metadata["rate"] = 25.0
        return request

    async def start(self):
        for resource_type in self.resources:
            await self.call.write(
                self.make_request(
                    resource_type,
                    resource_names_subscribe=["*"],
                    initial_resource_versions={
                        n: v for n, (v, _) in self.resources[resource_type].items()
                    },
                )
            )

    async def read(self, seconds=2.0, rejects=lambda resource: False):
        """Applies responses until none arrives for `seconds`, or for 1.7 s after the first one."""
        while True:
            try:
                response = await asyncio.wait_for(self.call.read(), seconds)
            except (TimeoutError, grpc.aio.AioRpcError):
                return
            if response is grpc.aio.EOF:
                return
            resource_type = wire.RESOURCE_TYPES[response.type_url]
            answer = self.make_request(resource_type, response_nonce=response.nonce)
            if any(rejects(r) for r in response.resources):
                answer.error_detail.message = "cannot use it"
            else:
                for r in response.resources:
                    self.resources[resource_type][r.name] = (r.version, r.resource)
                    self.applied.append((resource_type, r.name, r.version))
                for name in response.removed_resources:
                    self.resources[resource_type].pop(name, None)
            await self.call.write(answer)
            seconds = min(seconds, 1.7)


def run(scenario):
    async def run_scenario():
        async with Deployment() as deployment:
            await scenario(deployment)

    asyncio.run(asyncio.wait_for(run_scenario(), 30))


def test_a_delta_client_applies_each_version_once_and_receives_the_difference_on_reconnecting():
    async def scenario(deployment):
        client = DeltaClient(deployment)
        await client.start()
        await client.read()
        assert len(client.resources[VIRTUAL_HOSTS]) == 10 and len(client.applied) == len(
            set(client.applied)
        )
        virtual_host = route_components_pb2.VirtualHost()
        assert client.resources[VIRTUAL_HOSTS]["slice/3"][1].Unpack(virtual_host) and "s3" in {
            c.name for c in virtual_host.routes[0].route.weighted_clusters.clusters
        }
        (proxy,) = deployment.registry.proxies.values()
        controller = ControllerHarness.wrap(deployment.registry.controller)
        assert (
            controller.is_connected(proxy)
            and proxy.zone == 1
            and controller.request_rate(proxy) == 25.0
            and controller.acknowledged_push(proxy) == controller.push_count > 0
        )
        client.call.cancel()  # the server starts draining while the client is disconnected
        await asyncio.sleep(0.2)
        assert not controller.is_connected(proxy)
        deployment.update_endpoints("draining", "s1")
        deployment.service.schedule_reconciliation()
        await asyncio.sleep(1.2)
        reconnected = DeltaClient(deployment, resources=client.resources)
        await reconnected.start()
        await reconnected.read(1.5)
        assert (
            controller.is_connected(proxy)
            and 0 < len(reconnected.applied) < 25
            and not set(reconnected.applied) & set(client.applied)
        )
        endpoint = reconnected.resources[ENDPOINTS].get("s1")
        # The endpoint is removed, or its health status is DRAINING.
        assert endpoint is None or b"\x10\x03" in endpoint[1].value

    run(scenario)


def test_a_sotw_client_is_served_and_a_rejection_delays_no_other_client():
    async def scenario(deployment):
        accepting, call = (
            DeltaClient(deployment, "good"),
            deployment.stub.StreamAggregatedResources(),
        )
        await accepting.start()
        received = {}

        async def run_sotw_client():
            first = discovery_pb2.DiscoveryRequest(type_url=TYPE_URLS[CLUSTER])
            first.node.id = "whole"
            await call.write(first)
            while (response := await call.read()) is not grpc.aio.EOF:
                received[response.type_url] = response.version_info, len(response.resources)
                await call.write(
                    discovery_pb2.DiscoveryRequest(
                        type_url=response.type_url,
                        response_nonce=response.nonce,
                        version_info=response.version_info,
                    )
                )

        reading = asyncio.get_running_loop().create_task(run_sotw_client())
        rejecting = DeltaClient(deployment, "bad")
        await rejecting.start()
        await asyncio.gather(
            accepting.read(), rejecting.read(rejects=lambda r: r.name == "slice/3")
        )
        assert (
            "slice/3" not in rejecting.resources[VIRTUAL_HOSTS]
            and len(rejecting.resources[VIRTUAL_HOSTS]) == 9
            and len(accepting.resources[VIRTUAL_HOSTS]) == 10
        )
        assert (
            received[TYPE_URLS[CLUSTER]][1] == len(accepting.resources[CLUSTER])
            and deployment.service.proxy_streams.counts["refused"] >= 1
        )
        reading.cancel()

    run(scenario)


@pytest.mark.parametrize(
    "type_url, node_id, message",
    [("odd", "n", "not served"), (TYPE_URLS[CLUSTER], "", "name its node")],
)
def test_an_invalid_request_ends_the_stream_with_the_reason(type_url, node_id, message):
    async def scenario(deployment):
        call = deployment.stub.DeltaAggregatedResources()
        request = discovery_pb2.DeltaDiscoveryRequest(type_url=type_url)
        request.node.id = node_id
        await call.write(request)
        with pytest.raises(grpc.aio.AioRpcError) as error:
            while await call.read() is not grpc.aio.EOF:
                pass
            await call.code()
            raise grpc.aio.AioRpcError(await call.code(), None, None, details=await call.details())
        assert (
            error.value.code() == grpc.StatusCode.INVALID_ARGUMENT
            and message in error.value.details()
        )
        assert not deployment.service.proxy_streams.streams

    run(scenario)
