"""A reason for every close, retry and refusal: in the attempt log, and counted in the report line."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from harecross.dispatch.close_reasons import CloseReason
from harecross.downstream import connection_manager
from harecross.follow.attempt_log import AttemptLog
from harecross.follow.events import Event
from harecross.follow.logs import read_logs
from harecross.interface import FinalReason
from harecross.upstream import connection
from tests.node_support import Catalog, World, entry, line, until, with_node


class Logged:
    """The attempt log of a node under test."""

    def __init__(self, world: World, path: Path) -> None:
        self.world, self.path = world, path
        world.node.dispatcher.tracer = AttemptLog("n0", str(path), world.node.registry.numbers)

    def events(self, what: str) -> list[Event]:
        self.world.node.dispatcher.tracer.flush()
        logs = read_logs([self.path])
        found = [e for r in logs.requests.values() for e in r.events]
        found += [e for events in logs.node_events.values() for e in events]
        return [e for e in found if e.name == what]

    async def closing(self, side: str) -> Event:
        """The first connection of a side that ends."""
        closings = self.world.node.dispatcher.statistics.close_reasons
        while True:
            await until(lambda: closings)
            for event in self.events("closed"):
                if event.fields["side"] == side:
                    return event
            await asyncio.sleep(0.005)


def name_of(value: object) -> str:
    """For a test's id: of a function its own name."""
    return getattr(value, "__name__", str(value))


async def served(w: World, **more: str) -> None:
    client = await w.client()
    client.send(**more)
    (await w.origins[0].arrived.get()).answer()
    assert (await client.answer())[0] == 200


# ---- connections of clients -------------------------------------------------------------------------------


async def client_leaves(w: World) -> None:
    (await w.client()).writer.close()


async def client_asks_for_the_end(w: World) -> None:
    await served(w, Connection="close")


async def client_says_nothing(w: World) -> None:
    client = await w.client()
    await client.reader.read()


async def client_sends_noise(w: World) -> None:
    client = await w.client()
    client.writer.write(b"\x00\x01\r\n\r\n")
    await client.reader.read()


async def client_rests(w: World) -> None:
    client = await w.client()
    client.send("/_health")
    await client.answer()
    await client.reader.read()


async def node_stops(w: World) -> None:
    client = await w.client()
    client.send("/_health")
    await client.answer()
    w.node.stop_requested.set()
    await client.reader.read()


async def place_is_wanted(w: World) -> None:
    client = await w.client()
    client.send("/_health")
    await client.answer()
    assert w.node.client_connections.evict_one()
    await client.reader.read()


@pytest.mark.parametrize(
    "happens, reason",
    [
        (client_leaves, CloseReason.PEER),
        (client_asks_for_the_end, CloseReason.LAST_RESPONSE),
        (client_says_nothing, CloseReason.REQUEST_TIMEOUT),
        (client_sends_noise, CloseReason.BAD_REQUEST),
        (client_rests, CloseReason.IDLE),
        (node_stops, CloseReason.SHUTDOWN),
        (place_is_wanted, CloseReason.DESCRIPTOR_SHORTAGE),
    ],
    ids=name_of,
)
def test_the_end_of_a_client_s_connection_has_its_reason(happens, reason, tmp_path, monkeypatch):
    monkeypatch.setattr(connection_manager, "RECEIVE_TIMEOUT_US", 500_000)
    if reason is CloseReason.IDLE:
        monkeypatch.setattr(connection_manager, "IDLE_TIMEOUT_US", 100_000)

    async def test(w: World) -> None:
        logged = Logged(w, tmp_path / "log")
        await happens(w)
        event = await logged.closing("client")
        assert event.fields["reason"] == reason.value
        assert w.node.dispatcher.statistics.close_reasons[reason] >= 1

    with_node(test)


# ---- connections to servers -------------------------------------------------------------------------------


async def server_closes(w: World) -> None:
    client = await w.client()
    client.send("/pay/1", X_Request_ID="lost")
    (await w.origins[0].arrived.get()).writer.close()
    assert (await client.answer())[0] == 502


async def server_ends_with_its_answer(w: World) -> None:
    client = await w.client()
    client.send(X_Request_ID="last")
    (await w.origins[0].arrived.get()).answer(extra=b"Connection: close\r\n")
    assert (await client.answer())[0] == 200


async def server_answers_noise(w: World) -> None:
    client = await w.client()
    client.send("/pay/1", X_Request_ID="lost")
    (await w.origins[0].arrived.get()).writer.write(b"\x00\x01\x02\r\n\r\n")
    assert (await client.answer())[0] == 502


async def server_is_silent(w: World) -> None:
    client = await w.client()
    client.send("/pay/1", left="100m", X_Request_ID="lost")
    assert (await client.answer())[0] == 502


async def server_drains(w: World) -> None:
    watch = await w.watch()
    await served(w)
    Catalog.push(watch, line(42, entry("s0", w.origins[0].address, "terminating")))


async def connection_rests(w: World) -> None:
    await served(w)
    w.node.pool.idle_time = 0
    w.node.pool.sweep()


@pytest.mark.parametrize(
    "happens, reason, request_id",
    [
        (server_closes, CloseReason.PEER, "lost"),
        (server_ends_with_its_answer, CloseReason.LAST_RESPONSE, "last"),
        (server_answers_noise, CloseReason.MALFORMED_RESPONSE, "lost"),
        (server_is_silent, CloseReason.ABANDONED, "lost"),
        (server_drains, CloseReason.SERVER_OUT_OF_SERVICE, ""),
        (connection_rests, CloseReason.IDLE, ""),
    ],
    ids=name_of,
)
def test_the_end_of_a_connection_to_a_server_has_its_reason_and_its_request(
    happens, reason, request_id, tmp_path, monkeypatch
):
    monkeypatch.setattr(connection, "MAX_REST_US", 0)

    async def test(w: World) -> None:
        logged = Logged(w, tmp_path / "log")
        await happens(w)
        event = await logged.closing("server")
        assert event.fields["reason"] == reason.value
        assert event.fields["server.address"] == w.origins[0].address
        assert event.request_id == request_id

    with_node(test)


# ---- answers and retries ----------------------------------------------------------------------------------


async def one(w: World, path: str = "/pay/1", left: str = "25000m") -> asyncio.Task:
    """A request on its way: the task of its answer."""
    client = await w.client()
    client.send(path, left=left)
    return asyncio.create_task(client.answer())


async def unsafe_one_fails(w: World) -> None:
    waiting = await one(w)
    (await w.origins[0].arrived.get()).answer(500)
    await waiting


async def no_answer_in_time(w: World) -> None:
    await (await one(w, left="60m"))


async def nobody_is_listed(w: World) -> None:
    Catalog.push(await w.watch(), line(42, entry("s0", w.origins[0].address, "terminated")))
    await until(lambda: not w.node.registry.listed)
    await (await one(w))


async def limit_is_reached(w: World) -> None:
    w.node.dispatcher.balancer.controller.admits = lambda *args: False
    await (await one(w))


async def attempts_are_used_up(w: World) -> None:
    waiting = await one(w, "/read/1")
    while not waiting.done():
        arrived = asyncio.ensure_future(w.origins[0].arrived.get())
        await asyncio.wait([arrived, waiting], return_when=asyncio.FIRST_COMPLETED)
        if arrived.done():
            arrived.result().answer(503, extra=b"X-Not-Processed: 1\r\n")
        else:
            arrived.cancel()


async def module_breaks(w: World) -> None:
    w.node.dispatcher.balancer.request = None  # not to be called
    await (await one(w))


@pytest.mark.parametrize(
    "happens, answer, reason",
    [
        (unsafe_one_fails, "failed", FinalReason.MAY_HAVE_RUN),
        (no_answer_in_time, "failed", None),
        (nobody_is_listed, "refused", FinalReason.NO_SERVER),
        (limit_is_reached, "refused", FinalReason.AT_LIMIT),
        (attempts_are_used_up, "refused", FinalReason.ATTEMPTS_USED),
        (module_breaks, "failed", FinalReason.INTERNAL),
    ],
    ids=name_of,
)
def test_an_answer_that_is_no_server_s_has_its_reason(happens, answer, reason, tmp_path, capfd):
    async def test(w: World) -> None:
        logged = Logged(w, tmp_path / "log")
        await happens(w)
        (final,) = logged.events("final")
        assert final.fields["answer"] == answer
        # At the end of its time either the attempt's end or the request's own comes first.
        expected = {reason} if reason else {FinalReason.DEADLINE, FinalReason.MAY_HAVE_RUN}
        assert FinalReason(final.fields["reason"]) in expected
        w.node.dispatcher.report()
        assert f" {answer}_{final.fields['reason']}=1" in capfd.readouterr().err

    with_node(test)


def test_a_retry_says_how_the_attempt_before_it_ended(tmp_path):
    async def test(w: World) -> None:
        logged = Logged(w, tmp_path / "log")
        waiting = await one(w, "/read/1")
        (await w.origins[0].arrived.get()).answer(503, extra=b"X-Not-Processed: 1\r\n")
        (await w.origins[0].arrived.get()).answer(500)
        (await w.origins[0].arrived.get()).answer()
        assert (await waiting)[0] == 200
        causes = [e.fields.get("retry.cause") for e in logged.events("sent")]
        assert causes == [None, "rejected", "error"]

    with_node(test)
