"""A watch of one discovery: its calls, the parsing of their responses, and reconnecting."""

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
# Parts of one list or change count as heartbeats for so long: an update that never ends must not keep a watch open.
PARTIAL_UPDATE_TIMEOUT_S = WATCH_HEARTBEAT_TIMEOUT_S


class WatchListener(Protocol):
    """What is notified of a watch's events (`discovery_client.DiscoveryClient`)."""

    def update_received(self, watch: Watch, update: Any, *, full: bool, restarted: bool) -> None:
        """A list or change has been received. ValueError if it is neither.

        `full`: it is a full list. `restarted`: its discovery counts its versions from the start again.
        """

    def heartbeat_received(self, watch: Watch) -> None:
        """Nothing has changed since the last list or change of the watch."""

    def connectivity_changed(self, watch: Watch, *, connected: bool) -> None:
        """The watch has just received something, or its connection has ended or could not be made."""

    def call_ended(self, watch: Watch) -> None:
        """One of the watch's own calls is over."""


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery: a full list, or a watch that lasts until its connection ends."""

    def __init__(
        self, watch: Watch, path: bytes, schedule: SubscriptionSchedule, *, is_watch_call: bool
    ) -> None:
        """`is_watch_call`: the watch's own call, not a poll beside it. `schedule` is notified of heartbeats."""
        self.watch = watch
        self.awaits_first_update = is_watch_call
        self.schedule = schedule
        self.path = path
        self.transport: asyncio.Transport | None = None
        self.http_parser = HttpResponseParser(self)
        self.json_parser = JsonStreamParser()
        self.partial_since: float | None = None  # when the first part of the present list or change came
        self.ended = asyncio.get_running_loop().create_future()
        self.responded = False  # a part of a body with status 200 has come, and nothing malformed since
        self.malformed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request."""
        self.transport = cast(asyncio.Transport, transport)
        host, port = self.watch.address
        self.transport.write(
            b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n"
            % (self.path, b"%s:%d" % (host.encode(), port))
        )

    def data_received(self, data: bytes) -> None:
        """Parses the bytes, and counts them as a heartbeat where they show that discovery is alive."""
        self.watch.listener.connectivity_changed(self.watch, connected=True)
        try:
            self.http_parser.feed_data(data)
        except HttpParserError as error:
            self.fail(f"bad answer: {error}")
        if self.responded and self.counts_as_heartbeat(time.monotonic()):
            self.schedule.heartbeat_received(time.monotonic())

    def counts_as_heartbeat(self, now: float) -> bool:
        """Whether the bytes that have just come show that the watch is alive."""
        if not self.json_parser.has_partial_value:
            self.partial_since = None
            return True
        if self.partial_since is None:
            self.partial_since = now
        return now - self.partial_since < PARTIAL_UPDATE_TIMEOUT_S

    def connection_lost(self, exc: Exception | None) -> None:
        """The call is over."""
        if not self.ended.done():
            self.ended.set_result(None)

    def on_body(self, data: bytes) -> None:
        """A part of the body, from the HTTP parser."""
        if self.http_parser.get_status_code() != 200 or self.ended.done():
            return
        self.responded = True
        try:
            for value in self.json_parser.feed(data):
                self.value_received(value)
        except MalformedJsonError as error:
            self.fail(f"bad list: {error}")

    def on_message_complete(self) -> None:
        """The end of the response, from the HTTP parser."""
        try:
            self.json_parser.finish()
        except MalformedJsonError as error:
            self.fail(f"bad list: {error}")
        self.close()

    def value_received(self, value: Any) -> None:
        """A list, a change, or BLANK_LINE."""
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
            self.fail(f"bad list: {error}")
        except Exception:
            log_exception("discovery")

    def fail(self, reason: str) -> None:
        """Ends the call, so that a change that could not be read is not missed.

        The next watch starts after the last change that was read.
        """
        if self.ended.done():
            return
        log_line(f"discovery: {reason}")
        self.responded, self.malformed = False, True
        self.close()

    def close(self) -> None:
        """Ends the connection."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)


class Watch:
    """A watch at one address, reopened when its `SubscriptionSchedule` says, until `close`."""

    def __init__(
        self,
        listener: WatchListener,
        address: tuple[str, int],
        generation: int | None,
        schedule: SubscriptionSchedule,
        epoch: int,
    ) -> None:
        """`generation` is the last version read, None for the full list first.

        `epoch` counts the configurations that named a discovery: watches of one epoch follow one another.
        """
        self.listener = listener
        self.address = address
        self.generation = generation
        self.schedule = schedule
        self.epoch = epoch
        self.closed = False
        self.retired = False  # its address is to be left: its present call is the last one
        schedule.start(time.monotonic())
        self.task = asyncio.get_running_loop().create_task(self.run())

    @property
    def name(self) -> str:
        """The address, as in the configuration."""
        return f"{self.address[0]}:{self.address[1]}"

    def close(self) -> None:
        """Ends the watch: nothing that comes later counts."""
        self.closed = True
        self.schedule.stop()
        self.task.cancel()

    def update_received(self, update: Any, *, first: bool) -> None:
        """Uses a list or change unless it is older than the last one. ValueError for what cannot be used.

        `first`: it is the first response of the watch's present call.
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
                raise ValueError("a change of a version never seen")
        self.listener.update_received(
            self, update, full=self.generation is None, restarted=order is VersionOrder.RESTARTED
        )
        if isinstance(generation, int):
            self.generation = generation
        elif self.generation is None:
            self.generation = 0
        self.schedule.update_applied()

    def order_of(self, generation: int, *, full: bool, first: bool) -> VersionOrder:
        """How that version relates to the last one; logs all but newer ones."""
        order = compare_versions(self.generation, generation, full=full, first=first)
        if order is not VersionOrder.NEWER:
            log_line(f"discovery: {self.name}: version {generation} after {self.generation}: {order.value}")
        return order

    def heartbeat_received(self) -> None:
        """An empty line: there is nothing newer, as the first line of a call brings what there is."""
        if not self.closed and self.generation is not None:
            self.listener.heartbeat_received(self)

    async def run(self) -> None:
        """Makes the watch's calls, one after another."""
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
                self.schedule.start(time.monotonic())  # the full list is here: its watch follows at once
                continue
            self.schedule.call_ended(time.monotonic(), end)
            self.listener.call_ended(self)

    async def call(self, path: bytes, schedule: SubscriptionSchedule, *, is_watch_call: bool) -> CallEnd:
        """Makes one call, and returns how it ended."""
        call = DiscoveryCall(self, path, schedule, is_watch_call=is_watch_call)
        silent = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: call, *self.address)
            silent = await self.wait_for_end_or_silence(call)
        except (OSError, TimeoutError) as error:
            log_line(f"discovery: {self.name}: {error!r}")
        finally:
            call.close()
        self.listener.connectivity_changed(self, connected=False)
        if call.malformed:
            return CallEnd.MALFORMED
        if not call.responded:
            return CallEnd.FAILED
        return CallEnd.SILENT if silent else CallEnd.ENDED

    async def wait_for_end_or_silence(self, call: DiscoveryCall) -> bool:
        """Waits for the end of a call; True if it brought nothing in time, False if it ended.

        A machine that is gone leaves the connection open, and two silent watches in a row would outlast the staleness
        limit.
        """
        while not call.ended.done():
            remaining_s = call.schedule.response_deadline() - time.monotonic()
            if remaining_s <= 0:
                log_line(f"discovery: {self.name}: silent")
                return True
            await asyncio.wait([call.ended], timeout=remaining_s)
        return False
