"""Token buckets for the quotas of tenants."""

from support import SEC

from harecross.policy.tenant_quotas import TenantQuotas


def served_fractions(seconds: float, rates: list[float], quotas: list[float]) -> list[float]:
    """Returns the fraction of each tenant's evenly spaced requests that the node admits."""
    buckets = TenantQuotas(quotas)
    requested, admitted = [0] * len(rates), [0] * len(rates)
    due = sorted((n / r, i) for i, r in enumerate(rates) for n in range(1, int(r * seconds) + 1))
    for at, tenant in due:
        requested[tenant] += 1
        admitted[tenant] += buckets.take_token(int(at * SEC), tenant)
    return [a / r for a, r in zip(admitted, requested, strict=True)]


def test_a_tenant_far_above_a_small_quota_does_not_limit_the_others():
    excessive, *others = served_fractions(100, [3.3, 0.4, 0.4, 0.4], [1.1, 0.4, 0.4, 0.4])
    assert 0.3 < excessive < 0.45
    assert min(others) == 1.0


def test_unused_quota_goes_to_other_tenants():
    assert served_fractions(100, [1.5, 0.1, 0.1], [1.0, 0.5, 0.5]) == [1.0, 1.0, 1.0]


def test_a_node_with_much_traffic_scales_all_quotas():
    excessive, *others = served_fractions(100, [40, 5, 5, 5], [1.1, 0.4, 0.4, 0.4])
    assert min(others) > 0.85
    assert excessive < 0.5
