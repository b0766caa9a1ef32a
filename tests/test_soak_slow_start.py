"""Tests the slow start rule of the soak's oracle."""

from __future__ import annotations

from math import sqrt

import pytest

from harecross.soak.oracle import Oracle, Rule
from harecross.soak.records import (
    AttemptOutcome,
    AttemptRecord,
    ClientOutcome,
    ClientRecord,
    EndpointChange,
    Idempotency,
    NotificationRecord,
    Records,
)
from harecross.soak.slow_start import SlowStartOracle, SlowStartRules, allowed_requests, overload_threshold

RULES = SlowStartRules(window=5.0, start_capacity=0.2, overload_multiple=2.0, overload_duration=2.0)
# Start of the process under test, in seconds.
START = 10.0
# Requests per second to each server at full capacity.
FULL_RATE = 20


def test_the_overload_threshold_has_the_tolerance_of_the_protocol():
    assert overload_threshold(16) == 16 + 3 * 4 + 3
    assert overload_threshold(100) == 100 + 2 * 10 + 2
    assert overload_threshold(29.9) == pytest.approx(29.9 + 3 * sqrt(29.9) + 3)


def test_a_process_is_allowed_more_requests_as_it_warms_up():
    at_start, later = (allowed_requests(RULES, 40.0, age) for age in (0.0, 2.0))
    assert at_start == pytest.approx(2.0 * (0.2 + 0.8 * 1.0 / 5.0) * 40)
    assert later == pytest.approx(2.0 * (0.2 + 0.8 * 3.0 / 5.0) * 40)


def records_of(
    rate: float, notified_at: float | None = START, restarts: bool = True, full_from: float = 0.0
) -> Records:
    """Returns records of two servers at full capacity and one that gets `rate` requests per second from its start.

    If `full_from` is set, the second server starts at that time and gets no requests.
    """
    records = Records()
    started_ms = 7 if restarts else 0
    records.changes = [
        EndpointChange(0.0, "s0", "in_service", 0),
        EndpointChange(full_from, "s1", "in_service", 5 if full_from else 0),
        EndpointChange(0.0, "s2", "in_service", 0),
        EndpointChange(START, "s2", "in_service", started_ms),
    ]
    if notified_at is not None:
        records.notifications.append(NotificationRecord("n", 3, notified_at, ""))

    def send(server: str, at: float) -> None:
        name = f"{server}-{at:.4f}"
        records.clients[name] = ClientRecord(
            name, "n", Idempotency.IDEMPOTENT, at, 1.0, True, ClientOutcome.ANSWERED, 200, at
        )
        records.attempts.append(AttemptRecord(name, server, at, at, 1.0, AttemptOutcome.OK, at))

    for i in range(int(15 * FULL_RATE)):
        send("s0", i / FULL_RATE)
        if full_from == 0:
            send("s1", i / FULL_RATE)
    for i in range(int(4 * rate)):
        send("s2", START + i / rate)
    return records


def test_a_server_that_gets_few_requests_in_slow_start_is_not_overloaded():
    assert SlowStartOracle(records_of(rate=4), RULES).overloads() == []


def test_a_server_that_gets_three_times_the_full_rate_in_slow_start_is_overloaded():
    (overload,) = SlowStartOracle(records_of(rate=3 * FULL_RATE), RULES).overloads()
    assert overload.server == "s2"
    assert START < overload.at < START + 2.0
    assert overload.requests > overload.limit
    assert overload.age == 0.0


@pytest.mark.parametrize(
    "records",
    [
        records_of(3 * FULL_RATE, notified_at=None),
        records_of(3 * FULL_RATE, notified_at=START + 100),
        records_of(3 * FULL_RATE, restarts=False),
    ],
    ids=["never notified", "notified later", "the process did not restart"],
)
def test_requests_of_nodes_that_were_not_notified_of_a_start_are_not_an_overload(records):
    assert SlowStartOracle(records, RULES).overloads() == []


def test_the_rule_is_not_checked_without_a_server_at_full_capacity():
    records = records_of(3 * FULL_RATE, full_from=START - 1)
    records.changes[0] = EndpointChange(START - 1, "s0", "in_service", 6)
    assert SlowStartOracle(records, RULES).overloads() == []


def test_the_oracle_reports_an_overload_as_a_breach():
    breaches = Oracle(records_of(rate=8 * FULL_RATE)).breaches()
    assert [breach.rule for breach in breaches] == [Rule.SLOW_START]
    assert "s2 got" in breaches[0].text
