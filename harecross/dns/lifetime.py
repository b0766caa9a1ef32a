"""One SRV name's cached endpoints: how long they hold, when they are refreshed, and what is believed. Free of I/O.

Times are seconds of a monotonic clock, so that a step of the system's clock changes nothing. RFC 2308, 8767.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from harecross.dns.srv import SrvAnswer, SrvEndpoint

REFRESH_FRACTION = (0.75, 0.95)  # of its life after which a set is refreshed, drawn evenly
FIRST_BACKOFF_S, MAX_BACKOFF_S = 1.0, 30.0  # after a failure, doubling, drawn from the half to the whole
EMPTY_CONFIRMATIONS = 4  # how often an empty answer is asked for again before it is believed


@dataclass(frozen=True, slots=True)
class CacheLimits:
    """Bounds on how long answers hold, in seconds."""

    min_ttl: float = 1.0  # a TTL of 0 would make a query a request
    max_ttl: float = 3600.0
    negative_min_ttl: float = 1.0
    negative_max_ttl: float = 300.0
    max_stale: float = 86_400.0  # how long the last good set holds after its end while nobody answers
    empty_confirmation: float = 30.0  # an empty answer after a good one is believed after so long


class CacheStatus(StrEnum):
    """What a cached set may be used for. The values are what operators read."""

    UNKNOWN = "unknown"  # no answer yet
    FRESH = "fresh"
    UNCONFIRMED_EMPTY = "doubted"  # an empty answer is not believed yet: the set before it holds
    STALE = "stale"  # past its end, and nobody answers
    EXPIRED = "expired"  # stale for longer than is allowed: not used
    EMPTY = "empty"  # believed to hold no endpoints


@dataclass(frozen=True, slots=True)
class CacheView:
    """A name at one moment."""

    status: CacheStatus
    endpoints: tuple[SrvEndpoint, ...]
    age_s: float  # since the last good answer
    remaining_s: float  # until the set's end, negative after it
    problem: str  # empty where there is none
    notes: tuple[str, ...]


class CachedName:
    """The cached set of one SRV name over time. The caller resolves the name when it is due, and reports the result."""

    def __init__(self, limits: CacheLimits, rng: Random, now: float) -> None:
        self.limits = limits
        self.rng = rng
        self.answer: SrvAnswer | None = None  # the last that was believed
        self.answered_at = now
        self.expires_at = now
        self.refresh_at = now
        self.refreshing = False
        self.failures = 0  # in a row
        self.problem = ""
        self.empty_since: float | None = None  # when the first unconfirmed empty answer came

    def due(self, now: float) -> bool:
        """Whether to refresh the name now. At most one refresh is in progress."""
        return not self.refreshing and now >= self.refresh_at

    def refresh_started(self) -> None:
        """The name is being resolved."""
        self.refreshing = True

    def receive_answer(self, now: float, answer: SrvAnswer) -> None:
        """The result of a refresh, with endpoints or without."""
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
            # A set none of whose addresses could be looked up is no empty one.
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
        """Whether an empty answer has been repeated for long enough: a DNS server that has just been restarted
        may answer NXDOMAIN for names that it does not have yet.
        """
        limits = self.limits
        if self.empty_since is None:
            self.empty_since = now
        confirmed_at = self.empty_since + limits.empty_confirmation
        if now >= confirmed_at:
            return True
        self.problem = f"{reason}, not believed before {limits.empty_confirmation:g} s"
        step = min(ttl, limits.empty_confirmation / EMPTY_CONFIRMATIONS) * self.rng.uniform(0.5, 1)
        self.refresh_at = min(now + step, confirmed_at)  # the last query falls on the end, not after it
        return False

    def _store(self, now: float, answer: SrvAnswer, ttl: float, problem: str) -> None:
        self.answer, self.answered_at, self.expires_at = answer, now, now + ttl
        self.empty_since, self.problem = None, problem
        self.refresh_at = now + ttl * self.rng.uniform(*REFRESH_FRACTION)

    def _with_known_addresses(self, answer: SrvAnswer) -> SrvAnswer:
        """The answer with the earlier addresses of targets whose lookup failed, so that one failed lookup of an
        address removes no server.
        """
        if not answer.unresolved_targets:
            return answer
        earlier = self.answer.endpoints if self.answer is not None else ()
        retained = [endpoint for endpoint in earlier if endpoint.target in answer.unresolved_targets]
        endpoints = tuple(sorted({*answer.endpoints, *retained}))
        ttl = min(answer.ttl, self.limits.min_ttl * 2)
        return SrvAnswer(endpoints, ttl, answer.empty_reason, answer.unresolved_targets, answer.notes)

    def receive_failure(self, now: float, problem: str) -> None:
        """A refresh that brought no answer; it is repeated with a backoff."""
        self.refreshing = False
        self.failures += 1
        self.problem = problem
        backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (self.failures - 1)) * self.rng.uniform(0.5, 1)
        self.refresh_at = now + backoff

    def restore(self, now: float, answer: SrvAnswer, age_s: float, remaining_s: float) -> None:
        """Begins with a set from the cache file, of that age and with so much left; refreshed at once."""
        self.answer, self.answered_at, self.expires_at = answer, now - age_s, now + remaining_s
        self.refresh_at, self.problem = now, "kept from before the start"

    def view(self, now: float) -> CacheView:
        """The name as it is now."""
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
