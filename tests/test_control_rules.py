"""The rules that hold over all proxies together, counted at the servers, and load reports."""

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

# ---- the four rules, counted at the servers -------------------------------------------------------------


def test_the_drain_rule_and_the_cold_rule_hold_over_all_proxies_together(tmp_path):
    """Eight proxies send requests by their assignments; these are counted at the servers."""

    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.add_cluster("orders", 4)
            await site.start_service(cluster="cold_s = 2.0\ncold_start = 0.2")
            proxies = [XdsProxy(site.channel, delta=i % 2 == 1, node=f"p{i}").start() for i in range(8)]
            for proxy in proxies:
                await proxy.until(lambda proxy: len(health(proxy)) == 4)
            loop = asyncio.get_running_loop()
            arrived: list[tuple[float, str]] = []
            rng = Random(5)
            calling = True

            async def call() -> None:
                while calling:
                    for proxy in proxies:
                        for _ in range(5):
                            target = pick(rng, proxy.endpoints("orders"))
                            arrived.append((loop.time(), target.name))
                    await asyncio.sleep(0.005)

            caller = asyncio.create_task(call())
            await asyncio.sleep(0.3)
            drained_at = loop.time()
            catalog.put(entry("orders0", site.servers["orders0"].address, "terminating"))
            import time as wall

            fresh = await StandinServer("fresh", ServerCapacity()).start()
            site.servers["fresh"] = fresh
            started = loop.time()
            catalog.put(entry("fresh", fresh.address, startedAtMs=int(wall.time() * 1000)))
            await asyncio.sleep(2.6)
            calling = False
            await caller
            late = [at - drained_at for at, name in arrived if name == "orders0" and at > drained_at]
            assert max(late, default=0.0) < DRAIN_GRACE, f"new work {max(late):.3f} s after the drain"
            # In each fifth of a second a cold server's calls, against a warm one's, stay within its warmth.
            for k in range(10):
                at = started + 0.2 * k
                here = [n for t, n in arrived if at <= t < at + 0.2]
                warm = sum(n in ("orders1", "orders2", "orders3") for n in here) / 3
                warmth = 0.2 + 0.8 * (k + 1) / 10
                assert here.count("fresh") <= 1.3 * warmth * warm + 8, (k, here.count("fresh"), warm, warmth)
            last = [n for t, n in arrived if t > started + 2.4]
            assert last.count("fresh") > 0.5 * last.count("orders1")  # and once warm it has its part
            for proxy in proxies:
                await proxy.stop()

    run(body())


# ---- load reports ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("workers", [1, 2])
def test_what_most_proxies_report_ejects_a_server_that_answers_its_probes(tmp_path, workers):
    from envoy.service.load_stats.v3 import lrs_pb2

    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders", 5)
            await site.start_service(control=f"load_reports_s = 0.1\nworkers = {workers}")
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 5)

            async def report(channel) -> None:
                method = channel.stream_stream(
                    "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats",
                    request_serializer=lrs_pb2.LoadStatsRequest.SerializeToString,
                    response_deserializer=lrs_pb2.LoadStatsResponse.FromString,
                )
                call = method()
                await call.write(lrs_pb2.LoadStatsRequest())
                answer = await call.read()
                assert answer.send_all_clusters
                assert answer.load_reporting_interval.ToMilliseconds() == 100
                while True:
                    request = lrs_pb2.LoadStatsRequest()
                    c = request.cluster_stats.add(cluster_name="orders")
                    c.load_report_interval.FromMilliseconds(100)
                    for i in range(5):
                        s = c.upstream_locality_stats.add()
                        s.locality.sub_zone = f"orders{i}"
                        s.total_error_requests = 20 * (i == 0)
                        s.total_successful_requests = 20 * (i != 0)
                    request.cluster_stats.add(cluster_name="nothing")
                    await call.write(request)
                    await asyncio.sleep(0.1)

            target = f"127.0.0.1:{site.service.server.port}"
            channels = [
                grpc.aio.insecure_channel(target, options=[("grpc.use_local_subchannel_pool", 1)])
                for _ in range(3)
            ]
            tasks = [asyncio.create_task(report(c)) for c in channels]
            await proxy.until(lambda proxy: health(proxy)["orders0"] == UNHEALTHY)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for c in channels:
                await c.close()
            await proxy.stop()

    run(body())


def test_grpcs_own_client_is_served_from_discovery_and_reports_its_calls(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.add_cluster("svc", 0)
            made = {f"b{i}": await start_backend(f"b{i}") for i in range(3)}
            for name, (_, address) in made.items():
                catalog.put(entry(name, address))
            service = await site.start_service(control="load_reports_s = 0.1", probe="tcp")
            reported: Counter[str] = Counter()
            feed = service.publisher_loop.feeds["svc"]
            collect = feed.load_reports.collect

            def taken():
                seen = collect()
                reported.update({s.server: s.successes for s in seen})
                return seen

            feed.load_reports = SimpleNamespace(add=feed.load_reports.add, collect=taken)
            caller = await GrpcXdsClient.start(f"127.0.0.1:{service.server.port}", tmp_path)
            try:
                assert set(await caller.calls(200)) == {"b0", "b1", "b2"}
                catalog.put(entry("b1", made["b1"][1], "terminating"))
                while service.server.source.clusters["svc"].endpoints[1].health != DRAINING:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(DRAIN_GRACE)
                assert set(await caller.calls(200)) == {"b0", "b2"}
                # What it did comes back as load reports, server by server.
                while reported.total() < 400:
                    await asyncio.sleep(0.02)
                assert set(reported) == {"b0", "b1", "b2"}
                assert reported.total() == 400
            finally:
                await caller.stop()
                for server, _ in made.values():
                    await server.stop(0)

    run(body())
