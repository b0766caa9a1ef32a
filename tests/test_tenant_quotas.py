"""Quotas of tenants by themselves."""

from support import SEC

from harecross.policy.tenant_quotas import TenantQuotas


def served_fractions(seconds: float, rates: list[float], quotas: list[float]) -> list[float]:
    """The part of each tenant's evenly spaced requests that its node takes."""
    buckets = TenantQuotas(quotas)
    asked, taken = [0] * len(rates), [0] * len(rates)
    due = sorted((n / r, i) for i, r in enumerate(rates) for n in range(1, int(r * seconds) + 1))
    for at, tenant in due:
        asked[tenant] += 1
        taken[tenant] += buckets.take_token(int(at * SEC), tenant)
    return [t / a for t, a in zip(taken, asked, strict=True)]


def test_a_tenant_far_above_a_small_quota_does_not_crowd_out_the_others():
    flood, *others = served_fractions(100, [3.3, 0.4, 0.4, 0.4], [1.1, 0.4, 0.4, 0.4])
    assert 0.3 < flood < 0.45
    assert min(others) == 1.0


def test_unused_quota_goes_to_other_tenants():
    assert served_fractions(100, [1.5, 0.1, 0.1], [1.0, 0.5, 0.5]) == [1.0, 1.0, 1.0]


def test_a_node_with_much_traffic_scales_all_quotas():
    flood, *others = served_fractions(100, [40, 5, 5, 5], [1.1, 0.4, 0.4, 0.4])
    assert min(others) > 0.85
    assert flood < 0.5
