"""Bodies too large to be held: how much is kept of one on its way to a server. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = 1 << 16  # a body up to here is whole before it is passed on
MAX_BODY_BYTES = 1 << 25  # the largest that is passed on
MAX_CHUNKS = (
    1 << 12
)  # of one body, and one more for each of the bytes below: a byte each costs more than it brings
MIN_CHUNK_BYTES = 16
# The kernel's buffer for one large answer, as it is asked for. Below the least, a window is smaller than one
# segment of a loopback interface, and its sender waits 0.2 s for each acknowledgement.
MIN_STREAM_BUFFER_BYTES, MAX_STREAM_BUFFER_BYTES = 1 << 14, 1 << 16


def stream_buffer_bytes(budget: int, streams: int) -> int:
    """How much the kernel may take of one large answer, so that all of them fit in `budget` bytes here.

    It grants twice what it is asked for (socket(7)), and a connection is read to its buffer's end at once: so
    much of an answer stands in this process while its caller does not take it.
    """
    return max(MIN_STREAM_BUFFER_BYTES, min(MAX_STREAM_BUFFER_BYTES, budget // (2 * max(1, streams))))


def has_too_many_chunks(chunks: int, size: int) -> bool:
    """Whether a body of so many bytes has come in needlessly small chunks."""
    return chunks > MAX_CHUNKS + size // MIN_CHUNK_BYTES


class Upload:
    """A request's body that goes to a server while it comes.

    Its first 64 KiB stay here, so that another attempt can begin at the first byte (`replayable`). Once more
    has gone to a server than that, only what has not gone yet is kept. One reader takes at a time.
    """

    __slots__ = (
        "length",
        "buffered",
        "buffer_start",
        "read_position",
        "complete",
        "discarded",
        "on_data",
        "on_consumed",
    )

    def __init__(self, length: int | None) -> None:
        self.length = length  # as its caller declared it
        self.buffered = bytearray()
        self.buffer_start = 0  # where in the body `buffered` begins
        self.read_position = 0  # where the reader is
        self.complete = False
        self.discarded = False  # nobody wants what still comes
        self.on_data: Callable[[], None] | None = None  # tells the reader, if there is one
        self.on_consumed: Callable[[], None] = lambda: None  # tells the writer that bytes have been taken

    @property
    def size(self) -> int:
        """Bytes that have come."""
        return self.buffer_start + len(self.buffered)

    @property
    def replayable(self) -> bool:
        """Whether all that has come is still here."""
        return self.buffer_start == 0

    @property
    def full(self) -> bool:
        """Whether the writer should wait."""
        return self.size - self.read_position >= MAX_BUFFERED_BODY_BYTES

    def feed(self, data: bytes) -> None:
        """More of it has come."""
        if not self.discarded:
            self.buffered += data
            if self.on_data is not None:
                self.on_data()

    def finish(self) -> None:
        """All of it has come."""
        self.complete = True
        if not self.discarded and self.on_data is not None:
            self.on_data()

    def discard(self) -> None:
        """Nothing is kept from now on."""
        self.discarded = True
        self.on_data = None
        self.buffer_start, self.read_position = self.size, self.size
        self.buffered = bytearray()
        self.on_consumed()

    def attach(self, more: Callable[[], None]) -> None:
        """A reader begins at the first byte. ValueError if that is gone."""
        if not self.replayable or self.discarded:
            raise ValueError("the beginning of the body is gone")
        self.read_position = 0
        self.on_data = more

    def detach(self) -> None:
        """The reader takes no more."""
        self.on_data = None

    def read(self) -> bytes:
        """What has come since the last call."""
        data = bytes(memoryview(self.buffered)[self.read_position - self.buffer_start :])
        self.read_position = self.size
        if self.size > MAX_BUFFERED_BODY_BYTES:
            self.buffer_start = self.size
            self.buffered = bytearray()
        self.on_consumed()
        return data
