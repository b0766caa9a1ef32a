"""Tests of request deadlines and of the report line, without I/O."""

from __future__ import annotations

import pytest

from harecross.dispatch.close_reasons import CloseReason
from harecross.dispatch.deadlines import RESPONSE_MARGIN_US, ResponseDeadlines
from harecross.dispatch.request import FinalAnswer
from harecross.dispatch.statistics import ClientCounts, DispatchStatistics, UpstreamCounts
from harecross.http.request_parser import ParsedRequest
from harecross.interface import FinalReason, Outcome

RECEIVED_US = 10_000_000


def request(timeout_us: int) -> ParsedRequest:
    """Returns a request received at `RECEIVED_US`."""
    return ParsedRequest(b"r", 0, 0, False, timeout_us, b"", b"", RECEIVED_US, True)


@pytest.mark.parametrize(
    ("timeout_us", "margin_us"), [(2_000_000, RESPONSE_MARGIN_US), (100_000, 5_000), (0, 0)]
)
def test_a_part_of_the_timeout_is_reserved_for_the_response(timeout_us, margin_us):
    deadline_us = ResponseDeadlines().response_deadline_us(request(timeout_us), RECEIVED_US)
    assert deadline_us == RECEIVED_US + timeout_us - margin_us


def test_the_read_delay_counts_against_the_timeout():
    deadlines = ResponseDeadlines()
    delayed = deadlines.response_deadline_us(request(2_000_000), RECEIVED_US, read_delay_us=300_000)
    assert delayed == deadlines.response_deadline_us(request(2_000_000), RECEIVED_US) - 300_000


def test_a_shutdown_shortens_only_the_deadlines_of_late_requests():
    deadlines = ResponseDeadlines()
    before = deadlines.response_deadline_us(request(9_000_000), RECEIVED_US)
    deadlines.set_shutdown_deadline(applies_from_us=RECEIVED_US + 1, deadline_us=RECEIVED_US + 1_000_000)
    assert deadlines.response_deadline_us(request(9_000_000), RECEIVED_US) == before
    late = deadlines.response_deadline_us(request(9_000_000), RECEIVED_US + 1)
    assert late == RECEIVED_US + 1_000_000
    assert deadlines.response_deadline_us(request(500_000), RECEIVED_US + 1) < late


def test_the_report_line_has_its_documented_keys_and_order():
    statistics = DispatchStatistics()
    statistics.final_answers[FinalAnswer.SERVED] = 3
    statistics.final_reasons[FinalAnswer.SHED, FinalReason.NO_ENDPOINT_LIST] = 2
    statistics.outcomes[Outcome.TIMEOUT] = 1
    statistics.close_reasons[CloseReason.MALFORMED_RESPONSE] = 4
    statistics.shed_without_endpoint_list = 2
    line = statistics.report_line(
        UpstreamCounts(5, 6, 4), {"gradient": 0.987}, ClientCounts({0: 1, 400: 2}, 7), {"list_age": 1.5}
    )
    assert line == (
        "served=3 refused=0 failed=0 left=0 open=5 reports=6 spoilt=4 timeout=1 refused_no_list=2 gradient=0.99 "
        "closed_spoilt=4 bad_silent=1 bad_400=2 turned_away=7 unlisted=2 list_age=1.5"
    )
