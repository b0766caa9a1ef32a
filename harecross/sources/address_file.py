"""A plain file of addresses, one endpoint a line. `parse` is free of I/O."""

from __future__ import annotations

from math import isfinite

from harecross.settings import parse_address
from harecross.sources.source import Statement

ALLOWED = "HOST:PORT, then any of weight=, priority=, zone=, name=, drain"
MAX_LINES = 100_000
MAX_WEIGHT = MAX_PRIORITY = 65_535


class AddressFileError(ValueError):
    """A file that cannot be used; the text names the line and what is allowed."""


def parse(text: str, zone: str = "", priority_offset: int = 0) -> list[Statement]:
    """The endpoints in a file. AddressFileError for the first bad line: no part of a bad file is used.

    `zone` is that of lines that name none; `priority_offset` is added to every priority.
    """
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        raise AddressFileError(f"{len(lines)} lines; {MAX_LINES} at most")
    if text and not text.endswith("\n"):
        # A file that is read while it is being written may end in the middle of an address.
        raise AddressFileError(f"line {len(lines)}: does not end; the last line needs an end too")
    statements: list[Statement] = []
    for number, line in enumerate(lines, 1):
        words = line.split("#", 1)[0].split()
        if not words:
            continue
        try:
            statements.append(_parse_line(words, zone, priority_offset))
        except ValueError as error:
            raise AddressFileError(f"line {number}: {error}; allowed: {ALLOWED}") from None
    return statements


def _parse_line(words: list[str], zone: str, priority_offset: int) -> Statement:
    host_port, *options = words
    if parse_address(host_port)[1] == 0:
        raise ValueError(f"{host_port!r}: nobody listens on port 0")
    values = {"weight": "1", "priority": "0", "zone": zone, "name": host_port}
    draining = False
    for option in options:
        key, equals, value = option.partition("=")
        if option == "drain":
            draining = True
        elif equals and key in values and value:
            values[key] = value
        else:
            raise ValueError(f"{option!r} is not understood")
    weight, priority = _numbers(values)
    return Statement(host_port, values["name"], draining, values["zone"], weight, priority + priority_offset)


def _numbers(values: dict[str, str]) -> tuple[float, int]:
    """The weight and the priority of a line."""
    weight, priority = float(values["weight"]), int(values["priority"])
    if not isfinite(weight) or not 0 < weight <= MAX_WEIGHT:
        raise ValueError(f"weight={values['weight']}: above 0, at most {MAX_WEIGHT}")
    if not 0 <= priority <= MAX_PRIORITY:
        raise ValueError(f"priority={values['priority']}: 0 to {MAX_PRIORITY}")
    return weight, priority


def read_address_file(path: str, zone: str = "", priority_offset: int = 0) -> list[Statement]:
    """The endpoints in the file of that name, see `parse`. AddressFileError or OSError."""
    with open(path, "rb") as file:
        data = file.read()
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise AddressFileError(f"not UTF-8 at byte {error.start}") from None
    return parse(text, zone, priority_offset)
