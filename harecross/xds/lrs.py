"""The load reporting service: what proxies saw of servers. Source: `envoy.service.load_stats.v3`."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from harecross.xds.server import identified

LRS = "envoy.service.load_stats.v3.LoadReportingService"


class Account(Protocol):
    """Where a cluster's reports go: `loads.Loads`, or on to the service."""

    def add(self, proxy: str, server: str, good: int, bad: int, in_progress: int, seconds: float) -> None: ...


def handler(
    loads: Callable[[str], Account | None],
    see: Callable[[tuple[str, ...]], frozenset[str] | None],
    interval_s: float,
) -> Any:
    """`loads` gives a cluster's account; a client's reports count for the clusters it may see."""

    async def run(requests: AsyncIterator[Any], context: Any) -> None:
        names, allowed = await identified(context, see)
        # One voice for each certificate or, without, each connection: a node may name itself as it likes.
        voice = names[0] if names else context.peer()
        asked = False
        async for request in requests:
            if not asked:
                asked = True
                response = lrs_pb2.LoadStatsResponse(send_all_clusters=True)
                response.load_reporting_interval.FromMilliseconds(int(interval_s * 1000))
                await context.write(response.SerializeToString())
            for c in request.cluster_stats:
                account = loads(c.cluster_name) if allowed is None or c.cluster_name in allowed else None
                if account is None:
                    continue
                seconds = c.load_report_interval.ToMilliseconds() / 1000
                for s in c.upstream_locality_stats:
                    account.add(
                        voice, s.locality.sub_zone, s.total_successful_requests, s.total_error_requests,
                        s.total_requests_in_progress, seconds,
                    )  # fmt: skip

    stream = grpc.stream_stream_rpc_method_handler(
        run, request_deserializer=lrs_pb2.LoadStatsRequest.FromString
    )
    return grpc.method_handlers_generic_handler(LRS, {"StreamLoadStats": stream})
