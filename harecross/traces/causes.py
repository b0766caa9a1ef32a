"""Why a row of a trace is dropped, and the sum that must hold: read = kept + dropped by cause."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

SHOWN = 5  # line numbers remembered for each cause


class BadTrace(Exception):
    """A file that cannot be used as a whole; the text is one clear line."""


class Cause(StrEnum):
    """A row has the first of these that fits it."""

    BLANK = "blank_line"
    NUL = "nul"
    ENCODING = "not_utf8"
    QUOTES = "bad_quotes"
    SHORT = "short_row"
    LONG = "long_row"
    EMPTY = "empty_cell"
    NOT_A_NUMBER = "non_numeric"
    NEGATIVE_TIME = "negative_time"
    NEGATIVE_DURATION = "negative_duration"
    UNKNOWN = "unknown_value"
    OUT_OF_ORDER = "out_of_order"
    DUPLICATE = "duplicate"


@dataclass(slots=True)
class Tally:
    """Rows by what became of them."""

    read: int = 0
    kept: int = 0
    reordered: int = 0  # of those kept: earlier than a row before them, within the window
    clamped: int = 0  # of those kept: beyond the window, moved to its edge
    dropped: dict[Cause, int] = field(default_factory=dict)
    first: dict[Cause, list[str]] = field(default_factory=dict)  # "file:line" of the first few

    def drop(self, cause: Cause, rows: int, places: list[str]) -> None:
        if rows <= 0:
            return
        self.dropped[cause] = self.dropped.get(cause, 0) + rows
        shown = self.first.setdefault(cause, [])
        shown.extend(places[: SHOWN - len(shown)])

    def check(self) -> None:
        """AssertionError if a row was counted twice or not at all: a fault of the program, never of the file."""
        total = self.kept + sum(self.dropped.values())
        assert self.read == total, f"{self.read} rows read, {total} kept or dropped"
