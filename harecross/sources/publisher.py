"""From the merged endpoints to the one endpoint list that a host gets. Free of I/O: time is handed in.

Endpoints go by their addresses, also to the host: whoever lists them, and under whichever name, they are one. What the
host gets has the form of discovery's updates.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Protocol

from harecross.discovery import wire_format
from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.sources.priorities import Health, PriorityOverflow
from harecross.sources.reconciler import MembershipReconciler, MergedEndpoint
from harecross.sources.source import Confidence, MergeLimits, Statement
from harecross.sources.statements import watch_entries_by_address, watch_started_at_ms, watch_statement

WATCH = "watch"  # the source that is the platform's watch
FIRST_LISTS_WAIT_S = 3.0  # how long a start waits for sources that have said nothing yet


class MembershipConsumer(Protocol):
    """Who gets the endpoint list."""

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Takes a list or change in the form of discovery's updates."""

    def unhealthy(self) -> set[str]:
        """Addresses of endpoints that cost much more than the others, or are ejected."""

    def maintenance(self) -> Iterable[str]:
        """Names or addresses that operators hold out of service."""

    def names_changed(self) -> None:
        """Called before endpoints with new names are published."""


class NameIndex:
    """The addresses of endpoints by the names that sources use for them."""

    def __init__(self) -> None:
        self._addresses: dict[str, set[str]] = {}
        self._names: dict[str, frozenset[str]] = {}

    def set_names(self, address: str, names: frozenset[str]) -> None:
        """Replaces the names of the endpoint at an address."""
        for name in self._names.pop(address, frozenset()) - names:
            addresses = self._addresses[name]
            addresses.discard(address)
            if not addresses:
                del self._addresses[name]
        for name in names:
            self._addresses.setdefault(name, set()).add(address)
        if names:
            self._names[address] = names

    def resolve(self, name: str) -> str:
        """The address of the endpoint of that name; the name itself where it is none, or that of several."""
        addresses = self._addresses.get(name, ())
        return next(iter(addresses)) if len(addresses) == 1 else name


class PriorityIndex:
    """The priority of each endpoint, and how many endpoints each priority has."""

    def __init__(self) -> None:
        self._priorities: dict[str, int] = {}
        self._counts: Counter[int] = Counter()

    def set_priority(self, address: str, priority: int | None) -> None:
        """Replaces the priority of the endpoint at an address; None where it is removed."""
        old = self._priorities.pop(address, None)
        if old is not None:
            self._counts[old] -= 1
            if not self._counts[old]:
                del self._counts[old]
        if priority is not None:
            self._priorities[address] = priority
            self._counts[priority] += 1

    def priorities(self) -> list[int]:
        """All priorities that have endpoints, the first one first."""
        return sorted(self._counts)


class MembershipPublisher:
    """The reconciler with a host on its other side."""

    def __init__(
        self,
        consumer: MembershipConsumer,
        limits: MergeLimits | None = None,
        overflow: PriorityOverflow | None = None,
        watch_rank: int | None = 0,
        wait_until: float = 0.0,
    ) -> None:
        """`watch_rank` is None where the platform's watch is no source. Up to `wait_until` sources that have said
        nothing yet are waited for: until then no endpoint is published as not listed.
        """
        self.consumer = consumer
        self.reconciler = MembershipReconciler(limits)
        self.overflow = overflow or PriorityOverflow()
        self.watch_endpoints = ListedEndpoints()
        self.watch_entries: dict[str, Mapping[str, Any]] = {}  # by address
        self.published: dict[str, dict[str, Any]] = {}  # the entries that the host has, by address
        self.names = NameIndex()
        self.priorities = PriorityIndex()
        self.priorities_in_use: list[int] = []
        self.derived_starts: dict[
            str, tuple[float, int]
        ] = {}  # by address: when it appeared, and that in Unix ms
        self.full_list_published = False  # a whole list, from sources that are fresh
        self.wait_until = wait_until
        self.remembered: dict[str, dict[str, Any]] = {}  # entries of before the start, used until then
        if watch_rank is not None:
            self.reconciler.add_source(WATCH, watch_rank)

    # ---- the watch ----------------------------------------------------------------------------------------

    def update_watch(self, now: float, wall: float, update: Any, *, cached: bool, full: bool) -> None:
        """Takes a list or change of the watch. ValueError if it is none."""
        wire_format.entries_of(update)  # ValueError
        full = full or cached or wire_format.is_reset(update)
        self.watch_endpoints.apply(update, full=full, cached=cached)
        before, self.watch_entries = (
            self.watch_entries,
            watch_entries_by_address(self.watch_endpoints.entries.values()),
        )
        for address, entry in self.watch_entries.items():
            old = before.get(address)
            replaced = old is not None and old.get(wire_format.INSTANCE_ID) != entry.get(
                wire_format.INSTANCE_ID
            )
            if replaced and not watch_started_at_ms(entry):
                # Another server at the address has just started, and must not count as warmed up.
                self.watch_entries[address] = {**entry, wire_format.STARTED_AT_MS: int(wall * 1000)}
        self._update_from_watch(now)
        if cached:
            self.reconciler.set_confidence(WATCH, Confidence.STALE)

    def restore_watch(self, now: float) -> None:
        """The watch is connected again: its last list holds, as it has sent no change since."""
        watch = self.reconciler.sources.get(WATCH)
        if watch is not None and watch.confidence in (Confidence.STALE, Confidence.LOST):
            self._update_from_watch(now)

    def _update_from_watch(self, now: float) -> None:
        statements = (watch_statement(address, entry) for address, entry in self.watch_entries.items())
        self.reconciler.update_source(now, WATCH, statements)

    # ---- any source ---------------------------------------------------------------------------------------

    def update_source(self, now: float, source: str, statements: Iterable[Statement]) -> None:
        """Takes a source's whole list."""
        self.reconciler.update_source(now, source, statements)

    def set_confidence(self, source: str, confidence: Confidence) -> None:
        """Sets how far a source's last list can be relied on from now on."""
        self.reconciler.set_confidence(source, confidence)

    def remember(self, entries: Iterable[dict[str, Any]]) -> None:
        """Lines that this program published before its start: used until the sources have spoken."""
        self.remembered = {
            str(entry[wire_format.HOST_PORT]): {
                **entry,
                wire_format.INSTANCE_ID: entry[wire_format.HOST_PORT],
            }
            for entry in entries
        }

    def resolve(self, name: str) -> str:
        """The address of the endpoint of that name; the name itself where it is none, or that of several."""
        return self.names.resolve(name)

    # ---- publishing ---------------------------------------------------------------------------------------

    def publish_changes(self, now: float, wall: float) -> int:
        """Applies the merge rule and publishes what has changed; returns the number of entries."""
        self.reconciler.set_maintenance(self.consumer.maintenance())
        self.reconciler.reconcile(now)
        changed = self.reconciler.take_changed()
        for address in changed:
            self._index(address, self.reconciler.endpoints.get(address))
        in_use = self._choose_priorities()
        if in_use != self.priorities_in_use:
            self.priorities_in_use = in_use
            changed.update(self.reconciler.endpoints)
        entries = self._changed_entries(now, wall, changed)
        if entries:
            self.consumer.names_changed()
        self._publish(now, entries)
        return len(entries)

    def _index(self, address: str, endpoint: MergedEndpoint | None) -> None:
        self.priorities.set_priority(address, endpoint.statement.priority if endpoint is not None else None)
        self.names.set_names(address, endpoint.names if endpoint is not None else frozenset())

    def _choose_priorities(self) -> list[int]:
        """The priorities whose endpoints get new work. What drains or is in maintenance is missing to its priority."""
        priorities = self.priorities.priorities()
        if len(priorities) < 2:
            return priorities
        unhealthy = self.consumer.unhealthy()
        health = dict.fromkeys(priorities, Health(0, 0))
        for endpoint in self.reconciler.endpoints.values():
            healthy, total = health[endpoint.statement.priority]
            healthy += endpoint.in_service and endpoint.address not in unhealthy
            health[endpoint.statement.priority] = Health(healthy, total + 1)
        return self.overflow.in_use(health)

    def _changed_entries(self, now: float, wall: float, changed: set[str]) -> list[dict[str, Any]]:
        entries: list[dict[str, Any]] = []
        for address in sorted(changed):
            endpoint = self.reconciler.endpoints.get(address)
            if endpoint is None:
                if self.published.pop(address, None) is not None:
                    entries.append(
                        {
                            wire_format.INSTANCE_ID: address,
                            wire_format.HOST_PORT: address,
                            wire_format.LIFECYCLE: wire_format.TERMINATED,
                        }
                    )
                self.derived_starts.pop(address, None)
                continue
            entry = self._entry(now, wall, endpoint)
            if entry != self.published.get(address):
                self.published[address] = entry
                entries.append(entry)
        return entries

    def _publish(self, now: float, entries: list[dict[str, Any]]) -> None:
        if self.full_list_published:
            if entries:
                self.consumer.apply(wire_format.change(entries))
        elif self._sources_complete(now):
            self.full_list_published, self.remembered = True, {}
            self.consumer.apply(wire_format.full_list(self.published.values()), full=True)
        elif entries or self.remembered:
            # The first source to answer after a restart must not remove what only the others list.
            known = {**self.remembered, **self.published}
            self.consumer.apply(wire_format.full_list(known.values()), cached=True)

    def _sources_complete(self, now: float) -> bool:
        """Whether a source is fresh, and every source has spoken or has had its time."""
        confidences = [source.confidence for source in self.reconciler.sources.values()]
        return Confidence.FRESH in confidences and (
            Confidence.NONE not in confidences or now >= self.wait_until
        )

    def _entry(self, now: float, wall: float, endpoint: MergedEndpoint) -> dict[str, Any]:
        """An endpoint as discovery would list it. One in a priority that is not in use drains."""
        watch_entry, statement = self.watch_entries.get(endpoint.address), endpoint.statement
        in_service = endpoint.eligible and statement.priority in self.priorities_in_use
        watch_zone = str(watch_entry.get(wire_format.ZONE, "")) if watch_entry else ""
        return {
            **(watch_entry or {}),
            wire_format.INSTANCE_ID: endpoint.address,
            wire_format.HOST_PORT: endpoint.address,
            wire_format.LIFECYCLE: wire_format.IN_SERVICE if in_service else wire_format.TERMINATING,
            wire_format.ZONE: statement.zone or watch_zone,
            wire_format.WEIGHT: statement.weight,
            wire_format.STARTED_AT_MS: self._started_at_ms(now, wall, endpoint, watch_entry),
        }

    def _started_at_ms(
        self, now: float, wall: float, endpoint: MergedEndpoint, watch_entry: Mapping[str, Any] | None
    ) -> int:
        if watch_entry is not None:
            return watch_started_at_ms(watch_entry)
        if endpoint.statement.started_at_ms or endpoint.appeared_at is None:
            return endpoint.statement.started_at_ms
        # No source says when it started. It was not in its source's first list, so it has just started.
        derived = self.derived_starts.get(endpoint.address)
        if derived is None or derived[0] != endpoint.appeared_at:
            derived = endpoint.appeared_at, int((wall - (now - endpoint.appeared_at)) * 1000)
            self.derived_starts[endpoint.address] = derived
        return derived[1]
