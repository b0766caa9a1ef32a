"""A fleet of nodes and one discovery, on the model: recovery from lost watches by staggered rounds."""

from math import inf

import pytest

from harecross.discovery.subscription_schedule import (
    FAILED_CALL_PAUSE_S,
    LONG_QUEUE_ROUND_S,
    MIN_CALL_DELAY_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
)
from harecross.fleet.discovery import Desk, Shape
from harecross.fleet.rehearsal import Day, Rehearsal, bound
from harecross.fleet.waits import WAITS


def test_discovery_processes_calls_that_it_has_already_failed():
    desk = Desk(Shape(rate=2.0, timeout=2.0, overbook=2.0))
    replies = [desk.call(0.0) for _ in range(12)]
    assert [r.at for r in replies[:4]] == [0.5, 1.0, 1.5, 2.0] and all(r.good for r in replies[:4])
    assert [(r.at, r.good) for r in replies[4:9]] == [(2.0, False)] * 5 and desk.in_vain == 5
    assert replies[9].at == 0.0 and desk.turned_away == 3 and desk.backlog(0.0) == 4.5
    assert not desk.call(2.4).good and desk.call(4.6).good


def fleet(nodes: int, seconds: float, waits: str = "turns", **more):
    """Nodes and a discovery that serves one call of each in `seconds`, with the queue that a common start leaves."""
    shape = Shape(nodes / seconds)
    day = Day(**{"nodes": nodes, "discovery": shape, "backlog": 0.85 * seconds, "length": 130.0, **more})
    return Rehearsal(day, WAITS[waits]).run()


@pytest.mark.parametrize("nodes", [40, 2000])
def test_after_all_watches_fall_silent_staggered_rounds_recover_and_the_former_backoff_never_does(nodes):
    for seconds, last in ((2.0, 2.0), (4.9, 1.2), (6.0, 1.8), (8.0, 3.4)):
        result = fleet(nodes, seconds)
        assert result.recovered and result.back[-1] <= last * bound(result.day), (
            seconds,
            result.back[-1],
            bound(result.day),
        )
        assert sum(result.calls.values()) <= 5 * nodes
    for seconds in (6.0, 8.0):
        former = fleet(nodes, seconds, "former")
        assert former.share(0.5) == inf and sum(former.answered.values()) < 0.2 * nodes
        # In the last minute no call was answered, and the queue never got shorter.
        assert sum(n for second, n in former.answered.items() if second > 60) == 0
        assert min(length for second, length in former.line.items() if second > 20) > 2.0


def test_without_round_positions_the_fleet_calls_at_once_and_fails_at_once():
    mutant, turns = fleet(40, 4.9, "together"), fleet(40, 4.9)
    assert turns.recovered and turns.in_vain < 10
    assert mutant.in_vain > 2 * turns.in_vain and mutant.back[-1] > 2 * turns.back[-1]


def test_two_nodes_recover_within_one_round():
    result = fleet(2, 2.0, backlog=0.0)
    assert (
        result.back[-1] <= WATCH_HEARTBEAT_TIMEOUT_S + MIN_CALL_DELAY_S + LONG_QUEUE_ROUND_S + 2.0
        and result.in_vain == 0
    )


@pytest.mark.parametrize("trigger", ["ended", "broken", "restart", "down"])
def test_the_fleet_recovers_from_every_other_trigger(trigger):
    for seconds in (2.0, 4.9, 8.0):
        result = fleet(40, seconds, trigger=trigger, backlog=0.0)
        assert result.recovered and result.back[-1] <= 4 * bound(result.day) + FAILED_CALL_PAUSE_S


def test_a_fleet_too_large_for_the_longest_poll_interval_still_recovers():
    """Most nodes have no heartbeat for longer than the staleness limit, but none for good."""
    result = fleet(200, 16.0, within=10.0)
    assert result.recovered and result.late > 0 and result.knew[-1] < 130


def test_malformed_responses_do_not_prevent_recovery():
    result = fleet(40, 4.9, spoilt=0.3)
    assert result.recovered and result.back[-1] < 4 * bound(result.day)


def test_a_thousand_seeds_recover_and_replay_exactly():
    worst = 0.0
    for seed in range(1000):
        result = fleet(40, 4.9, seed=seed, length=60.0)
        assert result.recovered
        worst = max(worst, result.back[-1] / bound(result.day))
    assert worst < 1.9
    assert fleet(40, 4.9, seed=77).back == fleet(40, 4.9, seed=77).back


def test_with_enough_discovery_capacity_no_drain_passes_the_staleness_limit_unnoticed():
    for seed in range(200):
        result = fleet(40, 2.0, seed=seed, change=2.5, more=1.0, length=40.0, backlog=0.0)
        assert result.recovered and result.late == 0
