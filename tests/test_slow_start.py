"""Slow start: how many requests a server that has just started gets."""

from collections import Counter
from random import Random

from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Outcome,
)


def test_a_warming_up_server_gets_no_more_than_its_part():
    """A restarted server has no requests in flight, so by its load alone it would be overloaded at once."""
    node, recorder = balancer(4)
    now, warming_up = 0, 0
    for i in range(400):
        now += 10_000
        if i == 200:
            node.endpoint_update(now, EndpointUpdateKind.CHANGES, [Endpoint(2, ready_at=now)])
            recorder.take_calls()
        action = send_request(node, recorder, now, i)
        warming_up += i >= 200 and action[2] == 2
        end_attempt(node, recorder, now, i, 0, action[2], Outcome.OK, 250_000)
    # For two seconds it may get up to 0.4 + 0.6 x 0.5 of the 25 to 33 requests per second of a warm member.
    assert 5 <= warming_up <= 40


def test_the_bucket_of_a_warming_up_server_starts_empty():
    """With a full bucket, each node of a fleet could send a request to the server at the same time."""
    node, _recorder = balancer(2)
    node.slow_start.warm_rate = 10.0
    node.endpoint_update(SEC, EndpointUpdateKind.CHANGES, [Endpoint(1, ready_at=SEC)])
    warming_up = node.subset.servers[1]
    assert not node.slow_start.take_token(SEC, warming_up)
    assert [node.slow_start.take_token(SEC + 500_000, warming_up) for _ in range(3)] == [True, False, False]


def test_if_the_servers_picked_are_warming_up_another_member_gets_the_request():
    entries = [Endpoint(i + 1, ready_at=SEC) for i in range(20)] + [Endpoint(21)]
    node, recorder = balancer(entries)
    assert {send_request(node, recorder, SEC + 1000 * i, i)[2] for i in range(20)} == {21}


def rolling_replacement(seed: int, late: bool) -> tuple[float, float]:
    """Sends twenty requests per second to twelve servers, one of which is replaced every half second.

    No server is ever warm. Responses take 0.1 s, or 1.9 s if `late`. Returns the fraction of requests that was
    shed in the second half, and the largest number of requests that one server got in any second.
    """
    second, rng, alive = SEC, Random(seed), list(range(1, 13))
    entries = [Endpoint(i, ready_at=1) for i in alive]
    node, recorder = balancer(entries, seed, slow_start_duration=8 * SEC)
    in_flight, shed, requested, received = [], 0, 0, Counter()
    for now in range(0, 30 * second, second // 20):
        if now % (second // 2) == 0 and now:
            gone, new = alive.pop(0), alive[-1] + 1
            alive.append(new)
            node.endpoint_update(
                now,
                EndpointUpdateKind.CHANGES,
                [Endpoint(gone, EndpointState.GONE), Endpoint(new, ready_at=now)],
            )
        for due, request, server in [o for o in in_flight if o[0] <= now]:
            in_flight.remove((due, request, server))
            end_attempt(node, recorder, now, request, 0, server, Outcome.OK, (1_900_000 if late else 100_000))
        number = now // (second // 20) + 1
        action = send_request(node, recorder, now, number, request_class=2)
        if now >= 15 * second:
            requested += 1
            shed += action[0] == "shed"
        if action[0] == "send":
            received[action[2], now // second] += 1
            in_flight.append(
                (now + (1_900_000 if late else 100_000) + rng.randrange(20_000), number, action[2])
            )
    return shed / requested, max(received.values())


def test_servers_replaced_before_they_are_warm_get_a_growing_part():
    """Their part grows while responses are on time, but never above the multiple at which they fail."""
    for seed in range(5):
        shed_fraction, max_per_second = rolling_replacement(seed, late=False)
        assert shed_fraction < 0.25, "with a part that does not grow, 0.6 and more are shed"
        assert max_per_second <= 3.0 * 20 / 12 + 1
        assert rolling_replacement(seed, late=True)[0] > 0.4, (
            "the part must not grow while responses are late"
        )


def test_the_all_warming_up_fraction_is_kept_while_a_member_is_warm_and_reset_when_requests_are_lost():
    """With continual replacement a member is warm now and then; the fraction must not start again each time."""
    node, _ = balancer([Endpoint(i, ready_at=1) for i in range(1, 5)])
    now, fractions = 1, []
    for step in range(40):
        now += 100_000
        node.slow_start.requests = 10
        node.subset.servers[1].slow_start_until = 0 if step >= 30 else 10 * SEC
        for i in (2, 3, 4):
            node.subset.servers[i].slow_start_until = 10 * SEC
        node.on_window_end(now)
        fractions.append(node.slow_start.all_warming_up_fraction)
    assert fractions[0] < 1 < fractions[15] <= fractions[29]
    assert fractions[39] == fractions[29]
    node.controller.lost_fraction = 0.5
    node.on_window_end(now + 100_000)
    assert node.slow_start.all_warming_up_fraction == fractions[0] < 1


def test_while_no_member_is_warm_each_gets_its_part_of_all_requests():
    """Otherwise, after a restart of all servers, a node would shed every request until they are warm."""
    warming_up = [Endpoint(i, ready_at=10 * SEC) for i in range(1, 5)]
    node, recorder = balancer([Endpoint(i) for i in range(1, 5)])
    node.endpoint_update(10 * SEC, EndpointUpdateKind.FULL, warming_up)
    sent: dict[int, list[int]] = {i: [] for i in range(1, 5)}
    for i in range(400):
        now = 10 * SEC + i * SEC // 100
        kind, request, *rest = send_request(node, recorder, now, i)
        if kind == "send":
            sent[rest[0]].append(now)
            end_attempt(node, recorder, now + 1000, request, 0, rest[0], Outcome.OK, 1000)
    # An even part is 25 requests per second. For one second a server can bear three times the even part, scaled
    # by the fraction of its capacity that it has.
    for at in sent.values():
        assert len(at) > 5
        for t in at:
            capacity = 0.4 + 0.6 * (t - 10 * SEC) / (4 * SEC)
            assert sum(t <= u < t + SEC for u in at) <= 0.9 * 3 * capacity * 25
