"""Two random choices: which of two members is the less loaded."""

from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    Outcome,
)
from harecross.policy.records import RETENTION_US


def test_overdue_requests_show_a_member_that_has_just_become_slow():
    """Its averages still look good: what tells is that its requests have been out for longer than the mean."""
    node, _recorder = balancer(2)
    slow, quick = node.subset.members
    slow.in_flight, slow.last_progress_at = 1, 0
    quick.in_flight, quick.last_progress_at = 2, 900_000
    assert slow.load(300_000, 250_000.0, RETENTION_US) < quick.load(1_000_000, 250_000.0, RETENTION_US)
    assert slow.load(1_000_000, 250_000.0, RETENTION_US) > quick.load(1_000_000, 250_000.0, RETENTION_US)


def test_a_slow_member_is_picked_less_often():
    """Equal requests in flight hide a slow machine where a node has hardly any in flight."""
    node, recorder = balancer(4)
    now, hits = 0, 0
    for i in range(400):
        now += 400_000
        server = send_request(node, recorder, now, i)[2]
        hits += server == 1
        end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 300_000 if server == 1 else 100_000)
    assert hits < 60


def served(node, recorder, now: int, request: int, latency: dict[int, int], report=None) -> int:
    """Sends one request in, ends it with its server's latency and report, and returns the server."""
    _, _, server, _ = send_request(node, recorder, now, request)
    shown = report(server) if report else ()
    node.outcome(now + latency[server], request, 0, server, Outcome.OK, latency[server], True, shown)
    recorder.take_calls()
    return server


def two_machine_types() -> list[Endpoint]:
    return [Endpoint(i, machine_type=i % 2) for i in range(20)]


def test_with_little_traffic_a_member_counts_as_its_machine_type():
    """Each member is met too seldom to be known; equal shares would drown the slowest machine type."""
    node, recorder = balancer(two_machine_types())
    latency = {i: 200_000 if i % 2 else 100_000 for i in range(20)}
    drawn = [served(node, recorder, i * 10 * SEC, i, latency) % 2 for i in range(300)]
    assert sum(drawn[100:]) < 0.35 * 200


def test_load_reports_show_a_slow_machine_type_that_round_trips_hide():
    """The request spends most of its time below; round-trips look alike, while the slow machine type is drowning."""
    node, recorder = balancer(two_machine_types(), report_fields=("latency_ms", "util"))
    latency = dict.fromkeys(range(20), 500_000)
    drawn = [
        served(node, recorder, i * 10 * SEC, i, latency, lambda s: (90.0, 0.9) if s % 2 else (30.0, 0.4)) % 2
        for i in range(300)
    ]
    assert sum(drawn[100:]) < 0.35 * 200


def test_a_load_report_of_another_length_is_ignored():
    node, recorder = balancer(2, report_fields=("latency_ms", "util"))
    latency = {1: 1000, 2: 1000}
    for i, shown in enumerate([(), (5.0,), (float("inf"), -3.0), (1.0, 2.0, 3.0), (float("nan"), 0.5)]):
        served(node, recorder, i * SEC, i, latency, lambda _, shown=shown: shown)
    assert served(node, recorder, 9 * SEC, 99, latency) in (1, 2)


def test_a_member_without_outcomes_counts_as_its_machine_type_reports():
    """At a start most members of a thin copy are strangers; the slowest kind must not get an even share."""
    node, _recorder = balancer(two_machine_types(), report_fields=("latency_ms", "util"))
    for kind, shown in ((0, (30.0, 0.4)), (1, (90.0, 0.9))):
        node.traffic.record_load_report(node.subset.servers[2 + kind], shown)
    fast, slow = node.subset.servers[4], node.subset.servers[5]
    assert slow.load(0, 1e5, RETENTION_US, node.traffic.mean_cost) > 2 * fast.load(
        0, 1e5, RETENTION_US, node.traffic.mean_cost
    )
