"""The publisher loop: from the cluster feeds to the control server, when clusters change and at intervals."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception
from harecross.xds.feed import ClusterFeed
from harecross.xds.published import PublishedCluster
from harecross.xds.publisher import ClusterPublisher, request_limit
from harecross.xds.release import ReleaseSchedule
from harecross.xds.resources import PublishedSnapshots, ResourceEncoder

STEP_S = 0.1  # how often slow start, ejections by time and releases are looked at
SWEEP_STEPS = 10  # in which every cluster is looked at once


class SnapshotPublisher(Protocol):
    """Who serves what is published: a control server, or a pool of workers."""

    def publish(self, source: PublishedSnapshots, urgent: Collection[str] = ()) -> None:
        """Serves this from now on; the assignments of the clusters in `urgent` go out first."""

    def count(self) -> int:
        """Open streams."""


@dataclass(slots=True)
class Cluster:
    """A cluster of the loop."""

    feed: ClusterFeed
    cross_zone_cost: float
    requests_per_server: float | None  # in flight; None: by the decision module's own limits
    publisher: ClusterPublisher = field(default_factory=ClusterPublisher)
    published: PublishedCluster | None = None


class PublisherLoop:
    """Publishes the views of cluster feeds."""

    def __init__(
        self,
        server: SnapshotPublisher,
        encoder: ResourceEncoder,
        interval_s: float,
        on_step: Callable[[], None],
    ) -> None:
        """`interval_s` is the least time between two releases of weights; `on_step` is called each `STEP_S`."""
        self.enabled = False  # nothing is published before
        self._server = server
        self._encoder = encoder
        self._on_step = on_step
        self._release = ReleaseSchedule(int(interval_s * 1e6))
        self._clusters: dict[str, Cluster] = {}
        self._changed: set[str] = set()
        self._wake = asyncio.Event()
        self._sweep_step = 0
        self._next_step = 0.0
        self._task: asyncio.Task[None] | None = None

    @property
    def feeds(self) -> dict[str, ClusterFeed]:
        """The feed of each cluster."""
        return {name: cluster.feed for name, cluster in self._clusters.items()}

    def add(self, feed: ClusterFeed, cross_zone_cost: float, requests_per_server: float | None) -> None:
        """Adds a cluster; one of that name keeps its publication's state."""
        before = self._clusters.get(feed.name)
        cluster = Cluster(feed, cross_zone_cost, requests_per_server)
        if before is not None:
            cluster.publisher, cluster.published = before.publisher, before.published
        self._clusters[feed.name] = cluster
        self.mark_changed(feed.name)

    def remove(self, name: str) -> None:
        """Removes a cluster."""
        self._clusters.pop(name).feed.close()
        self._release.withdraw(name)
        self._wake.set()

    def mark_changed(self, name: str) -> None:
        """A cluster has changed: it is looked at before anything else happens."""
        self._changed.add(name)
        self._wake.set()

    def start(self) -> None:
        """Begins to look at clusters."""
        self._next_step = asyncio.get_running_loop().time()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Ends the loop and closes the feeds."""
        if self._task is not None:
            self._task.cancel()
        for cluster in self._clusters.values():
            cluster.feed.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._wake.clear()
            try:
                if loop.time() >= self._next_step:
                    self._next_step = loop.time() + STEP_S
                    self._begin_step()
                self._publish_changes()
            except Exception:
                log_exception("control")
            try:
                async with asyncio.timeout(max(0.0, self._next_step - loop.time())):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _begin_step(self) -> None:
        """Marks those clusters whose turn in the sweep it is."""
        self._sweep_step = (self._sweep_step + 1) % SWEEP_STEPS
        alone = len(self._clusters) == 1
        self._changed.update(
            name
            for index, name in enumerate(self._clusters)
            if alone or index % SWEEP_STEPS == self._sweep_step
        )
        self._on_step()

    def _publish_changes(self) -> None:
        """Looks at the clusters that have changed, and publishes what is due."""
        changed, self._changed = self._changed, set()
        for name in changed:
            if name in self._clusters:
                self._update(name, self._clusters[name])
        if not self.enabled:
            return
        batch = self._release.take_due(monotonic_us())
        if batch is not None:
            self._server.publish(PublishedSnapshots(self._encoder, batch.clusters), batch.urgent)

    def _update(self, name: str, cluster: Cluster) -> None:
        published = self._publication(cluster)
        if cluster.published is None or not cluster.published.same_as(published):
            cluster.published = published
            self._release.offer(name, published)

    def _publication(self, cluster: Cluster) -> PublishedCluster:
        if not cluster.feed.listed_endpoints.is_publishable():
            return PublishedCluster(None)
        views, own_limit = cluster.feed.views()
        if cluster.requests_per_server is None:
            limit = request_limit(views, own_limit, 2)
        else:
            limit = request_limit(views, cluster.requests_per_server, self._server.count())
        return cluster.publisher.update(
            monotonic_us(), views, limit, cluster.cross_zone_cost, cluster.feed.listed_endpoints.terminated
        )
