"""The clock for all decisions. It is monotonic, because the wall clock may be stepped."""

from __future__ import annotations

from time import monotonic_ns


def monotonic_us() -> int:
    """Returns the current time in monotonic microseconds, the unit of the balancer."""
    return monotonic_ns() // 1000
