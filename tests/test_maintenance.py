"""Maintenance state: its changes, its stored format, and the difference between two states."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harecross.node.maintenance import MaintenanceState, maintenance_changes


def test_entering_maintenance_twice_is_ended_by_one_exit():
    maintenance = MaintenanceState().with_server("a").with_server("a").without_server("a")
    assert maintenance == MaintenanceState()
    assert maintenance.without_server("a") == MaintenanceState()


@given(st.frozensets(st.text(max_size=8)), st.booleans(), st.data())
def test_maintenance_state_round_trips_through_its_file_and_a_truncated_file_is_rejected(
    servers, standby, data
):
    maintenance = MaintenanceState(servers, standby)
    text = maintenance.to_json()
    assert MaintenanceState.from_json(text) == maintenance
    with pytest.raises(ValueError):
        MaintenanceState.from_json(text[: data.draw(st.integers(0, len(text) - 1))])


@given(st.sets(st.text(max_size=2)), st.sets(st.text(max_size=2)))
def test_maintenance_changes_lead_from_one_state_to_the_other(old, new):
    entering, leaving = maintenance_changes(old, new)
    assert (old | set(entering)) - set(leaving) == new
    assert not set(entering) & old
    assert set(leaving) <= old
