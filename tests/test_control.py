"""Tests of the whole control service: drains, health checks, wrong endpoint lists, restarts, reloads, and in a node."""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

grpc = pytest.importorskip("grpc")

from control_support import (  # noqa: E402
    DRAIN_GRACE,
    UNHEALTHY,
    config_text,
    control_site,
    fail_on_unexpected_child_signal,  # noqa: F401
    health,
    start_service_process,
)
from node_support import run, started_node  # noqa: E402

from harecross.standins.discovery import StandinDiscovery, entry  # noqa: E402
from harecross.standins.model import ServerCapacity  # noqa: E402
from harecross.standins.servers import StandinServer  # noqa: E402
from harecross.standins.xds import ASSIGNMENT, CLUSTER, DRAINING, XdsProxy  # noqa: E402


@asynccontextmanager
async def site_with_proxy(folder: Path):
    """Starts a service with one cluster of three servers, and a proxy that has received them."""
    async with control_site(folder) as site:
        await site.add_cluster("orders")
        await site.start_service()
        proxy = XdsProxy(site.channel).start()
        await proxy.until(lambda proxy: health(proxy) == {"orders0": 1, "orders1": 1, "orders2": 1})
        yield site, proxy
        await proxy.stop()


def test_a_drain_reaches_the_proxy_in_time(tmp_path):
    async def body() -> None:
        async with site_with_proxy(tmp_path) as (site, proxy):
            changed_at = asyncio.get_running_loop().time()
            site.discoveries["orders"].put(entry("orders1", site.servers["orders1"].address, "terminating"))
            await proxy.until(lambda proxy: health(proxy).get("orders1") == DRAINING)
            assert proxy.first_seen_at("orders", "orders1", DRAINING) - changed_at < DRAIN_GRACE

    run(body())


def test_a_terminated_server_is_removed_from_the_proxys_list(tmp_path):
    async def body() -> None:
        async with site_with_proxy(tmp_path) as (site, proxy):
            for lifecycle in ("terminating", "terminated"):
                site.discoveries["orders"].put(entry("orders1", site.servers["orders1"].address, lifecycle))
            await proxy.until(lambda proxy: set(health(proxy)) == {"orders0", "orders2"})

    run(body())


@pytest.mark.parametrize("kind", ["http", "tcp"])
def test_a_server_that_stops_answering_probes_is_ejected_and_comes_back(tmp_path, kind):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders", 5)
            await site.start_service(probe=kind)
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 5)
            server = site.servers["orders0"]
            if kind == "http":
                server.unresponsive = True
            else:
                server.stop()
            await proxy.until(lambda proxy: health(proxy)["orders0"] == UNHEALTHY)
            assert sorted(health(proxy).values()) == [1, 1, 1, 1, UNHEALTHY]
            if kind == "http":
                server.unresponsive = False
            else:
                await server.start(port=int(server.address.rpartition(":")[2]))
            await proxy.until(lambda proxy: health(proxy)["orders0"] == 1)
            await proxy.stop()

    run(body())


def test_a_mass_removal_by_discovery_is_not_applied_at_once(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            discovery = await site.add_cluster("orders", 6)
            await site.start_service()
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 6)
            removed = [e for n, e in discovery.instances.items() if n != "orders0"]
            discovery.put(*({**e, "lifecycle": "terminated"} for e in removed))
            # The drain that follows is applied, which shows that the service has read the mass removal.
            discovery.put(entry("orders0", site.servers["orders0"].address, "terminating"))
            await proxy.until(lambda proxy: health(proxy)["orders0"] == DRAINING)
            assert len(health(proxy)) == 6
            await proxy.stop()

    run(body())


def test_the_remembered_list_is_served_as_cached_while_discovery_is_down(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            discovery = await site.add_cluster("orders")
            memory = f'remember = "{tmp_path / "lists.json"}"\nwait_s = 0.3'
            await site.start_service(control=memory)
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            await site.stop_service()
            await discovery.stop()
            service = await site.start_service(control=memory)
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            listed = service.publisher_loop.feeds["orders"].listed_endpoints
            assert listed.has_cached_list
            assert not listed.has_full_list
            await proxy.stop()

    run(body())


@pytest.mark.parametrize("delta", [False, True], ids=["sotw", "delta"])
def test_a_service_without_a_list_removes_nothing_from_a_proxy(tmp_path, delta):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            discovery = await site.add_cluster("orders")
            await site.start_service(control="wait_s = 0.2")
            proxy = XdsProxy(site.channel, delta=delta).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            held = (
                {t: dict(h) for t, h in proxy.accepted.items()},
                {t: dict(v) for t, v in proxy.versions.items()},
            )
            await site.stop_service()
            await discovery.stop()
            await site.start_service(control="wait_s = 0.2")
            reconnected = XdsProxy(site.channel, delta=delta)
            reconnected.accepted, reconnected.versions = held
            reconnected.version, reconnected.subscribed = dict(proxy.version), set(proxy.subscribed)
            reconnected.start()
            await reconnected.until(lambda proxy: proxy.streams >= 1)
            while not any(ASSIGNMENT in s.stream.subscriptions for s in site.service.server.proxies):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert len(health(reconnected)) == 3
            assert set(reconnected.accepted[CLUSTER]) == {"orders"}
            await reconnected.stop()

    run(body())


@pytest.mark.parametrize("delta", [False, True], ids=["sotw", "delta"])
def test_no_proxy_sees_an_empty_cluster_while_the_service_is_killed_and_the_list_changes(tmp_path, delta):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            discovery = await site.add_cluster("orders", 6)
            memory = f'remember = "{tmp_path / "lists.json"}"\nwait_s = 2'
            # The port is unused between two runs of the service. On a loopback address of this test's own, no other
            # program can be given the port meanwhile.
            host = f"127.78.{os.getpid() >> 8 & 0xFF}.{os.getpid() & 0xFF or 1}"
            site.path.write_text(
                config_text(site.discoveries, control=memory).replace("127.0.0.1:0", f"{host}:0")
            )
            service, port = await start_service_process(site.path)
            site.path.write_text(site.path.read_text().replace(f"{host}:0", f"{host}:{port}"))
            async with grpc.aio.insecure_channel(f"{host}:{port}") as channel:
                proxy = XdsProxy(channel, delta=delta)
                seen: list[int] = []
                proxy.on_response = lambda proxy, t, names: seen.append(
                    len(health(proxy))
                    if "orders" in proxy.accepted[ASSIGNMENT] and "orders" in proxy.accepted[CLUSTER]
                    else -1
                )
                proxy.start()
                await proxy.until(lambda proxy: len(health(proxy)) == 6)
                seen_before_restarts = len(seen)
                for turn in range(3):
                    name = f"orders{turn}"
                    discovery.put(entry(name, site.servers[name].address, "terminating"))
                    service.send_signal(signal.SIGKILL)
                    await asyncio.to_thread(service.wait)
                    discovery.put(entry(name, site.servers[name].address, "terminated"))
                    service, _ = await start_service_process(site.path)
                    await proxy.until(lambda proxy, n=name: n not in health(proxy))
                    discovery.put(entry(name, site.servers[name].address))
                    await proxy.until(lambda proxy, n=name: health(proxy).get(n) == 1)
                assert min(seen[seen_before_restarts:], default=6) >= 5
                assert proxy.streams >= 4
                service.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(service.wait) == 0
                await proxy.stop()

    run(body())


@asynccontextmanager
async def two_clusters(folder: Path):
    """Starts a service with the clusters orders and stock, and a proxy that has received both."""
    async with control_site(folder) as site:
        await site.add_cluster("orders")
        await site.add_cluster("stock", 2)
        await site.start_service()
        proxy = XdsProxy(site.channel).start()
        await proxy.until(lambda proxy: len(health(proxy)) == 3 and len(health(proxy, "stock")) == 2)
        yield site, proxy
        await proxy.stop()


def test_an_invalid_configuration_file_changes_nothing(tmp_path):
    async def body() -> None:
        async with two_clusters(tmp_path) as (site, proxy):
            site.path.write_text(site.path.read_text() + "\n[nonsense]\n")
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
            assert set(site.service.publisher_loop.feeds) == {"orders", "stock"}
            assert len(health(proxy)) == 3
            assert len(health(proxy, "stock")) == 2

    run(body())


def test_a_cluster_removed_from_the_file_is_removed_from_the_proxy(tmp_path):
    async def body() -> None:
        async with two_clusters(tmp_path) as (site, proxy):
            orders = {"orders": site.discoveries["orders"]}
            site.path.write_text(config_text(orders, cluster="cross_zone_price = 0.5"))
            os.kill(os.getpid(), signal.SIGHUP)
            await proxy.until(lambda proxy: set(proxy.accepted[CLUSTER]) == {"orders"})
            assert len(health(proxy)) == 3

    run(body())


def test_client_rules_that_need_a_new_tls_table_wait_for_the_next_start(tmp_path, capfd):
    pytest.importorskip("trustme")
    import trustme

    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders")
            service = await site.start_service()
            proxy = XdsProxy(site.channel).start()
            await proxy.until(lambda proxy: len(health(proxy)) == 3)
            ca = trustme.CA()
            ca.cert_pem.write_to_path(tmp_path / "ca.pem")
            files = "\n".join(f'{k} = "{tmp_path / "ca.pem"}"' for k in ("certificate", "key", "client_ca"))
            rules = f'[tls]\n{files}\n[clients]\n"edge.example" = ["*"]\n[limits]\nstreams = 1'
            site.path.write_text(config_text(site.discoveries, more=rules))
            os.kill(os.getpid(), signal.SIGHUP)
            output = ""
            while "configuration reloaded" not in output:
                await asyncio.sleep(0.01)
                output += capfd.readouterr().err
            assert "control, tls, limits, clients will take effect at the next start" in output
            assert service.config.tls is None
            assert not service.config.clients
            late = XdsProxy(site.channel).start()
            await late.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            await late.stop()

    run(body())


def test_a_node_publishes_its_own_view(tmp_path):
    from harecross.xds.embedded import EmbeddedControlService

    async def body() -> None:
        discovery = await StandinDiscovery().start()
        servers = [await StandinServer(f"s{i}", ServerCapacity()).start() for i in range(3)]
        for server in servers:
            discovery.put(entry(server.name, server.address))
        embedded = EmbeddedControlService("127.0.0.1:0", "mine", interval_s=0.1)
        async with started_node(discovery.address, embedded_service=embedded) as node:
            assert node.options.embedded_service is embedded
            async with grpc.aio.insecure_channel(f"127.0.0.1:{embedded.server.port}") as channel:
                proxy = XdsProxy(channel).start()
                await proxy.until(lambda proxy: len(health(proxy, "mine")) == 3)
                discovery.put(entry("s1", servers[1].address, "terminating"))
                await proxy.until(lambda proxy: health(proxy, "mine")["s1"] == DRAINING)
                await proxy.stop()
        await discovery.stop()
        for server in servers:
            server.stop()

    run(body())
