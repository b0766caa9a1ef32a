"""Events that change or end requests, and events that do not fit."""

from support import SEC, ask, balancer, end

from harecross.interface import (
    EndpointUpdateKind,
    Outcome,
)


def test_the_attempt_of_a_client_that_left_is_cancelled():
    node, rec = balancer()
    _, _, server, _ = ask(node, rec, 0, 1)
    node.client_disconnected(10, 1)
    assert rec.take() == [("cancel", 1, 0)]
    assert end(node, rec, 20, 1, 0, server, Outcome.CANCELLED) == []
    assert node.controller.in_flight == 0
    node, rec = balancer(cancel=False)
    ask(node, rec, 0, 1)
    node.client_disconnected(10, 1)
    assert rec.take() == []


def test_events_that_do_not_fit_are_ignored():
    node, rec = balancer()
    node.client_disconnected(0, 5)
    node.outcome(0, 5, 0, 77, Outcome.OK, 1, True, ())
    node.response_started(0, 5, 0, 1, 1)
    node.timer(0, 123)
    node.timer(0, 2 << 56 | 5)
    node.health_checked(0, 1, True, 5, ())
    node.peer_message(0, 1, b"x")
    _, _, server, _ = ask(node, rec, 0, 1)
    end(node, rec, 1, 1, 0, server, Outcome.OK)
    assert end(node, rec, 2, 1, 0, server, Outcome.OK) == []
    assert node.controller.in_flight == 0


def test_a_polled_list_is_subscribed_to_and_a_failed_call_keeps_the_list():
    node, rec = balancer(discovery_polled=True, max_poll_interval=10 * SEC)
    node.start(0)
    assert rec.take("subscribe") == [("subscribe", True)]
    members = list(node.subset.members)
    node.endpoint_update(0, EndpointUpdateKind.FAILED, [])
    assert node.subset.members == members and rec.take() == []
