"""Rehearsals of a fleet: recovery from the loss of all watches by staggered rounds of calls to one discovery."""

from math import inf

import pytest

from harecross.discovery.subscription_schedule import (
    FAILED_CALL_PAUSE_S,
    LONG_QUEUE_ROUND_S,
    MIN_CALL_DELAY_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
)
from harecross.fleet.discovery import DiscoveryCapacity, DiscoveryQueue
from harecross.fleet.rehearsal import Rehearsal
from harecross.fleet.result import RehearsalResult
from harecross.fleet.scenario import Scenario, Trigger
from harecross.fleet.schedules import SCHEDULES


def test_discovery_processes_calls_that_it_has_already_failed():
    queue = DiscoveryQueue(
        DiscoveryCapacity(calls_per_second=2.0, call_timeout_s=2.0, max_queue_timeouts=2.0)
    )
    results = [queue.call(0.0) for _ in range(12)]
    assert [result.ended_at for result in results[:4]] == [0.5, 1.0, 1.5, 2.0]
    assert all(result.succeeded for result in results[:4])
    assert [(result.ended_at, result.succeeded) for result in results[4:9]] == [(2.0, False)] * 5
    assert queue.wasted == 5
    assert results[9].ended_at == 0.0
    assert queue.rejected == 3
    assert queue.backlog_s(0.0) == 4.5
    assert not queue.call(2.4).succeeded
    assert queue.call(4.6).succeeded


def rehearse(nodes: int, seconds: float, schedule: str = "turns", **changes) -> RehearsalResult:
    """Runs a rehearsal in which discovery needs `seconds` to serve one call of each node.

    The backlog at the trigger is about that of a fleet whose nodes have all started at the same moment.
    """
    values = {
        "nodes": nodes, "discovery": DiscoveryCapacity(nodes / seconds), "backlog": 0.85 * seconds, "duration": 130.0,
    }  # fmt: skip
    return Rehearsal(Scenario(**values | changes), SCHEDULES[schedule]).run()


@pytest.mark.parametrize("nodes", [40, 2000])
def test_staggered_rounds_recover_from_silent_watches_and_the_former_backoff_does_not(nodes):
    for seconds, max_ratio in ((2.0, 2.0), (4.9, 1.2), (6.0, 1.8), (8.0, 3.4)):
        result = rehearse(nodes, seconds)
        assert (
            result.recovered and result.recovery_times[-1] <= max_ratio * result.scenario.earliest_recovery_s
        ), (
            seconds,
            result.recovery_times[-1],
            result.scenario.earliest_recovery_s,
        )
        assert sum(result.calls.values()) <= 5 * nodes
    for seconds in (6.0, 8.0):
        former = rehearse(nodes, seconds, "former")
        assert former.recovery_time(0.5) == inf
        assert sum(former.answers.values()) < 0.2 * nodes
        # From 60 s on no call is answered, and from 20 s on the backlog never falls to the call timeout.
        assert sum(count for second, count in former.answers.items() if second > 60) == 0
        assert min(backlog for second, backlog in former.backlog_s.items() if second > 20) > 2.0


def test_without_slots_in_the_round_calls_arrive_together_and_fail_together():
    unstaggered, staggered = rehearse(40, 4.9, "together"), rehearse(40, 4.9)
    assert staggered.recovered
    assert staggered.wasted_calls < 10
    assert unstaggered.wasted_calls > 2 * staggered.wasted_calls
    assert unstaggered.recovery_times[-1] > 2 * staggered.recovery_times[-1]


def test_two_nodes_recover_within_one_round():
    result = rehearse(2, 2.0, backlog=0.0)
    assert (
        result.recovery_times[-1] <= WATCH_HEARTBEAT_TIMEOUT_S + MIN_CALL_DELAY_S + LONG_QUEUE_ROUND_S + 2.0
    )
    assert result.wasted_calls == 0


@pytest.mark.parametrize("trigger", [Trigger.ENDED, Trigger.BROKEN, Trigger.RESTART, Trigger.DOWN])
def test_the_fleet_recovers_from_every_other_trigger(trigger):
    for seconds in (2.0, 4.9, 8.0):
        result = rehearse(40, seconds, trigger=trigger, backlog=0.0)
        assert result.recovered
        assert result.recovery_times[-1] <= 4 * result.scenario.earliest_recovery_s + FAILED_CALL_PAUSE_S


def test_a_fleet_too_large_for_the_longest_poll_interval_still_recovers():
    """Most nodes get no heartbeat for longer than the staleness limit, but all nodes recover."""
    result = rehearse(200, 16.0, max_poll_interval=10.0)
    assert result.recovered
    assert result.late_drains > 0
    assert result.first_drain_delays[-1] < 130


def test_malformed_responses_do_not_prevent_recovery():
    result = rehearse(40, 4.9, malformed_fraction=0.3)
    assert result.recovered
    assert result.recovery_times[-1] < 4 * result.scenario.earliest_recovery_s


def test_a_thousand_seeds_recover_and_a_seed_is_reproducible():
    worst_ratio = 0.0
    for seed in range(1000):
        result = rehearse(40, 4.9, seed=seed, duration=60.0)
        assert result.recovered
        worst_ratio = max(worst_ratio, result.recovery_times[-1] / result.scenario.earliest_recovery_s)
    assert worst_ratio < 1.9
    assert rehearse(40, 4.9, seed=77).recovery_times == rehearse(40, 4.9, seed=77).recovery_times


def test_with_enough_discovery_capacity_no_drain_passes_the_staleness_limit_unnoticed():
    for seed in range(200):
        result = rehearse(40, 2.0, seed=seed, drain_delay=2.5, drain_interval=1.0, duration=40.0, backlog=0.0)
        assert result.recovered
        assert result.late_drains == 0
