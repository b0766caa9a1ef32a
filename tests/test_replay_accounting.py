"""Tests of the request accounting of a replay: service level, retries and consistent counts."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from replay_support import PUT, READ

from harecross.interface import Idempotency
from harecross.replay.accounting import Disposition, RequestAccounting, RetryPolicy


def test_the_service_level_is_weight_in_time_over_offered_weight():
    accounting = RequestAccounting([READ, PUT], 1_000_000)
    for number, class_index in enumerate((0, 0, 1, 1)):
        accounting.request_due(number, class_index, due_us=100)
    # A latency exactly at the objective is in time; one microsecond more is late.
    assert accounting.finish(0, 1_000_100, Disposition.IN_TIME) == Disposition.IN_TIME
    assert accounting.finish(1, 1_000_101, Disposition.IN_TIME) == Disposition.LATE
    accounting.finish(2, 200, Disposition.IN_TIME)
    accounting.finish(3, 200, Disposition.SHED)
    report = accounting.total.report()
    assert (report["worth_asked"], report["worth_in_time"], report["service"]) == (12, 6, 0.5)
    keys = ("served_in_time", "served_late", "refused", "failed", "open")
    assert [report[key] for key in keys] == [2, 1, 1, 0, 0]
    assert accounting.inconsistencies() == []


def test_a_retry_counts_under_its_first_attempt():
    """If a retry counted as a request, one that is shed and then served would be two, of which half are served."""
    accounting = RequestAccounting([READ], 1_000_000)
    accounting.request_due(0, 0, 0)
    accounting.attempt_sent(0)
    accounting.attempt_sent(0)
    accounting.finish(0, 500_000, Disposition.IN_TIME)
    report = accounting.total.report()
    assert [report[key] for key in ("asked", "tries", "served_in_time", "service")] == [1, 2, 1, 1.0]


def test_a_request_starts_once_and_finishes_once():
    accounting = RequestAccounting([READ], 1_000_000)
    accounting.request_due(0, 0, 0)
    with pytest.raises(ValueError, match="request 0 is already open"):
        accounting.request_due(0, 0, 0)
    accounting.finish(0, 1, Disposition.FAILED)
    with pytest.raises(KeyError):
        accounting.finish(0, 2, Disposition.IN_TIME)


def test_inconsistent_counts_are_reported():
    accounting = RequestAccounting([READ], 1_000_000)
    accounting.request_due(0, 0, 0)
    accounting.by_class[0].counts[Disposition.OPEN] -= 1
    assert accounting.inconsistencies() == ["open: 1 in total, 0 over classes"]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 1), st.integers(0, 10**7), st.sampled_from(Disposition), st.integers(0, 3)),
        max_size=60,
    )
)
def test_counts_are_consistent_after_any_sequence_of_requests(requests):
    accounting = RequestAccounting([READ, PUT], 700_000)
    for number, (class_index, due_us, disposition, attempts) in enumerate(requests):
        accounting.request_due(number, class_index, due_us)
        for _ in range(attempts):
            accounting.attempt_sent(number)
        if disposition != Disposition.OPEN:
            accounting.finish(number, due_us + 10 * number, disposition)
    assert accounting.inconsistencies() == []
    assert accounting.total.requests == len(requests)
    assert accounting.total.attempts == sum(request[3] for request in requests)
    assert sum(tally.offered_weight for tally in accounting.windows) == accounting.total.offered_weight


@pytest.mark.parametrize(
    ("disposition", "idempotency", "attempts", "retry_after_us", "delay_us"),
    [
        (Disposition.SHED, Idempotency.NON_IDEMPOTENT, 1, None, 100),
        # The delay is the server's Retry-After if that is longer than the backoff.
        (Disposition.SHED, Idempotency.IDEMPOTENT, 1, 5000, 5000),
        (Disposition.FAILED, Idempotency.NON_IDEMPOTENT, 1, None, None),
        (Disposition.FAILED, Idempotency.IDEMPOTENCY_KEY, 1, None, 100),
        # The only retry has been used.
        (Disposition.SHED, Idempotency.IDEMPOTENT, 2, None, None),
    ],
)
def test_clients_retry_only_what_may_be_repeated(
    disposition, idempotency, attempts, retry_after_us, delay_us
):
    policy = RetryPolicy(max_retries=1, backoff_us=100)
    assert policy.delay_us(disposition, idempotency, attempts, retry_after_us) == delay_us
