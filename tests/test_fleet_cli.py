"""`harecross fleet`: its output, its exit status, and its error messages for invalid input."""

import json
from pathlib import Path

import pytest

pytest.importorskip("typer")
pytest.importorskip("msgspec")

from typer.testing import CliRunner

from harecross.cli import app
from harecross.fleet.fleet_file import FleetFile, read_fleet
from harecross.fleet.rehearsal import Rehearsal

ROOT = Path(__file__).parent.parent


def run_rehearse(*args: str):
    return CliRunner().invoke(app, ["fleet", "rehearse", *args])


def test_rehearse_prints_the_recovery_times_and_a_plot():
    result = run_rehearse("--nodes", "40", "--discovery-rate", "8")
    assert result.exit_code == 0
    assert "by arithmetic all can be answered after 7.5 s" in result.output
    assert "seconds after the trigger" in result.output


def test_a_fleet_that_does_not_recover_is_reported_with_status_1():
    result = run_rehearse(
        "--nodes", "40", "--discovery-rate", "6", "--waits", "former", "--no-plot", "--seeds", "2"
    )
    assert result.exit_code == 1
    assert "2 of 2 runs: nodes were still without a list" in result.output


def test_json_has_a_row_for_each_seed(tmp_path):
    path = tmp_path / "fleet.toml"
    path.write_text('[fleet]\nnodes = 10\n[discovery]\nrate = 5\n[trigger]\nwhat = "restart"\n')
    result = run_rehearse(str(path), "--json", "--seeds", "3", "--seed", "7")
    rows = json.loads(result.output)
    assert [row["seed"] for row in rows] == [7, 8, 9]
    assert all(row["recovered"] and row["nodes"] == 10 for row in rows)
    assert all(0 < row["listen_again_s"]["0.5"] <= row["listen_again_s"]["1"] for row in rows)


def test_an_interrupt_shows_the_runs_finished_so_far(monkeypatch):
    started_seeds = []

    def run(self):
        started_seeds.append(self.scenario.seed)
        if len(started_seeds) == 3:
            raise KeyboardInterrupt
        return original_run(self)

    original_run = Rehearsal.run
    monkeypatch.setattr(Rehearsal, "run", run)
    result = run_rehearse("--nodes", "5", "--seeds", "9", "--no-plot")
    assert result.exit_code == 130
    assert "the worst of 2" in result.output
    assert "interrupted after 2 of 9 runs" in result.stderr


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[fleet]\nnode = 3\n", "nodes"),
        ("[fleet]\nnodes = 0\n", ">= 1"),
        ("[discovery]\nrate = -1\n", "rate"),
        ('[trigger]\nwhat = "asleep"\n', "what"),
        ("[trigger]\nlength_s = 5\n", "length_s"),
        ("[fleet\n", "not TOML"),
    ],
)
def test_an_invalid_file_gives_a_one_line_error_and_status_2(tmp_path, text, expected):
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    result = run_rehearse(str(path))
    assert result.exit_code == 2
    assert len(result.stderr.strip().splitlines()) == 1
    assert "fleet.toml" in result.stderr
    assert expected in result.stderr


@pytest.mark.parametrize("args", [("--waits", "none"), ("--trigger", "asleep"), ("nowhere.toml",)])
def test_an_invalid_argument_gives_a_one_line_error_and_status_2(args):
    result = run_rehearse(*args)
    assert result.exit_code == 2
    assert len(result.stderr.strip().splitlines()) == 1


def test_the_example_file_states_the_defaults(tmp_path):
    text = (ROOT / "deploy/fleet.toml").read_text()
    path = tmp_path / "fleet.toml"
    path.write_text(
        "\n".join(line[2:] if line.startswith("# ") and " = " in line else line for line in text.splitlines())
    )
    assert read_fleet(path) == FleetFile() == read_fleet(ROOT / "deploy/fleet.toml")
