"""Counters of requests, attempts and connections, and the report line that contains them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from harecross.dispatch.close_reasons import CloseReason
from harecross.dispatch.request import FinalAnswer
from harecross.interface import FinalReason, Outcome


class UpstreamCounts(NamedTuple):
    """The connection pool's part of the report line."""

    open_connections: int
    load_reports: int
    malformed_responses: int


class ClientCounts(NamedTuple):
    """The client connections' part of the report line.

    Attributes:
        errors_by_status: Number of requests answered without a server, by status. The status 0 stands for connections
            that were closed because the client sent nothing.
        closed_on_accept: Number of connections closed as soon as they were accepted.
    """

    errors_by_status: Mapping[int, int]
    closed_on_accept: int


class DispatchStatistics:
    """Counters since the start of the process.

    Attributes:
        final_answers: Number of requests by kind of final answer.
        final_reasons: Number of shed and failed requests by final answer and reason.
        outcomes: Number of attempts, indexed by outcome.
        close_reasons: Number of closed client and upstream connections by reason.
        shed_without_endpoint_list: Number of requests shed because there was no usable endpoint list.
    """

    __slots__ = ("close_reasons", "final_answers", "final_reasons", "outcomes", "shed_without_endpoint_list")

    def __init__(self) -> None:
        self.final_answers = dict.fromkeys(FinalAnswer, 0)
        self.final_reasons: Counter[tuple[FinalAnswer, FinalReason]] = Counter()
        self.outcomes = [0] * len(Outcome)
        self.close_reasons: Counter[CloseReason] = Counter()
        self.shed_without_endpoint_list = 0

    def report_line(
        self,
        upstream: UpstreamCounts,
        balancer: Mapping[str, float],
        clients: ClientCounts,
        endpoint_list: Mapping[str, float],
        memory: Mapping[str, float] | None = None,
    ) -> str:
        """Returns the report line as `key=value` pairs; `memory` comes early, where an excerpt still has it.

        Operators and their tools read the keys, so they stay the same when names in the code change.
        """
        fields: dict[str, float] = {answer.value: count for answer, count in self.final_answers.items()}
        fields["open"] = upstream.open_connections
        fields.update(memory or {})
        fields["reports"] = upstream.load_reports
        fields["spoilt"] = upstream.malformed_responses
        fields.update(
            {outcome.name.lower(): self.outcomes[outcome] for outcome in Outcome if self.outcomes[outcome]}
        )
        for (answer, final_reason), count in sorted(self.final_reasons.items()):
            fields[f"{answer}_{final_reason}"] = count
        fields.update({key: round(value, 2) for key, value in balancer.items()})
        for close_reason, count in sorted(self.close_reasons.items()):
            fields[f"closed_{close_reason}"] = count
        for status, count in sorted(clients.errors_by_status.items()):
            fields[f"bad_{status or 'silent'}"] = count
        if clients.closed_on_accept:
            fields["turned_away"] = clients.closed_on_accept
        if self.shed_without_endpoint_list:
            fields["unlisted"] = self.shed_without_endpoint_list
        fields.update(endpoint_list)
        return " ".join(f"{key}={value}" for key, value in fields.items())
