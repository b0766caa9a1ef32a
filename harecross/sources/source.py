"""One source's statements over time: the endpoints that it lists, drains and has dropped."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from harecross.sources.rule import ListingStatus

# An endpoint is flapping once it has been dropped this many times within `MergeLimits.drop_memory_s`; the idea is that
# of route flap damping (RFC 2439).
FLAPPING_DROPS = 3
# A drop is forgotten after this many grace periods unless another source still lists the endpoint.
DROP_MEMORY_GRACE_PERIODS = 10


class Confidence(StrEnum):
    """How far a source's last list can be relied on. The values are shown to operators.

    Attributes:
        NONE: The source has not provided a list yet.
        FRESH: The list is up to date.
        STALE: The list has expired or cannot be refreshed; it still counts, but proves nothing about endpoints that
            it does not hold.
        LOST: The list has been stale for longer than the settings allow, and no longer counts.
    """

    NONE = "no word yet"
    FRESH = "fresh"
    STALE = "stale"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Statement:
    """One endpoint as one source lists it.

    Attributes:
        address: The endpoint's address, as HOST:PORT.
        name: The name that the source uses for the endpoint, such as an id or the target of an SRV record.
        draining: Whether the source lists the endpoint as draining.
        zone: The endpoint's zone; empty if it is unknown.
        weight: The endpoint's weight, relative to the others of its priority.
        priority: The endpoint's priority; lower priorities are used first.
        started_at_ms: The endpoint's start, as Unix time in milliseconds; 0 if it is unknown.
    """

    address: str
    name: str
    draining: bool = False
    zone: str = ""
    weight: float = 1.0
    priority: int = 0
    started_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class MergeLimits:
    """The limits within which sources may disagree.

    Attributes:
        grace_s: The grace period, in seconds: the time for which a drop by one source does not override another
            source that lists the endpoint.
        mass_drop_share: Drops within `grace_s` are a mass drop if they exceed this share of the source's list. A mass
            drop does not count while another source lists the endpoints.
        mass_drop_min: The minimum number of drops in a mass drop.
    """

    grace_s: float = 60.0
    mass_drop_share: float = 0.3
    mass_drop_min: int = 3

    @property
    def drop_memory_s(self) -> float:
        """The time for which a drop is remembered, in seconds."""
        return DROP_MEMORY_GRACE_PERIODS * self.grace_s


class Drop(NamedTuple):
    """The removal of an endpoint from a source's list.

    Attributes:
        at: The time of the drop, in seconds of the monotonic clock.
        in_mass_drop: Whether the endpoint was dropped together with a large part of the list.
    """

    at: float
    in_mass_drop: bool


def one_per_address(statements: Iterable[Statement]) -> dict[str, Statement]:
    """Returns the statement that counts for each address: a drain, else the lowest priority and the largest weight.

    An endpoint is identified by its address, so two names with the same address are one endpoint.
    """
    chosen: dict[str, Statement] = {}
    for statement in sorted(statements, key=lambda s: (not s.draining, s.priority, -s.weight, s.name)):
        chosen.setdefault(statement.address, statement)
    return chosen


@dataclass(slots=True)
class Source:
    """One source. Times are in seconds of a monotonic clock; endpoints are identified by their addresses.

    Attributes:
        name: The name of the source.
        rank: The rank of the source; a lower rank takes precedence.
        confidence: How far the last list can be relied on.
        listed: The endpoints that the last list holds as in service, by address.
        draining: The endpoints that the last list holds as draining, by address.
        dropped: The endpoints that were in service in an earlier list and are not in the last one, by address.
        drop_times: The times of the last drops, by address, to detect flapping.
        updated_at: The time of the last list; None if there is none.
    """

    name: str
    rank: int
    confidence: Confidence = Confidence.NONE
    listed: dict[str, Statement] = field(default_factory=dict)
    draining: dict[str, Statement] = field(default_factory=dict)
    dropped: dict[str, Drop] = field(default_factory=dict)
    drop_times: dict[str, list[float]] = field(default_factory=dict)
    updated_at: float | None = None

    def status(self, address: str, now: float, limits: MergeLimits) -> ListingStatus:
        """Returns the current status of an endpoint in this source."""
        if address in self.draining and self.confidence != Confidence.LOST:
            return ListingStatus.DRAINING
        if self.confidence in (Confidence.NONE, Confidence.LOST):
            return ListingStatus.UNKNOWN
        if address in self.listed:
            fresh = self.confidence == Confidence.FRESH
            return ListingStatus.LISTED if fresh else ListingStatus.STALE_LISTED
        if self.confidence == Confidence.STALE:
            return ListingStatus.UNKNOWN  # a stale list proves nothing about endpoints that it does not hold
        drop = self.dropped.get(address)
        return ListingStatus.NEVER_LISTED if drop is None else self._drop_status(address, drop, now, limits)

    def _drop_status(self, address: str, drop: Drop, now: float, limits: MergeLimits) -> ListingStatus:
        if now - drop.at < limits.grace_s:
            flapping = len(self.drop_times.get(address, ())) >= FLAPPING_DROPS
            return ListingStatus.FLAPPING if flapping else ListingStatus.RECENTLY_DROPPED
        return ListingStatus.MASS_DROPPED if drop.in_mass_drop else ListingStatus.DROPPED

    def knows(self, address: str) -> bool:
        """Whether this source lists or drains an endpoint, or has dropped it."""
        return address in self.listed or address in self.draining or address in self.dropped

    def known_addresses(self) -> set[str]:
        """Returns the addresses that this source lists, drains or has dropped."""
        return {*self.listed, *self.draining, *self.dropped}

    def current_list(self) -> dict[str, Statement]:
        """Returns the last list, including draining endpoints."""
        return {**self.listed, **self.draining}

    def replace_list(self, now: float, new_list: Mapping[str, Statement], limits: MergeLimits) -> list[str]:
        """Replaces the list; returns the addresses that were in service and are not in the new list."""
        dropped = [address for address in self.listed if address not in new_list]
        # A release in small steps is not a mass drop: only drops within `grace_s` are counted together.
        recent = [
            address
            for address, drop in self.dropped.items()
            if now - drop.at < limits.grace_s and address not in new_list
        ]
        missing = len({*dropped, *recent})
        in_mass_drop = missing >= limits.mass_drop_min and missing > limits.mass_drop_share * (
            len(new_list) + missing
        )
        for address in dropped:
            self._record_drop(address, Drop(now, in_mass_drop), now - limits.drop_memory_s)
        if in_mass_drop:
            for address in recent:
                self.dropped[address] = self.dropped[address]._replace(in_mass_drop=True)
        for address in new_list:
            self.dropped.pop(address, None)
        self.listed = {
            address: statement for address, statement in new_list.items() if not statement.draining
        }
        # A drain lasts until its source drops the endpoint or lists it as in service.
        self.draining = {address: statement for address, statement in new_list.items() if statement.draining}
        return dropped

    def _record_drop(self, address: str, drop: Drop, forget_before: float) -> None:
        self.dropped[address] = drop
        times = [time for time in self.drop_times.get(address, ()) if time > forget_before]
        self.drop_times[address] = [*times[-FLAPPING_DROPS:], drop.at]

    def forget_drop_times(self, address: str, now: float, limits: MergeLimits) -> None:
        """Forgets the times of an endpoint's drops if the last one is older than `limits.drop_memory_s`."""
        times = self.drop_times.get(address, [now])
        if times[-1] + limits.drop_memory_s <= now:
            self.drop_times.pop(address, None)
