"""A cluster feed: the decision module's views of one cluster's servers, for the publisher loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from harecross.discovery import wire_format
from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.platform.clock import monotonic_us
from harecross.settings import parse_address
from harecross.xds.load_reports import LoadReports
from harecross.xds.published import ServerView

LATENCY_COLUMN = "latency_ms"


class ClusterFeed:
    """Reads one decision module and one endpoint registry, a node's or its own."""

    def __init__(
        self,
        name: str,
        dispatcher: RequestDispatcher,
        registry: EndpointRegistry,
        on_change: Callable[[str], None],
    ) -> None:
        """`on_change` is called with the feed's name when its endpoint list has changed."""
        self.name = name
        self.dispatcher = dispatcher
        self.registry = registry
        self.listed_endpoints = ListedEndpoints()
        self.load_reports = LoadReports()
        self._on_change = on_change
        registry.set_update_listener(self.endpoints_updated)

    def endpoints_updated(self, update: Any, full: bool, cached: bool) -> None:
        """Takes an update that the registry has taken."""
        self.listed_endpoints.apply(update, full=full, cached=cached)
        self._on_change(self.name)

    def views(self) -> tuple[list[ServerView], float]:
        """The views of all listed servers, and how many requests this program may have in flight at one."""
        balancer_views = {
            view.server: view for view in self.dispatcher.balancer.endpoint_snapshots(monotonic_us())
        }
        views = []
        for name, line in self.listed_endpoints.entries.items():
            where, zone = str(line.get(wire_format.HOST_PORT, "")), str(line.get(wire_format.ZONE, ""))
            draining = line[wire_format.LIFECYCLE] != wire_format.IN_SERVICE
            number = self.registry.numbers.get(name, 0)
            if not is_address(where):
                continue  # the registry has logged it
            if not draining and number not in self.registry.listed:
                continue  # another server has taken over its address, or its line could not be read
            view = balancer_views.get(number)
            if view is None or draining:
                views.append(ServerView(name, where, zone, draining))
            else:
                views.append(
                    ServerView(name, where, zone, False, view.ejected, view.slow_start_factor, view.cost)
                )
        return views, max((view.limit for view in balancer_views.values()), default=0.0)

    def pass_load_reports_on(self) -> None:
        """Passes on to the decision module what proxies have reported since the last call."""
        by_latency = tuple(self.dispatcher.settings.report_fields) == (LATENCY_COLUMN,)
        for load in self.load_reports.collect():
            number = self.registry.numbers.get(load.server)
            if number is not None:
                report = (load.latency_ms,) if by_latency and load.latency_ms else ()
                self.dispatcher.balancer.load_reported(
                    monotonic_us(), number, load.successes, load.failures, report
                )

    def close(self) -> None:
        """Ends the feed."""
        self.registry.set_update_listener(None)


def is_address(text: str) -> bool:
    """Whether a text is HOST:PORT."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
