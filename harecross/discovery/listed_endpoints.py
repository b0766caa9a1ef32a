"""What discovery says of each server by name, its drains included, and a memory of it across restarts. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

ENDED_MOST = 8192  # servers remembered as gone: a release of the largest clusters twice over


@dataclass(slots=True)
class ListedEndpoints:
    """One cluster's lines, as they came; a server that drains stays until the list leaves it out."""

    lines: dict[str, dict[str, Any]] = field(default_factory=dict)
    whole: bool = False  # a whole list has come, not only a remembered one
    remembered: bool = False
    ended: dict[str, None] = field(
        default_factory=dict
    )  # said to be gone and not listed since, the oldest first

    def apply(self, update: Mapping[str, Any], full: bool, cached: bool) -> None:
        """A list or change that has been found readable; lines that are not are left out."""
        told: dict[str, dict[str, Any]] = {}
        for item in update["instances"]:
            if isinstance(item, dict) and isinstance(item.get("instanceId"), str) and "lifecycle" in item:
                told[item["instanceId"]] = item
        if full:
            self.lines = {}
        for name, item in told.items():
            self.ended.pop(name, None)
            if item["lifecycle"] == "terminated":
                self.lines.pop(name, None)
                self.ended[name] = None
            elif isinstance(item.get("hostPort"), str) or name in self.lines:
                self.lines[name] = {**self.lines.get(name, {}), **item}
        while len(self.ended) > ENDED_MOST:
            del self.ended[next(iter(self.ended))]
        self.whole = self.whole or (full and not cached)
        self.remembered = self.remembered or cached

    def known(self) -> bool:
        """Whether there is anything to publish. Failure prevented: a service that has just started tells of none."""
        return self.whole or (self.remembered and bool(self.lines))

    def memory(self) -> dict[str, Any]:
        """A list to begin with after a restart."""
        return {"reset": True, "instances": list(self.lines.values())}
