"""The control service as a whole: discovery, probes and proxies on loopback, and what breaks between them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from types import SimpleNamespace

import pytest

grpc = pytest.importorskip("grpc")

from node_support import node_at, run  # noqa: E402
from xds_support import Caller, backend  # noqa: E402

from harecross.operators import OperatorsFileError  # noqa: E402
from harecross.platform.child_process import describe_exit  # noqa: E402
from harecross.standins.discovery import Catalog, entry  # noqa: E402
from harecross.standins.model import Shape  # noqa: E402
from harecross.standins.servers import StandinServer  # noqa: E402
from harecross.standins.xds import ASSIGNMENT, CLUSTER, DRAINING, XdsProxy, pick  # noqa: E402
from harecross.xds.config import read_control  # noqa: E402
from harecross.xds.service import ControlService  # noqa: E402

DRAIN_GRACE = 0.25
UNHEALTHY = 2


@pytest.fixture(autouse=True)
def no_child_dies_of_a_signal_that_nobody_sent(request, capfd):
    """A worker that crashes is replaced, and its test would pass without a word."""
    yield
    out, err = capfd.readouterr()
    sys.stderr.write(err)
    assert "Fatal Python error" not in out + err
    killed = "SIGKILL" if "killed" in request.node.name else "none"
    for line in err.splitlines():
        assert "was ended by" not in line or killed in line, line


def text_of(
    catalogs: dict[str, Catalog], more: str = "", control: str = "", cluster: str = "", probe: str = "http"
) -> str:
    parts = [f'[control]\nlisten = "127.0.0.1:0"\ninterval_s = 0.2\n{control}\n{more}']
    for name, catalog in catalogs.items():
        parts.append(f'[clusters.{name}]\ndiscovery = "{catalog.address}"\n{cluster}')
        parts.append(f'[clusters.{name}.probe]\nkind = "{probe}"\ninterval_s = 0.1\ntimeout_s = 0.2')
    return "\n".join(parts)


class ControlSite:
    """Catalogs, servers and one service in this process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / "control.toml"
        self.servers: dict[str, StandinServer] = {}
        self.catalogs: dict[str, Catalog] = {}
        self.service: ControlService | None = None
        self.task: asyncio.Task[None] | None = None
        self.channel = None

    async def cluster(self, name: str, servers: int = 3) -> Catalog:
        catalog = self.catalogs[name] = await Catalog().start()
        for i in range(servers):
            s = self.servers[f"{name}{i}"] = await StandinServer(f"{name}{i}", Shape()).start()
            catalog.put(entry(s.name, s.address))
        return catalog

    async def serve(self, **parts: str) -> ControlService:
        self.path.write_text(text_of(self.catalogs, **parts))
        self.service = ControlService(self.path, read_control(self.path))
        self.task = asyncio.create_task(self.service.run())
        ready = asyncio.create_task(self.service.ready.wait())
        await asyncio.wait([self.task, ready], return_when=asyncio.FIRST_COMPLETED)
        ready.cancel()
        if self.task.done():
            self.task.result()
        self.channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.service.server.port}")
        return self.service

    async def leave(self) -> None:
        if self.channel is not None:
            await self.channel.close()
        if self.service is not None:
            self.service.stop.set()
            await self.task
        self.service = self.channel = None

    async def close(self) -> None:
        await self.leave()
        for catalog in self.catalogs.values():
            await catalog.stop()
        for server in self.servers.values():
            server.stop()


@asynccontextmanager
async def control_site(folder: Path):
    site = ControlSite(folder)
    try:
        yield site
    finally:
        await site.close()


def health(proxy: XdsProxy, cluster: str = "orders") -> dict[str, int]:
    return {t.name: t.health for t in proxy.endpoints(cluster)}


@asynccontextmanager
async def site_with_proxy(folder: Path):
    """A service with one cluster of three servers, and a proxy that has them."""
    async with control_site(folder) as site:
        await site.cluster("orders")
        await site.serve()
        proxy = XdsProxy(site.channel).start()
        await proxy.until(lambda proxy: health(proxy) == {"orders0": 1, "orders1": 1, "orders2": 1})
        yield site, proxy
        await proxy.stop()


def test_a_drain_reaches_the_proxy_in_time(tmp_path):
    async def body() -> None:
        async with site_with_proxy(tmp_path) as (site, proxy):
            changed_at = asyncio.get_running_loop().time()
            site.catalogs["orders"].put(entry("orders1", site.servers["orders1"].address, "terminating"))
            await proxy.until(lambda proxy: health(proxy).get("orders1") == DRAINING)
            assert proxy.told_at("orders", "orders1", DRAINING) - changed_at < DRAIN_GRACE

    run(body())


def test_a_server_that_has_ended_leaves_the_proxys_list(tmp_path):
    async def body() -> None:
        async with site_with_proxy(tmp_path) as (site, proxy):
            for lifecycle in ("terminating", "terminated"):
                site.catalogs["orders"].put(entry("orders1", site.servers["orders1"].address, lifecycle))
            await proxy.until(lambda proxy: set(health(proxy)) == {"orders0", "orders2"})

    run(body())


@pytest.mark.parametrize("kind", ["http", "tcp"])
def test_a_server_that_stops_answering_probes_is_ejected_and_comes_back(tmp_path, kind):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.cluster("orders", 5)
            await site.serve(probe=kind)
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 5)
            server = site.servers["orders0"]
            if kind == "http":
                server.hung = True
            else:
                server.stop()
            await proxy.until(lambda proxy: health(proxy)["orders0"] == UNHEALTHY)
            assert sorted(health(proxy).values()) == [1, 1, 1, 1, UNHEALTHY]
            if kind == "http":
                server.hung = False
            else:
                await server.start(port=int(server.address.rpartition(":")[2]))
            await proxy.until(lambda proxy: health(proxy)["orders0"] == 1)
            await proxy.stop()

    run(body())


def test_discovery_that_lists_almost_nothing_is_not_believed_at_once(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.cluster("orders", 6)
            await site.serve()
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 6)
            gone = [e for n, e in catalog.instances.items() if n != "orders0"]
            catalog.put(*({**e, "lifecycle": "terminated"} for e in gone))
            # What comes after it is believed, and shows that the service has read the short list.
            catalog.put(entry("orders0", site.servers["orders0"].address, "terminating"))
            await proxy.until(lambda proxy: health(proxy)["orders0"] == DRAINING)
            assert len(health(proxy)) == 6
            await proxy.stop()

    run(body())


def test_discovery_silent_at_the_start_the_remembered_list_is_served_as_old(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.cluster("orders")
            memory = f'remember = "{tmp_path / "lists.json"}"\nwait_s = 0.3'
            await site.serve(control=memory)
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            await site.leave()
            await catalog.stop()
            service = await site.serve(control=memory)
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            listed = service.publisher_loop.feeds["orders"].listed_endpoints
            assert listed.has_remembered_list and not listed.has_full_list
            await proxy.stop()

    run(body())


@pytest.mark.parametrize("delta", [False, True], ids=["sotw", "delta"])
def test_a_service_that_knows_no_list_takes_nothing_from_a_proxy(tmp_path, delta):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.cluster("orders")
            await site.serve(control="wait_s = 0.2")
            proxy = XdsProxy(site.channel, delta=delta).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            held = (
                {t: dict(h) for t, h in proxy.held.items()},
                {t: dict(v) for t, v in proxy.versions.items()},
            )
            await site.leave()
            await catalog.stop()
            await site.serve(control="wait_s = 0.2")
            again = XdsProxy(site.channel, delta=delta)
            again.held, again.versions = held
            again.version, again.wanted = dict(proxy.version), set(proxy.wanted)
            again.start()
            await again.until(lambda proxy: proxy.streams >= 1)
            while not any(ASSIGNMENT in s.stream.types for s in site.service.server.proxies):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert len(health(again)) == 3 and set(again.held[CLUSTER]) == {"orders"}
            await again.stop()

    run(body())


SERVE = (
    "import sys; from pathlib import Path; from harecross.xds.service import main; main(Path(sys.argv[1]))"
)


async def process(path: Path) -> tuple[subprocess.Popen, int]:
    """The service in a process of its own, and its port."""
    started = subprocess.Popen([sys.executable, "-c", SERVE, str(path)], stderr=subprocess.PIPE)
    while b"listening on port" not in (output := await asyncio.to_thread(started.stderr.readline)):
        assert output, f"the service {describe_exit(started.wait())}"
    return started, int(output.split(b"port ")[1].split(b",")[0])


@pytest.mark.parametrize("delta", [False, True], ids=["sotw", "delta"])
def test_killed_and_restarted_while_the_list_changes_no_proxy_sees_an_empty_cluster(tmp_path, delta):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.cluster("orders", 6)
            memory = f'remember = "{tmp_path / "lists.json"}"\nwait_s = 2'
            # The port is free between two services: on a host of its own nobody else is given it meanwhile.
            host = f"127.78.{os.getpid() >> 8 & 0xFF}.{os.getpid() & 0xFF or 1}"
            site.path.write_text(text_of(site.catalogs, control=memory).replace("127.0.0.1:0", f"{host}:0"))
            service, port = await process(site.path)
            site.path.write_text(site.path.read_text().replace(f"{host}:0", f"{host}:{port}"))
            async with grpc.aio.insecure_channel(f"{host}:{port}") as channel:
                proxy = XdsProxy(channel, delta=delta)
                seen: list[int] = []
                proxy.on_response = lambda proxy, t, names: seen.append(
                    len(health(proxy))
                    if "orders" in proxy.held[ASSIGNMENT] and "orders" in proxy.held[CLUSTER]
                    else -1
                )
                proxy.start()
                await proxy.until(lambda proxy: len(health(proxy)) == 6)
                began = len(seen)
                for turn in range(3):
                    name = f"orders{turn}"
                    catalog.put(entry(name, site.servers[name].address, "terminating"))
                    service.send_signal(signal.SIGKILL)
                    await asyncio.to_thread(service.wait)
                    catalog.put(entry(name, site.servers[name].address, "terminated"))
                    service, _ = await process(site.path)
                    await proxy.until(lambda proxy, n=name: n not in health(proxy))
                    catalog.put(entry(name, site.servers[name].address))
                    await proxy.until(lambda proxy, n=name: health(proxy).get(n) == 1)
                assert min(seen[began:], default=6) >= 5 and proxy.streams >= 4
                service.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(service.wait) == 0
                await proxy.stop()

    run(body())


@asynccontextmanager
async def two_clusters(folder: Path):
    """A service with the clusters orders and stock, and a proxy that has both."""
    async with control_site(folder) as site:
        await site.cluster("orders")
        await site.cluster("stock", 2)
        await site.serve()
        proxy = XdsProxy(site.channel).start()
        await proxy.until(lambda proxy: len(health(proxy)) == 3 and len(health(proxy, "stock")) == 2)
        yield site, proxy
        await proxy.stop()


def test_a_bad_file_changes_nothing(tmp_path):
    async def body() -> None:
        async with two_clusters(tmp_path) as (site, proxy):
            site.path.write_text(site.path.read_text() + "\n[nonsense]\n")
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert set(site.service.publisher_loop.feeds) == {"orders", "stock"}
            assert len(health(proxy)) == 3 and len(health(proxy, "stock")) == 2

    run(body())


def test_a_cluster_that_leaves_the_file_leaves_the_proxy(tmp_path):
    async def body() -> None:
        async with two_clusters(tmp_path) as (site, proxy):
            orders = {"orders": site.catalogs["orders"]}
            site.path.write_text(text_of(orders, cluster="cross_zone_price = 0.5"))
            os.kill(os.getpid(), signal.SIGHUP)
            await proxy.until(lambda proxy: set(proxy.held[CLUSTER]) == {"orders"})
            assert len(health(proxy)) == 3

    run(body())


def test_rules_that_need_a_tls_not_there_yet_wait_for_the_next_start(tmp_path, capfd):
    pytest.importorskip("trustme")
    import trustme

    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.cluster("orders")
            service = await site.serve()
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            ca = trustme.CA()
            ca.cert_pem.write_to_path(tmp_path / "ca.pem")
            files = "\n".join(f'{k} = "{tmp_path / "ca.pem"}"' for k in ("certificate", "key", "client_ca"))
            rules = f'[tls]\n{files}\n[clients]\n"edge.example" = ["*"]\n[limits]\nstreams = 1'
            site.path.write_text(text_of(site.catalogs, more=rules))
            os.kill(os.getpid(), signal.SIGHUP)
            output = ""
            while "read again" not in output:
                await asyncio.sleep(0.01)
                output += capfd.readouterr().err
            assert "control, tls, limits, clients will count from the next start" in output
            assert service.config.tls is None and not service.config.clients
            late = XdsProxy(site.channel).start()
            await late.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            await late.stop()

    run(body())


# ---- workers --------------------------------------------------------------------------------------------


class WorkerSite:
    """A service with two workers, and sixteen proxies that have both its clusters."""

    def __init__(self, site: ControlSite, proxies: list[XdsProxy]) -> None:
        self.site = site
        self.proxies = proxies
        self.pool = site.service.server
        self.orders = site.catalogs["orders"]

    @property
    def target(self) -> str:
        return f"127.0.0.1:{self.pool.port}"

    async def until(self, reached) -> None:
        """Until every proxy has what is expected."""
        for proxy in self.proxies:
            await proxy.until(reached)

    def drain(self, name: str) -> None:
        self.orders.put(entry(name, self.site.servers[name].address, "terminating"))


WORKER_OPTIONS = "workers = 2\nload_reports_s = 0.1"
OWN_CONNECTION = [("grpc.use_local_subchannel_pool", 1)]


@asynccontextmanager
async def worker_site(folder: Path):
    async with control_site(folder) as site:
        await site.cluster("orders")
        await site.cluster("stock", 2)
        service = await site.serve(control=WORKER_OPTIONS)
        target = f"127.0.0.1:{service.server.port}"
        channels = [grpc.aio.insecure_channel(target, options=OWN_CONNECTION) for _ in range(16)]
        proxies = [
            XdsProxy(channel, node=f"p{i}", delta=i % 2 == 1).start() for i, channel in enumerate(channels)
        ]
        workers = WorkerSite(site, proxies)
        await workers.until(lambda proxy: len(health(proxy)) == 3 and len(health(proxy, "stock")) == 2)
        while workers.pool.count() < 16:
            await asyncio.sleep(0.02)
        yield workers
        for proxy in proxies:
            await proxy.stop()
        for channel in channels:
            await channel.close()


def test_workers_share_the_streams(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            counts = [worker.count.streams for worker in workers.pool.workers]
            assert sum(counts) == 16 and all(counts), "one worker has them all"

    run(body())


def test_every_worker_answers_with_the_status_of_all(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            code, out = await command("control", "status", "--address", workers.target, "--json", "-")
            nodes = {row["node"] for row in json.loads(out)["proxies"]}
            assert code == 0 and nodes == {f"p{i}" for i in range(16)}

    run(body())


def test_a_drain_reaches_the_streams_of_all_workers_in_time(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            changed_at = asyncio.get_running_loop().time()
            workers.drain("orders0")
            await workers.until(lambda proxy: health(proxy)["orders0"] == DRAINING)
            arrivals = [proxy.told_at("orders", "orders0", DRAINING) for proxy in workers.proxies]
            assert max(arrivals) - changed_at < DRAIN_GRACE

    run(body())


def test_a_worker_that_is_killed_while_the_list_changes_is_replaced_and_no_proxy_sees_a_gap(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            pool, seen = workers.pool, []

            def on_response(proxy: XdsProxy, type_url: str, names: list[str]) -> None:
                seen.append(len(health(proxy)) if "orders" in proxy.held[CLUSTER] else -1)

            for proxy in workers.proxies:
                proxy.on_response = on_response
            killed = pool.workers[0].process
            killed.kill()
            workers.drain("orders1")
            await workers.until(lambda proxy: health(proxy)["orders1"] == DRAINING)
            while pool.workers[0].process is killed or pool.count() < 16:
                await asyncio.sleep(0.02)
            assert set(seen) == {3}

    run(body())


def test_a_cluster_that_leaves_the_file_leaves_the_streams_of_all_workers(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            workers.site.path.write_text(text_of({"orders": workers.orders}, control=WORKER_OPTIONS))
            os.kill(os.getpid(), signal.SIGHUP)
            await workers.until(lambda proxy: set(proxy.held[CLUSTER]) == {"orders"})

    run(body())


def test_workers_end_with_a_service_that_is_killed(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.cluster("orders")
            site.path.write_text(text_of(site.catalogs, control="workers = 2"))
            service, port = await process(site.path)
            service.kill()
            await asyncio.to_thread(service.wait)
            # The port is free once the last of them has gone.
            while True:
                try:
                    (await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)).close()
                    break
                except OSError:
                    await asyncio.sleep(0.02)

    run(body())


def test_a_port_in_use_is_not_shared_without_a_word(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.cluster("orders")
            first = await site.serve(control="workers = 2")
            path = tmp_path / "second.toml"
            path.write_text(site.path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{first.server.port}"))
            code, out = await command("control", "--config", path)
            assert code == 2 and "control.listen" in out and "in use" in out

    run(body())


# ---- the four rules, counted at the servers -------------------------------------------------------------


def test_the_drain_rule_and_the_cold_rule_hold_over_all_proxies_together(tmp_path):
    """Eight proxies send requests by their assignments; these are counted at the servers."""

    async def body() -> None:
        async with control_site(tmp_path) as site:
            catalog = await site.cluster("orders", 4)
            await site.serve(cluster="cold_s = 2.0\ncold_start = 0.2")
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

            fresh = await StandinServer("fresh", Shape()).start()
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
            await site.cluster("orders", 5)
            await site.serve(control=f"load_reports_s = 0.1\nworkers = {workers}")
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
                assert answer.send_all_clusters and answer.load_reporting_interval.ToMilliseconds() == 100
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
            catalog = await site.cluster("svc", 0)
            made = {f"b{i}": await backend(f"b{i}") for i in range(3)}
            for name, (_, address) in made.items():
                catalog.put(entry(name, address))
            service = await site.serve(control="load_reports_s = 0.1", probe="tcp")
            reported: Counter[str] = Counter()
            feed = service.publisher_loop.feeds["svc"]
            take = feed.load_reports.take

            def taken():
                seen = take()
                reported.update({s.server: s.good for s in seen})
                return seen

            feed.load_reports = SimpleNamespace(add=feed.load_reports.add, take=taken)
            caller = await Caller.start(f"127.0.0.1:{service.server.port}", tmp_path)
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
                assert set(reported) == {"b0", "b1", "b2"} and reported.total() == 400
            finally:
                await caller.stop()
                for server, _ in made.values():
                    await server.stop(0)

    run(body())


# ---- security -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("workers", [1, 2])
def test_clients_see_what_their_certificate_allows_and_new_files_count_without_a_restart(tmp_path, workers):
    trustme = pytest.importorskip("trustme")

    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.cluster("orders")
            await site.cluster("stock", 2)
            ours, theirs = trustme.CA(), trustme.CA()

            def put(ca) -> None:
                server = ca.issue_cert("127.0.0.1")
                server.cert_chain_pems[0].write_to_path(tmp_path / "server.pem")
                server.private_key_pem.write_to_path(tmp_path / "server.key")
                ca.cert_pem.write_to_path(tmp_path / "ca.pem")

            def channel(ca, name: str | None):
                pair = (None, None)
                if name is not None:
                    cert = ca.issue_cert(name)
                    pair = (cert.private_key_pem.bytes(), cert.cert_chain_pems[0].bytes())
                made = grpc.ssl_channel_credentials(ca.cert_pem.bytes(), *pair)
                options = [("grpc.use_local_subchannel_pool", 1)]
                return grpc.aio.secure_channel(f"127.0.0.1:{site.service.server.port}", made, options=options)

            put(ours)
            named = (("certificate", "server.pem"), ("key", "server.key"), ("client_ca", "ca.pem"))
            files = "\n".join(f'{k} = "{tmp_path / f}"' for k, f in named)
            await site.serve(
                more=f'[tls]\n{files}\n[clients]\n"*.partner.example" = ["orders"]\n"edge.example" = ["*"]',
                control=f'status = ["edge.example"]\nworkers = {workers}',
            )

            async def sees(ca, name: str | None) -> set[str] | str:
                async with channel(ca, name) as c:
                    proxy = XdsProxy(c).start()
                    try:
                        await proxy.until(
                            lambda proxy: proxy.error is not None or bool(proxy.held[ASSIGNMENT])
                        )
                        return (
                            proxy.error.code().name if proxy.error is not None else set(proxy.held[CLUSTER])
                        )
                    finally:
                        await proxy.stop()

            assert await sees(ours, "a.partner.example") == {"orders"}
            assert await sees(ours, "edge.example") == {"orders", "stock"}
            assert await sees(ours, "nobody.example") == "PERMISSION_DENIED"
            assert await sees(ours, None) == "UNAVAILABLE"
            assert await sees(theirs, "edge.example") == "UNAVAILABLE"
            # Other rules reach the streams that are open.
            rules = site.path.read_text()
            async with channel(ours, "edge.example") as c:
                open_one = XdsProxy(c).start()
                await open_one.until(lambda proxy: len(proxy.held[CLUSTER]) == 2)
                site.path.write_text(rules.replace('"edge.example" = ["*"]', '"edge.example" = ["stock"]'))
                os.kill(os.getpid(), signal.SIGHUP)
                await open_one.until(lambda proxy: set(proxy.held[CLUSTER]) == {"stock"})
                site.path.write_text(rules)
                os.kill(os.getpid(), signal.SIGHUP)
                await open_one.until(lambda proxy: len(proxy.held[CLUSTER]) == 2 and open_one.streams == 1)
                await open_one.stop()
            put(theirs)
            assert await sees(theirs, "edge.example") == {"orders", "stock"}
            assert await sees(ours, "edge.example") == "UNAVAILABLE"
            for name, word in (("edge.example", "streams"), ("a.partner.example", "PERMISSION_DENIED")):
                cert = theirs.issue_cert(name)
                cert.private_key_pem.write_to_path(tmp_path / "me.key")
                cert.cert_chain_pems[0].write_to_path(tmp_path / "me.pem")
                code, out = await command(
                    "control", "status", "--address", f"127.0.0.1:{site.service.server.port}",
                    "--ca", tmp_path / "ca.pem", "--cert", tmp_path / "me.pem", "--key", tmp_path / "me.key",
                )  # fmt: skip
                assert word in out and code == (0 if word == "streams" else 1)

    run(body())


# ---- the command ----------------------------------------------------------------------------------------


async def command(*args: object) -> tuple[int, str]:
    # Not by uvloop, whose fork would run grpc's handlers in the child (harecross.platform.child_process).
    made = await asyncio.to_thread(
        subprocess.run,
        [sys.executable, "-m", "harecross", *map(str, args)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    return made.returncode, made.stdout.decode()


def test_status_shows_who_holds_what_and_who_refused_and_why(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.cluster("orders")
            await site.serve()
            good = XdsProxy(site.channel, node="good").start()
            bad = XdsProxy(site.channel, node="bad", delta=True)
            bad.refuse = lambda t, names: "no such locality" if t == ASSIGNMENT else ""
            bad.start()
            await good.until(lambda proxy: len(health(proxy)) == 3)
            await bad.until(lambda proxy: any(t == ASSIGNMENT for t, _, _ in proxy.responses))
            address = f"127.0.0.1:{site.service.server.port}"
            while True:
                code, out = await command("control", "status", "--address", address, "--json", "-")
                rows = {r["node"]: r for r in json.loads(out)["proxies"]}
                states = {n: {t["type"]: t for t in r["types"]} for n, r in rows.items()}
                if "EDS" in states.get("bad", {}) and states["bad"]["EDS"]["reason"]:
                    break
            assert code == 0 and states["good"]["EDS"]["state"] == "SYNCED"
            assert states["bad"]["EDS"]["state"] == "ERROR"
            assert states["bad"]["EDS"]["reason"] == "no such locality"
            code, out = await command("control", "status", "--address", address)
            assert code == 0 and "no such locality" in out and "SYNCED" in out
            await good.stop()
            await bad.stop()
            await site.leave()
            code, out = await command("control", "status", "--address", address)
            assert code == 1 and "UNAVAILABLE" in out and len(out.splitlines()) <= 2

    run(body())


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("", ["clusters"]),
        ("[clusters]", ["clusters", "at least one"]),
        ('[clusters.a]\ndiscovery = "nowhere"', ["clusters.a.discovery", "HOST:PORT"]),
        ('[clusters.a]\ndiscovery = "h:1"\ncolour = 1', ["colour", "allowed", "calls_per_server"]),
        (
            '[clusters.a]\ndiscovery = "h:1"\n[control]\nlisten = "0.0.0.0:1"',
            ["control.listen", "not loopback"],
        ),
        ('[clusters.a]\ndiscovery = "h:1"\n[control]\ninterval_s = 0', ["interval_s", ">= 0.01"]),
        ('[clusters.a]\ndiscovery = "h:1"\n[clients]\nx = ["a"]', ["clients", "[tls]"]),
        (
            '[clusters.a]\ndiscovery = "h:1"\n[tls]\ncertificate = "none"\nkey = "none"',
            ["tls.certificate", "not a file"],
        ),
        ("[clusters", ["not TOML", "at end of document"]),
    ],
)
def test_a_file_that_cannot_be_is_one_line(tmp_path, text, words):
    path = tmp_path / "control.toml"
    path.write_text(text)
    with pytest.raises(OperatorsFileError) as e:
        read_control(path)
    assert str(path) in str(e.value) and all(w in str(e.value) for w in words) and "\n" not in str(e.value)


def test_the_command_ends_with_status_2_on_a_bad_file_or_a_port_in_use(tmp_path):
    async def body() -> None:
        path = tmp_path / "control.toml"
        assert await command("control", "--config", path) == (
            2,
            f"harecross: {path}: No such file or directory\n",
        )
        code, out = await command("control")
        assert code == 2 and "--config" in out
        taken = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = taken.sockets[0].getsockname()[1]
        path.write_text(f'[control]\nlisten = "127.0.0.1:{port}"\n[clusters.a]\ndiscovery = "127.0.0.1:1"')
        code, out = await command("control", "--config", path)
        assert code == 2 and "control.listen" in out and "Traceback" not in out
        taken.close()

    run(body())


def test_the_shipped_file_is_good():
    assert set(read_control(Path(__file__).parent.parent / "deploy" / "control.toml").clusters) == {"orders"}


# ---- inside a node --------------------------------------------------------------------------------------


def test_a_node_hands_on_its_own_view(tmp_path):
    from harecross.xds.embedded import EmbeddedControlService

    async def body() -> None:
        catalog = await Catalog().start()
        servers = [await StandinServer(f"s{i}", Shape()).start() for i in range(3)]
        for s in servers:
            catalog.put(entry(s.name, s.address))
        beside = EmbeddedControlService("127.0.0.1:0", "mine", interval_s=0.1)
        async with node_at(catalog.address, embedded_service=beside) as node:
            assert node.options.embedded_service is beside
            async with grpc.aio.insecure_channel(f"127.0.0.1:{beside.server.port}") as channel:
                proxy = XdsProxy(channel).start()
                await proxy.until(lambda proxy: len(health(proxy, "mine")) == 3)
                catalog.put(entry("s1", servers[1].address, "terminating"))
                await proxy.until(lambda proxy: health(proxy, "mine")["s1"] == DRAINING)
                await proxy.stop()
        await catalog.stop()
        for s in servers:
            s.stop()

    run(body())
