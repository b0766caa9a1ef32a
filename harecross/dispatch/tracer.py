"""Interface for tracing requests and their attempts, implemented by `follow.attempt_log.AttemptLog`."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from harecross.discovery.process_table import Transition
from harecross.dispatch.close_reasons import ClosedConnection
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, UpstreamAttempt
from harecross.interface import EndpointUpdateKind, FinalReason, Outcome


class RequestTracer(Protocol):
    """Receives the events of requests, connections and the endpoint list."""

    def request_admitted(self, request: DispatchedRequest, now: int) -> None:
        """Called when a request was admitted or is about to be shed; `now` is in monotonic microseconds."""

    def attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """Called when the balancer has selected a server for an attempt."""

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """Called when the request was written to a connection, see `Exchange.request_written`."""

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, report: Sequence[float]) -> None:
        """Called with the outcome of an attempt; `report` is () without a load report."""

    def request_answered(
        self, request: DispatchedRequest, answer: FinalAnswer, reason: FinalReason | None = None
    ) -> None:
        """Called when a request has its final answer; `reason` tells why it was shed or failed."""

    def connection_closed(self, closed: ClosedConnection) -> None:
        """Called when a connection was closed."""

    def process_changed(self, transition: Transition, now: float) -> None:
        """Called when a server process changed its state; `now` is in monotonic seconds."""

    def endpoints_listed(
        self, kind: EndpointUpdateKind, generation: object, added: Iterable[str], removed: Iterable[str]
    ) -> None:
        """Called when an endpoint list or a change to it was read.

        `added` and `removed` are the names of the servers that it puts in service and takes out of service.
        """
