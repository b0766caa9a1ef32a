"""Stores the endpoint lists of a control service in a file, so that they survive a restart."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from harecross.platform.log import log_line
from harecross.xds.feed import ClusterFeed

MIN_WRITE_INTERVAL_S = 1.0  # minimum time between two periodic writes of the file


class CachedLists:
    """The file of cached endpoint lists. With an empty path, nothing is stored."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._changed = False
        self._written_at = 0.0

    def mark_changed(self) -> None:
        """Records that a list has changed since the last write."""
        self._changed = True

    def load(self) -> dict[str, Any]:
        """Returns the lists of an earlier run, by cluster. Logs and ignores a file that cannot be read."""
        if not self._path or not Path(self._path).exists():
            return {}
        try:
            lists = json.loads(Path(self._path).read_text())
        except (OSError, ValueError) as error:
            log_line(f"control: {self._path}: cached endpoint lists not read: {error}")
            return {}
        return lists if isinstance(lists, dict) else {}

    def save_if_due(self, feeds: Mapping[str, ClusterFeed]) -> None:
        """Writes the lists if they have changed and the last write is long enough ago."""
        if asyncio.get_running_loop().time() >= self._written_at + MIN_WRITE_INTERVAL_S:
            self.save(feeds)

    def save(self, feeds: Mapping[str, ClusterFeed]) -> None:
        """Writes the lists if they have changed.

        A complete new file replaces the old one, so that a process that is killed leaves no partial file.
        """
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
            log_line(f"control: {self._path}: endpoint lists not cached: {error.strerror}")
