"""DNS over a byte stream: two bytes of length before each message (RFC 7766, 8). Free of I/O."""

from __future__ import annotations

LENGTH_BYTES = 2
MAX_MESSAGE_BYTES = 0xFFFF


def frame(message: bytes) -> bytes:
    """A message with its length before it. ValueError for one that is too long."""
    if len(message) > MAX_MESSAGE_BYTES:
        raise ValueError(f"{len(message)} bytes are more than a message may have")
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class FrameDecoder:
    """Cuts a stream into messages, in whatever parts it arrives."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are complete now."""
        self.buffer += data
        messages, start = [], 0
        while len(self.buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            end = body + int.from_bytes(self.buffer[start:body], "big")
            if end > len(self.buffer):
                break
            messages.append(bytes(self.buffer[body:end]))
            start = end
        del self.buffer[:start]
        return messages
