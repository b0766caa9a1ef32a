"""Discovery's entry for each server, including draining ones, kept across restarts."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from harecross.discovery import wire_format

MAX_TERMINATED = 8192  # enough for two releases of the largest clusters


@dataclass(slots=True)
class ListedEndpoints:
    """The entries of one cluster, as discovery sent them. A draining server is kept until a full list omits it.

    Attributes:
        entries: The entry of each server, by the server's name.
        has_full_list: Whether this process has received a full list; a list cached from before does not count.
        has_cached_list: Whether a list cached from before this process started has been loaded.
        terminated: Names of servers that are gone and have not been listed since, the oldest first.
    """

    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    has_full_list: bool = False
    has_cached_list: bool = False
    terminated: dict[str, None] = field(default_factory=dict)

    def apply(self, update: Mapping[str, Any], *, full: bool, cached: bool) -> None:
        """Applies a list or change whose format has been checked; ignores invalid entries."""
        stated = {
            entry[wire_format.INSTANCE_ID]: entry
            for entry in update[wire_format.INSTANCES]
            if is_readable(entry)
        }
        if full:
            self.entries = {}
        for name, entry in stated.items():
            self.use_entry(name, entry)
        while len(self.terminated) > MAX_TERMINATED:
            del self.terminated[next(iter(self.terminated))]
        self.has_full_list = self.has_full_list or (full and not cached)
        self.has_cached_list = self.has_cached_list or cached

    def use_entry(self, name: str, entry: dict[str, Any]) -> None:
        """Applies one entry; its fields override those of the server's previous entry."""
        self.terminated.pop(name, None)
        if entry[wire_format.LIFECYCLE] == wire_format.TERMINATED:
            self.entries.pop(name, None)
            self.terminated[name] = None
        elif isinstance(entry.get(wire_format.HOST_PORT), str) or name in self.entries:
            self.entries[name] = {**self.entries.get(name, {}), **entry}

    def is_publishable(self) -> bool:
        """Whether there is a list to publish. A service that has just started must not publish an empty one."""
        return self.has_full_list or (self.has_cached_list and bool(self.entries))

    def snapshot(self) -> dict[str, Any]:
        """Returns the full list to load after a restart, in discovery's format."""
        return wire_format.full_list(self.entries.values())


def is_readable(entry: Any) -> bool:
    """Whether an entry holds a server's name and a lifecycle."""
    if not isinstance(entry, dict) or wire_format.LIFECYCLE not in entry:
        return False
    return isinstance(entry.get(wire_format.INSTANCE_ID), str)
