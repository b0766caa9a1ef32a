"""Traces counted by hand (tests/traces/README.md): what `inspect` finds, and what a replay at twice the rate asks."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from harecross.traces.mapping import read_mapping
from harecross.traces.summary import Trace, inspect

HERE = Path(__file__).parent / "traces"

# file, format, read, kept, dropped, reordered, requests by class, span in seconds
COUNTS = [
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
IDS = [c[0] for c in COUNTS]


def trace(name: str, **more) -> Trace:
    mapping = read_mapping(HERE / "generic.toml") if name == "generic.csv" else None
    return Trace([HERE / name], mapping=mapping, **more)


@pytest.mark.parametrize("block", [1 << 20, 64, 7])
@pytest.mark.parametrize("count", COUNTS, ids=IDS)
def test_inspect_finds_what_was_counted(count, block):
    """Whatever the blocks in which the file is read: a row's fate is not its neighbours' in a block."""
    name, kind, read, kept, dropped, reordered, classes, span = count
    told = inspect(trace(name, block=block))
    assert (told["format"], told["rows_read"], told["rows_kept"]) == (kind, read, kept)
    assert (told["rows_dropped"], told["rows_reordered"]) == (dropped, reordered)
    assert {k: c["requests"] for k, c in told["classes"].items() if c["requests"]} == classes
    assert told["requests"] == sum(classes.values())
    assert span is None or told["span_s"] == span


def replay(*args: str) -> dict:
    command = [sys.executable, "-m", "harecross", "replay", *args, "--json", "-", "--servers", "3"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


@pytest.mark.parametrize(
    "count", [c for c in COUNTS if c[7] is not None], ids=[i for i in IDS if "2019" not in i]
)
def test_a_replay_at_twice_the_rate_asks_what_was_counted(count):
    name, kind, read, kept, dropped, _, classes, span = count
    more = ["--format", str(HERE / "generic.toml")] if name == "generic.csv" else []
    told = replay(str(HERE / name), "--speed", "2", "--mean-work", "2", *more)
    assert (told["format"], told["rows_read"], told["rows_kept"], told["rows_dropped"]) == (
        kind,
        read,
        kept,
        dropped,
    )
    assert told["asked"] == sum(classes.values())
    assert {k: c["asked"] for k, c in told["by_class"].items() if c["asked"]} == classes
    ends = ("served_in_time", "served_late", "refused", "failed", "open")
    assert sum(told[k] for k in ends) == told["asked"]
    assert told["open"] == 0
    # Nothing is in the way of three idle servers: all of it is served, and all the worth with it.
    assert told["served_in_time"] == told["asked"]
    assert told["service"] == 1.0
    worth = {k: c["worth"] for k, c in told["class_settings"].items()}
    assert told["worth_asked"] == sum(worth[k] * n for k, n in classes.items())
    # At twice the rate the last request is due after half of the span, and no run ends before that.
    assert told["seconds"] >= span / 2
    assert sum(w["asked"] for w in told["windows"]) == told["asked"]
    assert told["windows"][-1]["from_s"] <= span / 2 < told["windows"][-1]["from_s"] + 1


def test_a_replay_of_counted_minutes_asks_what_was_counted():
    """azure-functions-2019 counts by the minute: at twice the rate its two minutes take one."""
    told = replay(
        str(HERE / "azure_2019_durations.csv"),
        str(HERE / "azure_2019.csv"),
        "--speed",
        "2",
        "--mean-work",
        "2",
    )
    assert told["rows_read"] == 8
    assert told["asked"] == 7 == told["served_in_time"]
    assert told["seconds"] > 15
    assert {k: c["asked"] for k, c in told["by_class"].items() if c["asked"]} == {
        "http": 3,
        "queue": 2,
        "timer": 2,
    }


def test_calls_of_a_graph_arrive_at_the_servers_of_their_tier():
    told = replay(str(HERE / "ms_calls.csv"), "--speed", "2", "--mean-work", "2")
    arrived = {
        tier: sum(s["arrived"] for n, s in told["servers"].items() if n.startswith("t1") == tier)
        for tier in (0, 1)
    }
    assert arrived == {False: 3, True: 3}


def test_machine_events_take_a_server_away_in_mid_replay():
    command = [
        str(HERE / "google_machines.csv"),
        str(HERE / "google_tasks.csv"),
        "--speed",
        "2",
        "--mean-work",
        "5",
    ]
    told = replay(*command)
    assert [(e["what"], e["name"], e["done"]) for e in told["events"]] == [("remove", "m2", True)]
    assert abs(told["events"][0]["at_s"] - 0.2) < 0.001  # 1.4 s of the trace, 0.4 s after its first request
    assert set(told["servers"]) == {"m1", "m2", "m3"}
    assert told["asked"] == 5
    assert told["servers"]["m2"]["latest_after_told_us"] <= 250_000
