"""The part of the connection pool that a connection to a server uses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Protocol

from harecross.dispatch.close_reasons import ClosedConnection
from harecross.interface import Outcome
from harecross.platform.memory_ledger import MemoryLedger
from harecross.upstream.duplicate_responses import ResponseVariety
from harecross.upstream.exchange import Exchange
from harecross.upstream.response_reads import ResponseReads

if TYPE_CHECKING:
    from harecross.upstream.connection import ServerConnection


class ConnectionOwner(Protocol):
    """The part of `ConnectionPool` that a connection uses."""

    ledger: MemoryLedger
    initial_buffer_bytes: int
    stream_buffer_bytes: int
    streaming: set[ServerConnection]
    malformed_responses: int
    responses_passed_on_early: int
    response_reads: ResponseReads
    response_variety: ResponseVariety
    on_connection_closed: Callable[[ClosedConnection], None]

    def record_load_report(self, text: bytes) -> Sequence[float]:
        """Parses and counts a load report from a header or body; returns () if it is invalid."""

    def resize_stream_buffers(self) -> None:
        """Adapts the kernel's receive buffers to the number of streamed bodies."""

    def held_response_bytes(self) -> int:
        """Returns up to which size a response is held until it is complete, if it may not be streamed."""

    def start_deadline_timer(self, exchange: Exchange) -> None:
        """Schedules the abandonment of the exchange at its deadline."""

    def start_hold_timer(self, connection: ServerConnection) -> asyncio.TimerHandle:
        """Schedules that a response that has begun is passed on, if it is not complete by then."""

    def release(self, connection: ServerConnection) -> None:
        """Returns a connection to the pool for another exchange."""

    def remove(self, connection: ServerConnection) -> None:
        """Removes a closed connection from the pool."""

    def finish(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        """Reports the outcome of the exchange."""
