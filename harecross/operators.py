"""Strict parsing of the operators' file (TOML), with one-line error messages.

This module is imported only if such a file is configured: a node without one needs neither this module nor msgspec.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar, get_args, get_origin

import msgspec

from harecross.sources.config import SourcesTable

T = TypeVar("T")


class OperatorsFileError(Exception):
    """A TOML file is missing or invalid. The message names the file, the key and the allowed values."""


class LogTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[log]`: settings of the report line and of the attempt log.

    Attributes:
        report_every_s: The interval between two report lines, in seconds.
        attempts: The path of the attempt log, or "-" for standard error. No attempt log is written if it is empty.
    """

    report_every_s: Annotated[float, msgspec.Meta(ge=0.1, le=3600)] = 10.0
    attempts: str = ""


class ListenTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[listen]`: settings of the listener for clients."""

    backlog: Annotated[int, msgspec.Meta(ge=1, le=65535)] = 1024


class XdsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[xds]`: settings of an xDS service that is embedded in the node."""

    listen: str = ""
    cluster: str = "servers"
    plaintext: Literal["loopback", "anywhere"] = "loopback"


class OperatorsFile(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The content of the operators' file. Every key is optional."""

    log: LogTable = LogTable()
    listen: ListenTable = ListenTable()
    xds: XdsTable = XdsTable()
    sources: SourcesTable = SourcesTable()


def read_toml(path: str | Path, file_type: type[T]) -> T:
    """Reads a TOML file into a `file_type`.

    Raises OperatorsFileError if the file is missing, is not TOML, or has an unknown key or an invalid value.
    """
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
    """Returns the keys that are allowed in the table of the first unknown key in `raw`, as text for an error message.

    Returns an empty string if there is no unknown key.
    """
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
