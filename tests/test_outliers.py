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
    """It holds no requests, so it won the draws for as long as it went on."""
    node, recorder = balancer(4, max_attempts=1)
    there = 0
    for i in range(100):
        at = i * 300_000
        _, _, server, _ = send_request(node, recorder, at, i)
        there += server == 1
        outcome = Outcome.REJECTED if server == 1 else Outcome.OK
        node.outcome(at + 250_000, i, 0, server, outcome, 250_000, outcome == Outcome.OK, ())
        recorder.take_calls()
    assert there < 15


def test_a_drained_server_that_fails_gets_no_recovery_probe():
    """A drained server's last requests fail; ejected after its removal it would get a recovery probe."""
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
    """A node of six members after 300 requests of which server 3 failed its own quickly; with their number."""
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
    """Quick errors leave few requests in flight, and would win every draw."""
    _, _, _, failed = with_one_failing_member()
    assert failed < 15


def test_an_ejected_member_that_answers_again_is_readmitted():
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
    """Requests stuck on an unresponsive member must not fill the limit for all the others."""
    node, recorder = balancer(6)
    now, out = 0, []
    for i in range(600):
        now += 20_000
        action = send_request(node, recorder, now, i)
        if action[0] == "send" and action[2] != 3:
            out.append((i, action[2]))
        if len(out) > 6:
            end_attempt(node, recorder, now, out[0][0], 0, out[0][1], Outcome.OK, 200_000)
            del out[0]
    assert node.subset.servers[3].ejected
    assert node.subset.servers[3].unresponsive
    assert node.controller.in_flight == 6


def refusing(rounds: int, refuse) -> tuple[Balancer, list[int]]:
    """A node of ten members in full traffic; from the second half on those that `refuse` names refuse connects.

    Returns it with the attempts of each request of the second half.
    """
    node, recorder = balancer(10, instance_count=4)
    out: list[tuple[int, int, int, int]] = []  # (ends, request, attempt, server)
    now, tries = 0, {}
    for step in range(2 * rounds):
        now += 5_000
        for item in [o for o in out if o[0] <= now]:
            out.remove(item)
            _, request, attempt, server = item
            down = step >= rounds and refuse(server)
            took = 1_000 if down else 100_000
            for action in end_attempt(
                node,
                recorder,
                now,
                request,
                attempt,
                server,
                Outcome.CONNECT_FAILED if down else Outcome.OK,
                took,
            ):
                if action[0] == "send":
                    out.append((now + 1_000, request, attempt + 1, action[2]))
                    tries[request] += step >= rounds
        action = send_request(node, recorder, now, now, 2)
        tries[now] = int(step >= rounds and action[0] == "send")
        if action[0] == "send":
            down = step >= rounds and refuse(action[2])
            out.append((now + (1_000 if down else 100_000), now, 0, action[2]))
        assert node.controller.in_flight <= node.controller.current_limit() + 4
    return node, [n for at, n in tries.items() if at > rounds * 5_000]


def test_members_that_refuse_connects_do_not_close_the_limit():
    """Replaced servers refuse at once, more of them than may be ejected; the others answer as ever."""
    before, _ = refusing(2000, lambda server: False)
    node, tries = refusing(2000, lambda server: server > 3)
    assert node.controller.limit > 0.6 * before.controller.limit
    assert sum(n == 0 for n in tries) < 0.02 * len(tries)


def test_an_unreachable_tier_gets_no_more_than_the_attempt_cap_and_comes_back():
    node, tries = refusing(1000, lambda server: True)
    assert 1 <= max(tries) <= 4
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


def losing_answers(
    share: float, members: tuple[int, ...], seconds: int = 20
) -> tuple[Balancer, dict[int, int]]:
    """A node of ten members; these lose so many of their answers, and answer the others as quickly as all.

    Returns it with the calls that each member got in the last half.
    """
    node, recorder = balancer(10, instance_count=4)
    rng, now, out, got = Random(5), 0, [], dict.fromkeys(range(1, 11), 0)
    for step in range(seconds * 100):
        now += 10_000
        for item in [o for o in out if o[0] <= now]:
            out.remove(item)
            _, request, server, took, outcome = item
            node.outcome(now, request, 0, server, outcome, took, True, ())
        recorder.take_calls()
        action = send_request(node, recorder, now, now, 2)
        if action[0] == "send":
            server = action[2]
            got[server] += step >= seconds * 50
            lost = server in members and rng.random() < share
            took = 900_000 if lost else 100_000
            out.append((now + took, now, server, took, Outcome.TIMEOUT if lost else Outcome.OK))
    return node, got


@pytest.mark.parametrize("share", [0.5, 1.0])
def test_a_member_that_loses_answers_gets_few_requests(share):
    """It answers what it answers as quickly as the others, and each request it loses costs its whole time."""
    node, got = losing_answers(share, (3, 7))
    even = sum(got.values()) / 10
    assert max(got[3], got[7]) < 0.3 * even < min(n for server, n in got.items() if server not in (3, 7))
    assert share < 1 or {srv.id for srv in node.outliers.ejected} == {3, 7}


@pytest.mark.parametrize("share", [0.2, 0.4, 0.9])
def test_no_member_is_ejected_for_lost_answers_where_all_lose_them(share):
    node, got = losing_answers(share, tuple(range(1, 11)))
    assert sum(srv.ejections for srv in node.subset.servers.values()) <= 1
    assert min(got.values()) > 0


def test_a_few_ejected_members_leave_the_limit_as_it_is():
    node, _ = balancer(12)
    limit = node.controller.limit
    for m in node.subset.members[:4]:
        node.outliers.eject(0, m, unresponsive=False)
    assert len(node.subset.eligible) == 8
    assert node.controller.limit == limit


def test_a_failing_member_is_more_loaded_before_it_is_ejected():
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


def test_a_request_that_is_not_idempotent_is_no_recovery_probe():
    node, recorder = balancer(4)
    node.outliers.eject(0, node.subset.servers[1], unresponsive=True)
    assert send_request(node, recorder, 3 * SEC, 1, request_class=2)[2] != 1


def test_a_recovery_probe_costs_its_request_little_time():
    node, recorder = balancer(4)
    node.outliers.eject(0, node.subset.servers[1], unresponsive=True)
    send_request(node, recorder, 3 * SEC, 1, request_class=2)
    action = send_request(node, recorder, 5 * SEC, 2, request_class=0, left=3 * SEC)
    assert action[2] == 1
    assert action[3] < 3 * SEC


def little_traffic_with_two_failing_members() -> tuple[Balancer, list[int]]:
    """A thousand requests, one a second, over 20 members; the sends to the failing two after the first 100."""
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
    """Tried every two seconds, members that fail get a third of the requests of a node with one a second."""
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


def test_with_requests_that_are_not_idempotent_alone_an_ejected_member_is_probed():
    node, recorder = balancer(4, classes=(NON_IDEMPOTENT,))
    node.outliers.eject(0, node.subset.servers[1], unresponsive=False)
    drawn = set()
    for i in range(100):
        now = i * SEC // 4
        _, _, server, _ = send_request(node, recorder, now, i)
        drawn.add(server)
        end_attempt(node, recorder, now + 1000, i, 0, server, Outcome.OK, 1000)
    assert 1 in drawn
    assert not node.outliers.ejected
