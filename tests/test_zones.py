"""Zones: the cross-zone fraction, and zones that are ejected."""

import pytest
from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    Outcome,
)


def test_requests_keep_to_their_zone_only_where_leaving_it_costs():
    """Own requests in flight decide alone where crossings are cheap; keeping to a zone crowds its servers."""
    entries = [Endpoint(i + 1, zone=i % 2) for i in range(12)]

    def near_share(price: float) -> float:
        node, recorder = balancer(entries, cross_zone_cost=price)
        now = near = 0
        for i in range(400):
            now += 20_000
            server = send_request(node, recorder, now, i)[2]
            near += server % 2
            end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 250_000)
        return near / 400

    assert near_share(0.04) > 0.7
    assert 0.35 < near_share(0.005) < 0.65


def test_the_cross_zone_fraction_grows_in_a_crowded_zone():
    """One zone's servers drown while another's stand idle."""
    entries = [Endpoint(i + 1, zone=i % 2) for i in range(12)]
    node, recorder = balancer(entries, cross_zone_cost=0.04)
    now, far = 0, 0
    for i in range(2000):
        now += 10_000
        server = send_request(node, recorder, now, i, 2)[2]
        far += i >= 1000 and server % 2 == 0
        crowded = i >= 500 and server % 2 == 1
        end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 800_000 if crowded else 200_000)
    assert node.zone_preference.fraction > 0.5
    assert far > 300


@pytest.mark.parametrize(("nodes", "least"), [(1, 5 / 6), (3, 0.5), (6, 0.0)])
def test_what_exceeds_a_zones_part_leaves_it(nodes, least):
    """A zone's one server would take all requests of the one node beside it."""
    entries = [Endpoint(i + 1, zone=min(i, 1)) for i in range(6)]
    node, recorder = balancer(entries, cross_zone_cost=0.04, instance_count=nodes)
    assert node.zone_preference.fraction == pytest.approx(least)
    now = far = 0
    for i in range(600):
        now += 20_000
        server = send_request(node, recorder, now, i)[2]
        far += server != 1
        end_attempt(node, recorder, now, i, 0, server, Outcome.OK, 250_000)
    assert far / 600 >= least * 5 / 6 - 0.05
    assert node.zone_preference.fraction >= least


def test_unused_zones_are_taken_to_do_as_well_as_this_one_at_its_best():
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


def with_one_zone_answering(node, recorder, alive: int | None, start: int, count: int) -> list[int]:
    """Only attempts sent to servers of zone `alive` are answered. Returns the zones of all attempts."""
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


def test_a_zone_without_answers_is_ejected():
    """The network between two zones fails: half the members are out of reach, more than may be ejected."""
    node, recorder = balancer(two_zones())
    sent_to = with_one_zone_answering(node, recorder, 0, 1, 30)
    assert [zone.id for zone in node.outliers.ejected_zones] == [1]
    assert sent_to.count(1) <= 6
    assert not [m for m in node.subset.eligible if m.zone == 1]


def test_an_ejected_zone_is_probed_at_growing_intervals():
    node, recorder = balancer(two_zones())
    with_one_zone_answering(node, recorder, 0, 1, 30)
    sent_to = with_one_zone_answering(node, recorder, 0, 31, 300)  # half a minute: after 2, 4, 8 and 16 s
    assert 3 <= sent_to.count(1) <= 5


def test_an_ejected_zone_that_answers_is_restored():
    node, recorder = balancer(two_zones())
    with_one_zone_answering(node, recorder, 0, 1, 30)
    with_one_zone_answering(node, recorder, 0, 31, 300)
    sent_to = with_one_zone_answering(node, recorder, 1, 500, 400)  # now this zone answers, not the other
    assert [zone.id for zone in node.outliers.ejected_zones] == [0]
    assert sent_to[-20:] == [1] * 20


def test_no_zone_is_ejected_while_no_other_answers():
    node, recorder = balancer(two_zones())
    with_one_zone_answering(node, recorder, None, 1, 30)
    assert node.outliers.ejected_zones == []


def test_requests_stuck_in_an_ejected_zone_do_not_fill_the_limit():
    node, recorder = balancer(two_zones())
    stuck = 0
    now = 0
    for i in range(60):
        now += 100_000
        action = send_request(node, recorder, now, i, request_class=2)  # not tried again
        if action[0] == "send" and node.subset.servers[action[2]].zone == 1:
            stuck += 1
            if stuck > 4:
                end_attempt(node, recorder, now, i, 0, action[2], Outcome.TIMEOUT, 3 * SEC)
        elif action[0] == "send":
            end_attempt(node, recorder, now, i, 0, action[2], Outcome.OK, 50_000)
    assert [zone.id for zone in node.outliers.ejected_zones] == [1]
    assert stuck > 4
    assert node.controller.in_flight == 0
    for i, r in list(node.requests.items()):  # late answers bring the zone back, and the count stays right
        end_attempt(node, recorder, now, i, 0, r.server.id, Outcome.OK, 50_000)
    assert node.outliers.ejected_zones == []
    assert node.controller.in_flight == 0


def alone_in_its_zone():
    """A node of zone 0, with 60 servers in five zones, that the others are cut off from."""
    node, recorder = balancer([Endpoint(i + 1, zone=i % 5) for i in range(60)], instance_count=60)
    before = node.controller.limit, set(node.subset.members)
    with_one_zone_answering(node, recorder, 0, 1, 200)
    assert sorted(zone.id for zone in node.outliers.ejected_zones) == [1, 2, 3, 4]
    return node, recorder, before


def test_a_node_without_other_zones_uses_substitutes_in_its_own():
    """With a random subset it had one or two servers left there, and buried them; the zone's others were idle."""
    node, _, (_, first) = alone_in_its_zone()
    assert len([m for m in first if m.zone == 0]) < 6
    assert len(node.subset.eligible) == 12
    assert node.subset.eligible == [m for m in node.subset.members if m.zone == 0]


def test_when_the_other_zones_answer_again_the_substitutes_go():
    """The subset is what it was, and keeps no connection more."""
    node, recorder, (_, first) = alone_in_its_zone()
    for i in range(1000, 1400):
        now = i * 100_000
        action = send_request(node, recorder, now, i)
        if action[0] == "send":
            end_attempt(node, recorder, now + 50_000, i, 0, action[2], Outcome.OK, 50_000)
    assert node.outliers.ejected_zones == []
    assert set(node.subset.members) == first
    assert not node.subset.substitutes


def test_the_limit_follows_what_is_left_of_the_subset():
    """One or two servers got the requests that were right for twenty-four."""
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
