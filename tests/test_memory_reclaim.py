"""Which bodies are refused when memory is short."""

from __future__ import annotations

from node_support import NodeEnvironment, run_with_node, wait_until

from harecross.downstream.connection_manager import ConnectionManager


def head(name: str, size: int) -> bytes:
    """Returns the head of a request whose body is sent to a server as soon as it is complete."""
    text = (
        f"POST /pay/1 HTTP/1.1\r\nX-Request-ID: {name}\r\nX-Timeout: 9000m\r\nContent-Length: {size}\r\n\r\n"
    )
    return text.encode()


async def received(manager: ConnectionManager, size: int) -> None:
    """Waits until bodies of this size are held."""
    await wait_until(lambda: manager.ledger.bodies >= size)


def test_the_body_that_is_received_is_refused_and_not_one_that_a_server_has():
    """Guards against a refusal that frees nothing, of a client that sends a small body behind a complete one."""

    async def test(env: NodeEnvironment) -> None:
        manager = env.node.client_connections
        first, second = await env.client(), await env.client()
        first.writer.write(head("first", 60_000) + bytes(60_000))
        request = await env.upstreams[0].received.get()
        first.writer.write(head("behind", 6_000) + bytes(5_000))
        await received(manager, 65_000)
        second.writer.write(head("second", 60_000) + bytes(30_000))
        await received(manager, 95_000)
        assert manager.shed_large_bodies(20_000) == 30_000
        assert (await second.answer())[0] == 503
        request.answer()
        assert (await first.answer())[0] == 200
        first.writer.write(bytes(1_000))
        (await env.upstreams[0].received.get()).answer()
        assert (await first.answer())[0] == 200

    run_with_node(test)
