"""Translates between the messages of the xDS protocol (v3) and the types of this package."""

from typing import Any

import orjson
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_components_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from .resources import CLUSTER, ENDPOINTS, LISTENER, ROUTES, VIRTUAL_HOSTS, Resource
from .sotw import SotwRequest, SotwResponse
from .stream import DeltaRequest, DeltaResponse, InvalidRequestError

TYPE_URL_PREFIX = "type.googleapis.com/"
MESSAGE_NAMES = {
    CLUSTER: "envoy.config.cluster.v3.Cluster",
    ENDPOINTS: "envoy.config.endpoint.v3.ClusterLoadAssignment",
    LISTENER: "envoy.config.listener.v3.Listener",
    ROUTES: "envoy.config.route.v3.RouteConfiguration",
    VIRTUAL_HOSTS: "envoy.config.route.v3.VirtualHost",
}
RESOURCE_TYPES = {
    TYPE_URL_PREFIX + message_name: resource_type
    for resource_type, message_name in MESSAGE_NAMES.items()
}
HEALTH_STATUSES = {"healthy": health_check_pb2.HEALTHY, "draining": health_check_pb2.DRAINING}
# A request beyond these limits does not come from a proxy.
MAX_NAMES_PER_REQUEST, MAX_NAME_CHARACTERS = 100_000, 512


def encode_cluster(name: str, body: bytes) -> Any:
    """Returns a cluster whose endpoints are discovered on the same stream."""
    cluster = cluster_pb2.Cluster(name=name, type=cluster_pb2.Cluster.EDS)
    cluster.eds_cluster_config.eds_config.ads.SetInParent()
    cluster.eds_cluster_config.eds_config.resource_api_version = config_source_pb2.V3
    return cluster


def encode_endpoints(name: str, body: bytes) -> Any:
    """Returns a cluster's only endpoint, from a body of [host:port, health]."""
    address, health = orjson.loads(body)
    host, _, port = address.rpartition(":")
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    endpoint = assignment.endpoints.add().lb_endpoints.add(health_status=HEALTH_STATUSES[health])
    endpoint.endpoint.address.socket_address.address = host
    endpoint.endpoint.address.socket_address.port_value = int(port)
    return assignment


def encode_virtual_host(name: str, body: bytes) -> Any:
    """Returns a virtual host, from a body of {cluster: weight}; without weights it has no route."""
    virtual_host = route_components_pb2.VirtualHost(name=name, domains=[name])
    weights = orjson.loads(body)
    if weights:
        route = virtual_host.routes.add()
        route.match.prefix = "/"
        for cluster in sorted(weights):
            route.route.weighted_clusters.clusters.add(name=cluster).weight.value = weights[cluster]
    return virtual_host


ENCODERS = {
    CLUSTER: encode_cluster,
    ENDPOINTS: encode_endpoints,
    VIRTUAL_HOSTS: encode_virtual_host,
}


def pack_resource(resource_type: str, resource: Resource) -> any_pb2.Any:
    """Encodes a resource's body into the protocol's envelope."""
    packed = any_pb2.Any()
    packed.Pack(
        ENCODERS[resource_type](resource.name, resource.body), type_url_prefix=TYPE_URL_PREFIX
    )
    return packed


def parse_type_url(url: str) -> str:
    """Returns the resource type of a type URL."""
    if url not in RESOURCE_TYPES:
        raise InvalidRequestError(f"type '{url[:80]}' is not served")
    return RESOURCE_TYPES[url]


def parse_names(values: Any, field: str) -> tuple[str, ...]:
    """Returns the resource names of a request's field, checked against the limits."""
    names = tuple(values)
    if len(names) > MAX_NAMES_PER_REQUEST:
        raise InvalidRequestError(f"{len(names)} names in {field} exceed the limit for a request")
    for name in names:
        if len(name) > MAX_NAME_CHARACTERS or not name:
            raise InvalidRequestError(
                f"a name in {field} is empty or too long: {len(name)} characters"
            )
    return names


def parse_delta_request(message: Any) -> DeltaRequest:
    """Parses a DeltaDiscoveryRequest."""
    initial_versions = dict(message.initial_resource_versions)
    parse_names(initial_versions, "initial_resource_versions")
    return DeltaRequest(
        parse_type_url(message.type_url),
        parse_names(message.resource_names_subscribe, "resource_names_subscribe"),
        parse_names(message.resource_names_unsubscribe, "resource_names_unsubscribe"),
        initial_versions or None,
        message.response_nonce,
        message.error_detail.message if message.HasField("error_detail") else None,
    )


def parse_sotw_request(message: Any) -> SotwRequest:
    """Parses a DiscoveryRequest."""
    return SotwRequest(
        parse_type_url(message.type_url),
        message.version_info,
        parse_names(message.resource_names, "resource_names"),
        message.response_nonce,
        message.error_detail.message if message.HasField("error_detail") else None,
    )


def encode_delta_response(response: DeltaResponse) -> Any:
    """Returns a DeltaDiscoveryResponse."""
    message = discovery_pb2.DeltaDiscoveryResponse(
        type_url=TYPE_URL_PREFIX + MESSAGE_NAMES[response.resource_type],
        nonce=response.nonce,
        system_version_info=str(response.push_nonce),
        removed_resources=list(response.removed),
    )
    for resource in response.resources:
        message.resources.add(name=resource.name, version=resource.version).resource.CopyFrom(
            pack_resource(response.resource_type, resource)
        )
    return message


def encode_sotw_response(response: SotwResponse) -> Any:
    """Returns a DiscoveryResponse."""
    return discovery_pb2.DiscoveryResponse(
        type_url=TYPE_URL_PREFIX + MESSAGE_NAMES[response.resource_type],
        nonce=response.nonce,
        version_info=response.version,
        resources=[
            pack_resource(response.resource_type, resource) for resource in response.resources
        ],
    )


def parse_node(message: Any) -> tuple[str, str, float]:
    """Returns the (id, zone name, requests per second) of a request's node.

    The rate is the node's own estimate, 1 if it states none.
    """
    if not message.node.id or len(message.node.id) > MAX_NAME_CHARACTERS:
        raise InvalidRequestError("the first request of a stream must name its node")
    request_rate = 1.0
    if "rate" in message.node.metadata.fields:
        request_rate = message.node.metadata.fields["rate"].number_value
        if not 0.0 < request_rate <= 1e6:
            raise InvalidRequestError(f"the node's rate is out of range: {request_rate}")
    return message.node.id, message.node.locality.zone, request_rate
