"""The standalone control service (`harecross control`): its configuration, clusters and signals."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import msgspec

from harecross.operators import OperatorsFileError
from harecross.platform.log import log_line
from harecross.xds.access import allowed_clusters
from harecross.xds.assembly import create_encoder, create_server, listen
from harecross.xds.cached_lists import CachedLists
from harecross.xds.config import ControlFile, read_control
from harecross.xds.load_reports import LoadReports
from harecross.xds.publisher_loop import PublisherLoop
from harecross.xds.server import ControlServer
from harecross.xds.standalone_feed import StandaloneFeed
from harecross.xds.worker_channel import WorkerSetup
from harecross.xds.worker_pool import WorkerPool


class ControlService:
    """One run of the service.

    Attributes:
        ready: Set once the service listens.
        stop: Set to stop the service.
        config: The configuration that is in effect.
        server: The gRPC server, or the pool of worker processes that have one each.
        publisher_loop: Publishes the changes of the clusters.
        cached_lists: The endpoint lists that are saved for the next start.
    """

    def __init__(self, path: Path, config: ControlFile, seed: int = 1) -> None:
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()
        self._path = path
        self.config = config
        self._seed = seed
        self._setup = worker_setup(config)
        self.server = self._create_server()
        self.publisher_loop = PublisherLoop(
            self.server, create_encoder(self._setup), config.control.interval_s, self._on_step
        )
        self.cached_lists = CachedLists(config.control.remember)
        # Both times are those of the event loop's clock, in seconds.
        self._load_reports_forwarded_at = 0.0
        self._full_lists_deadline = 0.0

    def _create_server(self) -> ControlServer | WorkerPool:
        workers = self.config.control.workers
        if workers > 1:
            return WorkerPool(workers, self._setup, self._load_reports, log_line)
        return create_server(self._setup, self._allowed_clusters, self._load_reports)

    def _allowed_clusters(self, names: tuple[str, ...]) -> frozenset[str] | None:
        return allowed_clusters(self.config.clients, names)

    def _load_reports(self, cluster: str) -> LoadReports | None:
        feed = self.publisher_loop.feeds.get(cluster)
        return feed.load_reports if feed is not None else None

    async def run(self) -> None:
        """Serves until SIGTERM, SIGINT or `stop`; SIGHUP reloads the configuration.

        Raises:
            OperatorsFileError: If a cluster cannot be started or if the service cannot listen.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._start_clusters()
        port = await self._listen()
        self._full_lists_deadline = loop.time() + self.config.control.wait_s
        self.publisher_loop.start()
        log_line(f"control: listening on port {port}, {len(self.config.clusters)} clusters")
        self.ready.set()
        await self.stop.wait()
        log_line("control: stopping")
        await self._stop()

    def _start_clusters(self) -> None:
        cached_lists = self.cached_lists.load()
        for name in self.config.clusters:
            try:
                self.start_cluster(name, cached_lists.get(name))
            except ValueError as error:
                raise OperatorsFileError(f"{self._path}: clusters.{name}: {error}") from None

    async def _listen(self) -> int:
        try:
            if isinstance(self.server, WorkerPool):
                return await self.server.start()
            return await listen(self.server, self._setup)
        except (OSError, ValueError) as error:
            raise OperatorsFileError(f"{self._path}: control.listen: {error}") from None

    async def _stop(self) -> None:
        self.publisher_loop.stop()
        for feed in self.publisher_loop.feeds.values():
            if isinstance(feed, StandaloneFeed):
                await feed.wait_closed()
        self.cached_lists.save(self.publisher_loop.feeds)
        await self.server.stop()

    def start_cluster(self, name: str, cached_list: Any = None) -> None:
        """Starts a cluster of the configuration, with its cached endpoint list if there is one."""
        table = self.config.clusters[name]
        feed = StandaloneFeed(name, table, self._seed, self._on_change)
        self.publisher_loop.add(feed, table.cross_zone_price, table.calls_per_server)
        feed.start(cached_list)

    def _on_change(self, name: str) -> None:
        self.cached_lists.mark_changed()
        self.publisher_loop.mark_changed(name)

    def _on_step(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self.publisher_loop.enabled:
            self._enable_if_ready(now)
        if now >= self._load_reports_forwarded_at + self.config.control.load_reports_s:
            self._load_reports_forwarded_at = now
            for feed in self.publisher_loop.feeds.values():
                feed.forward_load_reports()
        self.cached_lists.save_if_due(self.publisher_loop.feeds)

    def _enable_if_ready(self, now: float) -> None:
        """Enables publishing once every cluster has its full list, or after the configured wait."""
        feeds = self.publisher_loop.feeds
        waiting = [name for name, feed in feeds.items() if not feed.listed_endpoints.has_full_list]
        if waiting and now < self._full_lists_deadline:
            return
        self.publisher_loop.enabled = True
        for name in waiting:
            known = feeds[name].listed_endpoints.is_publishable()
            action = (
                "publishing the cached list, which may be out of date"
                if known
                else "publishing nothing, proxies keep their endpoints"
            )
            wait_s = self.config.control.wait_s
            log_line(f"control: no endpoint list for cluster {name} after {wait_s:g} s: {action}")

    def reload(self) -> None:
        """Reloads the clusters and the rules for clients (SIGHUP); other changes take effect at the next start."""
        try:
            loaded = read_control(self._path)
        except OperatorsFileError as error:
            log_line(f"control: configuration not reloaded: {error}")
            return
        old, self.config = self.config, reloaded_config(self.config, loaded)
        removed = old.clusters.keys() - self.config.clusters.keys()
        for name in removed:
            self.publisher_loop.remove(name)
        changed = [name for name, c in self.config.clusters.items() if old.clusters.get(name) != c]
        for name in changed:
            self._restart_cluster(name)
        if old.clients != self.config.clients:
            self._refresh_access()
        text = f"control: configuration reloaded: {len(changed)} clusters added or changed, {len(removed)} removed"
        later = settings_needing_restart(self.config, loaded)
        if later:
            text += f"; {', '.join(later)} will take effect at the next start"
        log_line(text)

    def _restart_cluster(self, name: str) -> None:
        """Starts a new or changed cluster.

        A changed cluster starts with its previous endpoint list, so that its endpoints stay published meanwhile.
        """
        feed = self.publisher_loop.feeds.get(name)
        cached_list = None
        if feed is not None:
            cached_list = feed.listed_endpoints.snapshot()
            feed.close()
        self.start_cluster(name, cached_list)

    def _refresh_access(self) -> None:
        if isinstance(self.server, WorkerPool):
            self.server.set_access(self.config.clients)
        else:
            self.server.refresh_access()


def worker_setup(config: ControlFile) -> WorkerSetup:
    """Returns the settings that the process with the gRPC server needs: this process or a worker."""
    control = config.control
    return WorkerSetup(
        control.listen,
        config.tls,
        config.limits,
        config.clients,
        control.status,
        control.adaptive_concurrency,
        control.load_reports_s,
    )


def reloaded_config(running: ControlFile, loaded: ControlFile) -> ControlFile:
    """Returns the configuration that is in effect after a reload.

    If [tls] has changed, new rules for clients wait for the next start as [tls] does. Until the new [tls] is in effect,
    clients may not present certificates, and the rules would take all clusters from them.
    """
    clients = loaded.clients if running.tls == loaded.tls else running.clients
    return msgspec.structs.replace(
        loaded, control=running.control, tls=running.tls, limits=running.limits, clients=clients
    )


def settings_needing_restart(running: ControlFile, loaded: ControlFile) -> list[str]:
    """Returns the names of the tables whose changes take effect only at the next start.

    `running` is the configuration in effect and `loaded` the one in the file.
    """
    later = []
    if (running.control, running.tls, running.limits) != (loaded.control, loaded.tls, loaded.limits):
        later = ["control", "tls", "limits"]
    return [*later, "clients"] if running.clients != loaded.clients else later


def main(path: Path) -> None:
    """Runs the service until it is stopped.

    Raises:
        OperatorsFileError: If the configuration file cannot be used.
    """
    import uvloop

    config = read_control(path)

    async def run() -> None:
        await ControlService(path, config).run()

    uvloop.run(run())
