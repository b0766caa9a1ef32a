"""The classes of a trace's requests as clients see them: defaults of each format, or a mapping file (TOML)."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.operators import OperatorsFileError, read_toml
from harecross.traces.formats import FLOAT, INTEGER, TEXT, Column, Format, split_cells
from harecross.traces.row_tally import TraceError

MAX_CLASS_NAME_LENGTH = 30
MICROSECONDS_PER_UNIT = {"s": 1_000_000, "ms": 1_000, "us": 1}


class ClassMapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[classes.NAME]`: `worth` is per answer in time; `aim_ms` and `deadline_ms` count from when a request is due."""

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    worth: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    aim_ms: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] = 2500.0


class GenericColumns(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"request_class": "class"}
):
    """`[columns]`: names in the header or positions from 0."""

    time: str | int
    request_class: str | int | None = None
    work: str | int | None = None
    count: str | int | None = None


class Units(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[units]`."""

    time: Literal["s", "ms", "us"] = "s"
    work: Literal["s", "ms", "us"] = "ms"


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file. `columns`, `units`, `header` and `width` count for the format `generic` only."""

    classes: dict[str, ClassMapping] = {}
    columns: GenericColumns | None = None
    units: Units = Units()
    header: bool = True
    width: Annotated[int, msgspec.Meta(ge=1)] | None = None
    duplicates: Literal["drop", "keep"] = "drop"


DEFAULT_CLASSES: dict[str, dict[str, ClassMapping]] = {
    "google-2011": {
        "class0": ClassMapping("safe", 1, 2000, 5000),
        "class1": ClassMapping("safe", 2, 1500, 4000),
        "class2": ClassMapping("safe", 3, 1000, 2500),
        "class3": ClassMapping("keyed", 5, 1000, 2500),
    },
    "alibaba-2018": {"batch": ClassMapping("safe", 1, 2000, 5000)},
    "alibaba-microservices-2021": {
        "http": ClassMapping("safe", 2, 1000, 2500),
        "rpc": ClassMapping("safe", 1, 1000, 2500),
        "mc": ClassMapping("safe", 1, 500, 1500),
        "mq": ClassMapping("keyed", 3, 2000, 5000),
        "db": ClassMapping("safe", 2, 1000, 2500),
        "other": ClassMapping("safe", 1, 1000, 2500),
    },
    "azure-functions-2019": {
        "http": ClassMapping("safe", 2, 1000, 2500),
        "queue": ClassMapping("keyed", 3, 2000, 5000),
        "timer": ClassMapping("safe", 1, 2000, 5000),
        "event": ClassMapping("keyed", 2, 2000, 5000),
        "storage": ClassMapping("keyed", 2, 2000, 5000),
        "orchestration": ClassMapping("safe", 1, 2000, 5000),
        "others": ClassMapping("safe", 1, 2000, 5000),
    },
    "azure-functions-2021": {"function": ClassMapping("safe", 1, 1000, 2500)},
    "generic": {"request": ClassMapping("safe", 1, 1000, 2500)},
}


def read_mapping(path: Path) -> Mapping:
    """Reads a mapping file. Raises TraceError with what is wrong with it."""
    try:
        mapping = read_toml(path, Mapping)
    except OperatorsFileError as error:
        raise TraceError(str(error)) from None
    for name, mapped in mapping.classes.items():
        if not name.replace("-", "").replace("_", "").isalnum() or len(name) > MAX_CLASS_NAME_LENGTH:
            raise TraceError(
                f"{path}: classes.{name}: letters, digits, - and _ only, {MAX_CLASS_NAME_LENGTH} at most"
            )
        if mapped.deadline_ms < mapped.aim_ms:
            raise TraceError(f"{path}: classes.{name}: deadline_ms is not under aim_ms")
    return mapping


@dataclass(frozen=True, slots=True)
class TraceClasses:
    """The classes of one run, in order; a name that is none of them belongs to the last."""

    names: tuple[str, ...]
    maps: tuple[ClassMapping, ...]


def classes_for(format_name: str, mapping: Mapping | None) -> TraceClasses:
    """Returns the defaults of the format, replaced by what the mapping says.

    Raises TraceError for a class that the format does not have: it would never get a request.
    """
    chosen = dict(DEFAULT_CLASSES[format_name])
    if mapping is not None and mapping.classes:
        if format_name == "generic":
            chosen = dict(mapping.classes)
        else:
            unknown = [name for name in mapping.classes if name not in chosen]
            if unknown:
                raise TraceError(f"classes.{unknown[0]}: {format_name} has {', '.join(chosen)}")
            chosen.update(mapping.classes)
    return TraceClasses(tuple(chosen), tuple(chosen.values()))


def generic_format(path: Path, mapping: Mapping, first_line: str) -> tuple[Format, bool]:
    """Returns the format that a mapping describes, and whether the file has a header.

    Positions are looked up in the header if there is one. Raises TraceError for a column that is not there.
    """
    named = mapping.columns
    if named is None:
        raise TraceError(f"{path}: the format generic needs [columns] with time")
    cells = split_cells(first_line)
    width = mapping.width or len(cells)
    wanted = (
        ("time", named.time, FLOAT),
        ("class", named.request_class, TEXT),
        ("work", named.work, FLOAT),
        ("count", named.count, INTEGER),
    )
    columns = []
    for name, place, kind in wanted:
        if place is None:
            continue
        at = _header_position(path, mapping, name, place, cells) if isinstance(place, str) else place
        if not 0 <= at < width:
            raise TraceError(f"{path}: columns.{name}: {at} is not 0 to {width - 1}")
        columns.append(Column("request_class" if name == "class" else name, at, kind))
    found = Format(
        "generic",
        "rows",
        tuple(columns),
        width,
        unit=MICROSECONDS_PER_UNIT[mapping.units.time],
        duplicates=mapping.duplicates == "drop",
    )
    return found, mapping.header


def _header_position(path: Path, mapping: Mapping, name: str, place: str, cells: list[str]) -> int:
    if not mapping.header:
        raise TraceError(f"{path}: columns.{name}: a position, from 0, where header = false")
    if place not in cells:
        raise TraceError(f"{path}: columns.{name}: the header lacks {place!r}")
    return cells.index(place)
