"""The format of discovery's lists and changes. No other module of this package parses them.

A list or change is `{"generation", "reset", "instances": [entry, ...]}`; an entry describes one server (PROTOCOL,
"Discovery"). Entries are passed between the parts of the program in discovery's format, because files also store them
in that format.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any, NamedTuple

INSTANCES = "instances"
GENERATION = "generation"
RESET = "reset"
INSTANCE_ID = "instanceId"
HOST_PORT = "hostPort"
LIFECYCLE = "lifecycle"
STARTED_AT_MS = "startedAtMs"
CELL = "cell"
ZONE = "zone"
MACHINE_TYPE = "machineType"
WEIGHT = "weight"
IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"

Entry = Mapping[str, Any]  # a list's entry for one server, in discovery's format


class Lifecycle(Enum):
    """The lifecycle of a server process, as discovery states it."""

    IN_SERVICE = "in service"
    # Also stands for a lifecycle that the protocol does not define, so that the server receives no new requests.
    DRAINING = "draining"
    GONE = "gone"


LIFECYCLES = {
    IN_SERVICE: Lifecycle.IN_SERVICE,
    TERMINATING: Lifecycle.DRAINING,
    TERMINATED: Lifecycle.GONE,
}


def entries_of(update: Any) -> list[Any]:
    """Returns the entries of a list or change. Raises ValueError if `update` is neither."""
    found = update.get(INSTANCES) if isinstance(update, dict) else None
    if not isinstance(found, list):
        raise ValueError(f"expected an object with a list in {INSTANCES!r}")
    return found


def generation_of(update: Any) -> Any:
    """Returns the version of a list or change; None if it has none, or if `update` is neither."""
    return update.get(GENERATION) if isinstance(update, dict) else None


def is_reset(update: Mapping[str, Any]) -> bool:
    """Whether the update is a full list, so that servers it does not name are gone."""
    return bool(update.get(RESET))


def full_list(entries: Iterable[Entry]) -> dict[str, Any]:
    """Builds a full list: servers without an entry are gone."""
    return {RESET: True, INSTANCES: list(entries)}


def change(entries: Iterable[Entry]) -> dict[str, Any]:
    """Builds a change: servers without an entry stay unchanged."""
    return {INSTANCES: list(entries)}


def server_name(entry: object) -> str | None:
    """Returns the name of the server that an entry describes; None if `entry` is not a valid entry."""
    if not isinstance(entry, dict) or INSTANCE_ID not in entry:
        return None
    return str(entry[INSTANCE_ID])


def start_time_ms(entry: Entry) -> int:
    """Returns when the process started, in Unix milliseconds; 0 if that is missing or invalid."""
    try:
        return int(entry.get(STARTED_AT_MS) or 0)
    except (TypeError, ValueError, OverflowError):
        return 0


def lifecycle_of(entry: Entry) -> Lifecycle:
    """Returns the entry's lifecycle; DRAINING if it is missing, invalid or unknown."""
    word = entry.get(LIFECYCLE)
    return LIFECYCLES.get(word, Lifecycle.DRAINING) if isinstance(word, str) else Lifecycle.DRAINING


class InServiceEntry(NamedTuple):
    """The fields of a server that is in service.

    Attributes:
        started_ms: When the process started, in Unix milliseconds; 0 for a process past its slow start.
        address: The server's address as host:port.
        cell: The number of the server's cell.
        zone: The name of the server's zone.
        machine_type: The name of the server's machine type.
        weight: The server's weight in the list; 1 if listed weights are not used.
    """

    started_ms: int
    address: str
    cell: int
    zone: str
    machine_type: str
    weight: float


def name_and_lifecycle(entry: Any) -> tuple[str, Lifecycle]:
    """Returns the server's name and lifecycle (DRAINING if unknown). Raises KeyError or TypeError if invalid."""
    return str(entry[INSTANCE_ID]), LIFECYCLES.get(entry[LIFECYCLE], Lifecycle.DRAINING)


def parse_in_service(entry: Any, *, uses_weight: bool) -> InServiceEntry:
    """Parses the fields of a server in service. Raises KeyError, TypeError or ValueError for an invalid field.

    Unless `uses_weight`, the weight is 1 and the entry's weight is ignored. One call parses all fields, because a list
    of the largest fleet has a thousand entries and a node has only a tenth of a core.
    """
    return InServiceEntry(
        int(entry.get(STARTED_AT_MS) or 0),
        str(entry[HOST_PORT]),
        int(entry.get(CELL) or 0),
        str(entry.get(ZONE, "")),
        str(entry.get(MACHINE_TYPE, "")),
        float(entry.get(WEIGHT, 1.0)) if uses_weight else 1.0,
    )
