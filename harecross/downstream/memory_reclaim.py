"""Frees memory that client connections hold, when it is short."""

from __future__ import annotations

from harecross.downstream.connection_state import ConnectionState
from harecross.platform.clock import monotonic_us
from harecross.platform.memory_ledger import SMALL_BODY_BYTES, MemoryLedger

# Each reclamation visits all connections.
RECLAIM_INTERVAL_US = 50_000


class MemoryReclaim:
    """What a `ConnectionManager`, which documents the attributes, does when memory is short."""

    ledger: MemoryLedger
    open: set[ConnectionState]
    receiving: dict[ConnectionState, int]
    reclaimed_at_us: int

    def reclaim_memory(self) -> None:
        """Drops what uploads retain for another attempt. These requests are not retried then.

        Asked for at every part of a body while memory is short, it acts at most once in `RECLAIM_INTERVAL_US`.
        """
        now = monotonic_us()
        if now >= self.reclaimed_at_us + RECLAIM_INTERVAL_US:
            self.reclaimed_at_us = now
            for connection in self.open:
                connection.drop_retained()

    def shed_excess(self) -> None:
        """Refuses large bodies as far as more is held than the budget allows."""
        if self.ledger.held > self.ledger.budget:
            self.shed_large_bodies(self.ledger.held - self.ledger.budget)

    def shed_large_bodies(self, size: int) -> int:
        """Refuses large bodies that are received, the largest first, until `size` bytes are free; returns how many.

        None of them is complete, so no server runs its request.
        """
        refusable = (each for each in self.receiving if not each.input_closed)
        bodies = [
            (each.incoming_body_bytes(), each) for each in refusable if not each.answers_incoming_upload()
        ]
        freed = 0
        for held, connection in sorted(bodies, key=lambda item: -item[0]):
            if freed >= size or held <= SMALL_BODY_BYTES:
                break
            freed += held
            self.ledger.refused += 1
            connection.reject_input(503)
            connection.handle_pending()
        return freed
