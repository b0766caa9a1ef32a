"""The reconciler: from the statements of all sources to the merged endpoints, by the merge rule. Free of I/O.

An endpoint is its address: two names at one address are one endpoint with one limit, and one whose address changes is
another endpoint. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from harecross.sources.rule import Evidence, MergeDecision, Verdict, decide
from harecross.sources.source import Confidence, MergeLimits, Source, Statement, one_per_address

MAX_CHANGES = 5  # of each endpoint, for operators
MAX_TOMBSTONES = 1000


class Change(NamedTuple):
    """A change of what becomes of an endpoint."""

    at: float
    verdict: Verdict


@dataclass(slots=True)
class MergedEndpoint:
    """One endpoint, as the rule last had it."""

    address: str
    verdict: Verdict
    eligible: bool  # by the rule it gets new work...
    in_service: bool  # ...and it is not in maintenance
    statement: Statement  # by the source that ranks highest among those that list it
    names: frozenset[str]
    appeared_at: float | None  # first listed, or again after a drain; None where it was there from the start
    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))

    def set_verdict(self, now: float, verdict: Verdict) -> None:
        """Takes a verdict, and records it where it is another."""
        if verdict != self.verdict:
            if self.verdict.decision == MergeDecision.DRAIN and verdict.decision == MergeDecision.USE:
                # One that was drained and is listed again has been restarted, as far as is known.
                self.appeared_at = now
            self.changes.append(Change(now, verdict))
        self.verdict = verdict

    def update(self, statements: list[Statement], maintenance: set[str]) -> None:
        """Takes what the sources say, the one that ranks highest first, and derives whether it is in service."""
        if statements:
            self.statement = statements[0]
            self.names = frozenset(statement.name for statement in statements)
        # One that is kept as it was stays drained where it was.
        kept = self.verdict.decision == MergeDecision.KEEP and not self.statement.draining and self.eligible
        self.eligible = self.verdict.decision == MergeDecision.USE or kept
        self.in_service = self.eligible and not self.is_in_maintenance(maintenance)

    def is_in_maintenance(self, maintenance: set[str]) -> bool:
        """Whether operators hold it out of service, by its address or any of its names."""
        return self.address in maintenance or bool(self.names & maintenance)


class MembershipReconciler:
    """All sources, and the endpoints that they make.

    The work of `reconcile` depends on what has changed, not on the number of endpoints or sources.
    """

    def __init__(self, limits: MergeLimits | None = None) -> None:
        self.limits = limits or MergeLimits()
        self.sources: dict[str, Source] = {}
        self.endpoints: dict[str, MergedEndpoint] = {}
        self.tombstones: OrderedDict[str, MergedEndpoint] = (
            OrderedDict()
        )  # the last ones removed, for operators
        self.maintenance: set[str] = set()  # names or addresses that operators hold out of service
        self.changed: set[str] = set()  # addresses that were added, removed or changed since `take_changed`
        self.sources_by_address: dict[str, set[str]] = {}  # the names of the sources that know an endpoint
        self.dirty: set[str] = set()  # addresses whose evidence has changed since the last `reconcile`
        self.in_first_lists: set[str] = set()  # those of them that come from a source's first list
        self.recent_drops: list[tuple[float, str]] = []  # a heap: when a drop is recent no longer
        self.remembered_drops: list[tuple[float, str, str]] = []  # a heap: when to forget whose drop of what

    # ---- sources ------------------------------------------------------------------------------------------

    def add_source(self, name: str, rank: int) -> None:
        """Adds a source; one of that name keeps its statements and takes the rank."""
        known = self.sources.get(name)
        if known is None:
            self.sources[name] = Source(name, rank)
        elif known.rank != rank:
            known.rank = rank
            self.dirty.update(known.known_addresses())

    def remove_source(self, name: str) -> None:
        """Removes a source. What it alone listed is removed; what others list stays."""
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
        """Takes a source's whole list, which is fresh."""
        source = self.sources[name]
        fresh = one_per_address(statements)
        before = source.current()
        for address in source.replace_list(now, fresh, self.limits):
            heappush(self.recent_drops, (now + self.limits.grace_s, address))
            heappush(self.remembered_drops, (now + self.limits.drop_memory_s, name, address))
        if source.confidence != Confidence.FRESH:
            self.dirty.update(source.known_addresses())
            if source.updated_at is None:
                self.in_first_lists.update(a for a in source.listed if a not in self.endpoints)
        for address in (*before, *fresh):
            if before.get(address) != fresh.get(address):
                self._index_source(address, source)
                self.dirty.add(address)
        source.confidence, source.updated_at = Confidence.FRESH, now

    def set_confidence(self, name: str, confidence: Confidence) -> None:
        """Lowers the confidence in a source's list. One that is lost stays so until the source's next list, or its
        old statements would count again.
        """
        source = self.sources[name]
        if source.confidence not in (Confidence.LOST, confidence):
            source.confidence = confidence
            self.dirty.update(source.known_addresses())

    def set_maintenance(self, names: Iterable[str]) -> None:
        """Sets what operators hold out of service, by name or address, whatever the sources say."""
        maintenance = set(names)
        if maintenance != self.maintenance:
            moved, self.maintenance = maintenance ^ self.maintenance, maintenance
            self.dirty.update(
                a for a, endpoint in self.endpoints.items() if endpoint.is_in_maintenance(moved)
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

    # ---- endpoints ----------------------------------------------------------------------------------------

    def evidence(self, address: str, now: float) -> dict[str, Evidence]:
        """What each source says of an endpoint, by the source's name."""
        return {
            source.name: Evidence(source.rank, source.status(address, now, self.limits))
            for source in self.sources.values()
        }

    def reconcile(self, now: float) -> Mapping[str, MergedEndpoint]:
        """Applies the rule to every endpoint whose evidence has changed; returns all endpoints."""
        while self.recent_drops and self.recent_drops[0][0] <= now:
            self.dirty.add(heappop(self.recent_drops)[1])
        dirty, self.dirty = self.dirty, set()
        for address in dirty:
            self._reconcile_one(now, address)
        self.in_first_lists.clear()
        self._forget_drops(now)
        return self.endpoints

    def next_due(self) -> float | None:
        """When `reconcile` has work again by the passing of time alone."""
        return self.recent_drops[0][0] if self.recent_drops else None

    def take_changed(self) -> set[str]:
        """Addresses whose endpoint was added, removed or changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def _reconcile_one(self, now: float, address: str) -> None:
        # Sources that know nothing of an endpoint are left out: NEVER_LISTED and UNKNOWN decide nothing.
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
        """Removes an endpoint; operators can ask for a while what became of it."""
        self.tombstones[address] = self.endpoints.pop(address)
        self.tombstones.move_to_end(address)
        self.changed.add(address)
        while len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)

    def _forget_drops(self, now: float) -> None:
        """Forgets old drops, or endpoints that come and go all day would be remembered for good."""
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
                # Dropped again since, or other sources still list it: checked again later.
                later = max(forget_at, now + self.limits.grace_s)
                heappush(self.remembered_drops, (later, name, address))
                continue
            del source.dropped[address]
            self._forget_source_of(address, name)
