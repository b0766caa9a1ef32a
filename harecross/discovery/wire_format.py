"""The words of discovery's lists and changes, and the only place where this package reads them.

A list or change is `{"generation", "reset", "instances": [entry, ...]}`; an entry describes one server (PROTOCOL,
"Discovery"). Entries stay in discovery's form between the parts of the program, since files keep them in that form.
The functions that say so raise KeyError, TypeError or ValueError for an entry that cannot be used.
"""

from __future__ import annotations

from collections.abc import Mapping
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

Entry = Mapping[str, Any]  # what a list says of one server, in discovery's form


class Lifecycle(Enum):
    """What discovery states on a server process."""

    IN_SERVICE = "in service"
    DRAINING = "draining"  # also for a state that the protocol does not name: the server gets nothing new
    GONE = "gone"


LIFECYCLES = {
    IN_SERVICE: Lifecycle.IN_SERVICE,
    TERMINATING: Lifecycle.DRAINING,
    TERMINATED: Lifecycle.GONE,
}


# ---- lists and changes ----------------------------------------------------------------------------------


def entries_of(update: Any) -> list[Any]:
    """The entries of a list or change. ValueError for what is neither."""
    found = update.get(INSTANCES) if isinstance(update, dict) else None
    if not isinstance(found, list):
        raise ValueError("no list of servers")
    return found


def generation_of(update: Any) -> Any:
    """The version of a list or change; None where it has none, or is neither."""
    return update.get(GENERATION) if isinstance(update, dict) else None


def is_reset(update: Mapping[str, Any]) -> bool:
    """Whether the update names all servers, so that others are gone."""
    return bool(update.get(RESET))


# ---- entries that may be anything -----------------------------------------------------------------------


def server_name(entry: object) -> str | None:
    """The server that an entry describes; None for what is no entry."""
    if not isinstance(entry, dict) or INSTANCE_ID not in entry:
        return None
    return str(entry[INSTANCE_ID])


def start_time_ms(entry: Entry) -> int:
    """When the process started, in Unix milliseconds; 0 where that is missing or cannot be read."""
    try:
        return int(entry.get(STARTED_AT_MS) or 0)
    except (TypeError, ValueError, OverflowError):
        return 0


def lifecycle_of(entry: Entry) -> Lifecycle:
    """What the entry states; DRAINING where that is missing or cannot be read."""
    word = entry.get(LIFECYCLE)
    return LIFECYCLES.get(word, Lifecycle.DRAINING) if isinstance(word, str) else Lifecycle.DRAINING


# ---- entries that are to be used ------------------------------------------------------------------------
# One call parses all fields: a list of the largest fleet has a thousand entries, and a node a tenth of a core.


class InServiceEntry(NamedTuple):
    """The fields of a server that is in service."""

    started_ms: int  # when its process started, Unix milliseconds; 0 for long ago
    address: str  # host:port
    cell: int
    zone: str
    machine_type: str
    weight: float


def name_and_lifecycle(entry: Any) -> tuple[str, Lifecycle]:
    """The server's name and what is stated on it, DRAINING for an unknown state. KeyError or TypeError without them."""
    return str(entry[INSTANCE_ID]), LIFECYCLES.get(entry[LIFECYCLE], Lifecycle.DRAINING)


def parse_in_service(entry: Any, *, uses_weight: bool) -> InServiceEntry:
    """The fields of a server in service. KeyError, TypeError or ValueError where one cannot be used.

    The weight is 1 unless `uses_weight`; others are not read.
    """
    return InServiceEntry(
        int(entry.get(STARTED_AT_MS) or 0),
        str(entry[HOST_PORT]),
        int(entry.get(CELL) or 0),
        str(entry.get(ZONE, "")),
        str(entry.get(MACHINE_TYPE, "")),
        float(entry.get(WEIGHT, 1.0)) if uses_weight else 1.0,
    )
