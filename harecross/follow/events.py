"""Parses the lines of attempt logs."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from harecross.follow.attempt_log import EVENT_PREFIX

COMMON_FIELDS = ("timeUnixNano", "service.instance.id", "event.name", "request.id")
INTEGER_FIELDS = ("time_left", "http.request.resend_count")
LIST_FIELDS = ("came", "left")


class BadLogError(Exception):
    """A file is not a readable attempt log. The message names the file, the line and the problem."""


@dataclass(slots=True)
class Event:
    """One event of an attempt log.

    Attributes:
        time_ns: The time in Unix nanoseconds.
        request_id: The id of the request; empty for an event that belongs to no request.
        fields: All other fields of the line.
    """

    time_ns: int
    node: str
    name: str
    request_id: str
    fields: dict[str, Any]

    @property
    def attempt_number(self) -> int:
        """The number of the attempt, starting at 0."""
        return int(self.fields.get("http.request.resend_count", 0))

    @property
    def server(self) -> str:
        """The name of the server in discovery."""
        return str(self.fields["server.id"])


class LogFile(NamedTuple):
    """The contents of one file.

    `truncated_line` is the file and number of an incomplete last line; empty if there is none.
    """

    events: list[Event]
    truncated_line: str


def read_log_file(path: Path) -> LogFile:
    """Reads one file.

    Raises:
        BadLogError: The file holds no event, or an invalid event before its last line.
    """
    text = read_text(path)
    lines = text.splitlines()
    events: list[Event] = []
    truncated_line = ""
    any_found = False
    for number, line in enumerate(lines, 1):
        last_and_unfinished = number == len(lines) and not text.endswith("\n")
        start = line.find(EVENT_PREFIX + "{")
        if start < 0:
            if last_and_unfinished and any_found:
                truncated_line = f"{path}: line {number}"
            continue
        any_found = True
        try:
            events.append(parse_event(line[start + len(EVENT_PREFIX) :]))
        except (ValueError, KeyError, TypeError):
            if not last_and_unfinished:
                raise BadLogError(f"{path}: line {number}: not an event of an attempt log") from None
            truncated_line = f"{path}: line {number}"
    if not any_found:
        raise BadLogError(
            f"{path}: no attempt log (a node writes one if `attempts` is set in [log] of the operators' file)"
        )
    return LogFile(events, truncated_line)


def read_text(path: Path) -> str:
    """Reads a file as UTF-8; raises BadLogError if that fails."""
    try:
        return path.read_text(encoding="utf-8", errors="strict")
    except OSError as error:
        raise BadLogError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise BadLogError(f"{path}: not UTF-8 at byte {error.start}") from None


def parse_event(text: str) -> Event:
    """Parses the JSON object of one line; raises ValueError, KeyError or TypeError if it is not an event."""
    fields = json.loads(text)
    time_ns, node, name, request_id = (fields.pop(field) for field in COMMON_FIELDS)
    if name == "sent":
        fields["server.id"]
    for field in INTEGER_FIELDS:
        int(fields.get(field, 0))
    float(fields.get("process.uptime", 0))
    for field in LIST_FIELDS:
        if not isinstance(fields.get(field, []), list):
            raise TypeError(f"{field}: expected a list of servers, got {fields[field]!r}")
    return Event(int(time_ns), str(node), str(name), str(request_id), fields)
