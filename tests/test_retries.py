"""Retries and final answers, by the idempotency of the request."""

from dataclasses import replace

import pytest
from support import IDEMPOTENT, SEC, balancer, end_attempt, send_request

from harecross.interface import (
    NOT_PROCESSED,
    ClassSettings,
    DeduplicationScope,
    Endpoint,
    EndpointUpdateKind,
    Idempotency,
    Outcome,
)

POSSIBLY_PROCESSED = [o for o in Outcome if o not in NOT_PROCESSED and o != Outcome.OK]


@pytest.mark.parametrize("outcome", sorted(NOT_PROCESSED))
@pytest.mark.parametrize("request_class", [0, 1, 2])
def test_an_attempt_that_was_not_processed_is_retried(outcome, request_class):
    node, recorder = balancer()
    _, _, server, _ = send_request(node, recorder, 0, 1, request_class)
    ((action, *_),) = end_attempt(node, recorder, 1000, 1, 0, server, outcome)
    assert action == "send"


@pytest.mark.parametrize("outcome", POSSIBLY_PROCESSED)
def test_a_non_idempotent_request_fails_once_it_may_have_been_processed(outcome):
    node, recorder = balancer()
    _, _, server, _ = send_request(node, recorder, 0, 1, 2)
    assert end_attempt(node, recorder, 1000, 1, 0, server, outcome) == [("fail", 1)]


@pytest.mark.parametrize("outcome", POSSIBLY_PROCESSED)
def test_an_idempotent_request_is_retried_and_shed_at_the_attempt_cap(outcome):
    node, recorder = balancer(max_attempts=2)
    _, _, server, _ = send_request(node, recorder, 0, 1, 0)
    ((action, _, other, _),) = end_attempt(node, recorder, 1000, 1, 0, server, outcome)
    assert action == "send"
    ((action, *_),) = end_attempt(node, recorder, 2000, 1, 1, other, outcome)
    assert action == "shed"


SCOPES = ((DeduplicationScope.CELL, "cell"), (DeduplicationScope.ZONE, "zone"))


def failed_with_a_key(scope: DeduplicationScope, field: str, seed: int):
    """Fails the first attempt of a request with an idempotency key.

    Returns the node, its recorder, the server of the first attempt and the action that followed.
    """
    entries = [Endpoint(i + 1, **{field: i % 2}) for i in range(8)]
    request_class = ClassSettings(
        Idempotency.IDEMPOTENCY_KEY,
        latency_objective=SEC,
        deadline=9 * SEC,
        priority_weight=1,
        late_priority_weight=0.5,
        deduplication_scope=scope,
        deduplication_window=SEC,
    )
    node, recorder = balancer(entries, seed=seed, classes=(request_class,))
    _, _, server, _ = send_request(node, recorder, 0, 1)
    (action,) = end_attempt(node, recorder, 1000, 1, 0, server, Outcome.ERROR)
    return node, recorder, server, action


@pytest.mark.parametrize(("scope", "field"), SCOPES)
def test_a_retry_with_an_idempotency_key_goes_to_another_server_of_the_deduplication_scope(scope, field):
    for seed in range(10):
        _, _, server, (action, _, other, _) = failed_with_a_key(scope, field, seed)
        assert action == "send"
        assert other % 2 == server % 2
        assert other != server


@pytest.mark.parametrize(("scope", "field"), SCOPES)
def test_a_request_with_an_idempotency_key_is_not_retried_after_the_deduplication_window(scope, field):
    for seed in range(10):
        node, recorder, _, (_, _, other, _) = failed_with_a_key(scope, field, seed)
        assert end_attempt(node, recorder, SEC + 1, 1, 1, other, Outcome.ERROR) == [("fail", 1)]


ONE_SERVER_A_CELL = [Endpoint(1, cell=1), Endpoint(2, cell=2)]


def test_a_retry_with_an_idempotency_key_goes_back_to_the_only_server_of_its_scope():
    """Otherwise, in a cell with one server, each such request whose response is lost would fail."""
    node, recorder = balancer(ONE_SERVER_A_CELL)
    _, _, server, _ = send_request(node, recorder, 0, 1, 1)
    assert end_attempt(node, recorder, 1000, 1, 0, server, Outcome.RESET)[0][:3] == ("send", 1, server)


def test_a_retry_with_an_idempotency_key_does_not_go_back_to_a_server_that_has_restarted():
    """A restarted server no longer knows which requests it has processed."""
    node, recorder = balancer(ONE_SERVER_A_CELL)
    _, _, server, _ = send_request(node, recorder, 2000, 2, 1)
    restarted = replace(ONE_SERVER_A_CELL[server - 1], ready_at=2400)
    node.endpoint_update(2500, EndpointUpdateKind.CHANGES, [restarted])
    assert end_attempt(node, recorder, 3000, 2, 0, server, Outcome.RESET) == [("fail", 2)]


def test_a_retry_avoids_the_server_of_the_attempt_before():
    """When the only server of the local zone rejected its requests, each retry would go to it again."""
    local, remote = Endpoint(1, zone=0), Endpoint(2, zone=1)
    for seed in range(10):
        node, recorder = balancer([local, remote], seed=seed, cross_zone_cost=0.05)
        node.zone_preference.fraction = 0.0
        _, _, first, _ = send_request(node, recorder, 0, 1)
        assert end_attempt(node, recorder, 1000, 1, 0, first, Outcome.REJECTED)[0][:3] == (
            "send",
            1,
            3 - first,
        )


def test_retries_are_capped_by_a_budget():
    """Retries multiply across tiers, so a subset that fails every request must get few retries."""
    node, recorder = balancer(4)
    sends = 0
    for i in range(100):
        actions = [send_request(node, recorder, i * 1000, i)]
        attempt = 0
        while actions and actions[0][0] == "send":
            sends += 1
            actions = end_attempt(node, recorder, i * 1000 + 500, i, attempt, actions[0][2], Outcome.ERROR)
            attempt += 1
    assert 100 < sends <= 100 + 100 * 0.1 + 4


@pytest.mark.parametrize(("request_class", "answer"), [(0, "shed"), (1, "fail"), (2, "fail")])
def test_a_time_out_at_the_deadline_gets_the_final_answer(request_class, answer):
    node, recorder = balancer()
    _, _, server, timeout = send_request(node, recorder, 0, 1, request_class)
    assert timeout == 3 * SEC
    ((action, *_),) = end_attempt(node, recorder, timeout, 1, 0, server, Outcome.TIMEOUT, timeout)
    assert action == answer
    assert not node.requests


def test_a_class_without_late_weight_is_not_waited_for_beyond_its_objective():
    """A late response has no weight in such a class."""
    request_class = ClassSettings(
        Idempotency.IDEMPOTENT, latency_objective=SEC, deadline=3 * SEC, priority_weight=1
    )
    node, recorder = balancer(classes=(request_class,))
    assert send_request(node, recorder, 0, 1)[3] < SEC


def test_a_request_whose_response_has_started_is_not_retried():
    node, recorder = balancer()
    _, _, server, _ = send_request(node, recorder, 0, 1)
    node.response_started(10, 1, 0, server, 10)
    assert end_attempt(node, recorder, 20, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_a_request_of_an_unknown_class_is_not_retried_once_it_may_have_been_processed():
    node, recorder = balancer(classes=(IDEMPOTENT,))
    kind, _, server, _ = send_request(node, recorder, 0, 1, request_class=7)
    assert kind == "send"
    assert end_attempt(node, recorder, 1000, 1, 0, server, Outcome.ERROR) == [("fail", 1)]
