"""The formats: which columns a row has, which must be there, and how a file is recognised.

Sources: Google ClusterData2011_2 (format and schema document), Alibaba clusterdata v2018 and
microservices-2021 (their READMEs), Azure public dataset (functions 2019 and 2021).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, replace

from harecross.traces.causes import BadTrace

INT, FLOAT, TEXT = "int", "float", "text"
NUMBER = re.compile(r"\s*[+-]?(\d+\.?\d*([eE][+-]?\d+)?|\.\d+)\s*")
AFTER_TRACE = (1 << 63) - 1  # google-2011: the event lies after the trace; 0 means before it


@dataclass(frozen=True, slots=True)
class Column:
    """A column that is read. `at` is its position, from 0, in a file without a header."""

    name: str
    at: int
    kind: str = INT


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
        Column("klass", 7),
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
    4 + 1440,
    time="",
    header=("hashowner", "hashapp", "hashfunction", "trigger"),
    aliases=("hashowner", "hashapp", "hashfunction", "trigger"),
    minutes=tuple(range(1, 1441)),
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
NAMES = (*dict.fromkeys(f.name for f in FORMATS), "generic")


def cells_of(line: str) -> list[str]:
    return [cell.strip().strip('"') for cell in line.split(",")]


def with_header(f: Format, cells: list[str]) -> Format | None:
    """The format with its positions as a header gives them; None if it is not this format's header.

    BadTrace names a column that the header lacks, where most of the others are there.
    """
    names = [c.lower() for c in cells]
    found = [name in names for name in f.aliases]
    if not f.header or sum(name in names for name in f.header) * 2 <= len(f.header):
        return None
    # The two tables of azure-functions-2019 begin alike.
    if f.name == AZURE_2019.name and (f.table == AZURE_2019_DURATIONS.table) != ("average" in names):
        return None
    if not all(found):
        missing = [n for n, ok in zip(f.aliases, found, strict=True) if not ok]
        raise BadTrace(f"{f.name} {f.table}: the header lacks the column {', '.join(missing)}")
    columns = tuple(replace(c, at=names.index(alias)) for c, alias in zip(f.columns, f.aliases, strict=True))
    minutes: tuple[int, ...] = ()
    if f.minutes:
        columns += tuple(
            Column(f"m{int(name)}", at)
            for at, name in enumerate(names)
            if name.isdecimal() and 1 <= int(name) <= 1440
        )
        minutes = tuple(int(c.name[1:]) for c in columns[len(f.columns) :])
        if not minutes:
            raise BadTrace(f"{f.name} {f.table}: the header names no minute (1 to 1440)")
    return replace(f, columns=columns, width=len(cells), minutes=minutes)


def whole(cell: str) -> bool:
    return cell.strip().lstrip("-").isdecimal()


def fitting(f: Format, rows: list[list[str]]) -> int:
    """How many of a file's first rows can be rows of the format, by position."""
    good = 0
    for cells in rows:
        if len(cells) != f.width:
            continue
        ok = all(
            (c.kind == TEXT) or (whole(cells[c.at]) if c.kind == INT else NUMBER.fullmatch(cells[c.at]))
            for c in f.columns
        )
        if f.table == GOOGLE_MACHINES.table:
            ok = ok and cells[2] in ("0", "1", "2")
        elif f.table == MS_CALLS.table:
            trace, rpc = (cells[c.at] for c in f.columns[1:3])
            ok = ok and re.fullmatch(r"\d+(\.\d+)*", rpc) is not None and not whole(trace)
        good += bool(ok)
    return good


def by_position(f: Format) -> Format:
    """For a file without a header: the columns where the format's document has them."""
    if not f.minutes:
        return f
    more = tuple(Column(f"m{m}", 3 + m) for m in f.minutes)
    return replace(f, columns=f.columns + more)


def recognise(name: str, sample: list[str], wanted: str | None = None) -> tuple[Format, bool]:
    """The format of a file by its first lines, and whether the first of them is a header.

    A header's names go before positions. BadTrace if the format can't be told, or is not the one wanted.
    """
    candidates = [f for f in FORMATS if wanted in (None, f.name)]
    if wanted is not None and not candidates:
        raise BadTrace(f"{name}: no format {wanted!r} (allowed: {', '.join(NAMES)})")
    rows = [cells_of(text) for text in sample if text.strip()]
    if not rows:
        raise BadTrace(f"{name}: the file has no row")
    try:
        for f in candidates:
            found = with_header(f, rows[0])
            if found is not None:
                return found, True
    except BadTrace as e:
        raise BadTrace(f"{name}: {e}") from None
    # The format that fits most rows: bad ones among the first must not hide what a file is.
    best = max(candidates, key=lambda f: fitting(f, rows))
    if fitting(best, rows) > 0:
        return by_position(best), False
    told = f"is not {wanted}" if wanted else "cannot be told"
    raise BadTrace(f"{name}: the format {told} from its columns (name one with --format: {', '.join(NAMES)})")
