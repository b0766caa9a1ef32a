"""Zone preference: which fraction of the requests stays in the node's own zone."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Settings
from harecross.policy import fleet_limits
from harecross.policy.records import Server
from harecross.policy.traffic_stats import SERVER_SMOOTHING, SUBSET_SMOOTHING

# The local zone is preferred only if leaving it costs at least this fraction of a request's weight.
MIN_CROSS_ZONE_COST = 0.01
CROSS_ZONE_COST_FACTOR = 10  # assumes that a request that is twice as slow loses a tenth of its weight
CROSS_ZONE_GAIN = 0.1  # one window moves the cross-zone fraction by this part of the imbalance
MAX_CROSS_ZONE_STEP = 0.04  # one window moves the cross-zone fraction by this at most


class ZonePreference:
    """The cross-zone fraction, which grows while local servers are slower than remote ones.

    Attributes:
        max_latency_ratio: Local servers may be slower than remote ones by this factor.
        fraction: The fraction of the requests for which the local zone is not preferred.
        local_ratio: The mean latency of local servers, relative to the latency target.
        remote_ratio: The mean latency of servers in other zones, relative to the latency target.
        best_local_ratio: The lowest recent `local_ratio`.
    """

    def __init__(self, settings: Settings) -> None:
        self.zone = settings.zone
        self.nodes = settings.instance_count
        self.enabled = settings.cross_zone_cost >= MIN_CROSS_ZONE_COST
        self.max_latency_ratio = 1 + CROSS_ZONE_COST_FACTOR * settings.cross_zone_cost
        self.fraction = self.min_fraction = 0.0 if self.enabled else 1.0
        self.local_ratio = self.remote_ratio = 0.5
        self.best_local_ratio = 0.0

    def resize(self, members: Sequence[Server]) -> None:
        """Updates the smallest cross-zone fraction after a change of the subset."""
        if self.enabled and members:
            local = sum(member.zone == self.zone for member in members)
            self.min_fraction = fleet_limits.min_cross_zone_fraction(local, len(members), self.nodes)
            self.fraction = max(self.fraction, self.min_fraction)

    def record_latency(self, zone: int, ratio: float) -> None:
        """Adds the latency of a response from this zone, relative to the latency target."""
        if zone == self.zone:
            self.local_ratio += SUBSET_SMOOTHING * (ratio - self.local_ratio)
        else:
            self.remote_ratio += SUBSET_SMOOTHING * (ratio - self.remote_ratio)

    def on_window_end(self) -> None:
        """Moves the fraction.

        Remote zones that are hardly used yield no samples and are assumed to be as fast as the local zone at
        its best.
        """
        if self.local_ratio < self.best_local_ratio or self.best_local_ratio == 0:
            self.best_local_ratio = self.local_ratio
        if self.fraction < 0.05:
            self.remote_ratio += SERVER_SMOOTHING * (self.best_local_ratio - self.remote_ratio)
        self.best_local_ratio *= 1.001
        step = CROSS_ZONE_GAIN * (self.local_ratio / max(self.remote_ratio, 1e-9) - self.max_latency_ratio)
        self.fraction += min(MAX_CROSS_ZONE_STEP, max(-MAX_CROSS_ZONE_STEP, step))
        self.fraction = min(1.0, max(self.min_fraction, self.fraction))
