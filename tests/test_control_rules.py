"""What all proxies of a control service do together, counted at the servers, and their load reports."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest

grpc = pytest.importorskip("grpc")

from control_support import (  # noqa: E402
    DRAIN_GRACE,
    UNHEALTHY,
    control_site,
    fail_on_unexpected_child_signal,  # noqa: F401
    health,
)
from node_support import run  # noqa: E402
from xds_support import GrpcXdsClient, start_backend  # noqa: E402

from harecross.standins.discovery import entry  # noqa: E402
from harecross.standins.model import ServerCapacity  # noqa: E402
from harecross.standins.servers import StandinServer  # noqa: E402
from harecross.standins.xds import DRAINING, XdsProxy, pick  # noqa: E402


def test_drains_and_slow_start_are_respected_by_all_proxies_together(tmp_path):
    """Eight proxies pick servers by their assignments, and the test counts the picks of each server."""

    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.add_cluster("orders", 4)
            await site.start_service(cluster="cold_s = 2.0\ncold_start = 0.2")
            proxies = [XdsProxy(site.channel, delta=i % 2 == 1, node=f"p{i}").start() for i in range(8)]
            for proxy in proxies:
                await proxy.until(lambda proxy: len(health(proxy)) == 4)
            loop = asyncio.get_running_loop()
            picks: list[tuple[float, str]] = []
            rng = Random(5)
            running = True

            async def send_requests() -> None:
                while running:
                    for proxy in proxies:
                        for _ in range(5):
                            target = pick(rng, proxy.endpoints("orders"))
                            picks.append((loop.time(), target.name))
                    await asyncio.sleep(0.005)

            sender = asyncio.create_task(send_requests())
            await asyncio.sleep(0.3)
            drained_at = loop.time()
            catalog.put(entry("orders0", site.servers["orders0"].address, "terminating"))
            import time

            new_server = await StandinServer("fresh", ServerCapacity()).start()
            site.servers["fresh"] = new_server
            started_at = loop.time()
            catalog.put(entry("fresh", new_server.address, startedAtMs=int(time.time() * 1000)))
            await asyncio.sleep(2.6)
            running = False
            await sender
            late = [at - drained_at for at, name in picks if name == "orders0" and at > drained_at]
            assert max(late, default=0.0) < DRAIN_GRACE, f"picked {max(late):.3f} s after the drain"
            # In each fifth of a second, the picks of the server in slow start, relative to those of another server,
            # stay within its fraction of the capacity.
            for k in range(10):
                at = started_at + 0.2 * k
                picked = [name for t, name in picks if at <= t < at + 0.2]
                mean = sum(name in ("orders1", "orders2", "orders3") for name in picked) / 3
                factor = 0.2 + 0.8 * (k + 1) / 10
                assert picked.count("fresh") <= 1.3 * factor * mean + 8, (
                    k,
                    picked.count("fresh"),
                    mean,
                    factor,
                )
            # After slow start, the new server gets its share.
            last = [name for t, name in picks if t > started_at + 2.4]
            assert last.count("fresh") > 0.5 * last.count("orders1")
            for proxy in proxies:
                await proxy.stop()

    run(body())


@pytest.mark.parametrize("workers", [1, 2])
def test_failures_that_most_proxies_report_eject_a_server_that_passes_its_health_checks(tmp_path, workers):
    from envoy.service.load_stats.v3 import lrs_pb2

    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders", 5)
            await site.start_service(control=f"load_reports_s = 0.1\nworkers = {workers}")
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 5)

            async def report(channel) -> None:
                stream_load_stats = channel.stream_stream(
                    "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats",
                    request_serializer=lrs_pb2.LoadStatsRequest.SerializeToString,
                    response_deserializer=lrs_pb2.LoadStatsResponse.FromString,
                )
                call = stream_load_stats()
                await call.write(lrs_pb2.LoadStatsRequest())
                response = await call.read()
                assert response.send_all_clusters
                assert response.load_reporting_interval.ToMilliseconds() == 100
                while True:
                    request = lrs_pb2.LoadStatsRequest()
                    cluster = request.cluster_stats.add(cluster_name="orders")
                    cluster.load_report_interval.FromMilliseconds(100)
                    for i in range(5):
                        server = cluster.upstream_locality_stats.add()
                        server.locality.sub_zone = f"orders{i}"
                        server.total_error_requests = 20 * (i == 0)
                        server.total_successful_requests = 20 * (i != 0)
                    request.cluster_stats.add(cluster_name="nothing")
                    await call.write(request)
                    await asyncio.sleep(0.1)

            target = f"127.0.0.1:{site.service.server.port}"
            channels = [
                grpc.aio.insecure_channel(target, options=[("grpc.use_local_subchannel_pool", 1)])
                for _ in range(3)
            ]
            tasks = [asyncio.create_task(report(channel)) for channel in channels]
            await proxy.until(lambda proxy: health(proxy)["orders0"] == UNHEALTHY)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for channel in channels:
                await channel.close()
            await proxy.stop()

    run(body())


def test_grpcs_own_client_is_served_from_discovery_and_reports_its_requests(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.add_cluster("svc", 0)
            backends = {f"b{i}": await start_backend(f"b{i}") for i in range(3)}
            for name, (_, address) in backends.items():
                catalog.put(entry(name, address))
            service = await site.start_service(control="load_reports_s = 0.1", probe="tcp")
            reported: Counter[str] = Counter()
            feed = service.publisher_loop.feeds["svc"]
            collect_loads = feed.load_reports.collect

            def collect_and_count():
                loads = collect_loads()
                reported.update({load.server: load.successes for load in loads})
                return loads

            feed.load_reports = SimpleNamespace(add=feed.load_reports.add, collect=collect_and_count)
            caller = await GrpcXdsClient.start(f"127.0.0.1:{service.server.port}", tmp_path)
            try:
                assert set(await caller.calls(200)) == {"b0", "b1", "b2"}
                catalog.put(entry("b1", backends["b1"][1], "terminating"))
                while service.server.source.clusters["svc"].endpoints[1].health != DRAINING:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(DRAIN_GRACE)
                assert set(await caller.calls(200)) == {"b0", "b2"}
                # The load reports of the client count its requests to each server.
                while reported.total() < 400:
                    await asyncio.sleep(0.02)
                assert set(reported) == {"b0", "b1", "b2"}
                assert reported.total() == 400
            finally:
                await caller.stop()
                for server, _ in backends.values():
                    await server.stop(0)

    run(body())
