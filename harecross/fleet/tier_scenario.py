"""What a model of one tier plays: its servers, the nodes that call them, and an event."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class TierEvent(StrEnum):
    """What happens at the start. The values are keys of the file and of the command's options."""

    CALM = "calm"  # nothing
    HERD = "herd"  # a part of the nodes starts at once
    LOST = "lost"  # a part of the nodes is gone, and their clients come to the others
    REPLACED = "replaced"  # a part of the servers starts at once
    RETURNED = "returned"  # the servers of a zone start at once


@dataclass(frozen=True, slots=True)
class TierScenario:
    """One tier's servers and the nodes that call them. Times in seconds. ValueError for values that cannot be."""

    nodes: int = 200
    servers: int = 120
    zones: int = 4
    requests_per_second: float = 20.0  # of a node, the mean
    traffic_skew: float = 3.0  # the most traffic of a node, as a multiple of the least
    service_time: float = 0.5  # of a request
    utilization: float = 0.6  # of all servers' capacity, before the event
    event: TierEvent = TierEvent.CALM
    event_fraction: float = 0.7  # herd, lost: of the nodes; replaced: of the servers
    slow_start_window: float = 5.0  # from a server's start until its full capacity
    slow_start_capacity: float = 0.4  # a server's capacity at its start, as a fraction of the full one
    overload_multiple: float = (
        3.0  # of its present capacity; a warming server that gets this many requests...
    )
    overload_duration: float = 2.0  # ...for so long fails
    duration: float = 6.0  # from the event on
    seed: int = 1

    def __post_init__(self) -> None:
        if self.event not in list(TierEvent):
            raise ValueError(f"event: {self.event!r} is none of {', '.join(TierEvent)}")
        for name in ("nodes", "servers", "zones"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: {getattr(self, name)} is less than 1")
        for name in (
            "requests_per_second", "service_time", "utilization", "slow_start_window", "overload_multiple",
            "overload_duration", "duration",
        ):  # fmt: skip
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: {getattr(self, name)} is not above 0")
        if self.traffic_skew < 1:
            raise ValueError(f"traffic_skew: {self.traffic_skew} is less than 1")
        for name in ("event_fraction", "slow_start_capacity"):
            if not 0 < getattr(self, name) <= 1:
                raise ValueError(f"{name}: {getattr(self, name)} is not above 0 and at most 1")
