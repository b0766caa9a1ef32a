"""Unmaps the pages of program code that only the start of the process used.

The code of a library is mapped from its file and never written: a page that is needed again is mapped again from the
page cache.
"""

from __future__ import annotations

import ctypes
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

MAPS_PATH = Path("/proc/self/maps")
# A mapping of a file that may be executed and not written, and is private to this process (proc(5)).
CODE_MAPPING = re.compile(r"([0-9a-f]+)-([0-9a-f]+) r-xp \S+ \S+ [1-9]\d* +/")
MADV_DONTNEED = 4


class Mapping(NamedTuple):
    """A range of addresses."""

    start: int
    end: int


def code_mappings(maps: str) -> Iterator[Mapping]:
    """Yields the mappings of program code that the text of a maps file lists."""
    for line in maps.splitlines():
        match = CODE_MAPPING.match(line)
        if match is not None:
            yield Mapping(int(match[1], 16), int(match[2], 16))


def release_code_pages() -> int:
    """Unmaps the pages of program code; returns how many mappings it was told of. Does nothing where it cannot."""
    try:
        maps = MAPS_PATH.read_text(encoding="utf-8", errors="replace")
        advise = ctypes.CDLL(None).madvise
    except (OSError, AttributeError):
        return 0
    advise.argtypes = [ctypes.c_void_p, ctypes.c_size_t, ctypes.c_int]
    mappings = list(code_mappings(maps))
    for mapping in mappings:
        advise(mapping.start, mapping.end - mapping.start, MADV_DONTNEED)
    return len(mappings)
