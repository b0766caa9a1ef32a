"""What operators have taken out of service by hand: servers, and the node itself. Free of I/O."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any


@dataclass(frozen=True, slots=True)
class MaintenanceState:
    """The ids of the servers in maintenance, and whether the node is in standby. Immutable."""

    servers: frozenset[str] = field(default_factory=frozenset)
    standby: bool = False

    def with_server(self, server: str) -> MaintenanceState:
        """With the server in maintenance. Entering twice is the same as once: one exit ends it."""
        return replace(self, servers=self.servers | {server})

    def without_server(self, server: str) -> MaintenanceState:
        """With the server in use again."""
        return replace(self, servers=self.servers - {server})

    def with_standby(self, *, standby: bool) -> MaintenanceState:
        """With the node in standby, or active."""
        return replace(self, standby=standby)

    def to_json(self) -> bytes:
        """The content of the stored file, which `from_json` reads."""
        return json.dumps({"out": sorted(self.servers), "standby": self.standby}).encode()

    @classmethod
    def from_json(cls, text: bytes) -> MaintenanceState:
        """The state in a stored file. ValueError for anything that `to_json` does not write."""
        raw: Any = json.loads(text)
        if not isinstance(raw, dict):
            raise ValueError("not an object")
        servers, standby = raw.get("out"), raw.get("standby")
        if not isinstance(servers, list) or not all(isinstance(name, str) for name in servers):
            raise ValueError("`out` is no list of ids")
        if not isinstance(standby, bool):
            raise ValueError("`standby` is neither true nor false")
        return cls(frozenset(servers), standby)


def maintenance_changes(current: Iterable[str], wanted: Iterable[str]) -> tuple[list[str], list[str]]:
    """The ids that enter maintenance and the ids that leave it, each in order."""
    before, after = set(current), set(wanted)
    return sorted(after - before), sorted(before - after)
