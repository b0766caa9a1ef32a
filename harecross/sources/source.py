"""One source's statements over time: what it lists, what it drains and what it has dropped. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from harecross.sources.rule import ListingStatus

FLAPPING_DROPS = (
    3  # drops within `DROP_MEMORY_GRACE_PERIODS` after which an endpoint flaps (the idea of RFC 2439)
)
DROP_MEMORY_GRACE_PERIODS = (
    10  # a drop that no other source contradicts is forgotten after so many times `grace_s`
)


class Confidence(StrEnum):
    """How far a source's present list can be relied on. The values are what operators read."""

    NONE = "no word yet"
    FRESH = "fresh"
    STALE = "stale"  # past its life, and no answer
    LOST = "lost"  # stale for longer than is allowed


@dataclass(frozen=True, slots=True)
class Statement:
    """What a source says of one endpoint."""

    address: str
    name: str  # the id or target by which the source knows it
    draining: bool = False
    zone: str = ""
    weight: float = 1.0
    priority: int = 0  # lower ones first
    started_at_ms: int = 0  # Unix time; 0 where it is not known


@dataclass(frozen=True, slots=True)
class MergeLimits:
    """How far sources may disagree."""

    grace_s: float = 60.0  # how long sources may be out of step
    mass_drop_share: float = (
        0.3  # the share of a source's list that, dropped within `grace_s`, is not believed alone
    )
    mass_drop_min: int = 3  # fewer drops are no mass drop

    @property
    def drop_memory_s(self) -> float:
        """How long a drop is remembered."""
        return DROP_MEMORY_GRACE_PERIODS * self.grace_s


class Drop(NamedTuple):
    """An endpoint that a source listed and no longer does."""

    at: float
    in_mass_drop: bool  # dropped together with many others


def one_per_address(statements: Iterable[Statement]) -> dict[str, Statement]:
    """The statement that counts for each address: a drain, else the lowest priority and the largest weight.

    An endpoint is its address, so two names at one address are one endpoint.
    """
    chosen: dict[str, Statement] = {}
    for statement in sorted(statements, key=lambda s: (not s.draining, s.priority, -s.weight, s.name)):
        chosen.setdefault(statement.address, statement)
    return chosen


@dataclass(slots=True)
class Source:
    """One source. Times are seconds of a monotonic clock; endpoints go by their addresses."""

    name: str
    rank: int  # the lower, the more it is believed
    confidence: Confidence = Confidence.NONE
    listed: dict[str, Statement] = field(default_factory=dict)  # in service
    draining: dict[str, Statement] = field(default_factory=dict)
    dropped: dict[str, Drop] = field(default_factory=dict)
    drop_times: dict[str, list[float]] = field(default_factory=dict)  # the last ones, to find what flaps
    updated_at: float | None = None

    def status(self, address: str, now: float, limits: MergeLimits) -> ListingStatus:
        """What it says of an endpoint now."""
        if address in self.draining and self.confidence != Confidence.LOST:
            return ListingStatus.DRAINING
        if self.confidence in (Confidence.NONE, Confidence.LOST):
            return ListingStatus.UNKNOWN
        if address in self.listed:
            fresh = self.confidence == Confidence.FRESH
            return ListingStatus.LISTED if fresh else ListingStatus.STALE_LISTED
        if self.confidence == Confidence.STALE:
            return ListingStatus.UNKNOWN  # an old list proves nothing of what it lacks
        drop = self.dropped.get(address)
        return ListingStatus.NEVER_LISTED if drop is None else self._drop_status(address, drop, now, limits)

    def _drop_status(self, address: str, drop: Drop, now: float, limits: MergeLimits) -> ListingStatus:
        if now - drop.at < limits.grace_s:
            flapping = len(self.drop_times.get(address, ())) >= FLAPPING_DROPS
            return ListingStatus.FLAPPING if flapping else ListingStatus.RECENTLY_DROPPED
        return ListingStatus.MASS_DROPPED if drop.in_mass_drop else ListingStatus.DROPPED

    def knows(self, address: str) -> bool:
        """Whether it says anything of an endpoint, or has."""
        return address in self.listed or address in self.draining or address in self.dropped

    def known_addresses(self) -> set[str]:
        """All endpoints that it says anything of, or has."""
        return {*self.listed, *self.draining, *self.dropped}

    def current(self) -> dict[str, Statement]:
        """Its list, drains included."""
        return {**self.listed, **self.draining}

    def replace_list(self, now: float, fresh: Mapping[str, Statement], limits: MergeLimits) -> list[str]:
        """Takes a whole new list; returns the addresses that were in service and are dropped by it."""
        dropped = [address for address in self.listed if address not in fresh]
        # A release in small steps is no mass drop: only what was dropped within `grace_s` counts together.
        recent = [
            address
            for address, drop in self.dropped.items()
            if now - drop.at < limits.grace_s and address not in fresh
        ]
        missing = len({*dropped, *recent})
        in_mass_drop = missing >= limits.mass_drop_min and missing > limits.mass_drop_share * (
            len(fresh) + missing
        )
        for address in dropped:
            self._record_drop(address, Drop(now, in_mass_drop), now - limits.drop_memory_s)
        if in_mass_drop:
            for address in recent:
                self.dropped[address] = self.dropped[address]._replace(in_mass_drop=True)
        for address in fresh:
            self.dropped.pop(address, None)
        self.listed = {address: statement for address, statement in fresh.items() if not statement.draining}
        # A drain holds until its source lists the endpoint in service, or drops it.
        self.draining = {address: statement for address, statement in fresh.items() if statement.draining}
        return dropped

    def _record_drop(self, address: str, drop: Drop, remember_since: float) -> None:
        self.dropped[address] = drop
        times = [time for time in self.drop_times.get(address, ()) if time > remember_since]
        self.drop_times[address] = [*times[-FLAPPING_DROPS:], drop.at]

    def forget_drop_times(self, address: str, now: float, limits: MergeLimits) -> None:
        """Forgets the times of an endpoint's drops once the last of them is old."""
        times = self.drop_times.get(address, [now])
        if times[-1] + limits.drop_memory_s <= now:
            self.drop_times.pop(address, None)
