"""The schedule of a shutdown, for various longest deadlines and response times."""

from __future__ import annotations

import pytest

from harecross.node.shutdown_schedule import shutdown_schedule

# Clients open new connections for this time after SIGTERM (PROTOCOL, "Figures").
NEW_CONNECTIONS_S = 0.4
# SIGKILL follows this time after the longest deadline, of which at most 3 s count.
SIGKILL_AFTER_DEADLINE_S = 0.7
# A margin before SIGKILL, for delays in scheduling on a busy machine.
SCHEDULING_MARGIN_S = 0.05


@pytest.mark.parametrize("longest_deadline", [0.01, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 3.0, 10.0])
@pytest.mark.parametrize("response_time", [0.0, 0.01, 0.1, 0.5, 2.0, 5.0])
def test_the_times_of_a_shutdown_are_in_order_and_before_sigkill(longest_deadline, response_time):
    times = shutdown_schedule(longest_deadline, response_time)
    assert 0 <= times.drain_connections_s < times.close_listener_s < times.deadline_s
    assert times.close_listener_s > NEW_CONNECTIONS_S
    assert times.deadline_from_s <= times.deadline_s
    assert times.deadline_s <= min(longest_deadline, 3.0) + SIGKILL_AFTER_DEADLINE_S - SCHEDULING_MARGIN_S


def test_the_listener_stays_open_after_idle_connections_are_closed():
    times = shutdown_schedule(1.0, 0.1)
    assert times.close_listener_s - times.drain_connections_s >= 0.05 - 1e-9
