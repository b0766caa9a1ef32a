"""The balancer, which turns the events of a host into actions over the lifetime of each request."""

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
from harecross.policy.attempts import AttemptTable
from harecross.policy.controller import MAX_LATE_FRACTION, OBJECTIVE_FRACTION, WINDOW_US, GradientController
from harecross.policy.endpoint_picker import EndpointPicker
from harecross.policy.fleet_limits import MIN_CONCURRENCY
from harecross.policy.outcome_recorder import OutcomeRecorder
from harecross.policy.outlier_detection import UNRESPONSIVE_RTTS, OutlierDetector
from harecross.policy.per_try_timing import PerTryTiming
from harecross.policy.records import Attempt, Request
from harecross.policy.slow_start import SlowStart
from harecross.policy.subset import Subset
from harecross.policy.tenant_quotas import TenantQuotas
from harecross.policy.traffic_stats import TrafficStats
from harecross.policy.zone_preference import ZonePreference

RETRY_BUDGET_RATIO = 0.1  # retries allowed for each first attempt
MIN_OVER_QUOTA_WEIGHT = 0.5  # requests above a quota are shed at once if their weight is below this
TIMER_QUEUED, TIMER_ATTEMPT = 2, 3  # values of the top byte of a timer's token
TOKEN_BITS, ATTEMPT_BITS = 56, 8


class Balancer:
    """Makes the decisions of one node from its own traffic alone. Implements `interface.Events`."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings, self.actions = settings, actions
        rng = Random(seed)
        fraction = OBJECTIVE_FRACTION * (settings.tiers - settings.tier) / settings.tiers
        objectives = [c.latency_objective for c in settings.classes]
        latency_allowances = [int(objective * fraction) for objective in objectives]
        self.controller = controller = GradientController(latency_allowances, settings.max_open, rng, 0)
        self.traffic = traffic = TrafficStats(settings, fraction)
        self.zone_preference = preference = ZonePreference(settings)
        self.slow_start = SlowStart(settings)
        self.subset = subset = Subset(settings, rng, actions, controller, preference)
        self.outliers = outliers = OutlierDetector(rng, actions, subset, traffic, min(objectives))
        self.recorder = OutcomeRecorder(subset, traffic, outliers)
        self.picker = EndpointPicker(settings, rng, subset, traffic, outliers, self.slow_start)
        self.tenant_quotas = TenantQuotas([t.quota / settings.instance_count for t in settings.tenants])
        self.requests: dict[int, Request] = {}
        self.attempts = AttemptTable(controller, traffic)
        self.queue: deque[Request] = deque()
        self.retry_tokens = float(MIN_CONCURRENCY)
        self.per_try_timing = PerTryTiming(settings.tiers - 1 - settings.tier)
        # The reason of the last request that was shed or failed; the host reads it during that action.
        self.final_reason = FinalReason.NO_SERVER
        self.window_start = self.shed_requests = self.per_try_timeouts = 0
        self._rank_classes()

    def start(self, now: int) -> None:
        """Starts the first minRTT window, and subscribes to the endpoint list if it is not pushed."""
        self.controller.start_min_rtt_window(now)
        self.window_start = self.tenant_quotas.refilled_at = now
        if self.settings.discovery_polled:
            self.actions.subscribe(True)

    def endpoint_update(self, now: int, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """Applies an endpoint update and refills the subset."""
        if kind == EndpointUpdateKind.FAILED:
            return  # The current list stays in use, and the host calls discovery again.
        latest = {entry.server: entry for entry in entries}
        if kind != EndpointUpdateKind.CHANGES:
            for server in self.subset.servers.values():
                if server.listed and server.id not in latest:
                    self.outliers.remove(server)
        for entry in latest.values():
            self._apply_entry(now, entry)
        self.subset.remove_unused()
        self.subset.refill()

    def _apply_entry(self, now: int, entry: Endpoint) -> None:
        """Applies one entry. The measurements of a server that has restarted are reset."""
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
        """Sends the first attempt, sheds the request or, below the first tier, queues it."""
        settings, controller = self.settings, self.controller
        # A class that the settings do not define may contain requests that must not be processed twice.
        unknown = request_class >= len(settings.classes)
        request_class = min(request_class, len(settings.classes) - 1)
        class_settings = settings.classes[request_class]
        if (
            class_settings.late_priority_weight <= 0
            and class_settings.latency_objective - 2 * settings.tick < time_left
        ):
            # A late response has no weight in this class, so the node does not wait for one.
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
        """Returns why a request is not admitted, or None if it is admitted.

        Classes of low weight and tenants above their quota get a lower limit; the others keep the headroom.
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
        """Gives rank 1 to classes whose weight per mean round-trip is below half of the best, else 0."""
        classes = zip(self.settings.classes, self.traffic.mean_rtt, strict=True)
        weight_per_time = [c.priority_weight / max(1.0, rtt) for c, rtt in classes]
        best = max(weight_per_time)
        self.class_rank = [int(weight < best / 2) for weight in weight_per_time]

    def on_window_end(self, now: int) -> None:
        """Updates the slow-start rate, the ranks of the classes and the cross-zone fraction."""
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
        """Records the outcome and retries or finishes the request."""
        ended = self.attempts.end(now, request_id, attempt)
        if ended is not None:
            request = self.requests.get(request_id)
            if request is not None and request.timed_out and outcome == Outcome.CANCELLED:
                outcome = Outcome.TIMEOUT
            if report and self.traffic.report_columns:
                self.traffic.record_load_report(ended.server, report)
            self.recorder.record(now, ended.server, request, outcome, latency)
            if request is not None:
                self._attempt_ended(now, request, ended, outcome, final=final)
        if self.queue:
            self._serve_queue(now)

    def _attempt_ended(
        self, now: int, request: Request, attempt: Attempt, outcome: Outcome, *, final: bool
    ) -> None:
        """Ends an open request or retries it; `final` tells that the host has given the final answer."""
        request.attempt = None
        if final or outcome == Outcome.OK:
            del self.requests[request.id]
        elif request.response_started:
            not_processed = outcome in NOT_PROCESSED and request.possibly_processed is None
            self._finish(request, FinalReason.RESPONSE_BROKEN, shed=not_processed)
        else:
            self._retry_or_finish(now, request, attempt, outcome)

    def response_started(self, now: int, request_id: int, attempt: int, server_id: int, latency: int) -> None:
        """Notes that the request cannot be retried any more."""
        request = self.requests.get(request_id)
        if request is not None:
            request.response_started = True

    def uploading(self, now: int, request_id: int, on: bool) -> None:
        """Takes a request out of the requests in flight while its body is forwarded.

        Its round-trip and its deadline count from the last byte of the body.
        """
        attempt = self.attempts.by_request.get(request_id)
        if attempt is None or not self.attempts.set_uploading(now, attempt, on=on) or on:
            return
        attempt.server.last_progress_at = now
        request = self.requests.get(request_id)
        if request is not None:
            request.deadline += now - request.sent_at
            request.sent_at = now

    def client_disconnected(self, now: int, request_id: int) -> None:
        """Removes the request and cancels its attempt."""
        request = self.requests.pop(request_id, None)
        if request is None:
            return
        if request.queued:
            request.queued = False
            self.queue.remove(request)
        if request.server is None or request.response_started:
            return
        waited = now - request.sent_at
        if waited > self.controller.target[request.request_class] and not request.server.excluded_from_limit:
            # Clients that give up before a timeout leave no other sample of the high latency.
            self.controller.record_sample(now, request.request_class, waited)
            self.traffic.record_slowness(request.server, request.request_class, waited)
        if self.settings.cancel:
            self.actions.cancel(request_id, request.attempts - 1)

    def health_checked(
        self, now: int, server_id: int, ok: bool, latency: int, report: Sequence[float]
    ) -> None:
        """Records a health check. The balancer requests none, because a control service runs its own."""
        self.load_reported(now, server_id, int(ok), int(not ok), report)

    def load_reported(self, now: int, server_id: int, good: int, bad: int, report: Sequence[float]) -> None:
        """Records outcomes that were observed elsewhere."""
        server = self.subset.servers.get(server_id)
        if server is not None:
            self.outliers.record_outcomes(now, server, good, bad, report)

    def timer(self, now: int, token: int) -> None:
        """Sheds a request that has waited too long in the queue, or checks an attempt that may be lost."""
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
        """Does nothing: a node decides from its own traffic alone."""

    def stats(self) -> dict[str, float]:
        """Returns the statistics for logs and metrics, by name."""
        parts = self.controller, self.subset, self.outliers, self.recorder
        return balancer_stats.stats(*parts, self.shed_requests, self.per_try_timeouts)

    def endpoint_snapshots(self, now: int) -> list[EndpointSnapshot]:
        """Returns a snapshot of each known server."""
        return balancer_stats.snapshots(now, self.subset, self.outliers, self.slow_start)

    def _send_attempt(self, now: int, request: Request) -> None:
        """Picks a server and sends the request to it, or finishes the request if there is no server."""
        server = self.picker.pick(now, request)
        if server is None:
            return self._finish(request, FinalReason.NO_SERVER, shed=request.possibly_processed is None)
        mean = self.traffic.mean_rtt[request.request_class]
        repeatable = request.idempotency != Idempotency.NON_IDEMPOTENT
        timeout = request.deadline - now
        if server.excluded_from_limit and repeatable:
            # A recovery probe that fails must leave the request enough time for a retry.
            timeout = min(timeout, max(self.settings.tick, int(UNRESPONSIVE_RTTS * mean)))
        if server.in_flight == 0:
            server.last_progress_at = now
        self.attempts.start(now, request, server)
        zone = self.subset.zones[server.zone]
        if zone.sends == 0:
            zone.first_send_at = now
        zone.sends += 1
        if server.slow_start_until <= now:
            self.slow_start.warm_sends += 1
        self.actions.send(request.id, server.id, timeout)
        if repeatable:
            deviation = self.traffic.deviation[request.request_class]
            wait = self.per_try_timing.first_check(mean, deviation, timeout)
            if wait is not None:
                self._start_attempt_timer(request, wait)

    def _start_attempt_timer(self, request: Request, wait: float) -> None:
        """Starts the timer that calls `per_try_timeout` for this attempt."""
        token = request.id << ATTEMPT_BITS | request.attempts
        self.actions.set_timer(max(1, int(wait)), TIMER_ATTEMPT << TOKEN_BITS | token)

    def per_try_timeout(self, now: int, request: Request) -> None:
        """Cancels an attempt that is lost rather than slow.

        It is lost if its server has answered an attempt that was sent a mean round-trip later, or if it is
        long overdue. It is not cancelled while many requests are late. An attempt that is not cancelled is
        checked again after a mean deviation.
        """
        settings, server = self.settings, request.server
        assert server is not None
        if not settings.cancel or request.response_started or request.uploading:
            return
        if request.attempts >= settings.max_attempts:
            return
        mean = self.traffic.mean_rtt[request.request_class]
        deviation = self.traffic.deviation[request.request_class]
        answered = server.newest_answered_sent_at > request.sent_at + mean
        lost = answered or self.per_try_timing.is_overdue(now - request.sent_at, mean, deviation)
        if lost and self.controller.late_fraction <= MAX_LATE_FRACTION and self.retry_tokens >= 1:
            self.retry_tokens -= 1
            self.per_try_timeouts += 1
            request.timed_out = True
            self.actions.cancel(request.id, request.attempts - 1)
        elif now + deviation + mean < request.deadline:
            self._start_attempt_timer(request, max(deviation, settings.tick))

    def _retry_or_finish(self, now: int, request: Request, ended: Attempt, outcome: Outcome) -> None:
        """Sends a further attempt if one is allowed, and gives the final answer otherwise."""
        if outcome not in NOT_PROCESSED and request.possibly_processed is None:
            request.possibly_processed = ended
            request.possibly_processed_at = request.sent_at
        request.previous = ended.server
        # The per-try timeout has already taken a retry token; a retry of an unprocessed attempt needs none.
        tokens = int(outcome not in NOT_PROCESSED and not request.timed_out)
        request.timed_out = False
        reason = self._no_retry_reason(now, request, tokens)
        if reason is not None:
            harmless = request.possibly_processed is None or request.idempotency == Idempotency.IDEMPOTENT
            return self._finish(request, reason, shed=harmless)
        self.retry_tokens -= tokens
        self._send_attempt(now, request)

    def _no_retry_reason(self, now: int, request: Request, tokens: int) -> FinalReason | None:
        """Returns why a retry that needs this many retry tokens is not allowed, or None if it is allowed."""
        window = self.settings.classes[request.request_class].deduplication_window
        repeatable = request.idempotency == Idempotency.IDEMPOTENT or (
            request.idempotency == Idempotency.IDEMPOTENCY_KEY
            and now < request.possibly_processed_at + window
        )
        if request.possibly_processed is not None and not repeatable:
            return FinalReason.MAY_HAVE_RUN
        if request.attempts >= self.settings.max_attempts:
            return FinalReason.ATTEMPTS_USED
        if self.retry_tokens < tokens:
            return FinalReason.RETRY_BUDGET
        if now + self.traffic.mean_rtt[request.request_class] >= request.deadline:
            return FinalReason.NO_TIME_TO_RETRY
        return None

    def _finish(self, request: Request, reason: FinalReason, *, shed: bool) -> None:
        """Gives the final answer; `shed` requires that a retry by the client does no harm."""
        del self.requests[request.id]
        self.final_reason = reason
        if not shed:
            return self.actions.fail(request.id)
        # A retry that the client sends after the latency objective has little weight left.
        objective = self.settings.classes[request.request_class].latency_objective
        after = min(self.settings.max_retry_after, objective // 8) if self.settings.retry_after else 0
        self.actions.shed(request.id, after)

    def _enqueue(self, now: int, request: Request) -> None:
        """Queues a request below the first tier, where shedding would waste the work of the tiers above."""
        if not self.subset.eligible or len(self.queue) >= self.controller.limit:
            self.shed_requests += 1
            reason = FinalReason.QUEUE_FULL if self.subset.eligible else FinalReason.NO_SERVER
            return self._finish(request, reason, shed=True)
        request.queued = True
        self.queue.append(request)
        self.actions.set_timer(max(1, (request.deadline - now) // 2), TIMER_QUEUED << TOKEN_BITS | request.id)

    def _serve_queue(self, now: int) -> None:
        """Sends queued requests while the concurrency limit allows it."""
        queue, controller = self.queue, self.controller
        while queue and (not queue[0].queued or controller.in_flight < controller.current_limit()):
            request = queue.popleft()
            if request.queued and request.id in self.requests:
                request.queued = False
                self._send_attempt(now, request)
