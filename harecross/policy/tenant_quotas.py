"""The quotas of the tenants at one node."""

from __future__ import annotations

from math import exp

# A bucket holds the tokens of one second, but at least this many, because arrivals come in bursts.
MIN_BUCKET_TOKENS = 3.0
RATE_SMOOTHING_US = 5e6  # time constant by which the arrival rate of a tenant is measured


class TenantQuotas:
    """Token buckets that fill at each tenant's quota and overflow into a pool that any tenant may use.

    No tenant is limited by its quota while all tenants together stay within the sum of the quotas. A node
    that gets more than its part of the traffic scales all quotas by how far the median tenant exceeds its
    quota.

    Attributes:
        quotas: The quotas at this node in requests per second; 0 means no quota.
        arrivals: The numbers of requests that arrived, which decay over RATE_SMOOTHING_US.
    """

    __slots__ = ("arrivals", "pool", "quotas", "refilled_at", "scale", "tokens")

    def __init__(self, quotas: list[float]) -> None:
        self.quotas = quotas
        self.tokens = [max(MIN_BUCKET_TOKENS, quota) for quota in quotas]
        self.arrivals = [0.0] * len(quotas)
        self.pool = 0.0
        self.scale = 1.0
        self.refilled_at = 0

    def refill(self, now: int) -> None:
        """Adds the tokens for the time since the last refill."""
        span, self.refilled_at = now - self.refilled_at, now
        decay = exp(-span / RATE_SMOOTHING_US)
        ratios = []
        for tenant, quota in enumerate(self.quotas):
            self.arrivals[tenant] *= decay
            if quota <= 0:
                continue
            ratios.append(self.arrivals[tenant] / (quota * RATE_SMOOTHING_US / 1e6))
            rate = quota * self.scale
            tokens = self.tokens[tenant] + rate * span / 1e6
            self.tokens[tenant] = min(tokens, max(MIN_BUCKET_TOKENS, rate))
            self.pool += tokens - self.tokens[tenant]
        if len(ratios) > 1:
            self.scale = max(1.0, sorted(ratios)[(len(ratios) - 1) // 2])
        self.pool = min(self.pool, max(MIN_BUCKET_TOKENS, sum(self.quotas) * self.scale))

    def take_token(self, now: int, tenant: int) -> bool:
        """Returns whether the tenant's next request is within its quota or the unused quota of others."""
        if tenant >= len(self.quotas) or self.quotas[tenant] <= 0:
            return True
        self.refill(now)
        self.arrivals[tenant] += 1
        if self.tokens[tenant] >= 1:
            self.tokens[tenant] -= 1
        elif self.pool >= 1:
            self.pool -= 1
        else:
            return False
        return True
