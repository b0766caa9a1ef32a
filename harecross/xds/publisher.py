"""From the views of a cluster's servers to what is published of them: health, weight, limit. Free of I/O.

Sources: Envoy's endpoint health status and panic threshold; the project's slow start. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Collection, Container, Sequence
from dataclasses import dataclass, field
from math import ceil, floor
from typing import NamedTuple

from harecross.xds.published import Health, PublishedCluster, PublishedEndpoint, ServerView

BASE_WEIGHT = 100  # of a warmed-up server of mean cost
MIN_WEIGHT, MAX_WEIGHT = 10, 1000
HYSTERESIS = 0.15  # a weight or limit changes when it is off by more than this part
SLOW_START_STEPS = 4  # in which the weight of a server that warms up rises
PANIC_THRESHOLD = 0.5  # no more than this part of the servers is published as unhealthy
MASS_REMOVAL_RATIO = 0.5  # a list that loses more than this part of its servers at once, without drains...
MASS_REMOVAL_HOLD_US = 30_000_000  # ...is not believed for so long
MIN_REQUEST_LIMIT = 3
MIN_CROSS_ZONE_COST = 0.01  # from which on servers of other zones come second
MIN_COST = 1e-9  # guards the division by a server's cost


class Absence(NamedTuple):
    """A server that was removed together with many others, which is not believed yet."""

    since: int
    view: ServerView  # its last one
    terminated: bool  # discovery had said by then that it has ended


@dataclass(slots=True)
class ClusterPublisher:
    """One cluster's publication, with the state that keeps it steady."""

    endpoints: dict[str, PublishedEndpoint] = field(default_factory=dict)  # as last published, by name
    request_limit: int = 0
    _absences: dict[str, Absence] = field(default_factory=dict)  # by server
    _views: dict[str, ServerView] = field(default_factory=dict)  # the last ones, absent servers included

    def update(
        self,
        now: int,
        views: Sequence[ServerView],
        request_limit: int,
        cross_zone_cost: float = 0.0,
        terminated: Container[str] = (),
    ) -> PublishedCluster:
        """What to publish from now on. `terminated` are servers that discovery has said to be gone."""
        change = abs(request_limit - self.request_limit)
        if not self.request_limit or not request_limit or change > HYSTERESIS * self.request_limit:
            self.request_limit = request_limit
        endpoints = tuple(self.update_endpoints(now, views, terminated))
        return PublishedCluster(endpoints, self.request_limit, cross_zone_cost >= MIN_CROSS_ZONE_COST)

    def update_endpoints(
        self, now: int, views: Sequence[ServerView], terminated: Container[str] = ()
    ) -> list[PublishedEndpoint]:
        """What to publish of each server, by name. Each server has one view."""
        views = self._with_doubted_absences(now, views, terminated)
        serving = [view for view in views if not view.draining]
        # Past the threshold ejections are ignored, or the few servers left would get the requests of all.
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
        # In panic not DEGRADED: gRPC takes endpoints that are not HEALTHY for absent (gRFC A27).
        weight = MIN_WEIGHT if view.ejected else self._weight(view, mean_cost)
        return PublishedEndpoint(view.name, view.address, view.zone, health, weight)

    def _weight(self, view: ServerView, mean_cost: float) -> int:
        """By cost, with hysteresis; while a server warms up, in steps that stay below its part of its capacity."""
        weight = round(BASE_WEIGHT * mean_cost / max(view.cost, MIN_COST))
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
        if view.slow_start_factor < 1:
            # Rounded down: all proxies together, each by these weights, must not exceed the present capacity.
            part = floor(view.slow_start_factor * SLOW_START_STEPS) / SLOW_START_STEPS
            part = max(part, 1 / (2 * SLOW_START_STEPS))
            return max(1, int(min(weight, BASE_WEIGHT) * part))
        last = self.endpoints.get(view.name)
        if last is not None and abs(weight - last.weight) <= HYSTERESIS * last.weight:
            return last.weight
        return weight

    def _with_doubted_absences(
        self, now: int, views: Sequence[ServerView], terminated: Container[str]
    ) -> list[ServerView]:
        """The views, and those of servers whose absence is not believed yet.

        Discovery may list almost nothing for a while, and proxies must not drop servers that serve well. A server
        that drained is believed to be gone. Doubt of one server ends with news of it: that it has ended, that it is
        listed again, or that another one has its address.
        """
        present = {view.name for view in views}
        self._doubt_mass_absence(now, present, terminated)
        addresses = {view.address for view in views}
        for name, absence in list(self._absences.items()):
            news = name in present or (name in terminated and not absence.terminated)
            if news or absence.view.address in addresses or now - absence.since >= MASS_REMOVAL_HOLD_US:
                del self._absences[name]
        all_views = [*views, *(absence.view for absence in self._absences.values())]
        self._views = {view.name: view for view in all_views}
        return all_views

    def _doubt_mass_absence(self, now: int, present: set[str], terminated: Container[str]) -> None:
        """Records the absence of servers of which many were removed at once."""
        lost = [
            view
            for name, view in self._views.items()
            if name not in present and not view.draining and name not in self._absences
        ]
        serving = sum(not view.draining for view in self._views.values())
        if serving and len(lost) > MASS_REMOVAL_RATIO * serving:
            self._absences.update((view.name, Absence(now, view, view.name in terminated)) for view in lost)


def priority(zone: str, proxy_zone: str, zones: Collection[str]) -> int:
    """The priority of a zone's servers for a proxy, 0 first. Without servers in the proxy's zone all are equal."""
    return int(proxy_zone in zones and zone != proxy_zone)


def request_limit(views: Sequence[ServerView], per_server: float, proxies: int) -> int:
    """How many requests one proxy may have in flight, from what a warmed-up server may have; 0 for no limit.

    It is twice a proxy's even part, as requests do not come evenly. Without it many proxies together could overload
    what is left of a cluster that has lost half of its servers.
    """
    if per_server <= 0:
        return 0
    capacity = per_server * sum(
        view.slow_start_factor for view in views if not (view.draining or view.ejected)
    )
    return max(MIN_REQUEST_LIMIT, ceil(capacity * 2 / max(2, proxies)))
