"""A server that left the list is used again when the new discovery counts as caught up."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Agent, Case, Node, Received, Server, entry, read_message, request_bytes, response, run_case

GRACE_S = 0.25 + 0.05  # stop_sending_within, and the 50 ms that PROTOCOL adds on sockets
DRAIN_AT_S = 2.0
NEW_CONFIGURATION_AT_S = 3.0
SECOND_AGENT_TOLD_AT_S = 5.6  # 3.6 s after the drain; the site file says 1.2 to 3.8 s
END_AT_S = 14.0
REQUESTS_PER_S = 20


async def answer_soon(server: Server, request: Received, writer: asyncio.StreamWriter) -> None:
    """Answers after 30 ms."""
    await asyncio.sleep(0.03)
    writer.write(response("200 OK", f"{server.name} {request.id}".encode()))


async def send_requests(case: Case, node: Node, client: int, answers: list[str]) -> None:
    """Sends requests one after another on a kept connection."""
    number = 0
    while True:
        reader, writer = await asyncio.open_connection(node.host, node.port)
        head = b""
        while b"connection: close" not in head.lower():
            request_id = f"c{client}-{number}"
            number += 1
            if number % 2:
                data = request_bytes("latest", request_id, 2500)
            else:
                data = request_bytes("log-reading", request_id, 3000, b"reading", f"key-{request_id}")
            case.record.write(f"client {client}: {request_id}: sends")
            writer.write(data)
            head, body = await read_message(reader)
            status = head.split(b" ", 2)[1].decode()
            case.record.write(f"client {client}: {request_id}: {status} {body.decode()}")
            answers.append(status)
            await asyncio.sleep(4 / REQUESTS_PER_S)
        writer.close()


async def play(case: Case) -> bool:
    """Returns whether no request reached the server that the last whole list left out."""
    record = case.record
    first, second = Agent(case, "discovery-1", 41), Agent(case, "discovery-2", 70)
    servers = [Server(case, f"s-{number}", answer_soon) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    for agent in (first, second):
        await agent.start()
        agent.instances = {server.name: entry(server.name, server.address) for server in servers}
    node = Node(case, first)
    await node.start()
    began = record.now()

    async def at(seconds: float) -> None:
        await asyncio.sleep(max(0.0, began + seconds - record.now()))

    answers: list[str] = []
    clients = [asyncio.create_task(send_requests(case, node, number, answers)) for number in range(4)]
    leaving = servers[0]
    await at(DRAIN_AT_S)
    first.put(entry(leaving.name, leaving.address, "terminating"))
    await at(NEW_CONFIGURATION_AT_S)
    last = first
    if case.trouble:
        last = second
        node.config["discovery"] = second.address
        node.write_config()
        node.signal(signal.SIGHUP)
        retired = asyncio.create_task(first.retire())
    await at(SECOND_AGENT_TOLD_AT_S)
    del last.instances[leaving.name]
    last.generation += 1
    last.end_watches()
    await at(END_AT_S)
    if case.trouble:
        await retired
    for client in clients:
        if client.done():
            await client
        client.cancel()
    told = last.whole_list_sent_at
    if told is None or "200" not in answers:
        raise RuntimeError("the node has not got the whole list, or nothing was served")
    late = [
        (round(at_s, 2), request.method, request.id)
        for at_s, request in leaving.received
        if at_s > told + GRACE_S
    ]
    record.write(f"{leaving.name} was left out of the whole list sent at {told:.4f}")
    record.write(f"answers: {len(answers)}; sent to {leaving.name} later than {GRACE_S} s after that: {late}")
    return not late


run_case(Path(__file__).resolve().with_name("record.txt"), play)
