"""Inspects and replays the traces in tests/traces, whose rows and requests were counted by hand (see its README.md)."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from harecross.traces.mapping import read_mapping
from harecross.traces.summary import Trace, inspect

TRACES = Path(__file__).parent / "traces"

# file, format, read, kept, dropped, reordered, requests by class, span in seconds
EXPECTATIONS = [
    ("google_tasks.csv", "google-2011", 14, 9,
     {"duplicate": 1, "short_row": 1, "non_numeric": 1, "unknown_value": 1, "empty_cell": 1}, 1,
     {"class0": 2, "class2": 1, "class3": 2}, 0.9),
    ("alibaba_batch.csv", "alibaba-2018", 8, 5,
     {"negative_duration": 1, "long_row": 1, "blank_line": 1}, 1, {"batch": 8}, 2.0),
    ("ms_calls.csv", "alibaba-microservices-2021", 8, 7, {"empty_cell": 1}, 1,
     {"http": 3, "rpc": 1, "mq": 1, "other": 1}, 0.6),
    ("azure_2019.csv", "azure-functions-2019", 6, 3,
     {"unknown_value": 1, "non_numeric": 1, "duplicate": 1}, 0, {"http": 3, "queue": 2, "timer": 2}, None),
    ("azure_2021.csv", "azure-functions-2021", 6, 4, {"negative_duration": 1, "non_numeric": 1}, 1,
     {"function": 4}, 1.0),
    ("generic.csv", "generic", 5, 4, {"non_numeric": 1}, 0, {"read": 3, "write": 2}, 1.2),
]  # fmt: skip
IDS = [c[0] for c in EXPECTATIONS]


def trace(name: str, **options) -> Trace:
    mapping = read_mapping(TRACES / "generic.toml") if name == "generic.csv" else None
    return Trace([TRACES / name], mapping=mapping, **options)


@pytest.mark.parametrize("block_bytes", [1 << 20, 64, 7])
@pytest.mark.parametrize("expected", EXPECTATIONS, ids=IDS)
def test_inspect_reports_the_counted_rows_and_requests(expected, block_bytes):
    """The result must not depend on how the file is split into blocks."""
    name, format_name, read, kept, dropped, reordered, classes, span = expected
    summary = inspect(trace(name, block_bytes=block_bytes))
    assert (summary["format"], summary["rows_read"], summary["rows_kept"]) == (format_name, read, kept)
    assert (summary["rows_dropped"], summary["rows_reordered"]) == (dropped, reordered)
    assert {k: c["requests"] for k, c in summary["classes"].items() if c["requests"]} == classes
    assert summary["requests"] == sum(classes.values())
    assert span is None or summary["span_s"] == span


def replay(*args: str) -> dict:
    command = [sys.executable, "-m", "harecross", "replay", *args, "--json", "-", "--servers", "3"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


@pytest.mark.parametrize(
    "expected", [c for c in EXPECTATIONS if c[7] is not None], ids=[i for i in IDS if "2019" not in i]
)
def test_a_replay_at_twice_the_rate_sends_the_counted_requests(expected):
    name, format_name, read, kept, dropped, _, classes, span = expected
    options = ["--format", str(TRACES / "generic.toml")] if name == "generic.csv" else []
    report = replay(str(TRACES / name), "--speed", "2", "--mean-work", "2", *options)
    assert (report["format"], report["rows_read"], report["rows_kept"], report["rows_dropped"]) == (
        format_name,
        read,
        kept,
        dropped,
    )
    assert report["asked"] == sum(classes.values())
    assert {k: c["asked"] for k, c in report["by_class"].items() if c["asked"]} == classes
    dispositions = ("served_in_time", "served_late", "refused", "failed", "open")
    assert sum(report[k] for k in dispositions) == report["asked"]
    assert report["open"] == 0
    # Three idle servers have capacity for all requests, so all are served in time and the service level is 1.
    assert report["served_in_time"] == report["asked"]
    assert report["service"] == 1.0
    worth = {k: c["worth"] for k, c in report["class_settings"].items()}
    assert report["worth_asked"] == sum(worth[k] * n for k, n in classes.items())
    # At twice the rate the last request is due after half the span, and a run does not end before that.
    assert report["seconds"] >= span / 2
    assert sum(w["asked"] for w in report["windows"]) == report["asked"]
    assert report["windows"][-1]["from_s"] <= span / 2 < report["windows"][-1]["from_s"] + 1


def test_a_replay_of_counts_by_the_minute_sends_the_counted_requests():
    """azure-functions-2019 has counts for each minute: at twice the rate, the trace's two minutes take one."""
    report = replay(
        str(TRACES / "azure_2019_durations.csv"),
        str(TRACES / "azure_2019.csv"),
        "--speed",
        "2",
        "--mean-work",
        "2",
    )
    assert report["rows_read"] == 8
    assert report["asked"] == 7 == report["served_in_time"]
    assert report["seconds"] > 15
    assert {k: c["asked"] for k, c in report["by_class"].items() if c["asked"]} == {
        "http": 3,
        "queue": 2,
        "timer": 2,
    }


def test_calls_of_a_call_graph_arrive_at_the_servers_of_their_tier():
    report = replay(str(TRACES / "ms_calls.csv"), "--speed", "2", "--mean-work", "2")
    arrived = {
        tier: sum(s["arrived"] for n, s in report["servers"].items() if n.startswith("t1") == tier)
        for tier in (0, 1)
    }
    assert arrived == {False: 3, True: 3}


def test_a_machine_event_removes_a_server_during_a_replay():
    arguments = [
        str(TRACES / "google_machines.csv"),
        str(TRACES / "google_tasks.csv"),
        "--speed",
        "2",
        "--mean-work",
        "5",
    ]
    report = replay(*arguments)
    assert [(e["what"], e["name"], e["done"]) for e in report["events"]] == [("remove", "m2", True)]
    # The event is at 1.4 s in the trace, which is 0.4 s after its first request and 0.2 s at twice the rate.
    assert abs(report["events"][0]["at_s"] - 0.2) < 0.001
    assert set(report["servers"]) == {"m1", "m2", "m3"}
    assert report["asked"] == 5
    assert report["servers"]["m2"]["latest_after_told_us"] <= 250_000
