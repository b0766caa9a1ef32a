"""One account of the bytes that a process holds for clients and servers, and its budget.

Whoever holds bytes reports them here: unparsed input, heads, bodies, buffers of uploads, responses, and what was
written but not accepted by the kernel. Whoever is about to take bytes asks here first, before it reads on.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

# What a connection costs in objects of this process, without what is received on it.
CONNECTION_BYTES = 3_500
# What a header field costs beyond its bytes.
HEADER_FIELD_BYTES = 140
# What a request costs that waits for the one before it on its connection.
PENDING_REQUEST_BYTES = 800
# The budget that is left when the process has already grown to its limit: small requests are served all the same.
MIN_BUDGET_BYTES = 1 << 19
# The bounds of how much more may be held before the size of the process is asked for again; between them, this part of
# what is left.
MIN_GROWTH_BYTES = 1 << 15
MAX_GROWTH_BYTES = 1 << 18
GROWTH_DIVISOR = 4
# After how many changes it is asked for at the latest, usually and while little is left: what is freed in between does
# not return to the system at once, so a process also grows while it holds no more.
CHANGES_PER_CHECK = 128
SCARCE_CHANGES_PER_CHECK = 16
SCARCE_BYTES = 1 << 20
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
# The bounds of what is read from a connection at once.
READ_BYTES = 1 << 16
MIN_READ_BYTES = 1 << 11
READ_SHIFT = 9  # a read takes a 512th of what is left
# What is read from a connection whose turn has not come: the event loop does not read nothing.
WAITING_READ_BYTES = 1 << 8


class MemoryLedger:
    """The bytes that a process holds.

    Attributes:
        share: The number of bytes that this process may hold of what the node may.
        budget: The number of bytes that it may hold now: its share, or less where the process itself has grown.
        on_growth: Called when much more is held than at the last call of `set_left`, or much has changed. It calls
            `set_left`.
        changes_left: After how many more changes it is called at the latest.
        objects: What open connections cost; not a part of what is held.
        bodies: Bytes of request bodies, and of buffers of uploads.
        input: Bytes of heads, of input that is not parsed yet, and of responses that clients have not taken.
        upstream: Bytes of requests that servers have not taken, and of responses that are not passed on.
        peak: The largest total since it was last reset.
        refused: How many bodies were refused.
    """

    __slots__ = (
        "bodies",
        "budget",
        "changes_left",
        "grown_at",
        "input",
        "objects",
        "on_growth",
        "peak",
        "refused",
        "share",
        "upstream",
    )

    def __init__(self, share: int) -> None:
        self.share = self.budget = share
        self.on_growth: Callable[[], None] | None = None
        self.grown_at = 0
        self.changes_left = 0
        self.objects = 0
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
        """Notes the present total after a change, and has the budget adapted if much has changed."""
        held = self.bodies + self.input + self.upstream
        if held > self.peak:
            self.peak = held
        self.changes_left -= 1
        if self.changes_left <= 0 or held + self.objects >= self.grown_at:
            self.refresh()

    def refresh(self) -> None:
        """Has the budget adapted to the present size of the process."""
        if self.on_growth is not None:
            self.on_growth()

    def set_share(self, share: int) -> None:
        """Sets the share of this process; `set_left` lowers the budget below it if need be."""
        self.share = self.budget = share

    def set_left(self, left: int) -> None:
        """Adapts the budget to the number of bytes by which the process may still grow."""
        held = self.held
        self.budget = min(self.share, max(MIN_BUDGET_BYTES, held + left))
        growth = max(MIN_GROWTH_BYTES, min(MAX_GROWTH_BYTES, left // GROWTH_DIVISOR))
        self.grown_at = held + self.objects + growth
        self.changes_left = SCARCE_CHANGES_PER_CHECK if left < SCARCE_BYTES else CHANGES_PER_CHECK

    def connection_opened(self) -> None:
        """Counts the objects of a connection."""
        self.objects += CONNECTION_BYTES
        self.note_peak()

    def connection_closed(self) -> None:
        """No longer counts the objects of a connection."""
        self.objects -= CONNECTION_BYTES

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
        left = (self.budget - self.bodies - self.input - self.upstream) >> READ_SHIFT
        if left >= READ_BYTES:
            return READ_BYTES
        return left if left > MIN_READ_BYTES else MIN_READ_BYTES

    def upload_window(self, *, opening: bool) -> int:
        """Returns how many bytes of an upload may wait; `opening` tells that no server takes any yet."""
        if self.is_short:
            return SHORT_UPLOAD_WINDOW_BYTES
        roomy = self.held * 4 < self.budget
        return OPENING_UPLOAD_WINDOW_BYTES if opening and roomy else UPLOAD_WINDOW_BYTES
