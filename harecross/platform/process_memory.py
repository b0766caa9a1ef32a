"""The memory of this process, as the kernel counts it."""

from __future__ import annotations

import os
from io import FileIO
from pathlib import Path
from typing import NamedTuple

SIZES_PATH = "/proc/self/statm"
MAX_SIZES_BYTES = 128
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATUS_PATH = Path("/proc/self/status")
KILOBYTE = 1024


class ResidentMemory(NamedTuple):
    """The resident size of this process in bytes: now, and the largest since its start."""

    current: int
    peak: int


class ProcessSize(NamedTuple):
    """The size of this process in bytes.

    Attributes:
        resident: All of its pages in memory.
        own: Those that no other process of the same program shares: all but pages of files.
    """

    resident: int
    own: int


class ResidentSize:
    """Reads the size of this process, at the cost of one system call."""

    def __init__(self) -> None:
        try:
            self.file: FileIO | None = FileIO(SIZES_PATH)
        except OSError:
            self.file = None

    def read(self) -> ProcessSize | None:
        """Returns the size; None if the kernel does not tell."""
        if self.file is None:
            return None
        try:
            _, resident, shared, *_ = map(int, os.pread(self.file.fileno(), MAX_SIZES_BYTES, 0).split())
            return ProcessSize(resident * PAGE_BYTES, (resident - shared) * PAGE_BYTES)
        except (OSError, ValueError):
            return None


def parse_status(text: str) -> ResidentMemory:
    """Returns the resident memory that a status file tells (proc(5)); 0 for a value that it lacks."""
    fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    current, peak = (fields.get(name, "").split() for name in ("VmRSS", "VmHWM"))
    return ResidentMemory(
        int(current[0]) * KILOBYTE if current else 0,
        int(peak[0]) * KILOBYTE if peak else 0,
    )


def resident_memory() -> ResidentMemory:
    """Returns the resident memory of this process; zeros if the kernel does not tell."""
    try:
        return parse_status(STATUS_PATH.read_text(encoding="ascii", errors="replace"))
    except (OSError, ValueError):
        return ResidentMemory(0, 0)


def parse_proportional_size(text: str) -> int:
    """Returns the proportional size in bytes that a `smaps_rollup` file tells (proc(5)); 0 if it lacks it."""
    for line in text.splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) * KILOBYTE
    return 0
