"""The choice of a server for each attempt."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from harecross.interface import DeduplicationScope, Idempotency, Settings
from harecross.policy.outlier_detection import BASE_EJECTION_US, MAX_DOUBLINGS, OutlierDetector
from harecross.policy.records import Attempt, Request, Server
from harecross.policy.slow_start import SlowStart
from harecross.policy.subset import Subset
from harecross.policy.traffic_stats import TrafficStats

# After this many random pairs, the request goes to the first server that may get it.
MAX_PICK_ROUNDS = 3
# A local member is not preferred if it has more than this multiple of an even part of the limit in flight.
LOCAL_LOAD_FACTOR = 1.2


@dataclass(slots=True, eq=False)
class EndpointPicker:
    """Picks the less loaded of two random eligible members, but lets due recovery probes go first."""

    settings: Settings
    rng: Random
    subset: Subset
    traffic: TrafficStats
    outliers: OutlierDetector
    slow_start: SlowStart

    def pick(self, now: int, request: Request) -> Server | None:
        """Returns the server for the next attempt of the request, or None if no server may get it."""
        if request.possibly_processed is not None and request.idempotency == Idempotency.IDEMPOTENCY_KEY:
            return self._pick_in_scope(now, request, request.possibly_processed)
        if self.outliers.ejected or self.outliers.ejected_zones:
            probe_target = self._pick_probe(now, request)
            if probe_target is not None:
                return probe_target
        local, eligible = self.subset.local, self.subset.eligible
        # A retry avoids the previous server, like Envoy's retry host predicate `previous_hosts`.
        if request.previous is not None:
            local = [member for member in local if member is not request.previous]
            eligible = [member for member in eligible if member is not request.previous]
        preference, controller = self.subset.zone_preference, self.subset.controller
        if preference.enabled and local and self.rng.random() >= preference.fraction:
            limit = LOCAL_LOAD_FACTOR * controller.gradient * controller.current_limit()
            member_limit = limit / len(self.subset.eligible)
            server = self.pick_of_two(now, [member for member in local if member.in_flight < member_limit])
            if server is not None:
                return server
        if request.previous is None:
            return self.pick_of_two(now, eligible)
        return self.pick_of_two(now, eligible) or self.pick_of_two(now, self.subset.eligible)

    def _pick_probe(self, now: int, request: Request) -> Server | None:
        """Returns an ejected member, or a member of an ejected zone, that is due for a recovery probe.

        A non-idempotent request is used as a probe only if the probe has been due for a base ejection time.
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
        """Returns the less loaded of two random servers, or else the first that may get a request."""
        count = len(pool)
        if count == 0:
            return None
        if count == 1:
            return pool[0] if self.slow_start.take_token(now, pool[0]) else None
        mean_rtt, mean_cost = min(self.traffic.mean_rtt), self.traffic.mean_cost
        retention = self.traffic.retention(len(self.subset.members))
        for _ in range(MAX_PICK_ROUNDS):
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
            second_unresponsive = self.outliers.is_unresponsive(now, second)
            if not self.outliers.is_unresponsive(now, first) and self.slow_start.take_token(now, first):
                return first
            if not second_unresponsive and self.slow_start.take_token(now, second):
                return second
        for server in pool:
            if not server.ejected and self.slow_start.take_token(now, server):
                return server
        return None

    def _pick_in_scope(self, now: int, request: Request, first: Attempt) -> Server | None:
        """Returns a server that discards the repeat of a request that `first` may have processed.

        Servers of earlier attempts are avoided, also if they have returned with new records. Without another
        one, it returns a server of the scope that has not restarted since the attempt, because a restarted
        server no longer knows what it has processed.
        """
        scope = self.settings.classes[request.request_class].deduplication_scope
        zone = first.zone if scope == DeduplicationScope.ZONE else None
        cell = first.cell if scope == DeduplicationScope.CELL else None
        pool = [m for m in self.subset.eligible if zone in (None, m.zone) and cell in (None, m.cell)]
        used = {server.id for server in (first.server, request.previous) if server is not None}
        others = [m for m in pool if m.id not in used]
        return self.pick_of_two(
            now, others or [m for m in pool if m.ready_at <= request.possibly_processed_at]
        )
