"""What the requests of a trace are to clients: class, effect, worth, aim, deadline. Defaults per format, or a file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.operators import OperatorsFileError, read_toml
from harecross.traces.causes import BadTrace
from harecross.traces.formats import FLOAT, INT, TEXT, Column, Format

UNITS = {"s": 1_000_000, "ms": 1_000, "us": 1}
NAME = r"^[A-Za-z0-9][A-Za-z0-9_-]{0,30}$"


class ClassMap(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[classes.NAME]`: worth is per answer in time, aim and deadline count from when a request is due."""

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    worth: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    aim_ms: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    deadline_ms: Annotated[float, msgspec.Meta(gt=0)] = 2500.0


class GenericColumns(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"klass": "class"}):
    """`[columns]`: names in the header or positions from 0."""

    time: str | int
    klass: str | int | None = None
    work: str | int | None = None
    count: str | int | None = None


class Units(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[units]`."""

    time: Literal["s", "ms", "us"] = "s"
    work: Literal["s", "ms", "us"] = "ms"


class Mapping(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file. `columns`, `units`, `header` and `width` count for the format `generic` only."""

    classes: dict[str, ClassMap] = {}
    columns: GenericColumns | None = None
    units: Units = Units()
    header: bool = True
    width: Annotated[int, msgspec.Meta(ge=1)] | None = None
    duplicates: Literal["drop", "keep"] = "drop"


DEFAULTS: dict[str, dict[str, ClassMap]] = {
    "google-2011": {
        "class0": ClassMap("safe", 1, 2000, 5000),
        "class1": ClassMap("safe", 2, 1500, 4000),
        "class2": ClassMap("safe", 3, 1000, 2500),
        "class3": ClassMap("keyed", 5, 1000, 2500),
    },
    "alibaba-2018": {"batch": ClassMap("safe", 1, 2000, 5000)},
    "alibaba-microservices-2021": {
        "http": ClassMap("safe", 2, 1000, 2500),
        "rpc": ClassMap("safe", 1, 1000, 2500),
        "mc": ClassMap("safe", 1, 500, 1500),
        "mq": ClassMap("keyed", 3, 2000, 5000),
        "db": ClassMap("safe", 2, 1000, 2500),
        "other": ClassMap("safe", 1, 1000, 2500),
    },
    "azure-functions-2019": {
        "http": ClassMap("safe", 2, 1000, 2500),
        "queue": ClassMap("keyed", 3, 2000, 5000),
        "timer": ClassMap("safe", 1, 2000, 5000),
        "event": ClassMap("keyed", 2, 2000, 5000),
        "storage": ClassMap("keyed", 2, 2000, 5000),
        "orchestration": ClassMap("safe", 1, 2000, 5000),
        "others": ClassMap("safe", 1, 2000, 5000),
    },
    "azure-functions-2021": {"function": ClassMap("safe", 1, 1000, 2500)},
    "generic": {"request": ClassMap("safe", 1, 1000, 2500)},
}


def read_mapping(path: Path) -> Mapping:
    """The file; BadTrace says what is wrong with it."""
    try:
        mapping = read_toml(path, Mapping)
    except OperatorsFileError as e:
        raise BadTrace(str(e)) from None
    for name, c in mapping.classes.items():
        if not name.replace("-", "").replace("_", "").isalnum() or len(name) > 30:
            raise BadTrace(f"{path}: classes.{name}: letters, digits, - and _ only, 30 at most")
        if c.deadline_ms < c.aim_ms:
            raise BadTrace(f"{path}: classes.{name}: deadline_ms is not under aim_ms")
    return mapping


@dataclass(frozen=True, slots=True)
class Classes:
    """The classes of one run, in order; a name that is none of them falls to the last."""

    names: tuple[str, ...]
    maps: tuple[ClassMap, ...]


def classes_for(name: str, mapping: Mapping | None) -> Classes:
    """Defaults of the format, with what the mapping says in their place.

    BadTrace for a class that the format does not have: it would never get a request.
    """
    chosen = dict(DEFAULTS[name])
    if mapping is not None and mapping.classes:
        if name == "generic":
            chosen = dict(mapping.classes)
        else:
            unknown = [n for n in mapping.classes if n not in chosen]
            if unknown:
                raise BadTrace(f"classes.{unknown[0]}: {name} has {', '.join(chosen)}")
            chosen.update(mapping.classes)
    return Classes(tuple(chosen), tuple(chosen.values()))


def generic_format(path: Path, mapping: Mapping, first_line: str) -> tuple[Format, bool]:
    """The format that a mapping describes, its positions looked up in the header if there is one."""
    c = mapping.columns
    if c is None:
        raise BadTrace(f"{path}: the format generic needs [columns] with time")
    cells = [cell.strip().strip('"') for cell in first_line.split(",")]
    wanted = [
        ("time", c.time, FLOAT),
        ("klass", c.klass, TEXT),
        ("work", c.work, FLOAT),
        ("count", c.count, INT),
    ]
    columns = []
    for name, place, kind in wanted:
        if place is None:
            continue
        if isinstance(place, str):
            if not mapping.header:
                raise BadTrace(f"{path}: columns.{name}: a position, from 0, where header = false")
            if place not in cells:
                raise BadTrace(f"{path}: columns.{name}: the header lacks {place!r}")
            place = cells.index(place)
        if not 0 <= place < (mapping.width or len(cells)):
            raise BadTrace(f"{path}: columns.{name}: {place} is not 0 to {(mapping.width or len(cells)) - 1}")
        columns.append(Column(name, place, kind))
    return (
        Format(
            "generic",
            "rows",
            tuple(columns),
            mapping.width or len(cells),
            unit=UNITS[mapping.units.time],
            duplicates=mapping.duplicates == "drop",
        ),
        mapping.header,
    )
