"""Servers that one discovery said leave, and another has not heard of: free of I/O.

On the way to another address (SIGHUP) the first list there may be older than what the old watch has told: versions of
two addresses cannot be compared. A server told as leaving does not come back by it, for what leaves does not stay: it
starts again, with a later `startedAtMs`, or it is gone (PROTOCOL, "Discovery").
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

KEPT_MOST = 4096  # names, the oldest go first: a release of the largest fleets twice over


def instances(update: Any) -> list[dict[str, Any]]:
    """The entries that can be read at all."""
    found = update.get("instances") if isinstance(update, dict) else None
    return [e for e in found if isinstance(e, dict)] if isinstance(found, list) else []


def process(item: dict[str, Any]) -> tuple[str, str]:
    """A server's process: its id, and when it started."""
    return str(item.get("instanceId")), str(item.get("startedAtMs") or 0)


class Leaving:
    """The processes last told as leaving."""

    __slots__ = ("processes",)

    def __init__(self) -> None:
        self.processes: dict[tuple[str, str], None] = {}

    def told(self, update: Any) -> None:
        """A list or change that is used."""
        for item in instances(update):
            if item.get("lifecycle") == "in_service":
                self.processes.pop(process(item), None)
            else:
                self.processes[process(item)] = None
        while len(self.processes) > KEPT_MOST:
            del self.processes[next(iter(self.processes))]

    def doubted(self, update: Any) -> tuple[Any, list[dict[str, Any]]]:
        """Another discovery's first list, with what leaves marked so, and the entries that did not say it."""
        doubted = [
            e
            for e in instances(update)
            if e.get("lifecycle") == "in_service" and process(e) in self.processes
        ]
        if not doubted:
            return update, []
        marked = [{**e, "lifecycle": "terminating"} if e in doubted else e for e in update["instances"]]
        return {**update, "instances": marked}, doubted

    def still(self, items: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
        """Those of which nothing else has been told since."""
        return [e for e in items if process(e) in self.processes]
