"""Limits of one node in a fleet."""

import pytest

from harecross.policy import fleet_limits

NODE_COUNTS = (1, 40, 200, 2000)


def test_many_nodes_have_small_subsets():
    assert [fleet_limits.subset_size(120, nodes) for nodes in NODE_COUNTS] == [24, 24, 10, 10]


def test_a_subset_is_no_larger_than_the_tier():
    assert fleet_limits.subset_size(4, 1) == 4


def test_a_configured_subset_size_is_used():
    assert fleet_limits.subset_size(1000, 1, configured_size=300) == 300


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_the_floors_of_all_nodes_are_three_requests_a_server(nodes):
    assert nodes * fleet_limits.limit_floor(120, nodes) == pytest.approx(3 * 120)


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_the_min_rtt_windows_of_all_nodes_are_nine_requests_a_server_at_most(nodes):
    assert nodes * fleet_limits.min_rtt_limit(24, 120, nodes) <= 9 * 120 * max(1.0, 120 / nodes) + 1e-6


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_the_initial_limit_is_one_to_three_times_that_of_a_min_rtt_window(nodes):
    in_window = fleet_limits.min_rtt_limit(24, 120, nodes)
    assert in_window <= fleet_limits.initial_limit(24, 120, nodes) <= 72 * 3


def test_requests_that_exceed_the_zones_part_of_the_members_leave_the_zone():
    assert fleet_limits.min_cross_zone_fraction(local=1, members=24, nodes=1) == pytest.approx(23 / 24)


def test_no_request_has_to_leave_a_zone_with_its_part_of_the_members():
    assert fleet_limits.min_cross_zone_fraction(local=6, members=24, nodes=4) == 0


@pytest.mark.parametrize(
    ("previous", "on_time", "any_warm", "span_us", "expected"),
    [
        (2.0, False, False, 10**6, 0.75),  # late responses: the fraction starts again
        (1.0, True, False, 10**6, 1.5),  # responses on time: it grows
        (2.9, True, False, 10**7, 3.0),  # it grows up to the overload multiple
        (2.0, True, True, 10**6, 2.0),  # it stays the same while a member is warm
    ],
)
def test_the_all_warming_up_fraction_grows_while_responses_are_on_time(
    previous, on_time, any_warm, span_us, expected
):
    assert fleet_limits.all_warming_up_fraction(previous, 3.0, on_time, any_warm, span_us) == expected
