"""Connects a `Balancer` to the sockets: notifies it of events and carries out its actions."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping, Sequence
from time import monotonic
from typing import Protocol

from harecross.discovery.readiness import ListReadiness
from harecross.dispatch.deadlines import ResponseDeadlines, attempt_deadline_us
from harecross.dispatch.remembered_ids import RememberedIds
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, ResponseWriter, UpstreamAttempt
from harecross.dispatch.statistics import ClientCounts, UpstreamCounts
from harecross.dispatch.streamed_messages import StreamedMessages
from harecross.http.request_parser import ParsedRequest
from harecross.interface import (
    NOT_PROCESSED,
    DeduplicationScope,
    Endpoint,
    EndpointUpdateKind,
    FinalReason,
    Idempotency,
    Outcome,
    Settings,
)
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception, log_line
from harecross.policy.balancer import Balancer
from harecross.upstream.connection_pool import ConnectionPool
from harecross.upstream.exchange import NO_DEADLINE_US, Exchange

DEFAULT_ID_TABLE_BYTES = 1 << 18
NO_LIST_RETRY_AFTER_US = 250_000  # Retry-After while the node has no usable endpoint list


class EndpointSubscription(Protocol):
    """The operations on discovery that the balancer requests."""

    def subscribe(self, on: bool) -> None:
        """Opens or closes the watch on discovery."""

    def poll_endpoints(self) -> None:
        """Requests the full list from discovery."""


class RequestDispatcher(StreamedMessages):
    """Admits requests, carries out the balancer's actions and notifies the balancer of their results.

    An exception raised by the balancer is logged and fails at most one request.

    Attributes:
        subscription: The operations on discovery; None until there is an endpoint registry to subscribe for.
        readiness: Decides whether the endpoint list may be used; None if it may be used from the start.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        pool: ConnectionPool,
        id_table_bytes: int = DEFAULT_ID_TABLE_BYTES,
    ) -> None:
        """`id_table_bytes` is the memory for the IDs of requests that may have run."""
        longest_us = max(max(each.deduplication_window, each.deadline) for each in settings.classes)
        remembered_ids = RememberedIds(id_table_bytes, longest_us)
        super().__init__(remembered_ids, retry_after_allowed=settings.retry_after)
        self.loop = asyncio.get_running_loop()
        self.settings = settings
        self.pool = pool
        self.subscription: EndpointSubscription | None = None
        pool.on_connection_closed = self.connection_closed
        self.deadlines = ResponseDeadlines()
        self.readiness: ListReadiness | None = None
        self.balancer = Balancer(settings, seed, self)

    def start(self) -> None:
        """Starts the balancer, which subscribes to discovery."""
        self.balancer.start(monotonic_us())

    def report(
        self,
        client_errors: Mapping[int, int] | None = None,
        closed_on_accept: int = 0,
        endpoint_list: Mapping[str, float] | None = None,
        memory: Mapping[str, float] | None = None,
    ) -> None:
        """Logs the report line, with the counts and the state of the balancer.

        `client_errors` are the counts of requests answered without a server, by status. `closed_on_accept` is the
        number of client connections closed as soon as they were accepted. `endpoint_list` has figures on the age of
        the endpoint list, and `memory` on what the process takes.
        """
        upstream = UpstreamCounts(
            self.pool.open_connections, self.pool.load_reports, self.pool.malformed_responses
        )
        clients = ClientCounts(client_errors or {}, closed_on_accept)
        stats = self.balancer.stats()
        log_line(self.statistics.report_line(upstream, stats, clients, endpoint_list or {}, memory))

    def may_send(self) -> bool:
        """Returns whether the endpoint list may be used to send requests."""
        readiness = self.readiness
        return readiness is None or readiness.ready or readiness.may_send(monotonic())

    def typical_response_time_s(self) -> float:
        """Returns the time in seconds within which nearly every request is answered.

        This is the mean plus four times the mean deviation of the slowest class, limited to the longest latency
        objective.
        """
        traffic = self.balancer.traffic
        typical = max(
            mean + 4 * deviation for mean, deviation in zip(traffic.mean_rtt, traffic.deviation, strict=True)
        )
        longest_objective = max(settings.latency_objective for settings in self.settings.classes)
        return min(typical, longest_objective) / 1e6

    def admit(self, response_writer: ResponseWriter, parsed: ParsedRequest) -> DispatchedRequest:
        """Admits or sheds a request. Its final answer is written to `response_writer`, possibly within this call."""
        self.last_request_number += 1
        now = monotonic_us()
        # The timeout starts when the request was received, not when the responses before it on the connection are done.
        deadline_us = self.deadlines.response_deadline_us(parsed, parsed.received_us, parsed.read_delay_us)
        request = DispatchedRequest(self.last_request_number, response_writer, parsed, deadline_us)
        if self.tracer is not None:
            self.tracer.request_admitted(request, now)
        if self.shed_before_balancer(request, now):
            return request
        request.must_not_repeat = self.must_not_repeat(parsed)
        if request.must_not_repeat:
            self.remembered_ids.request_opened(parsed.request_id, now)
        self.requests[request.id] = request
        self.open_request_ids.add(parsed.request_id)
        time_left = deadline_us - now
        if parsed.upload is None or parsed.upload.complete:
            request.deadline_timer = self.loop.call_later(time_left / 1e6, self.deadline_passed, request)
        try:
            self.balancer.request(
                now, request.id, parsed.request_class, parsed.tenant, time_left, parsed.is_retry
            )
        except Exception:
            log_exception("request")
            self.fail_request(request, FinalReason.INTERNAL)
        request.being_admitted = False
        return request

    def must_not_repeat(self, parsed: ParsedRequest) -> bool:
        """Returns whether a request must not run again if a server may have run it."""
        classes = self.settings.classes
        unknown = parsed.request_class >= len(classes)
        return unknown or classes[parsed.request_class].idempotency != Idempotency.IDEMPOTENT

    def may_have_run(self, parsed: ParsedRequest) -> bool:
        """Returns whether a request must not run because one with its ID may have run, or is open elsewhere."""
        return self.must_not_repeat(parsed) and self.remembered_ids.may_have_run(
            parsed.request_id, monotonic_us()
        )

    def shed_before_balancer(self, request: DispatchedRequest, now: int) -> bool:
        """Sheds a request for reasons that do not involve the balancer; returns whether it was shed."""
        retry_after = 0
        if request.deadline_us <= now:
            reason = FinalReason.EXPIRED
        elif len(self.requests) >= self.settings.max_open:
            reason = FinalReason.TOO_MANY_OPEN
        elif not self.may_send():
            reason = FinalReason.NO_ENDPOINT_LIST
            retry_after = min(NO_LIST_RETRY_AFTER_US, self.settings.max_retry_after)
            self.statistics.shed_without_endpoint_list += 1
        else:
            return False
        self.send_final_answer(request, FinalAnswer.SHED, reason, retry_after=retry_after)
        return True

    def client_disconnected(self, request: DispatchedRequest) -> None:
        """Handles a disconnected client: there is no answer, and attempts not yet sent completely are abandoned.

        The settings may forbid cancelling an attempt. Abandoning one that no server has received does not count as a
        cancellation.
        """
        if request.response_writer is None:
            return
        self.detach_client(request)
        self.statistics.final_answers[FinalAnswer.CLIENT_DISCONNECTED] += 1
        if self.tracer is not None:
            self.tracer.request_answered(request, FinalAnswer.CLIENT_DISCONNECTED)
        for attempt in list(request.in_flight):
            # The balancer no longer decides about an attempt with a streamed response or an unfinished upload.
            if attempt.response_streamed or attempt.deadline_us == NO_DEADLINE_US or not attempt.is_sent():
                self.pool.abandon(attempt, Outcome.CANCELLED)
        self.notify_upload_ended(request)
        self.notify_client_disconnected(request)

    def deadline_passed(self, request: DispatchedRequest) -> None:
        """Fails a request whose deadline has passed, independently of the balancer.

        A response of unknown length that has begun is passed on instead, and its request is not retried.
        """
        if self.pass_on_begun_response(request):
            return
        for attempt in list(request.in_flight):
            self.pool.abandon(attempt, Outcome.TIMEOUT)
        if request.response_writer is not None:
            self.fail_request(request, FinalReason.DEADLINE)
            self.notify_client_disconnected(request)

    def notify_client_disconnected(self, request: DispatchedRequest) -> None:
        """Notifies the balancer that the client no longer waits for the request."""
        try:
            self.balancer.client_disconnected(monotonic_us(), request.id)
        except Exception:
            log_exception("client_disconnected")

    def notify_uploading(self, request: DispatchedRequest, *, on: bool) -> None:
        """Notifies the balancer whether the request's body is being sent to a server."""
        try:
            self.balancer.uploading(monotonic_us(), request.id, on)
        except Exception:
            log_exception("uploading")

    def notify_outcome(
        self, attempt: UpstreamAttempt, outcome: Outcome, report: Sequence[float], *, final: bool
    ) -> None:
        """Notifies the balancer of the outcome of an attempt; `final`: the request has its final answer."""
        self.statistics.outcomes[outcome] += 1
        request, now = attempt.request, monotonic_us()
        self.notify_upload_ended(request)
        latency = now - attempt.started_us
        try:
            self.balancer.outcome(
                now, request.id, attempt.number, attempt.server, outcome, latency, final, report
            )
        except Exception:
            log_exception("outcome")
            self.fail_request(request, FinalReason.INTERNAL)

    def endpoint_update(self, kind: EndpointUpdateKind, entries: Sequence[Endpoint]) -> None:
        """Notifies the balancer of a new endpoint list, or of changes to the current one."""
        try:
            self.balancer.endpoint_update(monotonic_us(), kind, entries)
        except Exception:
            log_exception("endpoint_update")

    def timer(self, token: int) -> None:
        """Notifies the balancer that one of its timers has expired."""
        try:
            self.balancer.timer(monotonic_us(), token)
        except Exception:
            log_exception("timer")

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """See `AttemptListener`."""
        if self.tracer is not None:
            self.tracer.attempt_written(attempt, fresh=fresh, whole=whole)

    def attempt_ended(
        self, exchange: Exchange, outcome: Outcome, body: bytes, report: Sequence[float]
    ) -> None:
        """Handles the outcome of an attempt; a successful response is written before the balancer is notified."""
        assert isinstance(exchange, UpstreamAttempt)
        request = exchange.request
        request.in_flight.remove(exchange)
        request.last_outcome = outcome
        if self.tracer is not None:
            self.tracer.attempt_ended(exchange, outcome, report)
        if request.first_run_us is None and outcome not in NOT_PROCESSED:
            request.first_run_us = exchange.started_us
        if exchange.response_streamed:
            self.streamed_response_ended(exchange, outcome)
            return
        if outcome == Outcome.OK:
            self.send_final_answer(request, FinalAnswer.SERVED, body=body)
        else:
            self.remove_if_done(request)
        self.notify_outcome(exchange, outcome, report, final=request.response_writer is None)

    def health_check_ended(
        self, exchange: Exchange, outcome: Outcome, body: bytes, report: Sequence[float]
    ) -> None:
        """Notifies the balancer of the outcome of a health check."""
        now = monotonic_us()
        latency = now - exchange.started_us
        try:
            self.balancer.health_checked(now, exchange.server, outcome == Outcome.OK, latency, report)
        except Exception:
            log_exception("health_checked")

    def make_attempt(
        self, request: DispatchedRequest, server: int, now: int, timeout: int
    ) -> UpstreamAttempt:
        """Returns the next attempt of the request.

        `timeout` is the per-try timeout in microseconds; 0 means that only the request's deadline applies.
        """
        parsed = request.parsed
        deadline_us = attempt_deadline_us(request, now, timeout)
        attempt = UpstreamAttempt(server, parsed.head, parsed.body, deadline_us, self.attempt_ended)
        attempt.dispatcher = self
        attempt.request = request
        attempt.number = request.attempt_count
        attempt.upload = parsed.upload
        attempt.upload_timeout_us = min(timeout, parsed.timeout_us) if timeout > 0 else parsed.timeout_us
        classes = self.settings.classes
        class_settings = classes[min(parsed.request_class, len(classes) - 1)]
        if class_settings.idempotency == Idempotency.IDEMPOTENCY_KEY and request.first_run_us is not None:
            # A retry that was decided within the deduplication window must not be sent after it, however long the
            # connection takes to open.
            attempt.start_by_us = request.first_run_us + class_settings.deduplication_window
            attempt.needs_known_process = class_settings.deduplication_scope != DeduplicationScope.ALL
        return attempt

    def send(self, request_number: int, server: int, timeout: int) -> None:
        """Starts the request's next attempt; one call of `Balancer.outcome` follows."""
        request = self.requests.get(request_number)
        if request is None or request.response_writer is None:
            return
        attempt = self.make_attempt(request, server, monotonic_us(), timeout)
        request.attempt_count += 1
        request.in_flight.append(attempt)
        if self.tracer is not None:
            self.tracer.attempt_sent(attempt)
        still_uploading = attempt.deadline_us == NO_DEADLINE_US
        self.pool.send(attempt)
        if still_uploading:
            self.loop.call_soon(self.notify_upload_started, request)

    def cancel(self, request_number: int, attempt_number: int) -> None:
        """Cancels an attempt; its outcome is reported after this call returns.

        An attempt whose client still waits is not cancelled once its response has begun, as it may be a large one.
        """
        request = self.requests.get(request_number)
        if request is None:
            return
        for attempt in request.in_flight:
            if attempt.number == attempt_number and not attempt.has_begun_response():
                self.loop.call_soon(self.pool.abandon, attempt, Outcome.CANCELLED)

    def shed(self, request_number: int, retry_after: int) -> None:
        """Sheds a request: no server has run it, and a retry is safe."""
        request = self.requests.get(request_number)
        if request is not None:
            retry_after = min(retry_after, self.settings.max_retry_after)
            reason = self.balancer.final_reason
            self.send_final_answer(request, FinalAnswer.SHED, reason, retry_after=retry_after)

    def fail(self, request_number: int) -> None:
        """Fails a request: a server may have run it."""
        request = self.requests.get(request_number)
        if request is not None:
            self.fail_request(request, self.balancer.final_reason)

    def health_check(self, server: int) -> None:
        """Sends a health check; one call of `Balancer.health_checked` follows."""
        self.pool.send(self.pool.make_health_check(server, self.health_check_ended))

    def set_timer(self, delay: int, token: int) -> None:
        """Schedules a call of `timer` after `delay` microseconds."""
        self.loop.call_later(delay / 1e6, self.timer, token)

    def send_peer_message(self, peer: int, data: bytes) -> None:
        """Not supported: nodes do not exchange messages, and the balancer never calls this."""
        raise NotImplementedError

    def subscribe(self, on: bool) -> None:
        """Opens or closes the subscription to the endpoint list."""
        if self.subscription is not None:
            self.subscription.subscribe(on)

    def poll_endpoints(self) -> None:
        """Requests the full list of endpoints."""
        if self.subscription is not None:
            self.subscription.poll_endpoints()

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to a server."""
        self.pool.close_idle_connections(server)

    def log_event(self, text: str) -> None:
        """Writes a message of the balancer to the log."""
        log_line(text)
