"""Responses that are held until they are complete are received as far as there is memory for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from node_support import Client, NodeEnvironment, ReceivedRequest, run_with_node, wait_until
from streaming_support import connect_slow_reader

from harecross.downstream import response_sender
from harecross.downstream.response_sender import ResponseSender
from harecross.http.body_buffer import MAX_BUFFERED_BODY_BYTES
from harecross.platform.memory_ledger import MIN_BUDGET_BYTES, MIN_READ_BYTES, MemoryLedger
from harecross.standins.http import answer
from harecross.upstream.connection import ServerConnection
from harecross.upstream.response_reads import ResponseReads

BUDGET_BYTES = 1 << 20
ROOM_BYTES = BUDGET_BYTES * 7 // 8
RESPONSES = 24
SERVERS = 12
RESPONSE_BYTES = 60_000
SMALL_BUFFER_BYTES = 4096
STREAM_BUDGET_BYTES = 1 << 25
STREAM_BYTES = 1 << 21


async def requests_of_many(env: NodeEnvironment) -> tuple[list[Client], list[ReceivedRequest]]:
    """Sends a request of each of many clients, and stops the budget from following the size of the process."""
    env.node.dispatcher.pool.ledger.on_growth = None
    clients = [await env.client() for _ in range(RESPONSES)]
    return clients, await sent_requests(env, clients)


async def sent_requests(env: NodeEnvironment, clients: list[Client]) -> list[ReceivedRequest]:
    """Sends a request of each client; returns them as the servers have received them."""
    for client in clients:
        client.send("/read/1")
    await wait_until(lambda: sum(server.received.qsize() for server in env.upstreams) == len(clients))
    return [server.received.get_nowait() for server in env.upstreams for _ in range(server.received.qsize())]


class Source:
    """A response of this size, of which nothing has been received."""

    def __init__(self, size: int) -> None:
        self.size = self.missing = size
        self.resumed = False

    def expected_bytes(self) -> int:
        """See `ReadSource`."""
        return self.size

    def missing_bytes(self) -> int:
        """See `ReadSource`."""
        return self.missing

    def resume_response(self) -> None:
        """See `ReadSource`."""
        self.resumed = True


class Reads(ResponseReads):
    """Responses that wait until the test lets time pass."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []
        super().__init__(MemoryLedger(BUDGET_BYTES), lambda _delay, call: self.calls.append(call))

    def tick(self) -> None:
        """Calls what was scheduled."""
        calls, self.calls[:] = list(self.calls), []
        for call in calls:
            call()


def test_responses_are_admitted_as_far_as_they_fit_together():
    """Guards against responses that together pass the budget."""
    reads = Reads()
    sources = [Source(ROOM_BYTES // 3) for _ in range(4)]
    assert [reads.admit(source) for source in sources] == [True, True, True, False]
    reads.tick()
    assert not sources[3].resumed
    reads.leave(sources[0])
    reads.tick()
    assert sources[3].resumed


def test_what_has_been_received_of_a_response_is_not_counted_twice():
    """Guards against responses that wait although there is room for them."""
    reads = Reads()
    first, second = Source(ROOM_BYTES), Source(ROOM_BYTES // 4)
    assert reads.admit(first)
    assert not reads.admit(second)
    reads.ledger.upstream += ROOM_BYTES // 2
    first.missing = ROOM_BYTES // 4
    reads.tick()
    assert second.resumed


def test_a_small_response_does_not_pass_one_that_waits():
    """Guards against a large response that waits for ever behind ever new small ones."""
    reads = Reads()
    sources = [Source(ROOM_BYTES), Source(ROOM_BYTES), Source(1)]
    assert [reads.admit(source) for source in sources] == [True, False, False]


def test_some_responses_are_admitted_when_all_memory_is_used():
    """Guards against responses that wait until their deadlines because others hold the whole budget."""
    reads = Reads()
    reads.ledger.upstream = 2 * BUDGET_BYTES
    sources = [Source(MIN_BUDGET_BYTES // 2) for _ in range(3)]
    assert [reads.admit(source) for source in sources] == [True, True, False]


def test_responses_that_are_admitted_beyond_the_budget_take_no_more_than_its_least():
    """Guards against more and more of them, since what is missing of those before gets less."""
    reads = Reads()
    reads.ledger.upstream = 2 * BUDGET_BYTES
    sources = [Source(MIN_BUDGET_BYTES // 2) for _ in range(4)]
    for source in sources:
        reads.admit(source)
        source.missing = 1
    reads.tick()
    assert [source in reads.admitted for source in sources] == [True, True, False, False]


def test_a_response_larger_than_all_room_is_admitted_alone():
    """Guards against a response that waits for ever."""
    reads = Reads()
    small, large = Source(1), Source(2 * BUDGET_BYTES)
    assert reads.admit(small)
    assert not reads.admit(large)
    reads.tick()
    assert not large.resumed
    reads.leave(small)
    reads.tick()
    assert large.resumed


def test_a_response_that_ended_while_it_waited_is_not_resumed():
    """Guards against a place for a response that has ended."""
    reads = Reads()
    first, second = Source(ROOM_BYTES), Source(ROOM_BYTES)
    reads.admit(first)
    reads.admit(second)
    assert reads.leave(second)
    reads.leave(first)
    reads.tick()
    assert not second.resumed
    assert not reads.calls


def test_responses_that_arrive_together_stay_within_the_budget():
    """Guards against parts of many responses that together pass the budget."""

    async def test(env: NodeEnvironment) -> None:
        pool = env.node.dispatcher.pool
        clients, requests = await requests_of_many(env)
        pool.ledger.set_share(BUDGET_BYTES)
        response = answer(200, bytes(RESPONSE_BYTES))
        for request in requests:
            request.writer.write(response[:-1])
        await wait_until(lambda: pool.response_reads.waiting)
        await asyncio.sleep(0.05)
        for request in requests:
            request.writer.write(response[-1:])
        assert [(await client.answer())[0] for client in clients] == [200] * RESPONSES
        assert BUDGET_BYTES // 2 < pool.ledger.peak <= BUDGET_BYTES
        assert not pool.response_reads.waiting
        assert not pool.response_reads.admitted

    run_with_node(test, SERVERS)


def test_what_the_kernel_does_not_take_of_a_response_is_held_at_once(monkeypatch):
    """Guards against responses that are in no account between their write and the end of the turn."""
    held = []
    response_sent = ResponseSender.response_sent

    def spy(self: ResponseSender, *, closes: bool) -> None:
        response_sent(self, closes=closes)
        held.append(self.owner.ledger.input)

    monkeypatch.setattr(ResponseSender, "response_sent", spy)
    monkeypatch.setattr(response_sender, "MAX_HELD_RESPONSE_BYTES", SMALL_BUFFER_BYTES)
    monkeypatch.setattr(response_sender, "MAX_BUFFERED_BODY_BYTES", SMALL_BUFFER_BYTES)

    async def test(env: NodeEnvironment) -> None:
        sock = await connect_slow_reader(env.node.address)
        sock.send(b"GET /read/1 HTTP/1.1\r\nX-Request-ID: n\r\nX-Timeout: 900m\r\n\r\n")
        (await env.upstreams[0].received.get()).answer(body=bytes(RESPONSE_BYTES))
        await wait_until(lambda: held)
        assert held[0] >= RESPONSE_BYTES // 2
        sock.close()

    run_with_node(test)


def test_a_response_that_waits_when_its_client_leaves_gives_up_its_place():
    """Guards against places that nobody gives up, for which all later responses wait."""

    async def test(env: NodeEnvironment) -> None:
        pool = env.node.dispatcher.pool
        clients, requests = await requests_of_many(env)
        pool.ledger.set_share(MIN_READ_BYTES)
        for request in requests:
            request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BUFFERED_BODY_BYTES)
            request.writer.write(bytes(2 * MIN_READ_BYTES))
        await wait_until(lambda: pool.response_reads.waiting)
        for client in clients:
            client.writer.close()
        await wait_until(lambda: not pool.response_reads.admitted)
        await asyncio.sleep(0)
        assert not pool.response_reads.waiting

    run_with_node(test, SERVERS)


def test_a_streamed_response_is_read_in_large_parts_while_memory_is_short(monkeypatch):
    """Guards against a slow download because of responses that are held until they are complete."""
    parts: list[int] = []
    buffer_updated = ServerConnection.buffer_updated

    def spy(self: ServerConnection, nbytes: int) -> None:
        parts.append(nbytes)
        buffer_updated(self, nbytes)

    monkeypatch.setattr(ServerConnection, "buffer_updated", spy)

    async def test(env: NodeEnvironment) -> None:
        ledger = env.node.dispatcher.pool.ledger
        ledger.on_growth = None
        client = await env.client()
        [request] = await sent_requests(env, [client])
        ledger.set_share(STREAM_BUDGET_BYTES)
        ledger.upstream += STREAM_BUDGET_BYTES * 5 // 8
        parts.clear()
        request.answer(body=bytes(STREAM_BYTES))
        assert (await client.answer())[0] == 200
        assert len(parts) <= STREAM_BYTES // MIN_READ_BYTES // 4

    run_with_node(test)
