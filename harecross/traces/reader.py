"""Reading whole traces: every row is kept or dropped under one cause, order is put right within a window."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path

import numpy as np
import polars as pl

from harecross.traces import files
from harecross.traces.causes import SHOWN, BadTrace, Cause, Tally
from harecross.traces.formats import (
    AFTER_TRACE,
    ALIBABA_BATCH,
    AZURE_2019_DURATIONS,
    AZURE_2021,
    GOOGLE_MACHINES,
    GOOGLE_TASKS,
    MS_CALLS,
    Format,
    recognise,
)  # fmt: skip
from harecross.traces.rows import HASH, ROW, read_block

WINDOW = 60.0  # seconds of the trace within which order is put right
SAMPLE = 50  # first lines by which a format is recognised
AHEAD = 4  # blocks parsed ahead of the one that is put in order
REMEMBERED = 4_000_000  # lines remembered for finding duplicates, at most
Parsed = tuple[int, pl.DataFrame, list[tuple[int, Cause]], list[tuple[Cause, pl.Expr]]]
AT = "_at"  # the row's time in microseconds


def unusable(f: Format) -> list[tuple[Cause, pl.Expr]]:
    """What makes a row that could be read unusable, in the order in which it is asked."""
    col = pl.col
    if f.table in (GOOGLE_TASKS.table, GOOGLE_MACHINES.table):
        most = 8 if f.table == GOOGLE_TASKS.table else 2
        bad = ~col("event").is_between(0, most)
        if f.table == GOOGLE_TASKS.table:
            bad |= ~col("klass").is_between(0, 3)
        return [(Cause.NEGATIVE_TIME, col("time") < 0), (Cause.UNKNOWN, bad)]
    if f.table == ALIBABA_BATCH.table:
        return [
            (Cause.NEGATIVE_TIME, col("time") < 0),
            # An end of 0 stands for a task that has not ended.
            (Cause.NEGATIVE_DURATION, (col("end") < col("time")) & (col("end") != 0)),
            (Cause.UNKNOWN, col("instances") < 0),
        ]
    if f.table == MS_CALLS.table:
        return [(Cause.NEGATIVE_TIME, col("time") < 0)]
    if f.table == AZURE_2019_DURATIONS.table:
        return [(Cause.NEGATIVE_DURATION, col("average") < 0), (Cause.UNKNOWN, col("count") < 0)]
    if f.minutes:
        counts = pl.any_horizontal([col(f"m{m}") < 0 for m in f.minutes])
        return [(Cause.UNKNOWN, counts)]
    causes = [(Cause.NEGATIVE_TIME, col("time") < 0)]
    if f.name == AZURE_2021.name:
        return [*causes, (Cause.NEGATIVE_DURATION, col("duration") < 0)]
    names = {c.name for c in f.columns}
    if "work" in names:
        causes.append((Cause.NEGATIVE_DURATION, col("work") < 0))
    if "count" in names:
        causes.append((Cause.UNKNOWN, col("count") < 0))
    return causes


@dataclass(slots=True)
class Order:
    """What is carried from block to block: the latest time so far, and the lines within the window before it."""

    latest: int = -1
    lines: pl.DataFrame = field(
        default_factory=lambda: pl.DataFrame(schema={HASH: pl.UInt64(), AT: pl.Int64()})
    )


def parse(block: bytes, f: Format) -> Parsed:
    """What can be said of a block by itself: its rows, what is wrong with some, and which checks find any."""
    count, frame, causes = read_block(block, f)
    checks = unusable(f)
    flags = frame.select(e.fill_null(False).any().alias(str(i)) for i, (_, e) in enumerate(checks)).row(0)
    return count, frame, causes, [check for check, found in zip(checks, flags, strict=True) if found]


def parsed(blocks: Iterable[tuple[int, bytes]], f: Format) -> Iterator[tuple[int, Parsed]]:
    """Blocks in their order, some of them parsed ahead: no block's rows depend on another's until they are ordered."""
    source = iter(blocks)
    with ThreadPoolExecutor(AHEAD) as pool, ThreadPoolExecutor(1) as disk:
        pending: deque[tuple[int, Future[Parsed]]] = deque()
        reading = disk.submit(next, source, None)
        while (block := reading.result()) is not None:
            reading = disk.submit(next, source, None)
            pending.append((block[0], pool.submit(parse, block[1], f)))
            if len(pending) > AHEAD:
                first, found = pending.popleft()
                yield first, found.result()
        for first, found in pending:
            yield first, found.result()


class TraceReader:
    """The kept rows of one trace's files, in order, as frames; `tally` counts all of them.

    `window` is in seconds of the trace. A row that is earlier than another before it by more than that is
    dropped, or moved to the window's edge where `late` is "clamp". The tables of a trace (tasks and machines,
    invocations and durations) are ordered each by themselves.
    """

    def __init__(
        self,
        paths: Sequence[Path],
        wanted: str | None = None,
        window: float = WINDOW,
        late: str = "drop",
        generic: Format | None = None,
        generic_header: bool = False,
        block: int = files.BLOCK,
        progress: Callable[[int], None] | None = None,
    ) -> None:
        if late not in ("drop", "clamp"):
            raise BadTrace(f"--late {late}: allowed are drop and clamp")
        if window < 0:
            raise BadTrace(f"--window {window}: 0 or more seconds")
        self.paths = paths
        self.wanted = wanted
        self.window = int(window * 1e6)
        self.late = late
        self.generic = generic
        self.generic_header = generic_header
        self.block = block
        self.progress = progress
        self.tally = Tally()
        self.formats: list[Format] = []  # of each file
        self.orders: dict[str, Order] = {}

    @property
    def name(self) -> str:
        return self.formats[0].name if self.formats else "?"

    def frames(self) -> Iterator[tuple[Format, int, pl.DataFrame]]:
        """The format, the number of the file among those of its table, and the kept rows of a block."""
        parts: dict[str, int] = {}
        for path in self.paths:
            it = files.blocks(path, self.block, self.progress)
            first = next(it, None)
            if first is None:
                raise BadTrace(f"{path}: the file has no row")
            number, block = first
            f, header = self.format_of(path, block)
            if self.formats and f.name != self.formats[0].name:
                raise BadTrace(f"{path}: {f.name}, but the files before it are {self.formats[0].name}")
            self.formats.append(f)
            part = parts[f.table] = parts.get(f.table, -1) + 1
            if header:
                skipped = block.find(b"\n") + 1
                number, block = number + 1, block[skipped:] if skipped else b""
            if not f.time:
                self.orders[f.table] = Order()  # rows without a time: each file by itself
            for start, found in parsed(chain([(number, block)] if block else [], it), f):
                frame = self.block_of(path, f, start, found)
                if frame.height:
                    yield f, part, frame
        self.tally.check()
        if self.tally.kept == 0:
            causes = ", ".join(f"{c} {n}" for c, n in self.tally.dropped.items())
            raise BadTrace(f"{self.paths[0]}: no usable row in {self.tally.read} ({causes or 'no rows'})")

    def format_of(self, path: Path, block: bytes) -> tuple[Format, bool]:
        if self.generic is not None:
            return self.generic, self.generic_header
        lines = block[: 1 << 20].split(b"\n", SAMPLE)[:SAMPLE]
        return recognise(
            str(path), [line.decode(errors="replace").rstrip("\r") for line in lines], self.wanted
        )

    def block_of(self, path: Path, f: Format, start: int, block: Parsed) -> pl.DataFrame:
        """One block: what is wrong with single rows, then order, then duplicates."""
        count, frame, causes, checks = block
        self.tally.read += count
        places: dict[Cause, list[int]] = {}
        for row, cause in causes:
            places.setdefault(cause, []).append(row)
        for cause, rows in places.items():
            self.drop(path, start, cause, rows)
        for cause, expression in checks:
            bad = frame.select(expression.fill_null(False)).to_series()
            frame = self.without(path, start, frame, bad, cause)
        order = self.orders.setdefault(f.table, Order())
        if f.time:
            frame = self.in_order(path, f, start, frame, order)
        else:
            frame = frame.with_columns(pl.lit(0, dtype=pl.Int64).alias(AT))
        if f.duplicates:
            frame = self.once(path, start, frame, order)
        self.tally.kept += frame.height
        return frame

    def drop(self, path: Path, start: int, cause: Cause, rows: list[int]) -> None:
        self.tally.drop(cause, len(rows), [f"{path}:{start + r}" for r in rows[:SHOWN]])

    def without(
        self, path: Path, start: int, frame: pl.DataFrame, bad: pl.Series, cause: Cause
    ) -> pl.DataFrame:
        rows = frame.filter(bad)[ROW]
        self.tally.drop(cause, rows.len(), [f"{path}:{start + r}" for r in rows.head(SHOWN).to_list()])
        return frame.filter(~bad)

    def in_order(self, path: Path, f: Format, start: int, frame: pl.DataFrame, order: Order) -> pl.DataFrame:
        """Rows that are earlier than one before them: put right within the window, by the rule beyond it."""
        scaled = frame[f.time] * f.unit
        at = (scaled if scaled.dtype == pl.Int64 else scaled.cast(pl.Int64, strict=False)).to_numpy()
        edge = at
        timeless = None
        # Rows with no time of their own are kept and neither late nor early: what google-2011 puts before and
        # after the trace, and alibaba's tasks that have not started.
        if f.table == GOOGLE_TASKS.table:
            timeless = (at == 0) | (at == AFTER_TRACE)
        elif f.table == ALIBABA_BATCH.table:
            timeless = (frame["status"].str.to_lowercase() == "waiting").to_numpy()
        if timeless is not None:
            edge = np.where(timeless, -1, at)
        before = np.maximum.accumulate(np.concatenate(([order.latest], edge)))
        order.latest = int(before[-1])
        behind = before[:-1] - at
        late = behind > self.window
        if timeless is not None:
            late &= ~timeless
        early = (behind > 0) & ~late
        if late.any() and self.late == "clamp":
            self.tally.clamped += int(late.sum())
            at = np.where(late, before[:-1] - self.window, at)
        times = pl.Series(AT, at)
        if timeless is not None and timeless.any():
            early &= ~timeless
            times = times.set(pl.Series(timeless), None)
        frame = frame.with_columns(times, pl.Series("_early", early))
        if late.any() and self.late == "drop":
            return self.without(path, start, frame, pl.Series(late), Cause.OUT_OF_ORDER)
        return frame

    def once(self, path: Path, start: int, frame: pl.DataFrame, order: Order) -> pl.DataFrame:
        """Without the rows that are the same to the letter as one kept within the window."""
        hashes = pl.concat([order.lines[HASH], frame[HASH]])
        again = ~hashes.is_first_distinct()[order.lines.height :]
        if again.any():
            frame = self.without(path, start, frame, again, Cause.DUPLICATE)
        edge = order.latest - self.window
        seen = pl.concat([order.lines, frame.select(HASH, AT)])
        order.lines = seen.filter((pl.col(AT) >= edge) | pl.col(AT).is_null()).tail(REMEMBERED)
        if "_early" in frame.columns:
            self.tally.reordered += int(frame["_early"].sum())
        return frame
