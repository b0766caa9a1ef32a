"""Reasons of closed connections, retries, shed and failed requests, in the attempt log and the report line."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from node_support import NodeEnvironment, ScriptedDiscovery, entry, line, run_with_node, wait_until

from harecross.dispatch.close_reasons import CloseReason
from harecross.downstream import connection_manager
from harecross.follow.attempt_log import AttemptLog
from harecross.follow.events import Event
from harecross.follow.logs import read_logs
from harecross.interface import FinalReason
from harecross.upstream import connection


class LoggedNode:
    """The attempt log of the node under test."""

    def __init__(self, env: NodeEnvironment, path: Path) -> None:
        self.env, self.path = env, path
        env.node.dispatcher.tracer = AttemptLog("n0", str(path), env.node.registry.numbers)

    def events(self, name: str) -> list[Event]:
        """Returns the logged events of that name."""
        self.env.node.dispatcher.tracer.flush()
        logs = read_logs([self.path])
        found = [event for request in logs.requests.values() for event in request.events]
        found += [event for events in logs.node_events.values() for event in events]
        return [event for event in found if event.name == name]

    async def closed_event(self, side: str) -> Event:
        """Waits for a closed connection of that side and returns the first such event."""
        close_reasons = self.env.node.dispatcher.statistics.close_reasons
        while True:
            await wait_until(lambda: close_reasons)
            for event in self.events("closed"):
                if event.fields["side"] == side:
                    return event
            await asyncio.sleep(0.005)


def name_of(value: object) -> str:
    """Returns the test ID of a parameter: the name of a function, or the text of another value."""
    return getattr(value, "__name__", str(value))


async def serve_one_request(env: NodeEnvironment, **more: str) -> None:
    """Sends a request and answers it."""
    client = await env.client()
    client.send(**more)
    (await env.upstreams[0].received.get()).answer()
    assert (await client.answer())[0] == 200


async def client_disconnects(env: NodeEnvironment) -> None:
    (await env.client()).writer.close()


async def client_asks_for_close(env: NodeEnvironment) -> None:
    await serve_one_request(env, Connection="close")


async def client_sends_nothing(env: NodeEnvironment) -> None:
    client = await env.client()
    await client.reader.read()


async def client_sends_noise(env: NodeEnvironment) -> None:
    client = await env.client()
    client.writer.write(b"\x00\x01\r\n\r\n")
    await client.reader.read()


async def client_is_idle(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send("/_health")
    await client.answer()
    await client.reader.read()


async def node_shuts_down(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send("/_health")
    await client.answer()
    env.node.stop_requested.set()
    await client.reader.read()


async def descriptor_is_needed(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send("/_health")
    await client.answer()
    assert env.node.client_connections.evict_one()
    await client.reader.read()


@pytest.mark.parametrize(
    ("trigger", "reason"),
    [
        (client_disconnects, CloseReason.PEER),
        (client_asks_for_close, CloseReason.LAST_RESPONSE),
        (client_sends_nothing, CloseReason.REQUEST_TIMEOUT),
        (client_sends_noise, CloseReason.BAD_REQUEST),
        (client_is_idle, CloseReason.IDLE),
        (node_shuts_down, CloseReason.SHUTDOWN),
        (descriptor_is_needed, CloseReason.DESCRIPTOR_SHORTAGE),
    ],
    ids=name_of,
)
def test_a_closed_client_connection_has_its_reason(trigger, reason, tmp_path, monkeypatch):
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 500_000)
    if reason is CloseReason.IDLE:
        monkeypatch.setattr(connection_manager, "IDLE_TIMEOUT_US", 100_000)

    async def test(env: NodeEnvironment) -> None:
        logged = LoggedNode(env, tmp_path / "log")
        await trigger(env)
        event = await logged.closed_event("client")
        assert event.fields["reason"] == reason.value
        assert env.node.dispatcher.statistics.close_reasons[reason] >= 1

    run_with_node(test)


async def server_closes(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send("/pay/1", X_Request_ID="lost")
    (await env.upstreams[0].received.get()).writer.close()
    assert (await client.answer())[0] == 502


async def server_closes_with_its_response(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send(X_Request_ID="last")
    (await env.upstreams[0].received.get()).answer(extra=b"Connection: close\r\n")
    assert (await client.answer())[0] == 200


async def server_sends_noise(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send("/pay/1", X_Request_ID="lost")
    (await env.upstreams[0].received.get()).writer.write(b"\x00\x01\x02\r\n\r\n")
    assert (await client.answer())[0] == 502


async def server_repeats_its_response(env: NodeEnvironment) -> None:
    await serve_one_request(env)
    env.node.pool.response_variety.different_seen = True
    client = await env.client()
    client.send("/pay/1", X_Request_ID="lost")
    (await env.upstreams[0].received.get()).answer()
    assert (await client.answer())[0] == 502


async def server_does_not_answer(env: NodeEnvironment) -> None:
    client = await env.client()
    client.send("/pay/1", left="100m", X_Request_ID="lost")
    assert (await client.answer())[0] == 502


async def server_drains(env: NodeEnvironment) -> None:
    watch = await env.watch()
    await serve_one_request(env)
    ScriptedDiscovery.push(watch, line(42, entry("s0", env.upstreams[0].address, "terminating")))


async def connection_is_idle(env: NodeEnvironment) -> None:
    await serve_one_request(env)
    env.node.pool.idle_time = 0
    env.node.pool.sweep()


@pytest.mark.parametrize(
    ("trigger", "reason", "request_id"),
    [
        (server_closes, CloseReason.PEER, "lost"),
        (server_closes_with_its_response, CloseReason.LAST_RESPONSE, "last"),
        (server_sends_noise, CloseReason.MALFORMED_RESPONSE, "lost"),
        (server_repeats_its_response, CloseReason.DUPLICATE_RESPONSE, "lost"),
        (server_does_not_answer, CloseReason.ABANDONED, "lost"),
        (server_drains, CloseReason.SERVER_OUT_OF_SERVICE, ""),
        (connection_is_idle, CloseReason.IDLE, ""),
    ],
    ids=name_of,
)
def test_a_closed_upstream_connection_has_its_reason_and_its_request(
    trigger, reason, request_id, tmp_path, monkeypatch
):
    monkeypatch.setattr(connection, "MAX_REUSE_DELAY_US", 0)

    async def test(env: NodeEnvironment) -> None:
        logged = LoggedNode(env, tmp_path / "log")
        await trigger(env)
        event = await logged.closed_event("server")
        assert event.fields["reason"] == reason.value
        assert event.fields["server.address"] == env.upstreams[0].address
        assert event.request_id == request_id

    run_with_node(test)


async def start_request(env: NodeEnvironment, path: str = "/pay/1", left: str = "25000m") -> asyncio.Task:
    """Sends a request and returns the task that waits for its answer."""
    client = await env.client()
    client.send(path, left=left)
    return asyncio.create_task(client.answer())


async def non_idempotent_request_fails(env: NodeEnvironment) -> None:
    waiting = await start_request(env)
    (await env.upstreams[0].received.get()).answer(500)
    await waiting


async def deadline_passes(env: NodeEnvironment) -> None:
    await (await start_request(env, left="60m"))


async def no_endpoint_is_listed(env: NodeEnvironment) -> None:
    ScriptedDiscovery.push(await env.watch(), line(42, entry("s0", env.upstreams[0].address, "terminated")))
    await wait_until(lambda: not env.node.registry.listed)
    await (await start_request(env))


async def limit_is_reached(env: NodeEnvironment) -> None:
    env.node.dispatcher.balancer.controller.admits = lambda *args: False
    await (await start_request(env))


async def attempts_are_used_up(env: NodeEnvironment) -> None:
    waiting = await start_request(env, "/read/1")
    while not waiting.done():
        arrived = asyncio.ensure_future(env.upstreams[0].received.get())
        await asyncio.wait([arrived, waiting], return_when=asyncio.FIRST_COMPLETED)
        if arrived.done():
            arrived.result().answer(503, extra=b"X-Not-Processed: 1\r\n")
        else:
            arrived.cancel()


async def balancer_raises(env: NodeEnvironment) -> None:
    env.node.dispatcher.balancer.request = None  # a call raises TypeError
    await (await start_request(env))


@pytest.mark.parametrize(
    ("trigger", "answer", "reason"),
    [
        (non_idempotent_request_fails, "failed", FinalReason.MAY_HAVE_RUN),
        (deadline_passes, "failed", None),
        (no_endpoint_is_listed, "refused", FinalReason.NO_SERVER),
        (limit_is_reached, "refused", FinalReason.AT_LIMIT),
        (attempts_are_used_up, "refused", FinalReason.ATTEMPTS_USED),
        (balancer_raises, "failed", FinalReason.INTERNAL),
    ],
    ids=name_of,
)
def test_a_shed_or_failed_request_has_its_reason(trigger, answer, reason, tmp_path, capfd):
    async def test(env: NodeEnvironment) -> None:
        logged = LoggedNode(env, tmp_path / "log")
        await trigger(env)
        (final,) = logged.events("final")
        assert final.fields["answer"] == answer
        # At the deadline, either the attempt or the request may end first.
        expected = {reason} if reason else {FinalReason.DEADLINE, FinalReason.MAY_HAVE_RUN}
        assert FinalReason(final.fields["reason"]) in expected
        env.node.dispatcher.report()
        assert f" {answer}_{final.fields['reason']}=1" in capfd.readouterr().err

    run_with_node(test)


def test_a_retry_is_logged_with_the_outcome_of_the_attempt_before_it(tmp_path):
    async def test(env: NodeEnvironment) -> None:
        logged = LoggedNode(env, tmp_path / "log")
        waiting = await start_request(env, "/read/1")
        (await env.upstreams[0].received.get()).answer(503, extra=b"X-Not-Processed: 1\r\n")
        (await env.upstreams[0].received.get()).answer(500)
        (await env.upstreams[0].received.get()).answer()
        assert (await waiting)[0] == 200
        causes = [event.fields.get("retry.cause") for event in logged.events("sent")]
        assert causes == [None, "rejected", "error"]

    run_with_node(test)
