"""The subset: which servers a node calls as the endpoint list changes."""

import pytest
from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Outcome,
)


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_request_goes_to_a_draining_or_gone_server(state):
    node, recorder = balancer(4)
    node.endpoint_update(10, EndpointUpdateKind.CHANGES, [Endpoint(2, state)])
    recorder.take_calls()
    servers = set()
    for i in range(5):
        servers.add(send_request(node, recorder, 20, i, 2)[2])
    for i in range(100, 160):
        server = send_request(node, recorder, i, i, 2)[2]
        servers.add(server)
        end_attempt(node, recorder, i, i, 0, server, Outcome.OK)
    assert servers == {1, 3, 4}


def after_a_full_list():
    node, _ = balancer(4)
    node.endpoint_update(10, EndpointUpdateKind.FULL, [Endpoint(1), Endpoint(1, zone=3), Endpoint(4)])
    return node


def test_a_full_list_removes_the_servers_that_it_does_not_name():
    assert sorted(m.id for m in after_a_full_list().subset.members) == [1, 4]


def test_of_two_entries_for_one_server_the_last_counts():
    assert after_a_full_list().subset.servers[1].zone == 3


def test_a_failed_update_keeps_the_list():
    node = after_a_full_list()
    node.endpoint_update(10, EndpointUpdateKind.FAILED, [])
    assert len(node.subset.members) == 2


def test_the_subset_is_bounded():
    node, _ = balancer(60)
    assert len(node.subset.members) < 60


def test_a_member_that_is_gone_is_replaced():
    node, _ = balancer(60)
    size = len(node.subset.members)
    first = node.subset.members[0].id
    node.endpoint_update(1, EndpointUpdateKind.CHANGES, [Endpoint(first, EndpointState.GONE)])
    assert len(node.subset.members) == size
    assert first not in {m.id for m in node.subset.members}


@pytest.mark.parametrize(
    ("servers", "instances", "size"), [(60, 1, 24), (60, 400, 10), (60, 60, 16), (6, 400, 6)]
)
def test_the_subset_is_as_small_as_the_number_of_nodes_allows(servers, instances, size):
    """A node with one request per second could neither measure many members nor keep connections to them."""
    node, _ = balancer(servers, instance_count=instances)
    assert len(node.subset.members) == size


def subset_after_a_release(seed: int, nodes: int = 200, servers: int = 120, replaced: int = 36) -> set[int]:
    """Returns the members of a node after a release.

    A third of the servers drains in three steps. Only then are they replaced, a few at a time.
    """
    node, recorder = balancer(servers, seed=seed, instance_count=nodes)
    for step in range(3):
        drained = range(step * 12 + 1, step * 12 + 13)
        node.endpoint_update(
            SEC * (step + 1),
            EndpointUpdateKind.CHANGES,
            [Endpoint(s, EndpointState.DRAINING) for s in drained],
        )
    for first in range(0, replaced, 4):
        now = SEC * (5 + first)
        added = [Endpoint(1001 + i, ready_at=now) for i in range(first, first + 4)]
        node.endpoint_update(now, EndpointUpdateKind.CHANGES, added)
    recorder.take_calls()
    return {m.id for m in node.subset.members}


def test_servers_listed_after_others_left_are_in_as_many_subsets():
    """Over two hundred nodes, new and old servers are in about the same number of subsets."""
    subsets: dict[int, int] = {}
    for seed in range(200):
        members = subset_after_a_release(seed)
        assert len(members) == 10
        for server in members:
            subsets[server] = subsets.get(server, 0) + 1
    expected = 200 * 10 / 120
    new = sum(n for s, n in subsets.items() if s > 1000) / 36
    old = sum(n for s, n in subsets.items() if s <= 1000) / 84
    assert 0.85 * expected < new < 1.15 * expected and 0.85 * expected < old < 1.15 * expected, (new, old)
    assert max(subsets.values()) < expected + 5 * expected**0.5


def test_a_replaced_member_finishes_its_requests_and_its_idle_connections_are_closed():
    node, recorder = balancer(40, instance_count=80)
    before = set(node.subset.members)
    for n in range(1, 13):
        send_request(node, recorder, n * 1000, n)
    with_requests = {r.server for r in node.requests.values()}
    in_flight = node.controller.in_flight
    node.endpoint_update(SEC, EndpointUpdateKind.CHANGES, [Endpoint(s) for s in range(101, 241)])
    replaced = before - set(node.subset.members)
    assert replaced
    assert len(before) == 10
    assert len(node.subset.members) == 24
    assert {c[1] for c in recorder.take_calls("close_idle")} >= {m.id for m in replaced}
    assert node.controller.in_flight == in_flight
    assert replaced & with_requests
    for n, r in list(node.requests.items()):
        end_attempt(node, recorder, SEC + 1000, n, 0, r.server.id, Outcome.OK)
    assert node.controller.in_flight == 0
    assert all(m.in_flight == 0 for m in before)
    assert replaced <= set(node.subset.servers.values()), (
        "a replaced server is still listed and may join the subset again"
    )


def test_a_repeated_list_does_not_change_the_subset():
    node, recorder = balancer(120, instance_count=200)
    before = list(node.subset.members)
    for n in range(50):
        node.endpoint_update(n, EndpointUpdateKind.FULL, [Endpoint(i + 1) for i in range(120)])
    assert node.subset.members == before
    assert not recorder.take_calls("close_idle")


def test_an_ejected_member_is_not_replaced_by_a_newly_listed_server():
    node, _recorder = balancer(40, instance_count=80)
    for m in node.subset.members[:3]:
        node.outliers.eject(0, m, unresponsive=False)
    ejected = list(node.outliers.ejected)
    node.endpoint_update(SEC, EndpointUpdateKind.CHANGES, [Endpoint(s) for s in range(101, 401)])
    assert ejected
    assert all(m.in_subset and m in node.subset.members for m in ejected)
