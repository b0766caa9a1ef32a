"""Which server an attempt goes to."""

from __future__ import annotations

from harecross.interface import DeduplicationScope, Idempotency
from harecross.policy import fleet_limits
from harecross.policy.health import EJECT_TIME, Health
from harecross.policy.members import FADE, Server
from harecross.policy.state import Request

SILENT_FACTOR = 4  # a member is silent after this many mean round-trips without any outcome
FADE_CALLS = 2  # what a thin copy knows of a member counts until it has called each so many times
CROWDED = 1.2  # even parts of limit x gradient: a member of this zone that holds more is drawn as others are


class Draw(Health):
    """A copy that chooses."""

    def draw(self, now: int, r: Request) -> Server | None:
        """Two random members; the one with less in flight takes the call."""
        effect = r.idempotency
        if r.ran_on is not None and effect == Idempotency.IDEMPOTENCY_KEY:
            return self.draw_in_group(now, r)
        # Failure prevented: a copy with unsafe calls only never tries an ejected member or a cut zone again.
        # They may be tried with one once no other call has come for as long as a first ejection.
        wait = EJECT_TIME if effect == Idempotency.NON_IDEMPOTENT else 0
        if self.ejected and now >= self.next_trial + wait:
            for trial in self.ejected:
                if trial.trial_at + wait <= now and not trial.trial_out and self.may_send(now, trial):
                    trial.trial_out = True
                    trial.trial_at = now + EJECT_TIME
                    return trial
        if self.cut:
            for zone in self.cut:
                if zone.trial_at + wait <= now:
                    zone.trials += 1
                    zone.trial_at = now + (EJECT_TIME << min(zone.trials, 4))
                    pool = [m for m in self.members if m.zone == zone.id]
                    i = int(self.rng.random() * len(pool))
                    if pool and self.may_send(now, pool[i]):
                        return pool[i]
        near, able, ctl = self.near, self.able, self.controller
        if r.last is not None:
            # The source's previous_hosts predicate. Failure prevented: the one server of this zone turns
            # calls away, and every further attempt goes there again.
            near, able = [m for m in near if m is not r.last], [m for m in able if m is not r.last]
        if self.zoned and near and self.rng.random() >= self.spill:
            # Failure prevented: the one server beside a node keeps most of its calls while it slows down, and
            # the spill follows only once the late answers are back. It could hurt where a crossing is dear.
            crowded = CROWDED * ctl.gradient * ctl.allowed() / len(self.able)
            srv = self.draw_two(now, [m for m in near if m.in_flight < crowded])
            if srv is not None:
                return srv
        return self.draw_two(now, able) or (self.draw_two(now, self.able) if r.last is not None else None)

    def draw_two(self, now: int, pool: list[Server]) -> Server | None:
        n = len(pool)
        if n == 0:
            return None
        if n == 1:
            return pool[0] if self.may_send(now, pool[0]) else None
        mean = min(self.mean_rtt)
        memory = self.memory()
        for _ in range(3):
            i = int(self.rng.random() * n)
            j = int(self.rng.random() * (n - 1))
            if j >= i:
                j += 1
            a, b = pool[i], pool[j]
            if self.uneven:
                # A heavier one is drawn more often, not taken for quicker: idle, it would get every call.
                a, b = self.rng.choices(pool, [m.weight for m in pool], k=2)
            cost = self.mean_cost
            if b.load(now, mean, memory, cost) < a.load(now, mean, memory, cost):
                a, b = b, a
            b_silent = self.is_silent(now, b)
            if not self.is_silent(now, a) and self.may_send(now, a):
                return a
            if not b_silent and self.may_send(now, b):
                return b
        for a in pool:
            if not a.ejected and self.may_send(now, a):
                return a
        return None

    def memory(self) -> float:
        """How long what is known of a member counts.

        Failure prevented: a thin copy has forgotten that a member fails quickly before it draws it again.
        """
        return max(FADE, FADE_CALLS * self.gap * len(self.members))

    def draw_in_group(self, now: int, r: Request) -> Server | None:
        """A keyed request that may have run goes only to the servers that would discard its repeat."""
        first = r.ran_on
        group = self.settings.classes[r.request_class].deduplication_scope
        assert first is not None
        zone = first.zone if group == DeduplicationScope.ZONE else None
        cell = first.cell if group == DeduplicationScope.CELL else None
        pool = [m for m in self.able if zone in (None, m.zone) and cell in (None, m.cell)]
        # Failure prevented: a cell with one server left has nowhere to send a repeat. The server that may
        # have run it drops its repeats as well as the others do, and an answer lost on the way says little
        # against it.
        others = [m for m in pool if m is not first and m is not r.last]
        return self.draw_two(now, others or [m for m in pool if m.ready_at <= r.ran_at])

    def is_silent(self, now: int, srv: Server) -> bool:
        """Ejects a member that holds several calls and has answered none for several mean round-trips."""
        if srv.in_flight > 1 and now - srv.quiet_since > SILENT_FACTOR * max(self.mean_rtt):
            self.eject(now, srv, silent=True)
        return srv.ejected

    def warmth(self, now: int, srv: Server) -> float:
        """The present part of a warm server's capacity."""
        if srv.cold_until <= now:
            return 1.0
        s = self.settings
        return fleet_limits.warmth(s.slow_start_min_capacity, srv.cold_until - now, s.slow_start_duration)

    def may_send(self, now: int, srv: Server) -> bool:
        """Slow start: a cold server takes its present share of what a warm member gets from this copy.

        Failure prevented: all nodes together push a cold server over. A bucket of one call that starts
        empty keeps this copy's part within any window.
        """
        if srv.cold_until <= now:
            return True
        rate = self.warm_rate * self.warmth(now, srv)
        srv.tokens = fleet_limits.cold_tokens(srv.tokens, rate, now - srv.tokens_at)
        srv.tokens_at = now
        if srv.tokens < 1:
            return False
        srv.tokens -= 1
        return True
