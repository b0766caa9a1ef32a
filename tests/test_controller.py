"""The gradient controller against windows computed by hand."""

from math import sqrt
from random import Random

import pytest

from harecross.fleet_limits import MAX_INITIAL_FACTOR, MIN_CONCURRENCY, MIN_RTT_FLOORS
from harecross.policy.controller import (
    MAX_BURST,
    MAX_HEADROOM_FRACTION,
    MIN_RTT_REQUESTS,
    MIN_WINDOW_SAMPLES,
    WINDOW_US,
    GradientController,
    percentile,
)


def controller(allowance: int = 100_000, members: int = 5, **state) -> GradientController:
    c = GradientController([allowance], 1000, Random(1), 0)
    c.resize(members, members, 1)
    for name, value in state.items():
        setattr(c, name, value)
    return c


def run_pass(c: GradientController, rtt: int, now: int) -> None:
    """Answers of one latency until the pass is over, the last of them at its time."""
    for _ in range(c.min_rtt_requests_left):
        c.record_sample(now, 0, rtt)
    c.record_sample(c.min_rtt_window_end, 0, rtt)
    assert not c.measuring_min_rtt


def after_pass(rtt: int = 100_000, allowance: int = 100_000, **state) -> GradientController:
    c = controller(allowance)
    run_pass(c, rtt, 1000)
    c.window_start = 1000
    for name, value in state.items():
        setattr(c, name, value)
    return c


def fill(c: GradientController, latency: int, start: int = 1000, samples: int = MIN_WINDOW_SAMPLES) -> None:
    for i in range(samples):
        c.record_sample(start + (i + 1) * WINDOW_US // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_passes_hold_the_limit_low_and_the_first_of_few_copies_less_so():
    """One of two nodes that was started again refused a third of its full traffic for five seconds."""
    c = controller(members=5)
    assert c.measuring_min_rtt and c.current_limit() == MAX_INITIAL_FACTOR * 5 * MIN_CONCURRENCY
    assert controller(members=1).current_limit() == MIN_CONCURRENCY
    c.in_flight = 30
    run_pass(c, 100, 1000)
    assert c.baseline_in_flight == 30, "what the first pass carried in good time stays allowed"
    c.baseline_in_flight = 0
    c.start_min_rtt_window(10**7)
    assert c.current_limit() == 5 * MIN_CONCURRENCY


def test_pass_sets_min_rtt_to_the_p90_of_its_calls():
    c = controller(members=5)
    calls = c.min_rtt_requests_left
    assert calls <= MIN_RTT_REQUESTS
    for i in range(calls):
        c.record_sample(c.min_rtt_window_end if i == calls - 1 else 1000, 0, 1000 * (i + 1))
    assert not c.measuring_min_rtt
    assert c.min_rtt[0] == 1000 * (calls * 9 // 10)


def test_a_pass_waits_for_long_calls():
    """Ended at its last answer a pass has seen short calls only, and min_rtt comes out too low."""
    c = controller(members=5)
    for _ in range(200):
        c.record_sample(c.min_rtt_window_end - 1, 0, 1000)
    assert c.measuring_min_rtt


def test_pass_ends_by_time_when_calls_are_few():
    c = controller()
    c.record_sample(10, 0, 500)
    c.record_sample(20, 0, 700)
    c.record_sample(c.min_rtt_window_end + 3 * 10 * WINDOW_US, 0, 600)
    assert not c.measuring_min_rtt and c.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # min_rtt 100 ms, buffer 25%, window p90 250 ms: gradient 0.5, limit 0.5 x 36 + 6 = 24
    c = after_pass(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill(c, 250_000)
    assert c.gradient == pytest.approx(0.5)
    assert c.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # p90 of 125 ms = min_rtt + B: gradient 1, limit 36 + 6
    c = after_pass(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(42.0)


def test_limit_does_not_outgrow_what_is_in_flight():
    c = after_pass(limit=100.0, in_flight=10, baseline_in_flight=10.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(2 * 10 + sqrt(100))


def test_buffer_reaches_to_the_part_of_the_aim():
    # min_rtt + B = 500 ms: a p90 of 400 ms does not shrink the limit
    c = after_pass(allowance=500_000, limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill(c, 400_000)
    assert c.gradient == pytest.approx(1.25)


def test_empty_window_changes_nothing_and_a_thin_one_waits():
    c = after_pass(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    c.close_window_if_due(50 * WINDOW_US)
    assert c.limit == 36.0
    c.record_sample(WINDOW_US // 2, 0, 250_000)
    assert c.limit == 36.0
    c.record_sample(1000 + 10 * WINDOW_US, 0, 250_000)
    assert c.limit == pytest.approx(24.0)


def test_five_windows_at_the_floor_start_a_pass():
    c = after_pass(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if c.measuring_min_rtt:
            break
        fill(c, 1_000_000, start)
        start += WINDOW_US
    assert c.measuring_min_rtt and c.limit == c.floor


def test_windows_held_up_by_the_usual_calls_start_no_pass():
    """Any overload brings the limit down to the usual calls; a pass each few seconds would close the copy."""
    c = after_pass(limit=50.0, in_flight=40, baseline_in_flight=40.0)
    for i in range(20):
        fill(c, 1_000_000, 1000 + i * WINDOW_US)
    assert c.limit == pytest.approx(40.0) and not c.measuring_min_rtt


def test_pass_recurs_after_a_jittered_interval_and_keeps_the_limit():
    c = after_pass(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    assert 60_000_000 <= c.next_min_rtt_at - 1000 <= 66_000_000
    fill(c, 125_000, c.next_min_rtt_at)
    assert c.measuring_min_rtt and 5 * MIN_CONCURRENCY < c.current_limit() == c.baseline_in_flight < c.limit
    run_pass(c, 100_000, c.next_min_rtt_at + 1)
    assert c.current_limit() == pytest.approx(42.0)


def test_classes_count_relative_to_their_own_min_rtt():
    c = GradientController([10_000, 100_000], 1000, Random(1), 0)
    c.resize(5, 5, 1)
    for i in range(c.min_rtt_requests_left + 1):
        c.record_sample(
            1000 if c.min_rtt_requests_left > 0 else c.min_rtt_window_end, i % 2, 100_000 if i % 2 else 10_000
        )
    assert not c.measuring_min_rtt
    c.window_start = 1000
    c.limit, c.in_flight = 36.0, 30
    for i in range(MIN_WINDOW_SAMPLES):
        c.record_sample(1000 + WINDOW_US, i % 2, 125_000 if i % 2 else 12_500)
    assert c.gradient == pytest.approx(1.0)


def test_limit_keeps_what_was_carried_while_latency_was_good():
    """Shared slowness: no lower limit makes everything faster again."""
    c = after_pass(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    start = 1000
    for _ in range(300):
        fill(c, 125_000, start)
        start += WINDOW_US
        c.in_flight = 30
    assert c.baseline_in_flight > 28
    for _ in range(40):
        if c.measuring_min_rtt:
            run_pass(c, 300_000, start)
            start = c.min_rtt_window_end
        fill(c, 300_000, start)
        start += WINDOW_US
    assert c.limit == pytest.approx(c.baseline_in_flight)


def test_a_min_rtt_measured_under_load_does_not_let_queues_grow_past_the_aim():
    c = after_pass(rtt=900_000, allowance=500_000)
    assert c.target[0] == 750_000


def test_after_a_start_usual_follows_within_two_round_trips_until_a_window_above_target():
    """A copy started into full traffic would refuse half of it for seconds."""
    c = after_pass(allowance=200_000, limit=100.0, in_flight=80)
    fill(c, 100_000)  # a window of 100 ms against round-trips of 100 ms: half the way
    assert c.baseline_in_flight == pytest.approx(40.0)
    fill(c, 300_000, start=1000 + WINDOW_US)
    c.in_flight = 80
    fill(c, 100_000, start=1000 + 2 * WINDOW_US)  # from here over 3 s
    assert c.baseline_in_flight == pytest.approx(40 + 40 / 30, rel=0.01)


def test_the_quick_start_ends_when_the_limit_does_not_bind():
    c = after_pass(allowance=200_000, limit=100.0, in_flight=20)
    fill(c, 100_000)
    assert not c.ramping and c.baseline_in_flight == pytest.approx(10.0)


def test_a_copy_whose_traffic_doubles_in_good_time_follows_within_round_trips():
    """Its neighbour is sent away: over USUAL_TIME it would refuse a part of what it could carry."""
    c = after_pass(allowance=200_000, limit=100.0, in_flight=40, baseline_in_flight=40.0, ramping=False)
    fill(c, 100_000)  # the limit does not bind: as slowly as ever
    assert not c.ramping and c.baseline_in_flight == pytest.approx(40.0)
    c.limit, c.in_flight = 100.0, 80
    fill(c, 100_000, start=1000 + WINDOW_US)
    assert c.ramping and c.baseline_in_flight == pytest.approx(60.0)


def test_failures_are_overload_where_calls_are_late_too_or_most_are_lost():
    """Peers that spoil one answer in ten are not overloaded; tiers below that jam are late as well."""
    losing = {
        (lost, late): after_pass(lost_fraction=lost, late_fraction=late).failures_mean_overload()
        for lost in (0.02, 0.1, 0.4)
        for late in (0.0, 0.5)
    }
    assert [k for k, v in losing.items() if v] == [(0.1, 0.5), (0.4, 0.0), (0.4, 0.5)]


@pytest.mark.parametrize(("lost", "usual"), [(0.0, 40.0), (0.2, 40.0), (0.5, 40 * (1 - 1 / 120))])
def test_usual_is_given_up_only_while_calls_are_lost(lost, usual):
    """Servers that slow down when crowded need rest; if calls are only late, a lower limit helps nobody."""
    c = after_pass(limit=40.0, in_flight=39, baseline_in_flight=40.0, lost_fraction=lost)
    fill(c, 1_000_000)
    assert c.baseline_in_flight == pytest.approx(usual)


def test_the_floor_falls_with_the_share_of_calls_that_succeed():
    """With servers lost below, what was carried before is far too much from one moment to the next."""
    c = after_pass(limit=40.0, in_flight=39, baseline_in_flight=40.0, lost_fraction=0.5)
    fill(c, 1_000_000)
    assert c.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_usual_is_not_lowered_while_the_limit_binds():
    c = after_pass(limit=20.0, in_flight=19, baseline_in_flight=50.0)
    fill(c, 50_000)
    assert c.baseline_in_flight == 50.0
    c.in_flight = 2
    fill(c, 50_000, start=1000 + WINDOW_US)
    assert c.baseline_in_flight < 50.0


def test_one_sample_does_not_make_a_window():
    c = after_pass(limit=20.0, in_flight=5, baseline_in_flight=15.0)
    c.record_sample(1000 + WINDOW_US, 0, 10_000_000)
    assert c.limit == 20.0 and len(c.samples) == 1


def test_floor_and_bound_are_those_of_all_copies_together():
    """Three calls for each of hundreds of copies are several times what their servers bear."""
    c = controller(members=24)
    assert c.floor == 24 * MIN_CONCURRENCY
    c.resize(24, 24, 300)
    assert c.floor == pytest.approx(0.24)
    c.min_rtt_windows, c.measuring_min_rtt, c.limit, c.baseline_in_flight, c.window_start = (
        1,
        False,
        50.0,
        0.5,
        0,
    )
    c.next_min_rtt_at = 10**12
    for i in range(20):
        c.record_sample((i + 1) * 10 * WINDOW_US, 0, 1_000_000)
    assert c.limit == pytest.approx(0.5)


def test_headroom_of_a_small_limit_does_not_outweigh_the_gradient():
    c = after_pass(limit=0.8, in_flight=1, baseline_in_flight=0.2)
    c.resize(5, 5, 100)
    fill(c, 250_000)
    assert c.gradient == pytest.approx(0.5)
    assert c.limit == pytest.approx(0.5 * 0.8 + MAX_HEADROOM_FRACTION * 0.8)


def test_a_thin_copy_is_held_to_its_limit_on_average():
    c = after_pass(limit=0.5)
    rtt = 100_000.0
    c.in_flight_changed_at, c.burst_tokens = 0, 0.0
    admitted = []
    for now in range(0, 20_000_000, 50_000):
        while admitted and admitted[0] + rtt <= now:
            c.change_in_flight(int(admitted.pop(0) + rtt), -1, 0.5, rtt)
        if c.admits(now, 0.5, rtt):
            c.change_in_flight(now, 1, 0.5, rtt)
            admitted.append(now)
            c.samples.append(1.0)
    # 20 s at half a call of 0.1 s on average: a hundred calls of the 400 that came
    assert 85 <= len(c.samples) <= 105


def test_a_thin_copy_bears_a_cluster_of_calls_after_a_lull():
    c = after_pass(limit=0.5)
    for _ in range(3):
        assert c.admits(60_000_000, 0.5, 100_000.0)
        c.change_in_flight(60_000_000, 1, 0.5, 100_000.0)
    c.burst_tokens = 10.0**9
    c.in_flight = MAX_BURST
    assert not c.admits(60_000_000, 0.5, 100_000.0)


def test_the_first_pass_binds_in_a_thin_copy():
    """Hundreds of copies that refuse nothing while they measure bury servers that never drop a call."""
    c = controller(members=24)
    c.resize(24, 60, 400)
    assert c.measuring_min_rtt and c.current_limit() == pytest.approx(
        MIN_RTT_FLOORS * 60 * MIN_CONCURRENCY / 400
    )
    c.resize(24, 600, 4000)
    assert c.current_limit() == pytest.approx(MIN_RTT_FLOORS * 60 * MIN_CONCURRENCY / 400), (
        "ten times the fleet, same copy"
    )
    c.resize(24, 24, 1)
    assert c.current_limit() == MAX_INITIAL_FACTOR * 24 * MIN_CONCURRENCY


def test_few_copies_are_not_held_to_a_small_part_in_their_first_pass():
    """Five busy copies of thirteen servers lost a tenth of their first seconds to nine calls a server."""
    c = controller(members=13)
    c.resize(13, 13, 5)
    assert c.current_limit() == MAX_INITIAL_FACTOR * 13 * MIN_CONCURRENCY


def test_a_pass_does_not_close_a_copy_that_carries_more_than_its_part():
    c = after_pass(limit=30.0, in_flight=15, baseline_in_flight=16.0)
    c.resize(10, 60, 400)
    c.start_min_rtt_window(10**9)
    assert c.current_limit() == pytest.approx(16.0)


def test_outside_passes_a_sole_copy_is_not_bound_to_a_pass_s_limit():
    c = after_pass(limit=40.0, in_flight=10, baseline_in_flight=10.0)
    fill(c, 62_500)
    assert c.limit > c.min_rtt_limit == 5 * MIN_CONCURRENCY
    assert c.limit == pytest.approx(max(2 * c.floor, 2 * 10 + sqrt(40)))


def test_one_of_few_copies_starts_with_what_such_a_copy_carries():
    """Two copies before four servers refused a fifth of the lesser class in their first seconds."""
    c = GradientController([500_000], 20_000, Random(1), 0)
    c.resize(members=4, servers=4, instances=2)
    assert c.current_limit() - c.headroom() >= 30


def test_late_calls_are_judged_once_and_a_copy_is_not_closed_by_them_again():
    """A round-trip of thirty windows: a zone was cut off for seconds, and copies stayed shut long after it."""
    c = after_pass(limit=40.0, in_flight=30, baseline_in_flight=0.0)
    fill(c, 250_000, 1000)
    lowered = c.limit
    assert lowered < 30
    for i in range(1, 31):  # what was sent before comes back as late as what has been judged
        fill(c, 3_000_000, 1000 + i * WINDOW_US)
    assert c.limit == pytest.approx(lowered * 0.5 + sqrt(lowered))  # by what is later still than that, once


def test_what_is_sent_after_a_judgement_counts_in_full():
    c = after_pass(limit=80.0, in_flight=70, baseline_in_flight=0.0)
    for i in range(3):
        limit = c.limit
        fill(c, 250_000, c.window_start + 300_000 * (i > 0))
        assert c.limit < 0.8 * limit


def test_a_window_of_paid_calls_holds_and_good_answers_let_it_grow():
    c = after_pass(limit=40.0, in_flight=30, baseline_in_flight=40.0)
    fill(c, 250_000, 1000)
    limit = c.limit
    fill(c, 250_000, c.window_start)
    assert c.limit == limit
    fill(c, 60_000, c.window_start)
    assert c.limit > limit
