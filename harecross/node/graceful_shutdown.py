"""The graceful shutdown of a node: it serves until other nodes have taken over, and answers every received request."""

from __future__ import annotations

import asyncio

from harecross.downstream.connection_manager import SLOW_READER_TIMEOUT_US
from harecross.node.composition import NodeParts
from harecross.node.config import Config
from harecross.node.options import NodeOptions
from harecross.node.shutdown_schedule import (
    LAST_REQUESTS_S,
    ShutdownSchedule,
    shutdown_schedule,
)
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line

SLOW_READER_TIMEOUT_S = SLOW_READER_TIMEOUT_US / 1e6
POLL_INTERVAL_S = 0.01
HANDOVER_POLL_INTERVAL_S = 0.05  # each poll reads the folder that the processes share


class GracefulShutdown:
    """One shutdown, timed by a `ShutdownSchedule`.

    If a node closed its connections at once, it would serve nobody until its restart. If the neighbouring node
    restarted at the same time, the clients would have no node at all.
    """

    def __init__(self, config: Config, options: NodeOptions, parts: NodeParts) -> None:
        self.config = config
        self.options = options
        self.parts = parts
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()

    async def run(self) -> None:
        """Returns once every received request is answered and all parts but the admin server are closed."""
        schedule = self.start()
        another_accepts = await self.hand_over_listener(schedule)
        if self.options.inherited_listener is not None and another_accepts:
            await self.leave_listener_to_other_process(schedule)
        else:
            await self.drain_listener(schedule)
        await self.wait_for_open_requests()
        self.parts.client_connections.close_all()
        await self.close_sources_and_servers()
        await self.flush_answers()

    def start(self) -> ShutdownSchedule:
        """Computes the schedule and sets the dispatcher's deadline for requests that arrive late in the shutdown."""
        longest_deadline_us = max(c.deadline for c in self.config.settings.classes)
        dispatcher = self.parts.dispatcher
        schedule = shutdown_schedule(longest_deadline_us / 1e6, dispatcher.typical_response_time_s())
        log_line(
            f"shutting down: the listener closes after {schedule.close_listener_s:.1f} s, "
            f"requests that arrive late are answered within {schedule.deadline_s:.1f} s"
        )
        now = monotonic_us()
        self.began_at = self.loop.time()
        dispatcher.deadlines.set_shutdown_deadline(
            applies_from_us=now + int(schedule.deadline_from_s * 1e6),
            deadline_us=now + int(schedule.deadline_s * 1e6),
        )
        return schedule

    async def hand_over_listener(self, schedule: ShutdownSchedule) -> bool:
        """Returns whether another process accepts. Accepts on while one is starting, as long as the schedule allows."""
        while not self.parts.leave_listener():
            if self.loop.time() >= self.began_at + schedule.close_listener_s:
                return False
            if self.options.inherited_listener is None or not self.parts.another_is_starting():
                return False
            await asyncio.sleep(HANDOVER_POLL_INTERVAL_S)
        return True

    async def leave_listener_to_other_process(self, schedule: ShutdownSchedule) -> None:
        """Stops accepting connections at once, because another process accepts them on the same listening socket."""
        log_line("another process keeps serving on this listening socket")
        connections = self.parts.client_connections
        await connections.close_listener_at_once()
        while connections.open and self.loop.time() < self.began_at + schedule.close_listener_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        connections.close_idle()

    async def drain_listener(self, schedule: ShutdownSchedule) -> None:
        """Fails health checks, drains the connections, and closes the listener once no more connections arrive."""
        connections = self.parts.client_connections
        connections.health_check_failing = True
        await asyncio.sleep(max(0.0, self.began_at + schedule.drain_connections_s - self.loop.time()))
        connections.draining = True
        connections.close_idle()
        await asyncio.sleep(max(0.0, self.began_at + schedule.close_listener_s - self.loop.time()))
        await connections.drain_listener(
            deadline=self.began_at + schedule.deadline_s, shared=self.options.inherited_listener is not None
        )

    async def wait_for_open_requests(self) -> None:
        """Returns once every received request is answered."""
        if self.parts.client_connections.open:
            await asyncio.sleep(LAST_REQUESTS_S)
        while self.parts.client_connections.has_open_requests():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close_sources_and_servers(self) -> None:
        """Closes the watch, the additional sources, the upstream connections and the embedded service."""
        await self.parts.membership.stop()
        self.parts.pool.close_all()
        if self.options.embedded_service is not None:
            await self.options.embedded_service.stop()

    async def flush_answers(self) -> None:
        """Waits until the last answers have left this process, or their clients have read nothing for too long.

        An answer whose last bytes are in this process when it ends is lost. The kernel delivers what it has.
        """
        connections = self.parts.client_connections
        unsent, progress_at = connections.unsent_bytes(), self.loop.time()
        while connections.open and self.loop.time() < progress_at + SLOW_READER_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            before, unsent = unsent, connections.unsent_bytes()
            if unsent != before:
                progress_at = self.loop.time()
