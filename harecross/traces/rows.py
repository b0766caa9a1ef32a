"""Rows of a block: the readable ones as a frame, the others with their cause.

Polars reads the columns as numbers; each row that it could not read without doubt goes to `classify_row`, which alone
decides what is wrong with a row. A block that polars cannot read at all goes there row by row.
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
ROW_COLUMN = "_row"  # position in the block
HASH_COLUMN = "_hash"  # of the whole line
NO_SEPARATOR = "\x01"  # a byte that must not be in the text
CellValue = int | float | str


def classify_row(line: bytes, trace_format: Format) -> list[CellValue] | DropCause:
    """Returns the values of a row's columns, or the first thing that is wrong with it."""
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
    texts = [cells[column.at].strip() for column in trace_format.columns]
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
    """Raises csv.Error or ValueError for quotes that do not match."""
    if '"' not in text:
        return text.split(",")
    (cells,) = csv.reader([text], strict=True)
    return cells


def parse_cell(text: str, kind: str) -> CellValue | None:
    """Returns a cell's value; None if it is not a number, or not one that 64 bits hold."""
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
    """Returns the types of the columns that are read, by name."""
    return {column.name: POLARS_TYPES[column.kind] for column in trace_format.columns}


class _Readable(NamedTuple):
    """The rows that polars reads without doubt, and the others by position as they stand in the block."""

    frame: pl.DataFrame
    doubtful: list[tuple[int, bytes]]


def read_block(block: bytes, trace_format: Format) -> tuple[int, pl.DataFrame, list[tuple[int, DropCause]]]:
    """Returns the number of a block's rows, those that could be read, and the others by position.

    The frame has the format's columns, `ROW_COLUMN` and `HASH_COLUMN`.
    """
    if b"\r" in block:
        block = block.replace(b"\r\n", b"\n")
    count = block.count(b"\n") + (not block.endswith(b"\n"))
    readable = None
    if NO_SEPARATOR.encode() not in block:
        readable = _read_with_polars(block, trace_format, count)
    if readable is None:
        schema = {**schema_for(trace_format), ROW_COLUMN: pl.UInt32(), HASH_COLUMN: pl.UInt64()}
        lines = block.split(b"\n")[:count]
        readable = _Readable(pl.DataFrame(schema=schema), list(enumerate(lines)))
    frame, unreadable = _classify_doubtful(readable, trace_format)
    return count, frame, unreadable


def _classify_doubtful(
    readable: _Readable, trace_format: Format
) -> tuple[pl.DataFrame, list[tuple[int, DropCause]]]:
    """Returns the frame with the doubtful rows that are good, and the bad ones with their cause."""
    unreadable: list[tuple[int, DropCause]] = []
    values: list[list[CellValue]] = []
    rows: list[int] = []
    lines: list[str] = []
    for row, line in readable.doubtful:
        found = classify_row(line, trace_format)
        if isinstance(found, DropCause):
            unreadable.append((row, found))
        else:
            values.append(found)
            rows.append(row)
            lines.append(line.decode())
    frame = readable.frame
    if values:
        rescued = pl.DataFrame(values, schema=schema_for(trace_format), orient="row").with_columns(
            pl.Series(ROW_COLUMN, rows, dtype=pl.UInt32), pl.Series(lines).hash(0).alias(HASH_COLUMN)
        )
        frame = pl.concat([frame, rescued.select(frame.columns)]).sort(ROW_COLUMN)
    return frame, unreadable


def _read_with_polars(block: bytes, trace_format: Format, count: int) -> _Readable | None:
    """Returns None if polars cannot read the block, or finds another number of rows in it."""
    try:
        lines = _read_lines(block)
        data = _read_columns(block, trace_format)
    except (pl.exceptions.PolarsError, UnicodeDecodeError):
        return None
    if lines.len() != count or data.height != count:
        return None
    columns = [data[column.name] for column in trace_format.columns]
    stripped = [series.str.strip_chars() if series.dtype == pl.String else series for series in columns]
    doubt = _doubtful_rows(block, trace_format, lines, columns)
    for series in stripped:
        if series.dtype == pl.String:
            doubt |= series == ""
    frame = pl.DataFrame(stripped).with_columns(
        pl.int_range(pl.len(), dtype=pl.UInt32).alias(ROW_COLUMN), lines.hash(0).alias(HASH_COLUMN)
    )
    if not doubt.any():
        return _Readable(frame, [])
    doubtful = [(row, (lines[row] or "").encode()) for row in doubt.arg_true().to_list()]
    return _Readable(frame.filter(~doubt), doubtful)


def _read_lines(block: bytes) -> pl.Series:
    """Reads the block as one column of complete lines."""
    return pl.read_csv(
        block,
        has_header=False,
        schema={"line": pl.String()},
        separator=NO_SEPARATOR,
        quote_char=None,
        extra_columns="ignore",
    )["line"]


def _read_columns(block: bytes, trace_format: Format) -> pl.DataFrame:
    """Reads the format's columns; a cell that polars cannot read is null."""
    schema: dict[str, pl.DataType] = {f"c{i}": pl.String() for i in range(trace_format.width)}
    names = {}
    for column in trace_format.columns:
        schema[f"c{column.at}"] = POLARS_TYPES[column.kind]
        names[f"c{column.at}"] = column.name
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
    """Returns which rows polars may have read otherwise than `classify_row` would."""
    separators = lines.str.count_matches(",", literal=True)
    doubt = lines.is_null() | (separators != trace_format.width - 1)
    for series, column in zip(columns, trace_format.columns, strict=True):
        doubt |= series.is_null()
        if column.kind == FLOAT:
            doubt |= ~series.is_finite()
    for character in ('"', "\0"):
        if character.encode() in block:
            doubt |= lines.str.contains(character, literal=True)
    return doubt.fill_null(True)
