"""Discovery: the watch in use, the move to another address, and what both say as one list of servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

from harecross.discovery.endpoint_registry import EndpointListConsumer, EndpointRegistry
from harecross.discovery.process_table import ProcessTable, Source, TableUpdate
from harecross.discovery.subscription_schedule import (
    MIGRATION_STALENESS_LIMIT_S,
    CallEnd,
    DiscoveryTerms,
    SubscriptionSchedule,
)
from harecross.discovery.transition_log import describe
from harecross.discovery.watch import Watch
from harecross.dispatch.dispatcher import log_line
from harecross.interface import EndpointUpdateKind
from harecross.platform.clock import monotonic_us

PUSHED = DiscoveryTerms()
# After a new configuration the discovery that it names may be behind for so long, and what it has written by then may
# be on its way for a moment more.
CAUGHT_UP = MIGRATION_STALENESS_LIMIT_S + 1.0
FORMER_MOST = 4  # watches of discoveries that have been left, until they end: one is open for 1.5 s (LATER)


class DiscoveryClient:
    """The watch in use and, while the node moves to another address, the one that comes up there.

    A watch is reopened when its `SubscriptionSchedule` says; where lists are polled, the module is notified of its end.
    The old watch counts until the new one has brought its first list; from then on only what it says of servers that
    drain or are gone counts, until it ends.
    """

    def __init__(
        self,
        directory: EndpointRegistry,
        address: tuple[str, int],
        terms: DiscoveryTerms = PUSHED,
        lists: EndpointListConsumer | None = None,
        seed: int = 0,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.registry = directory
        self.lists = lists or directory
        self.address = address
        self.terms = terms
        self.polled = terms.polled
        self.rng = Random(seed)
        self.monotonic = monotonic
        self.schedule = SubscriptionSchedule(terms, self.rng)
        self.generation: int | None = 0
        self.lineage = 0  # counts the moves
        self.moved_at: float | None = None  # when the last one began
        self.current: Watch | None = None
        self.coming: Watch | None = None
        self.former: list[Watch] = []
        self.heard = False  # has spoken to this process
        self.on_word: Callable[[], None] = lambda: None  # the list in hand is of this process's own time
        self.fetching: set[asyncio.Task[None]] = set()
        self.sources: dict[int, Source] = {
            0: Source("{}:{}".format(*address), 0)
        }  # by lineage, in use or former
        self.source_number = 0
        self.table = ProcessTable(self.sources[0])

    def begin(self, known: Any) -> None:
        """The list of the configuration, as it was once told at the same address. ValueError if it is none."""
        self.table.receive(self.monotonic(), self.sources[0], known, whole=True)
        self.lists.apply(known, cached=True)
        generation = known.get("generation")
        if isinstance(generation, int):
            self.generation = generation

    def listen(self, on: bool) -> None:
        for watch in (self.current, self.coming):
            if watch is not None:
                self.generation = watch.generation
                watch.close()
        self.current = self.coming = None
        self.close_former()
        if on:
            self.current = Watch(self, self.address, self.generation, self.schedule, self.lineage)

    def move(self, address: tuple[str, int]) -> bool:
        """Goes to another address; False if that is where the node is, or is going, already.

        Guards against: between two watches a change is missed. The old one counts until the new one has
        brought its first list, and that is asked for whole: a version of the old address may mean nothing
        at the new one.
        """
        if address == self.address:
            return False
        self.address = address
        if self.coming is not None:
            self.coming.close()
            self.coming = None
        if self.current is not None and address == self.current.address:
            self.lineage = self.current.lineage
            return True  # back before the other one had come up
        self.lineage = max(self.lineage, *self.sources) + 1
        self.moved_at = self.monotonic()
        if self.current is None:
            self.generation = None
        else:
            asking = SubscriptionSchedule(self.terms, self.rng, migrating=True)
            self.coming = Watch(self, address, None, asking, self.lineage)
        return True

    # ---- what watches say -------------------------------------------------------------------------------

    def received(self, watch: Watch, update: Any, whole: bool, anew: bool) -> None:
        """A list or change. ValueError if it is neither."""
        now = self.monotonic()
        new = watch.lineage not in self.sources
        source = self.source_of(watch, anew, now)
        outcome = self.table.receive(now, source, update, whole or anew)
        if watch in self.former:
            if outcome.update["instances"]:
                self.lists.apply(outcome.update)
        else:
            self.lists.apply(outcome.update, full=whole)
            self.settled(watch)
        self.heard_all(watch)
        self.log(watch, update.get("generation"), outcome, now)
        if new and (held := self.table.held()):
            log_line(f"discovery: {watch.place} has not heard of {len(held)} that leave")
        self.close_former_if_caught_up()

    def unchanged(self, watch: Watch) -> None:
        """There is nothing newer than what the watch has brought."""
        if watch is not self.current:
            return
        now = self.monotonic()
        outcome = self.table.spoke(now, self.sources[watch.lineage])
        if outcome.update["instances"]:
            self.lists.apply(outcome.update)
        self.heard_all(watch)
        self.log(watch, watch.generation, outcome, now)
        self.close_former_if_caught_up()
        self.on_word()

    def heard_all(self, watch: Watch) -> None:
        """What the present discovery lists has been told up to now: what appears later has started later."""
        if watch is self.current:
            self.registry.start_times.listed_all(monotonic_us())

    def reached(self, watch: Watch, good: bool) -> None:
        """The watch has just spoken, or its connection has ended or come to nothing."""
        if watch not in self.former:
            self.lists.reached(good)

    def call_ended(self, watch: Watch) -> None:
        """One of the watch's own calls is over."""
        if watch in self.former:
            self.former.remove(watch)
        elif self.polled and watch is self.current:
            self.failed()

    def source_of(self, watch: Watch, anew: bool, now: float) -> Source:
        """Who speaks: another one from the first list of a new lineage on, and where a discovery has begun anew."""
        known = self.sources.get(watch.lineage)
        if known is not None and (watch in self.former or not anew):
            return known
        self.source_number += 1
        behind_until = now if anew or self.moved_at is None else self.moved_at + CAUGHT_UP
        source = self.sources[watch.lineage] = Source(watch.place, self.source_number, behind_until)
        return source

    def settled(self, watch: Watch) -> None:
        """A watch has brought a list."""
        self.heard = True
        self.on_word()
        if watch is self.coming:
            old = self.current
            self.current, self.coming, self.schedule = watch, None, watch.schedule
            watch.schedule.migrating = False
            if old is not None:
                self.leave(old)
            log_line(f"discovery: moved to {watch.place}")

    def log(self, watch: Watch, version: object, outcome: TableUpdate, now: float) -> None:
        for line in describe(outcome.transitions, now):
            log_line(f"discovery: {watch.place} v{version}: {line}")
        trace = self.registry.dispatcher.trace
        if trace is not None:
            for transition in outcome.transitions:
                trace.changed(transition, now)

    # ---- discoveries that have been left ----------------------------------------------------------------

    def leave(self, watch: Watch) -> None:
        """Hears the old discovery out: what it says of leaving counts until its connection ends.

        Guards against: a drain that it writes in the moment of the hand-over is missed.
        """
        watch.final = True
        self.former.append(watch)
        while len(self.former) > FORMER_MOST:
            self.former.pop(0).close()
        self.sources = {
            w.lineage: self.sources[w.lineage] for w in (*self.former, self.current) if w is not None
        }

    def close_former_if_caught_up(self) -> None:
        if not self.table.catching_up:
            self.close_former()

    def close_former(self) -> None:
        for watch in self.former:
            watch.close()
        self.former.clear()

    # ---- lists that are asked for -----------------------------------------------------------------------

    def fetch(self) -> None:
        task = self.loop.create_task(self.ask_once())
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def ask_once(self) -> None:
        watch = self.current
        if watch is None:
            return self.failed()
        once = SubscriptionSchedule(
            self.terms, self.rng
        )  # what the call brings is no word of the watch that is open
        once.call_started(time.monotonic())
        if await watch.call(b"/catalog/members", once, own=False) is not CallEnd.ENDED:
            self.failed()

    def failed(self) -> None:
        self.registry.dispatcher.endpoint_update(EndpointUpdateKind.FAILED, [])
