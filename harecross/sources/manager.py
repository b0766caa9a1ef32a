"""Runs the sources of one cluster.

The manager resolves SRV names, reads address files, caches good sets on disk, and passes the merged list of the
platform's watch and the other sources to the endpoint registry.
"""

from __future__ import annotations

import asyncio
import ssl
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

from harecross.discovery import wire_format
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.platform.log import log_exception, log_line
from harecross.sources.address_file import AddressFileError
from harecross.sources.config import AddressFileConfig, SourcesTable, SrvConfig
from harecross.sources.explanation import SourcesView, explain
from harecross.sources.file_source import POLL_INTERVAL_S, FileSource
from harecross.sources.priorities import PriorityOverflow
from harecross.sources.publisher import FIRST_LISTS_WAIT_S, WATCH, MembershipPublisher
from harecross.sources.registry_adapter import RegistryAdapter
from harecross.sources.source import Confidence

if TYPE_CHECKING:
    # The extra `dns` is needed only where SRV names are configured.
    from harecross.dns.client import DnsClient
    from harecross.sources.cache_file import CachedSet
    from harecross.sources.dns_source import DnsSource

MIN_STEP_S, MAX_STEP_S = 0.02, 0.5  # bounds of the time between two steps of the main task
MIN_SAVE_INTERVAL_S = 1.0  # minimum time between two writes of the cache file


class SourceManager:
    """Performs the I/O and the scheduling of the sources, and receives the watch's lists instead of the registry.

    The publisher, the reconciler and the cached names make all decisions.

    Attributes:
        loop: The event loop.
        table: The current `[sources]` table.
        registry: The endpoint registry that receives the merged list.
        rng: The source of random numbers for DNS queries and for the times of refreshes.
        now: Returns seconds of the monotonic clock.
        wall: Returns the Unix time in seconds.
        membership: The publisher of the merged list.
        dns_sources: The SRV names that are sources, by the source's name.
        file_sources: The address files that are sources, by the source's name.
    """

    def __init__(
        self, table: SourcesTable, registry: EndpointRegistry, label: str = "", rng: Random | None = None
    ) -> None:
        """Reads the cache file and the address files. Raises ValueError if an address file is invalid.

        `label` precedes the source's name in log lines.
        """
        self.loop = asyncio.get_running_loop()
        self.table = table
        self.registry = registry
        self.rng = rng or SystemRandom()
        self.now = self.loop.time
        self.wall = time.time
        self._log_prefix = f"{label}: " if label else ""
        self._registry_adapter = RegistryAdapter(registry)
        self.membership = MembershipPublisher(
            self._registry_adapter,
            table.merge_limits(),
            PriorityOverflow(table.overflow_enter, table.overflow_leave),
            table.watch_rank if table.watch else None,
            self.now() + FIRST_LISTS_WAIT_S,
        )
        registry.use_merged_sources(self.membership.resolve)
        self._watch_heard_at = self.now()
        self._clients: dict[tuple[object, ...], DnsClient] = {}
        self.dns_sources: dict[str, DnsSource] = {}
        self.file_sources: dict[str, FileSource] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._main_task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._unsaved, self._saved_at = False, 0.0
        self._save_lock = threading.Lock()  # held by the thread that writes the cache file
        self.configure(table, first=True)

    def configure(self, table: SourcesTable, *, first: bool = False) -> None:
        """Adds, changes and removes sources. An endpoint of a removed source stays if another source lists it.

        `first` is True at startup, when the cache file and the address files are read at once.
        """
        self.table = table
        reconciler, overflow = self.membership.reconciler, self.membership.overflow
        reconciler.limits = table.merge_limits()
        overflow.enter, overflow.leave = table.overflow_enter, table.overflow_leave
        if table.watch:
            reconciler.add_source(WATCH, table.watch_rank)
        cached_sets = self._load_cache_file() if first and table.keep and table.srv else {}
        self._remove_unconfigured()
        for srv in table.srv:
            self._configure_dns(srv, cached_sets)
        for file in table.file:
            self._configure_file(file, first=first)
        self._wake.set()

    def _remove_unconfigured(self) -> None:
        configured = {dns_source_name(srv) for srv in self.table.srv}
        configured |= {file_source_name(file) for file in self.table.file}
        present = {*self.dns_sources, *self.file_sources} | (set() if self.table.watch else {WATCH})
        for name in present - configured:
            self.dns_sources.pop(name, None)
            self.file_sources.pop(name, None)
            self.membership.reconciler.remove_source(name)

    def _configure_dns(self, config: SrvConfig, cached_sets: dict[str, CachedSet]) -> None:
        from harecross.dns.lifetime import CachedName
        from harecross.sources.dns_source import DnsSource, cache_limits

        name = dns_source_name(config)
        self.membership.reconciler.add_source(name, config.rank)
        client = self._client(self.table.servers(config))
        if name in self.dns_sources:
            self.dns_sources[name].configure(config, client)
            return
        cached_name = CachedName(cache_limits(config), self.rng, self.now())
        if config.name in cached_sets:
            cached = cached_sets[config.name]
            age_s, expired_s = cached.age(self.wall())
            # A set from the cache file counts as stale, whatever its TTL, until DNS has answered.
            cached_name.restore(self.now(), cached.answer, age_s, -max(expired_s, 0.001))
        self.dns_sources[name] = DnsSource(
            name, config, cached_name, client, self.membership, self.now, self._log_prefix
        )

    def _configure_file(self, config: AddressFileConfig, *, first: bool) -> None:
        name = file_source_name(config)
        self.membership.reconciler.add_source(name, config.rank)
        source = self.file_sources.get(name)
        if source is None:
            source = self.file_sources[name] = FileSource(name, config)
        else:
            source.configure(config)
        if first:
            statements = source.load()
            source.next_check_at = self.now() + POLL_INTERVAL_S
            self.membership.update_source(self.now(), name, statements)

    def _client(self, servers: Sequence[str]) -> DnsClient:
        """Returns the DNS client of these servers; SRV names with the same servers share a client."""
        from harecross.dns.client import DnsClient
        from harecross.dns.servers import TLS

        key = (tuple(servers), self.table.tls_ca, self.table.tls_name)
        if key not in self._clients:
            context = None
            if any(server.startswith(TLS) for server in servers):
                context = ssl.create_default_context(cafile=self.table.tls_ca or None)
            self._clients[key] = DnsClient(servers, self.rng, context, self.table.tls_name)
        return self._clients[key]

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Applies a list or change of the watch. Raises ValueError if it is neither."""
        if not self.table.watch:
            return
        self.membership.update_watch(self.now(), self.wall(), update, cached=cached, full=full)
        for item in update[wire_format.INSTANCES]:
            # An invalid entry is logged if its server would be in service; for a server that is draining or removed,
            # an invalid entry does no harm.
            if not isinstance(item, dict) or (
                item.get(wire_format.LIFECYCLE) == wire_format.IN_SERVICE
                and item.get(wire_format.HOST_PORT) not in self.membership.watch_entries
            ):
                log_line(f"discovery: ignoring invalid entry {item!r:.200}")
        self._publish_changes()

    def connectivity_changed(self, *, connected: bool) -> None:
        """Called when the watch has received data or its connection has ended.

        After the first full list, a stale watch becomes fresh again as soon as it is connected.
        """
        if not connected or not self.table.watch:
            return
        self._watch_heard_at = self.now()
        stale = self.membership.reconciler.sources[WATCH].confidence == Confidence.STALE
        if stale and self.membership.full_list_published:
            self.membership.restore_watch(self.now())
            self._wake.set()

    @property
    def list_is_current(self) -> bool:
        """Whether the registry has received a full list, which requires at least one fresh source."""
        return self.membership.full_list_published

    @property
    def includes_watch(self) -> bool:
        """Whether the platform's watch is a source."""
        return self.table.watch

    def on_names_changed(self, callback: Callable[[], None]) -> None:
        """Sets a callback that is called before endpoints with new names are published."""
        self._registry_adapter.on_names_changed(callback)

    def republish(self) -> None:
        """Publishes the full list again in the next iteration of the event loop."""
        published = self.membership.published
        self.loop.call_soon(lambda: self.registry.apply(wire_format.full_list(published.values()), full=True))

    def explain(self, endpoint: str = "") -> dict[str, Any]:
        """Returns what each source lists, and why endpoints are in service or not.

        `endpoint` is the name or address of an endpoint; all endpoints are included if it is empty.
        """
        view = SourcesView(
            self.now(),
            self.membership,
            self.dns_sources,
            self.file_sources,
            set(self._registry_adapter.maintenance()),
            self._watch_heard_at,
        )
        return explain(view, endpoint)

    def start(self) -> None:
        """Starts to resolve SRV names and to check address files."""
        self._main_task = self.loop.create_task(self._run())

    async def stop(self) -> None:
        """Cancels all tasks, closes the DNS clients and writes the cache file."""
        tasks = [*self._tasks, *([self._main_task] if self._main_task is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in self._clients.values():
            await client.close()
        if self.table.keep and self.dns_sources:
            # A write that was cancelled above may not have started.
            self._save_cache_file(self._cached_sets())

    async def _run(self) -> None:
        while True:
            try:
                self._step()
            except Exception:
                log_exception("sources")
            due = max(self._next_due(), self.now() + MIN_STEP_S)
            try:
                async with asyncio.timeout_at(min(due, self.now() + MAX_STEP_S)):
                    await self._wake.wait()
                    await asyncio.sleep(MIN_STEP_S)
            except TimeoutError:
                pass
            self._wake.clear()

    def _next_due(self) -> float:
        names = [source.cached_name for source in self.dns_sources.values()]
        times = [name.refresh_at for name in names if not name.refreshing]
        times += [source.next_check_at for source in self.file_sources.values()]
        reconcile_at = self.membership.reconciler.next_due()
        if reconcile_at is not None:
            times.append(reconcile_at)
        return min(times, default=self.now() + MAX_STEP_S)

    def _step(self) -> None:
        """Starts the DNS queries, file checks and writes that are due, and publishes changes."""
        now = self.now()
        for dns_source in list(self.dns_sources.values()):
            if dns_source.cached_name.due(now):
                dns_source.cached_name.refresh_started()
                self._start_task(self._refresh(dns_source))
            self._publish_dns(dns_source)
        for file_source in self.file_sources.values():
            if now >= file_source.next_check_at:
                file_source.next_check_at = now + POLL_INTERVAL_S
                self._start_task(self._poll_file(file_source))
        self._check_watch(now)
        self._publish_changes()
        if self._unsaved and now >= self._saved_at + MIN_SAVE_INTERVAL_S:
            self._unsaved, self._saved_at = False, now
            self._start_task(asyncio.to_thread(self._save_cache_file, self._cached_sets()))

    def _check_watch(self, now: float) -> None:
        """Marks the watch's list as stale if the watch has been silent for more than `watch_stale_s`."""
        if not self.table.watch or now - self._watch_heard_at <= self.table.watch_stale_s:
            return
        confidence = self.membership.reconciler.sources[WATCH].confidence
        if confidence == Confidence.FRESH:
            silent_s = self.table.watch_stale_s
            log_line(
                f"sources: {self._log_prefix}watch: no data for {silent_s:g} s; marking its list as stale"
            )
        if confidence != Confidence.NONE:
            self.membership.set_confidence(WATCH, Confidence.STALE)

    def _publish_changes(self) -> None:
        try:
            self.membership.publish_changes(self.now(), self.wall())
        except ValueError as error:
            log_line(f"sources: {self._log_prefix}{error}")

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _refresh(self, source: DnsSource) -> None:
        await source.refresh()
        if self.dns_sources.get(source.name) is source:  # the source may have been removed meanwhile
            self._publish_dns(source)
            self._wake.set()

    def _publish_dns(self, source: DnsSource) -> None:
        has_new_set = source.publish()
        self._unsaved = self._unsaved or (has_new_set and bool(self.table.keep))

    async def _poll_file(self, source: FileSource) -> None:
        try:
            loaded = await source.load_if_changed()
        except (OSError, AddressFileError) as error:
            source.fail(error)
            if self.file_sources.get(source.name) is source:  # the source may have been removed meanwhile
                self.membership.set_confidence(source.name, Confidence.STALE)
        else:
            if loaded is None:
                return
            if self.file_sources.get(source.name) is source:
                source.accept(loaded)
                self.membership.update_source(self.now(), source.name, loaded.statements)
        self._wake.set()

    def _load_cache_file(self) -> dict[str, CachedSet]:
        """Returns the sets in the cache file; returns none, and logs the reason, if the file cannot be used."""
        from harecross.sources.cache_file import CacheFileError, read_cache_file, remove_leftovers

        try:
            remove_leftovers(self.table.keep)
            return read_cache_file(self.table.keep)
        except (CacheFileError, OSError) as error:
            log_line(f"sources: {self.table.keep}: ignoring the cache file: {error}")
            return {}

    def _cached_sets(self) -> dict[str, CachedSet]:
        wall = self.wall()
        sets = {s.config.name: s.cached_set(wall) for s in self.dns_sources.values()}
        return {name: cached for name, cached in sets.items() if cached is not None}

    def _save_cache_file(self, sets: dict[str, CachedSet]) -> None:
        from harecross.sources.cache_file import write_cache_file

        try:
            with self._save_lock:
                write_cache_file(self.table.keep, sets)
        except OSError as error:
            log_line(f"sources: {self.table.keep}: cannot write the cache file: {error.strerror}")


def dns_source_name(config: SrvConfig) -> str:
    """Returns the name of the source for an SRV name, as operators see it."""
    return f"srv:{config.name}"


def file_source_name(config: AddressFileConfig) -> str:
    """Returns the name of the source for an address file, as operators see it."""
    return f"file:{config.path}"
