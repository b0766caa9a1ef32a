"""Opens traces and summarises them: rows by cause, requests by class, time span and rates.

Memory use has a bound that does not depend on the length of the files.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import numpy as np
import polars as pl

from harecross.traces.blocks import BLOCK_BYTES, read_blocks
from harecross.traces.formats import Format
from harecross.traces.mapping import Mapping, TraceClasses, classes_for, generic_format
from harecross.traces.reader import DEFAULT_WINDOW_S, TraceReader
from harecross.traces.request_planner import ADD_EVENT, CLASS, DUE, WORK, RequestPlanner
from harecross.traces.row_tally import TraceError

SECOND_US = 1_000_000
DAY_S = 86_400
# Requests are counted for each second of the trace, so the span must be limited. A trace that spans more than this,
# which is over a year, has wrong times.
MAX_SPAN_S = 40_000_000


class RequestRates:
    """Counts the requests in each second of a trace, so that the peak rate is exact for any order of the requests."""

    def __init__(self) -> None:
        self.is_empty = True
        self.first_due_us = self.last_due_us = 0
        self.counts = np.zeros(0, dtype=np.uint32)
        self.first_second = 0  # the second that counts[0] covers

    def add(self, due: pl.Series) -> None:
        """Counts requests by their due times. Raises TraceError for a span beyond `MAX_SPAN_S`."""
        if due.len() == 0:
            return
        due_us = due.to_numpy()
        low, high = int(due_us.min()), int(due_us.max())
        if self.is_empty:
            self.is_empty = False
            self.first_due_us, self.last_due_us = low, high
            self.first_second = low // SECOND_US
        self.first_due_us = min(self.first_due_us, low)
        self.last_due_us = max(self.last_due_us, high)
        self._extend_to(low // SECOND_US, high // SECOND_US)
        seconds = due_us // SECOND_US - self.first_second
        start = int(seconds.min())
        counted = np.bincount(seconds - start)
        self.counts[start : start + len(counted)] += counted.astype(np.uint32)

    @property
    def span_s(self) -> float:
        """Seconds from the first request to the last."""
        return (self.last_due_us - self.first_due_us) / SECOND_US

    def _extend_to(self, low: int, high: int) -> None:
        """Extends `counts` to cover the seconds from `low` to `high`."""
        begin = min(self.first_second, low)
        end = max(self.first_second + len(self.counts), high + 1)
        if end - begin > MAX_SPAN_S:
            raise TraceError(
                f"the requests span {(end - begin) / DAY_S:.0f} days: these times are too far apart for one trace"
            )
        if begin < self.first_second or end > self.first_second + len(self.counts):
            grown = np.zeros(max(end - begin, 2 * len(self.counts)), dtype=np.uint32)
            offset = self.first_second - begin
            grown[offset : offset + len(self.counts)] = self.counts
            self.first_second, self.counts = begin, grown


class Trace:
    """The files of a trace with the reader, planner and request classes for them."""

    def __init__(
        self,
        paths: Sequence[Path],
        format_name: str | None = None,
        mapping: Mapping | None = None,
        window_s: float = DEFAULT_WINDOW_S,
        late_mode: str = "drop",
        seed: int = 1,
        block_bytes: int = BLOCK_BYTES,
        progress: Callable[[int], None] | None = None,
    ) -> None:
        """Opens no file yet, except to find the header of the format `generic`.

        `format_name` replaces the recognition of the format. Raises TraceError for invalid options.
        """
        generic: tuple[Format | None, bool] = (None, False)
        if format_name == "generic" or (
            format_name is None and mapping is not None and mapping.columns is not None
        ):
            generic = _generic_format_of(paths[0], mapping)
        self.mapping = mapping
        self.seed = seed
        self.reader = TraceReader(paths, format_name, window_s, late_mode, *generic, block_bytes, progress)
        self.classes: TraceClasses | None = None
        self.planner: RequestPlanner | None = None

    def requests(self) -> Iterator[pl.DataFrame]:
        """Yields frames of requests; after each, `planner.durations` has the work by key that its block contains."""
        frames = self.reader.frames()
        # The reader orders the next block in a thread while this one is planned.
        with ThreadPoolExecutor(1) as executor:
            pending = executor.submit(next, frames, None)
            while (ordered := pending.result()) is not None:
                pending = executor.submit(next, frames, None)
                trace_format, file_number, frame = ordered
                if self.planner is None:
                    self.classes = classes_for(trace_format.name, self.mapping)
                    self.planner = RequestPlanner(self.classes, self.seed, self.mapping)
                yield from self.planner.plan(trace_format, file_number, frame)


def _generic_format_of(path: Path, mapping: Mapping | None) -> tuple[Format, bool]:
    if mapping is None:
        raise TraceError("the format generic requires --mapping FILE with [columns]")
    _, block = next(read_blocks(path), (1, b""))
    first_line = block.split(b"\n", 1)[0].decode(errors="replace")
    return generic_format(path, mapping, first_line)


class _RequestCounts:
    """Requests by class, request rates and work, summed over the frames of a trace."""

    def __init__(self) -> None:
        self.rates = RequestRates()
        self.by_class: np.ndarray[Any, Any] = np.zeros(0, dtype=np.int64)
        self.requests = 0
        self.work_sum = 0.0
        self.work_count = 0

    def add(self, frame: pl.DataFrame, durations: list[pl.DataFrame], classes: int) -> None:
        if len(self.by_class) == 0:
            self.by_class = np.zeros(classes, dtype=np.int64)
        self.requests += frame.height
        self.rates.add(frame[DUE])
        self.by_class += np.bincount(frame[CLASS].to_numpy(), minlength=classes)
        for work in (frame[WORK], *(d[WORK] for d in durations)):
            self.work_sum += float(work.sum() or 0.0)
            self.work_count += work.len() - work.null_count()


def inspect(trace: Trace) -> dict[str, Any]:
    """Returns the report of `harecross trace inspect`. Raises TraceError for a trace that cannot be used."""
    counts = _RequestCounts()
    for frame in trace.requests():
        assert trace.classes is not None
        assert trace.planner is not None
        counts.add(frame, trace.planner.durations, len(trace.classes.names))
    tally = trace.reader.tally
    requests = counts.requests
    span_s = counts.rates.span_s if requests else 0.0
    return {
        "format": trace.reader.name,
        "tables": sorted({f.table for f in trace.reader.formats}),
        "rows_read": tally.read,
        "rows_kept": tally.kept,
        "rows_dropped": {str(cause): rows for cause, rows in sorted(tally.dropped.items())},
        "rows_reordered": tally.reordered,
        "rows_clamped": tally.clamped,
        "first_dropped": {str(cause): lines for cause, lines in sorted(tally.first_dropped.items())},
        "requests": requests,
        "span_s": round(span_s, 6),
        "mean_rps": round(requests / span_s, 3) if span_s > 0 else float(requests),
        "peak_rps": int(counts.rates.counts.max()) if requests else 0,
        "mean_work_ms": round(counts.work_sum / counts.work_count / 1000, 3) if counts.work_count else None,
        "machines": _count_machines(trace.planner),
        "classes": _class_rows(trace.classes, counts) if trace.classes else {},
    }


def _count_machines(planner: RequestPlanner | None) -> int:
    if planner is None:
        return 0
    return sum(int((frame["event"] == ADD_EVENT).sum()) for frame in planner.machines)


def _class_rows(classes: TraceClasses, counts: _RequestCounts) -> dict[str, dict[str, Any]]:
    rows = {}
    for index, (name, mapping) in enumerate(zip(classes.names, classes.mappings, strict=True)):
        requests = int(counts.by_class[index]) if len(counts.by_class) else 0
        rows[name] = {
            "requests": requests,
            "share": round(requests / counts.requests, 6) if counts.requests else 0.0,
            "effect": mapping.effect,
            "worth": mapping.worth,
            "aim_ms": mapping.aim_ms,
            "deadline_ms": mapping.deadline_ms,
        }
    return rows
