"""One stream of one proxy, and the write slots that limit how many streams send non-urgent responses at once."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from harecross.xds.delta_stream import DeltaStream
from harecross.xds.sotw_stream import SotwStream

# The most streams that send non-urgent responses at the same time.
MAX_SLOTS = 16


@dataclass(eq=False)
class ProxyStream:
    """One stream of one proxy.

    Attributes:
        peer: The proxy's address as gRPC reports it.
        stream: The protocol state.
        allowed_clusters: The clusters that the proxy may see; None stands for all of them.
        certificate_names: The names in the proxy's certificate.
        node: The node id from the proxy's first request.
        zone: The zone from the proxy's first request.
        connected_at: When the stream was admitted, in Unix seconds.
        last_request_at: When the last request arrived, in Unix seconds.
        wake: Set when there may be something to send.
        identified: Whether the first request has arrived.
        queued: Whether the stream waits for a write slot.
        has_slot: Whether the stream holds a write slot.
        blocked: Whether a response has stayed unread for longer than a stream may hold its write slot.
        closed: Whether the stream has ended.
    """

    peer: str
    stream: SotwStream | DeltaStream
    allowed_clusters: frozenset[str] | None
    certificate_names: tuple[str, ...] = ()
    node: str = ""
    zone: str = ""
    connected_at: float = field(default_factory=time.time)
    last_request_at: float = field(default_factory=time.time)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    identified: bool = False
    queued: bool = False
    has_slot: bool = False
    blocked: bool = False
    closed: bool = False


class WriteSlots:
    """Grants write slots to streams in the order of their requests.

    A stream sends one response for each slot, so that a stream with many responses due does not delay the others.
    """

    def __init__(self) -> None:
        self._queue: deque[ProxyStream] = deque()
        self._slots_in_use = 0

    def enqueue(self, proxy: ProxyStream) -> None:
        """Queues a stream for a write slot if a response may be due on it."""
        if not proxy.queued and not proxy.stream.up_to_date:
            proxy.queued = True
            self._queue.append(proxy)
            self._grant_slots()

    def release(self, proxy: ProxyStream) -> None:
        """Frees the stream's write slot, if it holds one."""
        if proxy.has_slot:
            proxy.has_slot = False
            self._slots_in_use -= 1
            self._grant_slots()

    def block(self, proxy: ProxyStream) -> None:
        """Frees the write slot of a stream with an unread response; grants none until the response is read."""
        proxy.blocked = True
        self.release(proxy)

    def _grant_slots(self) -> None:
        while self._slots_in_use < MAX_SLOTS and self._queue:
            proxy = self._queue.popleft()
            proxy.queued = False
            # A blocked stream is granted no slot; otherwise streams that nobody reads would hold all slots.
            if not (proxy.closed or proxy.has_slot or proxy.blocked):
                self._slots_in_use += 1
                proxy.has_slot = True
                proxy.wake.set()
