"""The attempt log of a node, and `harecross follow`, which reads the attempt logs of several nodes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from node_support import NodeEnvironment, ScriptedDiscovery, entry, run_with_node, wait_until
from node_support import line as update_line
from typer.testing import CliRunner

from harecross.cli import app
from harecross.follow.attempt_log import AttemptLog
from harecross.follow.logs import read_logs

NS_PER_S = 1_000_000_000


def log_line(node: str, request: str, at_s: float, event: str, **more: object) -> str:
    fields = {
        "timeUnixNano": int(at_s * NS_PER_S),
        "service.instance.id": node,
        "event.name": event,
        "request.id": request,
        **{name.replace("__", "."): value for name, value in more.items()},
    }
    return f"{at_s:.3f} attempt {json.dumps(fields)}\n"


def attempt_lines(
    node: str, request: str, at_s: float, took: float, server: str, number: int = 0, cause: str = ""
) -> str:
    """Returns the lines of one attempt: sent, written and ended."""
    place = {"http__request__resend_count": number, "server__id": server}
    more = {"error__type": cause} if cause else {}
    return (
        log_line(node, request, at_s, "sent", **place)
        + log_line(node, request, at_s, "written", fresh=False, whole=True, **place)
        + log_line(node, request, at_s + took, "ended", **place, **more)
    )


def served_request_lines(
    node: str, request: str, at_s: float, took: float, server: str, request_class: str = "0"
) -> str:
    taken = log_line(node, request, at_s, "taken", request__class=request_class, time_left=2_000_000)
    return (
        taken
        + attempt_lines(node, request, at_s, took, server)
        + log_line(node, request, at_s + took, "final", answer="served")
    )


def run(*words: str | Path):
    return CliRunner().invoke(app, ["follow", *map(str, words)])


def write_logs(tmp_path: Path, **texts: str) -> list[Path]:
    for name, text in texts.items():
        (tmp_path / name).write_text(text)
    return [tmp_path / name for name in texts]


# A kept connection is not reused for part of the duration of its last exchange, which on a busy machine is longer than
# the delay of the retry.
@pytest.mark.usefixtures("no_reuse_delay")
def test_a_node_logs_a_request_with_its_attempts(tmp_path):
    path = tmp_path / "n0.log"

    async def test(env: NodeEnvironment) -> None:
        env.node.dispatcher.tracer = AttemptLog("n0", str(path), env.node.registry.numbers)
        client = await env.client()
        client.send("/put/1", key="k", body=b"x", X_Request_ID="one")
        (await env.upstreams[0].received.get()).answer(500)
        (await env.upstreams[0].received.get()).answer()
        assert (await client.answer())[0] == 200

    run_with_node(test)
    (r,) = read_logs([path]).requests.values()
    assert [e.name for e in r.events] == ["taken", *["sent", "written", "ended"] * 2, "final"]
    assert (r.id, r.answer, [(a.server, a.error_type) for a in r.attempts]) == (
        "one",
        "served",
        [("s0", "error"), ("s0", "")],
    )
    assert [e.fields["fresh"] for e in r.events if e.name == "written"] == [True, False]
    shown = run("one", path)
    assert shown.exit_code == 0
    assert shown.output.count("n0 one") == 8


def test_a_request_is_followed_into_the_tier_below(tmp_path):
    """Calls to the tier below have their own ids, so the sidecar of a server is inferred from their times."""
    front = beside = other = ""
    for i in range(6):
        front += served_request_lines("n0", f"f{i}", 10.0 * i, 1.0, "s1") + served_request_lines(
            "n0", f"g{i}", 10.0 * i + 5, 1.0, "s2"
        )
        beside += served_request_lines("n1", f"c{i}", 10.0 * i + 0.3, 0.4, "t1")
        other += served_request_lines("n2", f"d{i}", 10.0 * i + 5.3, 0.4, "t1")
    paths = write_logs(tmp_path, a=front, b=beside, c=other)
    assert read_logs(paths).sidecars == {"s1": "n1", "s2": "n2"}
    out = run("f3", *paths).output
    assert "n1 c3 taken" in out
    assert "d3" not in out
    assert "c2" not in out
    assert "another one" not in out
    assert out.index("f3 written") < out.index("c3 taken") < out.index("f3 ended")


def test_requests_that_ended_badly_are_listed(tmp_path):
    twice = log_line("n", "twice", 1.0, "taken", request__class="0", time_left=2_000_000)
    twice += attempt_lines("n", "twice", 1.0, 0.2, "s1", cause="reset") + attempt_lines(
        "n", "twice", 1.3, 0.2, "s2", number=1
    )
    never_ran = log_line("n", "again", 1.0, "taken", request__class="0", time_left=2_000_000)
    never_ran += attempt_lines("n", "again", 1.0, 0.2, "s1", cause="rejected") + attempt_lines(
        "n", "again", 1.3, 0.2, "s2", number=1
    )
    path = write_logs(
        tmp_path,
        n=twice
        + log_line("n", "twice", 1.5, "final", answer="served")
        + never_ran
        + log_line("n", "again", 1.5, "final", answer="served")
        + served_request_lines("n", "good", 1.0, 1.9, "s1")
        + served_request_lines("n", "late", 1.0, 2.6, "s1")
        + log_line("n", "gone", 1.0, "taken", request__class="0", time_left=1_000_000)
        + log_line("n", "gone", 9.0, "final", answer="left")
        + log_line("n", "never", 1.0, "taken", request__class="0", time_left=1_000_000)
        + log_line("n", "young", 9.0, "taken", request__class="0", time_left=1_000_000),
    )
    found = run("--ended-badly", *path)
    assert found.exit_code == 1
    assert [row.split()[0] for row in found.output.splitlines()] == ["twice", "late", "never", "3"]
    assert "may have run 2 times" in found.output
    assert "0.60 s after" in found.output
    assert (
        run("--ended-badly", "--effect", "0=safe", *path).output.splitlines()[-1]
        == "2 of 7 requests ended badly"
    )


@pytest.mark.parametrize(
    ("words", "text", "message"),
    [
        (["other"], served_request_lines("n", "r", 1.0, 1.0, "s"), "no request other in 1 logs"),
        (["r"], "nothing of the kind\n", "no attempt log"),
        (["r"], "attempt {\n" + served_request_lines("n", "r", 1.0, 1.0, "s"), "line 1: not an event"),
        (
            ["r"],
            'attempt {"timeUnixNano":1}\n' + served_request_lines("n", "r", 1.0, 1.0, "s"),
            "line 1: not an event",
        ),
        (
            ["--ended-badly", "--effect", "0=harmless"],
            served_request_lines("n", "r", 1.0, 1.0, "s"),
            "--effect 0=harmless",
        ),
    ],
)
def test_bad_input_is_one_line_and_status_2(tmp_path, words, text, message):
    result = run(*words, *write_logs(tmp_path, n=text))
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1
    assert message in result.stderr


def test_a_log_that_begins_in_the_middle_of_a_request_is_read(tmp_path):
    whole = served_request_lines("n", "r", 1.0, 9.0, "s").splitlines(keepends=True)
    paths = write_logs(tmp_path, n="".join(whole[2:]) + served_request_lines("n", "other", 20.0, 1.0, "s"))
    shown = run("r", *paths)
    assert shown.exit_code == 0
    assert shown.output.splitlines()[0].startswith("   0.0000 n r written")
    assert run("--ended-badly", *paths).output == "0 of 2 requests ended badly\n"


def test_a_missing_file_is_bad_input_and_a_truncated_last_line_is_skipped(tmp_path):
    assert run("r", tmp_path / "none").exit_code == 2
    assert run("r").exit_code == 2
    whole = served_request_lines("n", "r", 1.0, 1.0, "s")
    result = run("r", *write_logs(tmp_path, n=whole + whole[:40]))
    assert result.exit_code == 0
    assert "truncated, skipped" in result.stderr


def list_line(
    node: str, at_s: float, kind: str = "changes", came: tuple[str, ...] = (), left: tuple[str, ...] = ()
) -> str:
    return log_line(node, "", at_s, "list", kind=kind, generation=1, came=list(came), left=list(left))


def start_line(node: str, at_s: float, uptime: float) -> str:
    return log_line(node, "", at_s, "start", **{"process.uptime": uptime})


def test_sends_to_a_server_announced_as_leaving_are_listed_with_their_times(tmp_path):
    """A process starts with a cached list that still has the server; its startup takes most of the 300 ms allowed."""
    first = start_line("n0", 1.0, 0.2) + list_line("n0", 5.0, left=("s1",))
    restarted = start_line("n1", 8.27, 0.27) + list_line("n1", 8.28, "cached", came=("s1", "s2"))
    restarted += served_request_lines("n1", "late", 8.301, 0.4, "s1") + served_request_lines(
        "n1", "other", 8.31, 0.4, "s2"
    )
    restarted += list_line("n1", 8.32, left=("s1",)) + served_request_lines("n1", "later", 9.0, 0.4, "s1")
    restarted += list_line("n1", 10.0, came=("s1",)) + served_request_lines("n1", "back", 12.0, 0.4, "s1")
    silent = start_line("n2", 1.0, 0.0) + served_request_lines("n2", "unheard", 11.4, 0.4, "s2")
    shown = run("--leaving", *write_logs(tmp_path, a=first, b=restarted, c=silent))
    assert shown.exit_code == 1
    late, later, total = shown.output.splitlines()
    assert late.startswith("late node=n1 server=s1: 0.301 s after")
    assert "read=never" in late
    assert "listed=4.000 started=7.000" in late
    assert "first read by n0" in late
    assert later.startswith("later node=n1 server=s1: 1.000 s after")
    assert "read=7.320" in later
    assert total == "2 sends to servers announced as leaving"


def test_a_late_send_shows_the_last_state_change_of_its_server_and_who_stated_it(tmp_path):
    def state(node: str, at_s: float, server: str, after: str, cause: str) -> str:
        more = {"server.id": server, "server.state": after, "before": "held", "cause": cause}
        return log_line(
            node, "", at_s, "process", said_by="d:1", said="in service", generation=42, age=11.9, **more
        )

    n0 = start_line("n0", 1.0, 0.0) + list_line("n0", 5.0, left=("s1",))
    n1 = start_line("n1", 1.0, 0.0) + list_line("n1", 5.0, left=("s1",))
    n1 += state("n1", 6.0, "s2", "in service", "said") + state("n1", 7.0, "s1", "in service", "caught up")
    n1 += served_request_lines("n1", "late", 8.0, 0.4, "s1") + state("n1", 9.0, "s1", "draining", "said")
    shown = run("--leaving", *write_logs(tmp_path, a=n0, b=n1))
    late, state_line, total = shown.output.splitlines()
    assert late.startswith("late node=n1 server=s1")
    assert total.startswith("1 sends")
    assert state_line == "  at 6.000 held -> in service, caught up: d:1 v42 said in service, 11.9 s before"


def test_a_node_logs_each_state_change_of_a_server_and_who_stated_it(tmp_path):
    path = tmp_path / "n0.log"

    async def test(env: NodeEnvironment) -> None:
        env.node.dispatcher.tracer = AttemptLog("n0", str(path), env.node.registry.numbers)
        watch = await env.watch()
        ScriptedDiscovery.push(watch, update_line(42, entry("s0", env.upstreams[0].address, "terminating")))
        await wait_until(lambda: not env.node.registry.listed)

    run_with_node(test)
    changes = [e for events in read_logs([path]).node_events.values() for e in events if e.name == "process"]
    (change,) = changes
    assert change.server == "s0"
    assert change.fields["generation"] == 42
    assert [change.fields[k] for k in ("before", "server.state", "cause", "said")] == [
        "in service", "draining", "said", "draining",
    ]  # fmt: skip


def test_a_node_that_is_not_notified_may_send_for_six_seconds_more(tmp_path):
    a = start_line("n0", 1.0, 0.0) + list_line("n0", 5.0, left=("s1",))
    b = (
        start_line("n1", 1.0, 0.0)
        + served_request_lines("n1", "just", 11.29, 0.4, "s1")
        + served_request_lines("n1", "late", 11.31, 0.4, "s1")
    )
    shown = run("--leaving", *write_logs(tmp_path, a=a, b=b))
    assert shown.exit_code == 1
    assert shown.output.startswith("late ")
    assert "1 sends" in shown.output


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (["--leaving", "--ended-badly", "a"], "one of"),
        (["--leaving", "invalid"], "line 1: not an event"),
        (["--leaving", "old"], "no list was read"),
    ],
)
def test_invalid_use_of_leaving_is_one_line_and_status_2(tmp_path, monkeypatch, words, message):
    invalid = log_line("n0", "", 1.0, "list", kind="changes", left="s1")
    write_logs(
        tmp_path,
        a=start_line("n0", 1.0, 0.0),
        old=served_request_lines("n0", "r", 1.0, 0.5, "s1"),
        invalid=invalid,
    )
    monkeypatch.chdir(tmp_path)
    shown = run(*words)
    assert shown.exit_code == 2
    assert message in shown.output
    assert len(shown.output.splitlines()) == 1
