"""Maintenance state: its changes, its stored form, and what leads from one state to another."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harecross.node.maintenance import MaintenanceState, maintenance_changes


def test_taken_out_twice_and_put_back_once_is_in_use():
    held = MaintenanceState().with_server("a").with_server("a").without_server("a")
    assert held == MaintenanceState() and held.without_server("a") == MaintenanceState()


@given(st.frozensets(st.text(max_size=8)), st.booleans(), st.data())
def test_what_is_written_is_read_and_a_cut_file_is_not(out, standby, data):
    held = MaintenanceState(out, standby)
    text = held.to_json()
    assert MaintenanceState.from_json(text) == held
    with pytest.raises(ValueError):
        MaintenanceState.from_json(text[: data.draw(st.integers(0, len(text) - 1))])


@given(st.sets(st.text(max_size=2)), st.sets(st.text(max_size=2)))
def test_a_difference_leads_from_one_state_to_the_other(old, new):
    out, back = maintenance_changes(old, new)
    assert (old | set(out)) - set(back) == new and not set(out) & old and set(back) <= old
