"""Late second copies of responses: no response is ever taken for that of another request."""

from __future__ import annotations

import asyncio
import time

import pytest
from node_support import NodeEnvironment, run_with_node
from race_support import REQUEST_KIND_NAMES, REQUEST_KINDS
from streaming_support import LARGE_BODY, Peer, run_with_peers

from harecross.dispatch.close_reasons import CloseReason
from harecross.interface import Outcome
from harecross.standins.http import answer, header, read_message
from harecross.upstream import duplicate_responses
from harecross.upstream.duplicate_responses import (
    DUPLICATE_WINDOW_US,
    EQUAL_MEMORY_RESPONSES,
    ConnectionResponses,
    ResponseVariety,
    fingerprint,
)

every_request_kind = pytest.mark.parametrize("kind", REQUEST_KINDS, ids=REQUEST_KIND_NAMES)
WORK_S = 0.004
REUSE_PAUSE_S = 0.03  # longer than the reuse delay of a connection


def test_a_response_is_doubtful_if_it_equals_the_one_before():
    responses = ConnectionResponses()
    one, two = fingerprint(200, b"one"), fingerprint(200, b"two")
    responses.record(one, 1000)
    for written in (1000, 2000, 1 << 50):
        assert responses.may_be_duplicate(one, written, equal_expected=False)
        assert not responses.may_be_duplicate(two, written, equal_expected=False)
        assert not responses.may_be_duplicate(fingerprint(503, b"one"), written, equal_expected=False)
    responses.record(two, 2000)
    assert responses.may_be_duplicate(one, 3000, equal_expected=False)
    responses.record(fingerprint(200, b"three"), 1 << 50)
    assert not responses.may_be_duplicate(one, 1 << 50, equal_expected=False)


def test_where_equal_responses_are_expected_a_response_is_doubtful_for_a_tenth_of_a_second():
    responses = ConnectionResponses()
    one, two = fingerprint(200, b"one"), fingerprint(200, b"two")
    responses.record(one, 1000)
    responses.record(two, 2000)
    for response, received in ((one, 1000), (two, 2000)):
        last = received + DUPLICATE_WINDOW_US
        assert responses.may_be_duplicate(response, last - 1, equal_expected=True)
        assert not responses.may_be_duplicate(response, last, equal_expected=True)


def test_equal_responses_are_expected_until_two_differ_and_after_two_were_equal():
    variety = ResponseVariety()
    assert variety.equal_expected
    variety.record(fingerprint(200, b"one"))
    assert variety.equal_expected
    variety.record(fingerprint(200, b"two"))
    assert not variety.equal_expected
    variety.record(fingerprint(200, b"one"))
    for number in range(EQUAL_MEMORY_RESPONSES):
        assert variety.equal_expected
        variety.record(fingerprint(200, b"%d" % number))
    assert not variety.equal_expected


def server_with_late_copies(delay_s: float, arrivals: list[bytes]) -> Peer:
    """Returns a server that answers each request with its id.

    A second copy of each response arrives at the node `delay_s` after the next request of that connection was written,
    however late that is, and before the response to that request.
    """

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        previous = b""
        try:
            while True:
                head, _ = await read_message(reader)
                arrivals.append(header(head, b"X-Request-ID"))
                await asyncio.sleep(delay_s)
                writer.write(previous)
                await asyncio.sleep(WORK_S)
                previous = answer(200, arrivals[-1])
                writer.write(previous)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.15])
@every_request_kind
def test_a_copy_behind_the_next_request_is_never_its_response(kind, delay_s):
    # Guards against a second copy that is served to another client, whatever the latency of the link.
    arrivals: list[bytes] = []

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        served = 0
        for number in range(12):
            request_id = f"{kind[0]}-{number}"
            client.send(kind[0], key=kind[1] and f"key{number}", X_Request_ID=request_id)
            status, _, body = await client.answer()
            # Of the three kinds, only an idempotent request may be shed although it may have run.
            assert status in (200, 502) or (status == 503 and kind[0] == "/read/1")
            if status == 200:
                assert body == request_id.encode()
                served += 1
            await asyncio.sleep(REUSE_PAUSE_S)
        assert env.node.dispatcher.statistics.close_reasons[CloseReason.DUPLICATE_RESPONSE] > 0
        assert served > 0
        if kind[0] == "/pay/1":
            assert len(arrivals) == len(set(arrivals))

    run_with_peers(test, server_with_late_copies(delay_s, arrivals))


def test_a_copy_of_a_small_response_is_not_the_response_to_an_upload():
    # Guards against a second copy that is served while the body of the next request is still being sent.
    arrivals: list[bytes] = []

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        for number in range(6):
            request_id = f"id{number}"
            body = LARGE_BODY if number % 2 else b""
            client.send("/pay/1", body=body, X_Request_ID=request_id)
            status, _, body = await client.answer()
            assert status == 502 or body == request_id.encode()
            await asyncio.sleep(REUSE_PAUSE_S)

    run_with_peers(test, server_with_late_copies(0, arrivals))


def test_a_copy_of_a_streamed_response_reaches_nobody():
    # Guards against a copy of a response that is too large to be compared: its connection is not used again.
    async def large_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        previous = b""
        try:
            while True:
                head, _ = await read_message(reader)
                writer.write(previous)
                previous = answer(200, header(head, b"X-Request-ID") * 30_000)
                writer.write(previous)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        for number in range(6):
            client.send("/pay/1", X_Request_ID=f"id{number}")
            assert (await client.answer())[::2] == (200, b"id%d" % number * 30_000)
            await asyncio.sleep(REUSE_PAUSE_S)

    run_with_peers(test, large_responses)


NOT_PROCESSED = answer(503, extra=b"X-Not-Processed: 1\r\n")


def server_with_copies_of_rejections(arrivals: list[bytes]) -> Peer:
    """Returns a server that turns away the first request of each connection and runs the others.

    A second copy of its rejection arrives behind the next request of that connection. `arrivals` are the ids that ran.
    """

    async def peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await read_message(reader)
            writer.write(NOT_PROCESSED)
            head, _ = await read_message(reader)
            writer.write(NOT_PROCESSED)
            while True:
                request_id = header(head, b"X-Request-ID")
                arrivals.append(request_id)
                await asyncio.sleep(0.05)
                writer.write(answer(200, request_id))
                head, _ = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return peer


@every_request_kind
def test_a_copy_of_a_rejection_does_not_free_the_next_request(kind):
    # Guards against a copy of a turned-away answer that is taken for the next request's: that request runs and is sent
    # to another server all the same, and its connection stays one response behind.
    arrivals: list[bytes] = []

    async def test(env: NodeEnvironment) -> None:
        clients = [await env.client() for _ in range(4)]
        for number in range(10):
            for i, client in enumerate(clients):
                client.send(kind[0], key=kind[1] and f"k{number}-{i}", X_Request_ID=f"id{number}-{i}")
            for i, client in enumerate(clients):
                status, _, body = await client.answer()
                assert status != 200 or body == b"id%d-%d" % (number, i)
            await asyncio.sleep(REUSE_PAUSE_S)
        assert len(arrivals) == len(set(arrivals))

    run_with_peers(test, *(server_with_copies_of_rejections(arrivals) for _ in range(3)))


def test_a_second_rejection_of_a_good_server_is_not_taken_for_a_copy():
    # Guards against a request that fails although each server has turned it away, so that it cannot have run.
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        for number in range(8):
            client.send("/pay/1")
            (await env.upstreams[0].received.get()).answer(200, body=b"%d" % number)
            assert (await client.answer())[0] == 200
            await asyncio.sleep(REUSE_PAUSE_S)
            client.send("/pay/1")
            for _ in range(2):
                received = await env.upstreams[0].received.get()
                received.writer.write(NOT_PROCESSED)
            received = await env.upstreams[0].received.get()
            received.answer(200, body=b"%d again" % number)
            assert (await client.answer())[::2] == (200, b"%d again" % number)
        assert env.node.dispatcher.statistics.outcomes[Outcome.REJECTED] == 16

    run_with_node(test)


def test_equal_errors_of_a_server_are_errors():
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        env.node.pool.response_variety.different_seen = True
        connections = []
        for _ in range(4):
            client.send("/pay/1")
            received = await env.upstreams[0].received.get()
            connections.append(received.connection_number)
            received.answer(500)
            assert (await client.answer())[0] == 502
            await asyncio.sleep(REUSE_PAUSE_S)
        assert env.node.dispatcher.statistics.outcomes[Outcome.ERROR] == 4
        assert connections == [0, 0, 1, 1]

    run_with_node(test)


def test_equal_responses_of_a_good_server_are_all_served_and_their_connections_rest():
    # Guards against a service whose responses are equal being taken for a faulty one.
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        last_response: dict[int, float] = {}
        for _ in range(20):
            client.send("/pay/1")
            received = await env.upstreams[0].received.get()
            rest_s = time.monotonic() - last_response.get(received.connection_number, 0)
            assert rest_s >= DUPLICATE_WINDOW_US / 1e6
            received.answer(body=b"done")
            assert (await client.answer())[::2] == (200, b"done")
            last_response[received.connection_number] = time.monotonic()
            await asyncio.sleep(REUSE_PAUSE_S)
        assert env.node.dispatcher.statistics.outcomes[Outcome.OK] == 20
        assert len(last_response) < 20

    run_with_node(test)


def test_without_descriptors_equal_responses_are_served_on_new_connections():
    # Guards against a connection that is used too early, so that its equal response is in doubt and fails.
    async def test(env: NodeEnvironment) -> None:
        client = await env.client()
        env.node.descriptor_budget.total = 3
        for _ in range(6):
            client.send("/pay/1")
            (await env.upstreams[0].received.get()).answer(body=b"done")
            assert (await client.answer())[::2] == (200, b"done")
            await asyncio.sleep(REUSE_PAUSE_S)
        assert env.node.dispatcher.statistics.outcomes[Outcome.OK] == 6

    run_with_node(test)


def test_a_doubtful_response_to_a_health_check_counts_and_ends_its_connection(monkeypatch):
    # Guards against a copy of a health check's response that leaves its connection one response behind.
    monkeypatch.setattr(duplicate_responses, "DUPLICATE_WINDOW_US", 1 << 60)

    async def test(env: NodeEnvironment) -> None:
        outcomes: asyncio.Queue[tuple] = asyncio.Queue()
        balancer = env.node.dispatcher.balancer
        balancer.health_checked = lambda *args: outcomes.put_nowait(args[1:3])  # type: ignore[method-assign]
        env.node.pool.response_variety.different_seen = True
        numbers = []
        for _ in range(3):
            env.node.dispatcher.health_check(1)
            received = await env.upstreams[0].received.get()
            numbers.append(received.connection_number)
            received.answer(body=b"util=0.5,eps=1")
            assert await outcomes.get() == (1, True)
            await asyncio.sleep(REUSE_PAUSE_S)
        assert numbers == [0, 0, 1]

    run_with_node(test)
