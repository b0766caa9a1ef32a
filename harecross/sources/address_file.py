"""Parses address files: plain text files with one endpoint per line."""

from __future__ import annotations

from math import isfinite

from harecross.settings import parse_address
from harecross.sources.source import Statement

ALLOWED = "HOST:PORT, then any of weight=, priority=, zone=, name=, drain"
MAX_LINES = 100_000
MAX_WEIGHT = MAX_PRIORITY = 65_535


class AddressFileError(ValueError):
    """Raised for an invalid address file; the message names the line and what is allowed there."""


def parse(text: str, zone: str = "", priority_offset: int = 0) -> list[Statement]:
    """Parses the content of an address file.

    Args:
        text: The content of the file.
        zone: The zone of endpoints whose line names none.
        priority_offset: The number that is added to the priority of every endpoint.

    Raises:
        AddressFileError: A line is invalid. No part of such a file is used.
    """
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        raise AddressFileError(f"the file has {len(lines)} lines; at most {MAX_LINES} are allowed")
    if text and not text.endswith("\n"):
        # The last line of a file that is still being written may be cut in the middle of an address.
        raise AddressFileError(f"line {len(lines)}: missing newline at the end of the file")
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
        raise ValueError(f"{host_port!r}: port 0 cannot be used")
    values = {"weight": "1", "priority": "0", "zone": zone, "name": host_port}
    draining = False
    for option in options:
        key, equals, value = option.partition("=")
        if option == "drain":
            draining = True
        elif equals and key in values and value:
            values[key] = value
        else:
            raise ValueError(f"unknown option {option!r}")
    weight, priority = _parse_weight_and_priority(values)
    return Statement(host_port, values["name"], draining, values["zone"], weight, priority + priority_offset)


def _parse_weight_and_priority(values: dict[str, str]) -> tuple[float, int]:
    weight, priority = float(values["weight"]), int(values["priority"])
    if not isfinite(weight) or not 0 < weight <= MAX_WEIGHT:
        raise ValueError(f"weight={values['weight']}: must be above 0 and at most {MAX_WEIGHT}")
    if not 0 <= priority <= MAX_PRIORITY:
        raise ValueError(f"priority={values['priority']}: must be between 0 and {MAX_PRIORITY}")
    return weight, priority


def read_address_file(path: str, zone: str = "", priority_offset: int = 0) -> list[Statement]:
    """Reads and parses the address file at `path`; see `parse`.

    Raises:
        AddressFileError: The file is invalid.
        OSError: The file cannot be read.
    """
    with open(path, "rb") as file:
        data = file.read()
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise AddressFileError(f"invalid UTF-8 at byte {error.start}") from None
    return parse(text, zone, priority_offset)
