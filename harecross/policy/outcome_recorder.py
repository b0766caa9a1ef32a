"""Records how each attempt ended for the concurrency limit, the averages and the outlier detection."""

from __future__ import annotations

from dataclasses import dataclass

from harecross.interface import Outcome
from harecross.policy.outlier_detection import UNANSWERED, OutlierDetector
from harecross.policy.records import Request, Server
from harecross.policy.subset import Subset
from harecross.policy.traffic_stats import SUBSET_SMOOTHING, TrafficStats

# A member that is this many times slower than the mean adds no sample to the concurrency limit.
OUTLIER_SLOWNESS = 2.0
# Failures that tell nothing about the load of the subset.
NO_LOAD_SIGNAL = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET)
# Outcomes of attempts that the node itself ended or never sent.
ENDED_BY_NODE = (Outcome.CANCELLED, Outcome.NOT_SENT)


@dataclass(slots=True, eq=False)
class OutcomeRecorder:
    """Passes outcomes on to the concurrency limit, the averages and the outlier detection.

    Attributes:
        overtaken: The number of timeouts at servers that had answered a request that was sent later.
    """

    subset: Subset
    traffic: TrafficStats
    outliers: OutlierDetector
    overtaken: int = 0

    def record(self, now: int, server: Server, request: Request | None, outcome: Outcome, rtt: int) -> None:
        """Records an outcome; `request` is None if it is no longer open."""
        controller = self.subset.controller
        server.last_progress_at = now
        if outcome in ENDED_BY_NODE:
            return
        server.last_outcome_at = now
        if len(self.subset.zones) > 1:
            self.outliers.record_zone_outcome(now, server, outcome)
        ok, timed_out, overtaken = outcome == Outcome.OK, outcome == Outcome.TIMEOUT, False
        if request is not None:
            overtaken = timed_out and server.newest_answered_sent_at > request.sent_at
            if outcome not in UNANSWERED:
                server.newest_answered_sent_at = max(server.newest_answered_sent_at, request.sent_at)
            # A timeout that a later request has overtaken is a lost request, which is no measure of latency.
            # Any other timeout may be a slow request.
            if ok or (timed_out and not overtaken):
                self._record_latency(now, server, request.request_class, rtt)
        self.overtaken += overtaken
        self.traffic.record_outcome(now, server, not ok)
        if not (server.ejected or overtaken or outcome in NO_LOAD_SIGNAL):
            controller.lost_fraction += SUBSET_SMOOTHING * ((not ok) - controller.lost_fraction)
            if request is not None and not (ok or timed_out) and controller.failures_mean_overload():
                controller.record_failure(now, request.request_class)
        self.outliers.record_outcome(now, server, ok=ok, timed_out=timed_out)

    def _record_latency(self, now: int, server: Server, request_class: int, rtt: int) -> None:
        """Adds a latency to the averages and, unless the server is an outlier, to the limit's samples."""
        controller, traffic = self.subset.controller, self.traffic
        if server.slowness < OUTLIER_SLOWNESS and not server.ejected:
            late = rtt > controller.target[request_class]
            controller.late_fraction += SUBSET_SMOOTHING * (late - controller.late_fraction)
            controller.record_sample(now, request_class, rtt)
        traffic.record_slowness(server, request_class, rtt)
        self.subset.zone_preference.record_latency(server.zone, rtt / controller.target[request_class])
        traffic.record_rtt(request_class, rtt)
