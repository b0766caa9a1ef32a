"""Replaces files atomically and syncs them to disk before returning."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path


class UnsyncedReplaceError(OSError):
    """The file has its new content, but the replacement may be lost if the machine crashes."""


def replace_file(path: Path, data: bytes, temporary: Path) -> None:
    """Atomically replaces the file's content: writes it to `temporary` in the same directory, then renames that file.

    Raises OSError if the content cannot be written, leaving the old content in place, and `UnsyncedReplaceError` if
    only the directory could not be synced. If the process is killed at any time, the file has its old or new content.
    """
    try:
        write_and_sync(temporary, data)
        os.replace(temporary, path)
    except OSError:
        # The incomplete file would occupy disk space that the next attempt needs.
        with suppress(OSError):
            temporary.unlink()
        raise
    try:
        sync_folder(path.parent)
    except OSError as error:
        raise UnsyncedReplaceError(error.errno, error.strerror, str(path)) from error


def write_and_sync(path: Path, data: bytes) -> None:
    """Writes and syncs a file; repeats write(2), which may write only part of the data."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        while data:
            data = data[os.write(descriptor, data) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(folder: Path) -> None:
    """Syncs a directory; otherwise a power failure may undo a rename in it although the file itself is on disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
