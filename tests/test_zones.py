"""Zones: the cross-zone fraction, and zones that are ejected."""

import pytest
from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    Outcome,
)


def test_requests_stay_in_the_local_zone_only_if_leaving_it_has_a_cost():
    """If cross-zone traffic is cheap, the load alone decides, because a preference would overload local servers."""
    entries = [Endpoint(i + 1, zone=i % 2) for i in range(12)]

    def local_fraction(cost: float) -> float:
        node, recorder = balancer(entries, cross_zone_cost=cost)
        now = local = 0
        for i in range(400):
            now += 20_000
            server = send_request(node, recorder, now, i)[2]
            local += server % 2
            end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 250_000)
        return local / 400

    assert local_fraction(0.04) > 0.7
    assert 0.35 < local_fraction(0.005) < 0.65


def test_the_cross_zone_fraction_grows_in_an_overloaded_zone():
    """Otherwise the servers of one zone would be overloaded while those of another are idle."""
    entries = [Endpoint(i + 1, zone=i % 2) for i in range(12)]
    node, recorder = balancer(entries, cross_zone_cost=0.04)
    now, remote = 0, 0
    for i in range(2000):
        now += 10_000
        server = send_request(node, recorder, now, i, 2)[2]
        remote += i >= 1000 and server % 2 == 0
        overloaded = i >= 500 and server % 2 == 1
        end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 800_000 if overloaded else 200_000)
    assert node.zone_preference.fraction > 0.5
    assert remote > 300


@pytest.mark.parametrize(("nodes", "least"), [(1, 5 / 6), (3, 0.5), (6, 0.0)])
def test_requests_that_exceed_a_zones_part_leave_it(nodes, least):
    """Otherwise the only server of a zone would get all requests of the only node in that zone."""
    entries = [Endpoint(i + 1, zone=min(i, 1)) for i in range(6)]
    node, recorder = balancer(entries, cross_zone_cost=0.04, instance_count=nodes)
    assert node.zone_preference.fraction == pytest.approx(least)
    now = remote = 0
    for i in range(600):
        now += 20_000
        server = send_request(node, recorder, now, i)[2]
        remote += server != 1
        end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 250_000)
    assert remote / 600 >= least * 5 / 6 - 0.05
    assert node.zone_preference.fraction >= least


def test_unused_zones_are_assumed_to_be_as_fast_as_the_local_zone_at_its_best():
    entries = [Endpoint(i + 1, zone=i % 2) for i in range(12)]
    node, _recorder = balancer(entries, cross_zone_cost=0.04, instance_count=12)
    (
        node.zone_preference.remote_ratio,
        node.zone_preference.best_local_ratio,
        node.zone_preference.local_ratio,
    ) = 5.0, 0.2, 0.6
    for i in range(1, 60):
        node.on_window_end(i * 100_000)
    assert node.zone_preference.remote_ratio < 3.0
    assert node.zone_preference.fraction > 0


def two_zones() -> list[Endpoint]:
    return [Endpoint(i + 1, zone=i % 2) for i in range(8)]


def send_with_one_zone_responding(node, recorder, alive: int | None, start: int, count: int) -> list[int]:
    """Sends requests of which only attempts at servers of zone `alive` succeed. Returns the zones of all attempts."""
    sent_to = []
    for i in range(start, start + count):
        now = i * 100_000
        action = send_request(node, recorder, now, i)
        while action[0] == "send":
            zone = node.subset.servers[action[2]].zone
            sent_to.append(zone)
            outcome = Outcome.OK if zone == alive else Outcome.CONNECT_FAILED
            attempt = node.requests[i].attempts - 1
            (action, *_) = [
                *end_attempt(node, recorder, now + 50_000, i, attempt, action[2], outcome, 50_000),
                ("none",),
            ]
    return sent_to


def test_a_zone_without_responses_is_ejected():
    """If the network between two zones fails, more members are unreachable than may be ejected one by one."""
    node, recorder = balancer(two_zones())
    sent_to = send_with_one_zone_responding(node, recorder, 0, 1, 30)
    assert [zone.id for zone in node.outliers.ejected_zones] == [1]
    assert sent_to.count(1) <= 6
    assert not [m for m in node.subset.eligible if m.zone == 1]


def test_an_ejected_zone_is_probed_at_growing_intervals():
    node, recorder = balancer(two_zones())
    send_with_one_zone_responding(node, recorder, 0, 1, 30)
    # Within the 30 seconds, probes are due after 2, 4, 8 and 16 s.
    sent_to = send_with_one_zone_responding(node, recorder, 0, 31, 300)
    assert 3 <= sent_to.count(1) <= 5


def test_an_ejected_zone_that_responds_is_readmitted():
    node, recorder = balancer(two_zones())
    send_with_one_zone_responding(node, recorder, 0, 1, 30)
    send_with_one_zone_responding(node, recorder, 0, 31, 300)
    # From now on only the ejected zone responds.
    sent_to = send_with_one_zone_responding(node, recorder, 1, 500, 400)
    assert [zone.id for zone in node.outliers.ejected_zones] == [0]
    assert sent_to[-20:] == [1] * 20


def test_no_zone_is_ejected_while_no_other_zone_responds():
    node, recorder = balancer(two_zones())
    send_with_one_zone_responding(node, recorder, None, 1, 30)
    assert node.outliers.ejected_zones == []


def test_requests_stuck_in_an_ejected_zone_do_not_use_up_the_limit():
    node, recorder = balancer(two_zones())
    stuck = 0
    now = 0
    for i in range(60):
        now += 100_000
        action = send_request(node, recorder, now, i, request_class=2)  # this class is not retried
        if action[0] == "send" and node.subset.servers[action[2]].zone == 1:
            stuck += 1
            if stuck > 4:
                end_attempt(node, recorder, now, i, 0, action[2], Outcome.TIMEOUT, 3 * SEC)
        elif action[0] == "send":
            end_attempt(node, recorder, now, i, 0, action[2], Outcome.OK, 50_000)
    assert [zone.id for zone in node.outliers.ejected_zones] == [1]
    assert stuck > 4
    assert node.controller.in_flight == 0
    for i, r in list(node.requests.items()):  # late responses readmit the zone, and the count stays correct
        end_attempt(node, recorder, now, i, 0, r.server.id, Outcome.OK, 50_000)
    assert node.outliers.ejected_zones == []
    assert node.controller.in_flight == 0


def with_only_its_own_zone():
    """Returns a node in zone 0, with 60 servers in five zones, that cannot reach the other zones.

    Also returns the recorder, and the limit and the members before the network failure.
    """
    node, recorder = balancer([Endpoint(i + 1, zone=i % 5) for i in range(60)], instance_count=60)
    before = node.controller.limit, set(node.subset.members)
    send_with_one_zone_responding(node, recorder, 0, 1, 200)
    assert sorted(zone.id for zone in node.outliers.ejected_zones) == [1, 2, 3, 4]
    return node, recorder, before


def test_a_node_without_other_zones_uses_substitutes_in_its_own():
    """A random subset has few members in the local zone, which would be overloaded while its other servers idle."""
    node, _, (_, first) = with_only_its_own_zone()
    assert len([m for m in first if m.zone == 0]) < 6
    assert len(node.subset.eligible) == 12
    assert node.subset.eligible == [m for m in node.subset.members if m.zone == 0]


def test_when_the_other_zones_respond_again_the_substitutes_are_removed():
    """The subset is the same as before, so that the node needs no additional connections."""
    node, recorder, (_, first) = with_only_its_own_zone()
    for i in range(1000, 1400):
        now = i * 100_000
        action = send_request(node, recorder, now, i)
        if action[0] == "send":
            end_attempt(node, recorder, now + 50_000, i, 0, action[2], Outcome.OK, 50_000)
    assert node.outliers.ejected_zones == []
    assert set(node.subset.members) == first
    assert not node.subset.substitutes


def test_the_limit_scales_with_the_eligible_part_of_the_subset():
    """Otherwise two servers would get the concurrency that is right for twenty-four."""
    node, _ = balancer([Endpoint(i + 1, zone=int(i > 1)) for i in range(24)], instance_count=24)
    node.controller.limit, node.controller.baseline_in_flight = 96.0, 80.0
    node.subset.zones[1].ejected = True
    node.subset.refill()
    assert len(node.subset.eligible) == 2
    assert node.controller.limit == pytest.approx(96 * 2 / 16 / 0.66)
    assert node.controller.baseline_in_flight < 16
    node.subset.zones[1].ejected = False
    node.subset.refill()
    assert (node.controller.limit, node.controller.baseline_in_flight) == (
        pytest.approx(96.0),
        pytest.approx(80.0),
    )
