"""DNS over a byte stream: two bytes of length before each message (RFC 7766, 8). Free of I/O."""

from __future__ import annotations


def framed(data: bytes) -> bytes:
    """A message as it goes out. ValueError for one that is too long."""
    if len(data) > 0xFFFF:
        raise ValueError(f"{len(data)} bytes are more than a message may have")
    return len(data).to_bytes(2, "big") + data


class Frames:
    """Cuts a stream into messages, however it comes."""

    def __init__(self) -> None:
        self.kept = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The messages that are whole now."""
        self.kept += data
        found, at = [], 0
        while len(self.kept) - at >= 2:
            end = at + 2 + int.from_bytes(self.kept[at : at + 2], "big")
            if end > len(self.kept):
                break
            found.append(bytes(self.kept[at + 2 : end]))
            at = end
        del self.kept[:at]
        return found
