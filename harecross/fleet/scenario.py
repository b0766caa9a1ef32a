"""What a rehearsal plays: the nodes, the capacity of discovery, the trigger and the changes of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from harecross.discovery.subscription_schedule import WATCH_HEARTBEAT_TIMEOUT_S
from harecross.fleet.discovery import DiscoveryCapacity


class Trigger(StrEnum):
    """What happens to the watches. The values are keys of the file and of the command's options."""

    SILENT = "silent"  # every watch stops sending heartbeats
    ENDED = "ended"  # every watch ends
    BROKEN = "broken"  # every watch breaks off within a message
    RESTART = "restart"  # nodes restart from the list that they last had
    DOWN = "down"  # every watch ends, and discovery refuses calls for a while


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is rehearsed. Times in seconds from the start. ValueError for values that do not go together."""

    nodes: int = 40
    seed: int = 1
    discovery: DiscoveryCapacity = DiscoveryCapacity()
    max_poll_interval: float = 10.0  # of a node without a watch
    trigger: Trigger = Trigger.SILENT
    trigger_at: float = 10.0
    backlog: float = 0.0  # seconds of work in discovery's queue at the trigger
    outage: float = 5.0  # Trigger.DOWN: how long discovery refuses calls
    malformed_fraction: float = 0.0  # of the answers
    drain_delay: float = 0.5  # from the trigger to the first drain in the list
    drain_interval: float = 0.0  # between further drains; 0: no further ones
    restart_fraction: float = 1.0  # Trigger.RESTART: of the nodes
    stopped_before: float = 0.0  # Trigger.RESTART: how long the nodes had been stopped
    earlier_drain: float = 0.0  # how long before the trigger another drain is listed; 0: none
    local_agent: bool = False  # an agent on each node's machine has the list, and answers at once
    duration: float = 120.0

    def __post_init__(self) -> None:
        if self.nodes < 1:
            raise ValueError(f"nodes: {self.nodes} is less than 1")
        if self.trigger not in list(Trigger):
            raise ValueError(f"trigger: {self.trigger!r} is none of {', '.join(Trigger)}")
        if not 0 <= self.malformed_fraction < 1:
            raise ValueError(f"malformed_fraction: {self.malformed_fraction} is not from 0 to below 1")
        if not 0 < self.restart_fraction <= 1:
            raise ValueError(f"restart_fraction: {self.restart_fraction} is not above 0 and at most 1")
        self._check_times()

    def _check_times(self) -> None:
        for name in ("max_poll_interval", "duration"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: {getattr(self, name)} is not above 0")
        for name in ("earlier_drain", "stopped_before"):
            if getattr(self, name) > self.trigger_at:
                raise ValueError(f"{name}: {getattr(self, name)} is longer than trigger_at {self.trigger_at}")
        for name in (
            "trigger_at", "backlog", "outage", "drain_delay", "drain_interval", "stopped_before", "earlier_drain",
        ):  # fmt: skip
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: {getattr(self, name)} is less than 0")

    @property
    def detection_s(self) -> float:
        """How long after the trigger a call can succeed at the earliest."""
        if self.trigger is Trigger.SILENT:
            return WATCH_HEARTBEAT_TIMEOUT_S
        return self.outage if self.trigger is Trigger.DOWN else 0.0

    @property
    def earliest_recovery_s(self) -> float:
        """How long after the trigger all nodes can have been answered at the earliest, where all notice it at once.

        That is one call of each node, behind the backlog, from the moment at which a call can succeed.
        """
        detection = self.detection_s
        return detection + max(0.0, self.backlog - detection) + self.nodes / self.discovery.calls_per_second
