"""A short soak of fixed seeds, and the oracle that judges it."""

from __future__ import annotations

from dataclasses import replace

import pytest
import uvloop

from harecross.soak import shim as shim_module
from harecross.soak.oracle import Oracle, Rule, report
from harecross.soak.plan import CATCH_UP_MOST, FIRST_MOVE, make_plan
from harecross.soak.records import (
    Change,
    ClientRecord,
    Effect,
    End,
    Ran,
    Records,
    ServerRecord,
    SignalRecord,
    ToldRecord,
)
from harecross.soak.run import soak

SEEDS = [1, 4, 5, 12, 17, 36]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_soak_breaks_no_rule(seed, tmp_path):
    """A seed gives the same plan every time; which request meets which fault is the machine's."""
    records, breaches = uvloop.run(soak(make_plan(seed), shim_module.build(tmp_path)))
    assert not breaches, "\n".join(report(records, breaches))
    answered = sum(client.end is End.ANSWERED for client in records.clients.values())
    assert answered > 0.5 * len(records.clients) > 50
    assert records.told
    assert records.signals


def test_a_seed_gives_the_same_plan_every_time_and_plans_keep_to_the_pages():
    moves = recalls = 0
    for seed in range(200):
        plan = make_plan(seed, nodes_most=14)
        assert plan == make_plan(seed, nodes_most=14)
        assert 1 <= len(plan.nodes) <= 14
        assert plan.changes
        for node in plan.nodes:
            moves_of = [e for e in plan.events if e.node == node and e.what == "move"]
            moves += len(moves_of)
            assert all(e.at >= FIRST_MOVE for e in moves_of)
            assert len(plan.discoveries[node]) >= len(moves_of) + 1
            assert all(d.caught_up <= CATCH_UP_MOST for d in plan.discoveries[node])
        recalls += any(c.lifecycle == "in_service" for c in plan.changes)
    assert moves > 1000
    assert recalls > 50
    assert make_plan(1) != make_plan(2)


# ---- the oracle -------------------------------------------------------------------------------------------

CLIENT = ClientRecord("r", "n.1", Effect.UNSAFE, 10.0, 1.0, True, End.ANSWERED, 200, 10.2)
ATTEMPT = ServerRecord("r", "s", 10.05, 10.05, 0.95, Ran.OK, 10.2)
IN_SERVICE = Change(0.0, "s", "in_service", 0)


def judged(*attempts: ServerRecord, client: ClientRecord = CLIENT, **more) -> list[Rule]:
    records = Records({client.id: client}, [replace(a) for a in attempts], [IN_SERVICE], **more)
    return [breach.rule for breach in Oracle(records).breaches()]


def drained(*changes: Change, told: tuple[ToldRecord, ...]) -> list[Rule]:
    records = Records({"r": CLIENT}, [ATTEMPT], [IN_SERVICE, *changes], list(told))
    return [breach.rule for breach in Oracle(records).breaches()]


def test_a_good_run_breaks_nothing():
    assert judged(ATTEMPT) == []
    assert judged(client=replace(CLIENT, status=503)) == []
    assert judged(client=replace(CLIENT, end=End.NOT_TAKEN)) == []


@pytest.mark.parametrize(
    ("client", "signals", "broken"),
    [
        (replace(CLIENT, end=End.CLOSED), [], True),
        (replace(CLIENT, end=End.UNANSWERED, ended=11.8), [], True),
        (replace(CLIENT, ended=11.49), [], False),
        (replace(CLIENT, ended=11.51), [], True),
        (replace(CLIENT, end=End.CLOSED, ended=10.3), [("SIGKILL", 10.3)], False),
        (replace(CLIENT, end=End.CLOSED, ended=10.3), [("SIGTERM", 9.4), ("SIGKILL", 10.3)], False),
        (replace(CLIENT, end=End.CLOSED, ended=10.3), [("SIGTERM", 9.2), ("SIGKILL", 10.3)], True),
        (replace(CLIENT, end=End.CLOSED, ended=10.3), [("SIGKILL", 9.9)], True),
        (replace(CLIENT, end=End.CLOSED, ended=10.3), [("SIGKILL", 10.4)], True),
    ],
)
def test_a_request_without_its_answer_in_time_is_lost_unless_a_kill_found_it(client, signals, broken):
    found = judged(client=client, signals=[SignalRecord("n.1", at, what) for what, at in signals])
    assert found == ([Rule.LOST] if broken else [])


@pytest.mark.parametrize("ran", list(Ran))
@pytest.mark.parametrize("effect", list(Effect))
def test_an_unsafe_request_goes_on_only_after_it_was_turned_away(ran, effect):
    first = replace(ATTEMPT, ran=ran)
    second = replace(ATTEMPT, server="t", first_byte=10.1, timeout=0.9)
    broken = effect is Effect.UNSAFE and ran is not Ran.TURNED_AWAY
    assert judged(second, first, client=replace(CLIENT, effect=effect)) == (
        [Rule.DUPLICATE] if broken else []
    )


def test_new_work_to_a_server_that_leaves_is_broken_after_the_grace_and_not_after_a_recall():
    drain, recall = Change(5.0, "s", "terminating", 0), Change(6.0, "s", "in_service", 0)
    late, in_time = ToldRecord("n.1", 1, 9.74, ""), ToldRecord("n.1", 1, 9.76, "")
    assert drained(drain, told=(late,)) == [Rule.DRAIN]
    assert drained(drain, told=(in_time,)) == [] == drained(drain, told=())
    assert drained(drain, told=(ToldRecord("n.2", 1, 5.0, ""),)) == [], "another node was told"
    assert drained(drain, recall, told=(late,)) == []
    again = Change(7.0, "s", "terminating", 0)
    assert drained(drain, recall, again, told=(late,)) == [], "of the second drain it has not heard"
    assert drained(drain, recall, again, told=(ToldRecord("n.1", 3, 9.0, ""),)) == [Rule.DRAIN]
    gone = Change(8.0, "s", "terminated", 0)
    assert drained(drain, gone, told=(late,)) == [Rule.DRAIN]


def test_who_has_gone_gets_no_attempt_and_a_server_no_more_time_than_is_left():
    left = replace(CLIENT, end=End.LEFT, ended=9.9)
    assert judged(ATTEMPT, client=left) == [Rule.CLIENT_GONE]
    assert judged(ATTEMPT, client=replace(left, ended=9.96)) == []
    assert judged(replace(ATTEMPT, timeout=1.09)) == []
    assert judged(replace(ATTEMPT, timeout=1.11)) == [Rule.DEADLINE]


def test_bounds_are_wider_by_as_much_as_the_records_may_be_late_and_crashes_are_told():
    assert judged(replace(ATTEMPT, timeout=1.11), lag=0.02) == []
    crash = SignalRecord("n.1", 3.0, "ended by itself: 1")
    assert judged(ATTEMPT, crashes=[crash]) == [Rule.CRASH]


def test_a_report_has_the_request_its_attempts_the_signals_and_what_was_told():
    drain = Change(5.0, "s", "terminating", 0)
    told, signal = ToldRecord("n.1", 1, 9.0, "written, d:1"), SignalRecord("n.1", 8.0, "SIGHUP to d:1")
    records = Records(
        {"r": CLIENT}, [ATTEMPT], [IN_SERVICE, drain], [told], [signal], logs={"n.1": ["a line"]}
    )
    text = "\n".join(report(records, Oracle(records).breaches()))
    for part in (
        "rule drain: 10.050 n.1 to s 1.050 s after it was told",
        "client: id r unsafe to n.1 on a new connection, sent 10.000",
        "server s: bytes 10.050",
        "8.000 SIGHUP to d:1",
        "9.000 s terminating of 5.000: written, d:1",
        "a line",
    ):
        assert part in text


def test_every_fault_of_the_mutation_table_still_fits_the_program():
    from benchmarks.soak_mutations import MUTATIONS, ROOT

    for mutation in MUTATIONS:
        for file, good, bad in mutation.changes:
            text = (ROOT / "harecross" / file).read_text()
            assert good in text, mutation.name
            compile(text.replace(good, bad, 1), file, "exec")
