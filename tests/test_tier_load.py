"""The load of all nodes on each server: within its bounds, unless a limit is not divided by the number of nodes."""

import json

import pytest
from typer.testing import CliRunner

from harecross.cli import app
from harecross.fleet.tier_load import TierLoad
from harecross.fleet.tier_scenario import TierEvent, TierScenario
from harecross.policy import fleet_limits


def exceeded_sums(**scenario: object) -> dict[str, float]:
    """Returns the sums that exceed their bounds, as multiples of the bounds."""
    sums = TierLoad(TierScenario(**scenario)).run()
    return {name: entry.highest / entry.bound for name, entry in sums.items() if not entry.within_bound}


def test_two_hundred_seeds_keep_within_the_bounds():
    for seed in range(200):
        assert not exceeded_sums(
            nodes=40, servers=30 + seed % 40, event=list(TierEvent)[seed % 5], seed=seed, duration=3.0
        ), seed


@pytest.mark.parametrize("event", TierEvent)
@pytest.mark.parametrize(("nodes", "servers"), [(36, 115), (200, 120), (2000, 1000)])
def test_the_bounds_hold_at_any_size(nodes, servers, event):
    assert not exceeded_sums(nodes=nodes, servers=servers, event=event, duration=6.0 if nodes < 1000 else 2.0)


def test_uneven_traffic_and_a_restart_of_all_servers_overload_no_server_that_warms_up():
    for seed in range(3):
        assert not exceeded_sums(
            nodes=200,
            servers=70,
            traffic_skew=10.0,
            event=TierEvent.REPLACED,
            event_fraction=1.0,
            seed=seed,
            duration=4.0,
        )


@pytest.mark.parametrize(
    ("name", "undivided_limit", "exceeded_sum"),
    [
        ("subset_size", lambda servers, nodes, most=0: servers, "connections"),
        ("limit_floor", lambda servers, nodes: 3.0 * servers, "calls that nobody refuses"),
        ("min_rtt_limit", lambda members, servers, nodes: 9.0 * servers, "calls of a pass"),
        ("min_rtt_limit", lambda members, servers, nodes: 3.0 * members, "calls of a pass"),
    ],
)
def test_without_the_division_by_nodes_a_sum_exceeds_its_bound(
    name, undivided_limit, exceeded_sum, monkeypatch
):
    monkeypatch.setattr(fleet_limits, name, undivided_limit)
    assert exceeded_sum in exceeded_sums(nodes=400, servers=120, duration=1.0)


def test_without_slow_start_servers_that_warm_up_are_overloaded(monkeypatch):
    monkeypatch.setattr(TierLoad, "may_send", lambda self, node, server, at: True)
    assert exceeded_sums(event=TierEvent.RETURNED, utilization=0.95, overload_multiple=1.2, seed=3)


@pytest.mark.parametrize(
    "invalid_values",
    [
        {"event": "x"},
        {"nodes": 0},
        {"requests_per_second": 0.0},
        {"traffic_skew": 0.5},
        {"event_fraction": 0.0},
        {"slow_start_capacity": 1.5},
    ],  # fmt: skip
)
def test_a_scenario_with_an_invalid_value_is_rejected(invalid_values):
    with pytest.raises(ValueError, match=next(iter(invalid_values))):
        TierScenario(**invalid_values)


def test_the_command_shows_sums_and_bounds_and_exits_1_when_one_is_exceeded(tmp_path, monkeypatch):
    def run(*arguments: str):
        return CliRunner().invoke(app, ["fleet", "sums", *arguments])

    json_result = run("--nodes", "40", "--servers", "30", "--event", "herd", "--seeds", "2", "--json")
    rows = json.loads(json_result.stdout)
    assert json_result.exit_code == 0
    assert [row["seed"] for row in rows] == [1, 2]
    assert all(entry["most"] <= entry["bound"] * 1.001 for row in rows for entry in row["sums"].values())
    table = run("--nodes", "40", "--servers", "30")
    assert table.exit_code == 0
    assert "handshakes a second" in table.output
    monkeypatch.setattr(fleet_limits, "limit_floor", lambda servers, nodes: 1e6)
    assert run("--nodes", "40", "--servers", "30").exit_code == 1
    invalid_file = tmp_path / "fleet.toml"
    invalid_file.write_text("[tier]\nuneven = 0.1\n")
    for arguments, message in (
        ((str(invalid_file),), "tier.uneven"),
        (("--event", "x"), "one of calm, herd"),
    ):
        result = run(*arguments)
        assert result.exit_code == 2
        assert message in result.output
        assert len(result.output.splitlines()) == 1
