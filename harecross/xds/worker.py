"""A worker process, which serves some of the streams of a control service. Only `worker_pool` starts it."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from itertools import count
from typing import Any

from harecross.platform.log import log_exception
from harecross.xds.access import allowed_clusters
from harecross.xds.assembly import create_encoder, create_server, listen
from harecross.xds.published import PublishedCluster
from harecross.xds.resources import PublishedSnapshots
from harecross.xds.status import status_table
from harecross.xds.worker_channel import (
    AccessMessage,
    Listening,
    LoadReportMessage,
    Message,
    PublishMessage,
    StatusAnswer,
    StatusQuery,
    StreamCount,
    WorkerChannel,
    WorkerSetup,
)

COUNT_INTERVAL_S = 0.25  # time between two reports of the stream count to the service
STATUS_TIMEOUT_S = 5.0  # how long a status query waits for the rows of all workers


class LoadReportForwarder:
    """Forwards a cluster's load reports to the service, which combines them."""

    def __init__(self, channel: WorkerChannel, cluster: str) -> None:
        self._channel = channel
        self._cluster = cluster

    def add(self, reporter: str, server: str, good: int, bad: int, in_progress: int, seconds: float) -> None:
        """Forwards one report's figures for one server."""
        if good or bad or in_progress:
            self._channel.send(
                LoadReportMessage(self._cluster, reporter, server, good, bad, in_progress, seconds)
            )


class Worker:
    """Serves what the service publishes, until the service closes the channel or exits."""

    def __init__(self, channel: WorkerChannel, setup: WorkerSetup) -> None:
        self._channel = channel
        self._setup = setup
        self._rules = setup.clients
        self._clusters: dict[str, PublishedCluster] = {}
        self._encoder = create_encoder(setup)
        self._queries: dict[int, asyncio.Future[list[dict[str, Any]]]] = {}
        self._query_numbers = count(1)
        self._server = create_server(
            setup, self._allowed_clusters, self._load_report_sink, self._all_status_rows
        )

    def _allowed_clusters(self, names: tuple[str, ...]) -> frozenset[str] | None:
        return allowed_clusters(self._rules, names)

    def _load_report_sink(self, cluster: str) -> LoadReportForwarder | None:
        return LoadReportForwarder(self._channel, cluster) if cluster in self._clusters else None

    async def _all_status_rows(self) -> list[dict[str, Any]]:
        """Returns the status rows of all workers, which the service collects."""
        number = next(self._query_numbers)
        self._queries[number] = asyncio.get_running_loop().create_future()
        self._channel.send(StatusQuery(number))
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                return await self._queries[number]
        finally:
            del self._queries[number]

    async def run(self) -> None:
        """Serves until the service closes the channel or exits."""
        try:
            port = await listen(self._server, self._setup, shared=True)
        except (OSError, ValueError) as error:
            self._channel.send(Listening(0, str(error)))
            await self._channel.flush()
            return
        self._channel.send(Listening(port))
        count_task = asyncio.create_task(self._report_count())
        await self._channel.receive_all(self._receive)
        count_task.cancel()
        await self._server.stop()

    def _receive(self, message: Message) -> None:
        try:
            self._handle(message)
        except Exception:
            log_exception("xds: worker")

    def _handle(self, message: Message) -> None:
        if isinstance(message, PublishMessage):
            self._publish(message)
        elif isinstance(message, AccessMessage):
            self._rules = message.rules
            self._server.refresh_access()
        elif isinstance(message, StatusQuery):
            self._channel.send(StatusAnswer(message.number, status_table(self._server)))
        elif isinstance(message, StatusAnswer) and message.number in self._queries:
            self._queries[message.number].set_result(message.rows)

    def _publish(self, message: PublishMessage) -> None:
        for name in message.removed:
            self._clusters.pop(name, None)
        self._clusters.update(message.changed)
        self._server.publish(PublishedSnapshots(self._encoder, dict(self._clusters)), message.urgent)

    async def _report_count(self) -> None:
        last: StreamCount | None = None
        while True:
            now = StreamCount(self._server.count(), self._server.bytes_sent)
            if now != last:
                self._channel.send(now)
            last = now
            await asyncio.sleep(COUNT_INTERVAL_S)


async def serve(sock: socket.socket) -> None:
    """Runs a worker on its end of the socket pair."""
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
        # A terminal sends these signals to all processes of the group. Workers ignore them, because the service
        # decides what to do and stops its workers by closing their channels.
        asyncio.get_running_loop().add_signal_handler(number, lambda: None)
    channel = WorkerChannel(*await asyncio.open_connection(sock=sock))
    setup = await channel.receive()
    assert isinstance(setup, WorkerSetup)
    await Worker(channel, setup).run()


def main() -> None:
    """Runs a worker. The command's argument is the descriptor of the worker's end of the socket pair."""
    import uvloop

    uvloop.run(serve(socket.socket(fileno=int(sys.argv[1]))))
    os._exit(0)  # a normal exit may be delayed by the threads of grpcio


if __name__ == "__main__":
    main()
