"""Outlier detection: which members are ejected, probed and readmitted."""

from random import Random

import pytest
from support import NON_IDEMPOTENT, SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Outcome,
)
from harecross.policy.balancer import Balancer
from harecross.policy.records import RETENTION_US


def test_a_server_that_rejects_everything_is_avoided():
    """Such a server has no requests in flight, so by its load alone it would be picked every time."""
    node, recorder = balancer(4, max_attempts=1)
    sent_to_rejecting = 0
    for i in range(100):
        at = i * 300_000
        _, _, server, _ = send_request(node, recorder, at, i)
        sent_to_rejecting += server == 1
        outcome = Outcome.REJECTED if server == 1 else Outcome.OK
        node.outcome(at + 250_000, i, 0, server, outcome, 250_000, outcome == Outcome.OK, ())
        recorder.take_calls()
    assert sent_to_rejecting < 15


def test_a_drained_server_that_fails_gets_no_recovery_probe():
    """The last requests of a drained server may fail; an ejection after its removal would lead to a probe."""
    node, recorder = balancer(4)
    in_flight = []
    for i in range(12):
        _, request, server, _ = send_request(node, recorder, 0, i, 2)
        in_flight.append((request, server))
    drained = max(range(1, 5), key=[server for _, server in in_flight].count)
    node.endpoint_update(1, EndpointUpdateKind.CHANGES, [Endpoint(drained, EndpointState.DRAINING)])
    for request, server in in_flight:
        end_attempt(node, recorder, 2, request, 0, server, Outcome.ERROR if server == drained else Outcome.OK)
    assert sum(server == drained for _, server in in_flight) >= 3
    assert node.outliers.ejected == []
    for i in range(100, 200):
        _, _, server, _ = send_request(node, recorder, i * SEC, i)
        assert server != drained
        end_attempt(node, recorder, i * SEC, i, 0, server, Outcome.OK)


def with_one_failing_member():
    """Sends 300 requests to a node with six members, of which server 3 fails all its requests quickly.

    Returns the node, its recorder, the time and the number of requests that server 3 got.
    """
    node, recorder = balancer(6)
    now, failed = 0, 0
    for i in range(300):
        now += 20_000
        action = send_request(node, recorder, now, i, 2)
        failed += action[2] == 3
        outcome = Outcome.ERROR if action[2] == 3 else Outcome.OK
        end_attempt(node, recorder, now + 100, i, 0, action[2], outcome, 250_000)
    return node, recorder, now, failed


def test_a_member_that_fails_quickly_gets_few_requests():
    """A member that fails quickly has few requests in flight, so by its load alone it would be picked often."""
    _, _, _, failed = with_one_failing_member()
    assert failed < 15


def test_an_ejected_member_that_succeeds_again_is_readmitted():
    node, recorder, now, _ = with_one_failing_member()
    before = node.subset.servers[3].outcomes
    for i in range(300, 900):
        now += 20_000
        action = send_request(node, recorder, now, i, 0)
        end_attempt(node, recorder, now + 100, i, 0, action[2], Outcome.OK, 250_000)
        if i % 100 == 99:
            now += 10 * SEC
    assert not node.subset.servers[3].ejected
    assert node.subset.servers[3].outcomes > before


def test_an_unresponsive_member_is_ejected_and_frees_the_limit():
    """Requests that are stuck at an unresponsive member must not use up the limit of the other members."""
    node, recorder = balancer(6)
    now, in_flight = 0, []
    for i in range(600):
        now += 20_000
        action = send_request(node, recorder, now, i)
        if action[0] == "send" and action[2] != 3:
            in_flight.append((i, action[2]))
        if len(in_flight) > 6:
            end_attempt(node, recorder, now, in_flight[0][0], 0, in_flight[0][1], Outcome.OK, 200_000)
            del in_flight[0]
    assert node.subset.servers[3].ejected
    assert node.subset.servers[3].unresponsive
    assert node.controller.in_flight == 6


def refuse_connections(rounds: int, refuses) -> tuple[Balancer, list[int]]:
    """Sends full traffic to a node with ten members, some of which refuse connections in the second half.

    `refuses` tells whether a server does. Returns the node and, for each request of the second half, the number
    of its attempts.
    """
    node, recorder = balancer(10, instance_count=4)
    # Each item holds the end, the request, the attempt and the server.
    in_flight: list[tuple[int, int, int, int]] = []
    now, attempts = 0, {}
    for step in range(2 * rounds):
        now += 5_000
        for item in [o for o in in_flight if o[0] <= now]:
            in_flight.remove(item)
            _, request, attempt, server = item
            down = step >= rounds and refuses(server)
            latency = 1_000 if down else 100_000
            for action in end_attempt(
                node,
                recorder,
                now,
                request,
                attempt,
                server,
                Outcome.CONNECT_FAILED if down else Outcome.OK,
                latency,
            ):
                if action[0] == "send":
                    in_flight.append((now + 1_000, request, attempt + 1, action[2]))
                    attempts[request] += step >= rounds
        action = send_request(node, recorder, now, now, 2)
        attempts[now] = int(step >= rounds and action[0] == "send")
        if action[0] == "send":
            down = step >= rounds and refuses(action[2])
            in_flight.append((now + (1_000 if down else 100_000), now, 0, action[2]))
        assert node.controller.in_flight <= node.controller.current_limit() + 4
    return node, [n for at, n in attempts.items() if at > rounds * 5_000]


def test_members_that_refuse_connections_do_not_lower_the_limit():
    """Replaced servers refuse at once, and more of them than may be ejected; the others respond as before."""
    before, _ = refuse_connections(2000, lambda server: False)
    node, attempts = refuse_connections(2000, lambda server: server > 3)
    assert node.controller.limit > 0.6 * before.controller.limit
    assert sum(n == 0 for n in attempts) < 0.02 * len(attempts)


def test_an_unreachable_tier_gets_no_more_than_the_attempt_cap_and_recovers():
    node, attempts = refuse_connections(1000, lambda server: True)
    assert 1 <= max(attempts) <= 4
    assert node.requests.keys() <= set(range(0, 20_000_000, 5_000))
    limit, recorder, now = node.controller.limit, node.actions, 11_000_000
    served = 0
    for _ in range(200):
        now += 10_000
        action = send_request(node, recorder, now, now, 2)
        if action[0] == "send":
            end_attempt(node, recorder, now + 5_000, now, 0, action[2], Outcome.OK, 5_000)
            served += 1
    assert served > 195
    assert node.controller.limit >= limit / 2


def lose_responses(
    fraction: float, members: tuple[int, ...], seconds: int = 20
) -> tuple[Balancer, dict[int, int]]:
    """Sends requests to a node with ten members, of which `members` lose this fraction of their responses.

    Their other responses are as fast as those of all members. Returns the node and the number of requests that
    each member got in the second half.
    """
    node, recorder = balancer(10, instance_count=4)
    rng, now, in_flight, received = Random(5), 0, [], dict.fromkeys(range(1, 11), 0)
    for step in range(seconds * 100):
        now += 10_000
        for item in [o for o in in_flight if o[0] <= now]:
            in_flight.remove(item)
            _, request, server, latency, outcome = item
            node.outcome(now, request, 0, server, outcome, latency, True, ())
        recorder.take_calls()
        action = send_request(node, recorder, now, now, 2)
        if action[0] == "send":
            server = action[2]
            received[server] += step >= seconds * 50
            lost = server in members and rng.random() < fraction
            latency = 900_000 if lost else 100_000
            in_flight.append((now + latency, now, server, latency, Outcome.TIMEOUT if lost else Outcome.OK))
    return node, received


@pytest.mark.parametrize("fraction", [0.5, 1.0])
def test_a_member_that_loses_responses_gets_few_requests(fraction):
    """Its other responses are as fast as those of all members, but each lost one takes until the timeout."""
    node, received = lose_responses(fraction, (3, 7))
    even = sum(received.values()) / 10
    assert (
        max(received[3], received[7])
        < 0.3 * even
        < min(n for server, n in received.items() if server not in (3, 7))
    )
    assert fraction < 1 or {srv.id for srv in node.outliers.ejected} == {3, 7}


@pytest.mark.parametrize("fraction", [0.2, 0.4, 0.9])
def test_no_member_is_ejected_for_lost_responses_if_all_members_lose_them(fraction):
    node, received = lose_responses(fraction, tuple(range(1, 11)))
    assert sum(srv.ejections for srv in node.subset.servers.values()) <= 1
    assert min(received.values()) > 0


def test_a_few_ejected_members_do_not_change_the_limit():
    node, _ = balancer(12)
    limit = node.controller.limit
    for m in node.subset.members[:4]:
        node.outliers.eject(0, m, unresponsive=False)
    assert len(node.subset.eligible) == 8
    assert node.controller.limit == limit


def test_a_failing_member_counts_as_more_loaded_before_it_is_ejected():
    node, _recorder = balancer(4)
    node.subset.servers[1].failure_rate = 0.25
    node.subset.servers[1].last_progress_at = 0
    assert node.subset.servers[1].load(0, 100_000.0, RETENTION_US) == pytest.approx(
        3 * node.subset.servers[2].load(0, 100_000.0, RETENTION_US)
    )


def test_a_slow_member_adds_no_sample_to_the_limit():
    node, recorder = balancer(4)
    node.controller.end_min_rtt_window(0)
    node.subset.servers[1].slowness = 3.0
    counts = []
    for i, server in enumerate((1, 2)):
        while send_request(node, recorder, 1000, 100 * server + i, 2)[2] != server:
            i += 1
        end_attempt(node, recorder, 1000, 100 * server + i, 0, server, Outcome.OK, 100_000)
        counts.append(len(node.controller.samples))
    assert counts == [0, 1]


def test_no_more_than_a_third_of_the_members_is_ejected():
    node, _recorder = balancer(9)
    for server in range(1, 10):
        node.outliers.eject(0, node.subset.servers[server], unresponsive=False)
    assert len(node.outliers.ejected) == 3


def test_a_restarted_server_is_measured_anew():
    node, _recorder = balancer(4)
    node.outliers.eject(0, node.subset.servers[1], unresponsive=False)
    node.subset.servers[1].slowness = 5.0
    node.endpoint_update(SEC, EndpointUpdateKind.CHANGES, [Endpoint(1, ready_at=SEC - 1)])
    assert not node.subset.servers[1].ejected
    assert node.subset.servers[1].slowness == 1.0
    assert node.subset.servers[1].slow_start_until == SEC - 1 + 4 * SEC


def test_a_non_idempotent_request_is_not_used_as_a_recovery_probe():
    node, recorder = balancer(4)
    node.outliers.eject(0, node.subset.servers[1], unresponsive=True)
    assert send_request(node, recorder, 3 * SEC, 1, request_class=2)[2] != 1


def test_a_recovery_probe_has_a_short_timeout():
    node, recorder = balancer(4)
    node.outliers.eject(0, node.subset.servers[1], unresponsive=True)
    send_request(node, recorder, 3 * SEC, 1, request_class=2)
    action = send_request(node, recorder, 5 * SEC, 2, request_class=0, left=3 * SEC)
    assert action[2] == 1
    assert action[3] < 3 * SEC


def little_traffic_with_two_failing_members() -> tuple[Balancer, list[int]]:
    """Sends a thousand requests, one per second, to a node with 20 members of which two fail.

    Returns the node and the requests after the first 100 that were sent to one of these two.
    """
    node, recorder = balancer(20)
    to_failing = []
    for i in range(1000):
        now = i * SEC
        _, _, server, _ = send_request(node, recorder, now, i)
        fails = server <= 2
        if fails and i >= 100:
            to_failing.append(i)
        outcome = Outcome.ERROR if fails else Outcome.OK
        node.outcome(now + 1000, i, 0, server, outcome, 100_000, not fails, ())
        for retry in recorder.take_calls("send"):
            node.outcome(now + 2000, i, 1, retry[2], Outcome.OK, 1000, True, ())
        recorder.take_calls()
    return node, to_failing


def test_with_little_traffic_a_failing_member_is_probed_no_more_often_than_it_would_be_picked():
    """Probes every two seconds would send failing members a third of the requests of a node with one per second."""
    _, to_failing = little_traffic_with_two_failing_members()
    assert 0 < len(to_failing) < 25  # an even share would be 90


def test_with_little_traffic_failures_are_remembered_for_two_requests_to_each_member():
    node, _ = little_traffic_with_two_failing_members()
    assert node.traffic.retention(len(node.subset.members)) == pytest.approx(2 * 20 * SEC, rel=0.1)
    failing, good = node.subset.servers[1], node.subset.servers[3]
    failing.failure_rate, failing.in_flight = 0.5, 0
    failing.last_outcome_at = good.last_outcome_at = 1000 * SEC
    retention = node.traffic.retention(len(node.subset.members))
    assert failing.load(1015 * SEC, 1e5, retention) > 2 * good.load(1015 * SEC, 1e5, retention)


def test_one_failure_of_a_member_without_outcomes_counts():
    node, recorder = balancer(20)
    _, _, server, _ = send_request(node, recorder, 0, 1)
    end_attempt(node, recorder, 1000, 1, 0, server, Outcome.ERROR)
    assert node.subset.servers[server].failure_rate > 0.25


def test_an_ejected_member_is_probed_even_if_all_requests_are_non_idempotent():
    node, recorder = balancer(4, classes=(NON_IDEMPOTENT,))
    node.outliers.eject(0, node.subset.servers[1], unresponsive=False)
    picked = set()
    for i in range(100):
        now = i * SEC // 4
        _, _, server, _ = send_request(node, recorder, now, i)
        picked.add(server)
        end_attempt(node, recorder, now + 1000, i, 0, server, Outcome.OK, 1000)
    assert 1 in picked
    assert not node.outliers.ejected
