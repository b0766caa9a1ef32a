"""The control service inside a node (`[xds] listen`), which publishes what the node's own traffic shows."""

from __future__ import annotations

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.platform.log import log_line
from harecross.xds.feed import ClusterFeed
from harecross.xds.publisher_loop import PublisherLoop
from harecross.xds.resources import ResourceEncoder
from harecross.xds.server import ControlServer
from harecross.xds.status import local_status_rows, status_handler


class EmbeddedControlService:
    """A control service that starts and stops with its node."""

    def __init__(self, listen: str, cluster: str, interval_s: float = 1.0) -> None:
        """Creates the service without starting it.

        Args:
            listen: The address to listen on, as HOST:PORT.
            cluster: The name under which the node's servers are published.
            interval_s: The minimum time between two releases of weights, in seconds.
        """
        self.server = ControlServer(log=log_line)
        self.server.add_handler(status_handler(local_status_rows(self.server), lambda names: True))
        self._listen = listen
        self._cluster = cluster
        self._interval_s = interval_s
        self._publisher_loop: PublisherLoop | None = None

    async def start(self, dispatcher: RequestDispatcher, registry: EndpointRegistry) -> None:
        """Serves the views of a node's dispatcher and registry. Raises OSError if it cannot listen."""
        loop = PublisherLoop(self.server, ResourceEncoder(), self._interval_s, self._enable_when_publishable)
        self._publisher_loop = loop
        feed = ClusterFeed(self._cluster, dispatcher, registry, loop.mark_changed)
        loop.add(feed, dispatcher.settings.cross_zone_cost, None)
        await self.server.start(self._listen)
        log_line(f"xds: listening on port {self.server.port}, cluster {self._cluster}")
        loop.start()

    def _enable_when_publishable(self) -> None:
        """Enables publishing once the node has an endpoint list. Until then proxies receive nothing."""
        loop = self._publisher_loop
        if loop is not None and not loop.enabled:
            loop.enabled = loop.feeds[self._cluster].listed_endpoints.is_publishable()

    async def stop(self) -> None:
        """Stops publishing and ends all streams."""
        if self._publisher_loop is not None:
            self._publisher_loop.stop()
        await self.server.stop()
