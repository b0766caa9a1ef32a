"""Runs short soaks of fixed seeds, and checks the plans, the oracle and the report of the soak."""

from __future__ import annotations

from dataclasses import replace

import pytest
import uvloop

from harecross.soak import shim as shim_module
from harecross.soak.oracle import Oracle, Rule
from harecross.soak.plan import NodeAction
from harecross.soak.planner import FIRST_MIGRATION_S, MAX_CAUGHT_UP_S, make_plan
from harecross.soak.records import (
    AttemptOutcome,
    AttemptRecord,
    ClientOutcome,
    ClientRecord,
    CrowdRecord,
    EndpointChange,
    Idempotency,
    Lifecycle,
    NodeEventRecord,
    NotificationRecord,
    Records,
)
from harecross.soak.report import report
from harecross.soak.run import run_soak

SEEDS = [1, 4, 5, 12, 17, 36]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_soak_breaks_no_rule(seed, tmp_path):
    """A seed always gives the same plan, but which request meets which fault depends on the machine's timing."""
    records, breaches = uvloop.run(run_soak(make_plan(seed), shim_module.build_shim(tmp_path)))
    assert not breaches, "\n".join(report(records, breaches))
    answered = sum(client.outcome is ClientOutcome.ANSWERED for client in records.clients.values())
    assert answered > 0.5 * len(records.clients) > 50
    assert records.notifications
    assert records.node_events


def test_a_seed_always_gives_the_same_plan_and_plans_follow_the_protocol():
    migrations = recalls = 0
    for seed in range(200):
        plan = make_plan(seed, max_nodes=14)
        assert plan == make_plan(seed, max_nodes=14)
        assert 1 <= len(plan.nodes) <= 14
        assert plan.changes
        for node in plan.nodes:
            times = [
                event.at for event in plan.events if event.node == node and event.action is NodeAction.MIGRATE
            ]
            migrations += len(times)
            assert all(at >= FIRST_MIGRATION_S for at in times)
            discoveries = plan.discoveries[node]
            assert len(discoveries) >= len(times) + 1
            assert all(discovery.caught_up_after <= MAX_CAUGHT_UP_S for discovery in discoveries)
        recalls += any(change.lifecycle == Lifecycle.IN_SERVICE for change in plan.changes)
    assert migrations > 1000
    assert recalls > 50
    assert make_plan(1) != make_plan(2)


CLIENT = ClientRecord(
    "r", "n.1", Idempotency.NON_IDEMPOTENT, 10.0, 1.0, True, ClientOutcome.ANSWERED, 200, 10.2
)
ATTEMPT = AttemptRecord("r", "s", 10.05, 10.05, 0.95, AttemptOutcome.OK, 10.2)
IN_SERVICE = EndpointChange(0.0, "s", "in_service", 0)


def broken_rules(*attempts: AttemptRecord, client: ClientRecord = CLIENT, **other_records) -> list[Rule]:
    records = Records(
        {client.id: client}, [replace(attempt) for attempt in attempts], [IN_SERVICE], **other_records
    )
    return [breach.rule for breach in Oracle(records).breaches()]


def broken_rules_after(*changes: EndpointChange, notified: tuple[NotificationRecord, ...]) -> list[Rule]:
    records = Records({"r": CLIENT}, [ATTEMPT], [IN_SERVICE, *changes], list(notified))
    return [breach.rule for breach in Oracle(records).breaches()]


def test_a_run_without_faults_breaks_no_rule():
    assert broken_rules(ATTEMPT) == []
    assert broken_rules(client=replace(CLIENT, status=503)) == []
    assert broken_rules(client=replace(CLIENT, outcome=ClientOutcome.NOT_ACCEPTED)) == []


@pytest.mark.parametrize(
    ("client", "signals", "is_lost"),
    [
        (replace(CLIENT, outcome=ClientOutcome.CLOSED), [], True),
        (replace(CLIENT, outcome=ClientOutcome.UNANSWERED, ended_at=11.8), [], True),
        (replace(CLIENT, ended_at=11.49), [], False),
        (replace(CLIENT, ended_at=11.51), [], True),
        (replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3), [("SIGKILL", 10.3)], False),
        (
            replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3),
            [("SIGTERM", 9.4), ("SIGKILL", 10.3)],
            False,
        ),
        (
            replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3),
            [("SIGTERM", 9.2), ("SIGKILL", 10.3)],
            True,
        ),
        (replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3), [("SIGKILL", 9.9)], True),
        (
            replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3),
            [("SIGKILL", 9.9), ("ended", 10.3)],
            False,
        ),
        (
            replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3),
            [("SIGKILL", 9.7), ("ended", 9.9)],
            True,
        ),
        (replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=10.3), [("SIGKILL", 10.4)], True),
    ],
)
def test_a_request_without_an_answer_in_time_is_lost_unless_sigkill_ended_it(client, signals, is_lost):
    rules = broken_rules(
        client=client, node_events=[NodeEventRecord("n.1", at, text) for text, at in signals]
    )
    assert rules == ([Rule.LOST] if is_lost else [])


@pytest.mark.parametrize("outcome", list(AttemptOutcome))
@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_non_idempotent_request_is_sent_again_only_after_a_rejection(outcome, idempotency):
    first = replace(ATTEMPT, outcome=outcome)
    second = replace(ATTEMPT, server="t", first_byte_at=10.1, timeout=0.9)
    broken = idempotency is Idempotency.NON_IDEMPOTENT and outcome is not AttemptOutcome.REJECTED
    assert broken_rules(second, first, client=replace(CLIENT, idempotency=idempotency)) == (
        [Rule.DUPLICATE] if broken else []
    )


def test_an_attempt_at_a_draining_server_is_a_breach_after_the_grace_time_but_not_after_a_recall():
    drain, recall = EndpointChange(5.0, "s", "terminating", 0), EndpointChange(6.0, "s", "in_service", 0)
    late, in_time = NotificationRecord("n.1", 1, 9.74, ""), NotificationRecord("n.1", 1, 9.76, "")
    assert broken_rules_after(drain, notified=(late,)) == [Rule.DRAIN]
    assert broken_rules_after(drain, notified=(in_time,)) == [] == broken_rules_after(drain, notified=())
    assert broken_rules_after(drain, notified=(NotificationRecord("n.2", 1, 5.0, ""),)) == [], (
        "another node was notified"
    )
    assert broken_rules_after(drain, recall, notified=(late,)) == []
    second_drain = EndpointChange(7.0, "s", "terminating", 0)
    assert broken_rules_after(drain, recall, second_drain, notified=(late,)) == [], (
        "it was not notified of the second drain"
    )
    assert broken_rules_after(
        drain, recall, second_drain, notified=(NotificationRecord("n.1", 3, 9.0, ""),)
    ) == [Rule.DRAIN]
    gone = EndpointChange(8.0, "s", "terminated", 0)
    assert broken_rules_after(drain, gone, notified=(late,)) == [Rule.DRAIN]


def test_an_attempt_for_a_disconnected_client_or_with_more_time_than_the_client_has_is_a_breach():
    disconnected = replace(CLIENT, outcome=ClientOutcome.DISCONNECTED, ended_at=9.9)
    assert broken_rules(ATTEMPT, client=disconnected) == [Rule.CLIENT_GONE]
    assert broken_rules(ATTEMPT, client=replace(disconnected, ended_at=9.96)) == []
    assert broken_rules(replace(ATTEMPT, timeout=1.09)) == []
    assert broken_rules(replace(ATTEMPT, timeout=1.11)) == [Rule.DEADLINE]


def test_bounds_are_widened_by_the_delay_of_the_records_and_a_crash_is_a_breach():
    assert broken_rules(replace(ATTEMPT, timeout=1.11), max_delay=0.02) == []
    crash = NodeEventRecord("n.1", 3.0, "ended by itself: 1")
    assert broken_rules(ATTEMPT, crashes=[crash]) == [Rule.CRASH]


def test_a_report_has_the_request_its_attempts_the_node_events_and_the_notifications():
    drain = EndpointChange(5.0, "s", "terminating", 0)
    notification, event = (
        NotificationRecord("n.1", 1, 9.0, "written, d:1"),
        NodeEventRecord("n.1", 8.0, "SIGHUP to d:1"),
    )
    records = Records(
        {"r": CLIENT}, [ATTEMPT], [IN_SERVICE, drain], [notification], [event], logs={"n.1": ["a line"]}
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


def test_every_mutation_applies_to_the_program():
    from benchmarks.soak_mutations import MUTATIONS, ROOT

    for mutation in MUTATIONS:
        for file, original, mutated in mutation.changes:
            text = (ROOT / "harecross" / file).read_text()
            assert original in text, mutation.name
            compile(text.replace(original, mutated, 1), file, "exec")


@pytest.mark.parametrize(
    ("client", "is_lost"),
    [
        (replace(CLIENT, outcome=ClientOutcome.CLOSED), False),
        (replace(CLIENT, outcome=ClientOutcome.CLOSED, new_connection=False), True),
        (replace(CLIENT, outcome=ClientOutcome.CLOSED, ended_at=20.0), True),
        (replace(CLIENT, outcome=ClientOutcome.CLOSED, node="other.1"), True),
        (replace(CLIENT, outcome=ClientOutcome.UNANSWERED), True),
    ],
)
def test_only_new_connections_may_be_closed_unread_and_only_while_others_fill_the_descriptors(
    client, is_lost
):
    """Guards against an exception for crowds that hides lost requests."""
    crowds = [CrowdRecord("n", 9.0, 12.0)]
    assert broken_rules(client=client, crowds=crowds) == ([Rule.LOST] if is_lost else [])


def test_a_sound_answer_that_is_cut_off_is_lost_and_a_large_one_is_timed_by_its_first_byte():
    """Guards against an oracle that does not see the incident's pictures."""
    begun = replace(ATTEMPT, outcome=AttemptOutcome.UNFINISHED, began_at=10.1, ended_at=10.9)
    assert broken_rules(begun, client=replace(CLIENT, status=503, ended_at=10.9)) == [Rule.LOST]
    assert broken_rules(replace(begun, ended_at=10.2), client=replace(CLIENT, status=503)) == []
    late = replace(CLIENT, ended_at=13.0, first_byte_at=10.9, size=100_000)
    assert broken_rules(replace(begun, outcome=AttemptOutcome.OK), client=late) == []
    assert broken_rules(ATTEMPT, client=replace(late, first_byte_at=11.6)) == [Rule.LOST]
    reset = replace(CLIENT, outcome=ClientOutcome.CLOSED, first_byte_at=10.3)
    assert broken_rules(replace(begun, outcome=AttemptOutcome.RESET), client=reset) == []


def test_an_id_that_comes_again_may_be_sent_if_it_never_ran():
    """Guards against an oracle that takes a repeat by the client for an attempt after its departure."""
    left = replace(CLIENT, outcome=ClientOutcome.DISCONNECTED, ended_at=10.2, repeated_at=11.0)
    again = replace(ATTEMPT, first_byte_at=11.01, received_at=11.01, ended_at=11.1)
    assert broken_rules(again, client=left) == []
    assert broken_rules(ATTEMPT, again, client=left) == [Rule.DUPLICATE]
