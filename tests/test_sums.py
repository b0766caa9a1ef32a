"""What nodes add up to at each server: within bounds for any seed, and over them where a division is left out."""

import json

import pytest
from typer.testing import CliRunner

from harecross.cli import app
from harecross.fleet.sums import EVENTS, Fleet, Sums
from harecross.policy import fleet_limits


def over(**fleet: object) -> dict[str, float]:
    """What is over its bound, and how many times."""
    return {k: s.most / s.bound for k, s in Sums(Fleet(**fleet)).run().items() if not s.kept}


def test_two_hundred_seeds_keep_within_the_bounds():
    for seed in range(200):
        assert not over(nodes=40, servers=30 + seed % 40, event=EVENTS[seed % 5], seed=seed, length=3.0), seed


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("nodes, servers", [(36, 115), (200, 120), (2000, 1000)])
def test_the_bounds_hold_at_any_size(nodes, servers, event):
    assert not over(nodes=nodes, servers=servers, event=event, length=6.0 if nodes < 1000 else 2.0)


def test_uneven_traffic_and_a_mass_restart_of_all_servers_push_no_cold_server_over():
    for seed in range(3):
        assert not over(nodes=200, servers=70, uneven=10.0, event="replaced", part=1.0, seed=seed, length=4.0)


@pytest.mark.parametrize(
    "name, wrong, what",
    [
        ("subset_size", lambda servers, nodes, most=0: servers, "connections"),
        ("limit_floor", lambda servers, nodes: 3.0 * servers, "calls that nobody refuses"),
        ("min_rtt_limit", lambda members, servers, nodes: 9.0 * servers, "calls of a pass"),
        ("min_rtt_limit", lambda members, servers, nodes: 3.0 * members, "calls of a pass"),
    ],
)
def test_without_the_division_by_nodes_the_sums_are_over(name, wrong, what, monkeypatch):
    monkeypatch.setattr(fleet_limits, name, wrong)
    assert what in over(nodes=400, servers=120, length=1.0)


def test_without_slow_start_cold_servers_are_pushed_over(monkeypatch):
    monkeypatch.setattr(Sums, "may_send", lambda self, node, server, at: True)
    assert over(event="returned", load=0.95, multiple=1.2, seed=3)


@pytest.mark.parametrize(
    "wrong", [{"event": "x"}, {"nodes": 0}, {"rate": 0.0}, {"uneven": 0.5}, {"part": 0.0}, {"cold_from": 1.5}]
)
def test_a_fleet_that_cannot_be_is_refused(wrong):
    with pytest.raises(ValueError, match=next(iter(wrong))):
        Fleet(**wrong)


def test_the_command_shows_sums_and_bounds_and_says_when_one_is_over(tmp_path, monkeypatch):
    def run(*words: str):
        return CliRunner().invoke(app, ["fleet", "sums", *words])

    shown = run("--nodes", "40", "--servers", "30", "--event", "herd", "--seeds", "2", "--json")
    rows = json.loads(shown.stdout)
    assert shown.exit_code == 0 and [r["seed"] for r in rows] == [1, 2]
    assert all(s["most"] <= s["bound"] * 1.001 for r in rows for s in r["sums"].values())
    table = run("--nodes", "40", "--servers", "30")
    assert table.exit_code == 0 and "handshakes a second" in table.output
    monkeypatch.setattr(fleet_limits, "limit_floor", lambda servers, nodes: 1e6)
    assert run("--nodes", "40", "--servers", "30").exit_code == 1
    bad = tmp_path / "fleet.toml"
    bad.write_text("[tier]\nuneven = 0.1\n")
    for words, says in (((str(bad),), "tier.uneven"), (("--event", "x"), "one of calm, herd")):
        wrong = run(*words)
        assert wrong.exit_code == 2 and says in wrong.output and len(wrong.output.splitlines()) == 1
