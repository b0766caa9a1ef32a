"""Shares each turn of the event loop among the client connections whose received input is not parsed yet.

A connection parses a bounded amount of dense input in one turn, and all connections together for a bounded time. What
is left waits in one of two queues. Input of connections that keep to their share is parsed first, so that a client's
request does not wait behind floods of others. A connection whose input waits is not read.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from harecross.platform.clock import monotonic_us

# The time that all connections together may parse and answer in one turn. A request passes some five turns.
TURN_SHARE_US = 2_000
# The time for which a connection that exceeded its share is queued behind those that did not.
FLOOD_MEMORY_US = 1_000_000
# Every turn parses the share of at least this many flooding connections, however busy the others are.
MIN_FLOODS_PER_TURN = 1


class InputSource(Protocol):
    """A connection with received input that is not parsed yet.

    Attributes:
        flooded_at_us: When the connection last had more input than its share of a turn.
        input_queued: Whether the connection is in a queue.
    """

    flooded_at_us: int
    input_queued: bool

    def parse_share(self) -> None:
        """Parses the connection's share of one turn; queues the connection again if input is left."""


class InputScheduler:
    """The queues of connections whose input waits.

    Attributes:
        deferred: How often input was queued.
        floods: How often a connection exceeded its share of a turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, monotonic: Callable[[], int] = monotonic_us) -> None:
        self.loop = loop
        self.monotonic = monotonic
        self.moderate: deque[InputSource] = deque()
        self.flooding: deque[InputSource] = deque()
        self.spent_us = 0
        self.turn_scheduled = False
        self.deferred = 0
        self.floods = 0

    def may_read(self, source: InputSource) -> bool:
        """Returns whether the input that a connection is about to read may be parsed in this turn."""
        if self.spent_us >= TURN_SHARE_US:
            return False
        # Asked before every read, so the clock is read only for a connection that has ever exceeded its share.
        return source.flooded_at_us < 0 or not self.is_flooding(source, self.monotonic())

    def may_parse(self, source: InputSource, now: int) -> bool:
        """Returns whether the input that a connection has just read may be parsed in this turn."""
        return self.spent_us < TURN_SHARE_US and not self.is_flooding(source, now)

    def is_flooding(self, source: InputSource, now: int) -> bool:
        """Returns whether the connection has recently exceeded its share."""
        return now - source.flooded_at_us < FLOOD_MEMORY_US

    def record(self, began_us: int) -> None:
        """Counts the time since `began_us`, in which input was parsed, against this turn."""
        self.spent_us += self.monotonic() - began_us
        self.schedule_turn()

    def exceeded(self, source: InputSource) -> None:
        """Notes that a connection has more input than its share of this turn."""
        source.flooded_at_us = self.monotonic()
        self.floods += 1

    def defer(self, source: InputSource) -> None:
        """Queues a connection whose input waits."""
        if source.input_queued:
            return
        source.input_queued = True
        self.deferred += 1
        queue = self.flooding if self.is_flooding(source, self.monotonic()) else self.moderate
        queue.append(source)
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Makes the next turn begin with a new share."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.run_turn)

    def run_turn(self) -> None:
        """Parses queued input, each connection's share at most once."""
        self.turn_scheduled = False
        self.spent_us = 0
        if not self.moderate and not self.flooding:
            return
        # A connection that exceeds its share moves to the other queue, and waits there for the next turn.
        queued_floods = len(self.flooding)
        self.run_queue(self.moderate, len(self.moderate), 0)
        self.run_queue(self.flooding, queued_floods, MIN_FLOODS_PER_TURN)
        if self.moderate or self.flooding:
            self.schedule_turn()

    def run_queue(self, queue: deque[InputSource], count: int, minimum: int) -> None:
        """Parses the shares of the first `count` connections: of `minimum`, and of more while time is left."""
        for position in range(count):
            if self.spent_us >= TURN_SHARE_US and position >= minimum:
                return
            began_us = self.monotonic()
            source = queue.popleft()
            source.input_queued = False
            source.parse_share()
            self.record(began_us)
