"""What discovery lists on each server, draining ones included, and its memory across restarts. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from harecross.discovery import wire_format

MAX_TERMINATED = 8192  # two releases of the largest clusters


@dataclass(slots=True)
class ListedEndpoints:
    """One cluster's entries, as discovery sent them. A server that drains stays until a full list omits it."""

    entries: dict[str, dict[str, Any]] = field(default_factory=dict)  # by the server's name
    has_full_list: bool = False  # of this process, not only a remembered one
    has_cached_list: bool = False
    terminated: dict[str, None] = field(default_factory=dict)  # gone and not listed since, the oldest first

    def apply(self, update: Mapping[str, Any], *, full: bool, cached: bool) -> None:
        """Uses a list or change that has been found readable; unreadable entries are ignored."""
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
        """Uses one entry; its fields replace those of the entry before."""
        self.terminated.pop(name, None)
        if entry[wire_format.LIFECYCLE] == wire_format.TERMINATED:
            self.entries.pop(name, None)
            self.terminated[name] = None
        elif isinstance(entry.get(wire_format.HOST_PORT), str) or name in self.entries:
            self.entries[name] = {**self.entries.get(name, {}), **entry}

    def is_publishable(self) -> bool:
        """Whether there is a list: a service that has just started must not publish an empty one."""
        return self.has_full_list or (self.has_cached_list and bool(self.entries))

    def snapshot(self) -> dict[str, Any]:
        """The list to begin with after a restart, in discovery's form."""
        return wire_format.full_list(self.entries.values())


def is_readable(entry: Any) -> bool:
    """Whether an entry has a server's name and a state."""
    if not isinstance(entry, dict) or wire_format.LIFECYCLE not in entry:
        return False
    return isinstance(entry.get(wire_format.INSTANCE_ID), str)
