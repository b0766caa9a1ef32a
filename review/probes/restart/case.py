"""A planned restart cuts answers off that clients read slowly."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from rig import (
    LATEST,
    LOG_READING,
    Agent,
    Case,
    Node,
    Received,
    Server,
    entry,
    request_bytes,
    response,
    run_case,
    settings,
)

NODES = 6
KILL_AFTER_S = (
    3.0 + 0.7
)  # PROTOCOL: SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM
BEFORE_SIGTERM_S = 0.5
READ_BYTES_PER_S = 100_000
READ_INTERVAL_S = 0.05
FIRST_BODY, BODY_STEP = (
    400_000,
    30_000,
)  # the answers of the first node, and how much longer those of the next are
CLIENTS = 3  # of each node; their answers differ by a third of the step


@dataclass
class Download:
    """One answer: its length, and how many of its bytes a client has got."""

    name: str
    length: int = 0
    received: int = 0
    end: str = "open"


async def answer_large(server: Server, request: Received, writer: asyncio.StreamWriter) -> None:
    """Answers after 100 ms with as many bytes as the path says, given at once."""
    await asyncio.sleep(0.1)
    writer.write(response("200 OK", server.name[-1:].encode() * int(request.target.rpartition("-")[2])))


async def download(case: Case, node: Node, item: Download, body_bytes: int) -> None:
    """Sends one request and reads its answer at a steady rate."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    client.settimeout(0)
    data = b""
    try:
        await loop.sock_connect(client, (node.host, node.port))
        case.record.write(f"client: {item.name}: sends")
        await loop.sock_sendall(client, request_bytes("latest", f"{item.name}-{body_bytes}", 2500))
        while not item.length or item.received < item.length:
            part = await loop.sock_recv(client, int(READ_BYTES_PER_S * READ_INTERVAL_S))
            if not part:
                item.end = "closed"
                break
            item.received += len(part)
            data = (data + part)[:1000]
            head, found, _ = data.partition(b"\r\n\r\n")
            if found and not item.length:
                assert b" 200 " in head, head
                item.length = len(head) + 4 + body_bytes
            await asyncio.sleep(READ_INTERVAL_S)
        else:
            item.end = "whole"
    except ConnectionError as error:
        item.end = type(error).__name__
    finally:
        client.close()
    case.record.write(f"client: {item.name}: {item.received} of {item.length} bytes, {item.end}")


async def restart(case: Case, node: Node, first_body: int) -> bool:
    """Restarts one node under its clients; returns whether the rule held there."""
    record = case.record
    items = [Download(f"{node.name}-{number}") for number in range(CLIENTS)]
    tasks = [
        asyncio.create_task(download(case, node, item, first_body + number * BODY_STEP // CLIENTS))
        for number, item in enumerate(items)
    ]
    await asyncio.sleep(BEFORE_SIGTERM_S)
    ended_itself = False
    if case.trouble:
        assert node.process is not None
        node.signal(signal.SIGTERM)
        began = record.now()
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                status = await node.process.wait()
            ended_itself = True
            record.write(f"{node.name}: ended with {status} {record.now() - began:.2f} s after SIGTERM")
        except TimeoutError:
            node.signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    cut = [item.name for item in items if item.end != "whole"]
    record.write(f"{node.name}: ended itself: {ended_itself}; not answered whole: {cut}")
    # What SIGKILL finds unanswered is excused, since it came before SIGTERM.
    return not (cut and (ended_itself or not case.trouble))


async def play(case: Case) -> bool:
    """Returns whether no node ended by itself before it had answered what it had taken."""
    agent = Agent(case, "discovery", 41)
    servers = [Server(case, f"s-{number}", answer_large) for number in (1, 2, 3, 4)]
    for server in servers:
        await server.start()
    await agent.start()
    agent.instances = {server.name: entry(server.name, server.address) for server in servers}
    nodes = []
    for number in range(NODES):
        node = Node(case, agent, settings([LATEST, LOG_READING], group_size=NODES, self_index=number))
        node.name = f"n{number}"
        node.config["name"] = node.name
        node.temporary = case.temporary / f"{node.name}-tmp"
        await node.start()
        nodes.append(node)
    held = [await restart(case, node, FIRST_BODY + BODY_STEP * number) for number, node in enumerate(nodes)]
    return all(held)


run_case(Path(__file__).resolve().with_name("record.txt"), play)
