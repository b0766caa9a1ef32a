"""A feed of the stand-alone control service, with its own balancer, sources and health checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any

from harecross.discovery import wire_format
from harecross.discovery.discovery_client import DiscoveryClient
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.interface import ClassSettings, Idempotency, Outcome, Settings
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.log import log_exception, log_line
from harecross.settings import REPORT_FIELD_NAMES, parse_address
from harecross.sources.manager import SourceManager
from harecross.upstream.connection_pool import ConnectionPool
from harecross.upstream.exchange import Exchange
from harecross.xds.config import ClusterTable
from harecross.xds.feed import LATENCY_COLUMN, ClusterFeed
from harecross.xds.health_checks import HealthCheckSchedule

# Placeholder address for a cluster without discovery, whose discovery client never subscribes.
NO_DISCOVERY = ("127.0.0.1", 0)
MAX_HEALTH_CHECKS = 1024  # maximum number of health checks of one cluster in progress at once
HEALTH_CHECK_STEP_S = 0.1  # time between two checks of which health checks are due
DESCRIPTORS = 8 * MAX_HEALTH_CHECKS
IDLE_TIMEOUT_US = 15_000_000  # how long an idle connection for health checks stays open
ALL_SERVERS = 1 << 30  # subset size above that of any cluster, because the service observes every server


def balancer_settings(table: ClusterTable) -> Settings:
    """Returns the settings of a cluster's balancer, which handles no requests."""
    columns = tuple(REPORT_FIELD_NAMES.get(column, column) for column in table.columns)
    request_class = ClassSettings(
        Idempotency.IDEMPOTENT, latency_objective=1_000_000, deadline=2_000_000, priority_weight=1.0
    )
    return Settings(
        classes=(request_class,),
        slow_start_duration=int(table.cold_s * 1e6),
        slow_start_min_capacity=table.cold_start,
        cross_zone_cost=table.cross_zone_price,
        report_fields=columns or (LATENCY_COLUMN,),
        subset_max=ALL_SERVERS,
    )


class StandaloneDispatcher(RequestDispatcher):
    """A dispatcher without clients, which records health checks and load reports.

    It reports immediately when a server's state changes.
    """

    def __init__(
        self, settings: Settings, seed: int, pool: ConnectionPool, name: str, on_change: Callable[[], None]
    ) -> None:
        """`name` prefixes log lines; `on_change` is called when the balancer logs a change."""
        self._name = name
        self._on_change = on_change
        super().__init__(settings, seed, pool)

    def log_event(self, text: str) -> None:
        """Logs a change of a server's state."""
        log_line(f"{self._name}: {text}")
        self._on_change()


class StandaloneFeed(ClusterFeed):
    """A feed with its own balancer, endpoint registry, sources and health checks."""

    def __init__(self, name: str, table: ClusterTable, seed: int, on_change: Callable[[str], None]) -> None:
        """Creates the feed without starting it. Raises ValueError if an address file cannot be used."""
        self._table = table
        self._pool = ConnectionPool(
            int(table.probe.timeout_s * 1e6), IDLE_TIMEOUT_US, table.columns, DescriptorBudget(DESCRIPTORS)
        )
        dispatcher = StandaloneDispatcher(
            balancer_settings(table), seed, self._pool, name, lambda: on_change(name)
        )
        super().__init__(name, dispatcher, EndpointRegistry(dispatcher, self._pool, (), ()), on_change)
        dispatcher.start()
        sources = table.sources_table()
        self.sources = SourceManager(sources, self.registry, name) if sources.has_additional_sources else None
        address = parse_address(table.discovery) if table.discovery else NO_DISCOVERY
        self.discovery = DiscoveryClient(self.registry, address, consumer=self.sources, seed=seed)
        self._schedule = HealthCheckSchedule(int(table.probe.interval_s * 1e6), Random(f"{seed}/{name}"))
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: asyncio.Task[None] | None = None

    def start(self, cached_list: Any = None) -> None:
        """Starts to watch discovery and the other sources, and to check servers.

        Until a source provides a list, the servers are those of `cached_list`, which counts as a cached list.
        """
        if cached_list is not None:
            try:
                if self.sources is not None:
                    self.sources.membership.remember(cached_list[wire_format.INSTANCES])
                self.registry.apply(cached_list, cached=True)
            except (ValueError, KeyError, TypeError) as error:
                log_line(f"{self.name}: cached endpoint list not used: {error}")
        self.discovery.generation = None
        if self._table.discovery:
            self.discovery.subscribe()
        if self.sources is not None:
            self.sources.start()
        self._start_task(self._check_health())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_health(self) -> None:
        while True:
            await asyncio.sleep(HEALTH_CHECK_STEP_S)
            try:
                for server in self._schedule.take_due(monotonic_us(), self.registry.listed.keys()):
                    self._start_health_check(server)
                self._pool.sweep()
            except Exception:
                log_exception(f"{self.name}: health checks")

    def _start_health_check(self, server: int) -> None:
        if len(self._schedule.in_progress) > MAX_HEALTH_CHECKS:
            # Skips this check, so that servers that do not respond cannot use up all descriptors.
            self._schedule.complete(server)
        elif self._table.probe.kind == "tcp":
            self._start_task(self._connect(server))
        else:
            self._pool.send(self._pool.make_health_check(server, self._on_health_check_ended))

    def _on_health_check_ended(
        self, exchange: Exchange, outcome: Outcome, body: bytes, report: Sequence[float]
    ) -> None:
        self._schedule.complete(exchange.server)
        if outcome != Outcome.NOT_SENT:
            self.dispatcher.health_check_ended(exchange, outcome, body, report)

    async def _connect(self, server: int) -> None:
        """Performs a health check that only opens a connection."""
        process = self._pool.processes.get(server)
        started_at = monotonic_us()
        connected = False
        if process is not None:
            try:
                async with asyncio.timeout(self._table.probe.timeout_s):
                    _, writer = await asyncio.open_connection(process.host, process.port)
                connected = True
                writer.close()
            except (OSError, TimeoutError):
                pass
        self._schedule.complete(server)
        now = monotonic_us()
        self.dispatcher.balancer.health_checked(now, server, connected, now - started_at, ())

    def close(self) -> None:
        """Closes the feed, its sources and its connections. `wait_closed` waits for the sources."""
        super().close()
        self.discovery.unsubscribe()
        if self.sources is not None:
            self._closing = asyncio.get_running_loop().create_task(self.sources.stop())
        for task in self._tasks:
            task.cancel()
        self._pool.close_all()

    async def wait_closed(self) -> None:
        """Waits until the sources have stopped and their cache file is written."""
        if self.sources is not None:
            await self.sources.stop()
