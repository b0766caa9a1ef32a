"""Operators take servers out and put them back, and later take them out for a restart, while clients upload slowly.

No server turns a request away, so each request that has arrived may have run.
"""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from stage import LOG_READING, TROUBLE, Answer, Arrival, Node, Server, Stage, main, serve_after, warm_up

LENGTH_S = 91.0
CYCLE_S = 30.0
RETURNED_AT_S = 5.0  # in each cycle: servers are taken out, and put back
RELEASE_AT_S = 24.0  # in each cycle: they are taken out again and restarted
UPLOAD_RATE = 64_000  # DAYS: a body at 64 kB a second
UPLOAD_S = (14.0, 22.0)
UPLOADS = 64
CLIENTS = 64
WORK_S = (0.3, 0.6)
SERVERS, BATCH = 8, 4
STEP_S = 0.1  # between two calls of a release
RESTART_S = 0.35  # from a server's call to its restart
BACK_OFF_S = 0.15  # as Retry-After says


class Clients:
    """The clients, which send unsafe requests, and what they got.

    Attributes:
        until: When no further request is sent.
        answers: The answers by request id.
    """

    def __init__(self, stage: Stage, node: Node, rng: random.Random) -> None:
        self.stage, self.node, self.rng = stage, node, rng
        self.until = time.monotonic() + LENGTH_S
        self.answers: dict[str, Answer] = {}

    def start(self) -> list[asyncio.Task[None]]:
        """Starts the clients that upload, and those that send small requests."""
        users = [self.use(f"upload-{i}", uploads=True, start_s=i * 0.2) for i in range(UPLOADS)]
        users += [self.use(f"client-{i}", uploads=False, start_s=i * 0.05) for i in range(CLIENTS)]
        return [asyncio.create_task(user) for user in users]

    async def use(self, name: str, *, uploads: bool, start_s: float) -> None:
        """Sends requests, one after the other, on a connection that is kept."""
        await asyncio.sleep(start_s)
        client = self.stage.client(name, self.node.listen)
        while time.monotonic() < self.until:
            if not client.is_open():
                client.close()
                await client.connect()
            body = b"u" * int(UPLOAD_RATE * self.rng.uniform(*UPLOAD_S)) if uploads else b""
            answer = await client.send(f"/{LOG_READING}/reading", body=body, rate=UPLOAD_RATE, unsafe=True)
            self.answers[answer.id] = await client.receive(answer, wait_s=4.0)
            if answer.close or answer.end != "whole":
                client.close()
            if answer.status != 200:
                await asyncio.sleep(BACK_OFF_S)


async def sleep_until(moment: float) -> None:
    """Waits until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def operate(node: Node, batch: list[Server], began: float) -> None:
    """Takes the servers out and puts them back; later takes them out, restarts them and puts them back."""
    await sleep_until(began + RETURNED_AT_S)
    for server in batch:
        await node.call("POST", "/maintenance/enter", server.name)
        await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)
    for server in batch:
        await node.call("POST", "/maintenance/exit", server.name)
    await sleep_until(began + RELEASE_AT_S)
    for server in batch:
        await node.call("POST", "/maintenance/enter", server.name)
        asyncio.get_running_loop().call_later(RESTART_S, server.restart)
        await asyncio.sleep(STEP_S)
    await asyncio.sleep(1.0)
    for server in batch:
        await node.call("POST", "/maintenance/exit", server.name)


async def case(stage: Stage) -> bool:
    """Returns whether an unsafe request that may have run was sent again, or refused."""
    rng = random.Random(1)

    async def serve(arrival: Arrival) -> None:
        await serve_after(arrival, rng.uniform(*WORK_S))

    discovery = await stage.discovery()
    servers = await stage.servers(SERVERS, discovery)
    for server in servers:
        server.behaviour = serve
    node = stage.node(discovery)
    node.settings["group_size"] = 1
    node.settings["classes"][1]["effect"] = "single_shot"
    await node.start()
    await warm_up(stage, node.listen)
    clients = Clients(stage, node, rng)
    began = time.monotonic()
    tasks = clients.start()
    if TROUBLE:
        for cycle in range(int(LENGTH_S // CYCLE_S)):
            await operate(node, rng.sample(servers, BATCH), began + cycle * CYCLE_S)
            stage.record.note(f"so far: {len(judge(servers, clients.answers))} requests broke the rule")
    await sleep_until(began + LENGTH_S)
    for task in tasks:
        task.cancel()
    broken = judge(servers, clients.answers)
    counts = Counter((answer.status, answer.end) for answer in clients.answers.values())
    stage.record.note(f"answers: {dict(counts)}")
    for text in broken:
        stage.record.note(text)
    return bool(broken)


def judge(servers: list[Server], answers: dict[str, Answer]) -> list[str]:
    """Returns the requests that broke the rule."""
    arrivals: dict[str, list[Arrival]] = {}
    for server in servers:
        for arrival in server.arrivals:
            arrivals.setdefault(arrival.id, []).append(arrival)
    broken = []
    for request, sent in arrivals.items():
        names = ", ".join(each.server.name for each in sorted(sent, key=lambda each: each.began))
        if len(sent) > 1:
            broken.append(f"{request} was sent again after it had reached a server: {names}")
        elif request in answers and answers[request].status in (429, 503):
            broken.append(f"{request} was refused after it had reached {names}")
    return broken


main(case, Path(__file__).resolve().with_name("record.txt"), limit_s=115.0)
