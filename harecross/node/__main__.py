"""Start, signals, exit."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any, Protocol

import uvloop

from harecross.discovery.discovery_client import MAX_RETIRED_WATCHES, DiscoveryClient
from harecross.discovery.endpoint_registry import EndpointListConsumer, EndpointRegistry
from harecross.discovery.readiness import Freshness, ListReadiness, max_start_wait_s
from harecross.discovery.subscription_schedule import discovery_terms
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.downstream.connection_manager import ACCEPTS, ConnectionManager
from harecross.http.request_parser import RequestParser
from harecross.node.admin_operations import AdminOperations
from harecross.node.admin_server import ROOM as DOOR_ROOM
from harecross.node.config import BadConfig, Config, bound_socket, inherited_socket, read_config
from harecross.node.handover_store import HandoverStore
from harecross.node.shutdown_schedule import LAST_REQUESTS, stopping
from harecross.platform.clock import monotonic_us
from harecross.platform.descriptor_budget import DescriptorBudget
from harecross.platform.log import log_line
from harecross.upstream.connection_pool import ConnectionPool

if TYPE_CHECKING:
    from harecross.operators import Operators

BACKLOG = 1024
# Descriptors for connections about to be closed, two watches and those of discoveries that have been left, a file.
RESERVE = ACCEPTS + 8 + MAX_RETIRED_WATCHES
SOURCES = 24  # descriptors for DNS servers, files of addresses and kept sets, where there are any
BODIES = 4  # one part in so many of the memory may hold callers' bodies
SWEEP_EVERY = 0.25  # seconds
FLUSH = 0.3  # seconds at most for answers that are still being written
LAG_SHOWN = 0.05
LIVE = ("discovery", "known", "seed")  # keys that take effect at once, or mean nothing to a running node
FIRST_WORD = 0.5  # seconds that connections wait for the first list before what comes on them is refused
REPORT_EVERY = 10.0  # seconds between two lines on how things stand


def descriptors() -> int:
    """How many are open."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 16


def bodies_part(whole: int, processes: int, shared: bool) -> int:
    """What one process may hold of callers' bodies, in bytes.

    Where another one may come, a quarter is kept for it: what is held already cannot be given back then.
    """
    if processes > 1:
        return whole // 4
    return whole * 3 // 4 if shared else whole


class Beside(Protocol):
    """A service that runs in the node's process and reads what it knows."""

    async def start(self, host: RequestDispatcher, directory: EndpointRegistry) -> None: ...

    async def stop(self) -> None: ...


class MoreSources(EndpointListConsumer, Protocol):
    """Several sources of membership; the watch is one of them (`sources.run.Sources`)."""

    @property
    def watches(self) -> bool:
        """Whether the platform's watch is a source."""

    @property
    def heard(self) -> bool:
        """Whether its list can be relied on."""

    def start(self) -> None: ...

    def again(self) -> None:
        """A fetch was asked for, and there is no watch."""

    def follow(self, moved: Callable[[], None]) -> None:
        """`moved` is called before a box with a new name is told."""

    def explain(self, box: str) -> dict[str, Any]:
        """What each source says, of one box or of all."""

    async def stop(self) -> None: ...


class Node:
    """The running program."""

    def __init__(
        self,
        config: Config,
        report_every: float = REPORT_EVERY,
        backlog: int = BACKLOG,
        beside: Beside | None = None,
        inherited: socket.socket | None = None,
        folder: str | None = None,
        more_sources: Callable[[EndpointRegistry], MoreSources] | None = None,
        attempts: str = "",
    ) -> None:
        """`inherited` is a listening socket that other processes may share; `folder` outlives the process.

        `more_sources` makes what lists servers beside the platform's watch; `attempts` names the attempt log.
        """
        self.inherited = inherited
        self.beside = beside
        self.report_every = report_every
        self.backlog = backlog
        self.loop = asyncio.get_running_loop()
        self.config = config
        settings = config.settings
        # Guards against: at the descriptor limit the node can reach neither servers nor discovery.
        reserve = RESERVE + (DOOR_ROOM + 4 if config.admin else 0)
        self.more_sources: MoreSources | None = None
        reserve += SOURCES if more_sources is not None else 0
        room = max(16, config.sockets - descriptors() - reserve)
        self.whole, self.bodies = room, config.memory // BODIES
        self.room = DescriptorBudget(room)
        self.pool = ConnectionPool(config.connect_timeout, config.idle_time, config.columns, self.room)
        self.dispatcher = RequestDispatcher(settings, config.seed, self.pool)
        self.registry = EndpointRegistry(self.dispatcher, self.pool, config.zones, config.kinds)
        if attempts:
            from harecross.follow.attempts import AttemptLog

            try:
                self.dispatcher.tracer = AttemptLog(config.name, attempts, self.registry.numbers)
            except OSError as e:
                raise BadConfig(f"log.attempts {attempts}: {e.strerror}") from None
        if more_sources is not None:
            self.more_sources = more_sources(self.registry)
        self.discovery = DiscoveryClient(
            self.registry,
            config.discovery,
            discovery_terms(settings),
            self.more_sources,
            config.seed,
            on_current_list=self.list_told,
        )
        self.readiness = ListReadiness(monotonic(), max_start_wait_s(self.discovery.terms))
        self.dispatcher.readiness = self.readiness
        self.told = asyncio.Event()  # the list may be used
        self.dispatcher.on_watch, self.dispatcher.on_fetch = self.watch, self.fetch
        reader = RequestParser(settings, config.classes, config.tenants)
        self.callers = ConnectionManager(
            self.dispatcher, reader, self.room, bodies_part(self.bodies, 1, inherited is not None)
        )
        self.pool.set_streaming_budget(self.bodies // 2)
        self.operations = None
        if config.admin is not None:
            self.operations = AdminOperations(
                HandoverStore(folder, config.name), self.registry, self.callers, self.heard
            )
            if self.more_sources is not None:
                self.operations.explain_by(self.more_sources.explain)
                self.more_sources.follow(self.operations.follow)
        self.address: tuple[str, int] = ("", 0)  # where it listens
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()
        self.lag = 0.0
        self.reported = self.loop.time()

    def heard(self) -> bool:
        """Whether the list of servers comes from this process's own time."""
        return self.discovery.list_received or (self.more_sources is not None and self.more_sources.heard)

    def list_told(self) -> None:
        """The list in hand is of this process's own time."""
        if not self.told.is_set():
            self.readiness.list_confirmed()
            self.told.set()

    def watches(self) -> bool:
        """Whether the platform's watch is a source."""
        return self.more_sources is None or self.more_sources.watches

    def watch(self, on: bool) -> None:
        if not on:
            self.discovery.unsubscribe()
        elif self.watches():
            self.discovery.subscribe()

    def fetch(self) -> None:
        if self.more_sources is None or self.more_sources.watches:
            self.discovery.poll()
        else:
            self.more_sources.again()

    async def run(self) -> None:
        # Guards against: a signal that comes before its handler ends the process.
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        self.dispatcher.start()
        if self.beside is not None:
            try:
                await self.beside.start(self.dispatcher, self.registry)
            except OSError as e:
                raise BadConfig(f"xds.listen {e}") from None
        if self.operations is not None and self.config.admin is not None:
            await self.open_door(self.operations, self.config.admin)
        if self.config.known is not None:
            try:
                self.discovery.use_configured_list(self.config.known)
                self.readiness.configured_list_loaded()
            except ValueError as e:
                log_line(f"known: {e}")
        if self.more_sources is not None:
            self.more_sources.start()
        if self.operations is not None:
            self.operations.recall()
        if not self.discovery.terms.polled:
            self.watch(True)
        if not self.watches():
            self.list_told()  # what was kept of the other sources serves from the first moment on
        elif self.others():
            self.readiness.wait_until = monotonic() + max_start_wait_s(
                self.discovery.terms, replaces_process=True
            )
        sock = self.inherited or self.bind()
        self.callers.listen(sock, self.backlog)
        self.address = sock.getsockname()
        await self.first_word()
        self.callers.begin()
        self.every(SWEEP_EVERY, self.sweep)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)
        log_line(f"listening on {self.address[0]}:{self.address[1]}")
        if self.operations is not None:
            self.operations.serving()
        self.ready.set()
        await self.stop.wait()
        await self.drain()

    async def first_word(self) -> None:
        """Waits a moment for the first list, which an agent has at hand: nobody need be refused for it.

        Guards against: what has come while the process started is sent by a list that is older than it.
        """
        waits = [self.loop.create_task(event.wait()) for event in (self.told, self.stop)]
        await asyncio.wait(waits, timeout=FIRST_WORD, return_when=asyncio.FIRST_COMPLETED)
        for task in waits:
            task.cancel()

    def bind(self) -> socket.socket:
        try:
            return bound_socket(self.config.listen)
        except OSError as e:
            raise BadConfig("listen {}:{}: {}".format(*self.config.listen, e.strerror)) from None

    async def open_door(self, operations: AdminOperations, address: tuple[str, int]) -> None:
        """Before the first list: what was held out by the process before has never been used by this one."""
        try:
            operations.store.live()
        except OSError as e:
            log_line(
                f"{operations.store.lives}: what is told at the door will not outlive the process: {e.strerror}"
            )
        operations.store.look()
        operations.follow()
        self.share_bounds()
        try:
            await operations.open(address)
        except OSError as e:
            raise BadConfig("admin {}:{}: {}".format(*address, e.strerror)) from None

    def others(self) -> int:
        """How many other processes serve as this node."""
        return self.operations.store.others() if self.operations is not None else 0

    def share_bounds(self) -> None:
        """Guards against: two processes that each take all that one may hold are over the limit together."""
        parts = 2 if self.others() else 1
        self.room.total = self.whole // parts
        self.callers.held_most = bodies_part(self.bodies, parts, self.inherited is not None)
        self.pool.set_streaming_budget(self.bodies // 2 // parts)

    def reload(self) -> None:
        """SIGHUP: the configuration is read again. Only `discovery` can change while the node runs."""
        if self.stop.is_set():
            log_line("configuration not read again: stopping")
            return
        try:
            config = read_config(again=True)
        except BadConfig as e:
            log_line(f"configuration not changed: {e}")
            return
        moves = self.discovery.migrate(config.discovery)
        text = "configuration read again: " + (
            "moving to another discovery" if moves else "discovery as before"
        )
        others = [k for k, v in config.raw.items() if k not in LIVE and v != self.config.raw.get(k)]
        if others:
            text += f"; {', '.join(sorted(others))} will count from the next start"
        if self.more_sources is not None:
            text += self.reload_sources()
        log_line(text)

    def reload_sources(self) -> str:
        """`[sources]` of the operators' file is read again; a bad file changes nothing."""
        from harecross.sources.run import Sources

        assert isinstance(self.more_sources, Sources)
        try:
            told = read_operators(os.environ.get("HARECROSS_CONFIG", ""))
            self.more_sources.put(told.sources)
        except (BadConfig, ValueError) as e:
            return f"; sources not changed: {e}"
        if self.more_sources.watches and self.discovery.current is None:
            self.discovery.subscribe()
        elif not self.more_sources.watches:
            self.discovery.unsubscribe()
        return f"; {len(self.more_sources.membership.ledger.sources)} sources"

    async def drain(self) -> None:
        """Serves on while others take over, then answers all that was taken, before it is killed.

        Guards against: a node that closes its connections at once is out until it is killed and started
        again, and while its neighbour restarts too nobody serves their clients.
        """
        classes = self.config.settings.classes
        times = stopping(max(c.deadline for c in classes) / 1e6, self.dispatcher.typical_response_time_s())
        log_line(
            f"stopping: no more is taken after {times.close:.1f} s, what came late is over after {times.end:.1f} s"
        )
        now, began = monotonic_us(), self.loop.time()
        self.dispatcher.shutdown_late_from_us, self.dispatcher.shutdown_deadline_us = (
            now + int(times.counted * 1e6),
            now + int(times.end * 1e6),
        )
        if self.inherited is not None and self.others():
            log_line("another process serves on")
            await self.callers.hand_over()
            while self.callers.open and self.loop.time() < began + times.close:
                await asyncio.sleep(0.01)
            self.callers.close_idle()
        else:
            self.callers.stopping = True
            await asyncio.sleep(times.leave)
            self.callers.leaving = True
            self.callers.close_idle()
            await asyncio.sleep(max(0.0, began + times.close - self.loop.time()))
            await self.callers.close(by=began + times.end, shared=self.inherited is not None)
        if self.callers.open:
            await asyncio.sleep(LAST_REQUESTS)
        while self.callers.busy():
            await asyncio.sleep(0.01)
        self.callers.close_all()
        self.discovery.unsubscribe()
        if self.more_sources is not None:
            await self.more_sources.stop()
        self.pool.close_all()
        if self.beside is not None:
            await self.beside.stop()
        end = self.loop.time() + FLUSH
        while self.callers.open and self.loop.time() < end:
            await asyncio.sleep(0.01)
        if self.operations is not None:
            self.operations.close()
        self.report()

    def every(self, seconds: float, do: Callable[[], None]) -> None:
        due = self.loop.time() + seconds

        def tick() -> None:
            self.lag = max(self.lag, self.loop.time() - due)
            do()
            self.every(seconds, do)

        self.loop.call_at(due, tick)

    def sweep(self) -> None:
        if self.operations is not None:
            self.share_bounds()
            self.operations.learn()
        if self.more_sources is not None and self.more_sources.heard:
            self.list_told()
        self.pool.sweep()
        self.callers.sweep()
        now = self.loop.time()
        if now >= self.reported + self.report_every:
            self.reported = now
            self.report()
            if self.lag > LAG_SHOWN:
                log_line(f"the event loop was {self.lag * 1000:.0f} ms late")
            self.lag = 0.0

    def report(self) -> None:
        now, lists = monotonic(), dict[str, float]()
        if self.watches():
            lists = self.discovery.schedule.report_fields(now)
            freshness = self.readiness.freshness(now, self.discovery.schedule)
            if freshness in (Freshness.NONE, Freshness.CONFIGURED, Freshness.STALE):
                lists[f"list_{freshness.value}"] = 1.0
        self.dispatcher.report(self.callers.bad, self.callers.turned_away, lists)


def read_operators(path: str) -> Operators:
    """The operators' file. Only where it is named is its reader imported."""
    from harecross.operators import BadFile, Operators, read_toml
    from harecross.sources.config import check

    try:
        told = read_toml(path, Operators)
        check(told.sources)
    except BadFile as e:
        raise BadConfig(str(e)) from None
    except ValueError as e:
        raise BadConfig(f"{path}: {e}") from None
    return told


def from_operators() -> dict[str, Any]:
    """What the operators' file says, if HARECROSS_CONFIG names one."""
    path = os.environ.get("HARECROSS_CONFIG")
    if not path:
        return {}
    told = read_operators(path)
    found: dict[str, Any] = {
        "report_every": told.log.report_every_s,
        "attempts": told.log.attempts,
        "backlog": told.listen.backlog,
    }
    if told.xds.listen:
        try:
            from harecross.xds.config import listen_address
            from harecross.xds.inside import Inside
        except ImportError as e:
            raise BadConfig(f"{path}: xds.listen needs the extra `xds`: {e}") from None
        try:
            listen_address(told.xds.listen, told.xds.plaintext == "anywhere")
        except ValueError as e:
            raise BadConfig(f"{path}: xds.listen: {e}") from None
        found["beside"] = Inside(told.xds.listen, told.xds.cluster)
    if told.sources.on:
        from harecross.sources.run import Sources

        def make(directory: EndpointRegistry) -> MoreSources:
            try:
                return Sources(told.sources, directory)
            except ValueError as e:
                raise BadConfig(f"{path}: {e}") from None

        found["more_sources"] = make
    return found


async def run(config: Config, **more: Any) -> None:
    await Node(config, **more).run()


def main() -> int:
    try:
        shared = {"inherited": inherited_socket(), "folder": os.environ.get("TMPDIR") or None}
        uvloop.run(run(read_config(), **shared, **from_operators()))
    except BadConfig as e:
        log_line(str(e))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
