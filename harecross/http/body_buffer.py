"""Body size limits and the buffer for a request body that is forwarded while it is received."""

from __future__ import annotations

from collections.abc import Callable

from harecross.platform.memory_ledger import UPLOAD_WINDOW_BYTES, MemoryLedger

# A body up to this size is buffered completely before it is forwarded; a larger body is streamed.
MAX_BUFFERED_BODY_BYTES = 1 << 16
MAX_BODY_BYTES = 1 << 25
# A response that may not be streamed is held up to this size until it is complete. The kernel's send buffer for the
# client takes it at once.
MAX_HELD_RESPONSE_BYTES = 1 << 18
# A body may have `MAX_CHUNKS` chunks plus one for each `MIN_CHUNK_BYTES` bytes of its size.
MAX_CHUNKS = 1 << 12
MIN_CHUNK_BYTES = 16
# Bounds of the SO_RCVBUF value requested for a streamed response. Below the minimum, the TCP window is smaller than
# one segment on a loopback interface, and the sender waits 0.2 s for each acknowledgement.
MIN_STREAM_BUFFER_BYTES, MAX_STREAM_BUFFER_BYTES = 1 << 14, 1 << 16


def stream_buffer_bytes(budget_bytes: int, streams: int) -> int:
    """Returns the SO_RCVBUF value for each of `streams` streamed responses that share `budget_bytes`.

    The kernel allocates twice the requested size (socket(7)), and one read may take the whole buffer. While a client
    does not read, this process may therefore hold that many bytes of its response.
    """
    return max(MIN_STREAM_BUFFER_BYTES, min(MAX_STREAM_BUFFER_BYTES, budget_bytes // (2 * max(1, streams))))


def held_response_bytes(budget_bytes: int, connections: int) -> int:
    """Returns up to which size each of `connections` connections may hold a response that may not be streamed.

    A response that is small enough to be buffered in any case is held whatever the budget is.
    """
    return max(MAX_BUFFERED_BODY_BYTES, min(MAX_HELD_RESPONSE_BYTES, budget_bytes // max(1, connections)))


def has_too_many_chunks(chunks: int, size: int) -> bool:
    """Returns whether `chunks` is too many for a body of `size` bytes: parsing tiny chunks wastes CPU time."""
    return chunks > MAX_CHUNKS + size // MIN_CHUNK_BYTES


def ignore_consumed() -> None:
    """Does nothing. Default `on_consumed` callback for an upload without backpressure on its writer."""


class Upload:
    """Buffer of a request body that is forwarded to a server while it is still being received.

    The first `MAX_BUFFERED_BODY_BYTES` are retained so that another attempt can read the body from the start
    (`replayable`). After the reader has consumed more than that, only unread bytes are retained. There is at most one
    reader at a time.

    Attributes:
        length: Declared Content-Length in bytes; None for a chunked body.
        buffered: The retained bytes.
        buffer_start: Offset in the body of the first byte of `buffered`.
        read_position: Offset in the body of the next byte for the reader.
        complete: Whether the last byte was received.
        discarded: Whether the body is no longer needed; bytes that arrive later are dropped.
        on_data: Callback of the attached reader, called when bytes have arrived; None without a reader.
        on_consumed: Callback of the writer, called after each read and after `discard`.
        ledger: Decides on the size of the buffer; None for the usual size.
    """

    __slots__ = (
        "buffer_start",
        "buffered",
        "complete",
        "discarded",
        "ledger",
        "length",
        "on_consumed",
        "on_data",
        "read_position",
    )

    def __init__(
        self,
        length: int | None,
        on_consumed: Callable[[], None] = ignore_consumed,
        ledger: MemoryLedger | None = None,
    ) -> None:
        """Creates an empty buffer; see the class for the parameters."""
        self.ledger = ledger
        self.length = length
        self.buffered = bytearray()
        self.buffer_start = 0
        self.read_position = 0
        self.complete = False
        self.discarded = False
        self.on_data: Callable[[], None] | None = None
        self.on_consumed = on_consumed

    @property
    def size(self) -> int:
        """Number of bytes received so far."""
        return self.buffer_start + len(self.buffered)

    @property
    def replayable(self) -> bool:
        """Whether the body can still be read from its first byte."""
        return self.buffer_start == 0

    @property
    def full(self) -> bool:
        """Whether the unread bytes have reached the limit, so that the writer should pause."""
        window = UPLOAD_WINDOW_BYTES
        if self.ledger is not None:
            window = self.ledger.upload_window(opening=self.on_data is None)
        return self.size - self.read_position >= window

    def feed(self, data: bytes) -> None:
        """Appends received bytes; `notify` follows."""
        if not self.discarded:
            self.buffered += data

    def notify(self) -> None:
        """Notifies the reader of bytes that it has not read."""
        if self.on_data is not None and self.size > self.read_position:
            self.on_data()

    def finish(self) -> None:
        """Marks the body as completely received and notifies the reader."""
        self.complete = True
        if not self.discarded and self.on_data is not None:
            self.on_data()

    def discard(self) -> None:
        """Drops the buffered bytes and all bytes that arrive later."""
        self.discarded = True
        self.on_data = None
        self.buffer_start, self.read_position = self.size, self.size
        self.buffered = bytearray()
        self.on_consumed()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Attaches a reader at the first byte; `on_data` is called when bytes arrive.

        Raises ValueError if the first bytes of the body are no longer buffered.
        """
        if not self.replayable or self.discarded:
            raise ValueError(
                f"cannot read the body from its start: the first {self.buffer_start} bytes were dropped"
            )
        self.read_position = 0
        self.on_data = on_data

    def detach(self) -> None:
        """Detaches the reader."""
        self.on_data = None

    def read(self) -> bytes:
        """Returns the bytes received since the previous call."""
        data = bytes(memoryview(self.buffered)[self.read_position - self.buffer_start :])
        self.read_position = self.size
        if self.size > MAX_BUFFERED_BODY_BYTES or (self.ledger is not None and self.ledger.is_short):
            self.drop_read()
        self.on_consumed()
        return data

    def drop_read(self) -> int:
        """Drops the bytes that were read and are retained for another attempt; returns their number."""
        dropped = self.read_position - self.buffer_start
        del self.buffered[:dropped]
        self.buffer_start = self.read_position
        return dropped
