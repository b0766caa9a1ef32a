"""KNOWN-RED.txt: tests that fail for a fault that is not mended yet. They run, are reported, and must go on failing."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3


class KnownRed(NamedTuple):
    """One line of the file."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """The entries, each `test | cause | issue`. UsageError for a line of another form, or too many of them."""
    entries = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"KNOWN-RED.txt: not 'test | cause | issue': {line}")
        entries.append(KnownRed(*fields))
    if len(entries) > KNOWN_RED_MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(entries)} tests, {KNOWN_RED_MOST} are allowed")
    return entries


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects just the listed tests to fail; one that passes fails the run, so that its line is taken out."""
    entries = read_known_red(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else []
    collected = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    for entry in entries:
        item = collected.get(entry.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))
        elif entry.test.partition("::")[0] in files and not any("::" in a for a in items[0].config.args):
            raise pytest.UsageError(f"KNOWN-RED.txt names a test that there is not: {entry.test}")
