"""A plain file of addresses: one box a line. `parse` is free of I/O."""

from __future__ import annotations

from math import isfinite

from harecross.settings import address
from harecross.sources.ledger import Stated

ALLOWED = "HOST:PORT, then any of weight=, priority=, zone=, name=, drain"
LINES_MOST = 100_000


class BadFile(ValueError):
    """A file that cannot be used; the text names the line and what is allowed."""


def parse(text: str, zone: str = "", offset: int = 0) -> list[Stated]:
    """The boxes in a file. BadFile for the first line that is none: half a file is no file.

    `zone` is of lines that name none; `offset` is added to every priority.
    """
    found: list[Stated] = []
    lines = text.splitlines()
    if len(lines) > LINES_MOST:
        raise BadFile(f"{len(lines)} lines; {LINES_MOST} at most")
    if text and not text.endswith("\n"):
        # Guards against: a file read while it is being written ends in the middle of an address.
        raise BadFile(f"line {len(lines)}: does not end; the last line needs an end too")
    for number, line in enumerate(lines, 1):
        words = line.split("#", 1)[0].split()
        if not words:
            continue
        try:
            found.append(boxed(words, zone, offset))
        except ValueError as e:
            raise BadFile(f"line {number}: {e}; allowed: {ALLOWED}") from None
    return found


def boxed(words: list[str], zone: str, offset: int) -> Stated:
    where, rest = words[0], words[1:]
    if address(where)[1] == 0:
        raise ValueError(f"{where!r}: nobody listens on port 0")
    told = {"weight": "1", "priority": "0", "zone": zone, "name": where}
    draining = False
    for word in rest:
        key, equals, value = word.partition("=")
        if word == "drain":
            draining = True
        elif equals and key in told and value:
            told[key] = value
        else:
            raise ValueError(f"{word!r} is not understood")
    weight, priority = float(told["weight"]), int(told["priority"])
    if not isfinite(weight) or not 0 < weight <= 65_535:
        raise ValueError(f"weight={told['weight']}: above 0, at most 65535")
    if not 0 <= priority <= 65_535:
        raise ValueError(f"priority={told['priority']}: 0 to 65535")
    return Stated(where, told["name"], draining, told["zone"], weight, priority + offset)


def read_file(path: str, zone: str = "", offset: int = 0) -> list[Stated]:
    """The boxes in the file of that name, as `parse` has them. BadFile or OSError."""
    with open(path, "rb") as f:
        data = f.read()
    try:
        text = data.decode()
    except UnicodeDecodeError as e:
        raise BadFile(f"not UTF-8 at byte {e.start}") from None
    return parse(text, zone, offset)
