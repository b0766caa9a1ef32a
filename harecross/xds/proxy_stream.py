"""One stream of one proxy, and the turns in which streams get what can wait."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from harecross.xds.delta_stream import DeltaStream
from harecross.xds.sotw_stream import SotwStream

MAX_SLOTS = 16  # streams at once that are sent what can wait


@dataclass(eq=False)
class ProxyStream:
    """One stream of one proxy."""

    peer: str
    stream: SotwStream | DeltaStream
    allowed_clusters: frozenset[str] | None  # the clusters that it may see; None: all
    certificate_names: tuple[str, ...] = ()
    node: str = ""
    zone: str = ""
    connected_at: float = field(default_factory=time.time)  # Unix seconds
    last_request_at: float = field(default_factory=time.time)
    wake: asyncio.Event = field(default_factory=asyncio.Event)  # there may be something to send
    identified: bool = False  # its first request has come
    queued: bool = False  # waits for a turn
    has_slot: bool = False
    blocked: bool = False  # a response has stayed unread for longer than a turn
    closed: bool = False


class WriteSlots:
    """Gives streams turns in the order in which they asked, so that none is kept waiting by one that is due much."""

    def __init__(self) -> None:
        self._queue: deque[ProxyStream] = deque()
        self._slots_in_use = 0

    def enqueue(self, proxy: ProxyStream) -> None:
        """Queues a stream that something may be due on."""
        if not proxy.queued and not proxy.stream.up_to_date:
            proxy.queued = True
            self._queue.append(proxy)
            self._grant_slots()

    def release(self, proxy: ProxyStream) -> None:
        """Ends a stream's turn, if it has one."""
        if proxy.has_slot:
            proxy.has_slot = False
            self._slots_in_use -= 1
            self._grant_slots()

    def block(self, proxy: ProxyStream) -> None:
        """Ends the turn of a stream that the proxy reads slowly, or not at all."""
        proxy.blocked = True
        self.release(proxy)

    def _grant_slots(self) -> None:
        while self._slots_in_use < MAX_SLOTS and self._queue:
            proxy = self._queue.popleft()
            proxy.queued = False
            # A blocked stream gets no turn, or streams that nobody reads would take all turns.
            if not (proxy.closed or proxy.has_slot or proxy.blocked):
                self._slots_in_use += 1
                proxy.has_slot = True
                proxy.wake.set()
