"""Averages over the traffic of a node: round-trips, failures and load reports."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Settings
from harecross.policy.records import RETENTION_US, Server

# These are the weights of the newest sample in the averages of a server, of a machine type (with a higher
# weight for its first samples) and of the whole subset.
SERVER_SMOOTHING = 0.1
TYPE_SMOOTHING = 0.05
SUBSET_SMOOTHING = 0.02
REPORT_SMOOTHING = 0.5  # weight of the newest load report of a server, which is already an average
FAILURE_RATE_PRIOR = 2  # number of successes that are assumed before the first outcome of a server
RETENTION_REQUESTS = 2  # failures of a server are remembered for the time of this many requests per member
MIN_SLOWNESS, MAX_SLOWNESS = 0.25, 8.0  # bounds of a slowness, relative to the mean round-trip
MAX_LOAD_COST = 1e9  # load reports with a cost of this or more are ignored
# By utilization, a request costs 1 / UTILIZATION_RESERVE at a fully busy server and
# 1 / (1 + UTILIZATION_RESERVE) at an idle one.
UTILIZATION_RESERVE = 0.5


class TrafficStats:
    """Averages over the traffic, with which the members are compared.

    Attributes:
        mean_rtt: The mean round-trip by class, half of the latency allowance before the first sample.
        deviation: The mean deviation of the round-trips by class.
        mean_cost: The mean expected time of one more request according to load reports.
        outcome_interval: The mean time between two outcomes.
        report_columns: The index in a load report of each field that is used.
    """

    def __init__(self, settings: Settings, objective_fraction: float) -> None:
        classes, fields = settings.classes, settings.report_fields
        self.mean_rtt = [c.latency_objective * objective_fraction / 2 for c in classes]
        self.deviation = [rtt / 2 for rtt in self.mean_rtt]
        self.failure_rate = 0.0
        self.mean_cost = 0.0
        self.outcome_interval = 0.0
        self.last_outcome_at = 0
        self.report_columns = {f: i for i, f in enumerate(fields) if f in ("latency_ms", "util", "queue")}

    def record_rtt(self, request_class: int, latency: int) -> None:
        """Adds a round-trip to the averages of its class."""
        error = latency - self.mean_rtt[request_class]
        self.deviation[request_class] += SUBSET_SMOOTHING * (abs(error) - self.deviation[request_class])
        self.mean_rtt[request_class] += SUBSET_SMOOTHING * error

    def record_slowness(self, server: Server, request_class: int, latency: int) -> None:
        """Adds a round-trip, relative to its class's mean, to the averages of server and machine type."""
        ratio = min(latency / self.mean_rtt[request_class], MAX_SLOWNESS)
        machine_type = server.machine_type
        machine_type.samples += 1
        machine_type.slowness += max(TYPE_SMOOTHING, 1 / (machine_type.samples + 1)) * (
            ratio - machine_type.slowness
        )
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
        """Adds several outcomes that were observed elsewhere. For the subset they count as one sample."""
        count = good + bad
        server.outcomes += count
        weight = max(1 - (1 - SERVER_SMOOTHING) ** count, count / (server.outcomes + FAILURE_RATE_PRIOR))
        server.failure_rate += weight * (bad / count - server.failure_rate)
        self.failure_rate += SUBSET_SMOOTHING * (bad / count - self.failure_rate)
        server.consecutive_failures = 0 if good else server.consecutive_failures + bad

    def record_load_report(self, server: Server, report: Sequence[float]) -> None:
        """Adds the expected time of one more request at a server, which its load report implies.

        The report may contain the server's own latency, its utilization and its queue length.
        """
        columns, count = self.report_columns, len(report)
        has_latency = 0 <= columns.get("latency_ms", -1) < count
        cost = max(report[columns["latency_ms"]], 1e-3) if has_latency else server.slowness
        if 0 <= columns.get("util", -1) < count:
            cost /= 1 + UTILIZATION_RESERVE - min(max(report[columns["util"]], 0.0), 1.0)
        if 0 <= columns.get("queue", -1) < count:
            cost *= 1 + max(report[columns["queue"]], 0.0)
        if not 0 < cost < MAX_LOAD_COST:  # this is also true for NaN
            return
        machine_type = server.machine_type
        machine_type.reports += 1
        machine_type.cost += max(TYPE_SMOOTHING, 1 / machine_type.reports) * (cost - machine_type.cost)
        server.cost += (REPORT_SMOOTHING if server.cost else 1.0) * (cost - server.cost)
        self.mean_cost += (SUBSET_SMOOTHING if self.mean_cost else 1.0) * (cost - self.mean_cost)

    def retention(self, members: int) -> float:
        """Returns how long failures are remembered. With little traffic, members are used less often."""
        return max(RETENTION_US, RETENTION_REQUESTS * self.outcome_interval * members)
