"""The account of the bytes that a process holds: its rules, and that it equals what is held in any order of events."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from node_support import Client, NodeEnvironment, run_with_node, wait_until

from harecross.http.body_buffer import Upload
from harecross.platform.memory_ledger import (
    OPENING_UPLOAD_WINDOW_BYTES,
    SHORT_UPLOAD_WINDOW_BYTES,
    SMALL_BODY_BYTES,
    UPLOAD_WINDOW_BYTES,
    MemoryLedger,
)

BUDGET = 1 << 20
STEPS = 150


def test_large_bodies_leave_room_for_small_ones():
    """Guards against large bodies that keep the small ones of other clients out."""
    ledger = MemoryLedger(BUDGET)
    ledger.bodies = BUDGET * 7 // 8
    assert not ledger.body_fits(1, SMALL_BODY_BYTES + 1)
    assert ledger.body_fits(SMALL_BODY_BYTES, SMALL_BODY_BYTES)
    ledger.upstream = BUDGET // 8
    assert not ledger.body_fits(1, 1)
    assert ledger.refused == 2


def test_the_window_of_an_upload_depends_on_what_is_held():
    """Guards against uploads that hold as much each, however many there are."""
    ledger = MemoryLedger(BUDGET)
    assert ledger.upload_window(opening=True) == OPENING_UPLOAD_WINDOW_BYTES
    assert ledger.upload_window(opening=False) == UPLOAD_WINDOW_BYTES
    ledger.input = BUDGET // 4
    assert ledger.upload_window(opening=True) == UPLOAD_WINDOW_BYTES
    ledger.input = BUDGET // 2 + 1
    assert ledger.upload_window(opening=False) == SHORT_UPLOAD_WINDOW_BYTES


def test_an_upload_retains_nothing_for_a_retry_while_memory_is_short():
    """Guards against bytes that wait for a retry while other clients are refused for want of memory."""
    ledger = MemoryLedger(BUDGET)
    upload = Upload(None, ledger=ledger)
    upload.attach(lambda: None)
    upload.feed(b"first")
    assert upload.read() == b"first"
    assert upload.replayable
    ledger.bodies = BUDGET
    upload.feed(b"second")
    assert upload.read() == b"second"
    assert not upload.replayable
    assert not upload.buffered


def check_account(env: NodeEnvironment) -> None:
    """Checks that the ledger has what the connections hold."""
    connections = env.node.client_connections
    assert connections.ledger.bodies == sum(each.held_body_bytes() for each in connections.open)
    assert connections.ledger.input == sum(each.other_bytes for each in connections.open)
    assert connections.ledger.held >= 0


async def act(env: NodeEnvironment, rng: Random, clients: list[Client]) -> None:
    """Lets one client write, read or leave, or one server answer or break off."""
    action = rng.randrange(8)
    if action < 2 or not clients:
        clients.append(await env.client())
        return
    client = rng.choice(clients)
    if action == 2:
        clients.remove(client)
        client.writer.transport.abort()
    elif action == 3:
        client.send(rng.choice(["/read/1", "/pay/1"]), body=bytes(rng.choice([0, 10, 5_000, 60_000])))
    elif action == 4:
        size = rng.choice([70_000, 300_000, 2_000_000])
        request_id = rng.choice(["same", f"r{rng.random()}"])
        head = f"POST /pay/1 HTTP/1.1\r\nX-Request-ID: {request_id}\r\nX-Timeout: 300m\r\n"
        text = head.encode() + b"Content-Length: %d\r\n\r\n" % size
        client.writer.write(text + bytes(rng.randrange(size)))
    elif action == 5:
        client.writer.write(
            rng.choice([b"junk\r\n\r\n", bytes(rng.randrange(100_000)), b"GET /_health HTTP/1.1\r\n\r\n"])
        )
    else:
        for server in env.upstreams:
            while server.received.qsize():
                received = server.received.get_nowait()
                if not received.writer.is_closing():
                    received.answer(rng.choice([200, 500]), bytes(rng.choice([2, 50_000, 200_000])))


@pytest.mark.parametrize("seed", range(6))
def test_the_account_equals_the_bytes_held_and_returns_to_zero(seed):
    """Guards against bytes that are held and not counted, or counted and not held."""
    rng = Random(seed)

    async def test(env: NodeEnvironment) -> None:
        if seed % 2:
            env.node.client_connections.max_buffered_body_bytes = 400_000
        clients: list[Client] = []
        for _ in range(STEPS):
            await act(env, rng, clients)
            for _ in range(rng.randrange(4)):
                await asyncio.sleep(rng.choice([0, 0, 0.003]))
                check_account(env)
        for client in clients:
            client.writer.transport.abort()
        ledger = env.node.client_connections.ledger
        await wait_until(lambda: not env.node.client_connections.open)
        await wait_until(lambda: not env.node.dispatcher.requests)
        assert (ledger.bodies, ledger.input, ledger.upstream) == (0, 0, 0)

    run_with_node(test, servers=3)
