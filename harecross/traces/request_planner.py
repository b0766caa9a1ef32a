"""Converts the kept rows of a trace to requests (due time, class and work) and collects its machine events.

What counts as a request depends on the format:

- google-2011: a SUBMIT event.
- alibaba-2018: each instance of a task, due at the start of the task.
- alibaba-microservices-2021: a call (traceid, rpcid), whose two records are joined.
- azure-functions-2019: each counted invocation, spread over its minute by a seeded generator.
- azure-functions-2021: a row, due at its end minus its duration.
- generic: a row, repeated as often as its `count` says if it has one.
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
)
from harecross.traces.mapping import MICROSECONDS_PER_UNIT, Mapping, TraceClasses
from harecross.traces.reader import TIME_COLUMN

SUBMIT_EVENT, SCHEDULE_EVENT, FINISH_EVENT = 0, 1, 4  # task events of google-2011
ADD_EVENT, REMOVE_EVENT = 0, 1  # machine events of google-2011
MINUTE_US = 60_000_000
DAY_US = 1440 * MINUTE_US
# Limits the memory for running tasks whose end has not been read, and for calls whose second record may follow.
MAX_OPEN_RECORDS = 2_000_000
MAX_TIERS = 3  # calls at a greater depth are assigned to the last tier
KEY_HASH_SEED = 7
# The factor of the seed in the hash seed of a minute. It is a prime, so that the hash seeds of different seeds and
# minutes do not coincide.
HASH_SEED_FACTOR = 1_000_003

DUE, CLASS, WORK, KEY = "due", "class", "work", "key"
TIER = "tier"  # present only in formats that record calls between tiers
START = "start"
REQUEST_SCHEMA: dict[str, pl.DataType] = {
    DUE: pl.Int64(),
    CLASS: pl.UInt8(),
    WORK: pl.Float64(),
    KEY: pl.UInt64(),
}
NO_KEY = pl.lit(None, dtype=pl.UInt64).alias(KEY)
NO_WORK = pl.lit(None, dtype=pl.Float64).alias(WORK)


class RequestPlanner:
    """Converts the kept rows of a trace to requests.

    The work of a request is in microseconds, and null if its row does not contain it. The work is then the mean of the
    request's key in `durations`, which a later frame may supply.

    Attributes:
        machines: Frames of machine events with the columns due, machine and event.
        running_tasks: The keys and start times of tasks whose end has not been read.
        seen_calls: The keys and times of the calls that became requests.
        durations: Frames of keys and work from the latest planned frame only.
        mean_work_us: The mean work of a function by owner, app and function.
        minutes_planned: The number of minutes with invocations planned so far, part of each minute's hash seed.
    """

    def __init__(self, classes: TraceClasses, seed: int = 1, mapping: Mapping | None = None) -> None:
        self.classes = classes
        self.seed = seed
        self.work_unit_us = MICROSECONDS_PER_UNIT[mapping.units.work] if mapping is not None else 1
        self.machines: list[pl.DataFrame] = []
        self.running_tasks = pl.DataFrame(schema={KEY: pl.UInt64(), START: pl.Int64()})
        self.seen_calls = pl.DataFrame(schema={KEY: pl.UInt64(), TIME_COLUMN: pl.Int64()})
        self.durations: list[pl.DataFrame] = []
        self.mean_work_us: dict[tuple[str, str, str], float] = {}
        self.minutes_planned = 0

    def plan(self, trace_format: Format, file_number: int, frame: pl.DataFrame) -> Iterator[pl.DataFrame]:
        """Yields frames with the requests of a frame, in no particular order.

        They have the columns of `REQUEST_SCHEMA`, and `TIER` if the format records tiers.
        """
        self.durations = []
        if trace_format.table == GOOGLE_TASKS.table:
            yield self._task_requests(frame)
        elif trace_format.table == GOOGLE_MACHINES.table:
            self.machines.append(frame.select(pl.col("time").alias(DUE), "machine", "event"))
        elif trace_format.table == ALIBABA_BATCH.table:
            yield self._instance_requests(frame)
        elif trace_format.table == MS_CALLS.table:
            yield self._call_requests(trace_format, frame)
        elif trace_format.table == AZURE_2019_DURATIONS.table:
            for *function, average_ms in frame.select("owner", "app", "function", "average").iter_rows():
                self.mean_work_us[function[0], function[1], function[2]] = average_ms * 1000
        elif trace_format.minutes and trace_format.name == AZURE_2019.name:
            yield from self._minute_requests(trace_format, file_number, frame)
        elif trace_format.name == AZURE_2021.name:
            yield self._invocation_requests(trace_format, frame)
        else:
            yield self._generic_requests(frame)

    def _class_index(self, column: str) -> pl.Expr:
        """Returns the index of the class named in a column, or of the last class for an unknown name."""
        names = [name.lower() for name in self.classes.names]
        indices = list(range(len(names)))
        lower_case = pl.col(column).str.to_lowercase()
        return lower_case.replace_strict(names, indices, default=len(names) - 1).cast(pl.UInt8)

    def _task_requests(self, frame: pl.DataFrame) -> pl.DataFrame:
        keyed = frame.with_columns(pl.struct("job", "task").hash(KEY_HASH_SEED).alias(KEY))
        keyed = keyed.filter(pl.col(TIME_COLUMN).is_not_null())
        started = keyed.filter(pl.col("event") == SCHEDULE_EVENT).select(
            KEY, pl.col(TIME_COLUMN).alias(START)
        )
        ended = keyed.filter(pl.col("event") == FINISH_EVENT).select(KEY, TIME_COLUMN)
        running = pl.concat([self.running_tasks, started])
        spans = ended.join(running.unique(KEY, keep="last"), on=KEY)
        spans = spans.filter(pl.col(TIME_COLUMN) >= pl.col(START))
        duration = (pl.col(TIME_COLUMN) - pl.col(START)).cast(pl.Float64)
        self.durations.append(spans.select(KEY, duration.alias(WORK)))
        self.running_tasks = running.join(ended, on=KEY, how="anti").tail(MAX_OPEN_RECORDS)
        submitted = keyed.filter(pl.col("event") == SUBMIT_EVENT)
        return submitted.select(
            pl.col(TIME_COLUMN).alias(DUE),
            pl.col("request_class").cast(pl.UInt8).alias(CLASS),
            NO_WORK,
            KEY,
        )

    @staticmethod
    def _instance_requests(frame: pl.DataFrame) -> pl.DataFrame:
        # A waiting task has not started, so its row is kept but produces no request.
        started = frame.filter(pl.col("status").str.to_lowercase() != "waiting")
        work = pl.when(pl.col("end") > 0).then((pl.col("end") - pl.col("time")) * 1e6)
        requests = started.select(
            pl.col(TIME_COLUMN).alias(DUE).repeat_by("instances"),
            pl.lit(0, dtype=pl.UInt8).alias(CLASS),
            work.cast(pl.Float64).alias(WORK),
            NO_KEY,
        )
        return requests.explode(DUE).drop_nulls(DUE)

    def _call_requests(self, trace_format: Format, frame: pl.DataFrame) -> pl.DataFrame:
        keyed = frame.with_columns(pl.struct("trace", "rpc").hash(KEY_HASH_SEED).alias(KEY))
        first = keyed.unique(KEY, keep="first", maintain_order=True)
        first = first.join(self.seen_calls, on=KEY, how="anti")
        self.seen_calls = pl.concat([self.seen_calls, first.select(KEY, TIME_COLUMN)]).tail(MAX_OPEN_RECORDS)
        # The callee's record (a negative rt) is closer to the work than the caller's, which includes network time.
        spans = keyed.group_by(KEY).agg(pl.col("rt").min().alias("least"), pl.col("rt").max().alias("most"))
        duration = pl.when(pl.col("least") < 0).then(-pl.col("least")).otherwise(pl.col("most"))
        self.durations.append(spans.select(KEY, (duration * trace_format.time_unit_us).alias(WORK)))
        # The rpcid "0" is a call of a client, "0.1" a call that the server of "0" makes, and so on.
        depth = pl.col("rpc").str.count_matches(".", literal=True)
        return first.select(
            pl.col(TIME_COLUMN).alias(DUE),
            self._class_index("rpctype").alias(CLASS),
            NO_WORK,
            KEY,
            depth.clip(0, MAX_TIERS - 1).cast(pl.UInt8).alias(TIER),
        )

    def _minute_requests(
        self, trace_format: Format, file_number: int, frame: pl.DataFrame
    ) -> Iterator[pl.DataFrame]:
        functions = frame.select("owner", "app", "function").iter_rows()
        work = [self.mean_work_us.get((owner, app, function)) for owner, app, function in functions]
        rows = frame.with_columns(
            self._class_index("trigger").alias(CLASS), pl.Series(WORK, work, dtype=pl.Float64)
        )
        for minute in trace_format.minutes:
            counts = rows.select(pl.col(f"m{minute}").alias("n"), CLASS, WORK).filter(pl.col("n") > 0)
            total = int(counts["n"].sum())
            if not total:
                continue
            self.minutes_planned += 1
            due = self._spread_over_minute(file_number * DAY_US + (minute - 1) * MINUTE_US, total)
            invocations = counts.select(pl.col(CLASS).repeat_by("n"), pl.col(WORK).repeat_by("n"))
            invocations = invocations.explode(CLASS, WORK)
            invocations = invocations.sample(
                fraction=1.0, shuffle=True, seed=self.seed + self.minutes_planned
            )
            yield invocations.select(due.alias(DUE), CLASS, WORK, NO_KEY)

    def _spread_over_minute(self, start_us: int, total: int) -> pl.Series:
        """Returns `total` times in the minute from `start_us`: one at a seeded offset in each of equal steps."""
        index = pl.int_range(0, total, eager=True)
        hashed = index.hash(self.seed * HASH_SEED_FACTOR + self.minutes_planned)
        offset = (hashed % 1_000_000).cast(pl.Float64) / 1e6
        step_us = MINUTE_US / total
        due = start_us + (index.cast(pl.Float64) + offset) * step_us
        return due.cast(pl.Int64).clip(start_us, start_us + MINUTE_US - 1)

    @staticmethod
    def _invocation_requests(trace_format: Format, frame: pl.DataFrame) -> pl.DataFrame:
        # Rows are ordered by the end of the invocation, and the request was due before that.
        work = pl.col("duration") * trace_format.time_unit_us
        return frame.select(
            (pl.col(TIME_COLUMN) - work.cast(pl.Int64)).alias(DUE),
            pl.lit(0, dtype=pl.UInt8).alias(CLASS),
            work.alias(WORK),
            NO_KEY,
        )

    def _generic_requests(self, frame: pl.DataFrame) -> pl.DataFrame:
        columns = frame.columns
        request_class = self._class_index("request_class") if "request_class" in columns else pl.lit(0)
        work = pl.col("work") * self.work_unit_us if "work" in columns else pl.lit(None)
        requests = frame.select(
            pl.col(TIME_COLUMN).alias(DUE),
            request_class.cast(pl.UInt8).alias(CLASS),
            work.cast(pl.Float64).alias(WORK),
            NO_KEY,
            *([pl.col("count")] if "count" in columns else []),
        )
        if "count" not in columns:
            return requests
        repeated = requests.with_columns(pl.col(DUE).repeat_by("count"))
        return repeated.explode(DUE).drop_nulls(DUE).drop("count")
