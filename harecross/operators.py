"""The operators' file (TOML): strict reading, and one line of text for what cannot be used.

Imported only where such a file is named: the start of a node needs neither this module nor msgspec.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar, get_args, get_origin

import msgspec

from harecross.sources.config import SourcesTable

T = TypeVar("T")


class OperatorsFileError(Exception):
    """A TOML file that cannot be used; the text names the file, the key and what is allowed."""


class LogTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: the report line and the attempt log."""

    report_every_s: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 10.0
    attempts: str = ""  # a file for the attempt log, or "-" for standard error


class ListenTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[listen]`: the listener for clients."""

    backlog: Annotated[int, msgspec.Meta(ge=1, le=65535)] = 1024


class XdsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[xds]`: an xDS service embedded in the node."""

    listen: str = ""
    cluster: str = "servers"
    plaintext: Literal["loopback", "anywhere"] = "loopback"


class OperatorsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file. Every key is optional."""

    log: LogTable = LogTable()
    listen: ListenTable = ListenTable()
    xds: XdsTable = XdsTable()
    sources: SourcesTable = SourcesTable()


def read_toml(path: str | Path, file_type: type[T]) -> T:
    """The file as a `file_type`. OperatorsFileError if it is missing, not TOML, or has a key or value not allowed."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise OperatorsFileError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise OperatorsFileError(f"{path}: not UTF-8 at byte {error.start}") from None
    except tomllib.TOMLDecodeError as error:
        raise OperatorsFileError(f"{path}: not TOML: {error}") from None
    try:
        return msgspec.convert(raw, file_type)
    except msgspec.ValidationError as error:
        raise OperatorsFileError(f"{path}: {error}{allowed_keys(raw, file_type)}") from None


def allowed_keys(raw: object, file_type: object) -> str:
    """The keys that are allowed beside the first unknown key in `raw`, as a text; empty without an unknown key."""
    if isinstance(raw, list):
        item_type = next((arg for arg in get_args(file_type) if arg is not Ellipsis), None)
        return next((text for value in raw if (text := allowed_keys(value, item_type))), "")
    if not isinstance(raw, dict):
        return ""
    for struct in (file_type, *get_args(file_type)):
        if not (isinstance(struct, type) and issubclass(struct, msgspec.Struct)):
            continue
        fields = {field.encode_name: field.type for field in msgspec.structs.fields(struct)}
        if any(key not in fields for key in raw):
            return f" (allowed: {', '.join(sorted(fields))})"
        return next((text for key, value in raw.items() if (text := allowed_keys(value, fields[key]))), "")
    value_type = get_args(file_type)[-1] if get_origin(file_type) is dict else None
    return next((text for value in raw.values() if (text := allowed_keys(value, value_type))), "")
