"""Tenants' parts of one node's service."""

from __future__ import annotations

from math import exp

MIN_BUCKET_TOKENS = 3.0  # a bucket holds this many tokens, or those of one second: arrivals cluster
RATE_SMOOTHING_US = 5e6  # tenants' own rates are measured over this time


class TenantQuotas:
    """Token buckets that fill at each tenant's quota and overflow into a pool that any tenant may use.

    Nobody exceeds a quota while all together keep within the sum. A node with more than its part of the
    traffic scales all quotas by how far the median tenant exceeds its own.
    """

    __slots__ = ("counts", "pool", "quotas", "refilled_at", "scale", "tokens")

    def __init__(self, quotas: list[float]) -> None:
        self.quotas = quotas  # requests a second at this node; 0: none
        self.tokens = [max(MIN_BUCKET_TOKENS, quota) for quota in quotas]
        self.counts = [0.0] * len(quotas)  # arrivals, fading over RATE_SMOOTHING_US
        self.pool = 0.0
        self.scale = 1.0
        self.refilled_at = 0

    def refill(self, now: int) -> None:
        """Adds the tokens of the time since the last refill."""
        span, self.refilled_at = now - self.refilled_at, now
        kept = exp(-span / RATE_SMOOTHING_US)
        ratios = []
        for tenant, quota in enumerate(self.quotas):
            self.counts[tenant] *= kept
            if quota <= 0:
                continue
            ratios.append(self.counts[tenant] / (quota * RATE_SMOOTHING_US / 1e6))
            rate = quota * self.scale
            tokens = self.tokens[tenant] + rate * span / 1e6
            self.tokens[tenant] = min(tokens, max(MIN_BUCKET_TOKENS, rate))
            self.pool += tokens - self.tokens[tenant]
        if len(ratios) > 1:
            self.scale = max(1.0, sorted(ratios)[(len(ratios) - 1) // 2])
        self.pool = min(self.pool, max(MIN_BUCKET_TOKENS, sum(self.quotas) * self.scale))

    def take_token(self, now: int, tenant: int) -> bool:
        """Whether the tenant's next request is within its quota or what others leave unused."""
        if tenant >= len(self.quotas) or self.quotas[tenant] <= 0:
            return True
        self.refill(now)
        self.counts[tenant] += 1
        if self.tokens[tenant] >= 1:
            self.tokens[tenant] -= 1
        elif self.pool >= 1:
            self.pool -= 1
        else:
            return False
        return True
