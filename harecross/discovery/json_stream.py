"""An incremental parser for a stream of JSON values: takes bytes and returns values.

A watch is specified to send one object per line, but lists may be indented and span many lines (STANDING, "Days at full
size"). A value therefore ends where its brackets close, not at the end of a line (RFC 8259, 2). A value counts as
truncated if it contains one of these byte sequences:

| bytes | why they cannot be part of a value |
| --- | --- |
| a line feed within a string | it would have to be escaped (RFC 8259, 7) |
| a blank line | an empty line is discovery's heartbeat, and JSON serializers do not write one |

Each byte is scanned once, so a large list costs no more to parse if it arrives byte by byte.
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
MAX_SHOWN_BYTES = 200  # how much of the malformed input an error message shows


class MalformedJsonError(ValueError):
    """The input is not a valid JSON object or array, or a value is truncated."""


class BlankLine:
    """The type of `BLANK_LINE`, which stands for a blank line between two values."""


BLANK_LINE = BlankLine()


class JsonStreamParser:
    """Parses a stream of JSON values. The caller must close the stream after a MalformedJsonError.

    Attributes:
        buffer: The input from the first byte of the current value, or of the current line between values.
        position: The index in the buffer up to which the input has been scanned.
        line_start: The index in the buffer where the current line begins.
        depth: The number of open brackets.
        in_string: Whether the scan position is within a string.
        value_on_line: Whether a value has ended on the current line.
    """

    __slots__ = ("buffer", "depth", "in_string", "line_start", "position", "value_on_line")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0
        self.line_start = 0
        self.depth = 0
        self.in_string = False
        self.value_on_line = False

    @property
    def has_partial_value(self) -> bool:
        """Whether part of a value has been received, but not all of it."""
        return self.depth > 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yields the values that are now complete, in order, and BLANK_LINE for each blank line between values.

        Raises MalformedJsonError after it has yielded the values that precede the malformed one.
        """
        self.buffer += data
        found: list[Any] = []
        while self.step(found):
            yield from found
            found.clear()
        if len(self.buffer) > MAX_VALUE_BYTES:
            raise MalformedJsonError(f"JSON value exceeds the limit of {MAX_VALUE_BYTES} bytes")

    def finish(self) -> None:
        """Marks the end of the stream. Raises MalformedJsonError if it ends within a value."""
        if self.depth:
            raise self.error("stream ended within a JSON value")

    def error(self, reason: str) -> MalformedJsonError:
        """Returns an error that includes the start of the buffer."""
        return MalformedJsonError(f"{reason}: {bytes(self.buffer[:MAX_SHOWN_BYTES])!r}")

    def step(self, found: list[Any]) -> bool:
        """Scans to the next significant byte, adding complete values to `found`; returns False if input runs out."""
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
        """Returns the pattern for the bytes that are significant in the parser's current state."""
        if self.in_string:
            return NEXT_IN_STRING
        return NEXT_IN_VALUE if self.depth else NEXT_BETWEEN_VALUES

    def step_in_string(self, at: int) -> bool:
        """Handles a backslash, line feed or quote at `at` within a string; returns False if more input is needed."""
        byte = self.buffer[at]
        if byte == BACKSLASH:  # the next byte is escaped and does not end the string
            if at + 1 == len(self.buffer):
                self.position = at
                return False
            self.position = at + 2
        elif byte == LINE_FEED:
            raise self.error("unescaped line feed in a JSON string")
        else:
            self.in_string = False
        return True

    def step_outside_string(self, at: int, found: list[Any]) -> None:
        """Handles a line feed, quote or bracket at `at`; raises MalformedJsonError if the byte is not allowed there."""
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
            raise self.error("expected a JSON object or array")

    def line_ended(self, at: int, found: list[Any]) -> None:
        """Handles the line feed at `at`: reports a blank line between values, and rejects one within a value."""
        is_blank = not self.value_on_line and not bytes(self.buffer[self.line_start : at]).strip(BLANK)
        self.line_start, self.value_on_line = at + 1, False
        if self.depth:
            if is_blank:
                raise self.error("blank line within a JSON value")
            return
        if is_blank:
            found.append(BLANK_LINE)
        self.drop(at + 1)

    def value_ended(self, found: list[Any]) -> None:
        """Parses the value that ends at the current position and appends it to `found`."""
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
