"""An address file as a source of endpoints: reads the file again whenever it has changed."""

from __future__ import annotations

import asyncio
import os
from typing import NamedTuple

from harecross.platform.log import log_line
from harecross.sources.address_file import AddressFileError, read_address_file
from harecross.sources.config import AddressFileConfig
from harecross.sources.source import Statement

POLL_INTERVAL_S = 1.0  # time between two checks of a file


class Signature(NamedTuple):
    """Metadata of a file that changes whenever its content does."""

    inode: int
    size: int
    modified_ns: int


class LoadedFile(NamedTuple):
    """The statements in a file, and the signature that the file had before it was read."""

    signature: Signature
    statements: list[Statement]


def signature_of(path: str) -> Signature:
    """Returns the current signature of a file. Raises OSError if there is no such file."""
    stat = os.stat(path)
    return Signature(stat.st_ino, stat.st_size, stat.st_mtime_ns)


class FileSource:
    """Reads one address file whenever it has changed.

    Attributes:
        name: The name of the source.
        config: The settings of the file.
        next_check_at: The time of the next check of the file, in seconds of the monotonic clock.
        problem: The reason why the file cannot be used; empty if it can.
    """

    def __init__(self, name: str, config: AddressFileConfig) -> None:
        self.name = name
        self.config = config
        self.next_check_at = 0.0
        self.problem = ""
        # The signature at the last check, and the signature of the content that is in use.
        self._checked_signature: Signature | None = None
        self._loaded_signature: Signature | None = None

    def configure(self, config: AddressFileConfig) -> None:
        """Applies new settings; if they differ from the old ones, the next check reads the file again."""
        if self.config != config:
            self.config, self._loaded_signature = config, None

    def load(self) -> list[Statement]:
        """Reads the file at startup. Raises ValueError if it is missing or invalid."""
        path = self.config.path
        try:
            self._checked_signature = self._loaded_signature = signature_of(path)
            return self._read()
        except OSError as error:
            raise ValueError(f"sources.file: {path}: {error.strerror}") from None
        except AddressFileError as error:
            raise ValueError(f"sources.file: {path}: {error}") from None

    async def load_if_changed(self) -> LoadedFile | None:
        """Reads the file if it has changed since it was loaded but not since the last check; returns None otherwise.

        Raises OSError or AddressFileError if the file cannot be used.
        """
        signature, before = signature_of(self.config.path), self._checked_signature
        self._checked_signature = signature
        if signature == self._loaded_signature or signature != before:
            return None
        return LoadedFile(signature, await asyncio.to_thread(self._read))

    def accept(self, loaded: LoadedFile) -> None:
        """Records that the content that was read is in use."""
        self.problem, self._loaded_signature = "", loaded.signature

    def fail(self, error: OSError | AddressFileError) -> None:
        """Records and logs that the file cannot be used, which makes its last list stale."""
        problem = (error.strerror or str(error)) if isinstance(error, OSError) else str(error)
        if problem != self.problem:
            log_line(f"sources: {self.config.path}: {problem}; marking the file's last list as stale")
        self.problem, self._loaded_signature = problem, None

    def _read(self) -> list[Statement]:
        return read_address_file(self.config.path, self.config.zone, self.config.priority)
