"""Publishes the merged endpoints of all sources as one endpoint list. The caller passes the time.

The consumer receives lists and changes in discovery's format. An endpoint is identified by its address, in the
published list too: entries with the same address are one endpoint, whichever source lists them and under any name.
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

WATCH = "watch"  # the name of the source that is the platform's watch
FIRST_LISTS_WAIT_S = 3.0  # how long the first full list waits for sources that have not provided a list yet


class MembershipConsumer(Protocol):
    """Receives the published endpoint list, and provides the health and the maintenance of endpoints."""

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Applies a list or change in discovery's format."""

    def unhealthy(self) -> set[str]:
        """Returns the addresses of endpoints that are ejected or on which a request costs far more than the mean."""

    def maintenance(self) -> Iterable[str]:
        """Returns the names and addresses that are in maintenance."""

    def names_changed(self) -> None:
        """Called before endpoints with new names are published."""


class NameIndex:
    """Maps the names that sources use for endpoints to the endpoints' addresses."""

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
        """Returns the address of the endpoint with this name, or `name` itself if there is none or more than one."""
        addresses = self._addresses.get(name, ())
        return next(iter(addresses)) if len(addresses) == 1 else name


class PriorityIndex:
    """Tracks the priority of each endpoint and the number of endpoints of each priority."""

    def __init__(self) -> None:
        self._priorities: dict[str, int] = {}
        self._counts: Counter[int] = Counter()

    def set_priority(self, address: str, priority: int | None) -> None:
        """Replaces the priority of the endpoint at an address; None removes the endpoint."""
        old = self._priorities.pop(address, None)
        if old is not None:
            self._counts[old] -= 1
            if not self._counts[old]:
                del self._counts[old]
        if priority is not None:
            self._priorities[address] = priority
            self._counts[priority] += 1

    def priorities(self) -> list[int]:
        """Returns all priorities that have endpoints, in ascending order."""
        return sorted(self._counts)


class MembershipPublisher:
    """Feeds the statements of the sources to the reconciler and publishes its endpoints to a consumer.

    Attributes:
        consumer: The receiver of the endpoint list.
        reconciler: Merges the statements of the sources into endpoints.
        overflow: Chooses the priorities in use.
        watch_endpoints: The watch's entries, by the server's name in discovery.
        watch_entries: The watch's entries, by address.
        published: The entries that the consumer has, by address.
        names: The endpoints' addresses, by name.
        priorities: The endpoints' priorities.
        priorities_in_use: The priorities whose endpoints get new work, in ascending order.
        derived_starts: For endpoints whose start time no source provides, by address: when the endpoint appeared, in
            seconds of the monotonic clock, and the start time derived from that, as Unix time in milliseconds.
        full_list_published: Whether a full list has been published, which requires at least one fresh source.
        wait_until: The time, in seconds of the monotonic clock, until which the first full list waits for sources
            that have not provided a list yet. Until the first full list, no remembered endpoint is removed.
        remembered: Entries that were published before a restart, by address. They are in use until the first full
            list is published.
    """

    def __init__(
        self,
        consumer: MembershipConsumer,
        limits: MergeLimits | None = None,
        overflow: PriorityOverflow | None = None,
        watch_rank: int | None = 0,
        wait_until: float = 0.0,
    ) -> None:
        """`watch_rank` is None if the platform's watch is not a source."""
        self.consumer = consumer
        self.reconciler = MembershipReconciler(limits)
        self.overflow = overflow or PriorityOverflow()
        self.watch_endpoints = ListedEndpoints()
        self.watch_entries: dict[str, Mapping[str, Any]] = {}
        self.published: dict[str, dict[str, Any]] = {}
        self.names = NameIndex()
        self.priorities = PriorityIndex()
        self.priorities_in_use: list[int] = []
        self.derived_starts: dict[str, tuple[float, int]] = {}
        self.full_list_published = False
        self.wait_until = wait_until
        self.remembered: dict[str, dict[str, Any]] = {}
        if watch_rank is not None:
            self.reconciler.add_source(WATCH, watch_rank)

    def update_watch(self, now: float, wall: float, update: Any, *, cached: bool, full: bool) -> None:
        """Applies a list or change of the watch. Raises ValueError if it is neither."""
        wire_format.entries_of(update)  # raises ValueError
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
                # Another server has just started at this address; without a start time it would skip slow start.
                self.watch_entries[address] = {**entry, wire_format.STARTED_AT_MS: int(wall * 1000)}
        self._update_from_watch(now)
        if cached:
            self.reconciler.set_confidence(WATCH, Confidence.STALE)

    def restore_watch(self, now: float) -> None:
        """Makes the watch's last list fresh when it is connected again: it has sent no change since that list."""
        watch = self.reconciler.sources.get(WATCH)
        if watch is not None and watch.confidence in (Confidence.STALE, Confidence.LOST):
            self._update_from_watch(now)

    def _update_from_watch(self, now: float) -> None:
        statements = (watch_statement(address, entry) for address, entry in self.watch_entries.items())
        self.reconciler.update_source(now, WATCH, statements)

    def update_source(self, now: float, source: str, statements: Iterable[Statement]) -> None:
        """Replaces a source's list."""
        self.reconciler.update_source(now, source, statements)

    def set_confidence(self, source: str, confidence: Confidence) -> None:
        """Lowers the confidence in a source's last list; see `MembershipReconciler.set_confidence`."""
        self.reconciler.set_confidence(source, confidence)

    def remember(self, entries: Iterable[dict[str, Any]]) -> None:
        """Sets the entries that were published before a restart, for use until the sources have provided lists."""
        self.remembered = {
            str(entry[wire_format.HOST_PORT]): {
                **entry,
                wire_format.INSTANCE_ID: entry[wire_format.HOST_PORT],
            }
            for entry in entries
        }

    def resolve(self, name: str) -> str:
        """Returns the address of the endpoint with this name, or `name` itself if there is none or more than one."""
        return self.names.resolve(name)

    def publish_changes(self, now: float, wall: float) -> int:
        """Applies the merge rule and publishes the changed entries; returns their number."""
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
        """Returns the priorities whose endpoints get new work.

        Endpoints that drain or are in maintenance count as unhealthy endpoints of their priority.
        """
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
            # The first source to answer after a restart must not remove endpoints that only the others list.
            known = {**self.remembered, **self.published}
            self.consumer.apply(wire_format.full_list(known.values()), cached=True)

    def _sources_complete(self, now: float) -> bool:
        """Whether a source is fresh, and all sources have provided a list or `wait_until` has passed."""
        confidences = [source.confidence for source in self.reconciler.sources.values()]
        return Confidence.FRESH in confidences and (
            Confidence.NONE not in confidences or now >= self.wait_until
        )

    def _entry(self, now: float, wall: float, endpoint: MergedEndpoint) -> dict[str, Any]:
        """Returns the entry of an endpoint in discovery's format.

        An endpoint of a priority that is not in use is listed as draining.
        """
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
        # No source provides a start time. The endpoint was not in its source's first list, so it has just started.
        derived = self.derived_starts.get(endpoint.address)
        if derived is None or derived[0] != endpoint.appeared_at:
            derived = endpoint.appeared_at, int((wall - (now - endpoint.appeared_at)) * 1000)
            self.derived_starts[endpoint.address] = derived
        return derived[1]
