"""Picks the server of each attempt."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from harecross.interface import DeduplicationScope, Idempotency, Settings
from harecross.policy.outlier_detection import BASE_EJECTION_US, MAX_DOUBLINGS, OutlierDetector
from harecross.policy.records import Request, Server
from harecross.policy.slow_start import SlowStart
from harecross.policy.subset import Subset
from harecross.policy.traffic_stats import TrafficStats

MAX_DRAWS = 3  # pairs of servers that are drawn before the first that may get the request is taken
CROWDED_FACTOR = 1.2  # a local member with more than this many even parts of the limit is not preferred


@dataclass(slots=True, eq=False)
class EndpointPicker:
    """Two random choices among the eligible members; recovery probes of the ejected ones first."""

    settings: Settings
    rng: Random
    subset: Subset
    traffic: TrafficStats
    outliers: OutlierDetector
    slow_start: SlowStart

    def pick(self, now: int, request: Request) -> Server | None:
        """The server for the request's next attempt; None if no server may get it."""
        if request.ran_on is not None and request.idempotency == Idempotency.IDEMPOTENCY_KEY:
            return self._pick_in_scope(now, request, request.ran_on)
        if self.outliers.ejected or self.outliers.ejected_zones:
            probed = self._pick_probe(now, request)
            if probed is not None:
                return probed
        local, eligible = self.subset.local, self.subset.eligible
        if request.previous is not None:  # as Envoy's retry predicate previous_hosts
            local = [member for member in local if member is not request.previous]
            eligible = [member for member in eligible if member is not request.previous]
        preference, controller = self.subset.zone_preference, self.subset.controller
        if preference.enabled and local and self.rng.random() >= preference.fraction:
            limit = CROWDED_FACTOR * controller.gradient * controller.current_limit()
            crowded = limit / len(self.subset.eligible)
            server = self.pick_of_two(now, [member for member in local if member.in_flight < crowded])
            if server is not None:
                return server
        if request.previous is None:
            return self.pick_of_two(now, eligible)
        return self.pick_of_two(now, eligible) or self.pick_of_two(now, self.subset.eligible)

    def _pick_probe(self, now: int, request: Request) -> Server | None:
        """An ejected member, or one of an ejected zone, that is due for a recovery probe.

        A request that must not run twice is used for it only when no other has come for a while.
        """
        wait = BASE_EJECTION_US if request.idempotency == Idempotency.NON_IDEMPOTENT else 0
        if self.outliers.ejected and now >= self.outliers.next_probe_at + wait:
            for server in self.outliers.ejected:
                due = server.next_probe_at + wait <= now and not server.probing
                if due and self.slow_start.take_token(now, server):
                    server.probing = True
                    server.next_probe_at = now + BASE_EJECTION_US
                    return server
        for zone in self.outliers.ejected_zones:
            if zone.next_probe_at + wait <= now:
                zone.probes += 1
                zone.next_probe_at = now + (BASE_EJECTION_US << min(zone.probes, MAX_DOUBLINGS))
                pool = [member for member in self.subset.members if member.zone == zone.id]
                i = int(self.rng.random() * len(pool))
                if pool and self.slow_start.take_token(now, pool[i]):
                    return pool[i]
        return None

    def pick_of_two(self, now: int, pool: list[Server]) -> Server | None:
        """The less loaded of two random servers that may get a request; else the first that may."""
        count = len(pool)
        if count == 0:
            return None
        if count == 1:
            return pool[0] if self.slow_start.take_token(now, pool[0]) else None
        mean_rtt, mean_cost = min(self.traffic.mean_rtt), self.traffic.mean_cost
        retention = self.traffic.retention(len(self.subset.members))
        for _ in range(MAX_DRAWS):
            i = int(self.rng.random() * count)
            j = int(self.rng.random() * (count - 1))
            if j >= i:
                j += 1
            first, second = pool[i], pool[j]
            if self.subset.weighted:
                first, second = self.rng.choices(pool, [member.weight for member in pool], k=2)
            first_load = first.load(now, mean_rtt, retention, mean_cost)
            if second.load(now, mean_rtt, retention, mean_cost) < first_load:
                first, second = second, first
            second_out = self.outliers.is_unresponsive(now, second)
            if not self.outliers.is_unresponsive(now, first) and self.slow_start.take_token(now, first):
                return first
            if not second_out and self.slow_start.take_token(now, second):
                return second
        for server in pool:
            if not server.ejected and self.slow_start.take_token(now, server):
                return server
        return None

    def _pick_in_scope(self, now: int, request: Request, first: Server) -> Server | None:
        """A server that discards the repeat of what `first` may have processed.

        That server itself is the last choice, and none after a restart: then it no longer knows.
        """
        scope = self.settings.classes[request.request_class].deduplication_scope
        zone = first.zone if scope == DeduplicationScope.ZONE else None
        cell = first.cell if scope == DeduplicationScope.CELL else None
        pool = [m for m in self.subset.eligible if zone in (None, m.zone) and cell in (None, m.cell)]
        others = [m for m in pool if m is not first and m is not request.previous]
        return self.pick_of_two(now, others or [m for m in pool if m.ready_at <= request.ran_at])
