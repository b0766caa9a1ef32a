"""Bodies too large to be held: how much is kept of one on its way to a server. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable

BODY_MOST = 1 << 16  # a body up to here is whole before it is passed on
BODY_LARGEST = 1 << 25  # the largest that is passed on
CHUNKS_MOST = (
    1 << 12
)  # of one body, and one more for each of the bytes below: a byte each costs more than it brings
CHUNK_LEAST = 16
# The kernel's buffer for one large answer, as it is asked for. Below the least, a window is smaller than one
# segment of a loopback interface, and its sender waits 0.2 s for each acknowledgement.
STREAM_LEAST, STREAM_MOST = 1 << 14, 1 << 16


def stream_buffer(budget: int, streams: int) -> int:
    """How much the kernel may take of one large answer, so that all of them fit in `budget` bytes here.

    It grants twice what it is asked for (socket(7)), and a connection is read to its buffer's end at once: so
    much of an answer stands in this process while its caller does not take it.
    """
    return max(STREAM_LEAST, min(STREAM_MOST, budget // (2 * max(1, streams))))


def too_many(chunks: int, size: int) -> bool:
    """Whether a body of so many bytes has come in needlessly small chunks."""
    return chunks > CHUNKS_MOST + size // CHUNK_LEAST


class Upload:
    """A request's body that goes to a server while it comes.

    Its first 64 KiB stay here, so that another attempt can begin at the first byte (`replayable`). Once more
    has gone to a server than that, only what has not gone yet is kept. One reader takes at a time.
    """

    __slots__ = ("length", "kept", "start", "at", "complete", "dropped", "more", "changed")

    def __init__(self, length: int | None) -> None:
        self.length = length  # as its caller declared it
        self.kept = bytearray()
        self.start = 0  # where in the body `kept` begins
        self.at = 0  # where the reader is
        self.complete = False
        self.dropped = False  # nobody wants what still comes
        self.more: Callable[[], None] | None = None  # tells the reader, if there is one
        self.changed: Callable[[], None] = lambda: None  # tells the writer that bytes have been taken

    @property
    def size(self) -> int:
        """Bytes that have come."""
        return self.start + len(self.kept)

    @property
    def replayable(self) -> bool:
        """Whether all that has come is still here."""
        return self.start == 0

    @property
    def full(self) -> bool:
        """Whether the writer should wait."""
        return self.size - self.at >= BODY_MOST

    def feed(self, data: bytes) -> None:
        """More of it has come."""
        if not self.dropped:
            self.kept += data
            if self.more is not None:
                self.more()

    def finish(self) -> None:
        """All of it has come."""
        self.complete = True
        if not self.dropped and self.more is not None:
            self.more()

    def drop(self) -> None:
        """Nothing is kept from now on."""
        self.dropped = True
        self.more = None
        self.start, self.at = self.size, self.size
        self.kept = bytearray()
        self.changed()

    def attach(self, more: Callable[[], None]) -> None:
        """A reader begins at the first byte. ValueError if that is gone."""
        if not self.replayable or self.dropped:
            raise ValueError("the beginning of the body is gone")
        self.at = 0
        self.more = more

    def detach(self) -> None:
        """The reader takes no more."""
        self.more = None

    def take(self) -> bytes:
        """What has come since the last call."""
        data = bytes(memoryview(self.kept)[self.at - self.start :])
        self.at = self.size
        if self.size > BODY_MOST:
            self.start = self.size
            self.kept = bytearray()
        self.changed()
        return data
