"""Servers say too small a length for an answer over 64 KiB: does a client get the cut answer as a whole one?"""

import asyncio
from pathlib import Path

from stage import LATEST, TROUBLE, Arrival, Stage, main, serve_after, warm_up

BODY_BYTES, SAID_BYTES = 200_000, 150_000
REQUESTS = 20
SPOILT_IN = 4  # one answer in this many


async def serve(arrival: Arrival) -> None:
    """Answers at once; some large answers say less than they hold."""
    if not arrival.target.endswith("/large"):
        await serve_after(arrival)
        return
    await asyncio.sleep(0.1)
    body = (arrival.id.encode() + b" ") * (BODY_BYTES // 17 + 1)
    spoilt = TROUBLE and int(arrival.id[-1], 16) % SPOILT_IN == 0
    said = SAID_BYTES if spoilt else BODY_BYTES
    arrival.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (said, body[:BODY_BYTES]))


async def case(stage: Stage) -> bool:
    """Returns whether a cut answer was served as a whole one."""
    discovery = await stage.discovery()
    for server in await stage.servers(6, discovery):
        server.behaviour = serve
    node = await stage.node(discovery).start()
    await warm_up(stage, node.listen)
    cut = 0
    for number in range(REQUESTS):
        client = await stage.client(f"client-{number}", node.listen).connect()
        answer = await client.ask(f"/{LATEST}/large")
        cut += answer.status == 200 and answer.end == "whole" and answer.size != BODY_BYTES
        client.close()
    stage.record.note(f"{cut} of {REQUESTS} answers were served as whole and lack their end")
    return cut > 0


main(case, Path(__file__).resolve().with_name("record.txt"))
