"""When a change goes out: what is urgent at once, the rest together at a least interval. Free of I/O.

Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from harecross.xds.published import PublishedCluster, is_urgent


class Batch(NamedTuple):
    """What goes out."""

    clusters: Mapping[str, PublishedCluster]  # all, as they are to be from now on
    urgent: frozenset[str]  # those with an urgent change


@dataclass(slots=True)
class ReleaseSchedule:
    """What has been released of each cluster, and what waits."""

    interval: int  # at least, between two releases of what can wait
    released: dict[str, PublishedCluster] = field(default_factory=dict)
    waiting: dict[str, PublishedCluster | None] = field(default_factory=dict)  # None: the cluster is removed
    urgent: set[str] = field(default_factory=set)
    released_at: int = 0  # the last release of what can wait

    def offer(self, name: str, cluster: PublishedCluster) -> None:
        """Takes a cluster's newest content; one that is as released does not wait."""
        before = self.released.get(name)
        if before is not None and before.same_as(cluster):
            self.waiting.pop(name, None)
            self.urgent.discard(name)
            return
        if self._is_urgent(before, cluster):
            self.urgent.add(name)
        else:
            # An urgent change that was taken back before its release leaves nothing urgent.
            self.urgent.discard(name)
        self.waiting[name] = cluster

    @staticmethod
    def _is_urgent(before: PublishedCluster | None, after: PublishedCluster) -> bool:
        if before is None or before.endpoints is None or after.endpoints is None:
            return True
        return is_urgent(before.endpoints, after.endpoints)

    def withdraw(self, name: str) -> None:
        """The cluster is no longer configured."""
        self.waiting[name] = None

    def take_due(self, now: int) -> Batch | None:
        """What is due now, if anything.

        An urgent change takes along only its own cluster; weights, which change all the time, wait for their interval.
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
