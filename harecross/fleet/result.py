"""The figures of one rehearsal."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import ceil, inf

from harecross.fleet.scenario import Scenario


def quantile(sorted_values: list[float], fraction: float) -> float:
    """The least value that is not below that fraction of the values."""
    return sorted_values[ceil(fraction * len(sorted_values)) - 1]


@dataclass(slots=True)
class RehearsalResult:
    """What a rehearsal measured. Times in seconds after the trigger; inf for what did not happen."""

    scenario: Scenario
    recovery_times: list[float]  # when each node was subscribed again, in order
    first_drain_delays: list[
        float
    ]  # from the first drain in the list to each node that received it, in order
    calls: Counter[int] = field(default_factory=Counter)  # to discovery, by second
    answers: Counter[int] = field(default_factory=Counter)  # full lists, by second
    backlog_s: dict[int, float] = field(default_factory=dict)  # of discovery, by second
    late_drains: int = 0  # drains past the staleness limit that a node had not received, summed over nodes
    stale_send_s: float = 0.0  # time in which nodes might send by a list past the limit, summed over nodes
    start_wait_s: float = 0.0  # time in which restarted nodes might not send yet, summed over nodes
    ready_times: list[float] = field(
        default_factory=list
    )  # from a node's restart until it might send, in order
    wasted_calls: int = 0  # processed by discovery after they had failed
    rejected_calls: int = 0

    def recovery_time(self, fraction: float) -> float:
        """When that fraction of the nodes was subscribed again."""
        return quantile(self.recovery_times, fraction)

    def ready_time(self, fraction: float) -> float:
        """How long after its restart that fraction of the restarted nodes might send."""
        return quantile(self.ready_times, fraction)

    @property
    def recovered(self) -> bool:
        """Whether every node was subscribed again by the end."""
        return self.recovery_times[-1] < inf
