"""The scenario of a rehearsal: nodes, discovery's capacity, the trigger and the changes of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from harecross.discovery.subscription_schedule import WATCH_HEARTBEAT_TIMEOUT_S
from harecross.fleet.discovery import DiscoveryCapacity


class Trigger(StrEnum):
    """What happens to the watches. The values are used in the fleet file and on the command line."""

    SILENT = "silent"  # every watch stops sending heartbeats
    ENDED = "ended"  # every watch ends
    BROKEN = "broken"  # every watch ends in the middle of a message
    RESTART = "restart"  # nodes restart with the list that they last had
    DOWN = "down"  # every watch ends, and discovery refuses calls for a while


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a rehearsal. All times are in seconds. Raises ValueError for invalid values.

    Attributes:
        nodes: The number of nodes.
        seed: The seed of all random numbers.
        discovery: The capacity of discovery.
        max_poll_interval: The longest time between polls of a node without a watch.
        trigger: The kind of the trigger.
        trigger_at: The time of the trigger from the start of the rehearsal.
        backlog: The work in discovery's queue at the trigger.
        outage: For `Trigger.DOWN`: how long discovery refuses calls.
        malformed_fraction: The fraction of discovery's responses that are malformed.
        drain_delay: The time from the trigger until discovery lists the first drain.
        drain_interval: The interval at which discovery lists further drains; 0 means that there are none.
        restart_fraction: For `Trigger.RESTART`: the fraction of the nodes that restart.
        stopped_before: For `Trigger.RESTART`: how long these nodes were stopped before the trigger.
        earlier_drain: How long before the trigger discovery lists another drain; 0 means that there is none.
        local_agent: Whether an agent on each node's machine has the list and responds immediately.
        duration: The length of the rehearsal.
    """

    nodes: int = 40
    seed: int = 1
    discovery: DiscoveryCapacity = DiscoveryCapacity()
    max_poll_interval: float = 10.0
    trigger: Trigger = Trigger.SILENT
    trigger_at: float = 10.0
    backlog: float = 0.0
    outage: float = 5.0
    malformed_fraction: float = 0.0
    drain_delay: float = 0.5
    drain_interval: float = 0.0
    restart_fraction: float = 1.0
    stopped_before: float = 0.0
    earlier_drain: float = 0.0
    local_agent: bool = False
    duration: float = 120.0

    def __post_init__(self) -> None:
        if self.nodes < 1:
            raise ValueError(f"nodes: {self.nodes} is less than 1")
        if self.trigger not in list(Trigger):
            raise ValueError(f"trigger: {self.trigger!r} is not one of {', '.join(Trigger)}")
        if not 0 <= self.malformed_fraction < 1:
            raise ValueError(f"malformed_fraction: {self.malformed_fraction} is not in [0, 1)")
        if not 0 < self.restart_fraction <= 1:
            raise ValueError(f"restart_fraction: {self.restart_fraction} is not in (0, 1]")
        self._check_times()

    def _check_times(self) -> None:
        for name in ("max_poll_interval", "duration"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: {getattr(self, name)} is not greater than 0")
        for name in ("earlier_drain", "stopped_before"):
            if getattr(self, name) > self.trigger_at:
                raise ValueError(
                    f"{name}: {getattr(self, name)} is greater than trigger_at {self.trigger_at}"
                )
        for name in (
            "trigger_at", "backlog", "outage", "drain_delay", "drain_interval", "stopped_before", "earlier_drain",
        ):  # fmt: skip
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: {getattr(self, name)} is less than 0")

    @property
    def detection_s(self) -> float:
        """The shortest time from the trigger until a call can succeed."""
        if self.trigger is Trigger.SILENT:
            return WATCH_HEARTBEAT_TIMEOUT_S
        return self.outage if self.trigger is Trigger.DOWN else 0.0

    @property
    def earliest_recovery_s(self) -> float:
        """The shortest time from the trigger until all nodes can have received a response.

        It assumes that all nodes notice the trigger at the same moment. From the time at which a call can succeed,
        discovery processes the rest of the backlog and then one call of each node.
        """
        detection = self.detection_s
        return detection + max(0.0, self.backlog - detection) + self.nodes / self.discovery.calls_per_second
