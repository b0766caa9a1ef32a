"""An SRV name as a source of endpoints: resolves the name when it is due and passes its set to the publisher."""

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
    """The state of a name that was last passed to the publisher.

    Attributes:
        status: The status of the cached set.
        answered_at: The time of the last good answer, in seconds of the monotonic clock.
        problem: The reason why the last refresh brought no good set; empty if it did.
    """

    status: CacheStatus
    answered_at: float
    problem: str


def cache_limits(config: SrvConfig) -> CacheLimits:
    """Returns the cache limits in a name's settings."""
    return CacheLimits(
        config.floor_s,
        config.ceiling_s,
        max_stale=config.stale_max_s,
        empty_confirmation=config.doubt_s,
    )


class DnsSource:
    """Resolves one SRV name and passes its cached set to the publisher.

    Attributes:
        name: The name of the source.
        config: The settings of the SRV name.
        cached_name: The cached set of the SRV name.
        client: The DNS client that resolves the name.
    """

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
        """`clock` returns seconds of a monotonic clock; `log_prefix` precedes the source's name in log lines."""
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
        """Applies new settings; keeps the cached set."""
        if self.config != config:
            self.config, self.cached_name.limits, self._published = config, cache_limits(config), None
        self.client = client

    async def refresh(self) -> None:
        """Resolves the name and stores the answer or the failure in the cache."""
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
        """Passes the name's state to the publisher if it has changed.

        Returns True if the state has changed and holds a fresh set, which the cache file should get.
        """
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
        has_no_list = self._publisher.reconciler.sources[self.name].confidence == Confidence.NONE
        updated = view.status in (CacheStatus.FRESH, CacheStatus.EMPTY) or (
            has_no_list and bool(view.endpoints)
        )
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
        """Returns the last good set for the cache file, or None if there is none. `wall` is the Unix time."""
        answer, now = self.cached_name.answer, self._clock()
        if answer is None or not answer.endpoints:
            return None
        answered_at = wall - (now - self.cached_name.answered_at)
        return CachedSet(answer, answered_at, wall + (self.cached_name.expires_at - now))
