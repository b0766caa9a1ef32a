"""Reads the rows of a trace: each is kept or dropped for one cause, and checked for its order within a window."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
import polars as pl

from harecross.traces.blocks import BLOCK_BYTES, read_blocks
from harecross.traces.formats import (
    AFTER_TRACE_TIME,
    ALIBABA_BATCH,
    GOOGLE_TASKS,
    Format,
    recognise_format,
)
from harecross.traces.row_checks import RowCheck, row_checks
from harecross.traces.row_tally import MAX_LINES_SHOWN, DropCause, RowTally, TraceError
from harecross.traces.rows import HASH_COLUMN, ROW_COLUMN, read_block

DEFAULT_WINDOW_S = 60.0
# A format is recognised from the first lines of a file, at most this many lines and bytes.
SAMPLE_LINES = 50
SAMPLE_BYTES = 1 << 20
BLOCKS_AHEAD = 4  # how many blocks are parsed ahead of the one whose rows are being ordered
MAX_REMEMBERED_ROWS = 4_000_000  # limits the memory of the search for duplicates
TIME_COLUMN = "_at"  # the row's time in microseconds; null for a row without a time
EARLY_COLUMN = "_early"  # whether the row is earlier than a row before it, by no more than the window
LATE_MODES = ("drop", "clamp")

BoolArray = np.ndarray[Any, np.dtype[np.bool_]]


class ParsedBlock(NamedTuple):
    """The result of parsing one block, independently of the blocks before it.

    Attributes:
        rows: The number of rows in the block.
        frame: The rows that could be parsed.
        unreadable: The position in the block of each row that could not be parsed, and the cause.
        failing_checks: The checks that at least one row of `frame` fails.
    """

    rows: int
    frame: pl.DataFrame
    unreadable: list[tuple[int, DropCause]]
    failing_checks: list[RowCheck]


@dataclass(slots=True)
class OrderState:
    """The state that ordering a table carries from one block to the next.

    Attributes:
        latest_us: The latest time so far; -1 before the first row.
        recent_rows: The hashes and times of the kept rows within the window before `latest_us`.
    """

    latest_us: int = -1
    recent_rows: pl.DataFrame = field(
        default_factory=lambda: pl.DataFrame(schema={HASH_COLUMN: pl.UInt64(), TIME_COLUMN: pl.Int64()})
    )


def parse_block(block: bytes, trace_format: Format) -> ParsedBlock:
    """Parses the rows of a block and finds the checks that at least one of them fails."""
    rows, frame, unreadable = read_block(block, trace_format)
    checks = row_checks(trace_format)
    flags = frame.select(
        check.fails.fill_null(False).any().alias(str(index)) for index, check in enumerate(checks)
    )
    failing = [check for check, failed in zip(checks, flags.row(0), strict=True) if failed]
    return ParsedBlock(rows, frame, unreadable, failing)


def parse_ahead(
    blocks: Iterable[tuple[int, bytes]], trace_format: Format
) -> Iterator[tuple[int, ParsedBlock]]:
    """Yields blocks in order, with their first line numbers, while worker threads parse the blocks that follow.

    Blocks can be parsed concurrently because parsing depends on a single block; only ordering needs earlier blocks.
    """
    source = iter(blocks)
    with ThreadPoolExecutor(BLOCKS_AHEAD) as parsers, ThreadPoolExecutor(1) as block_reader:
        pending: deque[tuple[int, Future[ParsedBlock]]] = deque()
        reading = block_reader.submit(next, source, None)
        while (block := reading.result()) is not None:
            reading = block_reader.submit(next, source, None)
            first_line, data = block
            pending.append((first_line, parsers.submit(parse_block, data, trace_format)))
            if len(pending) > BLOCKS_AHEAD:
                first_line, parsed = pending.popleft()
                yield first_line, parsed.result()
        for first_line, parsed in pending:
            yield first_line, parsed.result()


class TraceReader:
    """Yields the kept rows of a trace's files as frames, and counts all rows in `tally`.

    A row that is earlier than a row before it by more than the window is late: it is dropped or, if `late_mode` is
    "clamp", gets the earliest time in the window. The tables of a trace (tasks and machines, or invocations and
    durations) are ordered separately.
    """

    def __init__(
        self,
        paths: Sequence[Path],
        format_name: str | None = None,
        window_s: float = DEFAULT_WINDOW_S,
        late_mode: str = "drop",
        generic: Format | None = None,
        generic_header: bool = False,
        block_bytes: int = BLOCK_BYTES,
        progress: Callable[[int], None] | None = None,
    ) -> None:
        """Prepares to read the files in the given order.

        `format_name` replaces the recognition of the format; `generic` and `generic_header` are the format and whether
        the files have a header, for the format `generic`. `window_s` is in seconds of the trace. Raises TraceError for
        an option out of range.
        """
        if late_mode not in LATE_MODES:
            raise TraceError(f"--late {late_mode}: allowed are {' and '.join(LATE_MODES)}")
        if window_s < 0:
            raise TraceError(f"--window {window_s}: must be 0 or more seconds")
        self.paths = paths
        self.format_name = format_name
        self.window_us = int(window_s * 1e6)
        self.late_mode = late_mode
        self.generic = generic
        self.generic_header = generic_header
        self.block_bytes = block_bytes
        self.progress = progress
        self.tally = RowTally()
        self.formats: list[Format] = []  # the format of each file opened so far
        self.order_states: dict[str, OrderState] = {}  # the order state of each table, by its name

    @property
    def name(self) -> str:
        """The name of the trace's format; "?" before the first file is opened."""
        return self.formats[0].name if self.formats else "?"

    def frames(self) -> Iterator[tuple[Format, int, pl.DataFrame]]:
        """Yields, for each block, the format, the number of the file among the files of its table, and the kept rows.

        Raises TraceError for a file that cannot be used, and for a trace without a usable row.
        """
        files_of_table: dict[str, int] = {}
        for path in self.paths:
            trace_format, blocks = self._open(path)
            file_number = files_of_table.get(trace_format.table, -1) + 1
            files_of_table[trace_format.table] = file_number
            if not trace_format.time_column:
                # Without row times there is no window, so duplicates are only searched for within a file.
                self.order_states[trace_format.table] = OrderState()
            for first_line, parsed in parse_ahead(blocks, trace_format):
                frame = self._keep_rows(path, trace_format, first_line, parsed)
                if frame.height:
                    yield trace_format, file_number, frame
        self.tally.check()
        if self.tally.kept == 0:
            causes = ", ".join(f"{cause} {rows}" for cause, rows in self.tally.dropped.items())
            raise TraceError(f"{self.paths[0]}: no usable row in {self.tally.read} ({causes or 'no rows'})")

    def format_of(self, path: Path, block: bytes) -> tuple[Format, bool]:
        """Returns the format that a file's first block shows, and whether its first line is a header."""
        if self.generic is not None:
            return self.generic, self.generic_header
        lines = block[:SAMPLE_BYTES].split(b"\n", SAMPLE_LINES)[:SAMPLE_LINES]
        sample = [line.decode(errors="replace").rstrip("\r") for line in lines]
        return recognise_format(str(path), sample, self.format_name)

    def _open(self, path: Path) -> tuple[Format, Iterable[tuple[int, bytes]]]:
        """Returns the format of a file and its blocks, from which the header line is removed."""
        blocks = read_blocks(path, self.block_bytes, self.progress)
        first = next(blocks, None)
        if first is None:
            raise TraceError(f"{path}: the file has no row")
        first_line, block = first
        trace_format, has_header = self.format_of(path, block)
        if self.formats and trace_format.name != self.formats[0].name:
            raise TraceError(
                f"{path}: the format is {trace_format.name}, but the files before it are {self.formats[0].name}"
            )
        self.formats.append(trace_format)
        if has_header:
            header_bytes = block.find(b"\n") + 1
            first_line, block = first_line + 1, block[header_bytes:] if header_bytes else b""
        return trace_format, chain([(first_line, block)] if block else [], blocks)

    def _keep_rows(
        self, path: Path, trace_format: Format, first_line: int, parsed: ParsedBlock
    ) -> pl.DataFrame:
        """Drops the invalid rows of a block, then the late ones (or clamps them), then the duplicates."""
        self.tally.read += parsed.rows
        rows_by_cause: dict[DropCause, list[int]] = {}
        for row, cause in parsed.unreadable:
            rows_by_cause.setdefault(cause, []).append(row)
        for cause, rows in rows_by_cause.items():
            self._count_dropped(path, first_line, cause, len(rows), rows[:MAX_LINES_SHOWN])
        frame = parsed.frame
        for check in parsed.failing_checks:
            failing = frame.select(check.fails.fill_null(False)).to_series()
            frame = self._drop_rows(path, first_line, frame, failing, check.cause)
        state = self.order_states.setdefault(trace_format.table, OrderState())
        if trace_format.time_column:
            frame = self._order_rows(path, trace_format, first_line, frame, state)
        else:
            frame = frame.with_columns(pl.lit(0, dtype=pl.Int64).alias(TIME_COLUMN))
        if trace_format.drop_duplicates:
            frame = self._drop_duplicates(path, first_line, frame, state)
        self.tally.kept += frame.height
        return frame

    def _count_dropped(
        self, path: Path, first_line: int, cause: DropCause, count: int, first_rows: list[int]
    ) -> None:
        self.tally.drop(cause, count, [f"{path}:{first_line + row}" for row in first_rows])

    def _drop_rows(
        self, path: Path, first_line: int, frame: pl.DataFrame, dropped: pl.Series, cause: DropCause
    ) -> pl.DataFrame:
        rows = frame.filter(dropped)[ROW_COLUMN]
        self._count_dropped(path, first_line, cause, rows.len(), rows.head(MAX_LINES_SHOWN).to_list())
        return frame.filter(~dropped)

    def _order_rows(
        self, path: Path, trace_format: Format, first_line: int, frame: pl.DataFrame, state: OrderState
    ) -> pl.DataFrame:
        """Adds the columns `TIME_COLUMN` and `EARLY_COLUMN`, and drops or clamps late rows."""
        scaled = frame[trace_format.time_column] * trace_format.time_unit_us
        time_us = (scaled if scaled.dtype == pl.Int64 else scaled.cast(pl.Int64, strict=False)).to_numpy()
        timeless = _timeless_rows(trace_format, frame, time_us)
        ordering_us = time_us if timeless is None else np.where(timeless, -1, time_us)
        latest_us = np.maximum.accumulate(np.concatenate(([state.latest_us], ordering_us)))
        state.latest_us = int(latest_us[-1])
        behind_us = latest_us[:-1] - time_us
        late = behind_us > self.window_us
        if timeless is not None:
            late &= ~timeless
        early = (behind_us > 0) & ~late
        if late.any() and self.late_mode == "clamp":
            self.tally.clamped += int(late.sum())
            time_us = np.where(late, latest_us[:-1] - self.window_us, time_us)
        times = pl.Series(TIME_COLUMN, time_us)
        if timeless is not None and timeless.any():
            early &= ~timeless
            times = times.set(pl.Series(timeless), None)
        frame = frame.with_columns(times, pl.Series(EARLY_COLUMN, early))
        if late.any() and self.late_mode == "drop":
            return self._drop_rows(path, first_line, frame, pl.Series(late), DropCause.OUT_OF_ORDER)
        return frame

    def _drop_duplicates(
        self, path: Path, first_line: int, frame: pl.DataFrame, state: OrderState
    ) -> pl.DataFrame:
        """Drops rows that are identical to a row kept within the window, and counts the early rows that remain."""
        hashes = pl.concat([state.recent_rows[HASH_COLUMN], frame[HASH_COLUMN]])
        duplicate = ~hashes.is_first_distinct()[state.recent_rows.height :]
        if duplicate.any():
            frame = self._drop_rows(path, first_line, frame, duplicate, DropCause.DUPLICATE)
        window_start = state.latest_us - self.window_us
        seen = pl.concat([state.recent_rows, frame.select(HASH_COLUMN, TIME_COLUMN)])
        in_window = (pl.col(TIME_COLUMN) >= window_start) | pl.col(TIME_COLUMN).is_null()
        state.recent_rows = seen.filter(in_window).tail(MAX_REMEMBERED_ROWS)
        if EARLY_COLUMN in frame.columns:
            self.tally.reordered += int(frame[EARLY_COLUMN].sum())
        return frame


def _timeless_rows(
    trace_format: Format, frame: pl.DataFrame, time_us: np.ndarray[Any, Any]
) -> BoolArray | None:
    """Returns a mask of the rows without a time of their own, or None for a format in which every row has a time.

    Such rows are the google-2011 events before and after the trace, and the alibaba-2018 tasks that have not started.
    They are kept, and are neither late nor early.
    """
    if trace_format.table == GOOGLE_TASKS.table:
        timeless: BoolArray = (time_us == 0) | (time_us == AFTER_TRACE_TIME)
        return timeless
    if trace_format.table == ALIBABA_BATCH.table:
        return (frame["status"].str.to_lowercase() == "waiting").to_numpy()
    return None
