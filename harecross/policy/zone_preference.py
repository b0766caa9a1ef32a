"""How many requests keep to the node's zone."""

from __future__ import annotations

from collections.abc import Sequence

from harecross.interface import Settings
from harecross.policy import fleet_limits
from harecross.policy.records import Server
from harecross.policy.traffic_stats import SERVER_SMOOTHING, SUBSET_SMOOTHING

MIN_CROSS_ZONE_COST = 0.01  # zones are kept to only where leaving costs this part of a request's weight
CROSS_ZONE_COST_FACTOR = 10  # a request twice as slow is taken to lose a tenth of its weight
CROSS_ZONE_GAIN = 0.1  # one window moves the fraction by this part of the imbalance...
MAX_CROSS_ZONE_STEP = 0.04  # ...and at most by this


class ZonePreference:
    """The cross-zone fraction: it grows while local servers are slower than remote ones."""

    def __init__(self, settings: Settings) -> None:
        self.zone = settings.zone
        self.nodes = settings.instance_count
        self.enabled = settings.cross_zone_cost >= MIN_CROSS_ZONE_COST
        self.patience = 1 + CROSS_ZONE_COST_FACTOR * settings.cross_zone_cost
        self.fraction = self.min_fraction = 0.0 if self.enabled else 1.0
        self.local_ratio = self.remote_ratio = 0.5  # mean latency over the latency target
        self.best_local_ratio = 0.0

    def resize(self, members: Sequence[Server]) -> None:
        """The subset has changed: what exceeds the zone's part of all members leaves it."""
        if self.enabled and members:
            local = sum(member.zone == self.zone for member in members)
            self.min_fraction = fleet_limits.min_cross_zone_fraction(local, len(members), self.nodes)
            self.fraction = max(self.fraction, self.min_fraction)

    def record_latency(self, zone: int, ratio: float) -> None:
        """Adds a latency, relative to its latency target, of a server in that zone."""
        if zone == self.zone:
            self.local_ratio += SUBSET_SMOOTHING * (ratio - self.local_ratio)
        else:
            self.remote_ratio += SUBSET_SMOOTHING * (ratio - self.remote_ratio)

    def on_window_end(self) -> None:
        """Moves the fraction. Unused, remote zones are taken to do as well as this one at its best."""
        if self.local_ratio < self.best_local_ratio or self.best_local_ratio == 0:
            self.best_local_ratio = self.local_ratio
        if self.fraction < 0.05:
            self.remote_ratio += SERVER_SMOOTHING * (self.best_local_ratio - self.remote_ratio)
        self.best_local_ratio *= 1.001
        step = CROSS_ZONE_GAIN * (self.local_ratio / max(self.remote_ratio, 1e-9) - self.patience)
        self.fraction += min(MAX_CROSS_ZONE_STEP, max(-MAX_CROSS_ZONE_STEP, step))
        self.fraction = min(1.0, max(self.min_fraction, self.fraction))
