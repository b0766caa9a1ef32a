"""Framing of DNS messages on a byte stream: each message has a two-byte length prefix (RFC 7766, 8)."""

from __future__ import annotations

LENGTH_BYTES = 2
MAX_MESSAGE_BYTES = 0xFFFF


def frame(message: bytes) -> bytes:
    """Returns a message with its length prefix. Raises ValueError if it is too long."""
    if len(message) > MAX_MESSAGE_BYTES:
        raise ValueError(
            f"DNS message of {len(message)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
        )
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


class FrameDecoder:
    """Splits a byte stream, received in chunks of any size, into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the messages that are now complete."""
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
