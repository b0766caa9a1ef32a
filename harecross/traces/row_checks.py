"""Checks on the values of rows whose cells could be parsed."""

from __future__ import annotations

from typing import NamedTuple

import polars as pl

from harecross.traces.formats import (
    ALIBABA_BATCH,
    AZURE_2019_DURATIONS,
    AZURE_2021,
    GOOGLE_MACHINES,
    GOOGLE_TASKS,
    MS_CALLS,
    Format,
)
from harecross.traces.row_tally import DropCause

# The highest valid values of the columns in google-2011.
MAX_TASK_EVENT, MAX_MACHINE_EVENT, MAX_SCHEDULING_CLASS = 8, 2, 3


class RowCheck(NamedTuple):
    """A check on a row: the cause for which a failing row is dropped, and an expression that is true if it fails."""

    cause: DropCause
    fails: pl.Expr


def row_checks(trace_format: Format) -> list[RowCheck]:
    """Returns the checks of a format in the order in which they apply."""
    column = pl.col
    negative_time = RowCheck(DropCause.NEGATIVE_TIME, column("time") < 0)
    if trace_format.table == GOOGLE_TASKS.table:
        known = column("event").is_between(0, MAX_TASK_EVENT)
        known &= column("request_class").is_between(0, MAX_SCHEDULING_CLASS)
        return [negative_time, RowCheck(DropCause.UNKNOWN, ~known)]
    if trace_format.table == GOOGLE_MACHINES.table:
        return [
            negative_time,
            RowCheck(DropCause.UNKNOWN, ~column("event").is_between(0, MAX_MACHINE_EVENT)),
        ]
    if trace_format.table == ALIBABA_BATCH.table:
        # An end time of 0 marks a task that has not ended.
        ends_early = (column("end") < column("time")) & (column("end") != 0)
        return [
            negative_time,
            RowCheck(DropCause.NEGATIVE_DURATION, ends_early),
            RowCheck(DropCause.UNKNOWN, column("instances") < 0),
        ]
    if trace_format.table == MS_CALLS.table:
        return [negative_time]
    if trace_format.table == AZURE_2019_DURATIONS.table:
        return [
            RowCheck(DropCause.NEGATIVE_DURATION, column("average") < 0),
            RowCheck(DropCause.UNKNOWN, column("count") < 0),
        ]
    if trace_format.minutes:
        negative_count = pl.any_horizontal([column(f"m{m}") < 0 for m in trace_format.minutes])
        return [RowCheck(DropCause.UNKNOWN, negative_count)]
    if trace_format.name == AZURE_2021.name:
        return [negative_time, RowCheck(DropCause.NEGATIVE_DURATION, column("duration") < 0)]
    return [negative_time, *_generic_checks(trace_format)]


def _generic_checks(trace_format: Format) -> list[RowCheck]:
    names = {column.name for column in trace_format.columns}
    checks = []
    if "work" in names:
        checks.append(RowCheck(DropCause.NEGATIVE_DURATION, pl.col("work") < 0))
    if "count" in names:
        checks.append(RowCheck(DropCause.UNKNOWN, pl.col("count") < 0))
    return checks
