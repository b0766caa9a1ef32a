"""Parses the rows of a block into a frame, and finds the cause for each row that cannot be parsed.

Polars parses the columns of a whole block. A row that polars may have parsed wrongly is parsed again by `classify_row`,
which alone decides whether a row is invalid and why. If polars cannot parse a block, all its rows go to `classify_row`.
"""

from __future__ import annotations

import csv
import math
from typing import NamedTuple

import polars as pl

from harecross.traces.formats import FLOAT, INTEGER, NUMBER_PATTERN, TEXT, Format
from harecross.traces.row_tally import DropCause

POLARS_TYPES: dict[str, pl.DataType] = {INTEGER: pl.Int64(), FLOAT: pl.Float64(), TEXT: pl.String()}
MAX_INTEGER = (1 << 63) - 1
ROW_COLUMN = "_row"  # the row's position in the block, counted from 0
HASH_COLUMN = "_hash"  # the hash of the whole line
# Polars reads whole lines with this separator; blocks that contain it are parsed by `classify_row`.
UNUSED_SEPARATOR = "\x01"
CellValue = int | float | str


def classify_row(line: bytes, trace_format: Format) -> list[CellValue] | DropCause:
    """Returns the values of a row's columns, or the first cause for which the row is invalid."""
    if not line.strip():
        return DropCause.BLANK
    if b"\0" in line:
        return DropCause.NUL
    try:
        cells = _split_row(line.decode())
    except UnicodeDecodeError:
        return DropCause.ENCODING
    except (csv.Error, ValueError):
        return DropCause.QUOTES
    if len(cells) != trace_format.width:
        return DropCause.SHORT if len(cells) < trace_format.width else DropCause.LONG
    texts = [cells[column.position].strip() for column in trace_format.columns]
    if not all(texts):
        return DropCause.EMPTY
    values: list[CellValue] = []
    for text, column in zip(texts, trace_format.columns, strict=True):
        value = parse_cell(text, column.kind)
        if value is None:
            return DropCause.NOT_A_NUMBER
        values.append(value)
    return values


def _split_row(text: str) -> list[str]:
    """Splits a row into cells. Raises csv.Error or ValueError for unbalanced or misplaced quotes."""
    if '"' not in text:
        return text.split(",")
    (cells,) = csv.reader([text], strict=True)
    return cells


def parse_cell(text: str, kind: str) -> CellValue | None:
    """Returns the value of a cell; None if it is not a finite number, or an integer that does not fit into 64 bits."""
    if kind == TEXT:
        return text
    if NUMBER_PATTERN.fullmatch(text) is None:
        return None
    if kind == FLOAT:
        number = float(text)
        return number if math.isfinite(number) else None
    if text.lstrip("+-").isdecimal():
        value = int(text)
    else:
        number = float(text)
        if not math.isfinite(number) or not number.is_integer():
            return None
        value = int(number)
    return value if -MAX_INTEGER <= value <= MAX_INTEGER else None


def schema_for(trace_format: Format) -> dict[str, pl.DataType]:
    """Returns the polars type of each column of a format, by name."""
    return {column.name: POLARS_TYPES[column.kind] for column in trace_format.columns}


class _PolarsRows(NamedTuple):
    """The rows that polars parsed reliably, and the positions and lines of the rows that need `classify_row`."""

    frame: pl.DataFrame
    doubtful: list[tuple[int, bytes]]


def read_block(block: bytes, trace_format: Format) -> tuple[int, pl.DataFrame, list[tuple[int, DropCause]]]:
    """Returns the number of rows in a block, the parsed rows, and the position and cause of each invalid row.

    The frame of parsed rows has the format's columns, `ROW_COLUMN` and `HASH_COLUMN`.
    """
    if b"\r" in block:
        block = block.replace(b"\r\n", b"\n")
    count = block.count(b"\n") + (not block.endswith(b"\n"))
    polars_rows = None
    if UNUSED_SEPARATOR.encode() not in block:
        polars_rows = _read_with_polars(block, trace_format, count)
    if polars_rows is None:
        schema = {**schema_for(trace_format), ROW_COLUMN: pl.UInt32(), HASH_COLUMN: pl.UInt64()}
        lines = block.split(b"\n")[:count]
        polars_rows = _PolarsRows(pl.DataFrame(schema=schema), list(enumerate(lines)))
    frame, unreadable = _classify_doubtful(polars_rows, trace_format)
    return count, frame, unreadable


def _classify_doubtful(
    polars_rows: _PolarsRows, trace_format: Format
) -> tuple[pl.DataFrame, list[tuple[int, DropCause]]]:
    """Returns the frame with the valid ones of the doubtful rows added, and the position and cause of the others."""
    unreadable: list[tuple[int, DropCause]] = []
    values: list[list[CellValue]] = []
    rows: list[int] = []
    lines: list[str] = []
    for row, line in polars_rows.doubtful:
        found = classify_row(line, trace_format)
        if isinstance(found, DropCause):
            unreadable.append((row, found))
        else:
            values.append(found)
            rows.append(row)
            lines.append(line.decode())
    frame = polars_rows.frame
    if values:
        reparsed = pl.DataFrame(values, schema=schema_for(trace_format), orient="row").with_columns(
            pl.Series(ROW_COLUMN, rows, dtype=pl.UInt32), pl.Series(lines).hash(0).alias(HASH_COLUMN)
        )
        frame = pl.concat([frame, reparsed.select(frame.columns)]).sort(ROW_COLUMN)
    return frame, unreadable


def _read_with_polars(block: bytes, trace_format: Format, count: int) -> _PolarsRows | None:
    """Parses a block with polars. Returns None if polars fails, or finds a number of rows other than `count`."""
    try:
        lines = _read_lines(block)
        data = _read_columns(block, trace_format)
    except (pl.exceptions.PolarsError, UnicodeDecodeError):
        return None
    if lines.len() != count or data.height != count:
        return None
    columns = [data[column.name] for column in trace_format.columns]
    stripped = [series.str.strip_chars() if series.dtype == pl.String else series for series in columns]
    doubtful = _doubtful_rows(block, trace_format, lines, columns)
    for series in stripped:
        if series.dtype == pl.String:
            doubtful |= series == ""
    frame = pl.DataFrame(stripped).with_columns(
        pl.int_range(pl.len(), dtype=pl.UInt32).alias(ROW_COLUMN), lines.hash(0).alias(HASH_COLUMN)
    )
    if not doubtful.any():
        return _PolarsRows(frame, [])
    doubtful_lines = [(row, (lines[row] or "").encode()) for row in doubtful.arg_true().to_list()]
    return _PolarsRows(frame.filter(~doubtful), doubtful_lines)


def _read_lines(block: bytes) -> pl.Series:
    """Reads a block as a single column of complete lines."""
    return pl.read_csv(
        block,
        has_header=False,
        schema={"line": pl.String()},
        separator=UNUSED_SEPARATOR,
        quote_char=None,
        extra_columns="ignore",
    )["line"]


def _read_columns(block: bytes, trace_format: Format) -> pl.DataFrame:
    """Reads the columns of the format; a cell that polars cannot parse is null."""
    schema: dict[str, pl.DataType] = {f"c{i}": pl.String() for i in range(trace_format.width)}
    names = {}
    for column in trace_format.columns:
        schema[f"c{column.position}"] = POLARS_TYPES[column.kind]
        names[f"c{column.position}"] = column.name
    scanned = pl.scan_csv(
        block,
        has_header=False,
        schema=schema,
        quote_char=None,
        ignore_errors=True,
        extra_columns="ignore",
        missing_columns="insert",
    )
    return scanned.select(pl.col(old).alias(new) for old, new in names.items()).collect()


def _doubtful_rows(
    block: bytes, trace_format: Format, lines: pl.Series, columns: list[pl.Series]
) -> pl.Series:
    """Returns a mask of the rows that polars may have parsed differently from `classify_row`."""
    separators = lines.str.count_matches(",", literal=True)
    doubtful = lines.is_null() | (separators != trace_format.width - 1)
    for series, column in zip(columns, trace_format.columns, strict=True):
        doubtful |= series.is_null()
        if column.kind == FLOAT:
            doubtful |= ~series.is_finite()
    for character in ('"', "\0"):
        if character.encode() in block:
            doubtful |= lines.str.contains(character, literal=True)
    return doubtful.fill_null(True)
