"""The gradient controller against windows computed by hand."""

from math import sqrt
from random import Random

import pytest

from harecross.policy.controller import (
    BURST,
    HEADROOM_MOST,
    PASS_CALLS,
    WINDOW,
    WINDOW_SAMPLES,
    GradientController,
    percentile,
)
from harecross.policy.fleet_limits import LEAST_MOST, MIN_LIMIT, START_MOST


def controller(allowance: int = 100_000, members: int = 5, **state) -> GradientController:
    c = GradientController([allowance], 1000, Random(1), 0)
    c.resize(members, members, 1)
    for name, value in state.items():
        setattr(c, name, value)
    return c


def run_pass(c: GradientController, rtt: int, now: int) -> None:
    """Answers of one latency until the pass is over, the last of them at its time."""
    for _ in range(c.pass_count):
        c.sample(now, 0, rtt)
    c.sample(c.pass_until, 0, rtt)
    assert not c.in_pass


def after_pass(rtt: int = 100_000, allowance: int = 100_000, **state) -> GradientController:
    c = controller(allowance)
    run_pass(c, rtt, 1000)
    c.window_start = 1000
    for name, value in state.items():
        setattr(c, name, value)
    return c


def fill(c: GradientController, latency: int, start: int = 1000, samples: int = WINDOW_SAMPLES) -> None:
    for i in range(samples):
        c.sample(start + (i + 1) * WINDOW // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_passes_hold_the_limit_low_and_the_first_of_few_copies_less_so():
    """One of two nodes that was started again refused a third of its full traffic for five seconds."""
    c = controller(members=5)
    assert c.in_pass and c.allowed() == START_MOST * 5 * MIN_LIMIT
    assert controller(members=1).allowed() == MIN_LIMIT
    c.in_flight = 30
    run_pass(c, 100, 1000)
    assert c.usual == 30, "what the first pass carried in good time stays allowed"
    c.usual = 0
    c.start_pass(10**7)
    assert c.allowed() == 5 * MIN_LIMIT


def test_pass_sets_min_rtt_to_the_p90_of_its_calls():
    c = controller(members=5)
    calls = c.pass_count
    assert calls <= PASS_CALLS
    for i in range(calls):
        c.sample(c.pass_until if i == calls - 1 else 1000, 0, 1000 * (i + 1))
    assert not c.in_pass
    assert c.min_rtt[0] == 1000 * (calls * 9 // 10)


def test_a_pass_waits_for_long_calls():
    """Ended at its last answer a pass has seen short calls only, and min_rtt comes out too low."""
    c = controller(members=5)
    for _ in range(200):
        c.sample(c.pass_until - 1, 0, 1000)
    assert c.in_pass


def test_pass_ends_by_time_when_calls_are_few():
    c = controller()
    c.sample(10, 0, 500)
    c.sample(20, 0, 700)
    c.sample(c.pass_until + 3 * 10 * WINDOW, 0, 600)
    assert not c.in_pass and c.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # min_rtt 100 ms, buffer 25%, window p90 250 ms: gradient 0.5, limit 0.5 x 36 + 6 = 24
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    fill(c, 250_000)
    assert c.gradient == pytest.approx(0.5)
    assert c.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # p90 of 125 ms = min_rtt + B: gradient 1, limit 36 + 6
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(42.0)


def test_limit_does_not_outgrow_what_is_in_flight():
    c = after_pass(limit=100.0, in_flight=10, usual=10.0)
    fill(c, 125_000)
    assert c.limit == pytest.approx(2 * 10 + sqrt(100))


def test_buffer_reaches_to_the_part_of_the_aim():
    # min_rtt + B = 500 ms: a p90 of 400 ms does not shrink the limit
    c = after_pass(allowance=500_000, limit=36.0, in_flight=30, usual=20.0)
    fill(c, 400_000)
    assert c.gradient == pytest.approx(1.25)


def test_empty_window_changes_nothing_and_a_thin_one_waits():
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    c.roll(50 * WINDOW)
    assert c.limit == 36.0
    c.sample(WINDOW // 2, 0, 250_000)
    assert c.limit == 36.0
    c.sample(1000 + 10 * WINDOW, 0, 250_000)
    assert c.limit == pytest.approx(24.0)


def test_five_windows_at_the_floor_start_a_pass():
    c = after_pass(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if c.in_pass:
            break
        fill(c, 1_000_000, start)
        start += WINDOW
    assert c.in_pass and c.limit == c.floor


def test_windows_held_up_by_the_usual_calls_start_no_pass():
    """Any overload brings the limit down to the usual calls; a pass each few seconds would close the copy."""
    c = after_pass(limit=50.0, in_flight=40, usual=40.0)
    for i in range(20):
        fill(c, 1_000_000, 1000 + i * WINDOW)
    assert c.limit == pytest.approx(40.0) and not c.in_pass


def test_pass_recurs_after_a_jittered_interval_and_keeps_the_limit():
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    assert 60_000_000 <= c.next_pass - 1000 <= 66_000_000
    fill(c, 125_000, c.next_pass)
    assert c.in_pass and 5 * MIN_LIMIT < c.allowed() == c.usual < c.limit
    run_pass(c, 100_000, c.next_pass + 1)
    assert c.allowed() == pytest.approx(42.0)


def test_classes_count_relative_to_their_own_min_rtt():
    c = GradientController([10_000, 100_000], 1000, Random(1), 0)
    c.resize(5, 5, 1)
    for i in range(c.pass_count + 1):
        c.sample(1000 if c.pass_count > 0 else c.pass_until, i % 2, 100_000 if i % 2 else 10_000)
    assert not c.in_pass
    c.window_start = 1000
    c.limit, c.in_flight = 36.0, 30
    for i in range(WINDOW_SAMPLES):
        c.sample(1000 + WINDOW, i % 2, 125_000 if i % 2 else 12_500)
    assert c.gradient == pytest.approx(1.0)


def test_limit_keeps_what_was_carried_while_latency_was_good():
    """Shared slowness: no lower limit makes everything faster again."""
    c = after_pass(limit=36.0, in_flight=30, usual=20.0)
    start = 1000
    for _ in range(300):
        fill(c, 125_000, start)
        start += WINDOW
        c.in_flight = 30
    assert c.usual > 28
    for _ in range(40):
        if c.in_pass:
            run_pass(c, 300_000, start)
            start = c.pass_until
        fill(c, 300_000, start)
        start += WINDOW
    assert c.limit == pytest.approx(c.usual)


def test_a_min_rtt_measured_under_load_does_not_let_queues_grow_past_the_aim():
    c = after_pass(rtt=900_000, allowance=500_000)
    assert c.target[0] == 750_000


def test_after_a_start_usual_follows_within_two_round_trips_until_a_window_above_target():
    """A copy started into full traffic would refuse half of it for seconds."""
    c = after_pass(allowance=200_000, limit=100.0, in_flight=80)
    fill(c, 100_000)  # a window of 100 ms against round-trips of 100 ms: half the way
    assert c.usual == pytest.approx(40.0)
    fill(c, 300_000, start=1000 + WINDOW)
    c.in_flight = 80
    fill(c, 100_000, start=1000 + 2 * WINDOW)  # from here over 3 s
    assert c.usual == pytest.approx(40 + 40 / 30, rel=0.01)


def test_the_quick_start_ends_when_the_limit_does_not_bind():
    c = after_pass(allowance=200_000, limit=100.0, in_flight=20)
    fill(c, 100_000)
    assert not c.ramping and c.usual == pytest.approx(10.0)


def test_a_copy_whose_traffic_doubles_in_good_time_follows_within_round_trips():
    """Its neighbour is sent away: over USUAL_TIME it would refuse a part of what it could carry."""
    c = after_pass(allowance=200_000, limit=100.0, in_flight=40, usual=40.0, ramping=False)
    fill(c, 100_000)  # the limit does not bind: as slowly as ever
    assert not c.ramping and c.usual == pytest.approx(40.0)
    c.limit, c.in_flight = 100.0, 80
    fill(c, 100_000, start=1000 + WINDOW)
    assert c.ramping and c.usual == pytest.approx(60.0)


def test_failures_are_overload_where_calls_are_late_too_or_most_are_lost():
    """Peers that spoil one answer in ten are not overloaded; tiers below that jam are late as well."""
    losing = {
        (lost, late): after_pass(lost=lost, late=late).losing()
        for lost in (0.02, 0.1, 0.4)
        for late in (0.0, 0.5)
    }
    assert [k for k, v in losing.items() if v] == [(0.1, 0.5), (0.4, 0.0), (0.4, 0.5)]


@pytest.mark.parametrize(("lost", "usual"), [(0.0, 40.0), (0.2, 40.0), (0.5, 40 * (1 - 1 / 120))])
def test_usual_is_given_up_only_while_calls_are_lost(lost, usual):
    """Servers that slow down when crowded need rest; if calls are only late, a lower limit helps nobody."""
    c = after_pass(limit=40.0, in_flight=39, usual=40.0, lost=lost)
    fill(c, 1_000_000)
    assert c.usual == pytest.approx(usual)


def test_the_floor_falls_with_the_share_of_calls_that_succeed():
    """With servers lost below, what was carried before is far too much from one moment to the next."""
    c = after_pass(limit=40.0, in_flight=39, usual=40.0, lost=0.5)
    fill(c, 1_000_000)
    assert c.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_usual_is_not_lowered_while_the_limit_binds():
    c = after_pass(limit=20.0, in_flight=19, usual=50.0)
    fill(c, 50_000)
    assert c.usual == 50.0
    c.in_flight = 2
    fill(c, 50_000, start=1000 + WINDOW)
    assert c.usual < 50.0


def test_one_sample_does_not_make_a_window():
    c = after_pass(limit=20.0, in_flight=5, usual=15.0)
    c.sample(1000 + WINDOW, 0, 10_000_000)
    assert c.limit == 20.0 and len(c.samples) == 1


def test_floor_and_bound_are_those_of_all_copies_together():
    """Three calls for each of hundreds of copies are several times what their servers bear."""
    c = controller(members=24)
    assert c.floor == 24 * MIN_LIMIT
    c.resize(24, 24, 300)
    assert c.floor == pytest.approx(0.24)
    c.passes, c.in_pass, c.limit, c.usual, c.window_start = 1, False, 50.0, 0.5, 0
    c.next_pass = 10**12
    for i in range(20):
        c.sample((i + 1) * 10 * WINDOW, 0, 1_000_000)
    assert c.limit == pytest.approx(0.5)


def test_headroom_of_a_small_limit_does_not_outweigh_the_gradient():
    c = after_pass(limit=0.8, in_flight=1, usual=0.2)
    c.resize(5, 5, 100)
    fill(c, 250_000)
    assert c.gradient == pytest.approx(0.5)
    assert c.limit == pytest.approx(0.5 * 0.8 + HEADROOM_MOST * 0.8)


def test_a_thin_copy_is_held_to_its_limit_on_average():
    c = after_pass(limit=0.5)
    rtt = 100_000.0
    c.counted_at, c.credit = 0, 0.0
    admitted = []
    for now in range(0, 20_000_000, 50_000):
        while admitted and admitted[0] + rtt <= now:
            c.count(int(admitted.pop(0) + rtt), -1, 0.5, rtt)
        if c.admits(now, 0.5, rtt):
            c.count(now, 1, 0.5, rtt)
            admitted.append(now)
            c.samples.append(1.0)
    # 20 s at half a call of 0.1 s on average: a hundred calls of the 400 that came
    assert 85 <= len(c.samples) <= 105


def test_a_thin_copy_bears_a_cluster_of_calls_after_a_lull():
    c = after_pass(limit=0.5)
    for _ in range(3):
        assert c.admits(60_000_000, 0.5, 100_000.0)
        c.count(60_000_000, 1, 0.5, 100_000.0)
    c.credit = 10.0**9
    c.in_flight = BURST
    assert not c.admits(60_000_000, 0.5, 100_000.0)


def test_the_first_pass_binds_in_a_thin_copy():
    """Hundreds of copies that refuse nothing while they measure bury servers that never drop a call."""
    c = controller(members=24)
    c.resize(24, 60, 400)
    assert c.in_pass and c.allowed() == pytest.approx(LEAST_MOST * 60 * MIN_LIMIT / 400)
    c.resize(24, 600, 4000)
    assert c.allowed() == pytest.approx(LEAST_MOST * 60 * MIN_LIMIT / 400), "ten times the fleet, same copy"
    c.resize(24, 24, 1)
    assert c.allowed() == START_MOST * 24 * MIN_LIMIT


def test_few_copies_are_not_held_to_a_small_part_in_their_first_pass():
    """Five busy copies of thirteen servers lost a tenth of their first seconds to nine calls a server."""
    c = controller(members=13)
    c.resize(13, 13, 5)
    assert c.allowed() == START_MOST * 13 * MIN_LIMIT


def test_a_pass_does_not_close_a_copy_that_carries_more_than_its_part():
    c = after_pass(limit=30.0, in_flight=15, usual=16.0)
    c.resize(10, 60, 400)
    c.start_pass(10**9)
    assert c.allowed() == pytest.approx(16.0)


def test_outside_passes_a_sole_copy_is_not_bound_to_a_pass_s_limit():
    c = after_pass(limit=40.0, in_flight=10, usual=10.0)
    fill(c, 62_500)
    assert c.limit > c.pass_limit == 5 * MIN_LIMIT
    assert c.limit == pytest.approx(max(2 * c.floor, 2 * 10 + sqrt(40)))


def test_one_of_few_copies_starts_with_what_such_a_copy_carries():
    """Two copies before four servers refused a fifth of the lesser class in their first seconds."""
    c = GradientController([500_000], 20_000, Random(1), 0)
    c.resize(members=4, servers=4, instances=2)
    assert c.allowed() - c.headroom() >= 30


def test_late_calls_are_judged_once_and_a_copy_is_not_closed_by_them_again():
    """A round-trip of thirty windows: a zone was cut off for seconds, and copies stayed shut long after it."""
    c = after_pass(limit=40.0, in_flight=30, usual=0.0)
    fill(c, 250_000, 1000)
    lowered = c.limit
    assert lowered < 30
    for i in range(1, 31):  # what was sent before comes back as late as what has been judged
        fill(c, 3_000_000, 1000 + i * WINDOW)
    assert c.limit == pytest.approx(lowered * 0.5 + sqrt(lowered))  # by what is later still than that, once


def test_what_is_sent_after_a_judgement_counts_in_full():
    c = after_pass(limit=80.0, in_flight=70, usual=0.0)
    for i in range(3):
        limit = c.limit
        fill(c, 250_000, c.window_start + 300_000 * (i > 0))
        assert c.limit < 0.8 * limit


def test_a_window_of_paid_calls_holds_and_good_answers_let_it_grow():
    c = after_pass(limit=40.0, in_flight=30, usual=40.0)
    fill(c, 250_000, 1000)
    limit = c.limit
    fill(c, 250_000, c.window_start)
    assert c.limit == limit
    fill(c, 60_000, c.window_start)
    assert c.limit > limit
