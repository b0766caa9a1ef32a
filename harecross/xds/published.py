"""What is known about a cluster's servers, and what is published about them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class Health(IntEnum):
    """Values of `envoy.config.core.v3.HealthStatus`."""

    HEALTHY = 1
    UNHEALTHY = 2
    DRAINING = 3
    DEGRADED = 5  # never published, because gRPC clients ignore such endpoints (gRFC A27)


@dataclass(frozen=True, slots=True)
class ServerView:
    """The balancer's view of one server.

    Attributes:
        slow_start_factor: The fraction of its full capacity that the server has now, in (0, 1].
        cost: The expected time of one more request, relative to the other servers.
    """

    name: str
    address: str
    zone: str = ""
    draining: bool = False
    ejected: bool = False
    slow_start_factor: float = 1.0
    cost: float = 1.0


@dataclass(frozen=True, slots=True)
class PublishedEndpoint:
    """One server as it is published to proxies."""

    name: str
    address: str
    zone: str
    health: Health
    weight: int


@dataclass(frozen=True, slots=True, eq=False)
class PublishedCluster:
    """One cluster as it is published to proxies.

    Instances are compared by identity, because encodings are cached by it. `same_as` compares the content.

    Attributes:
        endpoints: The servers, or None while no endpoint list is known.
        request_limit: How many requests one proxy may have in flight, 0 for no limit.
        prefer_own_zone: Whether servers in a proxy's own zone have a higher priority.
    """

    endpoints: tuple[PublishedEndpoint, ...] | None
    request_limit: int = 0
    prefer_own_zone: bool = False

    def same_as(self, other: PublishedCluster) -> bool:
        """Returns whether both have the same content."""
        return (self.endpoints, self.request_limit, self.prefer_own_zone) == (
            other.endpoints,
            other.request_limit,
            other.prefer_own_zone,
        )


def is_urgent(before: Sequence[PublishedEndpoint], after: Sequence[PublishedEndpoint]) -> bool:
    """Returns whether a change must be sent at once.

    A drain, an ejection, a removal or a new address is urgent. A change of weights is not.
    """
    new = {endpoint.name: endpoint for endpoint in after}
    return any(_is_urgent_change(old, new.get(old.name)) for old in before)


def _is_urgent_change(old: PublishedEndpoint, new: PublishedEndpoint | None) -> bool:
    if new is None or new.address != old.address:
        return True
    return new.health not in (old.health, Health.HEALTHY)
