"""What a node owes each tenant."""

from __future__ import annotations

from math import exp

MIN_BUCKET_TOKENS = (
    3.0  # calls a tenant may save up, or one second of its quota: arrivals cluster in thin shares
)
RATE_SMOOTHING_US = 5e6  # over so long a tenant's own rate is measured


class TenantQuotas:
    """What this node owes each tenant, from its part of the quotas.

    A tenant's tokens fill at its quota and overflow into a pool that any tenant may draw on: as long as all
    together keep within the sum of the quotas nobody is beyond a share.

    Failure prevented: a tenant that sends several times its share crowds out the others, long before a limit
    that no thin copy ever reaches. And a node that carries far more than its part of the traffic takes
    everyone to be beyond a share: quotas are scaled by how far the middle tenant exceeds its own.
    """

    __slots__ = ("quotas", "tokens", "counts", "pool", "scale", "at")

    def __init__(self, quotas: list[float]) -> None:
        self.quotas = quotas  # calls a second at this node; 0 = none
        self.tokens = [max(MIN_BUCKET_TOKENS, q) for q in quotas]
        self.counts = [0.0] * len(quotas)  # arrivals, fading over SHARE_TIME
        self.pool = 0.0
        self.scale = 1.0
        self.at = 0

    def refill(self, now: int) -> None:
        span, self.at = now - self.at, now
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

    def take(self, now: int, tenant: int) -> bool:
        """Whether the tenant's next request is within its share or what others leave unused."""
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
