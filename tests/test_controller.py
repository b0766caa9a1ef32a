"""The gradient controller, compared with limits that were computed by hand."""

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
    """Adds responses of one latency until the minRTT window ends, the last of them at the window's end."""
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


def fill_window(
    controller: GradientController, latency: int, start: int = 1000, samples: int = MIN_WINDOW_SAMPLES
) -> None:
    for i in range(samples):
        controller.record_sample(start + (i + 1) * WINDOW_US // samples, 0, latency)


def test_percentile_is_nearest_rank():
    assert percentile([5.0, 1.0, 4.0, 2.0, 3.0, 6.0, 7.0, 8.0, 9.0, 10.0], 0.9) == 9.0
    assert percentile([3.0], 0.9) == 3.0


def test_the_first_min_rtt_window_of_a_single_node_allows_the_initial_limit():
    """With a lower limit, one of two nodes shed a third of its full traffic for five seconds after a restart."""
    controller = new_controller(members=5)
    assert controller.measuring_min_rtt
    assert controller.current_limit() == MAX_INITIAL_FACTOR * 5 * MIN_CONCURRENCY
    assert new_controller(members=1).current_limit() == MIN_CONCURRENCY


def test_the_requests_in_flight_of_a_first_min_rtt_window_on_target_are_the_baseline():
    controller = new_controller(members=5)
    controller.in_flight = 30
    run_min_rtt_window(controller, 100, 1000)
    assert controller.baseline_in_flight == 30


def test_a_later_min_rtt_window_lowers_the_limit():
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
    """A window that ended with its last required sample would contain short requests only: min_rtt is too low."""
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
    # With a min_rtt of 100 ms, a buffer of 25% and a window p90 of 250 ms the gradient is 0.5 and the limit
    # 0.5 x 36 + 6 = 24.
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill_window(controller, 250_000)
    assert controller.gradient == pytest.approx(0.5)
    assert controller.limit == pytest.approx(24.0)


def test_limit_grows_while_latency_is_good():
    # The p90 of 125 ms equals min_rtt plus the buffer, so the gradient is 1 and the limit 36 + 6.
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill_window(controller, 125_000)
    assert controller.limit == pytest.approx(42.0)


def test_the_limit_does_not_outgrow_the_requests_in_flight():
    controller = after_min_rtt_window(limit=100.0, in_flight=10, baseline_in_flight=10.0)
    fill_window(controller, 125_000)
    assert controller.limit == pytest.approx(2 * 10 + sqrt(100))


def test_the_buffer_reaches_up_to_the_latency_allowance():
    # min_rtt plus the buffer is 500 ms, so a p90 of 400 ms does not lower the limit.
    controller = after_min_rtt_window(allowance=500_000, limit=36.0, in_flight=30, baseline_in_flight=20.0)
    fill_window(controller, 400_000)
    assert controller.gradient == pytest.approx(1.25)


def test_an_empty_window_changes_nothing_and_one_with_few_samples_lasts_longer():
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
        fill_window(controller, 1_000_000, start)
        start += WINDOW_US
    assert controller.measuring_min_rtt
    assert controller.limit == controller.floor


def test_windows_at_the_baseline_start_no_min_rtt_window():
    """Any overload lowers the limit to the baseline; a minRTT window every few seconds would shed most traffic."""
    controller = after_min_rtt_window(limit=50.0, in_flight=40, baseline_in_flight=40.0)
    for i in range(20):
        fill_window(controller, 1_000_000, 1000 + i * WINDOW_US)
    assert controller.limit == pytest.approx(40.0)
    assert not controller.measuring_min_rtt


def test_a_min_rtt_window_recurs_after_a_jittered_interval_and_keeps_the_limit():
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    assert 60_000_000 <= controller.next_min_rtt_at - 1000 <= 66_000_000
    fill_window(controller, 125_000, controller.next_min_rtt_at)
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


def test_the_limit_does_not_fall_below_the_requests_in_flight_while_latency_was_good():
    """If all servers become slow for a reason other than load, a lower limit does not make them faster."""
    controller = after_min_rtt_window(limit=36.0, in_flight=30, baseline_in_flight=20.0)
    start = 1000
    for _ in range(300):
        fill_window(controller, 125_000, start)
        start += WINDOW_US
        controller.in_flight = 30
    assert controller.baseline_in_flight > 28
    for _ in range(40):
        if controller.measuring_min_rtt:
            run_min_rtt_window(controller, 300_000, start)
            start = controller.min_rtt_window_end
        fill_window(controller, 300_000, start)
        start += WINDOW_US
    assert controller.limit == pytest.approx(controller.baseline_in_flight)


def test_a_min_rtt_measured_under_load_does_not_let_queues_grow_past_the_objective():
    controller = after_min_rtt_window(rtt=900_000, allowance=500_000)
    assert controller.target[0] == 750_000


def test_after_a_start_the_baseline_follows_within_two_round_trips_until_a_window_above_target():
    """A node that starts under full traffic would otherwise shed half of it for seconds."""
    controller = after_min_rtt_window(allowance=200_000, limit=100.0, in_flight=80)
    # The window lasts 100 ms and two round-trips 200 ms, so the baseline moves half of the way.
    fill_window(controller, 100_000)
    assert controller.baseline_in_flight == pytest.approx(40.0)
    fill_window(controller, 300_000, start=1000 + WINDOW_US)
    controller.in_flight = 80
    fill_window(controller, 100_000, start=1000 + 2 * WINDOW_US)  # the baseline now follows over 3 s
    assert controller.baseline_in_flight == pytest.approx(40 + 40 / 30, rel=0.01)


def test_ramping_ends_when_the_limit_does_not_bind():
    controller = after_min_rtt_window(allowance=200_000, limit=100.0, in_flight=20)
    fill_window(controller, 100_000)
    assert not controller.ramping
    assert controller.baseline_in_flight == pytest.approx(10.0)


def test_the_baseline_follows_doubled_traffic_within_round_trips_while_latency_is_good():
    """When another node stops, a baseline that follows over BASELINE_SMOOTHING_US would shed requests needlessly."""
    controller = after_min_rtt_window(
        allowance=200_000, limit=100.0, in_flight=40, baseline_in_flight=40.0, ramping=False
    )
    fill_window(controller, 100_000)  # the limit does not bind, so the baseline does not ramp
    assert not controller.ramping
    assert controller.baseline_in_flight == pytest.approx(40.0)
    controller.limit, controller.in_flight = 100.0, 80
    fill_window(controller, 100_000, start=1000 + WINDOW_US)
    assert controller.ramping
    assert controller.baseline_in_flight == pytest.approx(60.0)


def test_failures_mean_overload_where_requests_are_late_too_or_most_are_lost():
    """Servers that fail one response in ten are not overloaded; an overloaded lower tier is also late."""
    overload = {
        (lost, late): after_min_rtt_window(lost_fraction=lost, late_fraction=late).failures_mean_overload()
        for lost in (0.02, 0.1, 0.4)
        for late in (0.0, 0.5)
    }
    assert [k for k, v in overload.items() if v] == [(0.1, 0.5), (0.4, 0.0), (0.4, 0.5)]


@pytest.mark.parametrize(("lost", "baseline"), [(0.0, 40.0), (0.2, 40.0), (0.5, 40 * (1 - 1 / 120))])
def test_the_baseline_decays_only_while_requests_are_lost(lost, baseline):
    """Servers that slow down under load recover with less load; if requests are only late, a lower limit is no use."""
    controller = after_min_rtt_window(limit=40.0, in_flight=39, baseline_in_flight=40.0, lost_fraction=lost)
    fill_window(controller, 1_000_000)
    assert controller.baseline_in_flight == pytest.approx(baseline)


def test_the_limit_falls_with_the_fraction_of_requests_that_succeed():
    """When servers of a lower tier are lost, the previous number of requests in flight is at once far too high."""
    controller = after_min_rtt_window(limit=40.0, in_flight=39, baseline_in_flight=40.0, lost_fraction=0.5)
    fill_window(controller, 1_000_000)
    assert controller.limit == pytest.approx(0.5 * 40 + sqrt(40))


def test_the_baseline_is_not_lowered_while_the_limit_binds():
    controller = after_min_rtt_window(limit=20.0, in_flight=19, baseline_in_flight=50.0)
    fill_window(controller, 50_000)
    assert controller.baseline_in_flight == 50.0
    controller.in_flight = 2
    fill_window(controller, 50_000, start=1000 + WINDOW_US)
    assert controller.baseline_in_flight < 50.0


def test_one_sample_does_not_make_a_window():
    controller = after_min_rtt_window(limit=20.0, in_flight=5, baseline_in_flight=15.0)
    controller.record_sample(1000 + WINDOW_US, 0, 10_000_000)
    assert controller.limit == 20.0
    assert len(controller.samples) == 1


def test_the_floor_is_divided_by_the_nodes():
    """Three requests in flight for each of hundreds of nodes would overload their servers several times over."""
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
    fill_window(controller, 250_000)
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
    # Half a request in flight on average, of 0.1 s each, allows 100 of the 400 requests in 20 s.
    assert 85 <= len(controller.samples) <= 105


def test_a_small_limit_admits_a_burst_after_an_idle_time():
    controller = after_min_rtt_window(limit=0.5)
    for _ in range(3):
        assert controller.admits(60_000_000, 0.5, 100_000.0)
        controller.change_in_flight(60_000_000, 1, 0.5, 100_000.0)
    controller.burst_tokens = 10.0**9
    controller.in_flight = MAX_BURST
    assert not controller.admits(60_000_000, 0.5, 100_000.0)


def test_the_first_min_rtt_window_binds_in_one_of_many_nodes():
    """Hundreds of nodes that shed nothing while they measure would overload servers that never reject a request."""
    controller = new_controller(members=24)
    controller.resize(24, 60, 400)
    assert controller.measuring_min_rtt
    assert controller.current_limit() == pytest.approx(MIN_RTT_FLOOR_MULTIPLE * 60 * MIN_CONCURRENCY / 400)
    controller.resize(24, 600, 4000)
    assert controller.current_limit() == pytest.approx(MIN_RTT_FLOOR_MULTIPLE * 60 * MIN_CONCURRENCY / 400), (
        "a node in a fleet ten times as large gets the same limit"
    )
    controller.resize(24, 24, 1)
    assert controller.current_limit() == MAX_INITIAL_FACTOR * 24 * MIN_CONCURRENCY


def test_the_first_min_rtt_window_does_not_bind_in_one_of_few_nodes():
    """Five busy nodes with thirteen servers shed a tenth of their first seconds' traffic at nine requests a server."""
    controller = new_controller(members=13)
    controller.resize(13, 13, 5)
    assert controller.current_limit() == MAX_INITIAL_FACTOR * 13 * MIN_CONCURRENCY


def test_the_limit_in_a_min_rtt_window_is_not_below_the_baseline():
    controller = after_min_rtt_window(limit=30.0, in_flight=15, baseline_in_flight=16.0)
    controller.resize(10, 60, 400)
    controller.start_min_rtt_window(10**9)
    assert controller.current_limit() == pytest.approx(16.0)


def test_outside_min_rtt_windows_a_single_node_is_not_bound_to_their_limit():
    controller = after_min_rtt_window(limit=40.0, in_flight=10, baseline_in_flight=10.0)
    fill_window(controller, 62_500)
    assert controller.limit > controller.min_rtt_limit == 5 * MIN_CONCURRENCY
    assert controller.limit == pytest.approx(max(2 * controller.floor, 2 * 10 + sqrt(40)))


def test_one_of_few_nodes_starts_with_a_high_limit():
    """Two nodes with four servers shed a fifth of the low-weight class in their first seconds."""
    controller = GradientController([500_000], 20_000, Random(1), 0)
    controller.resize(members=4, servers=4, instances=2)
    assert controller.current_limit() - controller.headroom() >= 30


def test_late_requests_lower_the_limit_once():
    """Round-trips may last thirty windows.

    After a network failure of a few seconds between zones, late requests kept the limits of nodes low for long.
    """
    controller = after_min_rtt_window(limit=40.0, in_flight=30, baseline_in_flight=0.0)
    fill_window(controller, 250_000, 1000)
    lowered = controller.limit
    assert lowered < 30
    for i in range(1, 31):  # requests that were sent before the decrease are as late as those that caused it
        fill_window(controller, 3_000_000, 1000 + i * WINDOW_US)
    # The requests that are later than these lower the limit once more.
    assert controller.limit == pytest.approx(lowered * 0.5 + sqrt(lowered))


def test_requests_sent_after_a_decrease_lower_the_limit_again():
    controller = after_min_rtt_window(limit=80.0, in_flight=70, baseline_in_flight=0.0)
    for i in range(3):
        limit = controller.limit
        fill_window(controller, 250_000, controller.window_start + 300_000 * (i > 0))
        assert controller.limit < 0.8 * limit


def after_a_decrease() -> GradientController:
    controller = after_min_rtt_window(limit=40.0, in_flight=30, baseline_in_flight=40.0)
    fill_window(controller, 250_000, 1000)
    return controller


def test_a_window_of_requests_sent_before_the_decrease_does_not_change_the_limit():
    controller = after_a_decrease()
    limit = controller.limit
    fill_window(controller, 250_000, controller.window_start)
    assert controller.limit == limit


def test_responses_on_target_after_a_decrease_let_the_limit_grow():
    controller = after_a_decrease()
    limit = controller.limit
    fill_window(controller, 250_000, controller.window_start)
    fill_window(controller, 60_000, controller.window_start)
    assert controller.limit > limit
