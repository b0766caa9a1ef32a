"""The stand-alone control service (`harecross control`): configuration, clusters, signals."""

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
    """One run of the service."""

    def __init__(self, path: Path, config: ControlFile, seed: int = 1) -> None:
        self.ready = asyncio.Event()  # it listens
        self.stop = asyncio.Event()
        self._path = path
        self.config = config
        self._seed = seed
        self._setup = worker_setup(config)
        self.server = self._create_server()
        self.publisher_loop = PublisherLoop(
            self.server, create_encoder(self._setup), config.control.interval_s, self._on_step
        )
        self.remembered_lists = CachedLists(config.control.remember)
        self._load_reports_passed_at = 0.0
        self._wait_until = 0.0  # for the first whole lists

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

    # ---- start and stop -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serves until a signal. OperatorsFileError if it cannot listen."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self._start_clusters()
        port = await self._listen()
        self._wait_until = loop.time() + self.config.control.wait_s
        self.publisher_loop.start()
        log_line(f"control: listening on port {port}, {len(self.config.clusters)} clusters")
        self.ready.set()
        await self.stop.wait()
        log_line("control: stopping")
        await self._stop()

    def _start_clusters(self) -> None:
        remembered = self.remembered_lists.load()
        for name in self.config.clusters:
            try:
                self.start_cluster(name, remembered.get(name))
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
        self.remembered_lists.save(self.publisher_loop.feeds)
        await self.server.stop()

    def start_cluster(self, name: str, remembered: Any = None) -> None:
        """Adds a cluster of the configuration, which begins with a remembered list."""
        table = self.config.clusters[name]
        feed = StandaloneFeed(name, table, self._seed, self._on_change)
        self.publisher_loop.add(feed, table.cross_zone_price, table.calls_per_server)
        feed.start(remembered)

    # ---- at work ------------------------------------------------------------------------------------------

    def _on_change(self, name: str) -> None:
        self.remembered_lists.mark_changed()
        self.publisher_loop.mark_changed(name)

    def _on_step(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self.publisher_loop.enabled:
            self._enable_if_ready(now)
        if now >= self._load_reports_passed_at + self.config.control.load_reports_s:
            self._load_reports_passed_at = now
            for feed in self.publisher_loop.feeds.values():
                feed.forward_load_reports()
        self.remembered_lists.save_if_due(self.publisher_loop.feeds)

    def _enable_if_ready(self, now: float) -> None:
        """Publishes once all lists are there, or after the configured wait."""
        feeds = self.publisher_loop.feeds
        waiting = [name for name, feed in feeds.items() if not feed.listed_endpoints.has_full_list]
        if waiting and now < self._wait_until:
            return
        self.publisher_loop.enabled = True
        for name in waiting:
            known = feeds[name].listed_endpoints.is_publishable()
            how = "the remembered list, which is old" if known else "nothing: proxies keep what they have"
            wait_s = self.config.control.wait_s
            log_line(f"control: no list of {name} after {wait_s:g} s; it is served {how}")

    # ---- reload -------------------------------------------------------------------------------------------

    def reload(self) -> None:
        """Reads clusters and clients again (SIGHUP); the rest counts from the next start."""
        try:
            read = read_control(self._path)
        except OperatorsFileError as error:
            log_line(f"control: configuration not changed: {error}")
            return
        old, self.config = self.config, reloaded_config(self.config, read)
        removed = old.clusters.keys() - self.config.clusters.keys()
        for name in removed:
            self.publisher_loop.remove(name)
        changed = [name for name, c in self.config.clusters.items() if old.clusters.get(name) != c]
        for name in changed:
            self._restart_cluster(name)
        if old.clients != self.config.clients:
            self._refresh_access()
        text = (
            f"control: configuration read again: {len(changed)} clusters new or changed, {len(removed)} gone"
        )
        later = settings_for_next_start(self.config, read)
        if later:
            text += f"; {', '.join(later)} will count from the next start"
        log_line(text)

    def _restart_cluster(self, name: str) -> None:
        """Starts a new or changed cluster. A changed one begins with its old list, so that proxies see no gap."""
        feed = self.publisher_loop.feeds.get(name)
        remembered = None
        if feed is not None:
            remembered = feed.listed_endpoints.snapshot()
            feed.close()
        self.start_cluster(name, remembered)

    def _refresh_access(self) -> None:
        if isinstance(self.server, WorkerPool):
            self.server.set_access(self.config.clients)
        else:
            self.server.refresh_access()


def worker_setup(config: ControlFile) -> WorkerSetup:
    """What the service's streams are served by, in this process or in workers."""
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


def reloaded_config(running: ControlFile, read: ControlFile) -> ControlFile:
    """The configuration after a reload.

    Rules for clients that need the new [tls] wait for the next start, or they would take all clusters from clients
    that show no certificate.
    """
    clients = read.clients if running.tls == read.tls else running.clients
    return msgspec.structs.replace(
        read, control=running.control, tls=running.tls, limits=running.limits, clients=clients
    )


def settings_for_next_start(running: ControlFile, read: ControlFile) -> list[str]:
    """The tables of a file that was read again, and differ from what is running."""
    later = []
    if (running.control, running.tls, running.limits) != (read.control, read.tls, read.limits):
        later = ["control", "tls", "limits"]
    return [*later, "clients"] if running.clients != read.clients else later


def main(path: Path) -> None:
    """Runs the service. OperatorsFileError for a file that cannot be used."""
    import uvloop

    config = read_control(path)

    async def run() -> None:
        await ControlService(path, config).run()

    uvloop.run(run())
