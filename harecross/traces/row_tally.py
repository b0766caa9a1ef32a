"""Why a row of a trace is dropped, and the sum that must hold: rows read = rows kept + rows dropped by cause."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

MAX_LINES_SHOWN = 5  # of each cause


class TraceError(Exception):
    """A trace that cannot be used as a whole; the text is one line."""


class DropCause(StrEnum):
    """Why a row is dropped: the first of these that applies. The values are keys of the JSON report."""

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
    """Counts of rows by what became of them."""

    read: int = 0
    kept: int = 0
    reordered: int = 0  # of those kept: earlier than a row before them, within the window
    clamped: int = 0  # of those kept: earlier than the window allows, moved to its edge
    dropped: dict[DropCause, int] = field(default_factory=dict)
    first_dropped: dict[DropCause, list[str]] = field(default_factory=dict)  # "file:line" of the first few

    def drop(self, cause: DropCause, rows: int, lines: list[str]) -> None:
        """Counts dropped rows; `lines` names the first of them."""
        if rows <= 0:
            return
        self.dropped[cause] = self.dropped.get(cause, 0) + rows
        shown = self.first_dropped.setdefault(cause, [])
        shown.extend(lines[: MAX_LINES_SHOWN - len(shown)])

    def check(self) -> None:
        """Raises AssertionError if a row was counted twice or not at all: a fault of the program, not of the file."""
        total = self.kept + sum(self.dropped.values())
        assert self.read == total, f"{self.read} rows read, {total} kept or dropped"
