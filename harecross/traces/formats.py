"""The formats of public traces: the columns that are read, and how a file is recognised.

Sources: Google ClusterData2011_2 (format and schema document), Alibaba clusterdata v2018 and
microservices-2021 (their READMEs), Azure public dataset (functions 2019 and 2021).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from harecross.traces.row_tally import TraceError

INTEGER, FLOAT, TEXT = "int", "float", "text"
NUMBER_PATTERN = re.compile(r"\s*[+-]?(\d+\.?\d*([eE][+-]?\d+)?|\.\d+)\s*")
RPC_ID_PATTERN = re.compile(r"\d+(\.\d+)*")
AFTER_TRACE_TIME = (1 << 63) - 1  # google-2011: the event lies after the trace; 0 means before it
MACHINE_EVENTS = ("0", "1", "2")  # of google-2011
MINUTES_PER_DAY = 1440
FIRST_MINUTE_AT = 4  # the position of minute 1 in azure-functions-2019


@dataclass(frozen=True, slots=True)
class Column:
    """A column that is read. `at` is its position, from 0, in a file without a header; `kind` the type of its cells."""

    name: str
    at: int
    kind: str = INTEGER


@dataclass(frozen=True, slots=True)
class Format:
    """One kind of file. Every column in `columns` must hold a value in each row."""

    name: str  # as reports name it
    table: str
    columns: tuple[Column, ...]
    width: int  # columns of a row
    unit: int = 1  # microseconds in the file's unit of time
    time: str = "time"  # the column that rows are ordered by; empty where there is none
    header: tuple[str, ...] = ()  # names of the columns, where such files come with a header
    aliases: tuple[str, ...] = ()  # other names for `columns`, by position in it
    duplicates: bool = True  # a row that is the same to the letter is dropped
    minutes: tuple[int, ...] = ()  # azure-functions-2019: the minutes whose counts the row holds


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
    unit=1_000_000,
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
    unit=1_000,
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
    FIRST_MINUTE_AT + MINUTES_PER_DAY,
    time="",
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
    time="",
    header=("hashowner", "hashapp", "hashfunction", "average", "count"),
    aliases=("hashowner", "hashapp", "hashfunction", "average", "count"),
)
AZURE_2021 = Format(
    "azure-functions-2021",
    "invocations",
    (Column("app", 0, TEXT), Column("time", 2, FLOAT), Column("duration", 3, FLOAT)),
    4,
    unit=1_000_000,
    header=("app", "func", "end_timestamp", "duration"),
    aliases=("app", "end_timestamp", "duration"),
)
# It often has an unnamed index column before its own.
MS_CALLS_INDEXED = replace(
    MS_CALLS, columns=tuple(replace(c, at=c.at + 1) for c in MS_CALLS.columns), width=9, header=()
)
FORMATS = (
    GOOGLE_TASKS, GOOGLE_MACHINES, ALIBABA_BATCH, MS_CALLS, MS_CALLS_INDEXED, AZURE_2019_DURATIONS,
    AZURE_2019, AZURE_2021,
)  # fmt: skip
FORMAT_NAMES = (*dict.fromkeys(trace_format.name for trace_format in FORMATS), "generic")


def split_cells(line: str) -> list[str]:
    """Returns the cells of a line without white space and quotes around them."""
    return [cell.strip().strip('"') for cell in line.split(",")]


def format_from_header(trace_format: Format, cells: list[str]) -> Format | None:
    """Returns the format with its positions as a header gives them; None if it is not this format's header.

    Raises TraceError for a column that the header lacks, where most of the others are there.
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
        replace(column, at=names.index(alias))
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
    """Returns whether most of the format's header names are there."""
    header = trace_format.header
    if not header or sum(name in names for name in header) * 2 <= len(header):
        return False
    if trace_format.name == AZURE_2019.name:
        # The two tables of azure-functions-2019 begin alike.
        return (trace_format.table == AZURE_2019_DURATIONS.table) == ("average" in names)
    return True


def _minute_columns(trace_format: Format, names: list[str]) -> tuple[Column, ...]:
    """Returns the columns of minutes that a header names; none for a format without them."""
    if not trace_format.minutes:
        return ()
    columns = tuple(
        Column(f"m{int(name)}", at)
        for at, name in enumerate(names)
        if name.isdecimal() and 1 <= int(name) <= MINUTES_PER_DAY
    )
    if not columns:
        raise TraceError(
            f"{trace_format.name} {trace_format.table}: the header names no minute (1 to {MINUTES_PER_DAY})"
        )
    return columns


def is_integer(cell: str) -> bool:
    """Returns whether a cell holds an integer."""
    return cell.strip().lstrip("-").isdecimal()


def count_fitting_rows(trace_format: Format, rows: list[list[str]]) -> int:
    """Returns how many of a file's first rows can be rows of the format, by position."""
    return sum(len(cells) == trace_format.width and _fits(trace_format, cells) for cells in rows)


def _fits(trace_format: Format, cells: list[str]) -> bool:
    for column in trace_format.columns:
        cell = cells[column.at]
        if column.kind == INTEGER and not is_integer(cell):
            return False
        if column.kind == FLOAT and NUMBER_PATTERN.fullmatch(cell) is None:
            return False
    if trace_format.table == GOOGLE_MACHINES.table:
        return cells[2] in MACHINE_EVENTS
    if trace_format.table == MS_CALLS.table:
        trace, rpc = (cells[column.at] for column in trace_format.columns[1:3])
        return RPC_ID_PATTERN.fullmatch(rpc) is not None and not is_integer(trace)
    return True


def with_minute_columns(trace_format: Format) -> Format:
    """Returns the format for a file without a header: minutes stand where the format's document has them."""
    minute_columns = tuple(
        Column(f"m{minute}", FIRST_MINUTE_AT - 1 + minute) for minute in trace_format.minutes
    )
    return replace(trace_format, columns=trace_format.columns + minute_columns)


def recognise_format(name: str, sample: list[str], wanted: str | None = None) -> tuple[Format, bool]:
    """Returns the format of a file by its first lines, and whether the first of them is a header.

    A header's names take precedence over positions. Raises TraceError if the format cannot be recognised, or is not the
    one wanted.
    """
    candidates = [candidate for candidate in FORMATS if wanted in (None, candidate.name)]
    if not candidates:
        raise TraceError(f"{name}: no format {wanted!r} (allowed: {', '.join(FORMAT_NAMES)})")
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
    # The format that fits most rows: bad ones among the first must not hide what a file is.
    best = max(candidates, key=lambda candidate: count_fitting_rows(candidate, rows))
    if count_fitting_rows(best, rows) > 0:
        return with_minute_columns(best), False
    problem = f"is not {wanted}" if wanted else "cannot be told"
    allowed = ", ".join(FORMAT_NAMES)
    raise TraceError(f"{name}: the format {problem} from its columns (name one with --format: {allowed})")
