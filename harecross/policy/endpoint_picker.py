"""Which server an attempt goes to."""

from __future__ import annotations

from harecross.interface import DeduplicationScope, Idempotency
from harecross.policy import fleet_limits
from harecross.policy.outlier_detection import BASE_EJECTION_US, Health
from harecross.policy.server_state import RETENTION_US, Server
from harecross.policy.subset import Request

UNRESPONSIVE_RTTS = 4  # a member is silent after this many mean round-trips without any outcome
RETENTION_REQUESTS = 2  # what a thin copy knows of a member counts until it has called each so many times
CROWDED_FACTOR = (
    1.2  # even parts of limit x gradient: a member of this zone that holds more is drawn as others are
)


class Draw(Health):
    """A copy that chooses."""

    def pick(self, now: int, r: Request) -> Server | None:
        """Two random members; the one with less in flight takes the call."""
        effect = r.idempotency
        if r.may_have_run_on is not None and effect == Idempotency.IDEMPOTENCY_KEY:
            return self.pick_in_deduplication_scope(now, r)
        # Failure prevented: a copy with unsafe calls only never tries an ejected member or a cut zone again.
        # They may be tried with one once no other call has come for as long as a first ejection.
        wait = BASE_EJECTION_US if effect == Idempotency.NON_IDEMPOTENT else 0
        if self.ejected and now >= self.next_probe_at + wait:
            for trial in self.ejected:
                if (
                    trial.next_probe_at + wait <= now
                    and not trial.probe_in_flight
                    and self.may_send(now, trial)
                ):
                    trial.probe_in_flight = True
                    trial.next_probe_at = now + BASE_EJECTION_US
                    return trial
        if self.ejected_zones:
            for zone in self.ejected_zones:
                if zone.next_probe_at + wait <= now:
                    zone.probe_count += 1
                    zone.next_probe_at = now + (BASE_EJECTION_US << min(zone.probe_count, 4))
                    pool = [m for m in self.members if m.zone == zone.id]
                    i = int(self.rng.random() * len(pool))
                    if pool and self.may_send(now, pool[i]):
                        return pool[i]
        near, able, ctl = self.local, self.eligible, self.controller
        if r.previous_server is not None:
            # The source's previous_hosts predicate. Failure prevented: the one server of this zone turns
            # calls away, and every further attempt goes there again.
            near, able = (
                [m for m in near if m is not r.previous_server],
                [m for m in able if m is not r.previous_server],
            )
        if self.zone_aware and near and self.rng.random() >= self.cross_zone_fraction:
            # Failure prevented: the one server beside a node keeps most of its calls while it slows down, and
            # the spill follows only once the late answers are back. It could hurt where a crossing is dear.
            crowded = CROWDED_FACTOR * ctl.gradient * ctl.current_limit() / len(self.eligible)
            srv = self.pick_of_two(now, [m for m in near if m.in_flight < crowded])
            if srv is not None:
                return srv
        return self.pick_of_two(now, able) or (
            self.pick_of_two(now, self.eligible) if r.previous_server is not None else None
        )

    def pick_of_two(self, now: int, pool: list[Server]) -> Server | None:
        n = len(pool)
        if n == 0:
            return None
        if n == 1:
            return pool[0] if self.may_send(now, pool[0]) else None
        mean = min(self.mean_rtt)
        memory = self.retention()
        for _ in range(3):
            i = int(self.rng.random() * n)
            j = int(self.rng.random() * (n - 1))
            if j >= i:
                j += 1
            a, b = pool[i], pool[j]
            if self.weighted:
                # A heavier one is drawn more often, not taken for quicker: idle, it would get every call.
                a, b = self.rng.choices(pool, [m.weight for m in pool], k=2)
            cost = self.mean_load_cost
            if b.load(now, mean, memory, cost) < a.load(now, mean, memory, cost):
                a, b = b, a
            b_silent = self.eject_if_unresponsive(now, b)
            if not self.eject_if_unresponsive(now, a) and self.may_send(now, a):
                return a
            if not b_silent and self.may_send(now, b):
                return b
        for a in pool:
            if not a.ejected and self.may_send(now, a):
                return a
        return None

    def retention(self) -> float:
        """How long what is known of a member counts.

        Failure prevented: a thin copy has forgotten that a member fails quickly before it draws it again.
        """
        return max(RETENTION_US, RETENTION_REQUESTS * self.mean_outcome_interval * len(self.members))

    def pick_in_deduplication_scope(self, now: int, r: Request) -> Server | None:
        """A keyed request that may have run goes only to the servers that would discard its repeat."""
        first = r.may_have_run_on
        group = self.settings.classes[r.request_class].deduplication_scope
        assert first is not None
        zone = first.zone if group == DeduplicationScope.ZONE else None
        cell = first.cell if group == DeduplicationScope.CELL else None
        pool = [m for m in self.eligible if zone in (None, m.zone) and cell in (None, m.cell)]
        # Failure prevented: a cell with one server left has nowhere to send a repeat. The server that may
        # have run it drops its repeats as well as the others do, and an answer lost on the way says little
        # against it.
        others = [m for m in pool if m is not first and m is not r.previous_server]
        return self.pick_of_two(now, others or [m for m in pool if m.ready_at <= r.may_have_run_at])

    def eject_if_unresponsive(self, now: int, srv: Server) -> bool:
        """Ejects a member that holds several calls and has answered none for several mean round-trips."""
        if srv.in_flight > 1 and now - srv.silent_since > UNRESPONSIVE_RTTS * max(self.mean_rtt):
            self.eject(now, srv, silent=True)
        return srv.ejected

    def slow_start_factor(self, now: int, srv: Server) -> float:
        """The present part of a warm server's capacity."""
        if srv.slow_start_until <= now:
            return 1.0
        s = self.settings
        return fleet_limits.slow_start_factor(
            s.slow_start_min_capacity, srv.slow_start_until - now, s.slow_start_duration
        )

    def may_send(self, now: int, srv: Server) -> bool:
        """Slow start: a cold server takes its present share of what a warm member gets from this copy.

        Failure prevented: all nodes together push a cold server over. A bucket of one call that starts
        empty keeps this copy's part within any window.
        """
        if srv.slow_start_until <= now:
            return True
        rate = self.warm_server_rate * self.slow_start_factor(now, srv)
        srv.slow_start_tokens = fleet_limits.slow_start_tokens(
            srv.slow_start_tokens, rate, now - srv.slow_start_tokens_at
        )
        srv.slow_start_tokens_at = now
        if srv.slow_start_tokens < 1:
            return False
        srv.slow_start_tokens -= 1
        return True
