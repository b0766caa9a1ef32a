"""The endpoint lists that a control service keeps on disk over a restart."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from harecross.platform.log import log_line
from harecross.xds.feed import ClusterFeed

MIN_INTERVAL_S = 1.0  # between two writes


class CachedLists:
    """The file; nothing is remembered without a path."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._changed = False
        self._written_at = 0.0

    def mark_changed(self) -> None:
        """A list has changed since the last write."""
        self._changed = True

    def load(self) -> dict[str, Any]:
        """The lists of an earlier run, by cluster; a file that cannot be read is logged and left out."""
        if not self._path or not Path(self._path).exists():
            return {}
        try:
            lists = json.loads(Path(self._path).read_text())
        except (OSError, ValueError) as error:
            log_line(f"control: {self._path}: remembered lists not read: {error}")
            return {}
        return lists if isinstance(lists, dict) else {}

    def save_if_due(self, feeds: Mapping[str, ClusterFeed]) -> None:
        """Writes the lists if they have changed, at intervals."""
        if asyncio.get_running_loop().time() >= self._written_at + MIN_INTERVAL_S:
            self.save(feeds)

    def save(self, feeds: Mapping[str, ClusterFeed]) -> None:
        """Writes the lists if they have changed: a new file replaces the old one, so that a kill leaves a whole one."""
        if not self._path or not self._changed:
            return
        self._changed, self._written_at = False, asyncio.get_running_loop().time()
        lists = {
            name: feed.listed_endpoints.snapshot()
            for name, feed in feeds.items()
            if feed.listed_endpoints.is_publishable()
        }
        try:
            temporary = Path(f"{self._path}.new")
            temporary.write_text(json.dumps(lists))
            os.replace(temporary, self._path)
        except OSError as error:
            log_line(f"control: {self._path}: lists not remembered: {error.strerror}")
