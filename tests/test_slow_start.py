"""Slow start: what servers get that have just started."""

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
    """A restarted server looks idle and draws a flood that pushes it over."""
    node, recorder = balancer(4)
    now, cold = 0, 0
    for i in range(400):
        now += 10_000
        if i == 200:
            node.endpoint_update(now, EndpointUpdateKind.CHANGES, [Endpoint(2, ready_at=now)])
            recorder.take_calls()
        action = send_request(node, recorder, now, i)
        cold += i >= 200 and action[2] == 2
        end_attempt(node, recorder, now, i, 0, action[2], Outcome.OK, 250_000)
    # two seconds at up to 0.4 + 0.6 x 0.5 of a warm member's 25 to 33 a second
    assert 5 <= cold <= 40


def test_the_bucket_of_a_warming_up_server_starts_empty():
    """A request saved up while nobody watched would come on top of every other node's."""
    node, _recorder = balancer(2)
    node.slow_start.warm_rate = 10.0
    node.endpoint_update(SEC, EndpointUpdateKind.CHANGES, [Endpoint(1, ready_at=SEC)])
    cold = node.subset.servers[1]
    assert not node.slow_start.take_token(SEC, cold)
    assert [node.slow_start.take_token(SEC + 500_000, cold) for _ in range(3)] == [True, False, False]


def test_when_the_servers_drawn_are_warming_up_another_member_serves():
    entries = [Endpoint(i + 1, ready_at=SEC) for i in range(20)] + [Endpoint(21)]
    node, recorder = balancer(entries)
    assert {send_request(node, recorder, SEC + 1000 * i, i)[2] for i in range(20)} == {21}


def rolling_replacement(seed: int, late: bool) -> tuple[float, float]:
    """Twelve servers, one replaced each half second, so that none is ever warm; twenty requests a second.

    Answers come after 0.1 s, or late for every call. The share that is refused in the second half, and the most
    that one server got in any second.
    """
    s, rng, alive = SEC, Random(seed), list(range(1, 13))
    entries = [Endpoint(i, ready_at=1) for i in alive]
    node, recorder = balancer(entries, seed, slow_start_duration=8 * SEC)
    open_, refused, asked, got = [], 0, 0, Counter()
    for now in range(0, 30 * s, s // 20):
        if now % (s // 2) == 0 and now:
            gone, new = alive.pop(0), alive[-1] + 1
            alive.append(new)
            node.endpoint_update(
                now,
                EndpointUpdateKind.CHANGES,
                [Endpoint(gone, EndpointState.GONE), Endpoint(new, ready_at=now)],
            )
        for due, request, server in [o for o in open_ if o[0] <= now]:
            open_.remove((due, request, server))
            end_attempt(node, recorder, now, request, 0, server, Outcome.OK, (1_900_000 if late else 100_000))
        number = now // (s // 20) + 1
        action = send_request(node, recorder, now, number, request_class=2)
        if now >= 15 * s:
            asked += 1
            refused += action[0] == "shed"
        if action[0] == "send":
            got[action[2], now // s] += 1
            open_.append((now + (1_900_000 if late else 100_000) + rng.randrange(20_000), number, action[2]))
    return refused / asked, max(got.values())


def test_servers_replaced_before_they_are_warm_get_a_growing_part():
    """Their part grows while answers come in good time, never past the multiple at which they fall over."""
    for seed in range(5):
        refused, most = rolling_replacement(seed, late=False)
        assert refused < 0.25, "0.6 and more with a part that stays as it began"
        assert most <= 3.0 * 20 / 12 + 1
        assert rolling_replacement(seed, late=True)[0] > 0.4, "late answers are no reason to send more"


def test_the_all_warming_up_fraction_is_kept_while_a_member_is_warm_and_reset_when_requests_are_lost():
    """Where servers are replaced all day one is warm now and then; the next cold one began anew at a quarter."""
    node, _ = balancer([Endpoint(i, ready_at=1) for i in range(1, 5)])
    now, parts = 1, []
    for step in range(40):
        now += 100_000
        node.slow_start.requests = 10
        node.subset.servers[1].slow_start_until = 0 if step >= 30 else 10 * SEC
        for i in (2, 3, 4):
            node.subset.servers[i].slow_start_until = 10 * SEC
        node.on_window_end(now)
        parts.append(node.slow_start.all_warming_up_fraction)
    assert parts[0] < 1 < parts[15] <= parts[29]
    assert parts[39] == parts[29]
    node.controller.lost_fraction = 0.5
    node.on_window_end(now + 100_000)
    assert node.slow_start.all_warming_up_fraction == parts[0] < 1


def test_while_no_member_is_warm_each_gets_its_part_of_all_requests():
    """After a mass restart a node would refuse all until the warm-up has passed."""
    cold = [Endpoint(i, ready_at=10 * SEC) for i in range(1, 5)]
    node, recorder = balancer([Endpoint(i) for i in range(1, 5)])
    node.endpoint_update(10 * SEC, EndpointUpdateKind.FULL, cold)
    sent: dict[int, list[int]] = {i: [] for i in range(1, 5)}
    for i in range(400):
        now = 10 * SEC + i * SEC // 100
        kind, request, *rest = send_request(node, recorder, now, i)
        if kind == "send":
            sent[rest[0]].append(now)
            end_attempt(node, recorder, now + 1000, request, 0, rest[0], Outcome.OK, 1000)
    # 25 requests a second are an even part; a server at so much of its capacity bears three times that of it for 1 s.
    for at in sent.values():
        assert len(at) > 5
        for t in at:
            present = 0.4 + 0.6 * (t - 10 * SEC) / (4 * SEC)
            assert sum(t <= u < t + SEC for u in at) <= 0.9 * 3 * present * 25
