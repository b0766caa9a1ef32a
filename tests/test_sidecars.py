"""Inferring from attempt logs which node is the sidecar of which server."""

from __future__ import annotations

from harecross.follow.requests import LoggedAttempt, LoggedRequest
from harecross.follow.sidecars import Intervals, infer_sidecars, unambiguous_sidecar, unexplained_share

SECOND = 1_000_000_000


def intervals(*begins: int, length: int = 1) -> dict[str, Intervals]:
    """Returns intervals of successful requests of one class; all times are in seconds."""
    made = Intervals()
    for begin in begins:
        made.add(begin * SECOND, (begin + length) * SECOND, succeeded=True)
    made.sort()
    return {"0": made}


def request(node: str, at_s: float, server: str = "", took_s: float = 0.5) -> LoggedRequest:
    """Returns an answered request with one attempt at `server`, or none if that is empty."""
    begin, end = int(at_s * SECOND), int((at_s + took_s) * SECOND)
    attempts = [LoggedAttempt(0, server, begin, begin, end)] if server else []
    return LoggedRequest(
        f"{node}-{at_s}", node, request_class="0", admitted_ns=begin, answered_ns=end, attempts=attempts
    )


def test_an_interval_is_open_from_its_begin_to_its_end_both_included():
    made = intervals(1, 2, length=2)["0"]
    assert [made.open_at(second * SECOND) for second in range(6)] == [0, 1, 2, 2, 1, 0]


def test_calls_outside_the_attempts_are_unexplained():
    assert unexplained_share(intervals(0, 10, 20, 30), intervals(0, 10, 20, 35)) == 0.25


def test_too_few_calls_give_no_result():
    assert unexplained_share(intervals(0, 10, 20, 30), intervals(0, 10)) is None


def test_a_node_that_sends_to_a_server_is_not_its_sidecar():
    requests = [request("front", 10.0 * i, "s1", took_s=1.0) for i in range(5)]
    requests += [request("beside", 10.0 * i + 0.2) for i in range(5)]
    assert infer_sidecars(requests, 100 * SECOND) == {"s1": "beside"}


def test_no_sidecar_is_unambiguous_if_two_nodes_fit():
    attempts = intervals(0, 10, 20)
    assert unambiguous_sidecar(attempts, {"a": intervals(0, 10, 20)}) == "a"
    assert unambiguous_sidecar(attempts, {"a": intervals(0, 10, 20), "b": intervals(0, 10, 20)}) is None
    assert unambiguous_sidecar(attempts, {"c": intervals(5, 15, 25)}) is None
