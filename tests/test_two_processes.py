"""Two processes that serve as one node: shared state and budgets, handover, and an inherited listening socket."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from admin_support import MultiProcessSite, call_admin, run_with_site
from node_support import config_dict, wait_until

ROOT = Path(__file__).parent.parent


def test_maintenance_state_outlives_the_process(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            await call_admin(node, "/maintenance/enter", "s0")
            await call_admin(node, "/standby")
        async with site.node() as node:
            assert node.client_connections.in_standby
            assert {await site.send_and_identify_server() for _ in range(8)} == {1}
            assert (await call_admin(node, "/maintenance/exit", "s0"))[0] == 200
            assert (await call_admin(node, "/active"))[0] == 200
            await site.wait_until_called(0)

    run_with_site(test, tmp_path, servers=2)


def test_maintenance_calls_to_one_process_are_applied_by_the_other(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old, site.node() as new:
            await call_admin(old, "/maintenance/enter", "s0")
            await wait_until(lambda: "s0" in new.registry.in_maintenance)
            await call_admin(new, "/maintenance/exit", "s0")
            await wait_until(lambda: not old.registry.in_maintenance)
            await call_admin(new, "/maintenance/enter", "s1")
            await wait_until(lambda: "s1" in old.registry.in_maintenance)

    run_with_site(test, tmp_path, servers=2)


def test_two_processes_divide_the_descriptors_of_one_node(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old:
            total = old.descriptor_budget.total
            async with site.node() as new:
                await wait_until(lambda: old.descriptor_budget.total <= total // 2)
                assert new.descriptor_budget.total <= total // 2
            await wait_until(lambda: old.descriptor_budget.total == total)

    run_with_site(test, tmp_path)


def test_a_process_that_hands_over_answers_its_requests_and_accepts_no_more(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old:
            kept, busy = await site.client(), await site.client()
            kept.send()
            (await site.upstreams[0].received.get()).answer()
            await kept.answer()
            busy.send()
            at = await site.upstreams[0].received.get()
            async with site.node() as new:
                old.stop_requested.set()
                await wait_until(lambda: old.client_connections.draining)
                # The other process accepts all connections from now on, including those in the backlog.
                assert {await site.send_and_identify_server() for _ in range(8)} == {0}
                assert new.dispatcher.statistics.final_answers["served"] == 8
                assert old.dispatcher.statistics.final_answers["served"] == 1
                # The health check on a kept connection does not fail, because the node keeps serving.
                kept.send("/_health")
                status, head, _ = await kept.answer()
                assert status == 200
                assert b"Connection: close" in head
                at.answer()
                status, head, _ = await busy.answer()
                assert status == 200
                assert b"Connection: close" in head
                await wait_until(lambda: not old.client_connections.open)
                await wait_until(lambda: new.admin_operations.store.other_processes() == 0)

    run_with_site(test, tmp_path)


def test_a_process_without_a_successor_serves_while_it_shuts_down(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        async with site.node() as node:
            node.stop_requested.set()
            await wait_until(lambda: node.client_connections.health_check_failing)
            assert await site.send_and_identify_server() == 0

    run_with_site(test, tmp_path)


def test_a_process_goes_on_accepting_while_only_a_leaving_process_is_left(tmp_path):
    """Guards against a planned restart soon after a replacement: nobody accepted any more."""

    async def test(site: MultiProcessSite) -> None:
        async with site.node() as old:
            busy = await site.client()
            busy.send()
            held = await site.upstreams[0].received.get()  # keeps the old process until the end
            async with site.node() as new:
                old.stop_requested.set()
                await wait_until(lambda: old.client_connections.draining)
                new.stop_requested.set()
                await wait_until(lambda: new.client_connections.health_check_failing)
                assert {await site.send_and_identify_server() for _ in range(8)} == {0}
                assert new.dispatcher.statistics.final_answers["served"] == 8
                held.answer()
                assert (await busy.answer())[0] == 200

    run_with_site(test, tmp_path)


def start_process(site: MultiProcessSite, folder: Path, number: int, fd: int) -> subprocess.Popen:
    config = config_dict(site.discovery_server.address, admin="127.0.0.1:0", known=site.known)
    path = folder / f"config{number}.json"
    path.write_text(json.dumps(config))
    env = {**os.environ, "LB_CONFIG": str(path), "LB_INHERITED_FD": str(fd), "TMPDIR": str(folder)}
    for key in ("LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN"):
        env.pop(key, None)
    return subprocess.Popen(
        [sys.executable, "-m", "harecross.node"], cwd=ROOT, env=env, pass_fds=[fd], stderr=subprocess.PIPE
    )


async def wait_for_log(process: subprocess.Popen, text: bytes) -> None:
    while text not in (line := await asyncio.to_thread(process.stderr.readline)):
        assert line, "the process has ended"


def test_an_inherited_socket_accepts_connections_after_the_only_process_has_stopped(tmp_path):
    """The parent process, which passes the socket, may start the next process on it later."""

    async def test(site: MultiProcessSite) -> None:
        site.upstreams[0].answer_all()
        old = start_process(site, tmp_path, 1, site.sock.fileno())
        try:
            await wait_for_log(old, b"listening on")
            old.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(old.wait, 10) == 0
        finally:
            old.kill()
            old.wait()
            old.stderr.close()
        async with site.node():
            client = await site.client()
            client.send()
            assert (await client.answer())[0] == 200

    run_with_site(test, tmp_path)


def test_a_process_replaces_another_on_one_listening_socket(tmp_path):
    async def test(site: MultiProcessSite) -> None:
        fd = site.sock.fileno()
        site.upstreams[0].answer_all()
        old = start_process(site, tmp_path, 1, fd)
        new = None
        try:
            await wait_for_log(old, b"listening on")
            client = await site.client()
            client.send()
            assert (await client.answer())[0] == 200
            new = start_process(site, tmp_path, 2, fd)
            await wait_for_log(new, b"listening on")
            old.send_signal(signal.SIGTERM)
            await wait_for_log(old, b"another process keeps serving")
            for _ in range(5):
                other = await site.client()
                other.send()
                assert (await other.answer())[0] == 200
                other.writer.close()
            client.send()  # the old process still answers on this connection, and announces its close
            status, head, _ = await client.answer()
            assert status == 200
            assert b"Connection: close" in head
            assert await asyncio.to_thread(old.wait) == 0
            assert new.poll() is None
        finally:
            for process in (old, new):
                if process is not None:
                    process.kill()
                    process.wait()
                    process.stderr.close()

    run_with_site(test, tmp_path)


@pytest.mark.parametrize("text", ["nine", "9999", "0"])
def test_an_inherited_descriptor_that_is_not_a_listening_socket_ends_the_process(tmp_path, text):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_dict("127.0.0.1:1")))
    env = {**os.environ, "LB_CONFIG": str(path), "LB_INHERITED_FD": text}
    done = subprocess.run(
        [sys.executable, "-m", "harecross.node"],
        cwd=ROOT,
        env=env,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert "LB_INHERITED_FD" in done.stderr
