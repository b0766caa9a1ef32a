"""The supported formats of public traces: the columns that are read, and how the format of a file is recognised.

The formats follow the format and schema document of Google ClusterData2011_2, the READMEs of Alibaba clusterdata v2018
and microservices-2021, and the Azure public dataset (functions 2019 and 2021).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from harecross.traces.row_tally import TraceError

INTEGER, FLOAT, TEXT = "int", "float", "text"
NUMBER_PATTERN = re.compile(r"\s*[+-]?(\d+\.?\d*([eE][+-]?\d+)?|\.\d+)\s*")
RPC_ID_PATTERN = re.compile(r"\d+(\.\d+)*")
# The google-2011 time of an event after the end of the trace; a time of 0 means an event before its start.
AFTER_TRACE_TIME = (1 << 63) - 1
MACHINE_EVENTS = ("0", "1", "2")  # the google-2011 machine events ADD, REMOVE and UPDATE
MINUTES_PER_DAY = 1440
FIRST_MINUTE_POSITION = 4  # the position of the column of minute 1 in azure-functions-2019


@dataclass(frozen=True, slots=True)
class Column:
    """A column that is read.

    Attributes:
        name: The column's name in the frames that the reader yields.
        position: The column's position in a row, counted from 0.
        kind: The type of the cells: `INTEGER`, `FLOAT` or `TEXT`.
    """

    name: str
    position: int
    kind: str = INTEGER


@dataclass(frozen=True, slots=True)
class Format:
    """The format of one table of a trace.

    Attributes:
        name: The name of the trace's format, as reports show it.
        table: The name of the table; a trace can have more than one.
        columns: The columns that are read. Each must have a value in every row.
        width: The number of columns in a row.
        time_unit_us: The file's unit of time in microseconds.
        time_column: The name of the column by which rows are ordered; empty if rows have no time.
        header: The column names in the header line of such files; empty if they have none.
        aliases: The header name of each of `columns`, in the same order.
        drop_duplicates: Whether a row that is identical to an earlier one is dropped.
        minutes: The minutes whose invocation counts a row holds (azure-functions-2019 only).
    """

    name: str
    table: str
    columns: tuple[Column, ...]
    width: int
    time_unit_us: int = 1
    time_column: str = "time"
    header: tuple[str, ...] = ()
    aliases: tuple[str, ...] = ()
    drop_duplicates: bool = True
    minutes: tuple[int, ...] = ()


GOOGLE_TASKS = Format(
    "google-2011",
    "task_events",
    (
        Column("time", 0),
        Column("job", 2),
        Column("task", 3),
        Column("event", 5),
        Column("request_class", 7),
    ),
    13,
)
GOOGLE_MACHINES = Format(
    "google-2011", "machine_events", (Column("time", 0), Column("machine", 1), Column("event", 2)), 6
)
ALIBABA_BATCH = Format(
    "alibaba-2018",
    "batch_task",
    (
        Column("instances", 1),
        Column("status", 4, TEXT),
        Column("time", 5),
        Column("end", 6),
    ),
    9,
    time_unit_us=1_000_000,
    header=(
        "task_name", "instance_num", "job_name", "task_type", "status",
        "start_time", "end_time", "plan_cpu", "plan_mem",
    ),
    aliases=("instance_num", "status", "start_time", "end_time"),
)  # fmt: skip
MS_CALLS = Format(
    "alibaba-microservices-2021",
    "MSCallGraph",
    (
        Column("time", 0),
        Column("trace", 1, TEXT),
        Column("rpc", 2, TEXT),
        Column("rpctype", 4, TEXT),
        Column("rt", 7, FLOAT),
    ),
    8,
    time_unit_us=1_000,
    header=("timestamp", "traceid", "rpcid", "um", "rpctype", "dm", "interface", "rt"),
    aliases=("timestamp", "traceid", "rpcid", "rpctype", "rt"),
)
AZURE_2019 = Format(
    "azure-functions-2019",
    "invocations",
    (
        Column("owner", 0, TEXT),
        Column("app", 1, TEXT),
        Column("function", 2, TEXT),
        Column("trigger", 3, TEXT),
    ),
    FIRST_MINUTE_POSITION + MINUTES_PER_DAY,
    time_column="",
    header=("hashowner", "hashapp", "hashfunction", "trigger"),
    aliases=("hashowner", "hashapp", "hashfunction", "trigger"),
    minutes=tuple(range(1, MINUTES_PER_DAY + 1)),
)
AZURE_2019_DURATIONS = Format(
    "azure-functions-2019",
    "durations",
    (
        Column("owner", 0, TEXT),
        Column("app", 1, TEXT),
        Column("function", 2, TEXT),
        Column("average", 3, FLOAT),
        Column("count", 4),
    ),
    5,
    time_column="",
    header=("hashowner", "hashapp", "hashfunction", "average", "count"),
    aliases=("hashowner", "hashapp", "hashfunction", "average", "count"),
)
AZURE_2021 = Format(
    "azure-functions-2021",
    "invocations",
    (Column("app", 0, TEXT), Column("time", 2, FLOAT), Column("duration", 3, FLOAT)),
    4,
    time_unit_us=1_000_000,
    header=("app", "func", "end_timestamp", "duration"),
    aliases=("app", "end_timestamp", "duration"),
)
# Files of MSCallGraph often have an unnamed index column before the documented ones.
MS_CALLS_INDEXED = replace(
    MS_CALLS,
    columns=tuple(replace(column, position=column.position + 1) for column in MS_CALLS.columns),
    width=9,
    header=(),
)
FORMATS = (
    GOOGLE_TASKS, GOOGLE_MACHINES, ALIBABA_BATCH, MS_CALLS, MS_CALLS_INDEXED, AZURE_2019_DURATIONS,
    AZURE_2019, AZURE_2021,
)  # fmt: skip
FORMAT_NAMES = (*dict.fromkeys(trace_format.name for trace_format in FORMATS), "generic")


def split_cells(line: str) -> list[str]:
    """Returns the cells of a line, stripped of surrounding whitespace and quotes."""
    return [cell.strip().strip('"') for cell in line.split(",")]


def format_from_header(trace_format: Format, cells: list[str]) -> Format | None:
    """Returns the format with the column positions of a header line, or None if `cells` is not a header of the format.

    Raises TraceError if the header has most of the format's names but lacks a required column.
    """
    names = [cell.lower() for cell in cells]
    if not _is_header_of(trace_format, names):
        return None
    missing = [alias for alias in trace_format.aliases if alias not in names]
    if missing:
        raise TraceError(
            f"{trace_format.name} {trace_format.table}: the header lacks the column {', '.join(missing)}"
        )
    columns = tuple(
        replace(column, position=names.index(alias))
        for column, alias in zip(trace_format.columns, trace_format.aliases, strict=True)
    )
    minute_columns = _minute_columns(trace_format, names)
    return replace(
        trace_format,
        columns=columns + minute_columns,
        width=len(cells),
        minutes=tuple(int(column.name[1:]) for column in minute_columns),
    )


def _is_header_of(trace_format: Format, names: list[str]) -> bool:
    """Returns whether `names` contains more than half of the format's header names."""
    header = trace_format.header
    if not header or sum(name in names for name in header) * 2 <= len(header):
        return False
    if trace_format.name == AZURE_2019.name:
        # The headers of both azure-functions-2019 tables start with the same names; only durations have `average`.
        return (trace_format.table == AZURE_2019_DURATIONS.table) == ("average" in names)
    return True


def _minute_columns(trace_format: Format, names: list[str]) -> tuple[Column, ...]:
    """Returns the per-minute count columns in a header; an empty tuple for a format without such columns."""
    if not trace_format.minutes:
        return ()
    columns = tuple(
        Column(f"m{int(name)}", position)
        for position, name in enumerate(names)
        if name.isdecimal() and 1 <= int(name) <= MINUTES_PER_DAY
    )
    if not columns:
        raise TraceError(
            f"{trace_format.name} {trace_format.table}: the header has no minute column (1 to {MINUTES_PER_DAY})"
        )
    return columns


def is_integer(cell: str) -> bool:
    """Returns whether a cell holds an integer."""
    return cell.strip().lstrip("-").isdecimal()


def count_matching_rows(trace_format: Format, rows: list[list[str]]) -> int:
    """Returns how many of the rows have the format's width and valid cells at its column positions."""
    return sum(len(cells) == trace_format.width and _matches(trace_format, cells) for cells in rows)


def _matches(trace_format: Format, cells: list[str]) -> bool:
    for column in trace_format.columns:
        cell = cells[column.position]
        if column.kind == INTEGER and not is_integer(cell):
            return False
        if column.kind == FLOAT and NUMBER_PATTERN.fullmatch(cell) is None:
            return False
    if trace_format.table == GOOGLE_MACHINES.table:
        return cells[2] in MACHINE_EVENTS
    if trace_format.table == MS_CALLS.table:
        trace, rpc = (cells[column.position] for column in trace_format.columns[1:3])
        return RPC_ID_PATTERN.fullmatch(rpc) is not None and not is_integer(trace)
    return True


def with_minute_columns(trace_format: Format) -> Format:
    """Returns the format for a file without a header, with the minute columns at their documented positions."""
    minute_columns = tuple(
        Column(f"m{minute}", FIRST_MINUTE_POSITION - 1 + minute) for minute in trace_format.minutes
    )
    return replace(trace_format, columns=trace_format.columns + minute_columns)


def recognise_format(name: str, sample: list[str], format_name: str | None = None) -> tuple[Format, bool]:
    """Returns the format of the file `name`, and whether its first line is a header.

    `sample` is the first lines of the file. Names in a header take precedence over column positions. `format_name`
    limits the search to that format. Raises TraceError if no format matches.
    """
    candidates = [candidate for candidate in FORMATS if format_name in (None, candidate.name)]
    if not candidates:
        raise TraceError(f"{name}: unknown format {format_name!r} (allowed: {', '.join(FORMAT_NAMES)})")
    rows = [split_cells(text) for text in sample if text.strip()]
    if not rows:
        raise TraceError(f"{name}: the file has no row")
    try:
        for candidate in candidates:
            found = format_from_header(candidate, rows[0])
            if found is not None:
                return found, True
    except TraceError as error:
        raise TraceError(f"{name}: {error}") from None
    # The format that most rows match is chosen, so that malformed rows at the start do not prevent recognition.
    best = max(candidates, key=lambda candidate: count_matching_rows(candidate, rows))
    if count_matching_rows(best, rows) > 0:
        return with_minute_columns(best), False
    problem = f"do not match {format_name}" if format_name else "match no known format"
    allowed = ", ".join(FORMAT_NAMES)
    raise TraceError(f"{name}: the columns {problem} (choose a format with --format: {allowed})")
