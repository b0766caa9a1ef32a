"""The control service with several worker processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

grpc = pytest.importorskip("grpc")

from control_support import (  # noqa: E402
    DRAIN_GRACE,
    ControlSite,
    config_text,
    control_site,
    fail_on_unexpected_child_signal,  # noqa: F401
    health,
    run_command,
    start_service_process,
)
from node_support import run  # noqa: E402

from harecross.standins.discovery import entry  # noqa: E402
from harecross.standins.xds import CLUSTER, DRAINING, XdsProxy  # noqa: E402


class WorkerSite:
    """A service with two workers, and sixteen proxies that have received both clusters."""

    def __init__(self, site: ControlSite, proxies: list[XdsProxy]) -> None:
        self.site = site
        self.proxies = proxies
        self.pool = site.service.server
        self.orders = site.discoveries["orders"]

    @property
    def target(self) -> str:
        return f"127.0.0.1:{self.pool.port}"

    async def until(self, reached) -> None:
        """Waits until every proxy has reached the expected state."""
        for proxy in self.proxies:
            await proxy.until(reached)

    def drain(self, name: str) -> None:
        self.orders.put(entry(name, self.site.servers[name].address, "terminating"))


WORKER_OPTIONS = "workers = 2\nload_reports_s = 0.1"
OWN_CONNECTION = [("grpc.use_local_subchannel_pool", 1)]


@asynccontextmanager
async def worker_site(folder: Path):
    async with control_site(folder) as site:
        await site.add_cluster("orders")
        await site.add_cluster("stock", 2)
        service = await site.start_service(control=WORKER_OPTIONS)
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
            assert sum(counts) == 16 and all(counts), "one worker has all streams"

    run(body())


def test_every_worker_answers_with_the_status_of_all(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            code, out = await run_command("control", "status", "--address", workers.target, "--json", "-")
            nodes = {row["node"] for row in json.loads(out)["proxies"]}
            assert code == 0
            assert nodes == {f"p{i}" for i in range(16)}

    run(body())


def test_a_drain_reaches_the_streams_of_all_workers_in_time(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            changed_at = asyncio.get_running_loop().time()
            workers.drain("orders0")
            await workers.until(lambda proxy: health(proxy)["orders0"] == DRAINING)
            arrivals = [proxy.first_seen_at("orders", "orders0", DRAINING) for proxy in workers.proxies]
            assert max(arrivals) - changed_at < DRAIN_GRACE

    run(body())


def test_a_worker_that_is_killed_while_the_list_changes_is_replaced_and_no_proxy_sees_a_gap(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            pool, server_counts = workers.pool, []

            def on_response(proxy: XdsProxy, type_url: str, names: list[str]) -> None:
                server_counts.append(len(health(proxy)) if "orders" in proxy.accepted[CLUSTER] else -1)

            for proxy in workers.proxies:
                proxy.on_response = on_response
            killed = pool.workers[0].process
            killed.kill()
            workers.drain("orders1")
            await workers.until(lambda proxy: health(proxy)["orders1"] == DRAINING)
            while pool.workers[0].process is killed or pool.count() < 16:
                await asyncio.sleep(0.02)
            assert set(server_counts) == {3}

    run(body())


def test_a_cluster_removed_from_the_file_is_removed_from_the_streams_of_all_workers(tmp_path):
    async def body() -> None:
        async with worker_site(tmp_path) as workers:
            workers.site.path.write_text(config_text({"orders": workers.orders}, control=WORKER_OPTIONS))
            os.kill(os.getpid(), signal.SIGHUP)
            await workers.until(lambda proxy: set(proxy.accepted[CLUSTER]) == {"orders"})

    run(body())


def test_workers_exit_after_their_service_is_killed(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders")
            site.path.write_text(config_text(site.discoveries, control="workers = 2"))
            service, port = await start_service_process(site.path)
            service.kill()
            await asyncio.to_thread(service.wait)
            # The port is free once the last worker has exited.
            while True:
                try:
                    (await asyncio.start_server(lambda r, w: None, "127.0.0.1", port)).close()
                    break
                except OSError:
                    await asyncio.sleep(0.02)

    run(body())


def test_a_port_in_use_is_reported_and_not_shared(tmp_path):
    async def body() -> None:
        async with control_site(tmp_path) as site:
            await site.add_cluster("orders")
            first = await site.start_service(control="workers = 2")
            path = tmp_path / "second.toml"
            path.write_text(site.path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{first.server.port}"))
            code, out = await run_command("control", "--config", path)
            assert code == 2
            assert "control.listen" in out
            assert "in use" in out

    run(body())
