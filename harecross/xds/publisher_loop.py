"""The publisher loop, which publishes the views of cluster feeds when clusters change and periodically."""

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

STEP_S = 0.1  # time between steps, which update some clusters and check which releases are due
# Number of steps in which each cluster is updated once for changes that come with time, such as slow start and
# the end of an ejection. A single cluster is updated in each step.
SWEEP_STEPS = 10


class SnapshotPublisher(Protocol):
    """Serves what is published: a control server or a pool of workers."""

    def publish(self, source: PublishedSnapshots, urgent: Collection[str] = ()) -> None:
        """Serves `source` from now on; the assignments of the clusters in `urgent` are sent first."""

    def count(self) -> int:
        """Returns how many streams are open."""


@dataclass(slots=True)
class Cluster:
    """A cluster that the loop publishes.

    Attributes:
        requests_per_server: How many requests one server may have in flight, 0 for no limit. If it is None, the
            request limit follows the balancer's own concurrency limits.
        published: The cluster as last offered for release.
    """

    feed: ClusterFeed
    cross_zone_cost: float
    requests_per_server: float | None
    publisher: ClusterPublisher = field(default_factory=ClusterPublisher)
    published: PublishedCluster | None = None


class PublisherLoop:
    """Publishes the views of cluster feeds.

    Attributes:
        enabled: Whether the loop publishes. Before, it only prepares what is to be published.
    """

    def __init__(
        self,
        server: SnapshotPublisher,
        encoder: ResourceEncoder,
        interval_s: float,
        on_step: Callable[[], None],
    ) -> None:
        """`interval_s` is the minimum time between two releases of weights; `on_step` is called every `STEP_S`."""
        self.enabled = False
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
        """The feeds, by the cluster's name."""
        return {name: cluster.feed for name, cluster in self._clusters.items()}

    def add(self, feed: ClusterFeed, cross_zone_cost: float, requests_per_server: float | None) -> None:
        """Adds a cluster. If it replaces one of the same name, it takes over what was published and its state."""
        before = self._clusters.get(feed.name)
        cluster = Cluster(feed, cross_zone_cost, requests_per_server)
        if before is not None:
            cluster.publisher, cluster.published = before.publisher, before.published
        self._clusters[feed.name] = cluster
        self.mark_changed(feed.name)

    def remove(self, name: str) -> None:
        """Removes a cluster and closes its feed."""
        self._clusters.pop(name).feed.close()
        self._release.withdraw(name)
        self._wake.set()

    def mark_changed(self, name: str) -> None:
        """Marks a cluster as changed and wakes the loop, which updates it immediately."""
        self._changed.add(name)
        self._wake.set()

    def start(self) -> None:
        """Starts the loop."""
        self._next_step = asyncio.get_running_loop().time()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stops the loop and closes the feeds."""
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
                log_exception("control: publisher loop")
            try:
                async with asyncio.timeout(max(0.0, self._next_step - loop.time())):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _begin_step(self) -> None:
        """Marks the clusters that this step of the sweep updates, and calls `on_step`."""
        self._sweep_step = (self._sweep_step + 1) % SWEEP_STEPS
        single = len(self._clusters) == 1
        self._changed.update(
            name
            for index, name in enumerate(self._clusters)
            if single or index % SWEEP_STEPS == self._sweep_step
        )
        self._on_step()

    def _publish_changes(self) -> None:
        """Updates the clusters that have changed, and publishes what is due."""
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
