"""The errors of the store. After any of them the store is as it was before the call; the text is for operators."""

from __future__ import annotations


class StoreError(Exception):
    """The store cannot do that now."""


class DamagedError(StoreError):
    """What is stored is not what was written; the text names the row."""


class FullError(StoreError):
    """There is no space left, on the disk or within the store's own limit."""


class FencedError(StoreError):
    """The lease has had another holder since: a writer that was paused past its lease may change nothing."""
