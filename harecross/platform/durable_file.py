"""Files that are replaced as a whole and synced to disk before the writer goes on."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path


class UnsyncedReplaceError(OSError):
    """The file has its new content, but a crash of the machine may still undo that."""


def replace_file(path: Path, data: bytes, temporary: Path) -> None:
    """Replaces the file's content by way of `temporary`, another name in the same folder.

    OSError if it cannot be written, with the old content in place; `UnsyncedReplaceError` if only the folder could not
    be synced. A kill at any moment leaves the old content or the new one.
    """
    try:
        write_and_sync(temporary, data)
        os.replace(temporary, path)
    except OSError:
        # The incomplete file would take the space that the next attempt needs.
        with suppress(OSError):
            temporary.unlink()
        raise
    try:
        sync_folder(path.parent)
    except OSError as error:
        raise UnsyncedReplaceError(error.errno, error.strerror, str(path)) from error


def write_and_sync(path: Path, data: bytes) -> None:
    """Writes a file and syncs it; a write(2) may write only a part of the data."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        while data:
            data = data[os.write(descriptor, data) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(folder: Path) -> None:
    """Syncs a folder: without this a power failure may undo a rename in it, though the file is on disk."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
