"""The command line as operators use it: exit status 0, or a one-line error and status 2; no process is left over."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

TRACES = Path(__file__).parent / "traces"
TASKS = str(TRACES / "google_tasks.csv")
PROGRAM = [sys.executable, "-m", "harecross"]


def call(*args: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [*PROGRAM, *args], capture_output=True, text=True, timeout=120, env={**os.environ, **env}
    )


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (["trace", "inspect", "/nowhere.csv"], "/nowhere.csv: no such file"),
        (["trace", "inspect", "/"], "/: is a folder"),
        (
            ["trace", "inspect", TASKS, "--format", "google-2099"],
            "unknown format 'google-2099' (allowed: google-2011",
        ),
        (
            ["trace", "inspect", TASKS, "--format", "azure-functions-2021"],
            "do not match azure-functions-2021",
        ),
        (["trace", "inspect", TASKS, "--format", "generic"], "requires --mapping"),
        (["trace", "inspect", TASKS, "--late", "keep"], "--late keep: allowed are drop and clamp"),
        (["replay", TASKS, "--speed", "0"], "--speed: must be above 0"),
        (["replay", TASKS, "--sample", "2"], "--sample: must be above 0, at most 1"),
        (["replay", TASKS, "--event", "1:burn:s0"], "--event 1:burn:s0: SECONDS:WHAT:NAME"),
        (["replay", TASKS, "--from", "100"], "no request in the part"),
    ],
)
def test_invalid_input_is_an_error_of_one_line_and_status_2(args, message):
    done = call(*args)
    assert done.returncode == 2
    assert done.stdout == ""
    assert message in done.stderr
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith("harecross: ")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[log]\nreport_every_s = 0\n", "`$.log.report_every_s`"),
        ("[log]\nreport = 1\n", "(allowed: attempts, report_every_s)"),
        ("[lag]\n", "(allowed: listen, log, sources, xds)"),
        ("[listen]\nbacklog = 'many'\n", "`$.listen.backlog`"),
        ("[log\n", "not TOML"),
    ],
)
def test_an_invalid_operators_file_ends_the_node_with_one_line(tmp_path, text, message):
    path = tmp_path / "h.toml"
    path.write_text(text)
    config = tmp_path / "c.json"
    config.write_text(json.dumps({}))
    for args, env in ((["node", "--config", str(path)], {}), (["node"], {"HARECROSS_CONFIG": str(path)})):
        done = call(*args, LB_CONFIG=str(config), **env)
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
    # The node reads its configuration first, so the message about the operators' file is checked here.
    from harecross.node.config import ConfigError
    from harecross.node.operators_file import options_from_operators_file

    os.environ["HARECROSS_CONFIG"] = str(path)
    try:
        with pytest.raises(ConfigError) as e:
            options_from_operators_file()
    finally:
        del os.environ["HARECROSS_CONFIG"]
    assert message in str(e.value)
    assert str(path) in str(e.value)


def test_the_example_of_the_operators_file_changes_nothing():
    from harecross.operators import OperatorsFile, read_toml

    path = Path(__file__).parent.parent / "deploy" / "harecross.toml"
    assert read_toml(path, OperatorsFile) == OperatorsFile()
    # The commented keys show the default values.
    text = "\n".join(
        line.removeprefix("# ") if " = " in line else line for line in path.read_text().split("\n")
    )
    uncommented = path.parent / "given.toml"
    try:
        uncommented.write_text(text)
        assert read_toml(uncommented, OperatorsFile) == OperatorsFile()
    finally:
        uncommented.unlink()


def test_a_process_is_registered_before_most_of_the_program_is_loaded():
    """Guards against a running process that makes room for a starting one when that has taken its size."""
    text = (
        "import sys, harecross.node.__main__; print(sys.modules.keys() & {'uvloop', 'harecross.node.node'})"
    )
    names = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True).stdout
    assert names.strip() == "set()"


def test_a_node_starts_without_importing_any_extra():
    text = "import sys, harecross.node.__main__, harecross.node.launch; print([m for m in sys.modules])"
    names = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True).stdout
    for extra in (
        "msgspec",
        "typer",
        "rich",
        "polars",
        "numpy",
        "hdrh",
        "grpc",
        "envoy",
        "harecross.xds",
        "harecross.operators",
        "harecross.standins",
    ):
        assert f"'{extra}'" not in names


def test_inspect_prints_stable_keys():
    report = json.loads(call("trace", "inspect", TASKS, "--json", "-").stdout)
    keys = (
        "format",
        "rows_read",
        "rows_kept",
        "rows_dropped",
        "rows_reordered",
        "requests",
        "span_s",
        "peak_rps",
        "classes",
    )
    assert all(k in report for k in keys)


def test_a_replay_writes_its_report_and_its_page(tmp_path):
    out, html = tmp_path / "r.json", tmp_path / "r.html"
    done = call("replay", TASKS, "--servers", "2", "--nodes", "1", "--json", str(out), "--html", str(html))
    assert done.returncode == 0, done.stderr
    report = json.loads(out.read_text())
    keys = (
        "asked", "served_in_time", "served_late", "refused", "failed", "worth_asked", "worth_in_time", "service",
        "valid", "by_class", "windows",
    )  # fmt: skip
    assert all(k in report for k in keys)
    assert report["asked"] == 5
    text = html.read_text()
    assert text.startswith("<!doctype html>")
    assert "http://" not in text
    assert "<script" not in text


def children_of(parent: int) -> list[int]:
    """Returns the ids of the child processes of `parent`."""
    found = []
    for entry in os.listdir("/proc"):
        if entry.isdigit():
            try:
                fields = Path(f"/proc/{entry}/stat").read_text().rsplit(")", 1)[1].split()
            except (FileNotFoundError, ProcessLookupError):
                continue
            if int(fields[1]) == parent:
                found.append(int(entry))
    return found


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] != "Z"
    except (FileNotFoundError, ProcessLookupError):
        return False


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_demo_leaves_no_process_behind(number):
    demo = subprocess.Popen([*PROGRAM, "demo"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
    until = time.monotonic() + 60
    while len(children := children_of(demo.pid)) < 4 and time.monotonic() < until:
        time.sleep(0.05)
    assert len(children) == 4  # the simulated servers' process and three nodes
    demo.send_signal(number)
    _, err = demo.communicate(timeout=60)
    assert demo.returncode == (130 if number == signal.SIGINT else -number)
    if number == signal.SIGINT:
        assert err == "harecross: interrupted; nothing is left running\n"
    while any(map(alive, children)) and time.monotonic() < until:
        time.sleep(0.05)
    assert not any(map(alive, children))


def test_the_demo_prints_its_request_classes_and_events():
    done = call("demo")
    assert done.returncode == 0, done.stderr
    for text in ("latest", "log-reading", "service", "slow s0 x8", "drain s1"):
        assert text in done.stdout


def test_the_control_service_needs_only_its_own_extra():
    """An installation with only the extra `xds` must be able to import the control service."""
    text = (
        "import sys, harecross.cli, harecross.console; "
        "import harecross.xds.service, harecross.xds.status_client, harecross.xds.worker; "
        "print([m for m in ('polars', 'numpy', 'zstandard', 'trustme', 'pytest') if m in sys.modules])"
    )
    pytest.importorskip("grpc")
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, timeout=60)
    assert done.stdout == "[]\n", done.stderr


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[xds]\nlisten = '0.0.0.0:1'\n", "xds.listen: '0.0.0.0:1' is not loopback"),
        ("[xds]\nlisten = 'here'\n", "xds.listen: 'here' is not HOST:PORT"),
        ("[xds]\nlisten = '127.0.0.1:0'\nplaintext = 'yes'\n", "`$.xds.plaintext`"),
    ],
)
def test_an_invalid_embedded_xds_listener_is_an_error_of_one_line(tmp_path, monkeypatch, text, message):
    from harecross.node.config import ConfigError
    from harecross.node.operators_file import options_from_operators_file

    pytest.importorskip("grpc")
    path = tmp_path / "h.toml"
    path.write_text(text)
    monkeypatch.setenv("HARECROSS_CONFIG", str(path))
    with pytest.raises(ConfigError) as e:
        options_from_operators_file()
    assert message in str(e.value)
    assert str(path) in str(e.value)
