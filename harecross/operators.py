"""The operators' file (TOML): strict reading, one clear line for what cannot be.

Imported only where such a file is named: the node's own start needs neither this nor msgspec.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar, get_args, get_origin

import msgspec

from harecross.sources.config import SourcesTable

T = TypeVar("T")


class OperatorsFileError(Exception):
    """A file that cannot be used; the text names the file, the key and what is allowed."""


class LogTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`."""

    report_every_s: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 10.0
    attempts: str = ""  # a file for the attempt log, or "-" for standard error


class ListenTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[listen]`."""

    backlog: Annotated[int, msgspec.Meta(ge=1, le=65535)] = 1024


class XdsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[xds]`: a control service inside the node."""

    listen: str = ""
    cluster: str = "servers"
    plaintext: Literal["loopback", "anywhere"] = "loopback"


class OperatorsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file. Every key is optional."""

    log: LogTable = LogTable()
    listen: ListenTable = ListenTable()
    xds: XdsTable = XdsTable()
    sources: SourcesTable = SourcesTable()


def read_toml(path: str | Path, kind: type[T]) -> T:
    """The file as a `kind`. OperatorsFileError for one that is missing, not TOML, or holds what cannot be."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as e:
        raise OperatorsFileError(f"{path}: {e.strerror}") from None
    except UnicodeDecodeError as e:
        raise OperatorsFileError(f"{path}: not UTF-8 at byte {e.start}") from None
    except tomllib.TOMLDecodeError as e:
        raise OperatorsFileError(f"{path}: not TOML: {e}") from None
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as e:
        raise OperatorsFileError(f"{path}: {e}{allowed(raw, kind)}") from None


def allowed(raw: object, kind: object) -> str:
    """For a key that does not exist: the keys that do."""
    if isinstance(raw, list):
        inner = next((a for a in get_args(kind) if a is not Ellipsis), None)
        return next((text for value in raw if (text := allowed(value, inner))), "")
    if not isinstance(raw, dict):
        return ""
    for part in (kind, *get_args(kind)):
        if not (isinstance(part, type) and issubclass(part, msgspec.Struct)):
            continue
        fields = {f.encode_name: f.type for f in msgspec.structs.fields(part)}
        if any(key not in fields for key in raw):
            return f" (allowed: {', '.join(sorted(fields))})"
        return next((text for key, value in raw.items() if (text := allowed(value, fields[key]))), "")
    inner = get_args(kind)[-1] if get_origin(kind) is dict else None
    return next((text for value in raw.values() if (text := allowed(value, inner))), "")
