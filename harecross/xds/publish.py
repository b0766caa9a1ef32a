"""From a view of servers to what proxies are told of each: health, weight. Free of I/O.

Sources: Envoy's endpoint health status and panic threshold; the project's cold rule. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Collection, Container, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil, floor
from typing import NamedTuple

WEIGHT = 100  # of a warm server of mean cost
WEIGHT_LEAST, WEIGHT_MOST = 10, 1000
HYSTERESIS = 0.15  # a weight moves when it is off by more than this part
COLD_STEPS = 4  # a cold server's weight rises in so many steps
PANIC = 0.5  # no more than this part of the listed servers is kept from proxies by our own doubts
SHRINK = 0.5  # a list that loses more than this part of its servers at once, with no word of a drain...
HOLD = 30_000_000  # ...is disbelieved for so long
CALLS_LEAST = 3  # a proxy may always have so many calls out
ZONE_PRICE = 0.01  # servers of other zones come second where a crossing costs this share of a request's worth


class Health(IntEnum):
    """`envoy.config.core.v3.HealthStatus`, by its numbers."""

    HEALTHY = 1
    UNHEALTHY = 2
    DRAINING = 3
    DEGRADED = 5  # never told, see `Publisher.decide`


@dataclass(frozen=True, slots=True)
class ServerView:
    """What is thought of one server; `warmth` is its present part of a warm server's capacity, in (0, 1]."""

    name: str
    address: str
    zone: str = ""
    draining: bool = False
    ejected: bool = False
    warmth: float = 1.0
    cost: float = 1.0  # expected time of one more call, against the others'


@dataclass(frozen=True, slots=True)
class PublishedEndpoint:
    """What proxies are told of one server."""

    name: str
    address: str
    zone: str
    health: Health
    weight: int


@dataclass(frozen=True, slots=True, eq=False)
class Told:
    """All that proxies are told of one cluster. `endpoints` is None while nothing is known of them."""

    endpoints: tuple[PublishedEndpoint, ...] | None
    limit: int = 0  # calls that one proxy may have out; 0 for no bound
    zoned: bool = False  # servers of a proxy's own zone come first

    def same(self, other: Told) -> bool:
        return (self.endpoints, self.limit, self.zoned) == (other.endpoints, other.limit, other.zoned)


class Absence(NamedTuple):
    """A server that went with many others, which is not believed yet."""

    since: int  # monotonic microseconds
    view: ServerView  # as it was then
    ended: bool  # discovery had said that it is gone, as of the others


@dataclass(slots=True)
class Publisher:
    """One cluster's publication, with the memory that keeps it steady."""

    told: dict[str, PublishedEndpoint] = field(default_factory=dict)
    missing: dict[str, Absence] = field(default_factory=dict)  # by server
    seen: dict[str, ServerView] = field(default_factory=dict)
    limit: int = 0

    def believe(self, now: int, views: Sequence[ServerView], ended: Container[str] = ()) -> list[ServerView]:
        """The views, and those servers whose sudden absence is not believed yet.

        Failure prevented: discovery lists almost nothing for a minute, and every proxy drops servers that
        serve well. A server that was said to drain is believed to be gone. A doubt ends with a later word about its
        server: that it is gone (`ended`), or that another one has its address.
        """
        present = {v.name: v for v in views}
        taken = {v.address for v in views}
        lost = [
            v for n, v in self.seen.items() if n not in present and not v.draining and n not in self.missing
        ]
        sound = sum(not v.draining for v in self.seen.values())
        if sound and len(lost) > SHRINK * sound:
            self.missing.update((v.name, Absence(now, v, v.name in ended)) for v in lost)
        for name, absence in list(self.missing.items()):
            told_since = name in present or (name in ended and not absence.ended)
            if told_since or absence.view.address in taken or now - absence.since >= HOLD:
                del self.missing[name]
        kept = [absence.view for absence in self.missing.values()]
        self.seen = {v.name: v for v in [*views, *kept]}
        return [*views, *kept]

    def decide(
        self, now: int, views: Sequence[ServerView], ended: Container[str] = ()
    ) -> list[PublishedEndpoint]:
        """What is told of each server from now on, by name. Views name a server once; `ended` were said to be gone."""
        views = self.believe(now, views, ended)
        ready = [v for v in views if not v.draining]
        doubted = sum(v.ejected for v in ready)
        # Failure prevented: our own doubts empty the set, and what is left drowns in the calls of all.
        panic = doubted > PANIC * len(ready)
        mean = sum(v.cost for v in ready) / len(ready) if ready else 1.0
        told = {}
        for v in sorted(views, key=lambda v: v.name):
            health = Health.HEALTHY
            if v.draining:
                health = Health.DRAINING
            elif v.ejected and not panic:
                health = Health.UNHEALTHY
            # In panic not DEGRADED: gRPC takes endpoints that are not HEALTHY for absent (gRFC A27).
            weight = WEIGHT_LEAST if v.ejected else self.weight(v, mean)
            told[v.name] = PublishedEndpoint(v.name, v.address, v.zone, health, weight)
        self.told = told
        return list(told.values())

    def tell(
        self,
        now: int,
        views: Sequence[ServerView],
        limit: int,
        price: float = 0.0,
        ended: Container[str] = (),
    ) -> Told:
        """All of it: `limit` moves with the same hysteresis as weights."""
        if not self.limit or not limit or abs(limit - self.limit) > HYSTERESIS * self.limit:
            self.limit = limit
        return Told(tuple(self.decide(now, views, ended)), self.limit, price >= ZONE_PRICE)

    def weight(self, v: ServerView, mean: float) -> int:
        """By cost, with hysteresis; a cold server's rises in steps and is never more than its warmth's part."""
        fresh = min(WEIGHT_MOST, max(WEIGHT_LEAST, round(WEIGHT * mean / max(v.cost, 1e-9))))
        if v.warmth < 1:
            # Rounded down: all proxies together, each by these weights, stay under the server's present part.
            part = max(floor(v.warmth * COLD_STEPS) / COLD_STEPS, 1 / (2 * COLD_STEPS))
            return max(1, int(min(fresh, WEIGHT) * part))
        last = self.told.get(v.name)
        if last is not None and abs(fresh - last.weight) <= HYSTERESIS * last.weight:
            return last.weight
        return fresh


def priority(zone: str, proxy_zone: str, zones: Collection[str]) -> int:
    """Of a server for a proxy: 0 goes first. Where none stands in the proxy's zone, all are equal."""
    return int(proxy_zone in zones and zone != proxy_zone)


def calls_out(views: Sequence[ServerView], each: float, proxies: int) -> int:
    """The bound on one proxy's calls out, from what a warm server may hold; 0 (no bound) for `each` of 0.

    Twice an even part: calls do not come evenly. Failure prevented: many proxies, each within its own bound,
    together bury servers of which half are gone.
    """
    if each <= 0:
        return 0
    room = each * sum(v.warmth for v in views if not (v.draining or v.ejected))
    return max(CALLS_LEAST, ceil(room * 2 / max(2, proxies)))


def urgent(before: Sequence[PublishedEndpoint], after: Sequence[PublishedEndpoint]) -> bool:
    """Whether a change must go out at once: a drain, an ejection, a removal, a new address. Weights can wait."""
    old = {e.name: e for e in before}
    new = {e.name: e for e in after}
    return any(
        n not in new
        or new[n].address != e.address
        or (new[n].health != e.health and new[n].health != Health.HEALTHY)
        for n, e in old.items()
    )
