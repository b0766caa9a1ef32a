"""The DNS client: sends queries over UDP, TCP and TLS.

Each attempt over UDP has a socket of its own; each server has one connection, which all lookups share. Which query is
sent, and when, is decided in `lookup`.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from harecross.dns.connections import AttemptCallbacks, ConnectionCache, UdpProtocol
from harecross.dns.lookup import Lookup, OutgoingQuery
from harecross.dns.message import Question, Reply, normalize_name
from harecross.dns.servers import NameServers
from harecross.dns.srv import Resolution, SrvAnswer
from harecross.settings import parse_address

MAX_LOOKUPS_PER_NAME = 32  # concurrent lookups that one resolution of an SRV name starts
# Concurrent lookups of one client. Each needs a socket, and the file descriptors are needed for the node's clients.
MAX_LOOKUPS = 16


class LookupFailedError(Exception):
    """No server gave a usable answer; the message holds the reason for each server."""


class DnsClient:
    """Queries DNS servers. Concurrent callers with the same question share one lookup."""

    def __init__(
        self, servers: Sequence[str], rng: Random, tls: ssl.SSLContext | None = None, tls_name: str = ""
    ) -> None:
        """Creates a client; it must be called within a running event loop.

        Args:
            servers: Addresses as HOST:PORT, where HOST is an IP address, prefixed with `tls://` for DNS over TLS.
            rng: Source of message ids and of the order in which servers are tried.
            tls: Context for DNS over TLS; None means the system's default trust store.
            tls_name: Name that the servers' certificates must have; empty means the server's address.

        Raises:
            ValueError: `servers` is empty.
        """
        self.loop = asyncio.get_running_loop()
        self.queries_sent = 0
        self._servers = NameServers(servers, rng)
        self._rng = rng
        self._lookups: dict[Question, asyncio.Task[Reply]] = {}
        self._connections = ConnectionCache(tls, tls_name)
        self._lookup_slots = asyncio.Semaphore(MAX_LOOKUPS)

    async def resolve(self, name: str) -> SrvAnswer:
        """Returns the endpoints of an SRV name.

        Raises:
            LookupFailedError: The lookup of the SRV records failed.
            ValueError: `name` is not a domain name.
        """
        resolution = Resolution(normalize_name(name))
        slots = asyncio.Semaphore(MAX_LOOKUPS_PER_NAME)

        async def look_up(question: Question) -> None:
            async with slots:
                try:
                    resolution.receive_reply(question, await self.query(question))
                except LookupFailedError as error:
                    resolution.receive_failure(question, str(error))

        while not resolution.done:
            await asyncio.gather(*(look_up(question) for question in resolution.questions()))
        if resolution.failure:
            raise LookupFailedError(resolution.failure)
        return resolution.result()

    async def query(self, question: Question) -> Reply:
        """Returns the reply to a question. Raises LookupFailedError if there is none.

        Cancelling one caller does not cancel the lookup that others share.
        """
        task = self._lookups.get(question)
        if task is None:
            task = self._lookups[question] = asyncio.create_task(self._look_up(question))
            task.add_done_callback(lambda done: self._lookups.pop(question, None))
        return await asyncio.shield(task)

    async def _look_up(self, question: Question) -> Reply:
        async with self._lookup_slots:
            lookup = Lookup(question, self._servers, self._rng, self.loop.time())
            await LookupRun(self, lookup).run()
        if lookup.reply is None:
            raise LookupFailedError(f"{question}: {lookup.failure}")
        return lookup.reply

    async def send(
        self, query: OutgoingQuery, callbacks: AttemptCallbacks, sockets: list[asyncio.DatagramTransport]
    ) -> None:
        """Sends one query and reports its result through `callbacks`. A new UDP socket is added to `sockets`."""
        try:
            if query.transport == "udp":
                await self._send_datagram(query, callbacks, sockets)
            else:
                connection = await self._connections.get(self.loop, query.server)
                connection.send(query.data, callbacks)
        except OSError as error:
            callbacks.failed(f"cannot send the query: {error.strerror or error}")

    async def _send_datagram(
        self, query: OutgoingQuery, callbacks: AttemptCallbacks, sockets: list[asyncio.DatagramTransport]
    ) -> None:
        host, port = parse_address(query.server)
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: UdpProtocol(callbacks), remote_addr=(host.strip("[]"), port)
        )
        sockets.append(transport)
        transport.sendto(query.data)

    async def close(self) -> None:
        """Cancels the lookups in progress and closes the connections."""
        lookups = list(self._lookups.values())
        for task in lookups:
            task.cancel()
        await asyncio.gather(*lookups, return_exceptions=True)
        await self._connections.close()


class LookupRun:
    """Runs one lookup: sends its queries, waits for its timeouts and owns its sockets."""

    def __init__(self, client: DnsClient, lookup: Lookup) -> None:
        self._client = client
        self._lookup = lookup
        self._now: Callable[[], float] = client.loop.time
        self._changed = asyncio.Event()
        self._sockets: list[asyncio.DatagramTransport] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self) -> None:
        """Runs the lookup until it has a reply or has failed."""
        try:
            self._send(self._lookup.start(self._now()))
            while not self._lookup.done:
                self._changed.clear()
                try:
                    async with asyncio.timeout_at(self._lookup.due):
                        await self._changed.wait()
                except TimeoutError:
                    self._send(self._lookup.check_timeout(self._now()))
        finally:
            for task in self._tasks:
                task.cancel()
            for transport in self._sockets:
                transport.close()

    def _send(self, queries: list[OutgoingQuery]) -> None:
        for query in queries:
            self._client.queries_sent += 1
            task = asyncio.create_task(self._client.send(query, self._callbacks(query), self._sockets))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._changed.set()

    def _callbacks(self, query: OutgoingQuery) -> AttemptCallbacks:
        def received(data: bytes) -> None:
            self._send(self._lookup.receive(self._now(), query.attempt, data))

        def failed(reason: str) -> None:
            self._send(self._lookup.transport_failed(self._now(), query.attempt, reason))

        return AttemptCallbacks(received, failed)
