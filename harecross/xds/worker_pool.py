"""Several worker processes for one service, among which the kernel distributes connections (SO_REUSEPORT).

One process with grpcio sends about 4000 responses per second. Discovery, health checks and decisions stay in the
service's process, which sends its workers only what has changed.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from harecross.platform.child_process import ChildProcess, describe_exit
from harecross.settings import parse_address
from harecross.xds.load_report_service import LoadReportSinkLookup
from harecross.xds.published import PublishedCluster
from harecross.xds.resources import PublishedSnapshots
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
    frame,
)

# A worker that has exited is restarted after `FIRST_BACKOFF_S` if it ran for longer than `MAX_BACKOFF_S`. Otherwise
# the delay is twice the previous one, at most `MAX_BACKOFF_S`; before the first restart, the previous delay counts as
# `FIRST_BACKOFF_S`.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
START_TIMEOUT_S = 20.0  # how long a new worker may take until it listens
EXIT_TIMEOUT_S = 2.0  # how long a worker may take to exit after its channel has closed
STOP_TIMEOUT_S = 5.0  # how long each worker may take to exit when the service stops


class WorkerHandle:
    """The service's handle of one worker."""

    def __init__(self) -> None:
        self.channel: WorkerChannel | None = None
        self.process: ChildProcess | None = None
        self.count = StreamCount(0, 0)

    def close_channel(self) -> None:
        """Closes the channel, which makes the worker exit."""
        if self.channel is not None:
            self.channel.close()


@dataclass(slots=True)
class PendingQuery:
    """A worker's status query that has not been answered by all workers.

    Attributes:
        requester: The worker that sent the query.
        number: The number that the requester gave the query.
        missing: The indices of the workers that have not answered.
        rows: The rows received so far.
    """

    requester: WorkerHandle
    number: int
    missing: set[int]
    rows: list[dict[str, Any]] = field(default_factory=list)


class WorkerPool:
    """A pool of workers with the same `publish`, `count` and `stop` as a control server."""

    def __init__(
        self,
        size: int,
        setup: WorkerSetup,
        load_report_sink: LoadReportSinkLookup,
        log: Callable[[str], None],
    ) -> None:
        self.port = 0
        self.workers = [WorkerHandle() for _ in range(size)]
        self._setup = setup
        self._load_report_sink = load_report_sink
        self._log = log
        self._published: Mapping[str, PublishedCluster] | None = None  # None until the first `publish`
        self._tasks: set[asyncio.Task[None]] = set()
        self._queries: dict[int, PendingQuery] = {}
        self._last_query = 0
        self._stopping = False

    def count(self) -> int:
        """Returns how many streams the workers have open, as last reported, at most a quarter of a second ago."""
        return sum(worker.count.streams for worker in self.workers)

    async def start(self) -> int:
        """Starts all workers and returns the port. Raises OSError if they cannot listen."""
        host, port = parse_address(self._setup.listen)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        with socket.socket(family) as probe:
            # Without SO_REUSEPORT, this fails if another program uses the port. The workers, which set the option,
            # could share the port with that program without an error.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((host.strip("[]"), port))
            self.port = probe.getsockname()[1]
        self._setup = msgspec.structs.replace(self._setup, listen=f"{host}:{self.port}")
        try:
            await asyncio.gather(*(self._start_worker(worker) for worker in self.workers))
        except BaseException:
            await self.stop()
            raise
        for worker in self.workers:
            self._tasks.add(asyncio.create_task(self._supervise(worker)))
        return self.port

    async def _start_worker(self, worker: WorkerHandle) -> None:
        """Starts a worker and sends it all published clusters. Raises OSError if it does not listen."""
        ours, theirs = socket.socketpair()
        with theirs:
            number = theirs.fileno()
            command = [sys.executable, "-m", "harecross.xds.worker", str(number)]
            worker.process = ChildProcess(command, pass_fds=(number,))
        channel = worker.channel = WorkerChannel(*await asyncio.open_connection(sock=ours))
        channel.send(self._setup)
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                answer = await channel.receive()
        except (EOFError, TimeoutError):
            end = await self._wait_for_exit(worker)
            raise OSError(f"{self._setup.listen}: a worker did not start: it {end}") from None
        if not isinstance(answer, Listening):
            raise OSError("the first message of a worker is not Listening")
        if answer.error:
            raise OSError(answer.error)
        if self._published is not None:
            channel.send(PublishMessage(dict(self._published), (), ()))

    async def _supervise(self, worker: WorkerHandle) -> None:
        """Receives from a worker and restarts it when it exits. Its proxies reconnect to any worker."""
        backoff_s = FIRST_BACKOFF_S
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            if worker.channel is not None:
                await worker.channel.receive_all(lambda message: self._receive(worker, message))
            self._disconnect(worker)
            if self._stopping:
                return
            was_stable = loop.time() - started_at > MAX_BACKOFF_S
            backoff_s = FIRST_BACKOFF_S if was_stable else min(2 * backoff_s, MAX_BACKOFF_S)
            end = await self._wait_for_exit(worker)
            self._log(f"xds: a worker {end}; restarting it in {backoff_s:g} s")
            await asyncio.sleep(backoff_s)
            try:
                await self._start_worker(worker)
            except OSError as error:
                # The worker may still listen later. It must not stay, because it would accept proxies although it
                # has nothing to publish.
                self._log(f"xds: a worker was not restarted: {error}")
                self._disconnect(worker)

    async def _wait_for_exit(self, worker: WorkerHandle) -> str:
        """Waits for a worker without a channel to exit, and describes how it did. Kills it after a timeout."""
        if worker.process is None:
            return "did not start"
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                return describe_exit(await worker.process.wait())
        except TimeoutError:
            worker.process.kill()
            await worker.process.wait()
            return "lost its channel and was killed"

    def _disconnect(self, worker: WorkerHandle) -> None:
        """Closes a worker's channel. Status queries no longer wait for the worker."""
        worker.close_channel()
        worker.channel = None
        worker.count = StreamCount(0, 0)
        for number, query in list(self._queries.items()):
            query.missing.discard(self.workers.index(worker))
            self._answer_if_complete(number)

    async def stop(self) -> None:
        """Closes the channels, which makes the workers end their streams and exit, and waits for the workers."""
        self._stopping = True
        for worker in self.workers:
            worker.close_channel()
        for worker in self.workers:
            if worker.process is not None:
                await self._wait_or_kill(worker.process)
        for task in self._tasks:
            task.cancel()

    @staticmethod
    async def _wait_or_kill(process: ChildProcess) -> None:
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    def publish(self, source: PublishedSnapshots, urgent: Collection[str] = ()) -> None:
        """Sends each worker what has changed since the previous call, encoded once for all workers."""
        before, now = self._published or {}, source.clusters
        changed = {name: cluster for name, cluster in now.items() if before.get(name) is not cluster}
        removed = tuple(name for name in before if name not in now)
        self._published = dict(now)
        self._send_to_all(PublishMessage(changed, removed, tuple(urgent)))

    def set_access(self, rules: dict[str, tuple[str, ...]]) -> None:
        """Replaces the rules for which clusters clients may see."""
        self._setup = msgspec.structs.replace(self._setup, clients=rules)
        self._send_to_all(AccessMessage(rules))

    def _send_to_all(self, message: Message) -> None:
        framed = frame(message)
        for worker in self.workers:
            if worker.channel is not None:
                worker.channel.send_frame(framed)

    def _receive(self, worker: WorkerHandle, message: Message) -> None:
        if isinstance(message, StreamCount):
            worker.count = message
        elif isinstance(message, LoadReportMessage):
            self._add_load_report(message)
        elif isinstance(message, StatusQuery):
            self._query_all(worker, message.number)
        elif isinstance(message, StatusAnswer) and message.number in self._queries:
            query = self._queries[message.number]
            query.missing.discard(self.workers.index(worker))
            query.rows.extend(message.rows)
            self._answer_if_complete(message.number)

    def _add_load_report(self, report: LoadReportMessage) -> None:
        sink = self._load_report_sink(report.cluster)
        if sink is not None:
            sink.add(
                report.reporter, report.server, report.good, report.bad, report.in_progress, report.seconds
            )

    def _query_all(self, requester: WorkerHandle, number: int) -> None:
        self._last_query += 1
        connected = {i for i, worker in enumerate(self.workers) if worker.channel is not None}
        self._queries[self._last_query] = PendingQuery(requester, number, connected)
        self._send_to_all(StatusQuery(self._last_query))

    def _answer_if_complete(self, number: int) -> None:
        """Sends a requester the rows of all workers, once all have answered."""
        query = self._queries[number]
        if not query.missing:
            del self._queries[number]
            if query.requester.channel is not None:
                query.requester.channel.send(StatusAnswer(query.number, query.rows))
