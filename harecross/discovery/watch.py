"""A watch of one discovery: makes its calls, parses their responses, and reconnects."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Protocol, cast

from httptools import HttpParserError, HttpResponseParser

from harecross.discovery import wire_format
from harecross.discovery.json_stream import BLANK_LINE, JsonStreamParser, MalformedJsonError
from harecross.discovery.list_versions import VersionOrder, compare_versions
from harecross.discovery.subscription_schedule import (
    WATCH_HEARTBEAT_TIMEOUT_S,
    CallEnd,
    SubscriptionSchedule,
)
from harecross.platform.log import log_exception, log_line

LIST_PATH = b"/catalog/members"
CONNECT_TIMEOUT_S = 1.0
# Pieces of one list or change count as heartbeats for this long, so that an endless update cannot keep a watch open.
PARTIAL_UPDATE_TIMEOUT_S = WATCH_HEARTBEAT_TIMEOUT_S


class WatchListener(Protocol):
    """Is notified of a watch's events; implemented by `discovery_client.DiscoveryClient`."""

    def update_received(self, watch: Watch, update: Any, *, full: bool, restarted: bool) -> None:
        """Called when a list or change has been received. Raises ValueError if it is neither.

        `full`: it is a full list. `restarted`: the discovery has restarted and counts its versions from the beginning.
        """

    def heartbeat_received(self, watch: Watch) -> None:
        """Called for a heartbeat: nothing has changed since the watch's last list or change."""

    def connectivity_changed(self, watch: Watch, *, connected: bool) -> None:
        """Called when the watch has received data, or its connection has ended or could not be opened."""

    def call_ended(self, watch: Watch) -> None:
        """Called when one of the watch's own calls has ended."""


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery: a request for a full list, or a watch that lasts until its connection ends.

    Attributes:
        awaits_first_update: Whether this is the watch's own call and its first list or change is still to come.
        partial_since: When the first piece of an incomplete list or change was received, in monotonic seconds.
        ended: Completes when the call ends.
        responded: Whether part of a body with status 200 has been received, and nothing malformed since.
        malformed: Whether the response could not be parsed or applied.
    """

    def __init__(
        self, watch: Watch, path: bytes, schedule: SubscriptionSchedule, *, is_watch_call: bool
    ) -> None:
        """`is_watch_call`: this is the watch's own call, not a separate poll. `schedule` is notified of heartbeats."""
        self.watch = watch
        self.awaits_first_update = is_watch_call
        self.schedule = schedule
        self.path = path
        self.transport: asyncio.Transport | None = None
        self.http_parser = HttpResponseParser(self)
        self.json_parser = JsonStreamParser()
        self.partial_since: float | None = None
        self.ended = asyncio.get_running_loop().create_future()
        self.responded = False
        self.malformed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the HTTP request."""
        self.transport = cast(asyncio.Transport, transport)
        host, port = self.watch.address
        self.transport.write(
            b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n"
            % (self.path, b"%s:%d" % (host.encode(), port))
        )

    def data_received(self, data: bytes) -> None:
        """Parses the data, and counts it as a heartbeat if it shows that discovery is alive."""
        self.watch.listener.connectivity_changed(self.watch, connected=True)
        try:
            self.http_parser.feed_data(data)
        except HttpParserError as error:
            self.fail(f"{self.watch.name}: invalid HTTP response: {error}")
        if self.responded and self.counts_as_heartbeat(time.monotonic()):
            self.schedule.heartbeat_received(time.monotonic())

    def counts_as_heartbeat(self, now: float) -> bool:
        """Whether the data just received shows that the watch is alive."""
        if not self.json_parser.has_partial_value:
            self.partial_since = None
            return True
        if self.partial_since is None:
            self.partial_since = now
        return now - self.partial_since < PARTIAL_UPDATE_TIMEOUT_S

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the call as ended."""
        if not self.ended.done():
            self.ended.set_result(None)

    def on_body(self, data: bytes) -> None:
        """Handles part of the response body; called by the HTTP parser."""
        if self.http_parser.get_status_code() != 200 or self.ended.done():
            return
        self.responded = True
        try:
            for value in self.json_parser.feed(data):
                self.value_received(value)
        except MalformedJsonError as error:
            self.fail(f"{self.watch.name}: invalid list or change: {error}")

    def on_message_complete(self) -> None:
        """Handles the end of the response; called by the HTTP parser."""
        try:
            self.json_parser.finish()
        except MalformedJsonError as error:
            self.fail(f"{self.watch.name}: invalid list or change: {error}")
        self.close()

    def value_received(self, value: Any) -> None:
        """Handles one parsed value: a list, a change, or BLANK_LINE."""
        if self.ended.done():
            return
        self.partial_since = None
        if value is BLANK_LINE:
            self.watch.heartbeat_received()
            return
        first, self.awaits_first_update = self.awaits_first_update, False
        try:
            self.watch.update_received(value, first=first)
        except (ValueError, RecursionError) as error:
            self.fail(f"{self.watch.name}: invalid list or change: {error}")
        except Exception:
            log_exception("discovery")

    def fail(self, reason: str) -> None:
        """Ends the call after a malformed response, so that a change that could not be parsed is not missed.

        The next call asks for the changes after the last version that was applied.
        """
        if self.ended.done():
            return
        log_line(f"discovery: {reason}")
        self.responded, self.malformed = False, True
        self.close()

    def close(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)


class Watch:
    """A watch of one address, reopened according to its `SubscriptionSchedule` until `close` is called."""

    def __init__(
        self,
        listener: WatchListener,
        address: tuple[str, int],
        generation: int | None,
        schedule: SubscriptionSchedule,
        epoch: int,
    ) -> None:
        """`generation` is the last version applied; None requests the full list first.

        `epoch` identifies the migration that opened this watch; the client uses it to find the watch's source.
        """
        self.listener = listener
        self.address = address
        self.generation = generation
        self.schedule = schedule
        self.epoch = epoch
        self.closed = False
        self.retired = False  # set after a migration to another address: the current call is the last one
        schedule.start(time.monotonic())
        self.task = asyncio.get_running_loop().create_task(self.run())

    @property
    def name(self) -> str:
        """The address as host:port."""
        return f"{self.address[0]}:{self.address[1]}"

    def close(self) -> None:
        """Ends the watch; data received later is ignored."""
        self.closed = True
        self.schedule.stop()
        self.task.cancel()

    def update_received(self, update: Any, *, first: bool) -> None:
        """Applies a list or change unless it is older than the last one. Raises ValueError if it cannot be applied.

        `first`: it is the first response to the watch's current call.
        """
        if self.closed:
            return
        generation = wire_format.generation_of(update)
        order = VersionOrder.NEWER
        if isinstance(generation, int):
            order = self.order_of(generation, full=wire_format.is_reset(update), first=first)
            if order is VersionOrder.OLDER:
                return
            if order is VersionOrder.UNUSABLE:
                self.generation = None
                raise ValueError(f"change with version {generation} is not based on a known version")
        self.listener.update_received(
            self, update, full=self.generation is None, restarted=order is VersionOrder.RESTARTED
        )
        if isinstance(generation, int):
            self.generation = generation
        elif self.generation is None:
            self.generation = 0
        self.schedule.update_applied()

    def order_of(self, generation: int, *, full: bool, first: bool) -> VersionOrder:
        """Compares a version with the last one applied; logs any result other than NEWER."""
        order = compare_versions(self.generation, generation, full=full, first=first)
        if order is not VersionOrder.NEWER:
            log_line(f"discovery: {self.name}: version {generation} after {self.generation}: {order.value}")
        return order

    def heartbeat_received(self) -> None:
        """Handles an empty line: nothing is newer, since the first line of a call would hold any pending update."""
        if not self.closed and self.generation is not None:
            self.listener.heartbeat_received(self)

    async def run(self) -> None:
        """Makes the watch's calls one after another."""
        while not self.retired:
            await asyncio.sleep(max(0.0, self.schedule.next_call_at - time.monotonic()))
            if self.retired:
                return
            path, before = LIST_PATH, self.generation
            if before is not None:
                path += b"?watch=1&after=%d" % before
            self.schedule.call_started(time.monotonic())
            end = await self.call(path, self.schedule, is_watch_call=True)
            if before is None and self.generation is not None and end is CallEnd.ENDED:
                self.schedule.start(time.monotonic())  # opens the watch immediately after the full list
                continue
            self.schedule.call_ended(time.monotonic(), end)
            self.listener.call_ended(self)

    async def call(self, path: bytes, schedule: SubscriptionSchedule, *, is_watch_call: bool) -> CallEnd:
        """Makes one call and returns how it ended."""
        call = DiscoveryCall(self, path, schedule, is_watch_call=is_watch_call)
        silent = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: call, *self.address)
            silent = await self.wait_for_end_or_silence(call)
        except (OSError, TimeoutError) as error:
            log_line(f"discovery: {self.name}: connection failed: {error!r}")
        finally:
            call.close()
        self.listener.connectivity_changed(self, connected=False)
        if call.malformed:
            return CallEnd.MALFORMED
        if not call.responded:
            return CallEnd.FAILED
        return CallEnd.SILENT if silent else CallEnd.ENDED

    async def wait_for_end_or_silence(self, call: DiscoveryCall) -> bool:
        """Waits until a call ends or falls silent; returns True if it received nothing before its deadline.

        A failed machine leaves the connection open, so a silent call must be detected by a timeout. Two silent watches
        in a row would exceed the staleness limit.
        """
        while not call.ended.done():
            remaining_s = call.schedule.response_deadline() - time.monotonic()
            if remaining_s <= 0:
                log_line(f"discovery: {self.name}: no data received before the response deadline")
                return True
            await asyncio.wait([call.ended], timeout=remaining_s)
        return False
