"""The simulator's protocol: decoding of events, encoding of actions, and malformed input."""

import io
import json
import re
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from harecross import adapter
from harecross.adapter import InstanceHost, WireActions, WireError, parse_settings_json, serve
from harecross.interface import DeduplicationScope, Idempotency

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "classes": [
        {"effect": "guarded", "goal_time": 2000000, "hard_limit": 5000000, "worth": 8, "group": "cell"},
        {"effect": "brand_new", "goal_time": 1000000, "hard_limit": 2000000, "worth": 1, "late_value": 0.5},
    ],
    "discovery": "push",
    "group_size": 2,
    "layers": ["a", "b"],
    "tier": 0,
    "tick": 5000,
    "policy_limits": {"max_attempts": 3, "cancel": True, "retry_after": True, "max_retry_after": 100000},
    "rules": {"cold": 5000000, "start_capacity": 0.4, "fall_multiple": 3.0, "tip_after": 1000000},
    "report": {"how": "inline", "columns": ["concurrent", "odd"]},
    "new_key": {"x": 1},
}


def create(settings=SETTINGS, node=3):
    text = json.dumps(settings).encode() if isinstance(settings, dict) else settings
    return struct.pack("<BHQI", 6, node, 99, len(text)) + text


def members(node=3, servers=(11, 12), kind=2):
    entries = b"".join(struct.pack("<IHQHfBH", s, 0, 0, 0, 1.0, 1, 0) for s in servers)
    return struct.pack("<BII", 1, 0, len(servers)) + entries + struct.pack("<BHBII", 7, node, kind, 1, 0)


def accept(node=3, request=1, request_class=0, left=5000000):
    return struct.pack("<BHQQHBIIH", 3, node, request, 0, 0, 0, left, 0, request_class)


def verdict(node=3, request=1, status=200, server=11, report_size=0):
    return struct.pack("<BHQBIIBHB", 8, node, request, 0, 900, server, status == 200, status, report_size)


def frame(*records, now=1000):
    body = b"".join(records)
    return struct.pack("<IIQ", sum(1 + (r[0] == 1) for r in records), len(body) + 8, now) + body


def run(data: bytes) -> bytes:
    out = io.BytesIO()
    serve(io.BytesIO(data), out)
    return out.getvalue()


def test_a_request_is_relayed_and_its_reply_framed():
    reply = run(frame(create(), members(), accept()) + frame(now=2000))
    (size,) = struct.unpack_from("<I", reply)
    code, node, request, server, timeout = struct.unpack_from("<BHQII", reply, 4)
    assert (code, node, request) == (65, 3, 1)
    assert server in (11, 12)
    assert 0 < timeout <= 5000000
    assert (size, reply[4 + 19]) == (19 + 15, 69)  # the timer of the per-try timeout follows
    assert reply[4 + size :] == b"\0\0\0\0"


def test_an_outcome_with_a_report_is_read_to_its_end():
    verdict = struct.pack("<BHQBIIBHB2f", 8, 3, 1, 0, 900, 11, 0, 502, 2, 1.0, 2.0)
    host = InstanceHost()
    host.handle_batch(3, create() + members(servers=(11,)), 0)
    host.handle_batch(1, accept(request_class=1), 0)
    assert host.handle_batch(1, verdict, 900)[4] == 67  # a class with an unknown effect is not retried


def test_every_other_event_is_read():
    records = [
        struct.pack("<BHQ", 2, 3, 77),
        struct.pack("<BHQ", 11, 3, 5),
        struct.pack("<BHIHIBf", 5, 3, 10, 200, 11, 1, 0.5),
        struct.pack("<BHQBII", 10, 3, 5, 0, 11, 4),
        struct.pack("<BHHH", 4, 3, 1, 2) + b"hi",
        struct.pack("<BHBII", 7, 3, 3, 1, 0),
        struct.pack("<BH", 9, 3),
        accept(),
    ]
    reply = run(frame(create(), members(), *records))
    assert struct.unpack_from("<I", reply)[0] == len(reply) - 4
    assert b"\x41\x03\x00" not in reply[4:7]  # the node was stopped before the request arrived


def test_every_action_is_encoded_in_the_layout_of_the_protocol():
    out = bytearray()
    actions = WireActions(out, 3)
    expected = b""
    actions.shed(1, 2)
    expected += struct.pack("<BHQI", 66, 3, 1, 2)
    actions.fail(1)
    expected += struct.pack("<BHQ", 67, 3, 1)
    actions.cancel(1, 2)
    expected += struct.pack("<BHQB", 68, 3, 1, 2)
    actions.set_timer(5, 6)
    expected += struct.pack("<BHIQ", 69, 3, 5, 6)
    actions.health_check(7)
    expected += struct.pack("<BHI", 70, 3, 7)
    actions.close_idle(7)
    expected += struct.pack("<BHI", 71, 3, 7)
    actions.send_peer_message(-1, b"ab")
    expected += struct.pack("<BHHH", 72, 3, 0xFFFF, 2) + b"ab"
    actions.log_event("x")
    expected += struct.pack("<BHH", 73, 3, 1) + b"x"
    actions.fault("y")
    expected += struct.pack("<BHH", 74, 3, 1) + b"y"
    actions.subscribe(True)
    expected += struct.pack("<BHB", 75, 3, 1)
    actions.poll_endpoints()
    expected += struct.pack("<BH", 76, 3)
    assert bytes(out) == expected


def test_an_exception_of_the_balancer_becomes_a_fault(monkeypatch):
    def broken(*args):
        raise RuntimeError("boom")

    monkeypatch.setattr(adapter.Balancer, "request", broken)
    reply = run(frame(create(), members(), accept()))
    assert reply[4] == 74
    assert b"request: RuntimeError: boom" in reply


MALFORMED = {
    "short header": (b"\0\0\0", "header: input ends"),
    "length too short": (struct.pack("<IIQ", 0, 4, 0), "length 4"),
    "short body": (frame(create())[:-5], "input ends"),
    "unknown code": (frame(b"\xc8"), "unknown event code 200"),
    "truncated record": (struct.pack("<IIQ", 1, 10, 0) + b"\x02\x00", "cut short"),
    "too few records": (struct.pack("<IIQ", 1, 8, 0), "ends early"),
    "extra bytes": (struct.pack("<IIQ", 0, 9, 0) + b"\0", "after the last record"),
    "bad json": (frame(create(b"{nope")), "not JSON"),
    "missing key": (
        frame(create({k: v for k, v in SETTINGS.items() if k != "group_size"})),
        "missing value for group_size",
    ),
    "invalid value": (frame(create({**SETTINGS, "tick": "soon"})), "invalid value for tick: 'soon'"),
    "zero instances": (frame(create({**SETTINGS, "group_size": 0})), "invalid value for instance_count: 0"),
    "unsent list": (frame(create(), struct.pack("<BHBII", 7, 3, 1, 1, 9)), "list 9"),
    "unknown list kind": (frame(create(), members(kind=8)), "record 2 at byte .* list kind 8"),
    "truncated list": (frame(struct.pack("<BII", 1, 0, 5)), "record 0 .* event 1 is cut short"),
    "truncated report": (frame(verdict(report_size=4)), "record 0 .* event 8 is cut short"),
    "settings not utf-8": (frame(create(b"\xff{}")), "not JSON"),
    "settings nested too deep": (frame(create(b"[" * 100_000)), "not JSON"),
    "settings not an object": (frame(create(b"[]")), "the top level is not an object"),
    "class not an object": (frame(create({**SETTINGS, "classes": [5]})), r"classes\[0\] is not an object"),
    "tenant not an object": (frame(create({**SETTINGS, "tenants": [5]})), r"tenants\[0\] is not an object"),
    "layers not a list": (frame(create({**SETTINGS, "layers": 7})), "layers"),
    "infinite number": (frame(create({**SETTINGS, "tick": float("inf")})), "tick: inf"),
    "not a number": (frame(create({**SETTINGS, "over_share_worth": float("nan")})), "over_share_worth"),
    "group not a string": (
        frame(create({**SETTINGS, "classes": [{**SETTINGS["classes"][0], "group": []}]})),
        "group",
    ),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_input_is_named(name):
    data, message = MALFORMED[name]
    with pytest.raises(WireError, match=message):
        run(data)


def start(data: bytes) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "harecross.adapter"]
    return subprocess.run(command, input=data, capture_output=True, cwd=ROOT, timeout=60)


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_input_ends_the_process_with_status_2_and_one_line(name):
    data, message = MALFORMED[name]
    bad = start(frame() + data)
    assert bad.returncode == 2
    assert bad.stdout == struct.pack("<I", 0), "standard output must contain replies only"
    (line,) = bad.stderr.decode().splitlines()
    assert line.startswith("harecross: batch 1")
    assert re.search(message, line)


def test_the_end_of_input_ends_the_process():
    good = start(frame(create(), members(), accept()))
    assert good.returncode == 0
    assert good.stderr == b""
    assert good.stdout[4] == 65
    assert start(b"").returncode == 0


def test_events_of_unknown_nodes_and_requests_are_ignored():
    known = frame(create(), members(), now=1000)
    unknown = frame(
        accept(node=9),
        members(node=9, kind=1),
        verdict(node=9),
        verdict(node=3, request=77),
        struct.pack("<BHQ", 11, 3, 77),
        struct.pack("<BHQ", 11, 9, 1),
        struct.pack("<BHQ", 2, 9, 5),
        struct.pack("<BH", 9, 9),
    )
    assert run(known + unknown) == run(known) + struct.pack("<I", 0)


def test_unknown_values_are_treated_as_the_most_restrictive():
    unknown_scope = {**SETTINGS["classes"][0], "effect": "guarded", "group": "galaxy"}
    (class_settings, _) = parse_settings_json(
        json.dumps({**SETTINGS, "classes": [unknown_scope, SETTINGS["classes"][1]]}).encode()
    ).classes
    assert class_settings.deduplication_scope == DeduplicationScope.CELL
    assert (
        parse_settings_json(json.dumps(SETTINGS).encode()).classes[1].idempotency
        == Idempotency.NON_IDEMPOTENT
    )
    # After an unknown outcome the request may have been processed, so a non-idempotent one fails without a retry.
    reply = run(frame(create(), members(), accept(request_class=1)) + frame(verdict(status=599)))
    assert reply[4] == 65
    assert reply[-11] == 67


def test_platform_keys_are_mapped_to_settings():
    parsed = parse_settings_json(json.dumps(SETTINGS).encode())
    assert parsed.report_fields == ("inflight", "odd")
    assert parsed.instance_count == 2
    assert parsed.tiers == 2
    assert [int(c.idempotency) for c in parsed.classes] == [1, 2]


def run_nodes(settings: dict, nodes: tuple[int, ...]) -> list[bytes]:
    """Returns the replies of one process that hosts these nodes, to some requests and outcomes."""
    host = InstanceHost()
    replies = []
    for node in nodes:
        replies.append(host.handle_batch(3, create(settings, node) + members(node, servers=(11, 12, 13)), 0))
    for i in range(60):
        for node in nodes:
            reply = host.handle_batch(1, accept(node, i, request_class=i % 2), 1000 * i)
            replies.append(reply)
            if reply[4:5] == b"\x41":
                server = struct.unpack_from("<I", reply, 15)[0]
                status = 502 if i % 7 == 0 else 200
                outcome = verdict(node, i, status, server)
                replies.append(host.handle_batch(1, outcome, 1000 * i + 900))
    return replies


def test_names_in_the_settings_do_not_change_the_decisions():
    def named(prefix: str) -> dict:
        classes = [{**c, "name": f"{prefix}{i}"} for i, c in enumerate(SETTINGS["classes"])]
        tenants = [{"name": prefix, "quota_rps": 5000.0}]
        names = {"kinds": [prefix], "dcs": [prefix + "z"], "layers": [prefix + "a", prefix + "b"]}
        return {**SETTINGS, **names, "classes": classes, "tenants": tenants}

    replies = run_nodes(named("alpha"), (3,))
    assert replies == run_nodes(named("other"), (3,))
    assert sum(r[4:5] == b"\x41" for r in replies) > 20


def test_nodes_act_the_same_in_one_process_and_in_separate_ones():
    together = run_nodes(SETTINGS, (3, 4))
    separate = {node: run_nodes(SETTINGS, (node,)) for node in (3, 4)}
    by_node = {3: [], 4: []}
    for reply in together:
        if len(reply) > 4:
            by_node[struct.unpack_from("<H", reply, 5)[0]].append(reply)
    for node in (3, 4):
        assert by_node[node] == [r for r in separate[node] if len(r) > 4]
