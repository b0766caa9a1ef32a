"""The report line's figures on memory, over loopback sockets."""

from __future__ import annotations

import asyncio

from node_support import run_with_node, wait_until

from harecross.node.memory_report import held_bytes, memory_fields
from harecross.platform.process_memory import ResidentMemory, parse_status, resident_memory

HALF_BODY = 40_000


def test_the_status_file_tells_the_resident_size_and_its_peak():
    """Guards against figures that are read from the wrong lines."""
    assert parse_status("VmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n") == ResidentMemory(1 << 20, 1 << 21)
    assert parse_status("Name:\tx\n") == ResidentMemory(0, 0)
    assert 1 << 20 < resident_memory().current <= resident_memory().peak


def test_the_held_bytes_are_those_of_the_open_messages():
    """Guards against bytes that no owner counts."""

    async def test(env) -> None:
        client = await env.client()
        head = b"POST /put/1 HTTP/1.1\r\nX-Request-ID: r\r\nX-Timeout: 900m\r\nIdempotency-Key: k\r\n"
        client.writer.write(head + b"Content-Length: 60000\r\n\r\n" + bytes(HALF_BODY))
        parts = env.node.parts
        await wait_until(lambda: held_bytes(parts)["body"] > HALF_BODY)
        assert memory_fields(parts)["held_body_kb"] == held_bytes(parts)["body"] >> 10
        assert memory_fields(parts)["rss_mb"] > 0
        client.writer.close()
        await wait_until(lambda: not env.node.client_connections.open)
        assert not any(held_bytes(parts).values())
        await asyncio.sleep(0)

    run_with_node(test)
