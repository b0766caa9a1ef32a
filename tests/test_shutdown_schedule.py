"""The times of a stop, for every deadline and speed."""

from __future__ import annotations

import pytest

from harecross.node.shutdown_schedule import shutdown_schedule

CONNECTIONS_COME = 0.4  # seconds after SIGTERM (PROTOCOL, "Figures")
KILL_AFTER = 0.7  # seconds after the longest deadline, of which 3 s count
SCHEDULING = 0.05  # seconds that a busy machine may take from the last of them


@pytest.mark.parametrize("longest", [0.01, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 3.0, 10.0])
@pytest.mark.parametrize("usual", [0.0, 0.01, 0.1, 0.5, 2.0, 5.0])
def test_the_times_of_a_shutdown_are_in_order_and_before_sigkill(longest, usual):
    times = shutdown_schedule(longest, usual)
    assert 0 <= times.drain_connections_s < times.close_listener_s < times.deadline_s
    assert times.close_listener_s > CONNECTIONS_COME
    assert times.deadline_from_s <= times.deadline_s
    assert times.deadline_s <= min(longest, 3.0) + KILL_AFTER - SCHEDULING


def test_the_listener_stays_open_after_idle_connections_are_closed():
    times = shutdown_schedule(1.0, 0.1)
    assert times.close_listener_s - times.drain_connections_s >= 0.05 - 1e-9
