"""Keeps the process within its memory limit: compares the ledger's budget with the size that the kernel tells."""

from __future__ import annotations

from collections.abc import Callable

from harecross.node.process_sizes import ProcessSizes
from harecross.platform.allocator import FreeMemory
from harecross.platform.clock import monotonic_us
from harecross.platform.memory_ledger import MemoryLedger
from harecross.platform.process_memory import ProcessSize

# What is not used of the limit: for objects of requests, and for what comes between two looks at the size.
RESERVE_BYTES = 1 << 21
# Free memory is given back to the system when less than this is left, at most once in the interval.
GIVE_BACK_LEFT_BYTES = 1 << 20
GIVE_BACK_INTERVAL_US = 20_000
# The least time between two log lines about memory.
LOG_INTERVAL_US = 1_000_000


class MemoryControl:
    """Adapts the budget of a ledger to the size of the process.

    Attributes:
        limit: How large all processes of the node together may be, in bytes, with the files of their folder.
        size: The size of this process at the last check; zeros if the kernel does not tell.
        is_short: Whether memory was short when that was logged last.
        on_change: Called when memory becomes short or is no longer.
        sizes: What the other processes of the node take; None if there can be none.
    """

    def __init__(
        self,
        ledger: MemoryLedger,
        limit: int,
        read_size: Callable[[], ProcessSize | None],
        free_memory: FreeMemory,
        monotonic: Callable[[], int] = monotonic_us,
    ) -> None:
        self.ledger = ledger
        self.limit = limit
        self.read_size = read_size
        self.free_memory = free_memory
        self.monotonic = monotonic
        self.gave_back_at_us = 0
        self.logged_at_us = -LOG_INTERVAL_US
        self.is_short = False
        self.on_change: Callable[[], None] | None = None
        self.size = ProcessSize(0, 0)
        self.sizes: ProcessSizes | None = None
        ledger.on_growth = self.check

    def check(self) -> None:
        """Adapts the budget to the present size; gives free memory back first if little is left."""
        left = self.left()
        if left < GIVE_BACK_LEFT_BYTES and self.may_give_back():
            self.free_memory.give_back()
            left = self.left()
        self.ledger.set_left(left)
        short = left < GIVE_BACK_LEFT_BYTES or self.ledger.is_short
        if short != self.is_short:
            self.note_change(short=short)

    def note_change(self, *, short: bool) -> None:
        """Tells that memory has become short, or is no longer; a change soon after another one is told later."""
        now = self.monotonic()
        if now >= self.logged_at_us + LOG_INTERVAL_US:
            self.logged_at_us = now
            self.is_short = short
            if self.on_change is not None:
                self.on_change()

    def refresh(self) -> None:
        """Adapts the budget to the sizes of all processes of the node."""
        if self.sizes is not None:
            self.sizes.refresh()
        self.check()

    def note_least_size(self) -> None:
        """Notes the present size as that of a process which has just started."""
        if self.sizes is not None:
            self.sizes.least_size = self.size.own

    def left(self) -> int:
        """Returns by how many bytes the process may still grow."""
        size = self.read_size()
        if size is None:
            return self.ledger.share
        self.size = size
        others = 0
        if self.sizes is not None:
            self.sizes.tell(size.own)
            others = self.sizes.others_bytes
        return self.limit - RESERVE_BYTES - size.resident - others

    def may_give_back(self) -> bool:
        """Returns whether free memory may be given back now, which visits the whole heap."""
        now = self.monotonic()
        if now < self.gave_back_at_us + GIVE_BACK_INTERVAL_US:
            return False
        self.gave_back_at_us = now
        return True
