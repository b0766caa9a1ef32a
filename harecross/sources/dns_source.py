"""One SRV name as a source of membership: resolved when it is due, and passed on to the publisher."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from harecross.dns.client import DnsClient, LookupFailedError
from harecross.dns.lifetime import CachedName, CacheLimits, CacheStatus, CacheView
from harecross.platform.log import log_exception, log_line
from harecross.sources.cache_file import CachedSet
from harecross.sources.config import SrvConfig, srv_query_name
from harecross.sources.publisher import MembershipPublisher
from harecross.sources.source import Confidence
from harecross.sources.statements import srv_statements


class PublishedState(NamedTuple):
    """What the publisher last got of a name."""

    status: CacheStatus
    answered_at: float
    problem: str


def cache_limits(config: SrvConfig) -> CacheLimits:
    """The bounds that a name's settings set."""
    return CacheLimits(
        config.floor_s,
        config.ceiling_s,
        max_stale=config.stale_max_s,
        empty_confirmation=config.doubt_s,
    )


class DnsSource:
    """An SRV name that is a source."""

    def __init__(
        self,
        name: str,
        config: SrvConfig,
        cached_name: CachedName,
        client: DnsClient,
        publisher: MembershipPublisher,
        clock: Callable[[], float],
        log_prefix: str,
    ) -> None:
        """`name` is the source's; `clock` returns monotonic seconds; `log_prefix` begins its log lines."""
        self.name = name
        self.config = config
        self.cached_name = cached_name
        self.client = client
        self._publisher = publisher
        self._clock = clock
        self._log_prefix = log_prefix
        self._published: PublishedState | None = None
        self._logged_notes: frozenset[str] = frozenset()

    def configure(self, config: SrvConfig, client: DnsClient) -> None:
        """Takes new settings; the cached set stays."""
        if self.config != config:
            self.config, self.cached_name.limits, self._published = config, cache_limits(config), None
        self.client = client

    async def refresh(self) -> None:
        """Resolves the name."""
        try:
            answer = await self.client.resolve(srv_query_name(self.config.name, self.name))
        except LookupFailedError as error:
            self.cached_name.receive_failure(self._clock(), str(error))
        except Exception:
            log_exception(self.name)
            self.cached_name.receive_failure(self._clock(), "failed: see the log")
        else:
            self.cached_name.receive_answer(self._clock(), answer)

    def publish(self) -> bool:
        """Passes the name's state on to the publisher where it is new; returns whether a good set was among it."""
        view = self.cached_name.view(self._clock())
        state = PublishedState(view.status, self.cached_name.answered_at, view.problem)
        if state == self._published:
            return False
        before, self._published = self._published, state
        if before is None or before.status != view.status:
            problem = f": {view.problem}" if view.problem else ""
            self._log(f"{view.status}, {len(view.endpoints)} endpoints{problem}")
        for note in set(view.notes) - self._logged_notes:
            self._log(note)
        self._logged_notes = frozenset(view.notes)
        return self._publish_view(view)

    def _publish_view(self, view: CacheView) -> bool:
        unheard = self._publisher.reconciler.sources[self.name].confidence == Confidence.NONE
        updated = view.status in (CacheStatus.FRESH, CacheStatus.EMPTY) or (unheard and bool(view.endpoints))
        if updated:
            statements = srv_statements(view.endpoints, self.config.zone, self.config.priority)
            self._publisher.update_source(self._clock(), self.name, statements)
        if view.status in (CacheStatus.STALE, CacheStatus.UNCONFIRMED_EMPTY):
            self._publisher.set_confidence(self.name, Confidence.STALE)
        elif view.status == CacheStatus.EXPIRED:
            self._publisher.set_confidence(self.name, Confidence.LOST)
        return view.status == CacheStatus.FRESH

    def _log(self, text: str) -> None:
        log_line(f"sources: {self._log_prefix}{self.name}: {text}")

    def cached_set(self, wall: float) -> CachedSet | None:
        """The last good set, for the cache file; None where there is none. `wall` is Unix time."""
        answer, now = self.cached_name.answer, self._clock()
        if answer is None or not answer.endpoints:
            return None
        answered_at = wall - (now - self.cached_name.answered_at)
        return CachedSet(answer, answered_at, wall + (self.cached_name.expires_at - now))
