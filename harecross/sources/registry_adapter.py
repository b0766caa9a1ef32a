"""The endpoint registry and its decision module as the host of a membership publisher."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.platform.clock import monotonic_us

UNHEALTHY_COST = 4.0  # an endpoint on which a request costs so many times the mean is not healthy


class RegistryAdapter:
    """Implements `publisher.MembershipConsumer`."""

    def __init__(self, registry: EndpointRegistry) -> None:
        self._registry = registry
        self._on_names_changed: Callable[[], None] = lambda: None

    def apply(self, update: Any, *, cached: bool = False, full: bool = False) -> None:
        """Passes a list or change on to the registry."""
        self._registry.apply(update, cached=cached, full=full)

    def unhealthy(self) -> set[str]:
        """Addresses of servers that the decision module holds ejected, or finds much slower or failing.

        It ejects a third of its members at most; the others of a dead priority show by what a request costs there.
        """
        names = {number: name for name, number in self._registry.numbers.items()}
        views = self._registry.dispatcher.balancer.endpoint_snapshots(monotonic_us())
        return {
            names[view.server]
            for view in views
            if (view.ejected or view.cost >= UNHEALTHY_COST) and view.server in names
        }

    def maintenance(self) -> Iterable[str]:
        """Names that operators hold out of service."""
        return self._registry.in_maintenance

    def names_changed(self) -> None:
        """Calls who asked for it by `on_names_changed`."""
        self._on_names_changed()

    def on_names_changed(self, callback: Callable[[], None]) -> None:
        """`callback` is called before endpoints with new names are published."""
        self._on_names_changed = callback
