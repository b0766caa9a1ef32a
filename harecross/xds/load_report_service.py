"""The load reporting service (LRS), which receives what proxies observed of servers.

Source: `envoy.service.load_stats.v3`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from harecross.xds.client_identity import AllowedClusters, identify

LRS = "envoy.service.load_stats.v3.LoadReportingService"


class LoadReportSink(Protocol):
    """Receives the load reports of one cluster.

    It is a `load_reports.LoadReports`, or in a worker process an object that forwards the reports to the service.
    """

    def add(
        self, reporter: str, server: str, successes: int, failures: int, in_progress: int, seconds: float
    ) -> None:
        """Adds the figures that one report has for one server."""


# Returns the sink for the cluster of this name, or None if the cluster is not served.
LoadReportSinkLookup = Callable[[str], LoadReportSink | None]


def load_report_handler(
    find_sink: LoadReportSinkLookup, allowed_clusters: AllowedClusters, interval_s: float
) -> Any:
    """Returns the gRPC handler of the load reporting service.

    Proxies are asked to report every `interval_s` seconds. A client's reports on clusters that it may not see are
    ignored.
    """

    async def stream_load_stats(requests: AsyncIterator[Any], context: Any) -> None:
        identity = await identify(context, allowed_clusters)
        # A reporter is identified by its certificate or, without one, by its connection. The node id is not used,
        # because a client can choose any.
        reporter = identity.certificate_names[0] if identity.certificate_names else context.peer()
        responded = False
        async for request in requests:
            if not responded:
                responded = True
                response = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                response.load_reporting_interval.FromMilliseconds(int(interval_s * 1000))
                await context.write(response.SerializeToString())
            for stats in request.cluster_stats:
                allowed = identity.allowed_clusters is None or stats.cluster_name in identity.allowed_clusters
                sink = find_sink(stats.cluster_name) if allowed else None
                if sink is not None:
                    add_stats(sink, reporter, stats)

    handler = grpc.stream_stream_rpc_method_handler(
        stream_load_stats, request_deserializer=lrs_pb2.LoadStatsRequest.FromString
    )
    return grpc.method_handlers_generic_handler(LRS, {"StreamLoadStats": handler})


def add_stats(sink: LoadReportSink, reporter: str, stats: Any) -> None:
    """Passes a reporter's figures for one cluster to the sink; each locality of the cluster is one server."""
    seconds = stats.load_report_interval.ToMilliseconds() / 1000
    for locality in stats.upstream_locality_stats:
        sink.add(
            reporter,
            locality.locality.sub_zone,
            locality.total_successful_requests,
            locality.total_error_requests,
            locality.total_requests_in_progress,
            seconds,
        )
