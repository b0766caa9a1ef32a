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
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from google.protobuf.message import Message

from harecross.xds.cache import CDS, EDS, LDS, RDS, Resource, Snapshot
from harecross.xds.publish import Endpoint


def encoded(name: str, message: Message) -> Resource:
    return Resource.of(name, message.SerializeToString(deterministic=True))


def cluster(name: str, limit: int) -> Resource:
    """EDS over ADS; `limit` calls may be out at once (circuit breaker), 0 for no bound."""
    c = cluster_pb2.Cluster(name=name, type=cluster_pb2.Cluster.EDS)
    c.eds_cluster_config.eds_config.ads.SetInParent()
    c.eds_cluster_config.eds_config.resource_api_version = 2  # V3
    c.eds_cluster_config.service_name = name
    c.lb_policy = cluster_pb2.Cluster.ROUND_ROBIN
    c.common_lb_config.locality_weighted_lb_config.SetInParent()
    c.connect_timeout.FromMilliseconds(500)
    if limit > 0:
        c.circuit_breakers.thresholds.add().max_requests.value = limit
    return encoded(name, c)


def assignment(name: str, endpoints: Sequence[Endpoint]) -> Resource:
    """One locality for each server, its sub-zone the server's name, and all of one priority.

    gRPC's own client follows the weights of localities but, in round robin, not those of endpoints (gRFC A27);
    Envoy follows both. An endpoint that is to get nothing new stays listed, so that a proxy knows why.
    """
    a = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    for e in sorted(endpoints, key=lambda e: (e.zone, e.name)):
        host, _, port = e.address.rpartition(":")
        locality = a.endpoints.add()
        locality.locality.zone = e.zone
        locality.locality.sub_zone = e.name
        locality.load_balancing_weight.value = e.weight
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


def listener(name: str) -> Resource:
    manager = http_connection_manager_pb2.HttpConnectionManager()
    manager.rds.route_config_name = name
    manager.rds.config_source.ads.SetInParent()
    manager.rds.config_source.resource_api_version = 2
    last = manager.http_filters.add(name="envoy.filters.http.router")
    last.typed_config.Pack(router_pb2.Router(), deterministic=True)
    result = listener_pb2.Listener(name=name)
    result.api_listener.api_listener.Pack(manager, deterministic=True)
    return encoded(name, result)


def snapshot(clusters: Mapping[str, tuple[Sequence[Endpoint], int]]) -> Snapshot:
    """Everything of all clusters, each with its endpoints and the limit on calls out."""
    return Snapshot(
        {
            CDS: {n: cluster(n, limit) for n, (_, limit) in clusters.items()},
            EDS: {n: assignment(n, endpoints) for n, (endpoints, _) in clusters.items()},
            LDS: {n: listener(n) for n in clusters},
            RDS: {n: route(n) for n in clusters},
        }
    )
