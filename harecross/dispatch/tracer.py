"""What is reported on each request, for a log of its way (`follow.attempt_log.AttemptLog`)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from harecross.discovery.process_table import Transition
from harecross.dispatch.close_reasons import ClosedConnection
from harecross.dispatch.request import DispatchedRequest, FinalAnswer, UpstreamAttempt
from harecross.interface import EndpointUpdateKind, FinalReason, Outcome


class RequestTracer(Protocol):
    """Gets the events of requests, connections and the endpoint list."""

    def request_admitted(self, request: DispatchedRequest, now: int) -> None:
        """A request was received; `now` in monotonic microseconds."""

    def attempt_sent(self, attempt: UpstreamAttempt) -> None:
        """The balancer has chosen a server for an attempt."""

    def attempt_written(self, attempt: UpstreamAttempt, *, fresh: bool, whole: bool) -> None:
        """The request was written to a connection, see `Exchange.request_written`."""

    def attempt_ended(self, attempt: UpstreamAttempt, outcome: Outcome, report: Sequence[float]) -> None:
        """An attempt has its outcome, perhaps with a load report."""

    def request_answered(
        self, request: DispatchedRequest, answer: FinalAnswer, reason: FinalReason | None = None
    ) -> None:
        """A request has its final answer. `reason`: why it was shed or failed."""

    def connection_closed(self, closed: ClosedConnection) -> None:
        """A connection was closed."""

    def process_changed(self, transition: Transition, now: float) -> None:
        """A server process changed its state; `now` in monotonic seconds."""

    def endpoints_listed(
        self, kind: EndpointUpdateKind, generation: object, added: Iterable[str], removed: Iterable[str]
    ) -> None:
        """A list or change was read; the names of the servers that it puts in service and takes out."""
