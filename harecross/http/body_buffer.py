"""Limits on bodies, and the buffer of a body that is sent to a server while it is received. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable

MAX_BUFFERED_BODY_BYTES = (
    1 << 16
)  # up to here a body is complete before it is forwarded; a larger one is streamed
MAX_BODY_BYTES = 1 << 25
MAX_CHUNKS = 1 << 12  # of one body, and one more for each so many bytes:
MIN_CHUNK_BYTES = 16
# The kernel's receive buffer for one streamed response, as it is asked for. With a smaller one the window is less than
# one segment of a loopback interface, and its sender waits 0.2 s for each acknowledgement.
MIN_STREAM_BUFFER_BYTES, MAX_STREAM_BUFFER_BYTES = 1 << 14, 1 << 16


def stream_buffer_bytes(budget_bytes: int, streams: int) -> int:
    """Returns the kernel's receive buffer for one of so many streamed responses that share `budget_bytes`.

    The kernel grants twice what it is asked for (socket(7)), and a connection is read to its buffer's end at once: so
    much of a response is in this process while its client does not read it.
    """
    return max(MIN_STREAM_BUFFER_BYTES, min(MAX_STREAM_BUFFER_BYTES, budget_bytes // (2 * max(1, streams))))


def has_too_many_chunks(chunks: int, size: int) -> bool:
    """Whether a body of `size` bytes came in needlessly small chunks, which cost more than they bring."""
    return chunks > MAX_CHUNKS + size // MIN_CHUNK_BYTES


def ignore_consumed() -> None:
    """For an upload whose writer does not wait for its reader."""


class Upload:
    """A request's body that is sent to a server while it is received.

    Its first `MAX_BUFFERED_BODY_BYTES` are kept, so that another attempt can start at the first byte (`replayable`).
    Once a server has read more than that, only what it has not read is kept. There is one reader at a time.
    """

    __slots__ = (
        "buffer_start",
        "buffered",
        "complete",
        "discarded",
        "length",
        "on_consumed",
        "on_data",
        "read_position",
    )

    def __init__(self, length: int | None, on_consumed: Callable[[], None] = ignore_consumed) -> None:
        """`length`: as the client declared it, in bytes. `on_consumed`: called whenever bytes were read."""
        self.length = length
        self.buffered = bytearray()
        self.buffer_start = 0  # position in the body at which `buffered` begins
        self.read_position = 0
        self.complete = False
        self.discarded = False  # nobody wants the rest
        self.on_data: Callable[[], None] | None = None  # the reader's, if there is one
        self.on_consumed = on_consumed

    @property
    def size(self) -> int:
        """Bytes received."""
        return self.buffer_start + len(self.buffered)

    @property
    def replayable(self) -> bool:
        """Whether all bytes received are still kept."""
        return self.buffer_start == 0

    @property
    def full(self) -> bool:
        """Whether the writer should wait for the reader."""
        return self.size - self.read_position >= MAX_BUFFERED_BODY_BYTES

    def feed(self, data: bytes) -> None:
        """Adds bytes that were received."""
        if not self.discarded:
            self.buffered += data
            if self.on_data is not None:
                self.on_data()

    def finish(self) -> None:
        """The last byte was received."""
        self.complete = True
        if not self.discarded and self.on_data is not None:
            self.on_data()

    def discard(self) -> None:
        """Drops what is kept and what still comes."""
        self.discarded = True
        self.on_data = None
        self.buffer_start, self.read_position = self.size, self.size
        self.buffered = bytearray()
        self.on_consumed()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Starts to read at the first byte; `on_data` is called when there is more. ValueError if that is gone."""
        if not self.replayable or self.discarded:
            raise ValueError(f"the first {self.buffer_start} bytes of the body are gone")
        self.read_position = 0
        self.on_data = on_data

    def detach(self) -> None:
        """Ends the reading."""
        self.on_data = None

    def read(self) -> bytes:
        """Returns what was received since the last call."""
        data = bytes(memoryview(self.buffered)[self.read_position - self.buffer_start :])
        self.read_position = self.size
        if self.size > MAX_BUFFERED_BODY_BYTES:
            self.buffer_start = self.size
            self.buffered = bytearray()
        self.on_consumed()
        return data
