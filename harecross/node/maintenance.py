"""What operators hold out of service by hand: servers, and the node itself. Free of I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any


@dataclass(frozen=True, slots=True)
class MaintenanceState:
    """One state of what is held out; a change makes a new one. `out` holds servers' ids."""

    out: frozenset[str] = field(default_factory=frozenset)
    standby: bool = False

    def enter(self, server: str) -> MaintenanceState:
        """With the server out. Taken out twice it is out once: one call puts it back."""
        return replace(self, out=self.out | {server})

    def exit(self, server: str) -> MaintenanceState:
        """With the server back."""
        return replace(self, out=self.out - {server})

    def stand(self, by: bool) -> MaintenanceState:
        """With the node standing by, or active."""
        return replace(self, standby=by)

    def to_json(self) -> bytes:
        """What `from_json` reads."""
        return json.dumps({"out": sorted(self.out), "standby": self.standby}).encode()


def from_json(text: bytes) -> MaintenanceState:
    """The state in a file. ValueError for anything else than what `to_json` writes."""
    raw: Any = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    out, standby = raw.get("out"), raw.get("standby")
    if not isinstance(out, list) or not all(isinstance(name, str) for name in out):
        raise ValueError("`out` is no list of ids")
    if not isinstance(standby, bool):
        raise ValueError("`standby` is neither true nor false")
    return MaintenanceState(frozenset(out), standby)


def difference(old: Iterable[str], new: Iterable[str]) -> tuple[list[str], list[str]]:
    """Ids to take out and ids to put back, each in order."""
    before, after = set(old), set(new)
    return sorted(after - before), sorted(before - after)
