"""The account of attempts in flight: each has one owner until its outcome, whatever leaves before."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule
from support import SEC, balancer, end_attempt, send_request

from harecross.interface import (
    NOT_PROCESSED,
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Idempotency,
    Outcome,
)
from harecross.policy.balancer import Balancer

KEYED, UNSAFE = 1, 2  # classes of `support.BASE`


def leave(node: Balancer, now: int, server: int) -> None:
    """Takes a server out of the list."""
    node.endpoint_update(now, EndpointUpdateKind.CHANGES, [Endpoint(server, EndpointState.GONE)])


def join(node: Balancer, now: int, server: int, cell: int = 0, ready_at: int = 0) -> None:
    """Puts a server into the list."""
    node.endpoint_update(now, EndpointUpdateKind.CHANGES, [Endpoint(server, cell=cell, ready_at=ready_at)])


def uploads_at_a_server_that_leaves_and_returns() -> tuple:
    """Returns a balancer, its recorder and an unsafe request in flight, after the case that the name says.

    Two uploads are in flight when the only server leaves and returns; they end after its return.
    """
    node, recorder = balancer(servers=1)
    for request in (1, 2):
        send_request(node, recorder, 0, request, UNSAFE)
        node.uploading(0, request, on=True)
    leave(node, 1 * SEC, 1)
    join(node, 2 * SEC, 1)
    unsafe = send_request(node, recorder, 2 * SEC, 3, UNSAFE)
    assert unsafe[0] == "send"
    for request in (1, 2):
        node.uploading(3 * SEC, request, on=False)
        end_attempt(node, recorder, 3 * SEC, request, 0, 1, Outcome.OK)
    return node, recorder, unsafe


@pytest.mark.parametrize("others", [0, 3])
def test_an_unsafe_request_that_may_have_run_fails_although_its_server_has_left_twice(others):
    """Guards against a repeat, or a refusal, because the record of its server was deleted under it."""
    node, recorder, (_, request, server, _) = uploads_at_a_server_that_leaves_and_returns()
    for other in range(2, 2 + others):
        join(node, 3 * SEC, other)
    leave(node, 3 * SEC, server)
    assert node.subset.servers[server].in_flight == 1
    (answer,) = end_attempt(node, recorder, 4 * SEC, request, 0, server, Outcome.RESET)
    assert answer == ("fail", request)


def test_uploads_at_a_server_that_leaves_use_up_nothing_of_the_limit():
    """Guards against units of the limit that are never released: the node once refused everything from then on."""
    node, recorder, (_, request, server, _) = uploads_at_a_server_that_leaves_and_returns()
    end_attempt(node, recorder, 4 * SEC, request, 0, server, Outcome.OK)
    assert (node.controller.in_flight, node.subset.servers[server].in_flight) == (0, 0)
    for request in range(10, 20):
        send_request(node, recorder, 5 * SEC, request, UNSAFE)
        node.uploading(5 * SEC, request, on=True)
        leave(node, 5 * SEC, 1)
        end_attempt(node, recorder, 5 * SEC, request, 0, 1, Outcome.RESET)
        join(node, 5 * SEC, 1)
    assert node.controller.in_flight == 0


def test_the_record_of_a_server_is_removed_once_its_last_upload_has_ended():
    """Guards against memory that grows with each server that is replaced."""
    node, recorder = balancer(servers=2)
    _, request, server, _ = send_request(node, recorder, 0, 1, UNSAFE)
    node.uploading(0, request, on=True)
    leave(node, 1 * SEC, server)
    assert server in node.subset.servers
    end_attempt(node, recorder, 2 * SEC, request, 0, server, Outcome.RESET)
    join(node, 3 * SEC, 9)
    assert server not in node.subset.servers


def test_the_outcome_of_an_upload_whose_client_has_left_is_counted_once():
    """Guards against a count that is too low, by which the record of a busy server would be deleted."""
    node, recorder = balancer(servers=1)
    send_request(node, recorder, 0, 1, UNSAFE)
    send_request(node, recorder, 0, 2, UNSAFE)
    node.uploading(0, 1, on=True)
    node.client_disconnected(1000, 1)
    end_attempt(node, recorder, 2000, 1, 0, 1, Outcome.CANCELLED)
    assert (node.controller.in_flight, node.subset.servers[1].in_flight) == (1, 1)


def test_a_keyed_request_stays_in_the_cell_in_which_it_may_have_run():
    """Guards against a repeat in another cell, because the list has moved the server of the first attempt."""
    for seed in range(10):
        node, recorder = balancer(servers=[Endpoint(i, cell=i % 2) for i in range(1, 7)], seed=seed)
        _, request, server, _ = send_request(node, recorder, 0, 1, KEYED)
        join(node, 1000, server, cell=1 - server % 2)
        ((_, _, second, _),) = end_attempt(node, recorder, 2000, request, 0, server, Outcome.RESET)
        assert second % 2 == server % 2


def test_a_server_that_returns_with_a_new_record_is_no_other_server():
    """Guards against a repeat at a server that has restarted and no longer knows what it has processed."""
    node, recorder = balancer(servers=2, slow_start_duration=1000)
    _, request, first, _ = send_request(node, recorder, 0, 1, KEYED)
    ((_, _, second, _),) = end_attempt(node, recorder, 1000, request, 0, first, Outcome.RESET)
    assert second != first
    leave(node, 2000, first)
    join(node, 3000, first, ready_at=3000)
    ((name, _, server, _),) = end_attempt(node, recorder, 10_000, request, 1, second, Outcome.RESET)
    assert (name, server) == ("send", second)


@dataclass
class Sent:
    """An attempt that the balancer has sent."""

    request: int
    number: int
    server: int
    uploading: bool = False


class AttemptAccount(RuleBasedStateMachine):
    """Requests, uploads, outcomes, clients and servers that come and go, in any order."""

    requests = Bundle("requests")

    def __init__(self) -> None:
        super().__init__()
        self.node, self.recorder = balancer(servers=3)
        self.now = self.last_request = 0
        self.open: dict[int, int] = {}  # open requests with their classes
        self.sent: dict[int, Sent] = {}
        self.may_have_run: set[int] = set()

    def take_actions(self) -> None:
        """Checks the actions of the balancer and notes what it has sent and answered."""
        for name, request, *arguments in self.recorder.take_calls("send", "shed", "fail"):
            harmful = request in self.may_have_run and self.open[request] == UNSAFE
            assert not harmful or name == "fail"
            if name == "send":
                assert request not in self.sent
                number = self.node.requests[request].attempts - 1
                self.sent[request] = Sent(request, number, arguments[0])
            else:
                del self.open[request]

    @rule(target=requests, request_class=st.integers(0, 2))
    def admit(self, request_class: int) -> int:
        """A client sends a request."""
        self.last_request += 1
        self.open[self.last_request] = request_class
        self.node.request(self.now, self.last_request, request_class, 0, 3 * SEC, repeat=False)
        self.take_actions()
        return self.last_request

    @rule(request=requests, on=st.booleans())
    def upload(self, request: int, on: bool) -> None:  # noqa: FBT001
        """The body of a request begins or ends to be forwarded."""
        self.node.uploading(self.now, request, on)
        if request in self.sent:
            self.sent[request].uploading = on

    @rule(request=requests)
    def client_leaves(self, request: int) -> None:
        """The client of a request disconnects."""
        if self.open.pop(request, None) is not None:
            self.node.client_disconnected(self.now, request)

    @rule(request=consumes(requests), outcome=st.sampled_from(list(Outcome)))
    def end(self, request: int, outcome: Outcome) -> None:
        """An attempt ends."""
        sent = self.sent.pop(request, None)
        if sent is None:
            return
        if outcome not in NOT_PROCESSED:
            self.may_have_run.add(request)
        if outcome is Outcome.OK:
            self.open.pop(request, None)
        final = outcome is Outcome.OK
        self.node.outcome(self.now, request, sent.number, sent.server, outcome, 10_000, final, ())
        self.take_actions()

    @rule(server=st.integers(1, 3), state=st.sampled_from(list(EndpointState)), restarted=st.booleans())
    def list_server(self, server: int, state: EndpointState, restarted: bool) -> None:  # noqa: FBT001
        """Discovery changes the entry of a server."""
        entry = Endpoint(server, state, ready_at=self.now if restarted else 0)
        self.node.endpoint_update(self.now, EndpointUpdateKind.CHANGES, [entry])

    @rule(servers=st.sets(st.integers(1, 3)))
    def list_all(self, servers: set[int]) -> None:
        """Discovery sends a whole list."""
        entries = [Endpoint(server) for server in sorted(servers)]
        self.node.endpoint_update(self.now, EndpointUpdateKind.FULL, entries)

    @rule(span=st.sampled_from([1000, 100_000, 3 * SEC]))
    def pass_time(self, span: int) -> None:
        """Time passes."""
        self.now += span

    @invariant()
    def the_count_equals_the_open_attempts(self) -> None:
        """Each open attempt is counted exactly once at its server, and by the limit unless that excludes it."""
        servers = self.node.subset.servers
        loading = [sent for sent in self.sent.values() if not sent.uploading]
        for server in servers.values():
            assert server.open_attempts == sum(sent.server == server.id for sent in self.sent.values())
            assert server.in_flight == sum(sent.server == server.id for sent in loading)
        limited = [sent for sent in loading if not servers[sent.server].excluded_from_limit]
        assert self.node.controller.in_flight == len(limited)
        assert len(self.node.attempts.by_request) == len(self.sent)


AttemptAccount.TestCase.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)
TestAttemptAccount = AttemptAccount.TestCase


def test_the_unsafe_class_of_the_tests_is_not_idempotent():
    """Guards against tests that would hold for any class."""
    node, _ = balancer()
    assert node.settings.classes[UNSAFE].idempotency == Idempotency.NON_IDEMPOTENT
    assert node.settings.classes[KEYED].idempotency == Idempotency.IDEMPOTENCY_KEY
