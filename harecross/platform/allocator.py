"""Gives memory that the C library's allocator keeps for later use back to the system."""

from __future__ import annotations

import ctypes
from collections.abc import Callable


def find_trim() -> Callable[[int], int] | None:
    """Returns malloc_trim(3) of the GNU C library; None with another one."""
    try:
        trim: Callable[[int], int] = ctypes.CDLL(None).malloc_trim
        return trim
    except (AttributeError, OSError):
        return None


class FreeMemory:
    """Returns free memory to the system after much of it was freed.

    Attributes:
        trims: How often memory was returned.
    """

    def __init__(self) -> None:
        self.trim = find_trim()
        self.trims = 0

    def give_back(self) -> None:
        """Returns all free pages of the heap to the system."""
        if self.trim is not None:
            self.trim(0)
            self.trims += 1
