"""Builds the xDS v3 messages of one cluster from what is published of it. Needs the extra `xds`.

A cluster NAME has a Cluster, a ClusterLoadAssignment and a RouteConfiguration of that name, and an API listener of
that name for proxyless gRPC (gRFC A27). Encodings are deterministic: equal content has equal versions.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.http.adaptive_concurrency.v3 import adaptive_concurrency_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from google.protobuf.message import Message

from harecross.fleet_limits import MIN_CONCURRENCY
from harecross.policy.balancer import RETRY_BUDGET_RATIO
from harecross.policy.controller import (
    JITTER,
    MIN_RTT_BUFFER,
    MIN_RTT_INTERVAL_US,
    MIN_RTT_REQUESTS,
    SAMPLE_PERCENTILE,
    WINDOW_US,
)
from harecross.xds.cache import CDS, EDS, LDS, RDS, Resource, Snapshot
from harecross.xds.publish import PublishedEndpoint, Told, priority

RETRY_PERCENT = 100 * RETRY_BUDGET_RATIO  # of the calls out may be retries


def encoded(name: str, message: Message) -> Resource:
    return Resource.of(name, message.SerializeToString(deterministic=True))


def cluster(name: str, limit: int, loads: bool = False) -> Resource:
    """EDS over ADS; `limit` calls may be out at once (circuit breaker), 0 for no bound; `loads` asks for LRS."""
    c = cluster_pb2.Cluster(name=name, type=cluster_pb2.Cluster.EDS)
    c.eds_cluster_config.eds_config.ads.SetInParent()
    c.eds_cluster_config.eds_config.resource_api_version = 2  # V3
    c.eds_cluster_config.service_name = name
    c.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
    c.common_lb_config.locality_weighted_lb_config.SetInParent()
    if loads:
        c.lrs_server.self.SetInParent()
    c.connect_timeout.FromMilliseconds(500)
    if limit > 0:
        threshold = c.circuit_breakers.thresholds.add()
        threshold.max_requests.value = limit
        threshold.retry_budget.budget_percent.value = RETRY_PERCENT
        threshold.retry_budget.min_retry_concurrency.value = MIN_CONCURRENCY
    return encoded(name, c)


def assignment(name: str, endpoints: Sequence[PublishedEndpoint], zone: str = "") -> Resource:
    """One locality for each server, its sub-zone the server's name; those of `zone`, if it has any, go first.

    gRPC's own client follows the weights of localities but, in round robin, not those of endpoints (gRFC A27);
    Envoy follows both. An endpoint that is to get nothing new stays listed, so that a proxy knows why.
    """
    a = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    zones = {e.zone for e in endpoints}
    for e in sorted(endpoints, key=lambda e: (e.zone, e.name)):
        host, _, port = e.address.rpartition(":")
        locality = a.endpoints.add()
        locality.locality.zone = e.zone
        locality.locality.sub_zone = e.name
        locality.load_balancing_weight.value = e.weight
        locality.priority = priority(e.zone, zone, zones)
        lb = locality.lb_endpoints.add()
        lb.endpoint.address.socket_address.address = host
        lb.endpoint.address.socket_address.port_value = int(port)
        lb.health_status = int(e.health)
        lb.load_balancing_weight.value = e.weight
    return encoded(name, a)


def route(name: str) -> Resource:
    r = route_pb2.RouteConfiguration(name=name)
    host = r.virtual_hosts.add(name=name, domains=["*"])
    entry = host.routes.add()
    entry.match.prefix = ""
    entry.route.cluster = name
    return encoded(name, r)


def listener(name: str, adaptive: bool = False) -> Resource:
    """An API listener; `adaptive` adds the adaptive concurrency filter, which gRPC may leave out."""
    manager = http_connection_manager_pb2.HttpConnectionManager()
    manager.rds.route_config_name = name
    manager.rds.config_source.ads.SetInParent()
    manager.rds.config_source.resource_api_version = 2
    if adaptive:
        f = manager.http_filters.add(name="envoy.filters.http.adaptive_concurrency", is_optional=True)
        f.typed_config.Pack(gradient(), deterministic=True)
    last = manager.http_filters.add(name="envoy.filters.http.router")
    last.typed_config.Pack(router_pb2.Router(), deterministic=True)
    result = listener_pb2.Listener(name=name)
    result.api_listener.api_listener.Pack(manager, deterministic=True)
    return encoded(name, result)


def gradient() -> adaptive_concurrency_pb2.AdaptiveConcurrency:
    """The filter with the decision module's own figures."""
    a = adaptive_concurrency_pb2.AdaptiveConcurrency()
    g = a.gradient_controller_config
    g.sample_aggregate_percentile.value = 100 * SAMPLE_PERCENTILE
    g.concurrency_limit_params.concurrency_update_interval.FromMicroseconds(WINDOW_US)
    g.min_rtt_calc_params.interval.FromMicroseconds(MIN_RTT_INTERVAL_US)
    g.min_rtt_calc_params.request_count.value = MIN_RTT_REQUESTS
    g.min_rtt_calc_params.jitter.value = 100 * JITTER
    g.min_rtt_calc_params.min_concurrency.value = MIN_CONCURRENCY
    g.min_rtt_calc_params.buffer.value = 100 * MIN_RTT_BUFFER
    return a


class Encoder:
    """Builds resources, each once while what is told of its cluster stays the same object."""

    def __init__(self, adaptive: bool = False, loads: bool = False) -> None:
        self.adaptive = adaptive
        self.loads = loads
        self.fixed: dict[str, tuple[Resource, Resource]] = {}
        self.clusters: dict[str, tuple[Told, Resource, dict[str, Resource]]] = {}

    def of(self, name: str, told: Told, zone: str) -> tuple[Resource, Resource | None]:
        """The cluster and, where its servers are known, their assignment as a proxy in `zone` gets it."""
        entry = self.clusters.get(name)
        if entry is None or entry[0] is not told:
            entry = self.clusters[name] = (told, cluster(name, told.limit, self.loads), {})
        if told.endpoints is None:
            return entry[1], None
        if not told.zoned or all(e.zone != zone for e in told.endpoints):
            zone = ""
        made = entry[2]
        if zone not in made:
            made[zone] = assignment(name, told.endpoints, zone)
        return entry[1], made[zone]

    def snapshot(self, clusters: Mapping[str, Told], zone: str = "") -> Snapshot:
        """All resources of all clusters."""
        for name in self.clusters.keys() - clusters.keys():
            del self.clusters[name]
            self.fixed.pop(name, None)
        types: dict[str, dict[str, Resource]] = {CDS: {}, EDS: {}, LDS: {}, RDS: {}}
        for name, told in clusters.items():
            types[CDS][name], servers = self.of(name, told, zone)
            if servers is not None:
                types[EDS][name] = servers
            if name not in self.fixed:
                self.fixed[name] = (listener(name, self.adaptive), route(name))
            types[LDS][name], types[RDS][name] = self.fixed[name]
        return Snapshot(types, frozenset(n for n, told in clusters.items() if told.endpoints is None))


class Published:
    """What is published now, as proxies of each zone get it. Built when the first of a zone asks."""

    def __init__(self, encoder: Encoder, clusters: Mapping[str, Told]) -> None:
        self.encoder = encoder
        self.clusters = clusters
        self.zones: dict[str, Snapshot] = {}
        self.wanted = {e.zone for told in clusters.values() if told.zoned for e in told.endpoints or ()}

    def for_zone(self, zone: str) -> Snapshot:
        zone = zone if zone in self.wanted else ""
        if zone not in self.zones:
            self.zones[zone] = self.encoder.snapshot(self.clusters, zone)
        return self.zones[zone]
