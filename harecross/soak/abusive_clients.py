"""Clients that flood a node, stall, read or write slowly, or leave behind unread bytes.

A node has to answer all other clients in time while they act, and stay within its memory. Each kind is a coroutine that
acts on one connection, or on a series of them, until its event is set.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from itertools import count
from pathlib import Path
from typing import Any

Address = tuple[str, int]
AbusiveClient = Callable[[Address, asyncio.Event], Coroutine[Any, Any, None]]

HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"
PIPELINED_BYTES = 1 << 18
CHUNKS = 60_000
UPLOAD_BYTES = 1_000_000
WRITTEN_UPLOAD_BYTES = 300_000
PAUSE_S = 0.25
SLOW_READ_BYTES = 4096
SLOW_RECEIVE_BUFFER_BYTES = 8192
HEAD_FIELDS = 60
MANY_HEAD_FIELDS = 3_000
TRAILER_BYTES = 100_000
UNREAD_REQUESTS = 8
PIECE_BYTES = 1 << 14
RECONNECT_S = 0.5
MIXED_PART_S = 1.0

request_numbers = count(1)


def new_request_id() -> str:
    """Returns an ID that no other request has, in this process or another one."""
    return f"abuse-{os.getpid()}-{next(request_numbers)}"


def upload_head(framing: str, request_id: str = "") -> bytes:
    """Returns the head of a keyed request with a body."""
    request_id = request_id or new_request_id()
    return (
        f"POST /put/{request_id} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {request_id}\r\nX-Timeout: 2000m\r\n"
        f"Idempotency-Key: {request_id}\r\n{framing}\r\n\r\n"
    ).encode()


async def connect(address: Address, receive_buffer_bytes: int = 0) -> socket.socket:
    """Opens a non-blocking connection."""
    sock = socket.socket()
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.settimeout(0)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


async def read_to_end(sock: socket.socket) -> None:
    """Reads and drops everything that arrives."""
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        while await loop.sock_recv(sock, 1 << 16):
            pass


async def write_and_read(address: Address, stop: asyncio.Event, data: bytes, *, repeat: bool) -> None:
    """Writes `data`, once or over and over, and reads what comes, until the connection ends or `stop` is set."""
    loop = asyncio.get_running_loop()
    sock = await connect(address)
    reader = asyncio.create_task(read_to_end(sock))
    stopped = asyncio.create_task(stop.wait())
    try:
        while not stop.is_set() and not reader.done():
            await loop.sock_sendall(sock, data)
            if not repeat:
                await asyncio.wait([reader, stopped], return_when=asyncio.FIRST_COMPLETED)
                return
    except OSError:
        pass
    finally:
        stopped.cancel()
        reader.cancel()
        with suppress(asyncio.CancelledError):
            await reader
        sock.close()


async def again_and_again(stop: asyncio.Event, act: Callable[[], Awaitable[None]]) -> None:
    """Repeats `act` until `stop` is set."""
    while not stop.is_set():
        with suppress(OSError):
            await act()
        with suppress(TimeoutError):
            async with asyncio.timeout(RECONNECT_S):
                await stop.wait()


async def flood_health_checks(address: Address, stop: asyncio.Event) -> None:
    """Pipelines health checks without waiting for answers."""
    data = HEALTH_CHECK * (PIPELINED_BYTES // len(HEALTH_CHECK))
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=True))


async def flood_unsound_requests(address: Address, stop: asyncio.Event) -> None:
    """Sends requests of ever new classes and tenants, each of them answered with an error."""

    async def act() -> None:
        name = f"new-{next(request_numbers)}"
        text = (
            f"GET /{name}/1 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Tenant-Id: {name}\r\nX-Timeout: 1m\r\n\r\n"
        )
        await write_and_read(address, stop, text.encode(), repeat=False)

    while not stop.is_set():
        with suppress(OSError):
            await act()


async def flood_chunks(address: Address, stop: asyncio.Event) -> None:
    """Sends a body in chunks of one byte."""
    data = upload_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * CHUNKS
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def stop_half_way(address: Address, stop: asyncio.Event) -> None:
    """Writes a part of a large body and stays."""
    data = upload_head(f"Content-Length: {UPLOAD_BYTES}") + bytes(WRITTEN_UPLOAD_BYTES)
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def stop_half_way_with_one_id(address: Address, stop: asyncio.Event) -> None:
    """Writes a part of a large body under an ID that others use as well."""
    data = upload_head(f"Content-Length: {UPLOAD_BYTES}", "abuse-shared") + bytes(WRITTEN_UPLOAD_BYTES)
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def stop_in_small_body(address: Address, stop: asyncio.Event) -> None:
    """Writes nearly all of a body that is just small enough to be received whole, and stays."""
    data = upload_head("Content-Length: 65000") + bytes(64_000)
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def stop_in_head(address: Address, stop: asyncio.Event) -> None:
    """Writes a head of very many short fields without its end, and stays."""
    fields = b"".join(b"a%d: b\r\n" % number for number in range(HEAD_FIELDS))
    data = b"GET /read/1 HTTP/1.1\r\n" + fields + b"b: " + b"x" * 12_000
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def write_many_fields(address: Address, stop: asyncio.Event) -> None:
    """Writes a head of thousands of short fields."""
    fields = b"".join(b"a%d: b\r\n" % number for number in range(MANY_HEAD_FIELDS))
    data = b"GET /read/1 HTTP/1.1\r\n" + fields
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def write_endless_trailers(address: Address, stop: asyncio.Event) -> None:
    """Writes a small chunked body, and behind it many trailers."""
    trailers = b"".join(b"t%d: v\r\n" % number for number in range(TRAILER_BYTES // 10))
    data = upload_head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n" + trailers
    await again_and_again(stop, lambda: write_and_read(address, stop, data, repeat=False))


async def write_slow_pieces(address: Address, stop: asyncio.Event) -> None:
    """Writes a large body in small pieces with pauses, at the least rate that the pages allow."""
    loop = asyncio.get_running_loop()

    async def act() -> None:
        sock = await connect(address)
        reader = asyncio.create_task(read_to_end(sock))
        try:
            await loop.sock_sendall(sock, upload_head(f"Content-Length: {UPLOAD_BYTES}"))
            for _ in range(UPLOAD_BYTES // PIECE_BYTES):
                await loop.sock_sendall(sock, bytes(PIECE_BYTES))
                await asyncio.wait([reader], timeout=PAUSE_S)
                if reader.done() or stop.is_set():
                    return
        finally:
            reader.cancel()
            with suppress(asyncio.CancelledError):
                await reader
            sock.close()

    await again_and_again(stop, act)


async def leave_answers_unread(address: Address, stop: asyncio.Event, path: str, requests: int) -> None:
    """Asks for several answers at once and reads none of them."""
    loop = asyncio.get_running_loop()

    async def act() -> None:
        sock = await connect(address, SLOW_RECEIVE_BUFFER_BYTES)
        try:
            for _ in range(requests):
                name = new_request_id()
                text = f"GET {path} HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout: 2000m\r\n\r\n"
                await loop.sock_sendall(sock, text.encode())
            await stop.wait()
        finally:
            sock.close()

    await again_and_again(stop, act)


async def leave_medium_answers_unread(address: Address, stop: asyncio.Event) -> None:
    """Leaves answers unread that are just small enough to be received whole."""
    await leave_answers_unread(address, stop, "/read/medium", UNREAD_REQUESTS)


async def leave_huge_answer_unread(address: Address, stop: asyncio.Event) -> None:
    """Leaves a streamed answer unread."""
    await leave_answers_unread(address, stop, "/read/huge", 1)


async def read_slowly(address: Address, stop: asyncio.Event) -> None:
    """Asks for an answer and reads some of it now and then."""
    loop = asyncio.get_running_loop()

    async def act() -> None:
        sock = await connect(address, SLOW_RECEIVE_BUFFER_BYTES)
        try:
            name = new_request_id()
            text = f"GET /read/large HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout: 2000m\r\n\r\n"
            await loop.sock_sendall(sock, text.encode())
            while not stop.is_set():
                async with asyncio.timeout(10):
                    if not await loop.sock_recv(sock, SLOW_READ_BYTES):
                        return
                await asyncio.sleep(PAUSE_S)
        finally:
            sock.close()

    with suppress(TimeoutError):
        await again_and_again(stop, act)


async def leave_behind_unread_bytes(address: Address, stop: asyncio.Event) -> None:
    """Sends a request, behind it a large body, and closes the connection soon after."""
    loop = asyncio.get_running_loop()

    async def act() -> None:
        sock = await connect(address)
        try:
            name = new_request_id()
            text = f"GET /read/1 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout: 2000m\r\n\r\n".encode()
            body = upload_head(f"Content-Length: {UPLOAD_BYTES}") + bytes(UPLOAD_BYTES)
            with suppress(TimeoutError):
                async with asyncio.timeout(PAUSE_S):
                    await loop.sock_sendall(sock, text + body)
        finally:
            sock.close()

    await again_and_again(stop, act)


KINDS: dict[str, AbusiveClient] = {
    "health checks": flood_health_checks,
    "unsound requests": flood_unsound_requests,
    "tiny chunks": flood_chunks,
    "half uploads": stop_half_way,
    "half uploads of one id": stop_half_way_with_one_id,
    "half small bodies": stop_in_small_body,
    "half heads": stop_in_head,
    "slow readers": read_slowly,
    "departures": leave_behind_unread_bytes,
    "many fields": write_many_fields,
    "endless trailers": write_endless_trailers,
    "slow pieces": write_slow_pieces,
    "unread answers": leave_medium_answers_unread,
    "unread huge answers": leave_huge_answer_unread,
}
# The kinds that make a node hold much for each client.
HOARDING_KINDS = (
    "half small bodies",
    "half uploads",
    "half heads",
    "many fields",
    "endless trailers",
    "slow pieces",
    "unread answers",
    "unread huge answers",
    "slow readers",
)


async def act_in_turn(address: Address, stop: asyncio.Event) -> None:
    """Acts as each of the kinds that make a node hold much, one after the other; each client begins with another."""
    numbers = count(next(request_numbers))
    while not stop.is_set():
        part_done = asyncio.Event()
        act = KINDS[HOARDING_KINDS[next(numbers) % len(HOARDING_KINDS)]]
        task = asyncio.create_task(act(address, part_done))
        await asyncio.wait([task], timeout=MIXED_PART_S)
        part_done.set()
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


KINDS["mix"] = act_in_turn


async def act_together(kind: str, clients: int, address: Address, seconds: float) -> None:
    """Runs clients of one kind for some time."""
    stop = asyncio.Event()
    tasks = [asyncio.create_task(KINDS[kind](address, stop)) for _ in range(clients)]
    await asyncio.sleep(seconds)
    stop.set()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def start_process(
    kind: str, clients: int, address: Address, seconds: float
) -> asyncio.subprocess.Process:
    """Starts a process that runs clients of one kind, so that they do not slow down this one."""
    arguments = [kind, str(clients), address[0], str(address[1]), str(seconds)]
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "harecross.soak.abusive_clients", *arguments, env=environment
    )


if __name__ == "__main__":
    own_kind, count_text, host, port_text, seconds_text = sys.argv[1:]
    asyncio.run(act_together(own_kind, int(count_text), (host, int(port_text)), float(seconds_text)))
