"""Connects a membership publisher to the endpoint registry and its balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.platform.clock import monotonic_us

# An endpoint is unhealthy if the cost of a request there is at least this multiple of the mean.
UNHEALTHY_COST = 4.0


class RegistryAdapter:
    """Implements `publisher.MembershipConsumer`."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self._registry = registry
        self._on_names_changed: Callable[[], None] = lambda: None

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Passes a list or change to the registry."""
        self._registry.apply(update, cached=cached, full=full)

    def unhealthy(self) -> set[str]:
        """Returns the addresses of servers that are ejected or on which a request costs far more than the mean.

        The balancer ejects at most about a third of its servers. If a whole priority is down, its other servers are
        recognized by the cost of a request, which is high if they are slow or failing.
        """
        names = {number: name for name, number in self._registry.numbers.items()}
        views = self._registry.dispatcher.balancer.endpoint_snapshots(monotonic_us())
        return {
            names[view.server]
            for view in views
            if (view.ejected or view.cost >= UNHEALTHY_COST) and view.server in names
        }

    def maintenance(self) -> Iterable[str]:
        """Returns the names that are in maintenance."""
        return self._registry.in_maintenance

    def names_changed(self) -> None:
        """Calls the callback that was set with `on_names_changed`."""
        self._on_names_changed()

    def on_names_changed(self, callback: Callable[[], None]) -> None:
        """Sets a callback that is called before endpoints with new names are published."""
        self._on_names_changed = callback
