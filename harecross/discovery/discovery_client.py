"""The discovery client: the watch in use, the migration to another address, and both as one list of servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

from harecross.discovery import wire_format
from harecross.discovery.endpoint_registry import EndpointListConsumer, EndpointRegistry
from harecross.discovery.process_table import DiscoverySource, ProcessTable, TableUpdate
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
# After a migration the new discovery may lag behind for so long; what it has written by then may still be on its way
# for a moment more.
MAX_MIGRATION_LAG_S = MIGRATION_STALENESS_LIMIT_S + 1.0
MAX_RETIRED_WATCHES = 4  # each one's connection ends soon after a migration


class DiscoveryClient:
    """The watch in use and, during a migration to another address, the pending watch there.

    A watch is reopened when its `SubscriptionSchedule` says; where lists are polled, the module is notified of its end.
    The old watch is used until the pending one has brought its first list. From then on until its connection ends, the
    old watch is retired, and only its statements on servers that drain or are gone count.
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
        """Lists go to `consumer`, or else to the registry."""
        self.loop = asyncio.get_running_loop()
        self.registry = registry
        self.consumer = consumer or registry
        self.address = address
        self.settings = settings
        self.rng = Random(seed)
        self.monotonic = monotonic
        # Called when discovery has sent a list, or confirmed that the present one has not changed:
        self.on_current_list: Callable[[], None] = lambda: None
        self.schedule = SubscriptionSchedule(settings, self.rng)
        self.generation: int | None = 0  # the version that the next watch starts after
        self.epoch = 0  # counts migrations
        self.migrated_at: float | None = None  # when the last migration began
        self.current: Watch | None = None
        self.pending: Watch | None = None
        self.retired: list[Watch] = []
        self.list_received = False  # by this process, not only from its configuration
        self.poll_tasks: set[asyncio.Task[None]] = set()
        # By the epoch of its watch, of those in use and retired:
        self.sources: dict[int, DiscoverySource] = {0: DiscoverySource("{}:{}".format(*address), 0)}
        self.source_sequence = 0
        self.table = ProcessTable(self.sources[0])

    # ---- commands of the node ---------------------------------------------------------------------------

    def use_configured_list(self, configured: Any) -> None:
        """Uses the configuration's list, an earlier one of the same address. ValueError if it is none."""
        self.table.receive(self.monotonic(), self.sources[0], configured, full=True)
        self.consumer.apply(configured, cached=True)
        generation = wire_format.generation_of(configured)
        if isinstance(generation, int):
            self.generation = generation

    def subscribe(self) -> None:
        """Opens the watch, in place of one that is open."""
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
        """Goes to another address; False if the node is there, or on its way there.

        No change between two watches is missed: the old watch is used until the pending one has brought its first list.
        That list is a full one, because a version of the old address may mean nothing at the new one.
        """
        if address == self.address:
            return False
        self.address = address
        if self.pending is not None:
            self.pending.close()
            self.pending = None
        if self.current is not None and address == self.current.address:
            self.epoch = self.current.epoch  # back before the other watch was ready
            return True
        self.epoch = max(self.epoch, *self.sources) + 1
        self.migrated_at = self.monotonic()
        if self.current is None:
            self.generation = None
        else:
            schedule = SubscriptionSchedule(self.settings, self.rng, migrating=True)
            self.pending = Watch(self, address, None, schedule, self.epoch)
        return True

    # ---- events of watches ------------------------------------------------------------------------------

    def update_received(self, watch: Watch, update: Any, *, full: bool, restarted: bool) -> None:
        """A list or change. ValueError if it is neither."""
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
            log_line(f"discovery: {watch.name} has not heard of {len(quarantined)} that leave")
        self.close_retired_if_caught_up()

    def heartbeat_received(self, watch: Watch) -> None:
        """Nothing has changed since the last list or change of the watch."""
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
        """The watch has just received something, or its connection has ended or could not be made."""
        if watch not in self.retired:
            self.consumer.connectivity_changed(connected=connected)

    def call_ended(self, watch: Watch) -> None:
        """One of the watch's own calls is over."""
        if watch in self.retired:
            self.retired.remove(watch)
        elif self.settings.polled and watch is self.current:
            self.notify_failure()

    def apply_if_any(self, result: TableUpdate) -> None:
        """Applies the entries that a heartbeat, or a list of a retired watch, has changed."""
        if wire_format.entries_of(result.update):
            self.consumer.apply(result.update)

    def note_listing_complete(self, watch: Watch) -> None:
        """The current discovery has listed all servers up to now: one that appears later has started later."""
        if watch is self.current:
            self.registry.start_times.listing_complete(monotonic_us())

    def source_of(self, watch: Watch, now: float, *, restarted: bool) -> DiscoverySource:
        """The source of the watch's updates: a new one from the first list of an epoch, or of a restarted discovery."""
        known = self.sources.get(watch.epoch)
        if known is not None and (watch in self.retired or not restarted):
            return known
        self.source_sequence += 1
        may_lag_until = now
        if not restarted and self.migrated_at is not None:
            may_lag_until = self.migrated_at + MAX_MIGRATION_LAG_S
        source = DiscoverySource(watch.name, self.source_sequence, may_lag_until)
        self.sources[watch.epoch] = source
        return source

    def list_confirmed(self, watch: Watch) -> None:
        """A watch has brought a list or change; a pending watch becomes the current one."""
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
        """Writes transitions to the log, and to the attempt log where there is one."""
        for line in describe_transitions(result.transitions, now):
            log_line(f"discovery: {watch.name} v{version}: {line}")
        tracer = self.registry.dispatcher.tracer
        if tracer is not None:
            for transition in result.transitions:
                tracer.process_changed(transition, now)

    # ---- retired watches --------------------------------------------------------------------------------

    def retire(self, watch: Watch) -> None:
        """Keeps the previous watch until its connection ends, so that a drain written meanwhile is not missed."""
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
        """Closes retired watches once their statements no longer count."""
        if not self.table.catching_up:
            self.close_retired()

    def close_retired(self) -> None:
        """Closes all retired watches."""
        for watch in self.retired:
            watch.close()
        self.retired.clear()

    # ---- polls ------------------------------------------------------------------------------------------

    def poll(self) -> None:
        """Asks the current discovery for its full list, beside the watch."""
        task = self.loop.create_task(self.poll_once())
        self.poll_tasks.add(task)
        task.add_done_callback(self.poll_tasks.discard)

    async def poll_once(self) -> None:
        """One poll; the module is notified if it fails."""
        watch = self.current
        if watch is None:
            return self.notify_failure()
        # A schedule of its own: the response is no heartbeat of the watch.
        schedule = SubscriptionSchedule(self.settings, self.rng)
        schedule.call_started(time.monotonic())
        if await watch.call(LIST_PATH, schedule, is_watch_call=False) is not CallEnd.ENDED:
            self.notify_failure()

    def notify_failure(self) -> None:
        """Notifies the module that a call brought no list."""
        self.registry.dispatcher.endpoint_update(EndpointUpdateKind.FAILED, [])
