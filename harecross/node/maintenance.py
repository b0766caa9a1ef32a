"""The maintenance state: servers that operators have taken out of service, and standby of the node."""

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
        """Returns the state with the server in maintenance. A server that enters twice leaves with one exit."""
        return replace(self, servers=self.servers | {server})

    def without_server(self, server: str) -> MaintenanceState:
        """Returns the state with the server in use again."""
        return replace(self, servers=self.servers - {server})

    def with_standby(self, *, standby: bool) -> MaintenanceState:
        """Returns the state with the node in standby, or active."""
        return replace(self, standby=standby)

    def to_json(self) -> bytes:
        """Returns the content of the stored file, which `from_json` reads."""
        return json.dumps({"out": sorted(self.servers), "standby": self.standby}).encode()

    @classmethod
    def from_json(cls, text: bytes) -> MaintenanceState:
        """Returns the state in a stored file. Raises ValueError for anything that `to_json` does not write."""
        raw: Any = json.loads(text)
        if not isinstance(raw, dict):
            raise ValueError("the content is not a JSON object")
        servers, standby = raw.get("out"), raw.get("standby")
        if not isinstance(servers, list) or not all(isinstance(name, str) for name in servers):
            raise ValueError("`out` is not a list of server ids")
        if not isinstance(standby, bool):
            raise ValueError("`standby` is not a boolean")
        return cls(frozenset(servers), standby)


def maintenance_changes(current: Iterable[str], wanted: Iterable[str]) -> tuple[list[str], list[str]]:
    """Returns the sorted ids that enter maintenance, and the sorted ids that leave it."""
    before, after = set(current), set(wanted)
    return sorted(after - before), sorted(before - after)
