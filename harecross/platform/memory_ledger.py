"""One account of the bytes that a process holds for clients and servers, and its budget.

Whoever holds bytes reports them here: unparsed input, heads, bodies, buffers of uploads, responses, and what was
written but not accepted by the kernel. Whoever is about to take bytes asks here first, before it reads on.

This module performs no I/O.
"""

from __future__ import annotations

# A body up to this size is refused only when the whole budget is used, so that large ones do not keep it out.
SMALL_BODY_BYTES = 1 << 12
# The parts of the budget, in eighths, from which memory is short, buffers are given back, and bodies are refused.
SHORT_EIGHTHS = 4
RECLAIM_EIGHTHS = 6
REFUSE_EIGHTHS = 7
# How many bytes of an upload wait for its server: usually, while memory is short, and while a connection is opened. Of
# one that is not read to its end, a close of the client may be hidden.
UPLOAD_WINDOW_BYTES = 1 << 16
SHORT_UPLOAD_WINDOW_BYTES = 1 << 14
OPENING_UPLOAD_WINDOW_BYTES = 1 << 18
# The bounds of what is read from a connection at once. Between them, a read takes this part of what is left.
READ_BYTES = 1 << 16
MIN_READ_BYTES = 1 << 11
READ_DIVISOR = 1 << 6
# What is read from a connection whose turn has not come: the event loop does not read nothing.
WAITING_READ_BYTES = 1 << 8


class MemoryLedger:
    """The bytes that a process holds.

    Attributes:
        budget: The number of bytes that it may hold.
        bodies: Bytes of request bodies, and of buffers of uploads.
        input: Bytes of heads, of input that is not parsed yet, and of responses that clients have not taken.
        upstream: Bytes of requests that servers have not taken, and of responses that are not passed on.
        peak: The largest total since it was last reset.
        refused: How many bodies were refused.
    """

    __slots__ = ("bodies", "budget", "input", "peak", "refused", "upstream")

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.bodies = 0
        self.input = 0
        self.upstream = 0
        self.peak = 0
        self.refused = 0

    @property
    def held(self) -> int:
        """The number of bytes that the process holds."""
        return self.bodies + self.input + self.upstream

    def note_peak(self) -> None:
        """Notes the present total, after bytes were added."""
        self.peak = max(self.peak, self.held)

    def exceeds(self, eighths: int) -> bool:
        """Returns whether more than this part of the budget is used."""
        return self.held * 8 > self.budget * eighths

    @property
    def is_short(self) -> bool:
        """Whether buffers are to be kept small."""
        return self.exceeds(SHORT_EIGHTHS)

    def body_fits(self, size: int, body_size: int) -> bool:
        """Returns whether `size` more bytes of a body may be taken, of which `body_size` have then been received."""
        limit = self.budget if body_size <= SMALL_BODY_BYTES else self.budget * REFUSE_EIGHTHS // 8
        fits = self.held + size <= limit
        self.refused += not fits
        return fits

    def read_bytes(self) -> int:
        """Returns how many bytes are read from a connection at once: the fewer, the less is left."""
        # Written out, because it is asked for before every read.
        left = (self.budget - self.bodies - self.input - self.upstream) // READ_DIVISOR
        if left >= READ_BYTES:
            return READ_BYTES
        return left if left > MIN_READ_BYTES else MIN_READ_BYTES

    def upload_window(self, *, opening: bool) -> int:
        """Returns how many bytes of an upload may wait; `opening` tells that no server takes any yet."""
        if self.is_short:
            return SHORT_UPLOAD_WINDOW_BYTES
        roomy = self.held * 4 < self.budget
        return OPENING_UPLOAD_WINDOW_BYTES if opening and roomy else UPLOAD_WINDOW_BYTES
