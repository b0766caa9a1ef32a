"""Counts of the rows of a trace, whose invariant is: rows read = rows kept + rows dropped, over all causes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

MAX_LINES_SHOWN = 5  # how many dropped lines are listed for each cause


class TraceError(Exception):
    """A trace cannot be used at all. The message is a single line."""


class DropCause(StrEnum):
    """The cause for which a row is dropped: the first that applies. The values are keys of the JSON report."""

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
class RowTally:
    """Counts of the rows read, kept and dropped.

    Attributes:
        read: All rows.
        kept: Rows that were kept.
        reordered: Kept rows that are earlier than a row before them, by no more than the window.
        clamped: Kept rows that were late by more than the window, and got the earliest time in it.
        dropped: Dropped rows by cause.
        first_dropped: The locations ("file:line") of the first dropped rows of each cause.
    """

    read: int = 0
    kept: int = 0
    reordered: int = 0
    clamped: int = 0
    dropped: dict[DropCause, int] = field(default_factory=dict)
    first_dropped: dict[DropCause, list[str]] = field(default_factory=dict)

    def drop(self, cause: DropCause, rows: int, lines: list[str]) -> None:
        """Counts dropped rows; `lines` are the locations of the first of them."""
        if rows <= 0:
            return
        self.dropped[cause] = self.dropped.get(cause, 0) + rows
        shown = self.first_dropped.setdefault(cause, [])
        shown.extend(lines[: MAX_LINES_SHOWN - len(shown)])

    def check(self) -> None:
        """Raises AssertionError if a row was counted twice or not at all, which is a bug and no fault of the file."""
        total = self.kept + sum(self.dropped.values())
        assert self.read == total, f"{self.read} rows read, {total} kept or dropped"
