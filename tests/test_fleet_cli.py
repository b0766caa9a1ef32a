"""`harecross fleet`: what it says, and what it says of wrong input."""

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


def call(*args: str):
    return CliRunner().invoke(app, ["fleet", "rehearse", *args])


def test_a_day_is_played_and_drawn():
    done = call("--nodes", "40", "--discovery-rate", "8")
    assert done.exit_code == 0
    assert "by arithmetic all can be answered after 7.5 s" in done.output
    assert "seconds after the trigger" in done.output


def test_a_fleet_that_stays_out_is_status_1_and_said():
    done = call("--nodes", "40", "--discovery-rate", "6", "--waits", "former", "--no-plot", "--seeds", "2")
    assert done.exit_code == 1
    assert "2 of 2 days: nodes were still without a list" in done.output


def test_json_has_a_row_for_each_seed(tmp_path):
    path = tmp_path / "day.toml"
    path.write_text('[fleet]\nnodes = 10\n[discovery]\nrate = 5\n[trigger]\nwhat = "restart"\n')
    done = call(str(path), "--json", "--seeds", "3", "--seed", "7")
    rows = json.loads(done.output)
    assert [r["seed"] for r in rows] == [7, 8, 9]
    assert all(r["recovered"] and r["nodes"] == 10 for r in rows)
    assert all(0 < r["listen_again_s"]["0.5"] <= r["listen_again_s"]["1"] for r in rows)


def test_an_interrupt_shows_the_days_played_so_far(monkeypatch):
    played = []

    def run(self):
        played.append(self.scenario.seed)
        if len(played) == 3:
            raise KeyboardInterrupt
        return whole(self)

    whole = Rehearsal.run
    monkeypatch.setattr(Rehearsal, "run", run)
    done = call("--nodes", "5", "--seeds", "9", "--no-plot")
    assert done.exit_code == 130
    assert "the worst of 2" in done.output
    assert "interrupted after 2 of 9 runs" in done.stderr


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("[fleet]\nnode = 3\n", "nodes"),
        ("[fleet]\nnodes = 0\n", ">= 1"),
        ("[discovery]\nrate = -1\n", "rate"),
        ('[trigger]\nwhat = "asleep"\n', "what"),
        ("[trigger]\nlength_s = 5\n", "length_s"),
        ("[fleet\n", "not TOML"),
    ],
)
def test_a_bad_file_is_one_line_and_status_2(tmp_path, text, says):
    path = tmp_path / "day.toml"
    path.write_text(text)
    done = call(str(path))
    assert done.exit_code == 2
    assert len(done.stderr.strip().splitlines()) == 1
    assert "day.toml" in done.stderr
    assert says in done.stderr


@pytest.mark.parametrize("args", [("--waits", "none"), ("--trigger", "asleep"), ("nowhere.toml",)])
def test_wrong_use_is_one_line_and_status_2(args):
    done = call(*args)
    assert done.exit_code == 2
    assert len(done.stderr.strip().splitlines()) == 1


def test_the_example_file_holds_what_holds_without_it(tmp_path):
    text = (ROOT / "deploy/fleet.toml").read_text()
    path = tmp_path / "day.toml"
    path.write_text(
        "\n".join(line[2:] if line.startswith("# ") and " = " in line else line for line in text.splitlines())
    )
    assert read_fleet(path) == FleetFile() == read_fleet(ROOT / "deploy/fleet.toml")
