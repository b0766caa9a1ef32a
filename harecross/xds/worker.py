"""A worker: one process that serves a part of the streams of a control service. Started by `fleet` alone."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from itertools import count
from typing import Any

from harecross.platform.log import log_exception
from harecross.xds import status
from harecross.xds.access import allowed
from harecross.xds.front import encoder, front, listen
from harecross.xds.link import Ask, Clients, Link, Listening, Message, Publish, Report, Rows, Setup, Streams
from harecross.xds.publish import Told
from harecross.xds.resources import Published

COUNT_EVERY = 0.25  # seconds between two words on how many streams there are
ANSWER = 5.0  # seconds that the other workers have for their rows


class Forward:
    """A cluster's account of load reports, kept by the service."""

    def __init__(self, link: Link, cluster: str) -> None:
        self.link = link
        self.cluster = cluster

    def add(self, proxy: str, server: str, good: int, bad: int, in_progress: int, seconds: float) -> None:
        if good or bad or in_progress:
            self.link.send(Report(self.cluster, proxy, server, good, bad, in_progress, seconds))


class Worker:
    """Serves what the service tells it to; ends with the service."""

    def __init__(self, link: Link, told: Setup) -> None:
        self.link = link
        self.told = told
        self.rules = told.clients
        self.clusters: dict[str, Told] = {}
        self.encoder = encoder(told)
        self.questions: dict[int, asyncio.Future[list[dict[str, Any]]]] = {}
        self.numbers = count(1)
        self.control = front(told, self.see, self.account, self.all_rows)

    def see(self, names: tuple[str, ...]) -> frozenset[str] | None:
        return allowed(self.rules, names)

    def account(self, cluster: str) -> Forward | None:
        return Forward(self.link, cluster) if cluster in self.clusters else None

    async def all_rows(self) -> list[dict[str, Any]]:
        """Every worker's rows: the service asks them all."""
        number = next(self.numbers)
        self.questions[number] = asyncio.get_running_loop().create_future()
        self.link.send(Ask(number))
        try:
            async with asyncio.timeout(ANSWER):
                return await self.questions[number]
        finally:
            del self.questions[number]

    async def run(self) -> None:
        """Until the service has gone or ends it."""
        try:
            port = await listen(self.control, self.told, shared=True)
        except (OSError, ValueError) as e:
            self.link.send(Listening(0, str(e)))
            await self.link.writer.drain()
            return
        self.link.send(Listening(port))
        counting = asyncio.create_task(self.counting())
        await self.link.each(self.take)
        counting.cancel()
        await self.control.stop()

    def take(self, message: Message) -> None:
        try:
            if isinstance(message, Publish):
                for name in message.gone:
                    self.clusters.pop(name, None)
                self.clusters.update(message.changed)
                self.control.publish(Published(self.encoder, dict(self.clusters)), message.urgent)
            elif isinstance(message, Clients):
                self.rules = message.rules
                self.control.refresh()
            elif isinstance(message, Ask):
                self.link.send(Rows(message.number, status.status_table(self.control)))
            elif isinstance(message, Rows) and message.number in self.questions:
                self.questions[message.number].set_result(message.rows)
        except Exception:
            log_exception("worker")

    async def counting(self) -> None:
        last: Streams | None = None
        while True:
            now = Streams(self.control.count(), self.control.bytes_sent)
            if now != last:
                self.link.send(now)
            last = now
            await asyncio.sleep(COUNT_EVERY)


async def serve(sock: socket.socket) -> None:
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
        # The terminal sends these to all processes; the service decides, and ends its workers by the link.
        asyncio.get_running_loop().add_signal_handler(number, lambda: None)
    link = Link(*await asyncio.open_connection(sock=sock))
    told = await link.receive()
    assert isinstance(told, Setup)
    await Worker(link, told).run()


def main() -> None:
    import uvloop

    uvloop.run(serve(socket.socket(fileno=int(sys.argv[1]))))
    os._exit(0)  # grpcio's own threads may hold an ordinary exit up


if __name__ == "__main__":
    main()
