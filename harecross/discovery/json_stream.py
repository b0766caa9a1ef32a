"""An incremental parser of JSON values that follow one another: bytes in, values out. Free of I/O.

A watch is specified to hold one object a line, but lists may come indented, over many lines (STANDING, "Days at full
size"). So a value ends where its brackets close, not at the end of a line (RFC 8259, 2). A value counts as broken off
at these bytes within it:

| bytes | why they cannot belong to the value |
| --- | --- |
| a line end within a string | it would be escaped (RFC 8259, 7) |
| a blank line | an empty line is discovery's heartbeat; no printer of JSON writes one |

Each byte is scanned once, so a large list in single bytes costs no more than in one piece.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

MAX_VALUE_BYTES = 1 << 22
NEXT_IN_STRING = re.compile(rb'["\\\n]')
NEXT_IN_VALUE = re.compile(rb'["{}\[\]\n]')
NEXT_BETWEEN_VALUES = re.compile(rb"[^ \t\r]")
BLANK = b" \t\r"
BACKSLASH, LINE_FEED, QUOTE = b'\\\n"'
MAX_SHOWN_BYTES = 200  # of malformed input, in an error


class MalformedJsonError(ValueError):
    """The input is no JSON value, or a value was broken off."""


class BlankLine:
    """A blank line between two values."""


BLANK_LINE = BlankLine()


class JsonStreamParser:
    """Parses a stream of values. After a MalformedJsonError the stream is to be closed."""

    __slots__ = ("buffer", "depth", "in_string", "line_start", "position", "value_on_line")

    def __init__(self) -> None:
        # From the first byte of the present value on, or of the present line where there is no value:
        self.buffer = bytearray()
        self.position = 0  # the buffer has been scanned up to here
        self.line_start = 0  # where the present line begins
        self.depth = 0  # open brackets
        self.in_string = False
        self.value_on_line = False  # a value has ended on the present line

    @property
    def has_partial_value(self) -> bool:
        """Whether the first part of a value has come, but not all of it."""
        return self.depth > 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """The values that are complete now, in order, with BLANK_LINE for a blank line between values.

        MalformedJsonError after the values that precede the malformed one.
        """
        self.buffer += data
        found: list[Any] = []
        while self.step(found):
            yield from found
            found.clear()
        if len(self.buffer) > MAX_VALUE_BYTES:
            raise MalformedJsonError(f"longer than {MAX_VALUE_BYTES} bytes")

    def finish(self) -> None:
        """The stream has ended. MalformedJsonError if that was within a value."""
        if self.depth:
            raise self.error("broken off")

    def error(self, reason: str) -> MalformedJsonError:
        """An error that shows the start of the buffer."""
        return MalformedJsonError(f"{reason}: {bytes(self.buffer[:MAX_SHOWN_BYTES])!r}")

    def step(self, found: list[Any]) -> bool:
        """Scans up to the next significant byte; False if there is none yet. Appends complete values to `found`."""
        match = self.next_significant_byte().search(self.buffer, self.position)
        if match is None:
            self.position = len(self.buffer)
            return False
        at = match.start()
        self.position = at + 1
        if self.in_string:
            return self.step_in_string(at)
        self.step_outside_string(at, found)
        return True

    def next_significant_byte(self) -> re.Pattern[bytes]:
        """The pattern of the bytes that matter where the parser is."""
        if self.in_string:
            return NEXT_IN_STRING
        return NEXT_IN_VALUE if self.depth else NEXT_BETWEEN_VALUES

    def step_in_string(self, at: int) -> bool:
        """The byte at `at` is a backslash, a line end or a quote within a string; False to wait for more bytes."""
        byte = self.buffer[at]
        if byte == BACKSLASH:  # the byte after it does not end the string
            if at + 1 == len(self.buffer):
                self.position = at
                return False
            self.position = at + 2
        elif byte == LINE_FEED:
            raise self.error("broken off in a string")
        else:
            self.in_string = False
        return True

    def step_outside_string(self, at: int, found: list[Any]) -> None:
        """The byte at `at` is a line end, a quote or a bracket, or what cannot begin a value."""
        byte = self.buffer[at]
        if byte == LINE_FEED:
            self.line_ended(at, found)
        elif byte == QUOTE and self.depth:
            self.in_string = True
        elif byte in b"{[":
            if not self.depth:
                self.drop(at)
            self.depth += 1
        elif byte in b"}]" and self.depth:
            self.depth -= 1
            if not self.depth:
                self.value_ended(found)
        else:
            raise self.error("neither an object nor a list")

    def line_ended(self, at: int, found: list[Any]) -> None:
        """The present line ends at `at`."""
        is_blank = not self.value_on_line and not bytes(self.buffer[self.line_start : at]).strip(BLANK)
        self.line_start, self.value_on_line = at + 1, False
        if self.depth:
            if is_blank:
                raise self.error("broken off at a blank line")
            return
        if is_blank:
            found.append(BLANK_LINE)
        self.drop(at + 1)

    def value_ended(self, found: list[Any]) -> None:
        """The present value ends at the present position."""
        text = bytes(self.buffer[: self.position])
        try:
            found.append(json.loads(text))
        except (ValueError, RecursionError) as error:
            raise MalformedJsonError(f"{error}: {text[:MAX_SHOWN_BYTES]!r}") from None
        self.value_on_line = True
        self.drop(self.position)

    def drop(self, end: int) -> None:
        """Removes the bytes before `end` from the buffer."""
        del self.buffer[:end]
        self.position -= end
        self.line_start = max(0, self.line_start - end)
