"""A watch of one discovery: calls, parsing of lists, reconnecting."""

from __future__ import annotations

import asyncio
import time
from typing import Any, Protocol, cast

from httptools import HttpParserError, HttpResponseParser

from harecross.discovery.json_stream import BLANK_LINE, BadValue, Values
from harecross.discovery.list_versions import Verdict, judge
from harecross.discovery.subscription_schedule import WATCH_HEARTBEAT_TIMEOUT_S, CallEnd, SubscriptionSchedule
from harecross.dispatch.dispatcher import log_exception, log_line

CONNECT = 1.0  # seconds
PART_MOST = WATCH_HEARTBEAT_TIMEOUT_S  # seconds for which the parts of one list or change count as words


class Subscriber(Protocol):
    """Who is told what a watch brings (`discovery.discovery_client.Discovery`)."""

    def received(self, watch: Watch, update: Any, whole: bool, anew: bool) -> None:
        """A list or change. ValueError if it is neither.

        `anew`: it comes from a discovery that has begun to count its versions again.
        """

    def unchanged(self, watch: Watch) -> None:
        """There is nothing newer than what the watch has brought."""

    def reached(self, watch: Watch, good: bool) -> None:
        """The watch has just spoken, or its connection has ended or come to nothing."""

    def call_ended(self, watch: Watch) -> None:
        """One of the watch's own calls is over."""


class DiscoveryCall(asyncio.Protocol):
    """One call to discovery: a whole list, or a watch that lasts until its connection ends."""

    def __init__(self, watch: Watch, path: bytes, asking: SubscriptionSchedule, own: bool) -> None:
        """`own`: it is the watch's own call, none beside it."""
        self.watch = watch
        self.first = own  # the next list or change is the first word of the watch's own call
        self.schedule = asking
        self.path = path
        self.transport: asyncio.Transport | None = None
        self.parser = HttpResponseParser(self)
        self.values = Values()
        self.part_since: float | None = None  # when a value that is not whole yet began to come
        self.ended = asyncio.get_running_loop().create_future()
        self.good = False  # an answer has brought something usable
        self.bad = False  # it has brought what could not be read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(
            b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n"
            % (self.path, b"%s:%d" % (self.watch.address[0].encode(), self.watch.address[1]))
        )

    def data_received(self, data: bytes) -> None:
        self.watch.subscriber.reached(self.watch, True)
        try:
            self.parser.feed_data(data)
        except HttpParserError as e:
            self.spoilt(f"bad answer: {e}")
        if self.good and self.is_word(time.monotonic()):
            self.schedule.heartbeat_received(time.monotonic())

    def is_word(self, now: float) -> bool:
        """Whether what has come tells that the watch is alive.

        Guards against: a list that dribbles in and never ends keeps up a watch that tells nothing.
        """
        if not self.values.open:
            self.part_since = None
            return True
        if self.part_since is None:
            self.part_since = now
        return now - self.part_since < PART_MOST

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def on_body(self, data: bytes) -> None:
        if self.parser.get_status_code() != 200 or self.ended.done():
            return
        self.good = True
        try:
            for value in self.values.feed(data):
                self.value(value)
        except BadValue as e:
            self.spoilt(f"bad list: {e}")

    def on_message_complete(self) -> None:
        try:
            self.values.finish()
        except BadValue as e:
            self.spoilt(f"bad list: {e}")
        self.stop()

    def value(self, value: Any) -> None:
        """One list or change, or the word that there is none."""
        if self.ended.done():
            return
        self.part_since = None
        if value is BLANK_LINE:
            self.watch.unchanged()
            return
        first, self.first = self.first, False
        try:
            self.watch.told(value, first)
        except (ValueError, RecursionError) as e:
            self.spoilt(f"bad list: {e}")
        except Exception:
            log_exception("discovery")

    def spoilt(self, what: str) -> None:
        """Ends the call.

        Guards against: a change that could not be read is missed for good. The next watch starts after the last one
        that could.
        """
        if self.ended.done():
            return
        log_line(f"discovery: {what}")
        self.good, self.bad = False, True
        self.stop()

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)


class Watch:
    """A watch at one address, opened anew when its `SubscriptionSchedule` says, until `close`."""

    def __init__(
        self,
        subscriber: Subscriber,
        address: tuple[str, int],
        generation: int | None,
        asking: SubscriptionSchedule,
        lineage: int,
    ) -> None:
        """`lineage` counts the configurations that named a discovery: watches of one lineage follow one another."""
        self.subscriber = subscriber
        self.address = address
        self.generation = generation  # the last version read; None before the first whole list
        self.schedule = asking
        self.lineage = lineage
        self.closed = False
        self.final = False  # its address is to be left: no further call
        asking.start(time.monotonic())
        self.task = asyncio.get_running_loop().create_task(self.run())

    @property
    def place(self) -> str:
        """The address, as in the configuration."""
        return f"{self.address[0]}:{self.address[1]}"

    def close(self) -> None:
        self.closed = True
        self.schedule.stop()
        self.task.cancel()

    def told(self, update: Any, first: bool) -> None:
        """One line of this watch; nothing counts that comes after the watch has been given up.

        `first`: it is the first word of its present call. ValueError for what cannot be used.
        """
        if self.closed:
            return
        generation = update.get("generation") if isinstance(update, dict) else None
        verdict = Verdict.NEWER
        if isinstance(generation, int):
            verdict = judge(self.generation, generation, bool(update.get("reset")), first)
            if verdict is not Verdict.NEWER:
                log_line(
                    f"discovery: {self.place}: version {generation} after {self.generation}: {verdict.value}"
                )
            if verdict is Verdict.OLDER:
                return
            if verdict is Verdict.UNUSABLE:
                self.generation = None
                raise ValueError("a change of a version never seen")
        self.subscriber.received(self, update, self.generation is None, verdict is Verdict.ANEW)
        if isinstance(generation, int):
            self.generation = generation
        elif self.generation is None:
            self.generation = 0
        self.schedule.update_applied()

    def unchanged(self) -> None:
        """An empty line: what this watch asked after is the newest there is, since a first line brings what is not."""
        if not self.closed and self.generation is not None:
            self.subscriber.unchanged(self)

    async def run(self) -> None:
        while not self.final:
            await asyncio.sleep(max(0.0, self.schedule.next_call_at - time.monotonic()))
            if self.final:
                return
            path, had = b"/catalog/members", self.generation
            if had is not None:
                path += b"?watch=1&after=%d" % had
            self.schedule.call_started(time.monotonic())
            end = await self.call(path, self.schedule, own=True)
            if had is None and self.generation is not None and end is CallEnd.ENDED:
                self.schedule.start(time.monotonic())  # the whole list is here: its watch follows
                continue
            self.schedule.call_ended(time.monotonic(), end)
            self.subscriber.call_ended(self)

    async def call(self, path: bytes, asking: SubscriptionSchedule, own: bool) -> CallEnd:
        """One call from connect to end, and how it ended; `own` for that of the watch, not one beside it."""
        stream = DiscoveryCall(self, path, asking, own)
        end: CallEnd | None = None
        try:
            async with asyncio.timeout(CONNECT):
                await asyncio.get_running_loop().create_connection(lambda: stream, *self.address)
            # Guards against: a machine that has gone leaves the connection open and silent; and two silent
            # watches in a row outlast the time after which a change is binding.
            while not stream.ended.done():
                left = asking.response_deadline() - time.monotonic()
                if left <= 0:
                    log_line(f"discovery: {self.place}: silent")
                    end = CallEnd.SILENT
                    break
                await asyncio.wait([stream.ended], timeout=left)
        except (OSError, TimeoutError) as e:
            log_line(f"discovery: {self.place}: {e!r}")
        finally:
            stream.stop()
        self.subscriber.reached(self, False)
        if stream.bad:
            return CallEnd.MALFORMED
        if not stream.good:
            return CallEnd.FAILED
        return end or CallEnd.ENDED
