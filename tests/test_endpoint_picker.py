"""Two random choices: which of two members counts as the less loaded."""

from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    Outcome,
)
from harecross.policy.records import RETENTION_US


def test_overdue_requests_show_a_member_that_has_just_become_slow():
    """The averages of such a member still look good, but its requests in flight take longer than the mean."""
    node, _recorder = balancer(2)
    slow, fast = node.subset.members
    slow.in_flight, slow.last_progress_at = 1, 0
    fast.in_flight, fast.last_progress_at = 2, 900_000
    assert slow.load(300_000, 250_000.0, RETENTION_US) < fast.load(1_000_000, 250_000.0, RETENTION_US)
    assert slow.load(1_000_000, 250_000.0, RETENTION_US) > fast.load(1_000_000, 250_000.0, RETENTION_US)


def test_a_slow_member_is_picked_less_often():
    """A node with hardly any requests in flight cannot tell a slow member by their number alone."""
    node, recorder = balancer(4)
    now, slow_picks = 0, 0
    for i in range(400):
        now += 400_000
        server = send_request(node, recorder, now, i)[2]
        slow_picks += server == 1
        end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 300_000 if server == 1 else 100_000)
    assert slow_picks < 60


def serve_request(node, recorder, now: int, request: int, latency: dict[int, int], report=None) -> int:
    """Sends a request to the node, ends it with the server's latency and load report, and returns the server."""
    _, _, server, _ = send_request(node, recorder, now, request)
    load_report = report(server) if report else ()
    node.outcome(now + latency[server], request, 0, server, Outcome.OK, latency[server], True, load_report)
    recorder.take_calls()
    return server


def two_machine_types() -> list[Endpoint]:
    return [Endpoint(i, machine_type=i % 2) for i in range(20)]


def test_with_little_traffic_a_member_counts_by_its_machine_type():
    """With too few samples of each member, equal shares would overload the slowest machine type."""
    node, recorder = balancer(two_machine_types())
    latency = {i: 200_000 if i % 2 else 100_000 for i in range(20)}
    picked_types = [serve_request(node, recorder, i * 10 * SEC, i, latency) % 2 for i in range(300)]
    assert sum(picked_types[100:]) < 0.35 * 200


def test_load_reports_show_a_slow_machine_type_that_round_trips_hide():
    """Round-trips look alike if requests spend most of their time in lower tiers, even at overloaded servers."""
    node, recorder = balancer(two_machine_types(), report_fields=("latency_ms", "util"))
    latency = dict.fromkeys(range(20), 500_000)
    picked_types = [
        serve_request(
            node, recorder, i * 10 * SEC, i, latency, lambda s: (90.0, 0.9) if s % 2 else (30.0, 0.4)
        )
        % 2
        for i in range(300)
    ]
    assert sum(picked_types[100:]) < 0.35 * 200


def test_a_load_report_of_another_length_is_ignored():
    node, recorder = balancer(2, report_fields=("latency_ms", "util"))
    latency = {1: 1000, 2: 1000}
    for i, report in enumerate([(), (5.0,), (float("inf"), -3.0), (1.0, 2.0, 3.0), (float("nan"), 0.5)]):
        serve_request(node, recorder, i * SEC, i, latency, lambda _, report=report: report)
    assert serve_request(node, recorder, 9 * SEC, 99, latency) in (1, 2)


def test_a_member_without_outcomes_counts_by_the_load_reports_of_its_machine_type():
    """After the start of a node with little traffic most members have no outcomes.

    The slowest machine type must not get an even share of the requests then.
    """
    node, _recorder = balancer(two_machine_types(), report_fields=("latency_ms", "util"))
    for machine_type, report in ((0, (30.0, 0.4)), (1, (90.0, 0.9))):
        node.traffic.record_load_report(node.subset.servers[2 + machine_type], report)
    fast, slow = node.subset.servers[4], node.subset.servers[5]
    assert slow.load(0, 1e5, RETENTION_US, node.traffic.mean_cost) > 2 * fast.load(
        0, 1e5, RETENTION_US, node.traffic.mean_cost
    )
