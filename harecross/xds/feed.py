"""One cluster's view: discovery, probes and load reports in, `publish.ServerView` out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from harecross.discovery.discovery_client import DiscoveryClient
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.interface import ClassSettings, Idempotency, Outcome, Settings
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.log import log_exception, log_line
from harecross.settings import COLUMNS, address
from harecross.sources.run import Sources
from harecross.upstream.connection_pool import ConnectionPool
from harecross.upstream.exchange import Exchange
from harecross.xds.config import ClusterTable
from harecross.xds.loads import Loads
from harecross.xds.probes import Schedule
from harecross.xds.publish import ServerView

NOWHERE = ("127.0.0.1", 0)  # the watch of a cluster without discovery, which is never begun
PROBES_MOST = 1024  # of one cluster, out at once
PROBE_STEP = 0.1  # seconds between two looks at which probes are due
ALL = 1 << 30  # one copy judges every server


class Feed:
    """Reads one Balancer and one directory, a node's or its own."""

    def __init__(
        self, name: str, host: RequestDispatcher, directory: EndpointRegistry, changed: Callable[[str], None]
    ) -> None:
        self.name = name
        self.dispatcher = host
        self.registry = directory
        self.changed = changed
        self.roster = ListedEndpoints()
        self.loads = Loads()
        directory.update_listener = self.update_used

    def update_used(self, update: Any, full: bool, cached: bool) -> None:
        """The registry has used a list or change."""
        self.roster.apply(update, full=full, cached=cached)
        self.changed(self.name)

    def views(self) -> tuple[list[ServerView], float]:
        """What is thought of each listed server, and the calls one copy would hold at each."""
        seen = {v.server: v for v in self.dispatcher.balancer.endpoint_snapshots(monotonic_us())}
        limits = [v.limit for v in seen.values()]
        views = []
        for name, line in self.roster.entries.items():
            where = str(line.get("hostPort", ""))
            try:
                address(where)
            except ValueError:
                continue  # the directory has said so in the log
            draining = line["lifecycle"] != "in_service"
            number = self.registry.numbers.get(name, 0)
            if not draining and number not in self.registry.listed:
                continue  # another server has taken over its address, or its line could not be read
            v = seen.get(number)
            zone = str(line.get("zone", ""))
            if v is None or draining:
                views.append(ServerView(name, where, zone, draining))
            else:
                views.append(ServerView(name, where, zone, False, v.ejected, v.slow_start_factor, v.cost))
        return views, max(limits, default=0.0)

    def take_loads(self) -> None:
        """Tells the module what proxies have reported since the last time."""
        timed = tuple(self.dispatcher.settings.report_fields) == ("latency_ms",)
        for s in self.loads.take():
            number = self.registry.numbers.get(s.server)
            if number is not None:
                report = (s.latency_ms,) if timed and s.latency_ms else ()
                self.dispatcher.balancer.load_reported(monotonic_us(), number, s.good, s.bad, report)

    def close(self) -> None:
        self.registry.update_listener = None


class Judge(RequestDispatcher):
    """A host without callers: it probes, and says at once when the module changes its mind."""

    changed: Callable[[], None] = staticmethod(lambda: None)
    name = ""

    def log_event(self, text: str) -> None:
        log_line(f"{self.name}: {text}")
        self.changed()


class OwnFeed(Feed):
    """A feed of the stand-alone service, with a Balancer, a watch on discovery and probes of its own."""

    def __init__(self, name: str, told: ClusterTable, seed: int, changed: Callable[[str], None]) -> None:
        self.told = told
        columns = [COLUMNS.get(c, c) for c in told.columns]
        settings = Settings(
            classes=(
                ClassSettings(
                    Idempotency.IDEMPOTENT,
                    latency_objective=1_000_000,
                    deadline=2_000_000,
                    priority_weight=1.0,
                ),
            ),
            slow_start_duration=int(told.cold_s * 1e6),
            slow_start_min_capacity=told.cold_start,
            cross_zone_cost=told.cross_zone_price,
            report_fields=tuple(columns) or ("latency_ms",),
            subset_max=ALL,
        )
        servers = ConnectionPool(
            int(told.probe.timeout_s * 1e6), 15_000_000, told.columns, DescriptorBudget(8 * PROBES_MOST)
        )
        host = Judge(settings, seed, servers)
        host.name = name
        super().__init__(name, host, EndpointRegistry(host, servers, (), ()), changed)
        host.changed = lambda: changed(name)
        host.start()
        self.pool = servers
        table = told.table()
        # ValueError for a file of addresses that cannot be used.
        self.sources = Sources(table, self.registry, name) if table.on else None
        where = address(told.discovery) if told.discovery else NOWHERE
        self.discovery = DiscoveryClient(self.registry, where, consumer=self.sources, seed=seed)
        self.schedule = Schedule(int(told.probe.interval_s * 1e6), Random(f"{seed}/{name}"))
        self.tasks: set[asyncio.Task[None]] = set()
        self.ending: asyncio.Task[None] | None = None

    def start(self, memory: Any = None) -> None:
        """Begins with a remembered list, which counts as old, and watches discovery."""
        if memory is not None:
            try:
                if self.sources is not None:
                    self.sources.membership.remember(memory["instances"])
                self.registry.apply(memory, cached=True)
            except (ValueError, KeyError, TypeError) as e:
                log_line(f"{self.name}: remembered list: {e}")
        self.discovery.generation = None
        if self.told.discovery:
            self.discovery.subscribe()
        if self.sources is not None:
            self.sources.start()
        self.keep(self.probe())

    def keep(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(self) -> None:
        while True:
            await asyncio.sleep(PROBE_STEP)
            try:
                for server in self.schedule.due(monotonic_us(), self.registry.listed.keys()):
                    if len(self.schedule.out) > PROBES_MOST:
                        # Failure prevented: servers that hang hold all descriptors.
                        self.schedule.ended(server)
                    elif self.told.probe.kind == "tcp":
                        self.keep(self.connect(server))
                    else:
                        self.pool.send(self.pool.make_health_check(server, self.probed))
                self.pool.sweep()
            except Exception:
                log_exception(f"{self.name}: probes")

    def probed(self, exchange: Exchange, outcome: Outcome, body: bytes, report: Sequence[float]) -> None:
        self.schedule.ended(exchange.server)
        if outcome != Outcome.NOT_SENT:
            self.dispatcher.health_check_ended(exchange, outcome, body, report)

    async def connect(self, server: int) -> None:
        """A probe that only connects."""
        target = self.pool.processes.get(server)
        began = monotonic_us()
        ok = False
        if target is not None:
            try:
                async with asyncio.timeout(self.told.probe.timeout_s):
                    _, writer = await asyncio.open_connection(target.host, target.port)
                ok = True
                writer.close()
            except (OSError, TimeoutError):
                pass
        self.schedule.ended(server)
        self.dispatcher.balancer.health_checked(monotonic_us(), server, ok, monotonic_us() - began, ())

    def close(self) -> None:
        super().close()
        self.discovery.unsubscribe()
        if self.sources is not None:
            self.ending = asyncio.get_running_loop().create_task(self.sources.stop())
        for task in self.tasks:
            task.cancel()
        self.pool.close_all()
