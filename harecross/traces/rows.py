"""Rows of a block: the good ones as a frame, the others with their cause.

Polars reads the columns as numbers; each row that it could not read in full goes to `classify`, which alone
says what is wrong with a row. A block that polars cannot read at all goes there whole.
"""

from __future__ import annotations

import csv
import math

import polars as pl

from harecross.traces.causes import Cause
from harecross.traces.formats import FLOAT, INT, NUMBER, TEXT, Format

TYPES: dict[str, pl.DataType] = {INT: pl.Int64(), FLOAT: pl.Float64(), TEXT: pl.String()}
INT_MOST = (1 << 63) - 1
ROW = "_row"  # position in the block
HASH = "_hash"  # of the whole line
Value = int | float | str


def classify(line: bytes, f: Format) -> list[Value] | Cause:
    """The values of a row's columns, or the first thing that is wrong with it."""
    if not line.strip():
        return Cause.BLANK
    if b"\0" in line:
        return Cause.NUL
    try:
        text = line.decode()
    except UnicodeDecodeError:
        return Cause.ENCODING
    if '"' in text:
        try:
            (cells,) = csv.reader([text], strict=True)
        except (csv.Error, ValueError):
            return Cause.QUOTES
    else:
        cells = text.split(",")
    if len(cells) != f.width:
        return Cause.SHORT if len(cells) < f.width else Cause.LONG
    values: list[Value] = []
    bad: Cause | None = None
    for column in f.columns:
        cell = cells[column.at].strip()
        if not cell:
            return Cause.EMPTY
        value = parse(cell, column.kind)
        if value is None:
            bad = bad or Cause.NOT_A_NUMBER
            continue
        values.append(value)
    return bad or values


def parse(cell: str, kind: str) -> Value | None:
    """A cell's value; None if it is no number, or none that 64 bits hold."""
    if kind == TEXT:
        return cell
    if NUMBER.fullmatch(cell) is None:
        return None
    if kind == FLOAT:
        number = float(cell)
        return number if math.isfinite(number) else None
    if cell.lstrip("+-").isdecimal():
        value = int(cell)
    else:
        number = float(cell)
        if not math.isfinite(number) or not number.is_integer():
            return None
        value = int(number)
    return value if -INT_MOST <= value <= INT_MOST else None


def schema_of(f: Format) -> dict[str, pl.DataType]:
    return {c.name: TYPES[c.kind] for c in f.columns}


def read_block(block: bytes, f: Format) -> tuple[int, pl.DataFrame, list[tuple[int, Cause]]]:
    """How many rows a block has, those that could be read (columns, ROW, HASH), and the others by position."""
    if b"\r" in block:
        block = block.replace(b"\r\n", b"\n")
    count = block.count(b"\n") + (not block.endswith(b"\n"))
    # A byte that stands for "no separator" below must not be in the text.
    fast = None if b"\x01" in block else read_fast(block, f, count)
    if fast is None:
        texts = block.split(b"\n")[:count]
        good = pl.DataFrame(schema={**schema_of(f), ROW: pl.UInt32(), HASH: pl.UInt64()})
        suspects: list[tuple[int, bytes]] = list(enumerate(texts))
    else:
        good, suspects = fast
    causes: list[tuple[int, Cause]] = []
    rescued: list[list[Value]] = []
    at: list[int] = []
    texts_of: list[str] = []
    for row, line in suspects:
        found = classify(line, f)
        if isinstance(found, Cause):
            causes.append((row, found))
        else:
            rescued.append(found)
            at.append(row)
            texts_of.append(line.decode())
    if rescued:
        more = pl.DataFrame(rescued, schema=schema_of(f), orient="row").with_columns(
            pl.Series(ROW, at, dtype=pl.UInt32), pl.Series(texts_of).hash(0).alias(HASH)
        )
        good = pl.concat([good, more.select(good.columns)]).sort(ROW)
    return count, good, causes


def read_fast(block: bytes, f: Format, count: int) -> tuple[pl.DataFrame, list[tuple[int, bytes]]] | None:
    """The rows that polars reads without doubt, and the others as they stand; None if it cannot read the block."""
    schema: dict[str, pl.DataType] = {f"c{i}": pl.String() for i in range(f.width)}
    names = {}
    for column in f.columns:
        schema[f"c{column.at}"] = TYPES[column.kind]
        names[f"c{column.at}"] = column.name
    try:
        lines = pl.read_csv(
            block, has_header=False, schema={"line": pl.String()}, separator="\x01", quote_char=None,
            extra_columns="ignore",
        )["line"]  # fmt: skip
        data = (
            pl.scan_csv(
                block, has_header=False, schema=schema, quote_char=None, ignore_errors=True,
                extra_columns="ignore", missing_columns="insert",
            ).select(pl.col(old).alias(new) for old, new in names.items()).collect()
        )  # fmt: skip
    except (pl.exceptions.PolarsError, UnicodeDecodeError):
        return None
    if lines.len() != count or data.height != count:
        return None
    doubt = lines.is_null() | (lines.str.count_matches(",", literal=True) != f.width - 1)
    for column in f.columns:
        doubt |= data[column.name].is_null()
        if column.kind == FLOAT:
            doubt |= ~data[column.name].is_finite()
    if b'"' in block:
        doubt |= lines.str.contains('"', literal=True)
    if b"\0" in block:
        doubt |= lines.str.contains("\0", literal=True)
    doubt = doubt.fill_null(True)
    columns = [data[c.name] for c in f.columns]
    texts = [s.str.strip_chars() if s.dtype == pl.String else s for s in columns]
    for s in texts:
        if s.dtype == pl.String:
            doubt |= s == ""
    good = pl.DataFrame(texts).with_columns(
        pl.int_range(pl.len(), dtype=pl.UInt32).alias(ROW), lines.hash(0).alias(HASH)
    )
    if not doubt.any():
        return good, []
    places = doubt.arg_true().to_list()
    return good.filter(~doubt), [(i, (lines[i] or "").encode()) for i in places]
