"""The discovery client: manages the current watch and migrations to another discovery address."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

from harecross.discovery import wire_format
from harecross.discovery.endpoint_registry import EndpointListConsumer, EndpointRegistry
from harecross.discovery.process_table import ProcessTable, TableUpdate
from harecross.discovery.statements import DiscoverySource
from harecross.discovery.subscription_schedule import (
    MIGRATION_STALENESS_LIMIT_S,
    CallEnd,
    DiscoverySettings,
    SubscriptionSchedule,
)
from harecross.discovery.transition_log import describe_transitions
from harecross.discovery.watch import LIST_PATH, Watch
from harecross.interface import EndpointUpdateKind
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line

DEFAULT_SETTINGS = DiscoverySettings()
# How long the new discovery may lag behind the old one after a migration: the staleness limit, plus one second for
# changes that it has written and that are still in transit.
MAX_MIGRATION_LAG_S = MIGRATION_STALENESS_LIMIT_S + 1.0
# How long the list of the new discovery may have servers that left before the migration: a list may run 9.6 s further
# behind (BRIEF, 10.2).
MAX_LIST_LAG_S = 9.6
# Each retired watch's connection normally ends soon after its migration, so a small limit is enough.
MAX_RETIRED_WATCHES = 4


class DiscoveryClient:
    """Manages the current watch and, during a migration to another address, the pending watch there.

    Each watch reconnects according to its `SubscriptionSchedule`. If lists are polled, the balancer is notified when
    the current watch's call ends. The old watch stays current until the pending one has received its first list. The
    old watch is then retired: it stays open until its connection ends, so that servers that it reports as draining or
    gone are still taken out of service.

    Attributes:
        on_current_list: Called when discovery has sent a list, or confirmed that the current one is unchanged.
        generation: The last version known; the next watch asks for the versions after it. None requests a full list.
        epoch: Identifies the migration that the newest watch belongs to; later migrations have higher numbers.
        migrated_at: When the last migration began, in seconds of `monotonic`; None before the first.
        list_received: Whether a watch has delivered a list to this process, besides the configured one.
        sources: The discovery source of each current or retired watch, by the watch's epoch.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        address: tuple[str, int],
        settings: DiscoverySettings = DEFAULT_SETTINGS,
        consumer: EndpointListConsumer | None = None,
        seed: int = 0,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Passes lists to `consumer`, or to the registry if no consumer is given."""
        self.loop = asyncio.get_running_loop()
        self.registry = registry
        self.consumer = consumer or registry
        self.address = address
        self.settings = settings
        self.rng = Random(seed)
        self.monotonic = monotonic
        self.on_current_list: Callable[[], None] = lambda: None
        self.schedule = SubscriptionSchedule(settings, self.rng)
        self.generation: int | None = 0
        self.epoch = 0
        self.migrated_at: float | None = None
        self.current: Watch | None = None
        self.pending: Watch | None = None
        self.retired: list[Watch] = []
        self.list_received = False
        self.poll_tasks: set[asyncio.Task[None]] = set()
        self.sources: dict[int, DiscoverySource] = {0: DiscoverySource("{}:{}".format(*address), 0)}
        self.source_sequence = 0
        self.table = ProcessTable(self.sources[0], registry.start_times.unix_offset / 1e6)

    def use_configured_list(self, configured: Any) -> None:
        """Applies the configured list, an earlier list of the same address. Raises ValueError if it is malformed."""
        self.table.receive(self.monotonic(), self.sources[0], configured, full=True, configured=True)
        self.consumer.apply(configured, cached=True)
        generation = wire_format.generation_of(configured)
        if isinstance(generation, int):
            self.generation = generation

    def current_list(self) -> dict[str, Any]:
        """Returns the list in use, in discovery's form, with servers that are draining or quarantined as draining."""
        generation = self.generation if self.current is None else self.current.generation
        entries = self.table.entries_in_use()
        return {wire_format.GENERATION: generation, wire_format.RESET: True, wire_format.INSTANCES: entries}

    def subscribe(self) -> None:
        """Opens a watch, closing any that is already open."""
        self.unsubscribe()
        self.current = Watch(self, self.address, self.generation, self.schedule, self.epoch)

    def unsubscribe(self) -> None:
        """Closes all watches."""
        for watch in (self.current, self.pending):
            if watch is not None:
                self.generation = watch.generation
                watch.close()
        self.current = self.pending = None
        self.close_retired()

    def migrate(self, address: tuple[str, int]) -> bool:
        """Migrates to another address; returns False if it is already the current or pending address.

        No change is missed between the two watches, because the old watch stays current until the pending one has
        received its first list. That list is a full one, because versions of the two addresses are not comparable.
        """
        if address == self.address:
            return False
        self.address = address
        if self.pending is not None:
            self.pending.close()
            self.pending = None
        if self.current is not None and address == self.current.address:
            # The address has changed back before the pending watch received a list.
            self.epoch = self.current.epoch
            return True
        self.epoch = max(self.epoch, *self.sources) + 1
        self.migrated_at = self.monotonic()
        if self.current is None:
            self.generation = None
        else:
            schedule = SubscriptionSchedule(self.settings, self.rng, migrating=True)
            self.pending = Watch(self, address, None, schedule, self.epoch)
        return True

    def update_received(self, watch: Watch, update: Any, *, full: bool, restarted: bool) -> None:
        """Applies a list or change. Raises ValueError if it is neither."""
        now = self.monotonic()
        is_new_source = watch.epoch not in self.sources
        source = self.source_of(watch, now, restarted=restarted)
        result = self.table.receive(now, source, update, full=full or restarted)
        if watch in self.retired:
            self.apply_if_any(result)
        else:
            self.consumer.apply(result.update, full=full)
            self.list_confirmed(watch)
        self.note_listing_complete(watch)
        self.log(watch, wire_format.generation_of(update), result, now)
        if is_new_source and (quarantined := self.table.quarantined()):
            log_line(f"discovery: {watch.name} does not know yet that {len(quarantined)} servers are leaving")
        self.close_retired_if_caught_up()

    def heartbeat_received(self, watch: Watch) -> None:
        """Handles a heartbeat: nothing has changed since the watch's last list or change."""
        if watch is not self.current:
            return
        now = self.monotonic()
        result = self.table.heartbeat(now, self.sources[watch.epoch])
        self.apply_if_any(result)
        self.note_listing_complete(watch)
        self.log(watch, watch.generation, result, now)
        self.close_retired_if_caught_up()
        self.on_current_list()

    def connectivity_changed(self, watch: Watch, *, connected: bool) -> None:
        """Passes on that the watch has received data, or that its connection ended or could not be opened."""
        if watch not in self.retired:
            self.consumer.connectivity_changed(connected=connected)

    def call_ended(self, watch: Watch) -> None:
        """Handles the end of one of the watch's own calls."""
        if watch in self.retired:
            self.retired.remove(watch)
        elif self.settings.polled and watch is self.current:
            self.notify_failure()

    def apply_if_any(self, result: TableUpdate) -> None:
        """Applies the entries that changed through a heartbeat or a retired watch's update, if there are any."""
        if wire_format.entries_of(result.update):
            self.consumer.apply(result.update)

    def note_listing_complete(self, watch: Watch) -> None:
        """Records that the current discovery's list is complete: servers that appear later started after this time."""
        if watch is self.current:
            self.registry.start_times.listing_complete(monotonic_us())

    def source_of(self, watch: Watch, now: float, *, restarted: bool) -> DiscoverySource:
        """Returns the source of the watch's updates.

        The first list of an epoch, or of a restarted discovery, creates a new source.
        """
        known = self.sources.get(watch.epoch)
        if known is not None and (watch in self.retired or not restarted):
            return known
        self.source_sequence += 1
        may_lag_until = absences_count_until = now
        if not restarted and self.migrated_at is not None:
            may_lag_until = self.migrated_at + MAX_MIGRATION_LAG_S
            absences_count_until = self.migrated_at + MAX_LIST_LAG_S
        source = DiscoverySource(watch.name, self.source_sequence, may_lag_until, absences_count_until)
        self.sources[watch.epoch] = source
        return source

    def list_confirmed(self, watch: Watch) -> None:
        """Records that a watch has delivered a list or change; promotes a pending watch to the current one."""
        self.list_received = True
        self.on_current_list()
        if watch is self.pending:
            previous = self.current
            self.current, self.pending, self.schedule = watch, None, watch.schedule
            watch.schedule.migrating = False
            if previous is not None:
                self.retire(previous)
            log_line(f"discovery: moved to {watch.name}")

    def log(self, watch: Watch, version: object, result: TableUpdate, now: float) -> None:
        """Writes transitions to the log, and to the attempt log if it is enabled."""
        for line in describe_transitions(result.transitions, now):
            log_line(f"discovery: {watch.name} v{version}: {line}")
        tracer = self.registry.dispatcher.tracer
        if tracer is not None:
            for transition in result.transitions:
                tracer.process_changed(transition, now)

    def retire(self, watch: Watch) -> None:
        """Keeps the previous watch open until its connection ends, so that a drain sent until then is not missed."""
        watch.retired = True
        self.retired.append(watch)
        while len(self.retired) > MAX_RETIRED_WATCHES:
            self.retired.pop(0).close()
        self.sources = {
            watch.epoch: self.sources[watch.epoch]
            for watch in (*self.retired, self.current)
            if watch is not None
        }

    def close_retired_if_caught_up(self) -> None:
        """Closes the retired watches if the current discovery has caught up and their statements no longer count."""
        if not self.table.catching_up:
            self.close_retired()

    def close_retired(self) -> None:
        """Closes all retired watches."""
        for watch in self.retired:
            watch.close()
        self.retired.clear()

    def poll(self) -> None:
        """Requests the full list from the current discovery, in parallel with the watch."""
        task = self.loop.create_task(self.poll_once())
        self.poll_tasks.add(task)
        task.add_done_callback(self.poll_tasks.discard)

    async def poll_once(self) -> None:
        """Makes one poll and notifies the balancer if it fails."""
        watch = self.current
        if watch is None:
            return self.notify_failure()
        # The poll has its own schedule, because its response must not count as a heartbeat of the watch.
        schedule = SubscriptionSchedule(self.settings, self.rng)
        schedule.call_started(time.monotonic())
        if await watch.call(LIST_PATH, schedule, is_watch_call=False) is not CallEnd.ENDED:
            self.notify_failure()

    def notify_failure(self) -> None:
        """Notifies the balancer that a call delivered no list."""
        self.registry.dispatcher.endpoint_update(EndpointUpdateKind.FAILED, [])
