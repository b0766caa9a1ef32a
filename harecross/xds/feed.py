"""A cluster feed, which gives the publisher loop the balancer's views of one cluster's servers."""

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
    """Reads a balancer and an endpoint registry, which belong to a node or to the feed itself."""

    def __init__(
        self,
        name: str,
        dispatcher: RequestDispatcher,
        registry: EndpointRegistry,
        on_change: Callable[[str], None],
    ) -> None:
        """Subscribes to the registry. Calls `on_change` with the feed's name when its endpoint list changes."""
        self.name = name
        self.dispatcher = dispatcher
        self.registry = registry
        self.listed_endpoints = ListedEndpoints()
        self.load_reports = LoadReports()
        self._on_change = on_change
        registry.set_update_listener(self.endpoints_updated)

    def endpoints_updated(self, update: Any, full: bool, cached: bool) -> None:
        """Applies an update that the registry has applied."""
        self.listed_endpoints.apply(update, full=full, cached=cached)
        self._on_change(self.name)

    def views(self) -> tuple[list[ServerView], float]:
        """Returns the views of all listed servers, and the highest concurrency limit that one of them has."""
        balancer_views = {
            view.server: view for view in self.dispatcher.balancer.endpoint_snapshots(monotonic_us())
        }
        views = []
        for name, entry in self.listed_endpoints.entries.items():
            address, zone = str(entry.get(wire_format.HOST_PORT, "")), str(entry.get(wire_format.ZONE, ""))
            draining = entry[wire_format.LIFECYCLE] != wire_format.IN_SERVICE
            number = self.registry.numbers.get(name, 0)
            if not is_address(address):
                continue  # the registry has already logged the invalid address
            if not draining and number not in self.registry.listed:
                continue  # another server has this address now, or the registry could not read the entry
            view = balancer_views.get(number)
            if view is None or draining:
                views.append(ServerView(name, address, zone, draining))
            else:
                views.append(
                    ServerView(name, address, zone, False, view.ejected, view.slow_start_factor, view.cost)
                )
        return views, max((view.limit for view in balancer_views.values()), default=0.0)

    def forward_load_reports(self) -> None:
        """Forwards to the balancer what proxies have reported since the last call."""
        by_latency = tuple(self.dispatcher.settings.report_fields) == (LATENCY_COLUMN,)
        for load in self.load_reports.collect():
            number = self.registry.numbers.get(load.server)
            if number is not None:
                report = (load.latency_ms,) if by_latency and load.latency_ms else ()
                self.dispatcher.balancer.load_reported(
                    monotonic_us(), number, load.successes, load.failures, report
                )

    def close(self) -> None:
        """Unsubscribes from the registry."""
        self.registry.set_update_listener(None)


def is_address(text: str) -> bool:
    """Returns whether a text has the form HOST:PORT."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
