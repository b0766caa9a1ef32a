"""Merges the statements of all sources into endpoints, by the merge rule.

An endpoint is identified by its address: two names with the same address are one endpoint with one concurrency limit,
and a server whose address changes becomes another endpoint. Times are in seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from harecross.sources.rule import Evidence, MergeDecision, Verdict, decide
from harecross.sources.source import Confidence, MergeLimits, Source, Statement, one_per_address

MAX_CHANGES = 5  # maximum number of changes that are kept of each endpoint, for operators
MAX_TOMBSTONES = 1000


class Change(NamedTuple):
    """A change of an endpoint's verdict, at a time in seconds of the monotonic clock."""

    at: float
    verdict: Verdict


@dataclass(slots=True)
class MergedEndpoint:
    """One endpoint, as the merge rule last decided on it.

    Attributes:
        address: The endpoint's address.
        verdict: The last decision of the merge rule.
        eligible: Whether the endpoint gets new work by the merge rule, regardless of maintenance.
        in_service: Whether the endpoint is eligible and not in maintenance.
        statement: The statement of the source with the best rank among those that list the endpoint.
        names: The names that sources use for the endpoint.
        appeared_at: The time at which the endpoint was first listed, or listed again after a drain; None if it was
            in the first list of its source.
        changes: The last changes of the verdict, the oldest first.
    """

    address: str
    verdict: Verdict
    eligible: bool
    in_service: bool
    statement: Statement
    names: frozenset[str]
    appeared_at: float | None
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))

    def set_verdict(self, now: float, verdict: Verdict) -> None:
        """Sets the verdict, and records the change if it differs from the last one."""
        if verdict != self.verdict:
            if self.verdict.decision == MergeDecision.DRAIN and verdict.decision == MergeDecision.USE:
                # An endpoint that was drained and is listed again has probably been restarted.
                self.appeared_at = now
            self.changes.append(Change(now, verdict))
        self.verdict = verdict

    def update(self, statements: list[Statement], maintenance: set[str]) -> None:
        """Applies the statements of the sources, the best rank first, and derives whether it is in service."""
        if statements:
            self.statement = statements[0]
            self.names = frozenset(statement.name for statement in statements)
        # An endpoint that is kept unchanged stays drained if it was.
        kept = self.verdict.decision == MergeDecision.KEEP and not self.statement.draining and self.eligible
        self.eligible = self.verdict.decision == MergeDecision.USE or kept
        self.in_service = self.eligible and not self.is_in_maintenance(maintenance)

    def is_in_maintenance(self, maintenance: set[str]) -> bool:
        """Whether `maintenance` holds the endpoint's address or any of its names."""
        return self.address in maintenance or bool(self.names & maintenance)


class MembershipReconciler:
    """Holds all sources and the endpoints that result from merging them.

    The cost of `reconcile` depends on the number of changes, not on the number of endpoints or sources.

    Attributes:
        limits: The limits within which sources may disagree.
        sources: The sources, by name.
        endpoints: The merged endpoints, by address.
        tombstones: The endpoints that were removed last, by address, for operators.
        maintenance: The names and addresses that are in maintenance.
        changed: The addresses that were added, removed or changed since the last `take_changed`.
        sources_by_address: The names of the sources that list, drain or have dropped an endpoint, by its address.
        dirty: The addresses whose evidence has changed since the last `reconcile`.
        in_first_lists: The dirty addresses that a source listed in its first list.
        recent_drops: A heap of drops with the time at which each is no longer recent.
        remembered_drops: A heap of drops, each with the time at which to forget it, the source's name and the address.
    """

    def __init__(self, limits: MergeLimits | None = None) -> None:
        self.limits = limits or MergeLimits()
        self.sources: dict[str, Source] = {}
        self.endpoints: dict[str, MergedEndpoint] = {}
        self.tombstones: OrderedDict[str, MergedEndpoint] = OrderedDict()
        self.maintenance: set[str] = set()
        self.changed: set[str] = set()
        self.sources_by_address: dict[str, set[str]] = {}
        self.dirty: set[str] = set()
        self.in_first_lists: set[str] = set()
        self.recent_drops: list[tuple[float, str]] = []
        self.remembered_drops: list[tuple[float, str, str]] = []

    def add_source(self, name: str, rank: int) -> None:
        """Adds a source. If there is one with this name, sets its rank and keeps its statements."""
        existing = self.sources.get(name)
        if existing is None:
            self.sources[name] = Source(name, rank)
        elif existing.rank != rank:
            existing.rank = rank
            self.dirty.update(existing.known_addresses())

    def remove_source(self, name: str) -> None:
        """Removes a source, and the endpoints that no other source lists."""
        source = self.sources.pop(name, None)
        if source is None:
            return
        for address in source.known_addresses():
            self._forget_source_of(address, name)
            self.dirty.add(address)
            listed = any(address in other.listed for other in self.sources.values())
            if address in self.endpoints and not listed:
                self._move_to_tombstones(address)

    def update_source(self, now: float, name: str, statements: Iterable[Statement]) -> None:
        """Replaces a source's list with a new one, which makes the source fresh."""
        source = self.sources[name]
        new_list = one_per_address(statements)
        old_list = source.current_list()
        for address in source.replace_list(now, new_list, self.limits):
            heappush(self.recent_drops, (now + self.limits.grace_s, address))
            heappush(self.remembered_drops, (now + self.limits.drop_memory_s, name, address))
        if source.confidence != Confidence.FRESH:
            self.dirty.update(source.known_addresses())
            if source.updated_at is None:
                self.in_first_lists.update(a for a in source.listed if a not in self.endpoints)
        for address in (*old_list, *new_list):
            if old_list.get(address) != new_list.get(address):
                self._index_source(address, source)
                self.dirty.add(address)
        source.confidence, source.updated_at = Confidence.FRESH, now

    def set_confidence(self, name: str, confidence: Confidence) -> None:
        """Lowers the confidence in a source's list.

        A lost source stays lost until its next list; otherwise, its old statements would count again.
        """
        source = self.sources[name]
        if source.confidence not in (Confidence.LOST, confidence):
            source.confidence = confidence
            self.dirty.update(source.known_addresses())

    def set_maintenance(self, names: Iterable[str]) -> None:
        """Sets the names and addresses that are in maintenance, which overrides all sources."""
        maintenance = set(names)
        if maintenance != self.maintenance:
            toggled, self.maintenance = maintenance ^ self.maintenance, maintenance
            self.dirty.update(
                a for a, endpoint in self.endpoints.items() if endpoint.is_in_maintenance(toggled)
            )

    def _index_source(self, address: str, source: Source) -> None:
        if source.knows(address):
            self.sources_by_address.setdefault(address, set()).add(source.name)
        else:
            self._forget_source_of(address, source.name)

    def _forget_source_of(self, address: str, name: str) -> None:
        names = self.sources_by_address.get(address)
        if names is not None:
            names.discard(name)
            if not names:
                del self.sources_by_address[address]

    def evidence(self, address: str, now: float) -> dict[str, Evidence]:
        """Returns the evidence of each source on an endpoint, by the source's name."""
        return {
            source.name: Evidence(source.rank, source.status(address, now, self.limits))
            for source in self.sources.values()
        }

    def reconcile(self, now: float) -> Mapping[str, MergedEndpoint]:
        """Applies the merge rule to every endpoint whose evidence has changed; returns all endpoints."""
        while self.recent_drops and self.recent_drops[0][0] <= now:
            self.dirty.add(heappop(self.recent_drops)[1])
        dirty, self.dirty = self.dirty, set()
        for address in dirty:
            self._reconcile_one(now, address)
        self.in_first_lists.clear()
        self._forget_drops(now)
        return self.endpoints

    def next_due(self) -> float | None:
        """Returns the time at which `reconcile` next has work even if no source changes; None if there is none."""
        return self.recent_drops[0][0] if self.recent_drops else None

    def take_changed(self) -> set[str]:
        """Returns the addresses whose endpoint was added, removed or changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def _reconcile_one(self, now: float, address: str) -> None:
        # Sources that do not know the endpoint are omitted: NEVER_LISTED and UNKNOWN have no effect on the verdict.
        names = self.sources_by_address.get(address, ())
        sources = sorted((self.sources[name] for name in names), key=lambda s: (s.rank, s.name))
        verdict = decide([Evidence(s.rank, s.status(address, now, self.limits)) for s in sources])
        endpoint = self.endpoints.get(address)
        if endpoint is None and verdict.decision in (MergeDecision.REMOVE, MergeDecision.KEEP):
            return
        if endpoint is not None and verdict.decision == MergeDecision.REMOVE:
            endpoint.verdict = verdict
            endpoint.changes.append(Change(now, verdict))
            self._move_to_tombstones(address)
            return
        statements = [s.listed[address] for s in sources if address in s.listed]
        statements = statements or [s.draining[address] for s in sources if address in s.draining]
        if endpoint is None:
            endpoint = self._add_endpoint(now, address, verdict, statements)
        endpoint.set_verdict(now, verdict)
        endpoint.update(statements, self.maintenance)
        self.changed.add(address)

    def _add_endpoint(
        self, now: float, address: str, verdict: Verdict, statements: list[Statement]
    ) -> MergedEndpoint:
        statement = statements[0] if statements else Statement(address, address, draining=True)
        appeared_at = None if address in self.in_first_lists else now
        endpoint = MergedEndpoint(address, verdict, False, False, statement, frozenset(), appeared_at)
        endpoint.changes.append(Change(now, verdict))
        self.endpoints[address] = endpoint
        return endpoint

    def _move_to_tombstones(self, address: str) -> None:
        """Removes an endpoint, and keeps it as a tombstone so that operators can see why it was removed."""
        self.tombstones[address] = self.endpoints.pop(address)
        self.tombstones.move_to_end(address)
        self.changed.add(address)
        while len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)

    def _forget_drops(self, now: float) -> None:
        """Forgets old drops. Without this, memory would grow with every endpoint that was ever listed."""
        while self.remembered_drops and self.remembered_drops[0][0] <= now:
            _, name, address = heappop(self.remembered_drops)
            source = self.sources.get(name)
            if source is None:
                continue
            source.forget_drop_times(address, now, self.limits)
            drop = source.dropped.get(address)
            if drop is None:
                continue
            forget_at = drop.at + self.limits.drop_memory_s
            others = self.sources_by_address.get(address, set()) - {name}
            if forget_at > now or any(address in self.sources[other].listed for other in others):
                # The endpoint has been dropped again since, or another source still lists it.
                later = max(forget_at, now + self.limits.grace_s)
                heappush(self.remembered_drops, (later, name, address))
                continue
            del source.dropped[address]
            self._forget_source_of(address, name)
