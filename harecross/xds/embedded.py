"""The control service inside a node (`[xds] listen`): its views are those of the node's own traffic."""

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
    """Starts with the node and ends with it."""

    def __init__(self, listen: str, cluster: str, interval_s: float = 1.0) -> None:
        """`listen` is HOST:PORT; `cluster` names the node's servers; `interval_s` is between releases of weights."""
        self.server = ControlServer(log=log_line)
        self.server.add_handler(status_handler(local_status_rows(self.server), lambda names: True))
        self._listen = listen
        self._cluster = cluster
        self._interval_s = interval_s
        self._publisher_loop: PublisherLoop | None = None

    async def start(self, host: RequestDispatcher, directory: EndpointRegistry) -> None:
        """Serves the views of a node's dispatcher and registry. OSError if it cannot listen."""
        loop = PublisherLoop(self.server, ResourceEncoder(), self._interval_s, self._enable_when_known)
        self._publisher_loop = loop
        feed = ClusterFeed(self._cluster, host, directory, loop.mark_changed)
        loop.add(feed, host.settings.cross_zone_cost, None)
        await self.server.start(self._listen)
        log_line(f"xds: listening on port {self.server.port}, cluster {self._cluster}")
        loop.start()

    def _enable_when_known(self) -> None:
        """Publishes from the node's first list on; proxies wait for it."""
        loop = self._publisher_loop
        if loop is not None and not loop.enabled:
            loop.enabled = loop.feeds[self._cluster].listed_endpoints.is_publishable()

    async def stop(self) -> None:
        """Ends the streams."""
        if self._publisher_loop is not None:
            self._publisher_loop.stop()
        await self.server.stop()
