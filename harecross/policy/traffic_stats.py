"""Averages over a node's traffic: round-trips, failures, load reports."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Settings
from harecross.policy.records import RETENTION_US, Server

SERVER_SMOOTHING = 0.1  # weight of the newest sample in a server's averages
TYPE_SMOOTHING = 0.05  # in those of a machine type, once it has a few samples
SUBSET_SMOOTHING = 0.02  # in those over the whole subset
REPORT_SMOOTHING = 0.5  # of the newest load report, which is an average already
FAILURE_RATE_PRIOR = 2  # successes assumed before a server's first outcome
RETENTION_REQUESTS = 2  # a server's failures are remembered for this many requests to each member
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 8.0  # bounds of one round-trip in mean round-trips
MAX_LOAD_COST = 1e9  # load reports above it are not believed
UTILIZATION_RESERVE = 0.5  # a request costs 1 / this at a fully busy server, 1 / (1 + this) at an idle one


class TrafficStats:
    """Averages that members are compared with."""

    def __init__(self, settings: Settings, objective_fraction: float) -> None:
        classes, fields = settings.classes, settings.report_fields
        self.mean_rtt = [c.latency_objective * objective_fraction / 2 for c in classes]  # until measured
        self.deviation = [rtt / 2 for rtt in self.mean_rtt]  # mean deviation of round-trips
        self.failure_rate = 0.0
        self.mean_cost = 0.0  # of one more request, by load reports
        self.outcome_interval = 0.0  # mean time between outcomes
        self.last_outcome_at = 0
        self.columns = {f: i for i, f in enumerate(fields) if f in ("latency_ms", "util", "queue")}

    def record_rtt(self, request_class: int, latency: int) -> None:
        """Adds a round-trip to the averages of its class."""
        off = latency - self.mean_rtt[request_class]
        self.deviation[request_class] += SUBSET_SMOOTHING * (abs(off) - self.deviation[request_class])
        self.mean_rtt[request_class] += SUBSET_SMOOTHING * off

    def record_slowness(self, server: Server, request_class: int, latency: int) -> None:
        """Adds a round-trip, relative to its class, to the averages of the server and its machine type."""
        ratio = min(latency / self.mean_rtt[request_class], MAX_SLOWNESS)
        machines = server.machine_type
        machines.samples += 1
        machines.slowness += max(TYPE_SMOOTHING, 1 / (machines.samples + 1)) * (ratio - machines.slowness)
        server.slowness = max(MIN_SLOWNESS, server.slowness + SERVER_SMOOTHING * (ratio - server.slowness))

    def record_outcome(self, now: int, server: Server, failed: bool) -> None:
        """Adds one outcome to the failure rates and to the mean interval of outcomes."""
        server.outcomes += 1
        interval = min(now - self.last_outcome_at, RETENTION_US)
        self.outcome_interval += TYPE_SMOOTHING * (interval - self.outcome_interval)
        self.last_outcome_at = now
        weight = max(SERVER_SMOOTHING, 1 / (server.outcomes + FAILURE_RATE_PRIOR))
        server.failure_rate += weight * (failed - server.failure_rate)
        self.failure_rate += SUBSET_SMOOTHING * (failed - self.failure_rate)

    def record_outcomes(self, server: Server, good: int, bad: int) -> None:
        """Adds several outcomes that others saw. For the subset they count as one sample."""
        count = good + bad
        server.outcomes += count
        weight = max(1 - (1 - SERVER_SMOOTHING) ** count, count / (server.outcomes + FAILURE_RATE_PRIOR))
        server.failure_rate += weight * (bad / count - server.failure_rate)
        self.failure_rate += SUBSET_SMOOTHING * (bad / count - self.failure_rate)
        server.failures_in_row = 0 if good else server.failures_in_row + bad

    def record_load_report(self, server: Server, report: Sequence[float]) -> None:
        """Adds the time of one more request at the server, by its own latency, utilization and queue."""
        columns, count = self.columns, len(report)
        known = 0 <= columns.get("latency_ms", -1) < count
        cost = max(report[columns["latency_ms"]], 1e-3) if known else server.slowness
        if 0 <= columns.get("util", -1) < count:
            cost /= 1 + UTILIZATION_RESERVE - min(max(report[columns["util"]], 0.0), 1.0)
        if 0 <= columns.get("queue", -1) < count:
            cost *= 1 + max(report[columns["queue"]], 0.0)
        if not 0 < cost < MAX_LOAD_COST:  # not a number, too
            return
        machines = server.machine_type
        machines.reports += 1
        machines.cost += max(TYPE_SMOOTHING, 1 / machines.reports) * (cost - machines.cost)
        server.cost += (REPORT_SMOOTHING if server.cost else 1.0) * (cost - server.cost)
        self.mean_cost += (SUBSET_SMOOTHING if self.mean_cost else 1.0) * (cost - self.mean_cost)

    def retention(self, members: int) -> float:
        """How long failures are remembered: a node with little traffic meets each member seldom."""
        return max(RETENTION_US, RETENTION_REQUESTS * self.outcome_interval * members)
