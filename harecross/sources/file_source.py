"""A file of addresses as a source of membership: read again whenever it has changed."""

from __future__ import annotations

import asyncio
import os
from typing import NamedTuple

from harecross.platform.log import log_line
from harecross.sources.address_file import AddressFileError, read_address_file
from harecross.sources.config import AddressFileConfig
from harecross.sources.source import Statement

POLL_INTERVAL_S = 1.0  # between two checks of a file


class Signature(NamedTuple):
    """Changes whenever a file does."""

    inode: int
    size: int
    modified_ns: int


class LoadedFile(NamedTuple):
    """A file's content, and its signature when it was read."""

    signature: Signature
    statements: list[Statement]


def signature_of(path: str) -> Signature:
    """The present signature of a file. OSError where there is none."""
    stat = os.stat(path)
    return Signature(stat.st_ino, stat.st_size, stat.st_mtime_ns)


class FileSource:
    """A file of addresses that is a source."""

    def __init__(self, name: str, config: AddressFileConfig) -> None:
        self.name = name
        self.config = config
        self.next_check_at = 0.0  # when to check the file again
        self.problem = ""
        self._seen: Signature | None = None  # at the last check
        self._loaded: Signature | None = None  # when it was last read

    def configure(self, config: AddressFileConfig) -> None:
        """Takes new settings; where they are others, the file is read again."""
        if self.config != config:
            self.config, self._loaded = config, None

    def load(self) -> list[Statement]:
        """Reads the file at the start. ValueError for one that is missing or bad."""
        path = self.config.path
        try:
            self._seen = self._loaded = signature_of(path)
            return self._read()
        except OSError as error:
            raise ValueError(f"sources.file: {path}: {error.strerror}") from None
        except AddressFileError as error:
            raise ValueError(f"sources.file: {path}: {error}") from None

    async def load_if_changed(self) -> LoadedFile | None:
        """Reads a file that has changed, and has not changed further since the last check; None for any other.

        OSError or AddressFileError where it cannot be used.
        """
        signature, before = signature_of(self.config.path), self._seen
        self._seen = signature
        if signature == self._loaded or signature != before:
            return None
        return LoadedFile(signature, await asyncio.to_thread(self._read))

    def accept(self, loaded: LoadedFile) -> None:
        """The file that was read is in use."""
        self.problem, self._loaded = "", loaded.signature

    def fail(self, error: OSError | AddressFileError) -> None:
        """The file cannot be used; its last list is stale."""
        problem = (error.strerror or str(error)) if isinstance(error, OSError) else str(error)
        if problem != self.problem:
            log_line(f"sources: {self.config.path}: {problem}; its last list is stale")
        self.problem, self._loaded = problem, None

    def _read(self) -> list[Statement]:
        return read_address_file(self.config.path, self.config.zone, self.config.priority)
