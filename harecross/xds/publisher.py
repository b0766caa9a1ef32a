"""Derives what is published of a cluster's servers from their views: health, weight and request limit.

The health status and the panic threshold follow Envoy; slow start follows the balancer. Times are in
microseconds.
"""

from __future__ import annotations

from collections.abc import Collection, Container, Sequence
from dataclasses import dataclass, field
from math import ceil, floor
from typing import NamedTuple

from harecross.xds.published import Health, PublishedCluster, PublishedEndpoint, ServerView

BASE_WEIGHT = 100  # weight of a server of mean cost outside slow start
MIN_WEIGHT, MAX_WEIGHT = 10, 1000
HYSTERESIS = 0.15  # a published weight or limit changes only if it is off by more than this fraction
SLOW_START_STEPS = 4  # number of steps in which the weight of a server in slow start rises
# If more than this fraction of the serving servers is ejected, no server is published as unhealthy.
PANIC_THRESHOLD = 0.5
# A mass removal is one in which more than this fraction of the serving servers disappears from the list at once.
MASS_REMOVAL_RATIO = 0.5
MASS_REMOVAL_HOLD_US = 30_000_000  # how long the servers of a mass removal stay published
MIN_REQUEST_LIMIT = 3
MIN_CROSS_ZONE_COST = 0.01  # from this cross-zone cost on, servers in other zones have a lower priority
MIN_COST = 1e-9  # avoids a division by zero for a server whose cost is 0


class HeldRemoval(NamedTuple):
    """A server that was part of a mass removal and stays published for a while.

    Attributes:
        since: When the server was removed from the list.
        view: The last view of the server.
        terminated: Whether discovery had already reported the server as terminated when it was removed.
    """

    since: int
    view: ServerView
    terminated: bool


@dataclass(slots=True)
class ClusterPublisher:
    """Decides what is published of one cluster, with the state for hysteresis and mass removals.

    Attributes:
        endpoints: The servers as last published, by name.
        request_limit: The request limit as last published, 0 for no limit.
        _held_removals: The servers whose removal is held, by name.
        _views: The latest views by server name, including those of held removals.
    """

    endpoints: dict[str, PublishedEndpoint] = field(default_factory=dict)
    request_limit: int = 0
    _held_removals: dict[str, HeldRemoval] = field(default_factory=dict)
    _views: dict[str, ServerView] = field(default_factory=dict)

    def update(
        self,
        now: int,
        views: Sequence[ServerView],
        request_limit: int,
        cross_zone_cost: float = 0.0,
        terminated: Container[str] = (),
    ) -> PublishedCluster:
        """Returns what to publish from now on. `terminated` names the servers that discovery reports as gone."""
        change = abs(request_limit - self.request_limit)
        if not self.request_limit or not request_limit or change > HYSTERESIS * self.request_limit:
            self.request_limit = request_limit
        endpoints = tuple(self.update_endpoints(now, views, terminated))
        return PublishedCluster(endpoints, self.request_limit, cross_zone_cost >= MIN_CROSS_ZONE_COST)

    def update_endpoints(
        self, now: int, views: Sequence[ServerView], terminated: Container[str] = ()
    ) -> list[PublishedEndpoint]:
        """Returns what to publish of each server, sorted by name. Each server must have one view."""
        views = self._with_held_removals(now, views, terminated)
        serving = [view for view in views if not view.draining]
        # Above the threshold ejections are ignored, because the few remaining servers would get all requests.
        panic = sum(view.ejected for view in serving) > PANIC_THRESHOLD * len(serving)
        mean_cost = sum(view.cost for view in serving) / len(serving) if serving else 1.0
        self.endpoints = {
            view.name: self._endpoint(view, mean_cost, panic=panic)
            for view in sorted(views, key=lambda view: view.name)
        }
        return list(self.endpoints.values())

    def _endpoint(self, view: ServerView, mean_cost: float, *, panic: bool) -> PublishedEndpoint:
        health = Health.HEALTHY
        if view.draining:
            health = Health.DRAINING
        elif view.ejected and not panic:
            health = Health.UNHEALTHY
        # Above the panic threshold, an ejected server stays HEALTHY with the minimum weight. It is not published
        # as DEGRADED, because gRPC clients ignore endpoints that are not HEALTHY (gRFC A27).
        weight = MIN_WEIGHT if view.ejected else self._weight(view, mean_cost)
        return PublishedEndpoint(view.name, view.address, view.zone, health, weight)

    def _weight(self, view: ServerView, mean_cost: float) -> int:
        """Returns a server's weight from its cost, with hysteresis.

        During slow start, the weight rises in steps that do not exceed the server's present capacity. A server
        that has not reached the first step gets half a step.
        """
        weight = round(BASE_WEIGHT * mean_cost / max(view.cost, MIN_COST))
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        if view.slow_start_factor < 1:
            # Rounded down, because all proxies together send requests by these weights and must not exceed the
            # server's present capacity.
            capacity = floor(view.slow_start_factor * SLOW_START_STEPS) / SLOW_START_STEPS
            capacity = max(capacity, 1 / (2 * SLOW_START_STEPS))
            return max(1, int(min(weight, BASE_WEIGHT) * capacity))
        last = self.endpoints.get(view.name)
        if last is not None and abs(weight - last.weight) <= HYSTERESIS * last.weight:
            return last.weight
        return weight

    def _with_held_removals(
        self, now: int, views: Sequence[ServerView], terminated: Container[str]
    ) -> list[ServerView]:
        """Returns the views, followed by the last views of servers whose removal is held.

        Discovery may omit most servers from its list for a while, and proxies must not drop servers that still
        work. The removal of a draining server is not held. A hold ends early when discovery reports the server as
        terminated after the mass removal, when the server is listed again, or when another server has its address.
        """
        present = {view.name for view in views}
        self._hold_mass_removal(now, present, terminated)
        addresses = {view.address for view in views}
        for name, held in list(self._held_removals.items()):
            resolved = name in present or (name in terminated and not held.terminated)
            if resolved or held.view.address in addresses or now - held.since >= MASS_REMOVAL_HOLD_US:
                del self._held_removals[name]
        all_views = [*views, *(held.view for held in self._held_removals.values())]
        self._views = {view.name: view for view in all_views}
        return all_views

    def _hold_mass_removal(self, now: int, present: set[str], terminated: Container[str]) -> None:
        """Holds the removal of servers that were removed from the list, if it is a mass removal."""
        removed = [
            view
            for name, view in self._views.items()
            if name not in present and not view.draining and name not in self._held_removals
        ]
        serving = sum(not view.draining for view in self._views.values())
        if serving and len(removed) > MASS_REMOVAL_RATIO * serving:
            self._held_removals.update(
                (view.name, HeldRemoval(now, view, view.name in terminated)) for view in removed
            )


def priority(zone: str, proxy_zone: str, zones: Collection[str]) -> int:
    """Returns the priority of a zone's servers for a proxy; 0 is the highest.

    If there are no servers in the proxy's zone, all servers have the same priority.
    """
    return int(proxy_zone in zones and zone != proxy_zone)


def request_limit(views: Sequence[ServerView], per_server: float, proxies: int) -> int:
    """Returns how many requests one proxy may have in flight, 0 for no limit.

    `per_server` is how many requests a server may have in flight outside slow start. The limit is twice an even
    share of the capacity, because requests are not spread evenly over the proxies. Without a limit, many proxies
    together could overload the remaining servers of a cluster that has lost half of them.
    """
    if per_server <= 0:
        return 0
    capacity = per_server * sum(
        view.slow_start_factor for view in views if not (view.draining or view.ejected)
    )
    return max(MIN_REQUEST_LIMIT, ceil(capacity * 2 / max(2, proxies)))
