"""The operators send clients away while one of them reads large answers: which connections are open after 4 s?"""

import asyncio
import time
from pathlib import Path

from stage import LATEST, TROUBLE, Answer, Arrival, Stage, main, serve_after, warm_up

CHECKED_S = 4.0
RECENT_S = 2.0  # DAYS: a connection that carries a request from the last 2 s
LARGE_BYTES = 3 << 20
LARGE_S = 3.0  # the time in which a server writes a large answer
PIECE_BYTES = 1 << 16
BEFORE_S = 0.4  # the first large request is sent this long before the call


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
    """Returns whether a connection carries a request from the last 2 s, 4 s after the call."""
    discovery = await stage.discovery()
    for server in await stage.servers(6, discovery):
        server.behaviour = serve
    node = await stage.node(discovery).start()
    await warm_up(stage, node.listen)
    clients = [await stage.client(f"client-{number}", node.listen).connect() for number in range(4)]
    requests: dict[str, Answer] = {}

    async def read_large() -> None:
        """Asks for one large answer after the other, as long as the node keeps the connection."""
        client = clients[0]
        while client.is_open():
            requests[client.name] = answer = await client.send(f"/{LATEST}/large")
            await client.receive(answer, wait_s=10.0)

    reading = asyncio.create_task(read_large())
    await asyncio.sleep(BEFORE_S)
    if TROUBLE:
        await node.call("POST", "/standby")
    called = time.monotonic()
    await asyncio.sleep(CHECKED_S)
    broken = False
    for client in clients:
        request = requests.get(client.name)
        sent = request.sent - called if request is not None else 0.0
        open_now, carries = client.is_open(), request is not None and request.last <= request.sent
        recent = carries and sent > CHECKED_S - RECENT_S
        text = f"carries a request sent {sent:.2f} s after it" if carries else "idle"
        stage.record.note(f"4 s after the call: {client.name} {text if open_now else 'closed'}")
        broken = broken or (TROUBLE and open_now and (recent or not carries))
    status = await node.healthy()
    stage.record.note(f"4 s after the call: /_health {status}")
    reading.cancel()
    return broken


main(case, Path(__file__).resolve().with_name("record.txt"))
