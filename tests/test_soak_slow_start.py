"""The soak's judge of slow start."""

from __future__ import annotations

from math import sqrt

import pytest

from harecross.soak.oracle import Oracle, Rule
from harecross.soak.records import Change, ClientRecord, Effect, End, Ran, Records, ServerRecord, ToldRecord
from harecross.soak.slow_start import SlowStart, Terms, allowed_requests, most_requests

TERMS = Terms(cold=5.0, start_capacity=0.2, fall_multiple=2.0, tip_after=2.0)
START = 10.0  # the process under test
WARM_RATE = 20  # requests a second at each warm server


def test_the_slack_is_the_terms_own():
    assert most_requests(16) == 16 + 3 * 4 + 3
    assert most_requests(100) == 100 + 2 * 10 + 2
    assert most_requests(29.9) == pytest.approx(29.9 + 3 * sqrt(29.9) + 3)


def test_a_process_is_allowed_more_as_it_warms():
    at_start, later = (allowed_requests(TERMS, 40.0, age) for age in (0.0, 2.0))
    assert at_start == pytest.approx(2.0 * (0.2 + 0.8 * 1.0 / 5.0) * 40)
    assert later == pytest.approx(2.0 * (0.2 + 0.8 * 3.0 / 5.0) * 40)


def records_of(
    cold_rate: float, told_at: float | None = START, restarts: bool = True, warm_from: float = 0.0
) -> Records:
    """Two warm servers, and one that gets so many requests a second from its start on."""
    records = Records()
    started = 7 if restarts else 0
    records.changes = [
        Change(0.0, "s0", "in_service", 0),
        Change(warm_from, "s1", "in_service", 5 if warm_from else 0),
        Change(0.0, "s2", "in_service", 0),
        Change(START, "s2", "in_service", started),
    ]
    if told_at is not None:
        records.told.append(ToldRecord("n", 3, told_at, ""))

    def send(server: str, at: float) -> None:
        name = f"{server}-{at:.4f}"
        records.clients[name] = ClientRecord(name, "n", Effect.SAFE, at, 1.0, True, End.ANSWERED, 200, at)
        records.servers.append(ServerRecord(name, server, at, at, 1.0, Ran.OK, at))

    for i in range(int(15 * WARM_RATE)):
        send("s0", i / WARM_RATE)
        if warm_from == 0:
            send("s1", i / WARM_RATE)
    for i in range(int(4 * cold_rate)):
        send("s2", START + i / cold_rate)
    return records


def test_a_cold_server_that_gets_its_share_does_not_fall():
    assert SlowStart(records_of(cold_rate=4), TERMS).falls() == []


def test_a_cold_server_that_gets_what_a_warm_one_does_falls():
    (fall,) = SlowStart(records_of(cold_rate=3 * WARM_RATE), TERMS).falls()
    assert fall.server == "s2"
    assert START < fall.at < START + 2.0
    assert fall.requests > fall.most
    assert fall.age == 0.0


@pytest.mark.parametrize(
    "records",
    [
        records_of(3 * WARM_RATE, told_at=None),
        records_of(3 * WARM_RATE, told_at=START + 100),
        records_of(3 * WARM_RATE, restarts=False),
    ],
    ids=["never told", "told later", "the process went on"],
)
def test_nobody_is_blamed_for_a_start_that_was_not_told(records):
    assert SlowStart(records, TERMS).falls() == []


def test_where_no_server_is_warm_nothing_is_judged():
    records = records_of(3 * WARM_RATE, warm_from=START - 1)
    records.changes[0] = Change(START - 1, "s0", "in_service", 6)
    assert SlowStart(records, TERMS).falls() == []


def test_the_oracle_reports_a_fall_as_a_broken_rule():
    breaches = Oracle(records_of(cold_rate=8 * WARM_RATE)).breaches()
    assert [breach.rule for breach in breaches] == [Rule.SLOW_START]
    assert "s2 got" in breaches[0].text
