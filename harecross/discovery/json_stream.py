"""JSON values one after another as they come in, however they are laid out: bytes in, values out. Free of I/O.

A watch is said to hold one object a line, and lists may come indented, over many lines (STANDING, "Days at full size");
so a value ends where its brackets close, not where a line does (RFC 8259, 2). What tells that one was broken off:

| what comes inside a value | why it cannot belong to it |
| --- | --- |
| a line end within a string | RFC 8259, 7: it would be escaped |
| a blank line | an empty line is discovery's word that nothing has changed; no printer of JSON writes one |

Each byte is looked at once, so a large list in single bytes costs no more than in one piece.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

VALUE_MOST = 1 << 22  # bytes of one value
IN_STRING = re.compile(rb'["\\\n]')
IN_VALUE = re.compile(rb'["{}\[\]\n]')
BETWEEN = re.compile(rb"[^ \t\r]")
BLANK = b" \t\r"
SHOWN = 200  # bytes of what could not be read go into the log


class BadValue(ValueError):
    """What came is no JSON value, or was broken off."""


class Blank:
    """A blank line between two values."""


BLANK_LINE = Blank()


class Values:
    """Reads values from a stream. What follows on a BadValue belongs to nothing: the stream is to be ended."""

    __slots__ = ("buffer", "at", "line", "depth", "string", "told")

    def __init__(self) -> None:
        self.buffer = (
            bytearray()
        )  # from the present value's first byte, or the present line's where there is none
        self.at = 0  # so far it has been looked at
        self.line = 0  # where the present line begins
        self.depth = 0  # brackets that are open
        self.string = False
        self.told = False  # a value has ended on the present line

    @property
    def open(self) -> bool:
        """Whether part of a value has come."""
        return self.depth > 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """What is whole by now, in order; BLANK_LINE for a blank line between values. BadValue behind what was good."""
        self.buffer += data
        found: list[Any] = []
        while self.step(found):
            yield from found
            found.clear()
        if len(self.buffer) > VALUE_MOST:
            raise BadValue(f"longer than {VALUE_MOST} bytes")

    def finish(self) -> None:
        """The stream has ended. BadValue if that was inside a value."""
        if self.depth:
            raise self.bad("broken off")

    def bad(self, why: str) -> BadValue:
        return BadValue(f"{why}: {bytes(self.buffer[:SHOWN])!r}")

    def step(self, found: list[Any]) -> bool:
        """Looks at the next byte that means something; whether there was one."""
        buffer = self.buffer
        look = IN_STRING if self.string else IN_VALUE if self.depth else BETWEEN
        m = look.search(buffer, self.at)
        if m is None:
            self.at = len(buffer)
            return False
        at, byte = m.start(), buffer[m.start()]
        self.at = at + 1
        if self.string:
            if byte == 0x5C:  # a backslash: the byte behind it is no end
                if at + 1 == len(buffer):
                    self.at = at
                    return False
                self.at = at + 2
            elif byte == 0x0A:
                raise self.bad("broken off in a string")
            else:
                self.string = False
        elif byte == 0x0A:
            self.line_end(at, found)
        elif byte == 0x22 and self.depth:
            self.string = True
        elif byte in b"{[":
            if not self.depth:
                self.drop(at)
            self.depth += 1
        elif byte in b"}]" and self.depth:
            self.depth -= 1
            if not self.depth:
                self.value(found)
        else:
            raise self.bad("neither an object nor a list")
        return True

    def line_end(self, at: int, found: list[Any]) -> None:
        blank = not self.told and not bytes(self.buffer[self.line : at]).strip(BLANK)
        self.line, self.told = at + 1, False
        if self.depth:
            if blank:
                raise self.bad("broken off at a blank line")
            return
        if blank:
            found.append(BLANK_LINE)
        self.drop(at + 1)

    def value(self, found: list[Any]) -> None:
        text = bytes(self.buffer[: self.at])
        try:
            found.append(json.loads(text))
        except (ValueError, RecursionError) as e:
            raise BadValue(f"{e}: {text[:SHOWN]!r}") from None
        self.told = True
        self.drop(self.at)

    def drop(self, end: int) -> None:
        """Forgets what stands before that place."""
        del self.buffer[:end]
        self.at -= end
        self.line = max(0, self.line - end)
