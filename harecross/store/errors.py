"""The errors of the store. A call that raises one of them has not changed the store; the message is for operators."""

from __future__ import annotations


class StoreError(Exception):
    """The store cannot perform the operation."""


class DamagedError(StoreError):
    """The stored data is not what was written. The message names the row, or quotes SQLite if no row can be read."""


class FullError(StoreError):
    """There is no space left, either on the disk or within the store's size limit."""


class FencedError(StoreError):
    """Another holder has acquired the lease, so a writer that was paused past its lease must not change anything."""
