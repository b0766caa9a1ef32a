"""Events that change or end requests, and events of unknown requests and servers."""

from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    EndpointUpdateKind,
    Outcome,
)


def test_the_attempt_of_a_disconnected_client_is_cancelled():
    node, recorder = balancer()
    send_request(node, recorder, 0, 1)
    node.client_disconnected(10, 1)
    assert recorder.take_calls() == [("cancel", 1, 0)]


def test_a_disconnected_client_gets_no_response():
    node, recorder = balancer()
    _, _, server, _ = send_request(node, recorder, 0, 1)
    node.client_disconnected(10, 1)
    recorder.take_calls()
    assert end_attempt(node, recorder, 20, 1, 0, server, Outcome.CANCELLED) == []
    assert node.controller.in_flight == 0


def test_without_cancellation_the_attempt_of_a_disconnected_client_continues():
    node, recorder = balancer(cancel=False)
    send_request(node, recorder, 0, 1)
    node.client_disconnected(10, 1)
    assert recorder.take_calls() == []


def test_events_of_unknown_requests_and_servers_are_ignored():
    node, recorder = balancer()
    node.client_disconnected(0, 5)
    node.outcome(0, 5, 0, 77, Outcome.OK, 1, True, ())
    node.response_started(0, 5, 0, 1, 1)
    node.timer(0, 123)
    node.timer(0, 2 << 56 | 5)
    node.health_checked(0, 1, True, 5, ())
    node.peer_message(0, 1, b"x")
    assert recorder.take_calls() == []
    assert node.controller.in_flight == 0
    _, _, server, _ = send_request(node, recorder, 0, 1)
    end_attempt(node, recorder, 1, 1, 0, server, Outcome.OK)
    assert node.controller.in_flight == 0


def test_a_second_outcome_of_an_attempt_is_ignored():
    node, recorder = balancer()
    _, _, server, _ = send_request(node, recorder, 0, 1)
    end_attempt(node, recorder, 1, 1, 0, server, Outcome.OK)
    assert end_attempt(node, recorder, 2, 1, 0, server, Outcome.OK) == []
    assert node.controller.in_flight == 0


def test_a_list_that_is_not_pushed_is_subscribed_to():
    node, recorder = balancer(discovery_polled=True, max_poll_interval=10 * SEC)
    node.start(0)
    assert recorder.take_calls("subscribe") == [("subscribe", True)]


def test_a_failed_call_for_the_list_keeps_the_list():
    node, recorder = balancer(discovery_polled=True, max_poll_interval=10 * SEC)
    node.start(0)
    recorder.take_calls()
    members = list(node.subset.members)
    node.endpoint_update(0, EndpointUpdateKind.FAILED, [])
    assert node.subset.members == members
    assert recorder.take_calls() == []
