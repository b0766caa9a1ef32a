"""What a control server serves now, and which changes of late were urgent."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Collection
from typing import NamedTuple, Protocol

from harecross.xds.cache import Snapshot

RECENT_S = 2.0  # for which an urgent change goes first on new streams


class SnapshotSource(Protocol):
    """What is published: `cache.Snapshot` for all zones alike, or `resources.PublishedSnapshots`."""

    def for_zone(self, zone: str) -> Snapshot:
        """The snapshot for proxies in a zone."""


class UrgentChange(NamedTuple):
    """Assignments with an urgent change."""

    at: float  # monotonic seconds
    names: frozenset[str]


class Publication:
    """The present content, and views of it for clients that may not see all."""

    def __init__(self) -> None:
        self.source: SnapshotSource | None = None
        self.ready = asyncio.Event()  # there is content
        self._restricted: dict[tuple[Snapshot, frozenset[str]], Snapshot] = {}
        self._recent: deque[UrgentChange] = deque()

    def replace(self, source: SnapshotSource, urgent: Collection[str]) -> None:
        """Takes new content; the assignments of `urgent` have an urgent change."""
        self.source = source
        self._restricted.clear()
        if urgent and self.ready.is_set():
            self._recent.append(UrgentChange(time.monotonic(), frozenset(urgent)))
        self.ready.set()

    def snapshot_for(self, zone: str, allowed: frozenset[str] | None) -> Snapshot:
        """What a proxy in a zone gets that may see these clusters; None stands for all."""
        assert self.source is not None
        whole = self.source.for_zone(zone)
        if allowed is None:
            return whole
        key = (whole, allowed)
        if key not in self._restricted:
            self._restricted[key] = whole.restricted_to(allowed)
        return self._restricted[key]

    def recently_urgent(self) -> set[str]:
        """Assignments with an urgent change of late: a proxy that reconnects gets them first."""
        while self._recent and self._recent[0].at < time.monotonic() - RECENT_S:
            self._recent.popleft()
        return set().union(*(change.names for change in self._recent))
