"""What a trace holds: rows by cause, requests by class, span, rates. In bounded memory, whatever its length."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import numpy as np
import polars as pl

from harecross.traces.causes import BadTrace
from harecross.traces.files import BLOCK, blocks
from harecross.traces.formats import Format
from harecross.traces.mapping import Classes, Mapping, classes_for, generic_format
from harecross.traces.plan import ADD, DUE, KLASS, WORK, Planner
from harecross.traces.reader import WINDOW, TraceReader

SECOND = 1_000_000
BINS_MOST = 40_000_000  # seconds of span for which a rate is counted: beyond a year a trace's clock is wrong


class Rates:
    """Requests by second of the trace, so that the peak is exact whatever their order."""

    def __init__(self) -> None:
        self.first: int | None = None
        self.least = self.most = 0
        self.counts = np.zeros(0, dtype=np.uint32)
        self.base = 0  # the second of counts[0]

    def add(self, due: pl.Series) -> None:
        if due.len() == 0:
            return
        array = due.to_numpy()
        low, high = int(array.min()), int(array.max())
        if self.first is None:
            self.first, self.least, self.most = low, low, high
            self.base = low // SECOND
        self.least, self.most = min(self.least, low), max(self.most, high)
        front, end = min(self.base, low // SECOND), max(self.base + len(self.counts), high // SECOND + 1)
        if end - front > BINS_MOST:
            raise BadTrace(
                f"the requests span {(end - front) / 86400:.0f} days: times that far apart cannot be one trace"
            )
        if front < self.base or end > self.base + len(self.counts):
            grown = np.zeros(max(end - front, 2 * len(self.counts)), dtype=np.uint32)
            grown[self.base - front : self.base - front + len(self.counts)] = self.counts
            self.base, self.counts = front, grown
        seconds = array // SECOND - self.base
        start = int(seconds.min())
        found = np.bincount(seconds - start)
        self.counts[start : start + len(found)] += found.astype(np.uint32)


class Trace:
    """One trace's files, ready to be read: the reader, the planner and the classes."""

    def __init__(
        self,
        paths: Sequence[Path],
        wanted: str | None = None,
        mapping: Mapping | None = None,
        window: float = WINDOW,
        late: str = "drop",
        seed: int = 1,
        block: int = BLOCK,
        progress: Callable[[int], None] | None = None,
    ) -> None:
        generic: tuple[Format | None, bool] = (None, False)
        if wanted == "generic" or (wanted is None and mapping is not None and mapping.columns is not None):
            if mapping is None:
                raise BadTrace("the format generic needs --mapping FILE with [columns]")
            number_block = next(blocks(paths[0]), (1, b""))
            generic = generic_format(
                paths[0], mapping, number_block[1].split(b"\n", 1)[0].decode(errors="replace")
            )
        self.mapping = mapping
        self.seed = seed
        self.reader = TraceReader(paths, wanted, window, late, *generic, block, progress)
        self.classes: Classes | None = None
        self.planner: Planner | None = None

    def requests(self) -> Iterator[pl.DataFrame]:
        """Frames of requests; after each, `planner.durations` holds what the block told of work by key."""
        frames = self.reader.frames()
        # The next block is put in order while this one is planned.
        with ThreadPoolExecutor(1) as ahead:
            coming = ahead.submit(next, frames, None)
            while (found := coming.result()) is not None:
                coming = ahead.submit(next, frames, None)
                f, part, frame = found
                if self.planner is None:
                    self.classes = classes_for(f.name, self.mapping)
                    self.planner = Planner(self.classes, self.seed, self.mapping)
                yield from self.planner.feed(f, part, frame)


def inspect(trace: Trace) -> dict[str, Any]:
    """The figures of `trace inspect`; BadTrace for a trace that cannot be used."""
    rates = Rates()
    counts: np.ndarray[Any, Any] = np.zeros(0, dtype=np.int64)
    requests = 0
    work_sum, work_count = 0.0, 0
    for frame in trace.requests():
        assert trace.classes is not None and trace.planner is not None
        if len(counts) == 0:
            counts = np.zeros(len(trace.classes.names), dtype=np.int64)
        requests += frame.height
        rates.add(frame[DUE])
        counts += np.bincount(frame[KLASS].to_numpy(), minlength=len(counts))
        for works in (frame[WORK], *(d[WORK] for d in trace.planner.durations)):
            work_sum += float(works.sum() or 0.0)
            work_count += works.len() - works.null_count()
    tally = trace.reader.tally
    classes = trace.classes
    machines = sum(int((m["event"] == ADD).sum()) for m in (trace.planner.machines if trace.planner else []))
    span = (rates.most - rates.least) / SECOND if requests else 0.0
    return {
        "format": trace.reader.name,
        "tables": sorted({f.table for f in trace.reader.formats}),
        "rows_read": tally.read,
        "rows_kept": tally.kept,
        "rows_dropped": {str(c): n for c, n in sorted(tally.dropped.items())},
        "rows_reordered": tally.reordered,
        "rows_clamped": tally.clamped,
        "first_dropped": {str(c): where for c, where in sorted(tally.first.items())},
        "requests": requests,
        "span_s": round(span, 6),
        "mean_rps": round(requests / span, 3) if span > 0 else float(requests),
        "peak_rps": int(rates.counts.max()) if requests else 0,
        "mean_work_ms": round(work_sum / work_count / 1000, 3) if work_count else None,
        "machines": machines,
        "classes": {
            name: {
                "requests": int(counts[i]) if len(counts) else 0,
                "share": round(int(counts[i]) / requests, 6) if requests else 0.0,
                "effect": c.effect, "worth": c.worth, "aim_ms": c.aim_ms, "deadline_ms": c.deadline_ms,
            }
            for i, (name, c) in enumerate(zip(classes.names, classes.maps, strict=True))
        } if classes else {},
    }  # fmt: skip
