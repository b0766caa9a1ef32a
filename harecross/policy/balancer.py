"""The balancer: a host's events in, actions out, over the life of each request."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import sqrt
from random import Random

from harecross.interface import (
    NOT_PROCESSED,
    Actions,
    Endpoint,
    EndpointSnapshot,
    EndpointState,
    EndpointUpdateKind,
    FinalReason,
    Idempotency,
    Outcome,
    Settings,
)
from harecross.policy import balancer_stats
from harecross.policy.controller import MAX_LATE_FRACTION, OBJECTIVE_FRACTION, WINDOW_US, GradientController
from harecross.policy.endpoint_picker import EndpointPicker
from harecross.policy.fleet_limits import MIN_CONCURRENCY
from harecross.policy.outcome_recorder import OutcomeRecorder
from harecross.policy.outlier_detection import UNRESPONSIVE_RTTS, OutlierDetector
from harecross.policy.records import Request, Server
from harecross.policy.slow_start import SlowStart
from harecross.policy.subset import Subset
from harecross.policy.tenant_quotas import TenantQuotas
from harecross.policy.traffic_stats import TrafficStats
from harecross.policy.zone_preference import ZonePreference

RETRY_BUDGET_RATIO = 0.1  # retries allowed for each first attempt
TIMEOUT_DEVIATIONS = 4  # mean deviations above the mean round-trip after which an attempt may be lost...
LOST_DEVIATIONS = 8  # ...and after which it is, though its server has answered no later one
DEVIATIONS_PER_TIER = 2  # more of them for each tier below, which is to give up first
MIN_OVER_QUOTA_WEIGHT = 0.5  # requests above a quota with less weight are shed at once
TIMER_QUEUED, TIMER_ATTEMPT = 2, 3  # the top byte of a timer's token
TOKEN_BITS, ATTEMPT_BITS = 56, 8


class Balancer:
    """The decisions of one node, from its own traffic alone. Implements `interface.Events`."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings, self.actions = settings, actions
        rng = Random(seed)
        fraction = OBJECTIVE_FRACTION * (settings.tiers - settings.tier) / settings.tiers
        objectives = [c.latency_objective for c in settings.classes]
        allowances = [int(objective * fraction) for objective in objectives]
        self.controller = controller = GradientController(allowances, settings.max_open, rng, 0)
        self.traffic = traffic = TrafficStats(settings, fraction)
        self.zone_preference = preference = ZonePreference(settings)
        self.slow_start = SlowStart(settings)
        self.subset = subset = Subset(settings, rng, actions, controller, preference)
        self.outliers = outliers = OutlierDetector(rng, actions, subset, traffic, min(objectives))
        self.recorder = OutcomeRecorder(subset, traffic, outliers)
        self.picker = EndpointPicker(settings, rng, subset, traffic, outliers, self.slow_start)
        self.tenant_quotas = TenantQuotas([t.quota / settings.instance_count for t in settings.tenants])
        self.requests: dict[int, Request] = {}
        self.queue: deque[Request] = deque()
        self.retry_tokens = float(MIN_CONCURRENCY)
        self.tier_deviations = DEVIATIONS_PER_TIER * (settings.tiers - 1 - settings.tier)
        self.final_reason = FinalReason.NO_SERVER  # of the last request shed or failed, within that action
        self.window_start = self.shed_requests = self.per_try_timeouts = 0
        self._rank_classes()

    def start(self, now: int) -> None:
        """Starts to measure min_rtt, and subscribes where discovery does not push."""
        self.controller.start_min_rtt_window(now)
        self.window_start = self.tenant_quotas.refilled_at = now
        if self.settings.discovery_polled:
            self.actions.subscribe(True)

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """Takes over the endpoint list and renews the subset."""
        if kind == EndpointUpdateKind.FAILED:
            return  # the present list holds; the host calls discovery again
        latest = {entry.server: entry for entry in entries}
        if kind != EndpointUpdateKind.CHANGES:
            for server in self.subset.servers.values():
                if server.listed and server.id not in latest:
                    self.outliers.remove(server)
        for entry in latest.values():
            self._apply(now, entry)
        self.subset.remove_unused()
        self.subset.refill()

    def _apply(self, now: int, entry: Endpoint) -> None:
        """Takes over one entry; a server that has started again is measured anew."""
        server = self.subset.servers.get(entry.server)
        if entry.state != EndpointState.READY:
            if server is not None:
                self.outliers.remove(server)
            return
        server = server or self.subset.add(entry)
        if server.ready_at != entry.ready_at:
            if server.ejected:
                self.outliers.readmit(server)
            server.restart(entry.ready_at)
        self.subset.list_server(server, entry)
        self.slow_start.begin(now, server)

    def request(
        self, now: int, request_id: int, request_class: int, tenant: int, time_left: int, repeat: bool
    ) -> None:
        """Sends a first attempt, sheds the request, or has it wait below the first tier."""
        settings, controller = self.settings, self.controller
        # A class that the settings do not have might be one that must not run twice.
        unknown = request_class >= len(settings.classes)
        request_class = min(request_class, len(settings.classes) - 1)
        class_settings = settings.classes[request_class]
        if (
            class_settings.late_priority_weight <= 0
            and class_settings.latency_objective - 2 * settings.tick < time_left
        ):
            # A late answer would be worth nothing: it is not waited for.
            time_left = max(settings.tick, class_settings.latency_objective - 2 * settings.tick)
        self.slow_start.requests += 1
        if now - self.window_start >= WINDOW_US:
            self.on_window_end(now)
        idempotency = Idempotency.NON_IDEMPOTENT if unknown else class_settings.idempotency
        request = Request(request_id, request_class, idempotency, now + time_left)
        self.requests[request_id] = request
        budget = max(float(MIN_CONCURRENCY), sqrt(controller.limit))
        self.retry_tokens = min(self.retry_tokens + RETRY_BUDGET_RATIO, budget)
        if settings.tier == 0:
            reason = self._shed_reason(now, request_class, tenant)
            if reason is not None:
                self.shed_requests += 1
                return self._finish(request, reason, shed=True)
        elif not controller.admits(now, controller.current_limit(), self.traffic.mean_rtt[request_class]):
            return self._enqueue(now, request)
        self._send_attempt(now, request)

    def _shed_reason(self, now: int, request_class: int, tenant: int) -> FinalReason | None:
        """Why a request is not admitted; None if it is.

        Classes of less weight and tenants above their quota leave headroom free for the others.
        """
        over_quota = not self.tenant_quotas.take_token(now, tenant)
        reserved = (self.class_rank[request_class] + 2 * over_quota) * self.controller.headroom()
        limit = self.controller.current_limit() - reserved
        admitted = self.controller.admits(now, limit, self.traffic.mean_rtt[request_class])
        if admitted and not (over_quota and self.settings.over_quota_weight < MIN_OVER_QUOTA_WEIGHT):
            return None
        if not self.subset.eligible:
            return FinalReason.NO_SERVER
        return FinalReason.OVER_QUOTA if admitted else FinalReason.AT_LIMIT

    def _rank_classes(self) -> None:
        """Rank 1 for classes whose weight for their time is below half the best class's."""
        classes = zip(self.settings.classes, self.traffic.mean_rtt, strict=True)
        density = [c.priority_weight / max(1.0, rtt) for c, rtt in classes]
        best = max(density)
        self.class_rank = [int(weight < best / 2) for weight in density]

    def on_window_end(self, now: int) -> None:
        """Renews what changes slowly: slow-start rates, ranks of classes, cross-zone fraction."""
        span, self.window_start = now - self.window_start, now
        self.slow_start.on_window_end(now, span, self.subset.members, self.controller.answers_on_time())
        self._rank_classes()
        if self.zone_preference.enabled and self.subset.local:
            self.zone_preference.on_window_end()

    def outcome(
        self,
        now: int,
        request_id: int,
        attempt: int,
        server_id: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """Books the outcome and retries or finishes the request."""
        server = self.subset.servers.get(server_id)
        request = self.requests.get(request_id)
        if request is not None and request.timed_out and outcome == Outcome.CANCELLED:
            outcome = Outcome.TIMEOUT
        if server is not None and server.in_flight > 0:
            if report and self.traffic.columns:
                self.traffic.record_load_report(server, report)
            self.recorder.record(now, server, request, outcome, latency)
        if request is not None and request.server is not None and attempt == request.attempts - 1:
            request.server = None
            if final or outcome == Outcome.OK:
                del self.requests[request_id]
            elif request.response_started:
                never_ran = outcome in NOT_PROCESSED and request.ran_on is None
                self._finish(request, FinalReason.RESPONSE_BROKEN, shed=never_ran)
            else:
                self._retry_or_finish(now, request, server, outcome)
        if self.queue:
            self._serve_queue(now)

    def response_started(self, now: int, request_id: int, attempt: int, server_id: int, latency: int) -> None:
        """From now on the request is not retried."""
        request = self.requests.get(request_id)
        if request is not None:
            request.response_started = True

    def uploading(self, now: int, request_id: int, on: bool) -> None:
        """While its body is passed on, a request is not in flight; its time counts from the last byte."""
        request = self.requests.get(request_id)
        if request is None or request.server is None or request.uploading == on:
            return
        change, request.uploading = -1 if on else 1, on
        request.server.in_flight += change
        if not request.server.excluded:
            limit, mean_rtt = self.controller.current_limit(), self.traffic.mean_rtt[request.request_class]
            self.controller.change_in_flight(now, change, limit, mean_rtt)
        if not on:
            request.deadline += now - request.sent_at
            request.sent_at = request.server.last_progress_at = now

    def client_disconnected(self, now: int, request_id: int) -> None:
        """Forgets the request and cancels its attempt."""
        request = self.requests.pop(request_id, None)
        if request is None:
            return
        if request.queued:
            request.queued = False
            self.queue.remove(request)
        if request.server is None or request.response_started:
            return
        waited = now - request.sent_at
        if waited > self.controller.target[request.request_class] and not request.server.excluded:
            # Clients that give up before any time-out show that answers are late.
            self.controller.record_sample(now, request.request_class, waited)
            self.traffic.record_slowness(request.server, request.request_class, waited)
        if self.settings.cancel:
            self.actions.cancel(request_id, request.attempts - 1)

    def health_checked(
        self, now: int, server_id: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None:
        """The balancer asks for no health checks: a control service checks by itself."""
        self.load_reported(now, server_id, int(ok), int(not ok), report)

    def load_reported(self, now: int, server_id: int, good: int, bad: int, report: Sequence[float]) -> None:
        """Books outcomes that others saw."""
        server = self.subset.servers.get(server_id)
        if server is not None:
            self.outliers.record_outcomes(now, server, good, bad, report)

    def timer(self, now: int, token: int) -> None:
        """A request has waited long enough in the queue, or an attempt may be lost."""
        kind, value = token >> TOKEN_BITS, token & ((1 << TOKEN_BITS) - 1)
        if kind == TIMER_QUEUED:
            request = self.requests.get(value)
            if request is not None and request.queued:
                request.queued = False
                self.shed_requests += 1
                self._finish(request, FinalReason.QUEUE_TIMEOUT, shed=True)
        elif kind == TIMER_ATTEMPT:
            request = self.requests.get(value >> ATTEMPT_BITS)
            attempts = value & ((1 << ATTEMPT_BITS) - 1)
            if request is not None and request.server is not None and request.attempts == attempts:
                self.per_try_timeout(now, request)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Not used: a node decides from its own traffic."""

    def stats(self) -> dict[str, float]:
        """Statistics, for logs and metrics."""
        parts = self.controller, self.subset, self.outliers, self.recorder
        return balancer_stats.stats(*parts, self.shed_requests, self.per_try_timeouts)

    def endpoint_snapshots(self, now: int) -> list[EndpointSnapshot]:
        """What is known of each server."""
        return balancer_stats.snapshots(now, self.subset, self.outliers, self.slow_start)

    def _send_attempt(self, now: int, request: Request) -> None:
        """Sends the request to the server picked for it, or finishes it if there is none."""
        server = self.picker.pick(now, request)
        if server is None:
            return self._finish(request, FinalReason.NO_SERVER, shed=request.ran_on is None)
        mean = self.traffic.mean_rtt[request.request_class]
        repeatable = request.idempotency != Idempotency.NON_IDEMPOTENT
        timeout = request.deadline - now
        if server.excluded and repeatable:
            # A recovery probe must not cost the request its whole time.
            timeout = min(timeout, max(self.settings.tick, int(UNRESPONSIVE_RTTS * mean)))
        if server.in_flight == 0:
            server.last_progress_at = now
        server.in_flight += 1
        if not server.excluded:
            self.controller.change_in_flight(now, 1, self.controller.current_limit(), mean)
        zone = self.subset.zones[server.zone]
        if zone.sends == 0:
            zone.first_send_at = now
        zone.sends += 1
        if server.slow_start_until <= now:
            self.slow_start.warm_sends += 1
        request.server, request.sent_at = server, now
        request.attempts += 1
        self.actions.send(request.id, server.id, timeout)
        if repeatable:
            deviation = self.traffic.deviation[request.request_class]
            first = mean + (TIMEOUT_DEVIATIONS + self.tier_deviations) * deviation
            wait = min(first, timeout - mean - deviation)
            if wait >= first / 2:
                self._start_attempt_timer(request, wait)

    def _start_attempt_timer(self, request: Request, wait: float) -> None:
        """Has `per_try_timeout` called for this attempt."""
        token = request.id << ATTEMPT_BITS | request.attempts
        self.actions.set_timer(max(1, int(wait)), TIMER_ATTEMPT << TOKEN_BITS | token)

    def per_try_timeout(self, now: int, request: Request) -> None:
        """Gives up an attempt that is lost, not slow.

        It is lost when its server has answered one that was sent a mean round-trip later, or when it is long
        overdue while hardly any request is late. Until then this is asked again every mean deviation.
        """
        settings, server = self.settings, request.server
        assert server is not None
        if not settings.cancel or request.response_started or request.uploading:
            return
        if request.attempts >= settings.max_attempts:
            return
        mean = self.traffic.mean_rtt[request.request_class]
        deviation = self.traffic.deviation[request.request_class]
        answered = server.answered_send_at > request.sent_at + mean
        patience = mean + (LOST_DEVIATIONS + self.tier_deviations) * deviation
        lost = answered or now - request.sent_at >= patience
        if lost and self.controller.late_fraction <= MAX_LATE_FRACTION and self.retry_tokens >= 1:
            self.retry_tokens -= 1
            self.per_try_timeouts += 1
            request.timed_out = True
            self.actions.cancel(request.id, request.attempts - 1)
        elif now + deviation + mean < request.deadline:
            self._start_attempt_timer(request, max(deviation, settings.tick))

    def _retry_or_finish(self, now: int, request: Request, server: Server | None, outcome: Outcome) -> None:
        """Sends a further attempt where one is allowed; gives the final answer otherwise."""
        if outcome not in NOT_PROCESSED and request.ran_on is None:
            request.ran_on = server
            request.ran_at = request.sent_at
        request.previous = server
        # The per-try timeout has paid for its retry; after an attempt that never ran a retry is free.
        price = int(outcome not in NOT_PROCESSED and not request.timed_out)
        request.timed_out = False
        reason = self._no_retry_reason(now, request, price)
        if reason is not None:
            harmless = request.ran_on is None or request.idempotency == Idempotency.IDEMPOTENT
            return self._finish(request, reason, shed=harmless)
        self.retry_tokens -= price
        self._send_attempt(now, request)

    def _no_retry_reason(self, now: int, request: Request, price: int) -> FinalReason | None:
        """What forbids a retry that costs so many retry tokens; None if nothing does."""
        window = self.settings.classes[request.request_class].deduplication_window
        repeatable = request.idempotency == Idempotency.IDEMPOTENT or (
            request.idempotency == Idempotency.IDEMPOTENCY_KEY and now < request.ran_at + window
        )
        if request.ran_on is not None and not repeatable:
            return FinalReason.MAY_HAVE_RUN
        if request.attempts >= self.settings.max_attempts:
            return FinalReason.ATTEMPTS_USED
        if self.retry_tokens < price:
            return FinalReason.RETRY_BUDGET
        if now + self.traffic.mean_rtt[request.request_class] >= request.deadline:
            return FinalReason.NO_TIME_TO_RETRY
        return None

    def _finish(self, request: Request, reason: FinalReason, *, shed: bool) -> None:
        """Gives the one final answer; `shed` only where a retry by the client does no harm."""
        del self.requests[request.id]
        self.final_reason = reason
        if not shed:
            return self.actions.fail(request.id)
        # Clients that come back after the latency objective get little for their retries.
        objective = self.settings.classes[request.request_class].latency_objective
        after = min(self.settings.max_retry_after, objective // 8) if self.settings.retry_after else 0
        self.actions.shed(request.id, after)

    def _enqueue(self, now: int, request: Request) -> None:
        """Below the first tier a request waits at the limit: shedding it would waste the work done above."""
        if not self.subset.eligible or len(self.queue) >= self.controller.limit:
            self.shed_requests += 1
            reason = FinalReason.QUEUE_FULL if self.subset.eligible else FinalReason.NO_SERVER
            return self._finish(request, reason, shed=True)
        request.queued = True
        self.queue.append(request)
        self.actions.set_timer(max(1, (request.deadline - now) // 2), TIMER_QUEUED << TOKEN_BITS | request.id)

    def _serve_queue(self, now: int) -> None:
        """Sends queued requests while the limit has room for them."""
        queue, controller = self.queue, self.controller
        while queue and (not queue[0].queued or controller.in_flight < controller.current_limit()):
            request = queue.popleft()
            if request.queued and request.id in self.requests:
                request.queued = False
                self._send_attempt(now, request)
