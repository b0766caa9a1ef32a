"""A request's life: events in, actions out. The whole copy."""

from __future__ import annotations

from collections.abc import Sequence
from math import sqrt

from harecross.interface import (
    NEVER_RAN,
    Endpoint,
    EndpointSnapshot,
    EndpointState,
    EndpointUpdateKind,
    FinalReason,
    Idempotency,
    Outcome,
)
from harecross.policy.controller import LATE_MOST, WINDOW
from harecross.policy.draw import SILENT_FACTOR, Draw
from harecross.policy.fleet_limits import MIN_LIMIT
from harecross.policy.health import SLOWEST
from harecross.policy.members import MachineType, Server, Zone
from harecross.policy.state import Request

RETRY_RATIO = 0.1  # further attempts allowed for each first attempt
TRY_DEVIATIONS = 4  # from the mean round-trip and so many mean deviations on (RFC 6298) a call may be lost...
TRY_MOST = 8  # ...and from so many on it is taken for lost without its server's word
SHARE_WORTH = 0.5  # calls beyond a share are refused at once where they are worth less than this part
TIMER_HELD, TIMER_TRY = 2, 3  # in a token's top byte
TOKEN_BITS, TRY_BITS = 56, 8


class Balancer(Draw):
    """One copy: the decisions of one node, from its own traffic alone."""

    # ---- events ---------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.controller.start_pass(now)
        self.spill_at = now
        self.shares.at = now
        if self.settings.discovery_polled:
            self.actions.subscribe(True)

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        if kind == EndpointUpdateKind.FAILED:
            return  # the list in hand holds; the host asks again (discovery/subscription_schedule.py)
        latest = {e.server: e for e in entries}  # an entry twice: the last holds
        if kind != EndpointUpdateKind.CHANGES:
            for server in self.servers.values():
                if server.in_list and server.id not in latest:
                    self.drop(server)
        for entry in latest.values():
            known = self.servers.get(entry.server)
            if entry.state != EndpointState.READY:
                if known is not None:
                    self.drop(known)
                continue
            if known is None:
                known = Server(entry.server, self.machine_types.setdefault(entry.machine_type, MachineType()))
                self.servers[entry.server] = known
            if known.ready_at != entry.ready_at:
                if known.ejected:
                    self.readmit(known)
                known.renew(entry)
            if not known.in_list:
                self.joined.append(known)
            known.in_list = True
            known.cell, known.zone, known.weight = entry.cell, entry.zone, entry.weight
            if entry.zone not in self.zones:
                self.zones[entry.zone] = Zone(entry.zone)
            if entry.ready_at > 0 and now < entry.ready_at + self.settings.slow_start_duration:
                # Failure prevented: a restarted server looks idle and draws a flood that pushes it over.
                if known.cold_until == 0:
                    known.tokens_at = now
                known.cold_until = entry.ready_at + self.settings.slow_start_duration
        self.forget_gone()
        self.refill(now)

    def request(
        self, now: int, request: int, request_class: int, tenant: int, time_left: int, repeat: bool
    ) -> None:
        s = self.settings
        # Failure prevented: a class never told of runs twice, since it is taken for one that may.
        effect = (
            s.classes[request_class].idempotency
            if request_class < len(s.classes)
            else Idempotency.NON_IDEMPOTENT
        )
        request_class = min(request_class, len(s.classes) - 1)
        c = s.classes[request_class]
        useful = time_left
        if c.late_priority_weight <= 0 and c.latency_objective - 2 * s.tick < useful:
            # Late work is waste: an answer after the aim is worth nothing here, so nothing waits for it.
            useful = max(s.tick, c.latency_objective - 2 * s.tick)
        self.asked += 1
        if now - self.spill_at >= WINDOW:
            self.each_window(now)
        r = Request(request, request_class, effect, now + useful)
        self.requests[request] = r
        ctl = self.controller
        self.retry_tokens = min(self.retry_tokens + RETRY_RATIO, max(float(MIN_LIMIT), sqrt(ctl.limit)))
        limit = ctl.allowed()
        if s.tier == 0:
            # Trunk reservation: a class of lesser worth for its time leaves sqrt(limit) slots for
            # what is worth more, a tenant beyond its share twice that.
            over = not self.shares.take(now, tenant)
            limit -= (self.rank[request_class] + 2 * over) * ctl.headroom()
            admitted = ctl.admits(now, limit, self.mean_rtt[request_class])
            if not admitted or (over and s.over_quota_weight < SHARE_WORTH):
                self.blocked += 1
                self.finish(r, refuse=True, reason=self.why_blocked(admitted))
                return
        elif not ctl.admits(now, limit, self.mean_rtt[request_class]):
            self.hold(now, r)
            return
        self.attempt(now, r)

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        srv = self.servers.get(server)
        r = self.requests.get(request)
        if r is not None and r.cut and outcome == Outcome.CANCELLED:
            outcome = Outcome.TIMEOUT
        if srv is not None and srv.in_flight > 0:
            if report and self.report_cost:
                self.learn_cost(srv, report)
            self.settle(now, srv, r, outcome, latency)
        if r is not None and r.out is not None and attempt == r.attempts - 1:
            r.out = None
            if final or outcome == Outcome.OK:
                del self.requests[request]
            elif r.begun:
                refuse = outcome in NEVER_RAN and r.ran_on is None
                self.finish(r, refuse, FinalReason.ANSWER_BROKE)
            else:
                self.after_failure(now, r, srv, outcome)
        if self.waiting:
            self.serve_waiting(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        r = self.requests.get(request)
        if r is not None:
            r.begun = True

    def uploading(self, now: int, request: int, on: bool) -> None:
        """A body passed on while it comes holds no slot, and its time counts from its last byte."""
        r = self.requests.get(request)
        if r is None or r.out is None or r.parked == on:
            return
        step, r.parked = -1 if on else 1, on
        r.out.in_flight += step
        if not r.out.aside:
            self.controller.count(now, step, self.controller.allowed(), self.mean_rtt[r.request_class])
        if not on:
            r.useful_until += now - r.sent_at
            r.sent_at = r.out.quiet_since = now

    def client_disconnected(self, now: int, request: int) -> None:
        r = self.requests.pop(request, None)
        if r is not None and r.held:
            # Failure prevented: calls whose client left fill the room for calls that wait for a slot.
            r.held = False
            self.waiting.remove(r)
        if r is None or r.out is None or r.begun:
            return
        waited = now - r.sent_at
        if waited > self.controller.target[r.request_class] and not r.out.aside:
            # Failure prevented: clients give up before any time-out, calls end as cancelled, and a copy whose
            # servers answer nobody in time sees no sample of it.
            self.controller.sample(now, r.request_class, waited)
            self.learn_speed(r.out, min(waited / self.mean_rtt[r.request_class], SLOWEST))
        if self.settings.cancel:
            self.actions.cancel(request, r.attempts - 1)

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """The module asks for no probes: its trials are real calls. A control service probes by itself."""
        self.load_reported(now, server, int(ok), int(not ok), report)

    def load_reported(self, now: int, server: int, good: int, bad: int, report: Sequence[float]) -> None:
        """Calls that others made to a server, and how many failed."""
        if server in self.servers:
            self.observe(now, self.servers[server], good, bad, report)

    def timer(self, now: int, token: int) -> None:
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_HELD:
            r = self.requests.get(value)
            if r is not None and r.held:
                r.held = False
                self.blocked += 1
                self.finish(r, refuse=True, reason=FinalReason.QUEUE_TIMEOUT)
        elif kind == TIMER_TRY:
            r = self.requests.get(value >> TRY_BITS)
            if r is not None and r.out is not None and r.attempts == value & ((1 << TRY_BITS) - 1):
                self.per_try_timeout(now, r)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, with the source's names where it has them."""
        c = self.controller
        return {
            "concurrency_limit": c.allowed(),
            "gradient": c.gradient,
            "burst_queue_size": c.headroom(),
            "min_rtt_msecs": max(c.min_rtt) / 1000,
            "sample_rtt_ratio": c.sample_rtt,
            "rq_blocked": self.blocked,
            "min_rtt_calculation_active": float(c.in_pass),
            "in_flight": c.in_flight,
            "members": len(self.members),
            "ejected": len(self.ejected),
            "zones_cut": len(self.cut),
            "spill": self.spill,
            "lost": c.lost,
            "rq_per_try_timeout": self.cuts,
            "rq_overtaken": self.overtaken,
        }

    def view(self, now: int) -> list[EndpointSnapshot]:
        """What is thought of each server. Changes nothing."""
        mean, memory = min(self.mean_rtt), self.memory()
        limit = self.controller.allowed() / max(1, len(self.able))
        views = []
        for srv in self.servers.values():
            cost = srv.load(now, mean, memory, self.mean_cost) / (srv.in_flight + 1)
            state = EndpointState.READY if srv.in_list else EndpointState.DRAINING
            views.append(EndpointSnapshot(srv.id, state, srv.ejected, self.warmth(now, srv), cost, limit))
        return views

    # ---- a request's life -----------------------------------------------------------------------------

    def attempt(self, now: int, r: Request) -> None:
        """Sends the request to the server drawn for it, or answers it when there is none."""
        srv = self.draw(now, r)
        if srv is None:
            self.finish(r, refuse=r.ran_on is None, reason=FinalReason.NO_SERVER)
            return
        timeout = r.useful_until - now
        if srv.aside and r.idempotency != Idempotency.NON_IDEMPOTENT:
            # A trial of an ejected server or a cut zone must not cost the request its whole time.
            timeout = min(
                timeout, max(self.settings.tick, int(SILENT_FACTOR * self.mean_rtt[r.request_class]))
            )
        if srv.in_flight == 0:
            srv.quiet_since = now
        srv.in_flight += 1
        if not srv.aside:
            self.controller.count(now, 1, self.controller.allowed(), self.mean_rtt[r.request_class])
        zone = self.zones[srv.zone]
        if zone.sent == 0:
            zone.sent_since = now
        zone.sent += 1
        if srv.cold_until <= now:
            self.warm_sent += 1
        r.out = srv
        r.sent_at = now
        r.attempts += 1
        self.actions.send(r.id, srv.id, timeout)
        if r.idempotency != Idempotency.NON_IDEMPOTENT:
            mean, deviation = self.mean_rtt[r.request_class], self.deviation[r.request_class]
            first = mean + (TRY_DEVIATIONS + self.above) * deviation
            wait = min(first, timeout - mean - deviation)
            if wait >= first / 2:
                self.watch_try(r, wait)

    def watch_try(self, r: Request, wait: float) -> None:
        token = r.id << TRY_BITS | r.attempts
        self.actions.set_timer(max(1, int(wait)), TIMER_TRY << TOKEN_BITS | token)

    def per_try_timeout(self, now: int, r: Request) -> None:
        """Gives up an attempt that is lost, where a further one is allowed and paid for.

        Lost and slow are told apart by the server's other calls: it has answered one that was sent a whole
        mean round-trip later, or long enough has passed for that while hardly any call is late. Until then
        the question is put again every mean deviation.

        Failure prevented: a connection that has fallen silent, a cut-off machine or an answer that stops half
        way costs a request its whole time, in every tier above too. It hurts where all is slow: a late call
        that is not lost is run twice, at the servers that have least to spare.
        """
        s, srv = self.settings, r.out
        assert srv is not None
        if not s.cancel or r.begun or r.parked or r.attempts >= s.max_attempts:
            return
        mean, deviation = self.mean_rtt[r.request_class], self.deviation[r.request_class]
        answered = srv.heard > r.sent_at + mean
        lost = answered or now - r.sent_at >= mean + (TRY_MOST + self.above) * deviation
        if lost and self.controller.late <= LATE_MOST and self.retry_tokens >= 1:
            self.retry_tokens -= 1
            self.cuts += 1
            r.cut = True
            self.actions.cancel(r.id, r.attempts - 1)
        elif now + deviation + mean < r.useful_until:
            self.watch_try(r, max(deviation, s.tick))

    def after_failure(self, now: int, r: Request, srv: Server | None, outcome: Outcome) -> None:
        """A further attempt where class, time, budget and attempt cap allow it; a final answer otherwise."""
        if outcome not in NEVER_RAN and r.ran_on is None:
            r.ran_on = srv
            r.ran_at = r.sent_at
        r.last = srv
        ran = r.ran_on is not None
        # An attempt that never ran cost its server nothing: a further one is not counted as a retry.
        price = int(outcome not in NEVER_RAN and not r.cut)
        r.cut = False
        why_not = self.why_no_retry(now, r, price)
        if why_not is not None:
            self.finish(r, refuse=not ran or r.idempotency == Idempotency.IDEMPOTENT, reason=why_not)
            return
        # Retries multiply through tiers and clients: each copy spends a share of its first attempts.
        self.retry_tokens -= price
        self.attempt(now, r)

    def why_blocked(self, admitted: bool) -> FinalReason:
        """Why a request is refused with no attempt. Where there is no server the limit admits none either."""
        if not self.able:
            return FinalReason.NO_SERVER
        return FinalReason.OVER_SHARE if admitted else FinalReason.AT_LIMIT

    def why_no_retry(self, now: int, r: Request, price: int) -> FinalReason | None:
        """What forbids a further attempt, which costs so many retry tokens; None if nothing does."""
        window = self.settings.classes[r.request_class].deduplication_window
        repeatable = r.idempotency == Idempotency.IDEMPOTENT or (
            r.idempotency == Idempotency.IDEMPOTENCY_KEY and now < r.ran_at + window
        )
        if r.ran_on is not None and not repeatable:
            return FinalReason.MAY_HAVE_RUN
        if r.attempts >= self.settings.max_attempts:
            return FinalReason.ATTEMPTS_USED
        if self.retry_tokens < price:
            return FinalReason.RETRY_BUDGET
        if now + self.mean_rtt[r.request_class] >= r.useful_until:
            return FinalReason.NO_TIME_TO_RETRY
        return None

    def finish(self, r: Request, refuse: bool, reason: FinalReason) -> None:
        """The one final answer. `refuse` only where a retry is known to do no harm."""
        del self.requests[r.id]
        self.final_reason = reason
        s = self.settings
        if not refuse:
            return self.actions.fail(r.id)
        after = 0
        if s.retry_after:
            # Failure prevented: told to stay away for long, clients come back when the aim has passed and
            # their calls, served late, are worth little.
            after = min(s.max_retry_after, s.classes[r.request_class].latency_objective // 8)
        self.actions.shed(r.id, after)

    def hold(self, now: int, r: Request) -> None:
        """Below the first tier a refusal wastes the work already sunk above: the call waits for a free slot.

        Acts only where callers are servers, at the limit, for up to half the time left, for as many calls
        as the limit.
        """
        if not self.able or len(self.waiting) >= self.controller.limit:
            self.blocked += 1
            self.finish(r, refuse=True, reason=FinalReason.QUEUE_FULL if self.able else FinalReason.NO_SERVER)
            return
        r.held = True
        self.waiting.append(r)
        self.actions.set_timer(max(1, (r.useful_until - now) // 2), TIMER_HELD << TOKEN_BITS | r.id)

    def serve_waiting(self, now: int) -> None:
        waiting = self.waiting
        while waiting and (not waiting[0].held or self.controller.in_flight < self.controller.allowed()):
            r = waiting.popleft()
            if r.held and r.id in self.requests:
                r.held = False
                self.attempt(now, r)
