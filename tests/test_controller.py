"""The gradient controller against windows computed by hand."""

from math import sqrt
from random import Random

import pytest

from harecross.policy.controller import (
    MAX_BURST,
    MAX_HEADROOM_FRACTION,
    MIN_RTT_REQUESTS,
    MIN_WINDOW_SAMPLES,
    WINDOW_US,
    GradientController,
    percentile,
)
from harecross.policy.fleet_limits import MAX_INITIAL_FACTOR, MIN_CONCURRENCY, MIN_RTT_FLOOR_MULTIPLE


def new_controller(allowance: int = 100_000, members: int = 5, **state) -> GradientController:
    controller = GradientController([allowance], 1000, Random(1), 0)
    controller.resize(members, members, 1)
    for name, value in state.items():
        setattr(controller, name, value)
    return controller


def run_min_rtt_window(controller: GradientController, rtt: int, now: int) -> None:
    """Answers of one latency until the minRTT window is over, the last of them at its time."""
    for _ in range(controller.min_rtt_requests_left):
        controller.record_sample(now, 0, rtt)
    controller.record_sample(controller.min_rtt_window_end, 0, rtt)
    assert not controller.measuring_min_rtt


def after_min_rtt_window(rtt: int = 100_000, allowance: int = 100_000, **state) -> GradientController:
    controller = new_controller(allowance)
    run_min_rtt_window(controller, rtt, 1000)
    controller.window_start = 1000
    for name, value in state.items():
        setattr(controller, name, value)
    return controller


def fill(
    controller: GradientController, latency: int, start: int = 1000, samples: int = MIN_WINDOW_SAMPLES
) -> None:
    for i in range(samples):
        controller.record_sample(start + (i + 1) * WINDOW_US // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_the_first_min_rtt_window_of_a_single_node_allows_the_initial_limit():
    """One of two nodes that was started again refused a third of its full traffic for five seconds."""
    controller = new_controller(members=5)
    assert controller.measuring_min_rtt
    assert controller.current_limit() == MAX_INITIAL_FACTOR * 5 * MIN_CONCURRENCY
    assert new_controller(members=1).current_limit() == MIN_CONCURRENCY


def test_what_the_first_min_rtt_window_carried_in_good_time_is_the_baseline():
    controller = new_controller(members=5)
    controller.in_flight = 30
    run_min_rtt_window(controller, 100, 1000)
    assert controller.baseline_in_flight == 30


def test_a_later_min_rtt_window_holds_the_limit_low():
    controller = new_controller(members=5)
    controller.in_flight = 30
    run_min_rtt_window(controller, 100, 1000)
    controller.baseline_in_flight = 0
    controller.start_min_rtt_window(10**7)
    assert controller.current_limit() == 5 * MIN_CONCURRENCY


def test_a_min_rtt_window_sets_min_rtt_to_the_90th_percentile_of_its_samples():
    controller = new_controller(members=5)
    samples = controller.min_rtt_requests_left
    assert samples <= MIN_RTT_REQUESTS
    for i in range(samples):
        controller.record_sample(
            controller.min_rtt_window_end if i == samples - 1 else 1000, 0, 1000 * (i + 1)
        )
    assert not controller.measuring_min_rtt
    assert controller.min_rtt[0] == 1000 * (samples * 9 // 10)


def test_a_min_rtt_window_waits_for_long_requests():
    """Ended at its last answer a window has seen short requests only, and min_rtt comes out too low."""
    controller = new_controller(members=5)
    for _ in range(200):
        controller.record_sample(controller.min_rtt_window_end - 1, 0, 1000)
    assert controller.measuring_min_rtt


def test_a_min_rtt_window_with_few_samples_ends_by_time():
    controller = new_controller()
    controller.record_sample(10, 0, 500)
    controller.record_sample(20, 0, 700)
    controller.record_sample(controller.min_rtt_window_end + 3 * 10 * WINDOW_US, 0, 600)
    assert not controller.measuring_min_rtt
    assert controller.min_rtt[0] == 700


def test_limit_follows_gradient_and_square_root_headroom():
    # min_rtt 100 ms, buffer 25%, window p90 250 ms: gradient 0.5, limit 0.5 x 36 + 6 = 24
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill(controller, 250_000)
    assert controller.gradient == pytest.approx(0.5)
    assert controller.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # p90 of 125 ms = min_rtt + B: gradient 1, limit 36 + 6
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill(controller, 125_000)
    assert controller.limit == pytest.approx(42.0)


def test_the_limit_does_not_outgrow_the_requests_in_flight():
    controller = after_min_rtt_window(limit=100.0, in_flight=10, baseline_in_flight=10.0)
    fill(controller, 125_000)
    assert controller.limit == pytest.approx(2 * 10 + sqrt(100))


def test_the_buffer_reaches_up_to_the_latency_allowance():
    # min_rtt + B = 500 ms: a p90 of 400 ms does not shrink the limit
    controller = after_min_rtt_window(allowance=500_000, limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill(controller, 400_000)
    assert controller.gradient == pytest.approx(1.25)


def test_empty_window_changes_nothing_and_a_thin_one_waits():
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    controller.close_window_if_due(50 * WINDOW_US)
    assert controller.limit == 36.0
    controller.record_sample(WINDOW_US // 2, 0, 250_000)
    assert controller.limit == 36.0
    controller.record_sample(1000 + 10 * WINDOW_US, 0, 250_000)
    assert controller.limit == pytest.approx(24.0)


def test_five_windows_at_the_floor_start_a_min_rtt_window():
    controller = after_min_rtt_window(limit=6.0, in_flight=3)
    start = 1000
    for _ in range(20):
        if controller.measuring_min_rtt:
            break
        fill(controller, 1_000_000, start)
        start += WINDOW_US
    assert controller.measuring_min_rtt
    assert controller.limit == controller.floor


def test_windows_at_the_baseline_start_no_min_rtt_window():
    """Any overload brings the limit down to the baseline; a minRTT window each few seconds would close the node."""
    controller = after_min_rtt_window(limit=50.0, in_flight=40, baseline_in_flight=40.0)
    for i in range(20):
        fill(controller, 1_000_000, 1000 + i * WINDOW_US)
    assert controller.limit == pytest.approx(40.0)
    assert not controller.measuring_min_rtt


def test_a_min_rtt_window_recurs_after_a_jittered_interval_and_keeps_the_limit():
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    assert 60_000_000 <= controller.next_min_rtt_at - 1000 <= 66_000_000
    fill(controller, 125_000, controller.next_min_rtt_at)
    assert controller.measuring_min_rtt
    assert (
        5 * MIN_CONCURRENCY < controller.current_limit() == controller.baseline_in_flight < controller.limit
    )
    run_min_rtt_window(controller, 100_000, controller.next_min_rtt_at + 1)
    assert controller.current_limit() == pytest.approx(42.0)


def test_classes_count_relative_to_their_own_min_rtt():
    controller = GradientController([10_000, 100_000], 1000, Random(1), 0)
    controller.resize(5, 5, 1)
    for i in range(controller.min_rtt_requests_left + 1):
        controller.record_sample(
            1000 if controller.min_rtt_requests_left > 0 else controller.min_rtt_window_end,
            i % 2,
            100_000 if i % 2 else 10_000,
        )
    assert not controller.measuring_min_rtt
    controller.window_start = 1000
    controller.limit, controller.in_flight = 36.0, 30
    for i in range(MIN_WINDOW_SAMPLES):
        controller.record_sample(1000 + WINDOW_US, i % 2, 125_000 if i % 2 else 12_500)
    assert controller.gradient == pytest.approx(1.0)


def test_limit_keeps_what_was_carried_while_latency_was_good():
    """Shared slowness: no lower limit makes everything faster again."""
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    start = 1000
    for _ in range(300):
        fill(controller, 125_000, start)
        start += WINDOW_US
        controller.in_flight = 30
    assert controller.baseline_in_flight > 28
    for _ in range(40):
        if controller.measuring_min_rtt:
            run_min_rtt_window(controller, 300_000, start)
            start = controller.min_rtt_window_end
        fill(controller, 300_000, start)
        start += WINDOW_US
    assert controller.limit == pytest.approx(controller.baseline_in_flight)


def test_a_min_rtt_measured_under_load_does_not_let_queues_grow_past_the_objective():
    controller = after_min_rtt_window(rtt=900_000, allowance=500_000)
    assert controller.target[0] == 750_000


def test_after_a_start_the_baseline_follows_within_two_round_trips_until_a_window_above_target():
    """A node started into full traffic would refuse half of it for seconds."""
    controller = after_min_rtt_window(allowance=200_000, limit=100.0, in_flight=80)
    fill(controller, 100_000)  # a window of 100 ms against round-trips of 100 ms: half the way
    assert controller.baseline_in_flight == pytest.approx(40.0)
    fill(controller, 300_000, start=1000 + WINDOW_US)
    controller.in_flight = 80
    fill(controller, 100_000, start=1000 + 2 * WINDOW_US)  # from here over 3 s
    assert controller.baseline_in_flight == pytest.approx(40 + 40 / 30, rel=0.01)


def test_the_quick_start_ends_when_the_limit_does_not_bind():
    controller = after_min_rtt_window(allowance=200_000, limit=100.0, in_flight=20)
    fill(controller, 100_000)
    assert not controller.ramping
    assert controller.baseline_in_flight == pytest.approx(10.0)


def test_the_baseline_follows_traffic_that_doubles_in_good_time_within_round_trips():
    """Its neighbour is sent away: over BASELINE_SMOOTHING_US it would refuse a part of what it could carry."""
    controller = after_min_rtt_window(
        allowance=200_000, limit=100.0, in_flight=40, baseline_in_flight=40.0, ramping=False
    )
    fill(controller, 100_000)  # the limit does not bind: as slowly as ever
    assert not controller.ramping
    assert controller.baseline_in_flight == pytest.approx(40.0)
    controller.limit, controller.in_flight = 100.0, 80
    fill(controller, 100_000, start=1000 + WINDOW_US)
    assert controller.ramping
    assert controller.baseline_in_flight == pytest.approx(60.0)


def test_failures_mean_overload_where_requests_are_late_too_or_most_are_lost():
    """Peers that spoil one answer in ten are not overloaded; tiers below that jam are late as well."""
    losing = {
        (lost, late): after_min_rtt_window(lost_fraction=lost, late_fraction=late).failures_mean_overload()
        for lost in (0.02, 0.1, 0.4)
        for late in (0.0, 0.5)
    }
    assert [k for k, v in losing.items() if v] == [(0.1, 0.5), (0.4, 0.0), (0.4, 0.5)]


@pytest.mark.parametrize(("lost", "baseline"), [(0.0, 40.0), (0.2, 40.0), (0.5, 40 * (1 - 1 / 120))])
def test_the_baseline_decays_only_while_requests_are_lost(lost, baseline):
    """Servers that slow down when crowded need rest; if requests are only late, a lower limit helps nobody."""
    controller = after_min_rtt_window(limit=40.0, in_flight=39, baseline_in_flight=40.0, lost_fraction=lost)
    fill(controller, 1_000_000)
    assert controller.baseline_in_flight == pytest.approx(baseline)


def test_the_limit_falls_with_the_part_of_requests_that_succeed():
    """With servers lost below, what was carried before is far too much from one moment to the next."""
    controller = after_min_rtt_window(limit=40.0, in_flight=39, baseline_in_flight=40.0, lost_fraction=0.5)
    fill(controller, 1_000_000)
    assert controller.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_the_baseline_is_not_lowered_while_the_limit_binds():
    controller = after_min_rtt_window(limit=20.0, in_flight=19, baseline_in_flight=50.0)
    fill(controller, 50_000)
    assert controller.baseline_in_flight == 50.0
    controller.in_flight = 2
    fill(controller, 50_000, start=1000 + WINDOW_US)
    assert controller.baseline_in_flight < 50.0


def test_one_sample_does_not_make_a_window():
    controller = after_min_rtt_window(limit=20.0, in_flight=5, baseline_in_flight=15.0)
    controller.record_sample(1000 + WINDOW_US, 0, 10_000_000)
    assert controller.limit == 20.0
    assert len(controller.samples) == 1


def test_the_floor_is_divided_by_the_nodes():
    """Three requests for each of hundreds of nodes are several times what their servers bear."""
    controller = new_controller(members=24)
    assert controller.floor == 24 * MIN_CONCURRENCY
    controller.resize(24, 24, 300)
    assert controller.floor == pytest.approx(0.24)
    (
        controller.min_rtt_windows,
        controller.measuring_min_rtt,
        controller.limit,
        controller.baseline_in_flight,
        controller.window_start,
    ) = (
        1,
        False,
        50.0,
        0.5,
        0,
    )
    controller.next_min_rtt_at = 10**12
    for i in range(20):
        controller.record_sample((i + 1) * 10 * WINDOW_US, 0, 1_000_000)
    assert controller.limit == pytest.approx(0.5)


def test_headroom_of_a_small_limit_does_not_outweigh_the_gradient():
    controller = after_min_rtt_window(limit=0.8, in_flight=1, baseline_in_flight=0.2)
    controller.resize(5, 5, 100)
    fill(controller, 250_000)
    assert controller.gradient == pytest.approx(0.5)
    assert controller.limit == pytest.approx(0.5 * 0.8 + MAX_HEADROOM_FRACTION * 0.8)


def test_a_small_limit_is_kept_on_average():
    controller = after_min_rtt_window(limit=0.5)
    rtt = 100_000.0
    controller.in_flight_changed_at, controller.burst_tokens = 0, 0.0
    admitted = []
    for now in range(0, 20_000_000, 50_000):
        while admitted and admitted[0] + rtt <= now:
            controller.change_in_flight(int(admitted.pop(0) + rtt), -1, 0.5, rtt)
        if controller.admits(now, 0.5, rtt):
            controller.change_in_flight(now, 1, 0.5, rtt)
            admitted.append(now)
            controller.samples.append(1.0)
    # 20 s at half a request of 0.1 s on average: a hundred requests of the 400 that came
    assert 85 <= len(controller.samples) <= 105


def test_a_small_limit_admits_a_burst_after_a_lull():
    controller = after_min_rtt_window(limit=0.5)
    for _ in range(3):
        assert controller.admits(60_000_000, 0.5, 100_000.0)
        controller.change_in_flight(60_000_000, 1, 0.5, 100_000.0)
    controller.burst_tokens = 10.0**9
    controller.in_flight = MAX_BURST
    assert not controller.admits(60_000_000, 0.5, 100_000.0)


def test_the_first_min_rtt_window_binds_in_one_of_many_nodes():
    """Hundreds of nodes that refuse nothing while they measure bury servers that never drop a request."""
    controller = new_controller(members=24)
    controller.resize(24, 60, 400)
    assert controller.measuring_min_rtt
    assert controller.current_limit() == pytest.approx(MIN_RTT_FLOOR_MULTIPLE * 60 * MIN_CONCURRENCY / 400)
    controller.resize(24, 600, 4000)
    assert controller.current_limit() == pytest.approx(MIN_RTT_FLOOR_MULTIPLE * 60 * MIN_CONCURRENCY / 400), (
        "ten times the fleet, same node"
    )
    controller.resize(24, 24, 1)
    assert controller.current_limit() == MAX_INITIAL_FACTOR * 24 * MIN_CONCURRENCY


def test_the_first_min_rtt_window_does_not_bind_in_one_of_few_nodes():
    """Five busy nodes of thirteen servers lost a tenth of their first seconds to nine requests a server."""
    controller = new_controller(members=13)
    controller.resize(13, 13, 5)
    assert controller.current_limit() == MAX_INITIAL_FACTOR * 13 * MIN_CONCURRENCY


def test_in_a_min_rtt_window_the_baseline_stays_allowed():
    controller = after_min_rtt_window(limit=30.0, in_flight=15, baseline_in_flight=16.0)
    controller.resize(10, 60, 400)
    controller.start_min_rtt_window(10**9)
    assert controller.current_limit() == pytest.approx(16.0)


def test_outside_min_rtt_windows_a_single_node_is_not_bound_to_their_limit():
    controller = after_min_rtt_window(limit=40.0, in_flight=10, baseline_in_flight=10.0)
    fill(controller, 62_500)
    assert controller.limit > controller.min_rtt_limit == 5 * MIN_CONCURRENCY
    assert controller.limit == pytest.approx(max(2 * controller.floor, 2 * 10 + sqrt(40)))


def test_one_of_few_nodes_starts_with_a_high_limit():
    """Two nodes before four servers refused a fifth of the lesser class in their first seconds."""
    controller = GradientController([500_000], 20_000, Random(1), 0)
    controller.resize(members=4, servers=4, instances=2)
    assert controller.current_limit() - controller.headroom() >= 30


def test_late_requests_lower_the_limit_once():
    """A round-trip of thirty windows: a zone was cut off for seconds, and nodes stayed shut long after it."""
    controller = after_min_rtt_window(limit=40.0, in_flight=30, baseline_in_flight=0.0)
    fill(controller, 250_000, 1000)
    lowered = controller.limit
    assert lowered < 30
    for i in range(1, 31):  # what was sent before comes back as late as what has been judged
        fill(controller, 3_000_000, 1000 + i * WINDOW_US)
    assert controller.limit == pytest.approx(
        lowered * 0.5 + sqrt(lowered)
    )  # by what is later still than that, once


def test_requests_sent_after_a_decrease_lower_the_limit_again():
    controller = after_min_rtt_window(limit=80.0, in_flight=70, baseline_in_flight=0.0)
    for i in range(3):
        limit = controller.limit
        fill(controller, 250_000, controller.window_start + 300_000 * (i > 0))
        assert controller.limit < 0.8 * limit


def after_a_decrease() -> GradientController:
    controller = after_min_rtt_window(limit=40.0, in_flight=30, baseline_in_flight=40.0)
    fill(controller, 250_000, 1000)
    return controller


def test_a_window_of_requests_sent_before_the_decrease_holds_the_limit():
    controller = after_a_decrease()
    limit = controller.limit
    fill(controller, 250_000, controller.window_start)
    assert controller.limit == limit


def test_good_answers_after_a_decrease_let_the_limit_grow():
    controller = after_a_decrease()
    limit = controller.limit
    fill(controller, 250_000, controller.window_start)
    fill(controller, 60_000, controller.window_start)
    assert controller.limit > limit
