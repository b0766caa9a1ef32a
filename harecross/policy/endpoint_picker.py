"""Picks the server of each attempt, and limits what warming-up servers get."""

from dataclasses import dataclass
from random import Random

from harecross.interface import DeduplicationScope, Idempotency, Settings
from harecross.policy import fleet_limits
from harecross.policy.outlier_detection import BASE_EJECTION_US, MAX_DOUBLINGS, OutlierDetector
from harecross.policy.records import Request, Server
from harecross.policy.subset import Subset
from harecross.policy.traffic_stats import TrafficStats

CROWDED_FACTOR = 1.2  # a local member with more than this many even parts of the limit is not preferred
WARM_RATE_SMOOTHING_US = 2e6  # the rate of requests to a warm member is smoothed over this time


class SlowStart:
    """How much a warming-up server may be sent, by what a warm member gets of this node."""

    def __init__(self, settings: Settings) -> None:
        self.duration = settings.slow_start_duration
        self.min_capacity = settings.slow_start_min_capacity
        self.overload_multiple = settings.overload_multiple
        self.warm_rate = 0.0  # requests a second to a warm member
        self.warm_sends = self.requests = 0  # since the last window
        self.all_cold_fraction = 0.0  # of an even part of all requests, for each member while none is warm

    def begin(self, now: int, server: Server) -> None:
        """The server was listed; slow start begins unless it has been up for long."""
        if server.ready_at > 0 and now < server.ready_at + self.duration:
            if server.slow_start_until == 0:
                server.tokens_at = now
            server.slow_start_until = server.ready_at + self.duration

    def factor(self, now: int, server: Server) -> float:
        """The part of its full capacity that the server has now."""
        left = server.slow_start_until - now
        return 1.0 if left <= 0 else fleet_limits.slow_start_factor(self.min_capacity, left, self.duration)

    def take_token(self, now: int, server: Server) -> bool:
        """Whether the server may be sent a request now. The bucket holds one and starts empty."""
        if server.slow_start_until <= now:
            return True
        rate = self.warm_rate * self.factor(now, server)
        server.tokens = fleet_limits.slow_start_tokens(server.tokens, rate, now - server.tokens_at)
        server.tokens_at = now
        if server.tokens < 1:
            return False
        server.tokens -= 1
        return True

    def on_window_end(self, now: int, span: int, members: list[Server], on_time: bool) -> None:
        """Renews the warm rate; `on_time`: requests are answered in good time."""
        warm = sum(member.slow_start_until <= now and not member.ejected for member in members)
        rate = -1.0
        if warm:
            rate = self.warm_sends * 1e6 / span / warm
        elif members:
            rate = self.all_cold_fraction * self.requests * 1e6 / span / len(members)
        before, multiple = self.all_cold_fraction, self.overload_multiple
        self.all_cold_fraction = fleet_limits.all_cold_fraction(before, multiple, on_time, warm > 0, span)
        if rate >= 0:
            self.warm_rate += min(1.0, span / WARM_RATE_SMOOTHING_US) * (rate - self.warm_rate)
        self.warm_sends = self.requests = 0


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
        """A server due for a recovery probe; by what must not run twice only if nothing else has come."""
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
        for _ in range(3):
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
        """A server that discards the repeat; `first` itself comes last, and not if it has restarted."""
        scope = self.settings.classes[request.request_class].deduplication_scope
        zone = first.zone if scope == DeduplicationScope.ZONE else None
        cell = first.cell if scope == DeduplicationScope.CELL else None
        pool = [m for m in self.subset.eligible if zone in (None, m.zone) and cell in (None, m.cell)]
        others = [m for m in pool if m is not first and m is not request.previous]
        return self.pick_of_two(now, others or [m for m in pool if m.ready_at <= request.ran_at])
