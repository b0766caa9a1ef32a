"""What a control server serves now, and which assignments had an urgent change recently."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Collection
from typing import NamedTuple, Protocol

from harecross.xds.cache import Snapshot

RECENT_S = 2.0  # how long an assignment with an urgent change is sent first on new streams


class SnapshotSource(Protocol):
    """Published content: a `cache.Snapshot`, the same for all zones, or `resources.PublishedSnapshots`."""

    def for_zone(self, zone: str) -> Snapshot:
        """Returns the snapshot for proxies in a zone."""


class UrgentChange(NamedTuple):
    """An urgent change of some assignments.

    Attributes:
        at: When the change was published, in seconds of the monotonic clock.
        names: The names of the changed assignments.
    """

    at: float
    names: frozenset[str]


class Publication:
    """The published content, and restricted snapshots of it for clients that may not see all clusters.

    Attributes:
        source: The content, None before the first `replace`.
        ready: Set once there is content.
    """

    def __init__(self) -> None:
        self.source: SnapshotSource | None = None
        self.ready = asyncio.Event()
        self._restricted: dict[tuple[Snapshot, frozenset[str]], Snapshot] = {}
        self._recent: deque[UrgentChange] = deque()

    def replace(self, source: SnapshotSource, urgent: Collection[str]) -> None:
        """Replaces the content. `urgent` names the assignments that have an urgent change."""
        self.source = source
        self._restricted.clear()
        if urgent and self.ready.is_set():
            self._recent.append(UrgentChange(time.monotonic(), frozenset(urgent)))
        self.ready.set()

    def snapshot_for(self, zone: str, allowed: frozenset[str] | None) -> Snapshot:
        """Returns the snapshot for a proxy in a zone.

        `allowed` names the clusters that the proxy may see; None means all clusters.
        """
        assert self.source is not None
        snapshot = self.source.for_zone(zone)
        if allowed is None:
            return snapshot
        key = (snapshot, allowed)
        if key not in self._restricted:
            self._restricted[key] = snapshot.restricted_to(allowed)
        return self._restricted[key]

    def recently_urgent(self) -> set[str]:
        """Returns the assignments with a recent urgent change, which a proxy that reconnects gets first."""
        while self._recent and self._recent[0].at < time.monotonic() - RECENT_S:
            self._recent.popleft()
        return set().union(*(change.names for change in self._recent))
