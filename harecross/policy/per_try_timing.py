"""When an attempt without a response is checked, and when it is lost. Times are in microseconds."""

from __future__ import annotations

# An attempt may be lost once it has taken the mean round-trip plus this many mean deviations.
TIMEOUT_DEVIATIONS = 4
# An attempt that has taken the mean round-trip plus this many mean deviations is lost even if its server has
# answered no later attempt.
LOST_DEVIATIONS = 8
# Each tier below adds this many mean deviations to the per-try timeout, so that lower tiers give up first.
DEVIATIONS_PER_TIER = 2


class PerTryTiming:
    """The per-try timeouts of a node with `lower_tiers` tiers below its own."""

    def __init__(self, lower_tiers: int) -> None:
        self.lower_tier_deviations = DEVIATIONS_PER_TIER * lower_tiers

    def first_check(self, mean: float, deviation: float, timeout: float) -> float | None:
        """Returns after which time an attempt may be lost; None if too little of its timeout is left."""
        full_wait = mean + (TIMEOUT_DEVIATIONS + self.lower_tier_deviations) * deviation
        wait = min(full_wait, timeout - mean - deviation)
        return wait if wait >= full_wait / 2 else None

    def is_overdue(self, waited: float, mean: float, deviation: float) -> bool:
        """Returns whether an attempt is lost even if its server has answered no later attempt."""
        return waited >= mean + (LOST_DEVIATIONS + self.lower_tier_deviations) * deviation
