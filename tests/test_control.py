"""The control service as a whole: drains, health checks, lists that are wrong, restarts, reloads, a node."""

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
    control_site,
    health,
    no_child_dies_of_a_signal_that_nobody_sent,  # noqa: F401
    process,
    text_of,
)
from node_support import run, started_node  # noqa: E402

from harecross.standins.discovery import StandinDiscovery, entry  # noqa: E402
from harecross.standins.model import ServerCapacity  # noqa: E402
from harecross.standins.servers import StandinServer  # noqa: E402
from harecross.standins.xds import ASSIGNMENT, CLUSTER, DRAINING, XdsProxy  # noqa: E402


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
            assert proxy.first_seen_at("orders", "orders1", DRAINING) - changed_at < DRAIN_GRACE

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
            assert listed.has_cached_list
            assert not listed.has_full_list
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
                {t: dict(h) for t, h in proxy.accepted.items()},
                {t: dict(v) for t, v in proxy.versions.items()},
            )
            await site.leave()
            await catalog.stop()
            await site.serve(control="wait_s = 0.2")
            again = XdsProxy(site.channel, delta=delta)
            again.accepted, again.versions = held
            again.version, again.subscribed = dict(proxy.version), set(proxy.subscribed)
            again.start()
            await again.until(lambda proxy: proxy.streams >= 1)
            while not any(ASSIGNMENT in s.stream.types for s in site.service.server.proxies):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert len(health(again)) == 3
            assert set(again.accepted[CLUSTER]) == {"orders"}
            await again.stop()

    run(body())


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
                    if "orders" in proxy.accepted[ASSIGNMENT] and "orders" in proxy.accepted[CLUSTER]
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
                assert min(seen[began:], default=6) >= 5
                assert proxy.streams >= 4
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
            assert len(health(proxy)) == 3
            assert len(health(proxy, "stock")) == 2

    run(body())


def test_a_cluster_that_leaves_the_file_leaves_the_proxy(tmp_path):
    async def body() -> None:
        async with two_clusters(tmp_path) as (site, proxy):
            orders = {"orders": site.catalogs["orders"]}
            site.path.write_text(text_of(orders, cluster="cross_zone_price = 0.5"))
            os.kill(os.getpid(), signal.SIGHUP)
            await proxy.until(lambda proxy: set(proxy.accepted[CLUSTER]) == {"orders"})
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
            assert service.config.tls is None
            assert not service.config.clients
            late = XdsProxy(site.channel).start()
            await late.until(lambda proxy: len(health(proxy)) == 3)
            await proxy.stop()
            await late.stop()

    run(body())


# ---- inside a node --------------------------------------------------------------------------------------


def test_a_node_hands_on_its_own_view(tmp_path):
    from harecross.xds.embedded import EmbeddedControlService

    async def body() -> None:
        catalog = await StandinDiscovery().start()
        servers = [await StandinServer(f"s{i}", ServerCapacity()).start() for i in range(3)]
        for s in servers:
            catalog.put(entry(s.name, s.address))
        beside = EmbeddedControlService("127.0.0.1:0", "mine", interval_s=0.1)
        async with started_node(catalog.address, embedded_service=beside) as node:
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
