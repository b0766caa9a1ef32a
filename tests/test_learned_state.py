"""Export of learned state by one process and its import by the next, and malformed texts that must change nothing."""

from __future__ import annotations

import json
import os
import time

import pytest
from admin_support import MultiProcessSite, call_admin, run_with_site
from hypothesis import given, settings
from hypothesis import strategies as st
from support import balancer, end_attempt, send_request

from harecross.interface import Endpoint, Outcome
from harecross.node.handover_store import LEARNED_STATE_MAX_AGE_S, HandoverStore
from harecross.node.learned_state import export_learned_state, import_learned_state
from harecross.policy.balancer import Balancer

MS = 1000
NAMES = {f"s{i}": i for i in range(1, 5)}
ENTRIES = [Endpoint(i, zone=i % 2) for i in range(1, 5)]


def measured_balancer() -> Balancer:
    """Returns a balancer after 4.5 s of requests, of which server 4 fails all, and which server 3 answers slowly."""
    node, recorder = balancer(ENTRIES)
    now = 0
    for i in range(1, 900):
        now += 5 * MS
        action = send_request(node, recorder, now, i, request_class=2)
        if action[0] != "send":
            continue
        server = action[2]
        outcome = Outcome.ERROR if server == 4 else Outcome.OK
        end_attempt(
            node, recorder, now + MS, i, 0, server, outcome, latency=90 * MS if server == 3 else 20 * MS
        )
    assert node.controller.min_rtt_windows
    assert node.outliers.ejected
    return node


def importing_balancer(text: bytes) -> Balancer:
    """Returns a new balancer that has imported this text."""
    node, _ = balancer(ENTRIES, seed=2)
    assert node.controller.measuring_min_rtt
    import_learned_state(node, NAMES, text, 7)
    return node


TEXT = export_learned_state(measured_balancer(), NAMES) or b""


def test_the_next_process_imports_the_concurrency_limit():
    old, new = measured_balancer(), importing_balancer(TEXT)
    for key in ("limit", "baseline_in_flight", "min_rtt", "target"):
        assert getattr(new.controller, key) == getattr(old.controller, key)
    assert not new.controller.measuring_min_rtt


def test_the_next_process_imports_the_response_times():
    old, new = measured_balancer(), importing_balancer(TEXT)
    assert new.traffic.mean_rtt == old.traffic.mean_rtt
    assert new.subset.servers[3].slowness == old.subset.servers[3].slowness > new.subset.servers[1].slowness


def test_the_next_process_keeps_ejected_servers_ejected():
    """Otherwise the new process would send requests to the failing server until it ejects it again."""
    assert [server.id for server in importing_balancer(TEXT).outliers.ejected] == [4]


def test_ejected_zones_are_imported_except_for_the_last_one():
    text = json.dumps({**json.loads(TEXT), "cut": [0, 1], "servers": {}}).encode()
    new = importing_balancer(text)
    assert len(new.outliers.ejected_zones) == 1
    assert new.subset.eligible
    assert all(m.zone != new.outliers.ejected_zones[0].id for m in new.subset.eligible)


def test_a_balancer_without_measurements_exports_nothing():
    assert export_learned_state(balancer(ENTRIES)[0], NAMES) is None


@settings(max_examples=200, deadline=None)
@given(st.data())
def test_an_invalid_value_changes_nothing(data):
    stored = json.loads(TEXT)
    key = data.draw(st.sampled_from(sorted(stored)))
    bad = st.sampled_from([None, "x", [], [1], [0, 0, 0], {"s1": 3}, True, float("nan")])
    stored[key] = data.draw(bad)
    zeros = ("cut", "deviation", "min_rtt")
    if (key == "cut" and stored[key] in ([], [1])) or (key in zeros and stored[key] == [0, 0, 0]):
        return  # these values are valid
    new, _ = balancer(ENTRIES, seed=2)
    with pytest.raises(ValueError):
        import_learned_state(new, NAMES, json.dumps(stored).encode(), 7)
    assert new.controller.measuring_min_rtt
    assert new.controller.min_rtt_windows == 0
    assert not new.outliers.ejected


@pytest.mark.parametrize("length", range(0, 400, 7))
def test_a_truncated_text_changes_nothing(length):
    text = TEXT[: min(length, len(TEXT) - 1)]
    new, _ = balancer(ENTRIES, seed=2)
    with pytest.raises(ValueError):
        import_learned_state(new, NAMES, text, 7)
    assert new.controller.measuring_min_rtt


@pytest.fixture
def stores(tmp_path):
    """The stores of two processes of one node. The first process runs and has written its learned state."""
    old, new = HandoverStore(str(tmp_path), "n0"), HandoverStore(str(tmp_path), "n0")
    old.acquire_process_lock()
    old.write_learned_state(b"x")
    return old, new


@pytest.mark.parametrize("step", [-3600, 0, 3600])
def test_the_age_of_learned_state_does_not_follow_the_wall_clock(stores, step):
    old, new = stores
    stepped = os.stat(old.learned_state_path).st_mtime + step
    os.utime(old.learned_state_path, (stepped, stepped))
    assert new.read_learned_state() == b"x"


def test_learned_state_that_is_too_old_is_not_read(stores, monkeypatch):
    _, new = stores
    real = time.monotonic_ns
    monkeypatch.setattr(time, "monotonic_ns", lambda: real() + int((LEARNED_STATE_MAX_AGE_S + 1) * 1e9))
    assert new.read_learned_state() is None


@pytest.mark.parametrize("malformed", [b"", b"x", b"x\ny"])
def test_a_malformed_file_is_not_read(stores, malformed):
    old, new = stores
    old.learned_state_path.write_bytes(malformed)
    assert new.read_learned_state() is None


def test_learned_state_is_read_only_while_its_process_runs(stores):
    old, new = stores
    old.write_learned_state(b"y")
    assert new.read_learned_state() == b"y"
    old.release_process_lock()
    assert new.read_learned_state() is None


def test_without_a_folder_nothing_is_written():
    HandoverStore(None, "n0").write_learned_state(b"z")


def test_a_node_imports_the_learned_state_of_the_running_process(tmp_path, capfd):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old:
            controller = old.dispatcher.balancer.controller
            controller.end_min_rtt_window(1)
            controller.limit = controller.baseline_in_flight = 11.0
            old.admin_operations.learned_state_saved_at = 0.0
            old.admin_operations.save_learned_state()
            async with site.node() as new:
                assert new.dispatcher.balancer.controller.limit == 11.0
                assert (await call_admin(new, "/status"))[0] == 200
            old.admin_operations.store.write_learned_state(b"{}")
            async with site.node() as new:
                assert new.dispatcher.balancer.controller.measuring_min_rtt
        err = capfd.readouterr().err
        assert "learned state imported" in err
        assert "learned state not imported" in err

    run_with_site(test, tmp_path)
