"""The cached endpoints of one SRV name: expiry, refresh, and stale or empty answers (RFC 2308, 8767).

Times are in seconds of a monotonic clock, so that adjustments of the system clock have no effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from harecross.dns.srv import SrvAnswer, SrvEndpoint

REFRESH_FRACTION = (0.75, 0.95)  # range of the random fraction of its TTL after which a set is refreshed
# The backoff doubles with each consecutive failure; the actual delay is drawn between half of it and all of it.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 1.0, 30.0
# After an empty answer, the name is queried again at least this many times before the answer is accepted.
EMPTY_CONFIRMATIONS = 4


@dataclass(frozen=True, slots=True)
class CacheLimits:
    """Bounds on the lifetime of cached answers, in seconds.

    Attributes:
        min_ttl: Smallest TTL of a set with endpoints; a TTL of 0 would cause one query for each request.
        max_ttl: Largest TTL of a set with endpoints.
        negative_min_ttl: Smallest TTL of an empty answer.
        negative_max_ttl: Largest TTL of an empty answer.
        max_stale: How long the last set with endpoints is used after its expiry while lookups fail.
        empty_confirmation: How long an empty answer must be repeated before it replaces a set with endpoints.
    """

    min_ttl: float = 1.0
    max_ttl: float = 3600.0
    negative_min_ttl: float = 1.0
    negative_max_ttl: float = 300.0
    max_stale: float = 86_400.0
    empty_confirmation: float = 30.0


class CacheStatus(StrEnum):
    """The status of a cached set. Operators see the values.

    Attributes:
        UNKNOWN: There has been no answer yet.
        FRESH: The set has not expired.
        UNCONFIRMED_EMPTY: The newest answer is empty but not confirmed yet, so the previous set is used.
        STALE: The set has expired, but is used because it could not be refreshed.
        EXPIRED: The set has been stale for longer than `CacheLimits.max_stale`, and is not used.
        EMPTY: The name has no endpoints.
    """

    UNKNOWN = "unknown"
    FRESH = "fresh"
    UNCONFIRMED_EMPTY = "doubted"
    STALE = "stale"
    EXPIRED = "expired"
    EMPTY = "empty"


@dataclass(frozen=True, slots=True)
class CacheView:
    """The state of a cached name at one moment.

    Attributes:
        status: Status of the cached set.
        endpoints: The endpoints to use.
        age_s: Time since the last accepted answer.
        remaining_s: Time until the set expires; negative after its expiry.
        problem: Why the newest refresh brought no usable set; empty if there is no problem.
        notes: Remarks on the answer for operators.
    """

    status: CacheStatus
    endpoints: tuple[SrvEndpoint, ...]
    age_s: float
    remaining_s: float
    problem: str
    notes: tuple[str, ...]


class CachedName:
    """The cache entry of one SRV name.

    The caller resolves the name when it is `due`, calls `refresh_started` first, and reports the result.

    Attributes:
        limits: Bounds on the lifetime of answers.
        rng: Source of the random parts of refresh times.
        answer: The last accepted answer.
        answered_at: Time of the last accepted answer.
        expires_at: Time at which the answer's TTL ends.
        refresh_at: Time of the next refresh.
        refreshing: Whether a refresh is in progress.
        failures: Number of consecutive failed refreshes.
        problem: Why the newest refresh brought no usable set; empty if there is no problem.
        empty_since: Time of the first unconfirmed empty answer; None if there is none.
    """

    def __init__(self, limits: CacheLimits, rng: Random, now: float) -> None:
        self.limits = limits
        self.rng = rng
        self.answer: SrvAnswer | None = None
        self.answered_at = now
        self.expires_at = now
        self.refresh_at = now
        self.refreshing = False
        self.failures = 0
        self.problem = ""
        self.empty_since: float | None = None

    def due(self, now: float) -> bool:
        """Returns whether to refresh the name now; False while a refresh is in progress."""
        return not self.refreshing and now >= self.refresh_at

    def refresh_started(self) -> None:
        """Records that a refresh has started."""
        self.refreshing = True

    def receive_answer(self, now: float, answer: SrvAnswer) -> None:
        """Processes the answer to a refresh, with or without endpoints."""
        self.refreshing = False
        if not answer.unresolved_targets and not answer.endpoints:
            self.failures = 0
            self._receive_empty(now, answer)
            return
        completed = self._with_known_addresses(answer)
        if completed.endpoints:
            self.failures = 0
            ttl = max(self.limits.min_ttl, min(completed.ttl, self.limits.max_ttl))
            self._store(now, completed, ttl, "")
        else:
            # If no target's address could be looked up, the set is unknown rather than empty.
            self.receive_failure(now, "; ".join(answer.notes))

    def _receive_empty(self, now: float, answer: SrvAnswer) -> None:
        limits = self.limits
        ttl = max(limits.negative_min_ttl, min(answer.ttl, limits.negative_max_ttl))
        usable = (
            self.answer is not None and self.answer.endpoints and now < self.expires_at + limits.max_stale
        )
        if usable and not self._confirm_empty(now, ttl, answer.empty_reason):
            return
        self._store(now, answer, ttl, answer.empty_reason)

    def _confirm_empty(self, now: float, ttl: float, reason: str) -> bool:
        """Returns whether an empty answer has been repeated for long enough to be accepted.

        The delay is needed because a DNS server that has just restarted may answer NXDOMAIN for names that it has not
        loaded yet.
        """
        limits = self.limits
        if self.empty_since is None:
            self.empty_since = now
        confirmed_at = self.empty_since + limits.empty_confirmation
        if now >= confirmed_at:
            return True
        self.problem = f"{reason}; not accepted until it has persisted for {limits.empty_confirmation:g} s"
        step = min(ttl, limits.empty_confirmation / EMPTY_CONFIRMATIONS) * self.rng.uniform(0.5, 1)
        # The last query is sent when the confirmation period ends, not after it.
        self.refresh_at = min(now + step, confirmed_at)
        return False

    def _store(self, now: float, answer: SrvAnswer, ttl: float, problem: str) -> None:
        self.answer, self.answered_at, self.expires_at = answer, now, now + ttl
        self.empty_since, self.problem = None, problem
        self.refresh_at = now + ttl * self.rng.uniform(*REFRESH_FRACTION)

    def _with_known_addresses(self, answer: SrvAnswer) -> SrvAnswer:
        """Returns the answer completed with the previous addresses of targets whose address lookup failed.

        Otherwise a failed address lookup would remove servers.
        """
        if not answer.unresolved_targets:
            return answer
        earlier = self.answer.endpoints if self.answer is not None else ()
        retained = [endpoint for endpoint in earlier if endpoint.target in answer.unresolved_targets]
        endpoints = tuple(sorted({*answer.endpoints, *retained}))
        ttl = min(answer.ttl, self.limits.min_ttl * 2)
        return SrvAnswer(endpoints, ttl, answer.empty_reason, answer.unresolved_targets, answer.notes)

    def receive_failure(self, now: float, problem: str) -> None:
        """Records a refresh without a usable answer, and schedules the next one with exponential backoff."""
        self.refreshing = False
        self.failures += 1
        self.problem = problem
        backoff = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self.failures - 1)) * self.rng.uniform(0.5, 1)
        self.refresh_at = now + backoff

    def restore(self, now: float, answer: SrvAnswer, age_s: float, remaining_s: float) -> None:
        """Restores a set from the cache file, given its age and remaining TTL; its refresh is due at once."""
        self.answer, self.answered_at, self.expires_at = answer, now - age_s, now + remaining_s
        self.refresh_at, self.problem = now, "restored from the cache file, not refreshed yet"

    def view(self, now: float) -> CacheView:
        """Returns the state of the name at time `now`."""
        answer = self.answer
        if answer is None:
            return CacheView(CacheStatus.UNKNOWN, (), 0.0, 0.0, self.problem, ())
        remaining_s = self.expires_at - now
        status = self._status(answer, remaining_s)
        endpoints = () if status == CacheStatus.EXPIRED else answer.endpoints
        return CacheView(status, endpoints, now - self.answered_at, remaining_s, self.problem, answer.notes)

    def _status(self, answer: SrvAnswer, remaining_s: float) -> CacheStatus:
        if not answer.endpoints:
            return CacheStatus.EMPTY
        if self.empty_since is not None:
            return CacheStatus.UNCONFIRMED_EMPTY
        if remaining_s >= 0:
            return CacheStatus.FRESH
        return CacheStatus.STALE if -remaining_s <= self.limits.max_stale else CacheStatus.EXPIRED
