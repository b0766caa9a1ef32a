"""Counts of what became of requests, attempts and connections, and the report line that shows them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from harecross.dispatch.close_reasons import CloseReason
from harecross.dispatch.request import FinalAnswer
from harecross.interface import FinalReason, Outcome


class UpstreamCounts(NamedTuple):
    """The connection pool's part of the report."""

    open_connections: int
    load_reports: int
    malformed_responses: int


class ClientCounts(NamedTuple):
    """The client connections' part of the report."""

    errors_by_status: Mapping[
        int, int
    ]  # requests answered without a server; 0 for a client that sent nothing
    closed_on_accept: int  # connections closed as soon as they were accepted


class DispatchStatistics:
    """Counts since the process started."""

    __slots__ = ("close_reasons", "final_answers", "final_reasons", "outcomes", "shed_without_endpoint_list")

    def __init__(self) -> None:
        self.final_answers = dict.fromkeys(FinalAnswer, 0)
        self.final_reasons: Counter[tuple[FinalAnswer, FinalReason]] = (
            Counter()
        )  # of shed and failed requests
        self.outcomes = [0] * len(Outcome)  # of attempts, by outcome
        self.close_reasons: Counter[CloseReason] = Counter()  # of connections, on both sides
        self.shed_without_endpoint_list = 0  # requests shed before there was an endpoint list to use

    def report_line(
        self,
        upstream: UpstreamCounts,
        balancer: Mapping[str, float],
        clients: ClientCounts,
        endpoint_list: Mapping[str, float],
    ) -> str:
        """Returns the report as `key=value` pairs. Operators read these keys: they do not follow the code's names."""
        fields: dict[str, float] = {answer.value: count for answer, count in self.final_answers.items()}
        fields["open"] = upstream.open_connections
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
