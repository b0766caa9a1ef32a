"""The clock of all decisions: monotonic, never the wall clock, which may be stepped."""

from __future__ import annotations

from time import monotonic_ns


def monotonic_us() -> int:
    """The module's time: monotonic microseconds."""
    return monotonic_ns() // 1000
