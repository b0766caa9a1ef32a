"""From kept rows to a plan: requests (when due, class, work) and machines that come and go.

What one request is: google-2011 a SUBMIT; alibaba-2018 each instance of a task at its start; MSCallGraph a
call (traceid, rpcid), its two records joined; azure-2019 each counted invocation, spread over its minute from
a seed; azure-2021 a row, at end minus duration; generic a row, or `count` of them.
"""

from __future__ import annotations

from collections.abc import Iterator

import polars as pl

from harecross.traces.formats import (
    ALIBABA_BATCH,
    AZURE_2019,
    AZURE_2019_DURATIONS,
    AZURE_2021,
    GOOGLE_MACHINES,
    GOOGLE_TASKS,
    MS_CALLS,
    Format,
)  # fmt: skip
from harecross.traces.mapping import UNITS, Classes, Mapping
from harecross.traces.reader import AT

SUBMIT, SCHEDULE, FINISH = 0, 1, 4
MINUTE = 60_000_000
DAY = 1440 * MINUTE
OPEN_MOST = 2_000_000  # tasks and calls remembered while their other record has not come
DUE, KLASS, WORK, KEY = "due", "klass", "work", "key"
TIER = "tier"  # of a call, in formats that tell calls between tiers
TIERS_MOST = 3
REQUESTS: dict[str, pl.DataType] = {
    DUE: pl.Int64(), KLASS: pl.UInt8(), WORK: pl.Float64(), KEY: pl.UInt64(),
}  # fmt: skip
ADD, REMOVE = 0, 1


class Planner:
    """Fed with the kept frames of a trace, yields its requests; `machines` gathers the events of machines.

    Work is in microseconds, null where the trace does not tell; `durations` then tells it by key, later.
    """

    def __init__(self, classes: Classes, seed: int = 1, mapping: Mapping | None = None) -> None:
        self.classes = classes
        self.seed = seed
        self.work_unit = UNITS[mapping.units.work] if mapping is not None else 1
        self.machines: list[pl.DataFrame] = []  # due, machine, event
        self.open = pl.DataFrame(schema={KEY: pl.UInt64(), "start": pl.Int64()})
        self.calls = pl.DataFrame(schema={KEY: pl.UInt64(), AT: pl.Int64()})
        self.durations: list[pl.DataFrame] = []  # key, work; of the latest block only
        self.averages: dict[tuple[str, str, str], float] = {}
        self.filed = 0

    def feed(self, f: Format, part: int, frame: pl.DataFrame) -> Iterator[pl.DataFrame]:
        """The requests that a frame makes, as frames of REQUESTS in no order."""
        self.durations = []
        if f.table == GOOGLE_TASKS.table:
            yield self.tasks(frame)
        elif f.table == GOOGLE_MACHINES.table:
            self.machines.append(frame.select(pl.col("time").alias(DUE), "machine", "event"))
        elif f.table == ALIBABA_BATCH.table:
            yield self.instances(frame)
        elif f.table == MS_CALLS.table:
            yield self.call_graph(f, frame)
        elif f.table == AZURE_2019_DURATIONS.table:
            for row in frame.select("owner", "app", "function", "average").iter_rows():
                self.averages[row[:3]] = row[3] * 1000
        elif f.minutes and f.name == AZURE_2019.name:
            yield from self.minutes(f, part, frame)
        elif f.name == AZURE_2021.name:
            # The row's time is its end; order was judged by that, the request arrived before.
            yield frame.select(
                (pl.col(AT) - (pl.col("duration") * f.unit).cast(pl.Int64)).alias(DUE),
                pl.lit(0, dtype=pl.UInt8).alias(KLASS),
                (pl.col("duration") * f.unit).alias(WORK),
                pl.lit(None, dtype=pl.UInt64).alias(KEY),
            )
        else:
            yield self.rows(frame)

    def number(self, column: str) -> pl.Expr:
        """The position of the class that a column of names tells; the last for others."""
        names = list(self.classes.names)
        return (
            pl.col(column)
            .str.to_lowercase()
            .replace_strict([n.lower() for n in names], list(range(len(names))), default=len(names) - 1)
            .cast(pl.UInt8)
        )

    def tasks(self, frame: pl.DataFrame) -> pl.DataFrame:
        keyed = frame.with_columns(pl.struct("job", "task").hash(7).alias(KEY))
        begun = keyed.filter((pl.col("event") == SCHEDULE) & pl.col(AT).is_not_null())
        begun = begun.select(KEY, pl.col(AT).alias("start"))
        ended = keyed.filter((pl.col("event") == FINISH) & pl.col(AT).is_not_null()).select(KEY, AT)
        known = pl.concat([self.open, begun])
        spans = ended.join(known.unique(KEY, keep="last"), on=KEY).filter(pl.col(AT) >= pl.col("start"))
        self.durations.append(spans.select(KEY, (pl.col(AT) - pl.col("start")).cast(pl.Float64).alias(WORK)))
        self.open = known.join(ended, on=KEY, how="anti").tail(OPEN_MOST)
        asked = keyed.filter((pl.col("event") == SUBMIT) & pl.col(AT).is_not_null())
        return asked.select(
            pl.col(AT).alias(DUE),
            pl.col("klass").cast(pl.UInt8).alias(KLASS),
            pl.lit(None, dtype=pl.Float64).alias(WORK),
            KEY,
        )

    def instances(self, frame: pl.DataFrame) -> pl.DataFrame:
        # A task that waits has not started: its row is kept and makes no request.
        started = frame.filter(pl.col("status").str.to_lowercase() != "waiting")
        took = pl.when(pl.col("end") > 0).then((pl.col("end") - pl.col("time")) * 1e6)
        return started.select(
            pl.col(AT).alias(DUE).repeat_by("instances"),
            pl.lit(0, dtype=pl.UInt8).alias(KLASS),
            took.cast(pl.Float64).alias(WORK),
            pl.lit(None, dtype=pl.UInt64).alias(KEY),
        ).explode(DUE).drop_nulls(DUE)  # fmt: skip

    def call_graph(self, f: Format, frame: pl.DataFrame) -> pl.DataFrame:
        keyed = frame.with_columns(pl.struct("trace", "rpc").hash(7).alias(KEY))
        first = keyed.unique(KEY, keep="first", maintain_order=True).join(self.calls, on=KEY, how="anti")
        self.calls = pl.concat([self.calls, first.select(KEY, AT)]).tail(OPEN_MOST)
        # The callee's own record (a negative rt) tells the work better than the caller's, which holds the way.
        spans = keyed.group_by(KEY).agg(pl.col("rt").min().alias("least"), pl.col("rt").max().alias("most"))
        took = pl.when(pl.col("least") < 0).then(-pl.col("least")).otherwise(pl.col("most"))
        self.durations.append(spans.select(KEY, (took * f.unit).alias(WORK)))
        return first.select(
            pl.col(AT).alias(DUE), self.number("rpctype").alias(KLASS),
            pl.lit(None, dtype=pl.Float64).alias(WORK), KEY,
            # "0" is a client's call, "0.1" one that its server makes, and so on down.
            pl.col("rpc").str.count_matches(".", literal=True).clip(0, TIERS_MOST - 1).cast(pl.UInt8).alias(TIER),
        )  # fmt: skip

    def minutes(self, f: Format, part: int, frame: pl.DataFrame) -> Iterator[pl.DataFrame]:
        work = [self.averages.get(k) for k in frame.select("owner", "app", "function").iter_rows()]
        slim = frame.with_columns(
            self.number("trigger").alias(KLASS), pl.Series(WORK, work, dtype=pl.Float64)
        )
        for minute in f.minutes:
            counts = slim.select(pl.col(f"m{minute}").alias("n"), KLASS, WORK).filter(pl.col("n") > 0)
            total = int(counts["n"].sum())
            if not total:
                continue
            start = part * DAY + (minute - 1) * MINUTE
            due = pl.int_range(0, total, eager=True)
            # Spread over the minute: an even step and, within it, a draw of the seed's.
            self.filed += 1
            step = MINUTE / total
            draw = (due.hash(self.seed * 1_000_003 + self.filed) % 1_000_000).cast(pl.Float64) / 1e6
            at = (
                (start + ((due.cast(pl.Float64) + draw) * step))
                .cast(pl.Int64)
                .clip(start, start + MINUTE - 1)
            )
            each = counts.select(
                pl.col(KLASS).repeat_by("n"), pl.col(WORK).repeat_by("n"),
            ).explode(KLASS, WORK)  # fmt: skip
            each = each.sample(fraction=1.0, shuffle=True, seed=self.seed + self.filed)
            yield each.select(at.alias(DUE), KLASS, WORK, pl.lit(None, dtype=pl.UInt64).alias(KEY))

    def rows(self, frame: pl.DataFrame) -> pl.DataFrame:
        have = frame.columns
        klass = self.number("klass") if "klass" in have else pl.lit(0, dtype=pl.UInt8)
        work = pl.col("work") * self.work_unit if "work" in have else pl.lit(None, dtype=pl.Float64)
        made = frame.select(
            pl.col(AT).alias(DUE), klass.alias(KLASS), work.cast(pl.Float64).alias(WORK),
            pl.lit(None, dtype=pl.UInt64).alias(KEY),
            *([pl.col("count")] if "count" in have else []),
        )  # fmt: skip
        if "count" not in have:
            return made
        return made.with_columns(pl.col(DUE).repeat_by("count")).explode(DUE).drop_nulls(DUE).drop("count")
