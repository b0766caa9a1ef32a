"""A planned restart while clients read large answers that arrive slowly: what does SIGKILL find unanswered?"""

import asyncio
import signal
import time
from pathlib import Path

from stage import LATEST, TROUBLE, Answer, Arrival, Client, Stage, main, serve_after, warm_up

KILL_S = 3.0 + 0.7
TAKEN_FROM_S = 0.7  # PROTOCOL, "Figures": lost if it came more than 0.7 s after SIGTERM
LARGE_BYTES = 3 << 20
LARGE_S = 4.0  # the time in which a server writes a large answer
PIECE_BYTES = 1 << 16


async def serve(arrival: Arrival) -> None:
    """Answers at once with a large body in pieces, or with a small body after some work."""
    if not arrival.target.endswith("/large"):
        await serve_after(arrival)
        return
    arrival.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
    for _ in range(LARGE_BYTES // PIECE_BYTES):
        await asyncio.sleep(LARGE_S * PIECE_BYTES / LARGE_BYTES)
        arrival.write(b"x" * PIECE_BYTES)
        await arrival.writer.drain()


async def case(stage: Stage) -> bool:
    """Returns whether a request that came late enough was found unanswered."""
    discovery = await stage.discovery()
    servers = await stage.servers(6, discovery)
    for server in servers:
        server.behaviour = serve
    node = await stage.node(discovery).start()
    await warm_up(stage, node.listen)
    clients = [await stage.client(f"client-{number}", node.listen).connect() for number in range(4)]
    for client in clients:
        await client.ask(f"/{LATEST}/small")
    began = time.monotonic()
    if TROUBLE:
        node.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(KILL_S, node.signal, signal.SIGKILL)
    answers: list[Answer] = []

    async def go_on(client: Client, large_at: float) -> None:
        """Uses the connection that the node has left open: small requests, then a large one."""
        while client.is_open() and time.monotonic() < began + large_at:
            answers.append(await client.ask(f"/{LATEST}/small"))
        if client.is_open():
            answers.append(await client.receive(await client.send(f"/{LATEST}/large"), wait_s=15.0))

    await asyncio.gather(*(go_on(client, 1.0 + 0.2 * number) for number, client in enumerate(clients)))
    # A request that crosses the end of its connection and reached no server was not read: it is the client's to repeat.
    reached = {arrival.id for server in servers for arrival in server.arrivals}
    lost = [a for a in answers if a.sent > began + TAKEN_FROM_S and a.end == "ended" and a.id in reached]
    for answer in lost:
        stage.record.note(
            f"lost: {answer.id}, sent {answer.sent - began:.2f} s after SIGTERM,"
            f" cut off after {answer.last - began:.2f} s and {answer.size} of {LARGE_BYTES} bytes"
        )
    return bool(lost)


main(case, Path(__file__).resolve().with_name("record.txt"))
