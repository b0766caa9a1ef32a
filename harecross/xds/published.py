"""What is known of a cluster's servers, and what is published of them. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class Health(IntEnum):
    """`envoy.config.core.v3.HealthStatus`, by its numbers."""

    HEALTHY = 1
    UNHEALTHY = 2
    DRAINING = 3
    DEGRADED = 5  # never published, see `ClusterPublisher.update_endpoints`


@dataclass(frozen=True, slots=True)
class ServerView:
    """The decision module's view of one server."""

    name: str
    address: str
    zone: str = ""
    draining: bool = False
    ejected: bool = False
    slow_start_factor: float = 1.0  # its present part of a warmed-up server's capacity, in (0, 1]
    cost: float = 1.0  # the expected time of one more request, relative to the other servers


@dataclass(frozen=True, slots=True)
class PublishedEndpoint:
    """What proxies get of one server."""

    name: str
    address: str
    zone: str
    health: Health
    weight: int


@dataclass(frozen=True, slots=True, eq=False)
class PublishedCluster:
    """What proxies get of one cluster. Compared by identity, as encodings are cached by it; see `same_as`."""

    endpoints: tuple[PublishedEndpoint, ...] | None  # None while nothing is known of them
    request_limit: int = 0  # requests that one proxy may have in flight; 0 for no limit
    prefer_own_zone: bool = False  # servers of a proxy's own zone come first

    def same_as(self, other: PublishedCluster) -> bool:
        """Whether both have the same content."""
        return (self.endpoints, self.request_limit, self.prefer_own_zone) == (
            other.endpoints,
            other.request_limit,
            other.prefer_own_zone,
        )


def is_urgent(before: Sequence[PublishedEndpoint], after: Sequence[PublishedEndpoint]) -> bool:
    """Whether a change must go out at once: a drain, an ejection, a removal, a new address. Weights can wait."""
    new = {endpoint.name: endpoint for endpoint in after}
    return any(_is_urgent_change(old, new.get(old.name)) for old in before)


def _is_urgent_change(old: PublishedEndpoint, new: PublishedEndpoint | None) -> bool:
    if new is None or new.address != old.address:
        return True
    return new.health not in (old.health, Health.HEALTHY)
