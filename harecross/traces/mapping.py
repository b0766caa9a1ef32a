"""Request classes of a trace: the defaults of each format, and mapping files (TOML) that override them."""

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
    """The table `[classes.NAME]` of a mapping file.

    Attributes:
        effect: Whether a request is idempotent ("safe"), has an idempotency key ("keyed") or is neither ("unsafe").
        worth: The priority weight of a request that is answered within `aim_ms`.
        aim_ms: The latency objective, in milliseconds from when a request is due.
        deadline_ms: The client's deadline, in milliseconds from when a request is due.
    """

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    worth: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    aim_ms: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] = 2500.0


class GenericColumns(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"request_class": "class"}
):
    """The table `[columns]` of a mapping file: each column is a name in the header or a position counted from 0."""

    time: str | int
    request_class: str | int | None = None
    work: str | int | None = None
    count: str | int | None = None


class Units(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[units]` of a mapping file."""

    time: Literal["s", "ms", "us"] = "s"
    work: Literal["s", "ms", "us"] = "ms"


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A mapping file. `columns`, `units`, `header`, `width` and `duplicates` apply to the format `generic` only."""

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
    """Reads a mapping file. Raises TraceError, with the file and key at fault, if it is invalid."""
    try:
        mapping = read_toml(path, Mapping)
    except OperatorsFileError as error:
        raise TraceError(str(error)) from None
    for name, class_mapping in mapping.classes.items():
        if not name.replace("-", "").replace("_", "").isalnum() or len(name) > MAX_CLASS_NAME_LENGTH:
            raise TraceError(
                f"{path}: classes.{name}: a name has letters, digits, - and _ only, at most {MAX_CLASS_NAME_LENGTH}"
            )
        if class_mapping.deadline_ms < class_mapping.aim_ms:
            raise TraceError(f"{path}: classes.{name}: deadline_ms must not be under aim_ms")
    return mapping


@dataclass(frozen=True, slots=True)
class TraceClasses:
    """The request classes of a trace, in order. A class name that is not listed counts as the last class."""

    names: tuple[str, ...]
    mappings: tuple[ClassMapping, ...]


def classes_for(format_name: str, mapping: Mapping | None) -> TraceClasses:
    """Returns the default classes of the format with the overrides of the mapping.

    The classes of a mapping replace the defaults of the format `generic` altogether. Raises TraceError for a class that
    the format does not have, since no request would ever belong to it.
    """
    classes = dict(DEFAULT_CLASSES[format_name])
    if mapping is not None and mapping.classes:
        if format_name == "generic":
            classes = dict(mapping.classes)
        else:
            unknown = [name for name in mapping.classes if name not in classes]
            if unknown:
                raise TraceError(
                    f"classes.{unknown[0]}: {format_name} has no such class (it has {', '.join(classes)})"
                )
            classes.update(mapping.classes)
    return TraceClasses(tuple(classes), tuple(classes.values()))


def generic_format(path: Path, mapping: Mapping, first_line: str) -> tuple[Format, bool]:
    """Returns the format that a mapping describes, and whether the file has a header.

    Column names are looked up in `first_line`, the header. Raises TraceError for a column that does not exist.
    """
    mapped_columns = mapping.columns
    if mapped_columns is None:
        raise TraceError(f"{path}: the format generic requires [columns] with the key time")
    cells = split_cells(first_line)
    width = mapping.width or len(cells)
    references = (
        ("time", mapped_columns.time, FLOAT),
        ("class", mapped_columns.request_class, TEXT),
        ("work", mapped_columns.work, FLOAT),
        ("count", mapped_columns.count, INTEGER),
    )
    columns = []
    for name, reference, kind in references:
        if reference is None:
            continue
        position = (
            _header_position(path, mapping, name, reference, cells)
            if isinstance(reference, str)
            else reference
        )
        if not 0 <= position < width:
            raise TraceError(f"{path}: columns.{name}: position {position} is not in 0 to {width - 1}")
        columns.append(Column("request_class" if name == "class" else name, position, kind))
    found = Format(
        "generic",
        "rows",
        tuple(columns),
        width,
        time_unit_us=MICROSECONDS_PER_UNIT[mapping.units.time],
        drop_duplicates=mapping.duplicates == "drop",
    )
    return found, mapping.header


def _header_position(path: Path, mapping: Mapping, name: str, column_name: str, cells: list[str]) -> int:
    if not mapping.header:
        raise TraceError(
            f"{path}: columns.{name}: must be a position, counted from 0, because header = false"
        )
    if column_name not in cells:
        raise TraceError(f"{path}: columns.{name}: the header lacks the column {column_name!r}")
    return cells.index(column_name)
