"""Decides when a change is published: urgent ones at once, others together at a minimum interval.

Times are in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from harecross.xds.published import PublishedCluster, is_urgent


class Batch(NamedTuple):
    """What is published at one time.

    Attributes:
        clusters: All clusters with the content that is published from now on.
        urgent: The names of the clusters that have an urgent change.
    """

    clusters: Mapping[str, PublishedCluster]
    urgent: frozenset[str]


@dataclass(slots=True)
class ReleaseSchedule:
    """Collects the changes of clusters and releases them when they are due.

    Attributes:
        interval: The minimum time between two releases of changes that are not urgent.
        released: The content of each cluster that was last released.
        waiting: The content of each cluster that has not been released yet, None for a removed cluster.
        urgent: The clusters whose waiting change is urgent.
        released_at: When changes that are not urgent were last released.
    """

    interval: int
    released: dict[str, PublishedCluster] = field(default_factory=dict)
    waiting: dict[str, PublishedCluster | None] = field(default_factory=dict)
    urgent: set[str] = field(default_factory=set)
    released_at: int = 0

    def offer(self, name: str, cluster: PublishedCluster) -> None:
        """Stores a cluster's latest content, unless it equals the released one."""
        before = self.released.get(name)
        if before is not None and before.same_as(cluster):
            self.waiting.pop(name, None)
            self.urgent.discard(name)
            return
        if self._is_urgent(before, cluster):
            self.urgent.add(name)
        else:
            # If an urgent change was reverted before its release, the rest is not urgent.
            self.urgent.discard(name)
        self.waiting[name] = cluster

    @staticmethod
    def _is_urgent(before: PublishedCluster | None, after: PublishedCluster) -> bool:
        if before is None or before.endpoints is None or after.endpoints is None:
            return True
        return is_urgent(before.endpoints, after.endpoints)

    def withdraw(self, name: str) -> None:
        """Removes a cluster that is no longer configured. The removal is not urgent."""
        self.waiting[name] = None

    def take_due(self, now: int) -> Batch | None:
        """Returns what is due now, or None.

        Between two intervals, only the clusters with an urgent change are released. Weights change all the time and
        wait for the interval.
        """
        if not self.waiting:
            return None
        urgent = frozenset(self.urgent)
        if now >= self.released_at + self.interval:
            names = set(self.waiting)
            self.released_at = now
        elif urgent:
            names = set(urgent)
        else:
            return None
        for name in names:
            cluster = self.waiting.pop(name)
            if cluster is None:
                self.released.pop(name, None)
            else:
                self.released[name] = cluster
        self.urgent.clear()
        return Batch(dict(self.released), urgent)
