"""Tests of planning a replay from a trace."""

from __future__ import annotations

from pathlib import Path

import pytest

from harecross.replay.plan import Event, EventAction, ReplayOptions, parse_event, plan_replay
from harecross.traces.row_tally import TraceError
from harecross.traces.summary import Trace

TRACES = Path(__file__).parent / "traces"


def opener(*names: str):
    return lambda: Trace([TRACES / name for name in names])


def plan(*names: str, **options):
    return plan_replay(opener(*names), ReplayOptions(**options))


def test_by_default_the_whole_trace_is_sent_at_its_own_rate():
    whole = plan("google_tasks.csv")
    assert whole.due_us == [0, 100_000, 300_000, 500_000, 900_000]
    assert whole.class_index == [3, 0, 0, 2, 3]


def test_twice_the_speed_halves_the_times_and_keeps_the_work():
    whole, twice = plan("google_tasks.csv"), plan("google_tasks.csv", speed=2)
    assert twice.due_us == [due_us // 2 for due_us in whole.due_us]
    assert twice.work_us == whole.work_us


def test_a_part_is_chosen_by_start_and_length():
    part = plan("google_tasks.csv", start_s=0.1, length_s=0.4)
    assert part.due_us == [0, 200_000]
    # The end of the part is exclusive, so the request that is due at 0.5 s is left out.
    assert part.requests_left_out == 3


def test_a_task_without_a_duration_has_the_mean_of_its_class_or_of_all():
    """The only known duration is that of job 2, 400 ms from SCHEDULE to FINISH, so every class has this mean."""
    assert plan("google_tasks.csv", mean_work_ms=10).work_us == [10_000] * 5


def test_a_calls_work_is_that_of_the_callee():
    calls = plan("ms_calls.csv", mean_work_ms=22.5)
    # One call has a callee's record of 10 ms and a caller's record of 12 ms.
    assert sorted(calls.work_us) == [8000, 9000, 10_000, 33_000, 35_000, 40_000]


def test_a_functions_work_is_the_mean_duration_of_its_key():
    functions = plan("azure_2019_durations.csv", "azure_2019.csv", mean_work_ms=28)
    assert sorted(functions.work_us) == [20_000] * 3 + [28_000] * 2 + [40_000] * 2


def test_calls_go_to_the_tier_of_their_rpcid():
    calls = plan("ms_calls.csv")
    assert calls.tier == [0, 1, 0, 0, 1, 1]
    assert [len(names) for names in calls.servers] == [2, 2]
    assert calls.servers[1][0] == "t1s0"


def test_machines_that_are_present_at_the_start_are_the_servers():
    machines = plan("google_machines.csv", "google_tasks.csv", servers=2)
    assert machines.servers == [["m1", "m2"]]
    assert machines.machines_left_out == 1
    assert machines.events == [Event(400_000, EventAction.REMOVE, "m2")]


@pytest.mark.parametrize(
    ("name", "start_s", "message"),
    [
        ("google_tasks.csv", 100, "no request in the part"),
        ("google_machines.csv", 1, "the trace contains no request"),
    ],
)
def test_a_part_without_a_request_is_an_error(name, start_s, message):
    with pytest.raises(TraceError, match=message):
        plan(name, start_s=start_s)


def test_an_event_is_parsed():
    assert parse_event("1.5:slow:s0:8") == Event(1_500_000, EventAction.SLOW, "s0", 8.0)
    assert parse_event("2:kill-node:n1") == Event(2_000_000, EventAction.KILL_NODE, "n1")


@pytest.mark.parametrize(
    "text", ["x:kill:s0", "1:burn:s0", "1:add:s0", "1:slow:s0", "1:kill:s0:2", "-1:kill:s0", "1:kill", ""]
)
def test_an_event_with_invalid_syntax_is_an_error(text):
    with pytest.raises(ValueError, match="WHAT is remove, kill, drain, slow, hang, kill-node, stop-node"):
        parse_event(text)
