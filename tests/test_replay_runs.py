"""Replays on real nodes with faults; the counts of the report must be consistent in each."""

from __future__ import annotations

import uvloop
from replay_support import PUT, READ

from harecross.replay.clients import Arrival
from harecross.replay.html_report import html_report
from harecross.replay.plan import Event, EventAction
from harecross.replay.report import replay_report
from harecross.replay.run import run_replay

REQUESTS_PER_SECOND, SECONDS, WORK_US = 150, 2.0, 5000
DISPOSITION_KEYS = ("served_in_time", "served_late", "refused", "failed", "open")


def steady_arrivals(rate: int, seconds: float) -> list[Arrival]:
    return [Arrival(int(i * 1e6 / rate), i % 2, WORK_US) for i in range(int(rate * seconds))]


def replay(*events: Event) -> dict:
    """Runs a replay with events on two nodes and three servers, and checks that the report's counts are consistent."""
    arrivals = steady_arrivals(REQUESTS_PER_SECOND, SECONDS)
    run = uvloop.run(run_replay(arrivals, [READ, PUT], [["s0", "s1", "s2"]], 2, list(events)))
    report = replay_report(run)
    assert report["asked"] == 300 == sum(report[key] for key in DISPOSITION_KEYS)
    assert report["open"] == 0
    for rows in (list(report["by_class"].values()), report["windows"]):
        for key in ("asked", *DISPOSITION_KEYS):
            assert sum(row[key] for row in rows) == report[key]
    assert report["worth_asked"] == 900
    # Each idempotency key takes effect at most once, and at least for every request that was served.
    put = report["by_class"]["put"]
    assert put["served_in_time"] + put["served_late"] <= run.effects <= put["asked"]
    return report


def test_the_counts_are_consistent_after_a_node_is_killed():
    report = replay(Event(500_000, EventAction.KILL_NODE, "n0"))
    assert [(node["name"], node["alive"]) for node in report["nodes"]] == [("n0", False), ("n1", True)]
    assert report["events"] == [{"at_s": 0.5, "what": "kill-node", "name": "n0", "done": True}]
    assert report["served_in_time"] >= 200
    assert report["samples"][-1]["nodes"] == 1


def test_a_slow_and_a_draining_server_are_reported_and_the_drain_takes_effect():
    report = replay(Event(300_000, EventAction.SLOW, "s0", 20.0), Event(800_000, EventAction.DRAIN, "s1"))
    assert [event["what"] for event in report["events"]] == ["slow", "drain"]
    assert report["events"][0]["factor"] == 20.0
    assert report["servers"]["s1"]["latest_after_told_us"] <= 250_000
    assert report["servers"]["s0"]["slow"] == 20.0
    page = html_report(report, "<b> & a title")
    assert "&lt;b&gt; &amp; a title" in page
    assert page.count("<svg") == 3
    assert "drain s1" in page


def test_most_requests_are_served_after_a_server_is_killed_and_another_hangs():
    report = replay(Event(300_000, EventAction.KILL, "s0"), Event(600_000, EventAction.HANG, "s1"))
    assert report["served_in_time"] >= 200
    assert all(event["done"] for event in report["events"])


def test_an_event_that_fails_is_reported_and_the_run_continues():
    report = replay(Event(100_000, EventAction.DRAIN, "s9"), Event(200_000, EventAction.KILL_NODE, "n9"))
    assert [(event["done"], event["error"]) for event in report["events"]] == [
        (False, "\"no server named 's9'\""),
        (False, "no node named 'n9'"),
    ]


def test_a_late_generator_makes_a_run_invalid():
    async def body():
        run = await run_replay(steady_arrivals(50, 0.5), [READ, PUT], [["s0"]], 1, [])
        for _ in range(10):
            run.generator.lateness.record_value(50_000)
        return run

    report = replay_report(uvloop.run(body()))
    assert report["valid"] is False
    assert "Not valid" in html_report(report, "t")
