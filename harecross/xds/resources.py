"""Builds the xDS v3 messages of a cluster from its published content. Requires the extra `xds`.

A cluster NAME has a Cluster, a ClusterLoadAssignment and a RouteConfiguration with that name, and an API listener
with that name for proxyless gRPC (gRFC A27). Encodings are deterministic: equal content has equal versions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.adaptive_concurrency.v3 import adaptive_concurrency_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from google.protobuf.message import Message

from harecross.policy.balancer import RETRY_BUDGET_RATIO
from harecross.policy.controller import (
    JITTER,
    MIN_RTT_BUFFER,
    MIN_RTT_INTERVAL_US,
    MIN_RTT_REQUESTS,
    SAMPLE_PERCENTILE,
    WINDOW_US,
)
from harecross.policy.fleet_limits import MIN_CONCURRENCY
from harecross.xds.cache import CDS, EDS, LDS, RDS, Resource, Snapshot
from harecross.xds.published import PublishedCluster, PublishedEndpoint
from harecross.xds.publisher import priority

RETRY_PERCENT = 100 * RETRY_BUDGET_RATIO  # percentage of the requests in flight that may be retries
API_VERSION = 2  # envoy.config.core.v3.ApiVersion.V3
CONNECT_TIMEOUT_MS = 500


def encode_resource(name: str, message: Message) -> Resource:
    """Encodes a message as a resource."""
    return Resource.from_body(name, message.SerializeToString(deterministic=True))


def cluster_resource(name: str, request_limit: int, *, load_reports: bool = False) -> Resource:
    """Returns the Cluster, whose endpoints come by EDS over ADS.

    Args:
        name: The cluster's name.
        request_limit: How many requests a proxy may have in flight (a circuit breaker), 0 for no limit.
        load_reports: Whether proxies are asked for load reports (LRS).
    """
    cluster = cluster_pb2.Cluster(name=name, type=cluster_pb2.Cluster.EDS)
    cluster.eds_cluster_config.eds_config.ads.SetInParent()
    cluster.eds_cluster_config.eds_config.resource_api_version = API_VERSION
    cluster.eds_cluster_config.service_name = name
    cluster.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
    cluster.common_lb_config.locality_weighted_lb_config.SetInParent()
    if load_reports:
        cluster.lrs_server.self.SetInParent()
    cluster.connect_timeout.FromMilliseconds(CONNECT_TIMEOUT_MS)
    if request_limit > 0:
        threshold = cluster.circuit_breakers.thresholds.add()
        threshold.max_requests.value = request_limit
        threshold.retry_budget.budget_percent.value = RETRY_PERCENT
        threshold.retry_budget.min_retry_concurrency.value = MIN_CONCURRENCY
    return encode_resource(name, cluster)


def assignment_resource(name: str, endpoints: Sequence[PublishedEndpoint], zone: str = "") -> Resource:
    """Returns the ClusterLoadAssignment for proxies in `zone`, whose servers have the highest priority.

    Each server is a locality of its own, with the server's name as its sub-zone: gRPC's own client follows the
    weights of localities but, with round robin, not those of endpoints (gRFC A27). Envoy follows both. An endpoint
    that must not get new requests stays listed with its health status, so that a proxy knows the reason.
    """
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    zones = {endpoint.zone for endpoint in endpoints}
    for endpoint in sorted(endpoints, key=lambda e: (e.zone, e.name)):
        _add_locality(assignment.endpoints.add(), endpoint, priority(endpoint.zone, zone, zones))
    return encode_resource(name, assignment)


def _add_locality(
    locality: endpoint_pb2.LocalityLbEndpoints, endpoint: PublishedEndpoint, locality_priority: int
) -> None:
    host, _, port = endpoint.address.rpartition(":")
    locality.locality.zone = endpoint.zone
    locality.locality.sub_zone = endpoint.name
    locality.load_balancing_weight.value = endpoint.weight
    locality.priority = locality_priority
    lb_endpoint = locality.lb_endpoints.add()
    lb_endpoint.endpoint.address.socket_address.address = host
    lb_endpoint.endpoint.address.socket_address.port_value = int(port)
    lb_endpoint.health_status = int(endpoint.health)
    lb_endpoint.load_balancing_weight.value = endpoint.weight


def route_resource(name: str) -> Resource:
    """Returns a RouteConfiguration that routes all requests to the cluster."""
    routes = route_pb2.RouteConfiguration(name=name)
    host = routes.virtual_hosts.add(name=name, domains=["*"])
    route = host.routes.add()
    route.match.prefix = ""
    route.route.cluster = name
    return encode_resource(name, routes)


def listener_resource(name: str, *, adaptive_concurrency: bool = False) -> Resource:
    """Returns an API listener. Its adaptive concurrency filter is optional, so that gRPC clients may ignore it."""
    manager = http_connection_manager_pb2.HttpConnectionManager()
    manager.rds.route_config_name = name
    manager.rds.config_source.ads.SetInParent()
    manager.rds.config_source.resource_api_version = API_VERSION
    if adaptive_concurrency:
        concurrency = manager.http_filters.add(
            name="envoy.filters.http.adaptive_concurrency", is_optional=True
        )
        concurrency.typed_config.Pack(gradient_settings(), deterministic=True)
    router = manager.http_filters.add(name="envoy.filters.http.router")
    router.typed_config.Pack(router_pb2.Router(), deterministic=True)
    listener = listener_pb2.Listener(name=name)
    listener.api_listener.api_listener.Pack(manager, deterministic=True)
    return encode_resource(name, listener)


def gradient_settings() -> adaptive_concurrency_pb2.AdaptiveConcurrency:
    """Returns the adaptive concurrency filter with the parameters of the balancer's own controller."""
    settings = adaptive_concurrency_pb2.AdaptiveConcurrency()
    controller = settings.gradient_controller_config
    controller.sample_aggregate_percentile.value = 100 * SAMPLE_PERCENTILE
    controller.concurrency_limit_params.concurrency_update_interval.FromMicroseconds(WINDOW_US)
    controller.min_rtt_calc_params.interval.FromMicroseconds(MIN_RTT_INTERVAL_US)
    controller.min_rtt_calc_params.request_count.value = MIN_RTT_REQUESTS
    controller.min_rtt_calc_params.jitter.value = 100 * JITTER
    controller.min_rtt_calc_params.min_concurrency.value = MIN_CONCURRENCY
    controller.min_rtt_calc_params.buffer.value = 100 * MIN_RTT_BUFFER
    return settings


@dataclass(slots=True)
class EncodedCluster:
    """The encodings of one cluster's content.

    Attributes:
        assignments: The assignment for each zone of proxies; that of "" prefers no zone.
    """

    content: PublishedCluster
    cluster: Resource
    assignments: dict[str, Resource]


class ResourceEncoder:
    """Encodes clusters. Each is encoded once, for as long as its content is the same object."""

    def __init__(self, *, adaptive_concurrency: bool = False, load_reports: bool = False) -> None:
        self._adaptive_concurrency = adaptive_concurrency
        self._load_reports = load_reports
        # The listener and the route of each cluster, which do not depend on its content.
        self._constant: dict[str, tuple[Resource, Resource]] = {}
        self._encoded: dict[str, EncodedCluster] = {}

    def snapshot(self, clusters: Mapping[str, PublishedCluster], zone: str = "") -> Snapshot:
        """Returns all resources of all clusters, as proxies in `zone` get them."""
        self._drop_others(clusters)
        types: dict[str, dict[str, Resource]] = {CDS: {}, EDS: {}, LDS: {}, RDS: {}}
        for name, content in clusters.items():
            encoded = self._encode(name, content)
            types[CDS][name] = encoded.cluster
            if content.endpoints is not None:
                types[EDS][name] = self._assignment(name, encoded, content.endpoints, zone)
            types[LDS][name], types[RDS][name] = self._constant_resources(name)
        withheld = frozenset(name for name, content in clusters.items() if content.endpoints is None)
        return Snapshot(types, withheld)

    def _drop_others(self, clusters: Mapping[str, PublishedCluster]) -> None:
        for name in self._encoded.keys() - clusters.keys():
            del self._encoded[name]
            self._constant.pop(name, None)

    def _encode(self, name: str, content: PublishedCluster) -> EncodedCluster:
        encoded = self._encoded.get(name)
        if encoded is None or encoded.content is not content:
            cluster = cluster_resource(name, content.request_limit, load_reports=self._load_reports)
            encoded = self._encoded[name] = EncodedCluster(content, cluster, {})
        return encoded

    def _assignment(
        self, name: str, encoded: EncodedCluster, endpoints: Sequence[PublishedEndpoint], zone: str
    ) -> Resource:
        if not encoded.content.prefer_own_zone or all(endpoint.zone != zone for endpoint in endpoints):
            zone = ""
        if zone not in encoded.assignments:
            encoded.assignments[zone] = assignment_resource(name, endpoints, zone)
        return encoded.assignments[zone]

    def _constant_resources(self, name: str) -> tuple[Resource, Resource]:
        if name not in self._constant:
            listener = listener_resource(name, adaptive_concurrency=self._adaptive_concurrency)
            self._constant[name] = (listener, route_resource(name))
        return self._constant[name]


class PublishedSnapshots:
    """Published content with a snapshot for each zone, which is built when the first proxy of the zone needs it."""

    def __init__(self, encoder: ResourceEncoder, clusters: Mapping[str, PublishedCluster]) -> None:
        self.clusters = clusters
        self._encoder = encoder
        self._snapshots: dict[str, Snapshot] = {}
        self._zones = {
            endpoint.zone
            for content in clusters.values()
            if content.prefer_own_zone
            for endpoint in content.endpoints or ()
        }

    def for_zone(self, zone: str) -> Snapshot:
        """Returns the snapshot for proxies in a zone."""
        zone = zone if zone in self._zones else ""
        if zone not in self._snapshots:
            self._snapshots[zone] = self._encoder.snapshot(self.clusters, zone)
        return self._snapshots[zone]
