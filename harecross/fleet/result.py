"""The result of one rehearsal."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import ceil, inf

from harecross.fleet.scenario import Scenario


def quantile(sorted_values: list[float], fraction: float) -> float:
    """Returns the smallest value that is at least as large as the given fraction of the values."""
    return sorted_values[ceil(fraction * len(sorted_values)) - 1]


@dataclass(slots=True)
class RehearsalResult:
    """The measurements of a rehearsal. All times are in seconds; inf stands for something that did not happen.

    Attributes:
        scenario: The simulated scenario.
        recovery_times: The sorted times from the trigger until each node was subscribed again.
        first_drain_delays: The sorted delays from the listing of the first drain until each node received it.
        calls: The number of calls to discovery in each second after the trigger.
        answers: The number of full lists that nodes received in each second after the trigger.
        backlog_s: The work in discovery's queue in each second after the trigger.
        late_drains: The number of drains received after the staleness limit or never, summed over the nodes.
        stale_send_s: How long restarted nodes could send without a change of which they count as notified, summed over
            the nodes.
        start_wait_s: How long restarted nodes could not send yet, summed over the nodes.
        ready_times: The sorted times from each node's restart until it could send.
        wasted_calls: The number of calls that discovery processed after they had failed.
        rejected_calls: The number of calls that discovery rejected immediately.
    """

    scenario: Scenario
    recovery_times: list[float]
    first_drain_delays: list[float]
    calls: Counter[int] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)
    backlog_s: dict[int, float] = field(default_factory=dict)
    late_drains: int = 0
    stale_send_s: float = 0.0
    start_wait_s: float = 0.0
    ready_times: list[float] = field(default_factory=list)
    wasted_calls: int = 0
    rejected_calls: int = 0

    def recovery_time(self, fraction: float) -> float:
        """Returns the time from the trigger until the given fraction of the nodes was subscribed again."""
        return quantile(self.recovery_times, fraction)

    def ready_time(self, fraction: float) -> float:
        """Returns the time from its restart within which the given fraction of the restarted nodes could send."""
        return quantile(self.ready_times, fraction)

    @property
    def recovered(self) -> bool:
        """Whether every node was subscribed again by the end of the rehearsal."""
        return self.recovery_times[-1] < inf
