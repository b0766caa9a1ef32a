"""The control service inside a node (`[xds] listen`): the view is that of the node's own traffic."""

from __future__ import annotations

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.dispatch.dispatcher import RequestDispatcher
from harecross.platform.log import log_line
from harecross.xds.feed import Feed
from harecross.xds.press import Press
from harecross.xds.resources import Encoder
from harecross.xds.server import Control
from harecross.xds.status import handler, rows_of


class Inside:
    """Starts with the node, ends with it."""

    def __init__(self, listen: str, cluster: str, interval_s: float = 1.0) -> None:
        self.listen = listen
        self.cluster = cluster
        self.interval_s = interval_s
        self.control = Control(log=log_line)
        self.control.more.append(handler(rows_of(self.control), lambda names: True))
        self.press: Press | None = None

    async def start(self, host: RequestDispatcher, directory: EndpointRegistry) -> None:
        """OSError if it cannot listen."""
        self.press = press = Press(self.control, Encoder(), self.interval_s)
        press.add(Feed(self.cluster, host, directory, press.changed), host.settings.cross_zone_cost, None)
        press.every_step = self.open_when_known
        await self.control.start(self.listen)
        log_line(f"xds: listening on port {self.control.port}, cluster {self.cluster}")
        press.start()

    def open_when_known(self) -> None:
        """Nothing is known before the node's first list; proxies wait for it."""
        if self.press is not None and not self.press.open:
            self.press.open = self.press.feeds[self.cluster].roster.is_publishable()

    async def stop(self) -> None:
        if self.press is not None:
            self.press.stop()
        await self.control.stop()
