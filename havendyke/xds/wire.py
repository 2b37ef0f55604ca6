"""The protocol's messages (v3) to the streams' words and back; the protocol's names stop here."""

import orjson
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_components_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from .resources import CLUSTER, ENDPOINTS, LISTENER, ROUTES, VIRTUAL_HOSTS, Resource
from .stream import DeltaRequest, DeltaResponse, InvalidRequestError
from .whole import SotwRequest, SotwResponse

PREFIX = "type.googleapis.com/"
URLS = {
    CLUSTER: "envoy.config.cluster.v3.Cluster",
    ENDPOINTS: "envoy.config.endpoint.v3.ClusterLoadAssignment",
    LISTENER: "envoy.config.listener.v3.Listener",
    ROUTES: "envoy.config.route.v3.RouteConfiguration",
    VIRTUAL_HOSTS: "envoy.config.route.v3.VirtualHost",
}
KINDS = {PREFIX + url: kind for kind, url in URLS.items()}
HEALTH = {"healthy": health_check_pb2.HEALTHY, "draining": health_check_pb2.DRAINING}
NAMES, NAME = 100_000, 512  # names in one request, and bytes of one: beyond, it is no forwarder


def cluster(name, body):
    made = cluster_pb2.Cluster(name=name, type=cluster_pb2.Cluster.EDS)
    made.eds_cluster_config.eds_config.ads.SetInParent()
    made.eds_cluster_config.eds_config.resource_api_version = config_source_pb2.V3
    return made


def endpoints(name, body):
    address, health = orjson.loads(body)
    host, _, port = address.rpartition(":")
    made = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    one = made.endpoints.add().lb_endpoints.add(health_status=HEALTH[health])
    one.endpoint.address.socket_address.address = host
    one.endpoint.address.socket_address.port_value = int(port)
    return made


def host(name, body):
    made = route_components_pb2.VirtualHost(name=name, domains=[name])
    lines = orjson.loads(body)
    if lines:
        route = made.routes.add()
        route.match.prefix = "/"
        for uid in sorted(lines):
            route.route.weighted_clusters.clusters.add(name=uid).weight.value = lines[uid]
    return made


FORMS = {CLUSTER: cluster, ENDPOINTS: endpoints, VIRTUAL_HOSTS: host}


def packed(kind: str, one: Resource) -> any_pb2.Any:
    made = any_pb2.Any()
    made.Pack(FORMS[kind](one.name, one.body), type_url_prefix=PREFIX)
    return made


def kind_of(url: str) -> str:
    if url not in KINDS:
        raise InvalidRequestError(f"type '{url[:80]}' is not served")
    return KINDS[url]


def names(told, what: str) -> tuple:
    made = tuple(told)
    if len(made) > NAMES:
        raise InvalidRequestError(f"{len(made)} {what} in one request")
    for name in made:
        if len(name) > NAME or not name:
            raise InvalidRequestError(f"one of the {what} has {len(name)} characters")
    return made


def delta_ask(told) -> DeltaRequest:
    """A DeltaDiscoveryRequest."""
    holds = dict(told.initial_resource_versions)
    names(holds, "initial_resource_versions")
    return DeltaRequest(
        kind_of(told.type_url),
        names(told.resource_names_subscribe, "resource_names_subscribe"),
        names(told.resource_names_unsubscribe, "resource_names_unsubscribe"),
        holds or None,
        told.response_nonce,
        told.error_detail.message if told.HasField("error_detail") else None,
    )


def whole_ask(told) -> SotwRequest:
    """A DiscoveryRequest."""
    return SotwRequest(
        kind_of(told.type_url),
        told.version_info,
        names(told.resource_names, "resource_names"),
        told.response_nonce,
        told.error_detail.message if told.HasField("error_detail") else None,
    )


def delta_response(told: DeltaResponse):
    made = discovery_pb2.DeltaDiscoveryResponse(
        type_url=PREFIX + URLS[told.resource_type],
        nonce=told.nonce,
        system_version_info=str(told.push_nonce),
        removed_resources=list(told.removed),
    )
    for one in told.resources:
        made.resources.add(name=one.name, version=one.version).resource.CopyFrom(
            packed(told.resource_type, one)
        )
    return made


def whole_response(told: SotwResponse):
    return discovery_pb2.DiscoveryResponse(
        type_url=PREFIX + URLS[told.resource_type],
        nonce=told.nonce,
        version_info=told.version,
        resources=[packed(told.resource_type, one) for one in told.resources],
    )


def node_of(told) -> tuple:
    """(id, zone's name, operations a second) of a request's node; the rate is rough, 1 where none
    is told."""
    if not told.node.id or len(told.node.id) > NAME:
        raise InvalidRequestError("the first request of a stream must name its node")
    rate = 1.0
    if "rate" in told.node.metadata.fields:
        rate = told.node.metadata.fields["rate"].number_value
        if not 0.0 < rate <= 1e6:
            raise InvalidRequestError(f"the node's rate is {rate}")
    return told.node.id, told.node.locality.zone, rate
