"""Admission of requests: the concurrency limit, classes, quotas and the queue below the first tier."""

import pytest
from support import IDEMPOTENT, SEC, balancer, end_attempt, send_request

from harecross.interface import (
    ClassSettings,
    Idempotency,
    Outcome,
    TenantSettings,
)


def test_at_the_limit_a_request_is_shed_at_once():
    node, recorder = balancer(1)
    limit = int(node.controller.current_limit())
    actions = [send_request(node, recorder, 0, i)[0] for i in range(limit + 1)]
    assert actions == ["send"] * limit + ["shed"]


def test_a_shed_request_gets_a_retry_delay_within_the_maximum():
    node, recorder = balancer(1)
    for i in range(int(node.controller.current_limit())):
        send_request(node, recorder, 0, i)
    node.request(0, 99, 0, 0, 3 * SEC, False)
    ((_, request, retry_after),) = recorder.take_calls()
    assert request == 99
    assert 0 < retry_after <= 2 * SEC


def test_shed_requests_are_counted():
    node, recorder = balancer(1)
    for i in range(int(node.controller.current_limit()) + 2):
        send_request(node, recorder, 0, i)
    assert node.stats()["rq_blocked"] == 2


@pytest.mark.parametrize("request_class", [0, 1, 2])
def test_without_an_eligible_server_a_request_is_shed_at_once(request_class):
    node, recorder = balancer(0)
    assert send_request(node, recorder, 0, 1, request_class)[0] == "shed"


def at_the_limit_below_the_first_tier():
    """Returns a node with three requests in flight at its one server, which is its limit, and one queued."""
    node, recorder = balancer(1, tier=1, tiers=2)
    sent = []
    for i in range(4):
        node.request(0, i, 0, 0, 3 * SEC, False)
        sent += recorder.take_calls("send", "shed")
    return node, recorder, sent


def test_below_the_first_tier_a_request_at_the_limit_is_not_shed():
    """Shedding below the first tier would waste the work that the tiers above have already done."""
    _, _, sent = at_the_limit_below_the_first_tier()
    assert [a[0] for a in sent] == ["send"] * 3


def test_a_queued_request_is_sent_when_another_ends():
    node, recorder, _ = at_the_limit_below_the_first_tier()
    ((action, request, *_),) = end_attempt(node, recorder, 1000, 0, 0, 1, Outcome.OK)
    assert (action, request) == ("send", 3)


def test_a_queued_request_is_shed_when_it_has_waited_too_long():
    node, recorder, _ = at_the_limit_below_the_first_tier()
    end_attempt(node, recorder, 1000, 0, 0, 1, Outcome.OK)
    node.request(2000, 9, 0, 0, 3 * SEC, False)
    ((_, delay, token),) = recorder.take_calls()
    node.timer(2000 + delay, token)
    assert recorder.take_calls()[0][:2] == ("shed", 9)


def test_a_queued_request_whose_client_disconnected_makes_room_for_another():
    node, recorder = balancer(1, tier=1, tiers=2)
    for i in range(40):
        node.request(0, i, 0, 0, 3 * SEC, False)
    queued = len(node.queue)
    assert queued > 0
    assert recorder.take_calls("shed")
    node.client_disconnected(10, node.queue[0].id)
    assert len(node.queue) == queued - 1
    node.request(20, 99, 0, 0, 3 * SEC, False)
    assert len(node.queue) == queued
    assert not recorder.take_calls("shed", "fail", "send")


def test_a_tenant_above_its_quota_leaves_headroom_to_the_others():
    tenants = (TenantSettings(quota=10), TenantSettings(quota=10))
    node, recorder = balancer(8, tenants=tenants)
    actions = []
    for i in range(60):
        node.request(0, i, 0, 0, 3 * SEC, False)
        actions += [a[0] for a in recorder.take_calls("send", "shed")]
    assert actions[:8] == ["send"] * 8
    assert actions[-1] == "shed"
    node.request(0, 99, 0, 1, 3 * SEC, False)
    assert recorder.take_calls()[0][0] == "send"


def test_requests_above_a_quota_with_little_weight_are_shed_below_the_limit():
    tenants = (TenantSettings(quota=2), TenantSettings(quota=2))
    node, recorder = balancer(8, tenants=tenants, over_quota_weight=0.05)
    actions = []
    for i in range(40):
        node.request(i * SEC // 10, i, 0, 0, 3 * SEC, False)
        actions += recorder.take_calls("send", "shed")
        if actions[-1][0] == "send":
            end_attempt(node, recorder, i * SEC // 10 + 5000, i, 0, actions[-1][2], Outcome.OK, 5000)
    shed = [a for a in actions if a[0] == "shed"]
    assert len(shed) > 10
    assert all(a[2] < IDEMPOTENT.latency_objective / 2 for a in shed), (
        "a retry after a long delay would miss the latency objective"
    )


def test_a_class_of_less_weight_leaves_headroom():
    high_weight = ClassSettings(
        Idempotency.NON_IDEMPOTENT, latency_objective=SEC, deadline=3 * SEC, priority_weight=10
    )
    node, recorder = balancer(8, classes=(IDEMPOTENT, high_weight))
    actions = [send_request(node, recorder, 0, i)[0] for i in range(70)]
    assert actions[-1] == "shed"
    assert send_request(node, recorder, 0, 99, 1)[0] == "send"


def test_failures_of_the_whole_subset_lower_the_limit():
    """Failures must lower the limit when most requests fail.

    When servers of a lower tier are lost, most requests end with an error and leave no latency sample.
    """
    node, recorder = balancer(6, instance_count=6)
    now, in_flight = 0, []

    def run_requests(steps: int, outcome: Outcome) -> None:
        nonlocal now
        for _ in range(steps):
            now += 10_000
            action = send_request(node, recorder, now, now, 2)
            if action[0] == "send":
                in_flight.append(action)
            if len(in_flight) > 10 or (action[0] != "send" and in_flight):
                _, request, server, _ = in_flight.pop(0)
                end_attempt(node, recorder, now, request, 0, server, outcome, 100_000)

    run_requests(1500, Outcome.OK)
    baseline = node.controller.baseline_in_flight
    assert baseline > 8
    assert node.controller.current_limit() > 12
    run_requests(1500, Outcome.ERROR)
    assert node.controller.floor < baseline
    assert node.controller.limit < 0.6 * baseline


def disconnect_client_after(waited: int):
    """Disconnects the client of a node's only request after this time.

    Returns the number of latency samples that this added and the change of the server's slowness.
    """
    node, recorder = balancer()
    before = node.controller.min_rtt_requests_left
    _, _, number, _ = send_request(node, recorder, 0, 1)
    server = node.subset.servers[number]
    slowness = server.slowness
    node.client_disconnected(waited, 1)
    return before - node.controller.min_rtt_requests_left, server.slowness - slowness


def test_a_client_that_disconnects_early_adds_no_latency_sample():
    assert disconnect_client_after(10_000) == (0, 0.0)


def test_a_client_that_disconnects_late_counts_as_a_slow_response():
    """Clients that disconnect before a timeout cancel their requests; without a sample the limit would not fall."""
    samples, slower = disconnect_client_after(2 * SEC)
    assert samples == 1
    assert slower > 0
