"""The process of a node: start, configuration, SIGHUP, graceful shutdown and memory."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from node_support import (
    SETTINGS,
    Client,
    NodeEnvironment,
    ScriptedDiscovery,
    ScriptedServer,
    entry,
    line,
    run,
    run_with_node,
    update,
)

from harecross.dispatch.close_reasons import CloseReason
from harecross.dispatch.request import DispatchedRequest
from harecross.downstream import connection_manager
from harecross.http.response_parser import ResponseParser
from harecross.node import shutdown_schedule
from harecross.platform.clock import monotonic_us
from harecross.upstream.connection import ServerConnection

ROOT = Path(__file__).parent.parent


def test_requests_leave_no_reference_cycles():
    """Reference cycles between responses and their parsers once took 7 MB more memory after a minute of requests."""

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        gc.collect()
        gc.disable()
        try:
            for status in (200, 500, 0):
                client.send("/pay/1", left="300m")
                at = await env.upstreams[0].received.get()
                if status:
                    at.answer(status)
                await client.answer()
            client.writer.close()
            while env.node.client_connections.open or env.node.pool.open_connections:
                for target in env.node.pool.processes.values():
                    env.node.pool.close_idle_to_process(target, CloseReason.IDLE)
                await asyncio.sleep(0)
            kinds = (ResponseParser, connection_manager.ClientConnection, ServerConnection, DispatchedRequest)
            assert not [o for o in gc.get_objects() if isinstance(o, kinds)]
        finally:
            gc.enable()

    run_with_node(test)


def start_node(tmp_path: Path, config: dict, **variables: str) -> subprocess.Popen:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    return subprocess.Popen(
        [sys.executable, "-m", "harecross.node"],
        cwd=ROOT,
        env={**env, **variables, "LB_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_planned_restart_loses_no_request(monkeypatch):
    """If responses are fast compared with the remaining time, the node serves until other nodes have taken over."""
    classes = [{**c, "goal_time": 12_000_000, "hard_limit": 15_000_000} for c in SETTINGS["classes"]]
    monkeypatch.setattr(shutdown_schedule, "MAX_DEADLINE_S", 15.0)

    async def test(env: NodeEnvironment) -> None:
        server, address = env.upstreams[0], env.node.address
        old, idle = await Client.open(address), await Client.open(address)
        idle.send("/_health")
        assert (await idle.answer())[0] == 200
        incomplete = await Client.open(address)
        incomplete.writer.write(
            b"GET /read/1 HTTP/1.1\r\n"
        )  # an incomplete request, which must not delay the exit
        old.send()
        in_flight = await server.received.get()
        env.node.stop_requested.set()
        status = 200
        while status == 200:
            idle.send("/_health")
            status, head, _ = await idle.answer()
        # Health checks fail, but the node still serves new clients until other nodes have taken over.
        assert status == 503
        assert b"Connection: close" not in head
        new = await Client.open(address)  # clients still open connections
        new.send()
        (await server.received.get()).answer()
        status, head, _ = await new.answer()
        assert status == 200
        assert b"Connection: close" not in head
        # The idle connection is closed when connections are drained.
        assert await idle.reader.read() == b""
        in_flight.answer(body=b"late")
        assert (await old.answer())[2] == b"late"
        assert b"200" not in await incomplete.reader.read()  # the incomplete request is abandoned
        await env.task

    run_with_node(test, settings={"classes": classes})


def test_late_requests_are_answered_before_sigkill_if_deadlines_are_longer(monkeypatch):
    """Only 3 s of the longest deadline delay SIGKILL.

    Late requests once kept their own, longer deadline, and SIGKILL ended the process before they were answered.
    """
    monkeypatch.setattr(shutdown_schedule, "MAX_DEADLINE_S", 0.2)
    monkeypatch.setattr(shutdown_schedule, "COUNTED_FROM_S", 0.1)

    async def test(env: NodeEnvironment) -> None:
        server, address = env.upstreams[0], env.node.address
        idle, early, late = [await Client.open(address) for _ in range(3)]
        idle.send("/_health")
        assert (await idle.answer())[0] == 200
        early.send()
        first = await server.received.get()
        env.node.stop_requested.set()
        # Responses take longer than the remaining time, so idle connections are closed at once.
        assert await idle.reader.read() == b""
        while monotonic_us() < env.node.dispatcher.deadlines.shutdown_applies_from_us:
            await asyncio.sleep(0.01)
        late.send()
        second = await server.received.get()
        status, head, _ = await late.answer()  # its server has not answered
        assert status in (502, 503)
        assert b"Connection: close" in head
        assert monotonic_us() < env.node.dispatcher.deadlines.shutdown_deadline_us + 200_000
        await second.disconnected.wait()
        first.answer(body=b"came early")  # an early request would not count as lost, but is still served
        assert (await early.answer())[2] == b"came early"
        await env.task

    run_with_node(test)


def test_sighup_migrates_to_the_discovery_that_the_file_now_names(tmp_path):
    """SIGHUP once killed the node. An invalid file must not end it, and LB_DISCOVERY must not override it."""

    async def test() -> None:
        servers = [await ScriptedServer().start() for _ in "ab"]
        old, new = await ScriptedDiscovery().start(), await ScriptedDiscovery().start()
        config = {"name": "n", "listen": "127.0.0.1:0", "discovery": old.address, "seed": "1"}
        known = update(41, entry("s", servers[0].address), reset=True)
        config = {**config, "known": known, "settings": SETTINGS}
        process = start_node(tmp_path, config, LB_DISCOVERY=old.address)
        run_in_executor = asyncio.get_running_loop().run_in_executor

        async def wait_for_log(text: str) -> str:
            while text not in (line := await run_in_executor(None, process.stderr.readline)):
                assert line, "the node has ended"
            return line

        host, _, port = (await wait_for_log("listening")).split()[-1].rpartition(":")
        _, first = await old.watches.get()
        (tmp_path / "config.json").write_text("{")
        process.send_signal(signal.SIGHUP)
        await wait_for_log("configuration not changed")
        (tmp_path / "config.json").write_text(json.dumps({**config, "discovery": new.address}))
        # The new discovery has its own versions, so the node requests its full list first.
        new.full_list = line(7, entry("t", servers[1].address), reset=True)
        process.send_signal(signal.SIGHUP)
        await wait_for_log("migrating to another discovery")
        await wait_for_log("moved")
        path, second = await new.watches.get()
        assert path.endswith(b"after=7")
        process.send_signal(signal.SIGHUP)  # another reload of the same file changes nothing
        await wait_for_log("discovery unchanged")
        # The old watch is still read for servers that leave; servers that it lists as in service are not used.
        ScriptedDiscovery.push(first, line(42, entry("s", servers[0].address)))
        ScriptedDiscovery.push(first, line(43, entry("s", servers[0].address), reset=True))
        client = await Client.open((host, int(port)))
        for _ in range(6):
            client.send()
            (await servers[1].received.get()).answer()
            assert (await client.answer())[0] == 200
            assert servers[0].connection_count == 0
            assert old.watches.empty()
        ScriptedDiscovery.push(second, line(8, entry("t", servers[1].address, "terminated")))
        status = 200
        while status == 200:
            client.send()
            answer = asyncio.ensure_future(client.answer())
            arrival = asyncio.ensure_future(servers[1].received.get())
            await asyncio.wait([answer, arrival], return_when=asyncio.FIRST_COMPLETED)
            if arrival.done():
                arrival.result().answer()
            status = (await answer)[0]
            arrival.cancel()
        assert status == 503
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # SIGHUP during the shutdown has no effect
        assert await run_in_executor(None, process.wait) == 0
        process.stderr.close()

    run(test())


VALID_CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "1",
    "settings": SETTINGS,
}


@pytest.mark.parametrize(
    "config",
    [
        {k: v for k, v in VALID_CONFIG.items() if k != "settings"},
        {**VALID_CONFIG, "listen": "nowhere"},
        {**VALID_CONFIG, "seed": "not hex"},
        {**VALID_CONFIG, "settings": {**SETTINGS, "classes": []}},
        [],
    ],
)
def test_an_invalid_configuration_is_an_error_of_one_line_and_status_2(tmp_path, config):
    process = start_node(tmp_path, config)
    _, text = process.communicate(timeout=60)
    assert process.returncode == 2
    assert len(text.splitlines()) == 1
    assert text.startswith("harecross: ")
