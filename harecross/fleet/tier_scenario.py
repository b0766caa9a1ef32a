"""The scenario of a tier simulation: the servers, the nodes that call them, and an event."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class TierEvent(StrEnum):
    """What happens at the start. The values are used in the fleet file and on the command line."""

    CALM = "calm"  # nothing
    HERD = "herd"  # a fraction of the nodes starts at the same moment
    LOST = "lost"  # a fraction of the nodes is gone, and the other nodes get their clients
    REPLACED = "replaced"  # a fraction of the servers is replaced at the same moment by servers that have just started
    RETURNED = "returned"  # all servers of one zone start at the same moment


@dataclass(frozen=True, slots=True)
class TierScenario:
    """The parameters of a tier simulation. All times are in seconds. Raises ValueError for invalid values.

    Attributes:
        nodes: The number of nodes.
        servers: The number of servers.
        zones: The number of zones that the servers are spread over.
        requests_per_second: The mean traffic of a node.
        traffic_skew: The ratio of the highest to the lowest traffic of a node.
        service_time: The time that a server takes for a request.
        utilization: The fraction of the servers' total capacity that is in use before the event.
        event: The event at the start of the simulation.
        event_fraction: The fraction of the nodes (`HERD`, `LOST`) or servers (`REPLACED`) that the event affects.
        slow_start_window: The time from a server's start until it has its full capacity.
        slow_start_capacity: A server's capacity at its start, as a fraction of its full capacity.
        overload_multiple: A server that is warming up fails under this multiple of its current capacity.
        overload_duration: The time for which the overload must last until the server fails.
        duration: The length of the simulation, from the event on.
        seed: The seed of all random numbers.
    """

    nodes: int = 200
    servers: int = 120
    zones: int = 4
    requests_per_second: float = 20.0
    traffic_skew: float = 3.0
    service_time: float = 0.5
    utilization: float = 0.6
    event: TierEvent = TierEvent.CALM
    event_fraction: float = 0.7
    slow_start_window: float = 5.0
    slow_start_capacity: float = 0.4
    overload_multiple: float = 3.0
    overload_duration: float = 2.0
    duration: float = 6.0
    seed: int = 1

    def __post_init__(self) -> None:
        if self.event not in list(TierEvent):
            raise ValueError(f"event: {self.event!r} is not one of {', '.join(TierEvent)}")
        for name in ("nodes", "servers", "zones"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: {getattr(self, name)} is less than 1")
        for name in (
            "requests_per_second", "service_time", "utilization", "slow_start_window", "overload_multiple",
            "overload_duration", "duration",
        ):  # fmt: skip
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: {getattr(self, name)} is not greater than 0")
        if self.traffic_skew < 1:
            raise ValueError(f"traffic_skew: {self.traffic_skew} is less than 1")
        for name in ("event_fraction", "slow_start_capacity"):
            if not 0 < getattr(self, name) <= 1:
                raise ValueError(f"{name}: {getattr(self, name)} is not in (0, 1]")
