"""The lifetime of a cached SRV name, simulated over hours of virtual time."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

pytest.importorskip("dns")

from harecross.dns.lifetime import CachedName, CacheLimits, CacheStatus, CacheView
from harecross.dns.srv import SrvAnswer, SrvEndpoint

ENDPOINT = SrvEndpoint(0, "a", "10.0.0.1", 80, 1)
LIMITS = CacheLimits(max_stale=3600, empty_confirmation=30)


class NameHistory:
    """One cached name over time, with periods of answers with endpoints, empty answers and failures.

    The cached name's state is checked after each refresh.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.name = CachedName(LIMITS, self.rng, 0.0)
        self.now = 0.0
        self.mode = "good"
        self.mode_until = 0.0
        self.answered = False  # whether there has been an answer with endpoints
        self.usable = False  # whether there has been an answer with endpoints since the set was last empty
        # Time of the first empty answer since the last one with endpoints.
        self.empty_since: float | None = None
        self.statuses: Counter[CacheStatus] = Counter()

    def step(self) -> None:
        """Simulates one refresh and checks the result."""
        self._choose_mode()
        self.now = max(self.now, self.name.refresh_at)
        assert self.name.due(self.now)
        self.name.refresh_started()
        assert not self.name.due(self.now)
        before = self.name.view(self.now)
        self._report_result()
        view = self.name.view(self.now)
        self.statuses[view.status] += 1
        self._check(before, view)
        if view.status == CacheStatus.EMPTY:
            self.usable = False

    def _choose_mode(self) -> None:
        if self.now >= self.mode_until:
            self.mode = self.rng.choice(["good", "good", "fail", "empty"])
            self.mode_until = self.now + self.rng.choice([5, 40, 600, 7200])

    def _report_result(self) -> None:
        if self.mode == "good":
            self.name.receive_answer(self.now, SrvAnswer((ENDPOINT,), self.rng.choice([0, 5, 2**31 - 1])))
            self.empty_since, self.answered, self.usable = None, True, True
            remaining_s = self.name.view(self.now).remaining_s
            assert LIMITS.min_ttl - 1e-6 <= remaining_s <= LIMITS.max_ttl + 1e-6
        elif self.mode == "empty":
            self.name.receive_answer(self.now, SrvAnswer((), 5.0, "NXDOMAIN"))
            self.empty_since = self.now if self.empty_since is None else self.empty_since
        else:
            self.name.receive_failure(self.now, "no answer")

    def _check(self, before: CacheView, view: CacheView) -> None:
        confirmation_s = LIMITS.empty_confirmation
        refresh_at = self.name.refresh_at
        empty_s = self.now - self.empty_since if self.empty_since is not None else 0.0
        assert self.now < refresh_at <= self.now + LIMITS.max_ttl, (
            "the next refresh is due at once, or too late"
        )
        if before.endpoints and not view.endpoints:
            expired = self.answered and before.remaining_s < -LIMITS.max_stale + 31
            confirmed = self.empty_since is not None and empty_s >= confirmation_s
            assert (self.mode == "empty" and confirmed) or expired, (self.now, self.mode, before, view)
        if self.mode == "empty" and self.usable and empty_s > confirmation_s:
            assert not view.endpoints, "a confirmed empty answer was not accepted"
        if self.mode == "empty" and view.status == CacheStatus.UNCONFIRMED_EMPTY:
            assert self.empty_since is not None
            assert refresh_at <= self.empty_since + confirmation_s + 1e-6, (
                "no refresh is due when the empty answer can be confirmed"
            )


def test_a_set_is_never_emptied_by_failures_or_by_unconfirmed_empty_answers():
    """Guards against losing all endpoints when a DNS server fails or, after a restart, answers NXDOMAIN for a while."""
    statuses: Counter[CacheStatus] = Counter()
    for seed in range(150):
        history = NameHistory(seed)
        while history.now < 6 * 3600:
            history.step()
        statuses += history.statuses
    assert set(statuses) >= set(CacheStatus) - {CacheStatus.UNKNOWN}, statuses


def test_the_queries_of_a_thousand_nodes_are_spread_over_time():
    names = [CachedName(CacheLimits(), Random(i), 0.0) for i in range(1000)]
    queries: Counter[int] = Counter()
    for now in range(0, 1200):
        for name in names:
            if name.due(now):
                name.refresh_started()
                name.receive_answer(float(now), SrvAnswer((ENDPOINT,), 60.0))
                queries[now] += 1
    later = [queries[second] for second in range(600, 1200)]
    assert max(later) < 2.5 * sum(later) / len(later)
