"""One stream of one proxy, and the turns in which streams get what can wait."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from harecross.xds.delta_stream import DeltaStream
from harecross.xds.sotw_stream import SotwStream

MAX_TURNS = 16  # streams at once that are sent what can wait


@dataclass(eq=False)
class ProxyStream:
    """One stream of one proxy."""

    peer: str
    stream: SotwStream | DeltaStream
    allowed: frozenset[str] | None  # the clusters that it may see; None: all
    certificate_names: tuple[str, ...] = ()
    node: str = ""
    zone: str = ""
    connected_at: float = field(default_factory=time.time)  # Unix seconds
    last_request_at: float = field(default_factory=time.time)
    wake: asyncio.Event = field(default_factory=asyncio.Event)  # there may be something to send
    identified: bool = False  # its first request has come
    queued: bool = False  # waits for a turn
    has_turn: bool = False
    blocked: bool = False  # a response has stayed unread for longer than a turn
    closed: bool = False


class TurnQueue:
    """Gives streams turns in the order in which they asked, so that none is kept waiting by one that is due much."""

    def __init__(self) -> None:
        self._queue: deque[ProxyStream] = deque()
        self._turns = 0

    def enqueue(self, proxy: ProxyStream) -> None:
        """Queues a stream that something may be due on."""
        if not proxy.queued and not proxy.stream.settled:
            proxy.queued = True
            self._queue.append(proxy)
            self._give_turns()

    def end_turn(self, proxy: ProxyStream) -> None:
        """Ends a stream's turn, if it has one."""
        if proxy.has_turn:
            proxy.has_turn = False
            self._turns -= 1
            self._give_turns()

    def block(self, proxy: ProxyStream) -> None:
        """Ends the turn of a stream that the proxy reads slowly, or not at all."""
        proxy.blocked = True
        self.end_turn(proxy)

    def _give_turns(self) -> None:
        while self._turns < MAX_TURNS and self._queue:
            proxy = self._queue.popleft()
            proxy.queued = False
            # A blocked stream gets no turn, or streams that nobody reads would take all turns.
            if not (proxy.closed or proxy.has_turn or proxy.blocked):
                self._turns += 1
                proxy.has_turn = True
                proxy.wake.set()
