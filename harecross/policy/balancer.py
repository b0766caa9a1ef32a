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
from harecross.policy.controller import MAX_LATE_FRACTION, WINDOW_US
from harecross.policy.endpoint_picker import UNRESPONSIVE_RTTS, Draw
from harecross.policy.fleet_limits import MIN_CONCURRENCY
from harecross.policy.outlier_detection import MAX_SLOWNESS
from harecross.policy.server_state import MachineType, Server, Zone
from harecross.policy.subset import Request

RETRY_BUDGET_RATIO = 0.1  # further attempts allowed for each first attempt
TIMEOUT_DEVIATIONS = (
    4  # from the mean round-trip and so many mean deviations on (RFC 6298) a call may be lost...
)
LOST_DEVIATIONS = 8  # ...and from so many on it is taken for lost without its server's word
MIN_OVER_QUOTA_WEIGHT = (
    0.5  # calls beyond a share are refused at once where they are worth less than this part
)
TIMER_QUEUED, TIMER_ATTEMPT = 2, 3  # in a token's top byte
TOKEN_BITS, ATTEMPT_BITS = 56, 8


class Balancer(Draw):
    """One copy: the decisions of one node, from its own traffic alone."""

    # ---- events ---------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        self.controller.start_min_rtt_window(now)
        self.window_started_at = now
        self.tenant_quotas.at = now
        if self.settings.discovery_polled:
            self.actions.subscribe(True)

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        if kind == EndpointUpdateKind.FAILED:
            return  # the list in hand holds; the host asks again (discovery/subscription_schedule.py)
        latest = {e.server: e for e in entries}  # an entry twice: the last holds
        if kind != EndpointUpdateKind.CHANGES:
            for server in self.servers.values():
                if server.listed and server.id not in latest:
                    self.stop_using(server)
        for entry in latest.values():
            known = self.servers.get(entry.server)
            if entry.state != EndpointState.READY:
                if known is not None:
                    self.stop_using(known)
                continue
            if known is None:
                known = Server(entry.server, self.machine_types.setdefault(entry.machine_type, MachineType()))
                self.servers[entry.server] = known
            if known.ready_at != entry.ready_at:
                if known.ejected:
                    self.readmit(known)
                known.renew(entry)
            if not known.listed:
                self.newly_listed.append(known)
            known.listed = True
            known.cell, known.zone, known.weight = entry.cell, entry.zone, entry.weight
            if entry.zone not in self.zones:
                self.zones[entry.zone] = Zone(entry.zone)
            if entry.ready_at > 0 and now < entry.ready_at + self.settings.slow_start_duration:
                # Failure prevented: a restarted server looks idle and draws a flood that pushes it over.
                if known.slow_start_until == 0:
                    known.slow_start_tokens_at = now
                known.slow_start_until = entry.ready_at + self.settings.slow_start_duration
        self.remove_unused()
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
        self.request_count += 1
        if now - self.window_started_at >= WINDOW_US:
            self.on_window_end(now)
        r = Request(request, request_class, effect, now + useful)
        self.requests[request] = r
        ctl = self.controller
        self.retry_tokens = min(
            self.retry_tokens + RETRY_BUDGET_RATIO, max(float(MIN_CONCURRENCY), sqrt(ctl.limit))
        )
        limit = ctl.current_limit()
        if s.tier == 0:
            # Trunk reservation: a class of lesser worth for its time leaves sqrt(limit) slots for
            # what is worth more, a tenant beyond its share twice that.
            over = not self.tenant_quotas.take(now, tenant)
            limit -= (self.class_rank[request_class] + 2 * over) * ctl.headroom()
            admitted = ctl.admits(now, limit, self.mean_rtt[request_class])
            if not admitted or (over and s.over_quota_weight < MIN_OVER_QUOTA_WEIGHT):
                self.blocked_count += 1
                self.finish(r, refuse=True, reason=self.shed_reason(admitted))
                return
        elif not ctl.admits(now, limit, self.mean_rtt[request_class]):
            self.enqueue(now, r)
            return
        self.send_attempt(now, r)

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
        if r is not None and r.timed_out_per_try and outcome == Outcome.CANCELLED:
            outcome = Outcome.TIMEOUT
        if srv is not None and srv.in_flight > 0:
            if report and self.report_columns:
                self.record_load_report(srv, report)
            self.record_outcome(now, srv, r, outcome, latency)
        if r is not None and r.server is not None and attempt == r.attempts - 1:
            r.server = None
            if final or outcome == Outcome.OK:
                del self.requests[request]
            elif r.response_begun:
                refuse = outcome in NEVER_RAN and r.may_have_run_on is None
                self.finish(r, refuse, FinalReason.ANSWER_BROKE)
            else:
                self.retry_or_finish(now, r, srv, outcome)
        if self.queue:
            self.serve_queue(now)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        r = self.requests.get(request)
        if r is not None:
            r.response_begun = True

    def uploading(self, now: int, request: int, on: bool) -> None:
        """A body passed on while it comes holds no slot, and its time counts from its last byte."""
        r = self.requests.get(request)
        if r is None or r.server is None or r.upload_parked == on:
            return
        step, r.upload_parked = -1 if on else 1, on
        r.server.in_flight += step
        if not r.server.excluded_from_limit:
            self.controller.change_in_flight(
                now, step, self.controller.current_limit(), self.mean_rtt[r.request_class]
            )
        if not on:
            r.deadline += now - r.sent_at
            r.sent_at = r.server.silent_since = now

    def client_disconnected(self, now: int, request: int) -> None:
        r = self.requests.pop(request, None)
        if r is not None and r.queued:
            # Failure prevented: calls whose client left fill the room for calls that wait for a slot.
            r.queued = False
            self.queue.remove(r)
        if r is None or r.server is None or r.response_begun:
            return
        waited = now - r.sent_at
        if waited > self.controller.target[r.request_class] and not r.server.excluded_from_limit:
            # Failure prevented: clients give up before any time-out, calls end as cancelled, and a copy whose
            # servers answer nobody in time sees no sample of it.
            self.controller.record_sample(now, r.request_class, waited)
            self.record_latency(r.server, min(waited / self.mean_rtt[r.request_class], MAX_SLOWNESS))
        if self.settings.cancel:
            self.actions.cancel(request, r.attempts - 1)

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """The module asks for no probes: its trials are real calls. A control service probes by itself."""
        self.load_reported(now, server, int(ok), int(not ok), report)

    def load_reported(self, now: int, server: int, good: int, bad: int, report: Sequence[float]) -> None:
        """Calls that others made to a server, and how many failed."""
        if server in self.servers:
            self.record_external_results(now, self.servers[server], good, bad, report)

    def timer(self, now: int, token: int) -> None:
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_QUEUED:
            r = self.requests.get(value)
            if r is not None and r.queued:
                r.queued = False
                self.blocked_count += 1
                self.finish(r, refuse=True, reason=FinalReason.QUEUE_TIMEOUT)
        elif kind == TIMER_ATTEMPT:
            r = self.requests.get(value >> ATTEMPT_BITS)
            if r is not None and r.server is not None and r.attempts == value & ((1 << ATTEMPT_BITS) - 1):
                self.per_try_timeout(now, r)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, with the source's names where it has them."""
        c = self.controller
        return {
            "concurrency_limit": c.current_limit(),
            "gradient": c.gradient,
            "burst_queue_size": c.headroom(),
            "min_rtt_msecs": max(c.min_rtt) / 1000,
            "sample_rtt_ratio": c.sample_rtt,
            "rq_blocked": self.blocked_count,
            "min_rtt_calculation_active": float(c.measuring_min_rtt),
            "in_flight": c.in_flight,
            "members": len(self.members),
            "ejected": len(self.ejected),
            "zones_cut": len(self.ejected_zones),
            "spill": self.cross_zone_fraction,
            "lost": c.lost_fraction,
            "rq_per_try_timeout": self.per_try_timeouts,
            "rq_overtaken": self.overtaken_timeouts,
        }

    def endpoint_snapshots(self, now: int) -> list[EndpointSnapshot]:
        """What is thought of each server. Changes nothing."""
        mean, memory = min(self.mean_rtt), self.retention()
        limit = self.controller.current_limit() / max(1, len(self.eligible))
        views = []
        for srv in self.servers.values():
            cost = srv.load(now, mean, memory, self.mean_load_cost) / (srv.in_flight + 1)
            state = EndpointState.READY if srv.listed else EndpointState.DRAINING
            views.append(
                EndpointSnapshot(srv.id, state, srv.ejected, self.slow_start_factor(now, srv), cost, limit)
            )
        return views

    # ---- a request's life -----------------------------------------------------------------------------

    def send_attempt(self, now: int, r: Request) -> None:
        """Sends the request to the server drawn for it, or answers it when there is none."""
        srv = self.pick(now, r)
        if srv is None:
            self.finish(r, refuse=r.may_have_run_on is None, reason=FinalReason.NO_SERVER)
            return
        timeout = r.deadline - now
        if srv.excluded_from_limit and r.idempotency != Idempotency.NON_IDEMPOTENT:
            # A trial of an ejected server or a cut zone must not cost the request its whole time.
            timeout = min(
                timeout, max(self.settings.tick, int(UNRESPONSIVE_RTTS * self.mean_rtt[r.request_class]))
            )
        if srv.in_flight == 0:
            srv.silent_since = now
        srv.in_flight += 1
        if not srv.excluded_from_limit:
            self.controller.change_in_flight(
                now, 1, self.controller.current_limit(), self.mean_rtt[r.request_class]
            )
        zone = self.zones[srv.zone]
        if zone.sent_count == 0:
            zone.first_sent_at = now
        zone.sent_count += 1
        if srv.slow_start_until <= now:
            self.warm_send_count += 1
        r.server = srv
        r.sent_at = now
        r.attempts += 1
        self.actions.send(r.id, srv.id, timeout)
        if r.idempotency != Idempotency.NON_IDEMPOTENT:
            mean, deviation = self.mean_rtt[r.request_class], self.rtt_deviation[r.request_class]
            first = mean + (TIMEOUT_DEVIATIONS + self.tier_retry_margin) * deviation
            wait = min(first, timeout - mean - deviation)
            if wait >= first / 2:
                self.start_attempt_timer(r, wait)

    def start_attempt_timer(self, r: Request, wait: float) -> None:
        token = r.id << ATTEMPT_BITS | r.attempts
        self.actions.set_timer(max(1, int(wait)), TIMER_ATTEMPT << TOKEN_BITS | token)

    def per_try_timeout(self, now: int, r: Request) -> None:
        """Gives up an attempt that is lost, where a further one is allowed and paid for.

        Lost and slow are told apart by the server's other calls: it has answered one that was sent a whole
        mean round-trip later, or long enough has passed for that while hardly any call is late. Until then
        the question is put again every mean deviation.

        Failure prevented: a connection that has fallen silent, a cut-off machine or an answer that stops half
        way costs a request its whole time, in every tier above too. It hurts where all is slow: a late call
        that is not lost is run twice, at the servers that have least to spare.
        """
        s, srv = self.settings, r.server
        assert srv is not None
        if not s.cancel or r.response_begun or r.upload_parked or r.attempts >= s.max_attempts:
            return
        mean, deviation = self.mean_rtt[r.request_class], self.rtt_deviation[r.request_class]
        answered = srv.newest_answered_at > r.sent_at + mean
        lost = answered or now - r.sent_at >= mean + (LOST_DEVIATIONS + self.tier_retry_margin) * deviation
        if lost and self.controller.late_fraction <= MAX_LATE_FRACTION and self.retry_tokens >= 1:
            self.retry_tokens -= 1
            self.per_try_timeouts += 1
            r.timed_out_per_try = True
            self.actions.cancel(r.id, r.attempts - 1)
        elif now + deviation + mean < r.deadline:
            self.start_attempt_timer(r, max(deviation, s.tick))

    def retry_or_finish(self, now: int, r: Request, srv: Server | None, outcome: Outcome) -> None:
        """A further attempt where class, time, budget and attempt cap allow it; a final answer otherwise."""
        if outcome not in NEVER_RAN and r.may_have_run_on is None:
            r.may_have_run_on = srv
            r.may_have_run_at = r.sent_at
        r.previous_server = srv
        ran = r.may_have_run_on is not None
        # An attempt that never ran cost its server nothing: a further one is not counted as a retry.
        price = int(outcome not in NEVER_RAN and not r.timed_out_per_try)
        r.timed_out_per_try = False
        why_not = self.no_retry_reason(now, r, price)
        if why_not is not None:
            self.finish(r, refuse=not ran or r.idempotency == Idempotency.IDEMPOTENT, reason=why_not)
            return
        # Retries multiply through tiers and clients: each copy spends a share of its first attempts.
        self.retry_tokens -= price
        self.send_attempt(now, r)

    def shed_reason(self, admitted: bool) -> FinalReason:
        """Why a request is refused with no attempt. Where there is no server the limit admits none either."""
        if not self.eligible:
            return FinalReason.NO_SERVER
        return FinalReason.OVER_SHARE if admitted else FinalReason.AT_LIMIT

    def no_retry_reason(self, now: int, r: Request, price: int) -> FinalReason | None:
        """What forbids a further attempt, which costs so many retry tokens; None if nothing does."""
        window = self.settings.classes[r.request_class].deduplication_window
        repeatable = r.idempotency == Idempotency.IDEMPOTENT or (
            r.idempotency == Idempotency.IDEMPOTENCY_KEY and now < r.may_have_run_at + window
        )
        if r.may_have_run_on is not None and not repeatable:
            return FinalReason.MAY_HAVE_RUN
        if r.attempts >= self.settings.max_attempts:
            return FinalReason.ATTEMPTS_USED
        if self.retry_tokens < price:
            return FinalReason.RETRY_BUDGET
        if now + self.mean_rtt[r.request_class] >= r.deadline:
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

    def enqueue(self, now: int, r: Request) -> None:
        """Below the first tier a refusal wastes the work already sunk above: the call waits for a free slot.

        Acts only where callers are servers, at the limit, for up to half the time left, for as many calls
        as the limit.
        """
        if not self.eligible or len(self.queue) >= self.controller.limit:
            self.blocked_count += 1
            self.finish(
                r, refuse=True, reason=FinalReason.QUEUE_FULL if self.eligible else FinalReason.NO_SERVER
            )
            return
        r.queued = True
        self.queue.append(r)
        self.actions.set_timer(max(1, (r.deadline - now) // 2), TIMER_QUEUED << TOKEN_BITS | r.id)

    def serve_queue(self, now: int) -> None:
        waiting = self.queue
        while waiting and (
            not waiting[0].queued or self.controller.in_flight < self.controller.current_limit()
        ):
            r = waiting.popleft()
            if r.queued and r.id in self.requests:
                r.queued = False
                self.send_attempt(now, r)
