"""A feed of the stand-alone control service: with a decision module, a watch and health checks of its own."""

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

NO_DISCOVERY = ("127.0.0.1", 0)  # the watch of a cluster without discovery, which is never begun
MAX_HEALTH_CHECKS = 1024  # of one cluster, in progress at once
HEALTH_CHECK_STEP_S = 0.1  # between two looks at which health checks are due
DESCRIPTORS = 8 * MAX_HEALTH_CHECKS
IDLE_TIMEOUT_US = 15_000_000  # of a connection for health checks
ALL_SERVERS = 1 << 30  # the subset of one program that judges every server


def decision_settings(table: ClusterTable) -> Settings:
    """The settings of a cluster's decision module, which sends no requests."""
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
    """A dispatcher without clients: it checks servers' health, and reports at once when a server's state changes."""

    def __init__(
        self, settings: Settings, seed: int, pool: ConnectionPool, name: str, on_change: Callable[[], None]
    ) -> None:
        """`name` begins its log lines; `on_change` is called when the decision module logs a change."""
        self._name = name
        self._on_change = on_change
        super().__init__(settings, seed, pool)

    def log_event(self, text: str) -> None:
        """Logs a change of a server's state."""
        log_line(f"{self._name}: {text}")
        self._on_change()


class StandaloneFeed(ClusterFeed):
    """A feed with sources of its own."""

    def __init__(self, name: str, table: ClusterTable, seed: int, on_change: Callable[[str], None]) -> None:
        """ValueError for a file of addresses that cannot be used."""
        self._table = table
        self._pool = ConnectionPool(
            int(table.probe.timeout_s * 1e6), IDLE_TIMEOUT_US, table.columns, DescriptorBudget(DESCRIPTORS)
        )
        dispatcher = StandaloneDispatcher(
            decision_settings(table), seed, self._pool, name, lambda: on_change(name)
        )
        super().__init__(name, dispatcher, EndpointRegistry(dispatcher, self._pool, (), ()), on_change)
        dispatcher.start()
        sources = table.sources_table()
        self.sources = SourceManager(sources, self.registry, name) if sources.on else None
        where = parse_address(table.discovery) if table.discovery else NO_DISCOVERY
        self.discovery = DiscoveryClient(self.registry, where, consumer=self.sources, seed=seed)
        self._schedule = HealthCheckSchedule(int(table.probe.interval_s * 1e6), Random(f"{seed}/{name}"))
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing: asyncio.Task[None] | None = None

    def start(self, remembered: Any = None) -> None:
        """Begins with a remembered list, which counts as old, and watches discovery and the other sources."""
        if remembered is not None:
            try:
                if self.sources is not None:
                    self.sources.membership.remember(remembered[wire_format.INSTANCES])
                self.registry.apply(remembered, cached=True)
            except (ValueError, KeyError, TypeError) as error:
                log_line(f"{self.name}: remembered list: {error}")
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

    # ---- health checks ------------------------------------------------------------------------------------

    async def _check_health(self) -> None:
        while True:
            await asyncio.sleep(HEALTH_CHECK_STEP_S)
            try:
                for server in self._schedule.take_due(monotonic_us(), self.registry.listed.keys()):
                    self._begin_health_check(server)
                self._pool.sweep()
            except Exception:
                log_exception(f"{self.name}: probes")

    def _begin_health_check(self, server: int) -> None:
        if len(self._schedule.in_progress) > MAX_HEALTH_CHECKS:
            # Servers that do not answer must not take all descriptors.
            self._schedule.complete(server)
        elif self._table.probe.kind == "tcp":
            self._start_task(self._connect(server))
        else:
            self._pool.send(self._pool.make_health_check(server, self._health_check_ended))

    def _health_check_ended(
        self, exchange: Exchange, outcome: Outcome, body: bytes, report: Sequence[float]
    ) -> None:
        self._schedule.complete(exchange.server)
        if outcome != Outcome.NOT_SENT:
            self.dispatcher.health_check_ended(exchange, outcome, body, report)

    async def _connect(self, server: int) -> None:
        """A health check that only connects."""
        process = self._pool.processes.get(server)
        began_at = monotonic_us()
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
        self.dispatcher.balancer.health_checked(now, server, connected, now - began_at, ())

    # ---- end ----------------------------------------------------------------------------------------------

    def close(self) -> None:
        """Ends the feed and what it watches."""
        super().close()
        self.discovery.unsubscribe()
        if self.sources is not None:
            self._closing = asyncio.get_running_loop().create_task(self.sources.stop())
        for task in self._tasks:
            task.cancel()
        self._pool.close_all()

    async def wait_closed(self) -> None:
        """Waits until the sources have ended and their cache file is written."""
        if self.sources is not None:
            await self.sources.stop()
