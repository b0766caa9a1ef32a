"""Files that are replaced as a whole and are on disk before the writer goes on."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path


class UnsyncedReplace(OSError):
    """The file has its new content, which a crash of the machine may still undo."""


def replace_file(path: Path, data: bytes, fresh: Path) -> None:
    """Puts `data` in the file's place by way of `fresh`, another name in the same folder.

    OSError where it cannot be written, with the old content in place; `UnsyncedReplace` where only the folder could
    not be synced. A kill at any moment leaves the old content or the new one.
    """
    try:
        write_synced(fresh, data)
        os.replace(fresh, path)
    except OSError:
        # Guards against: what was written of it takes the space for the next try.
        with suppress(OSError):
            fresh.unlink()
        raise
    try:
        sync_folder(path.parent)
    except OSError as error:
        raise UnsyncedReplace(error.errno, error.strerror, str(path)) from error


def write_synced(path: Path, data: bytes) -> None:
    """Writes a file that is on disk when this returns, though each write may take a part only."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        while data:
            data = data[os.write(descriptor, data) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_folder(folder: Path) -> None:
    """Without this a new name may not be on disk when the power goes, though the bytes are."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
