"""The files in which the processes of one node remember the IDs of requests that may have run.

Each process writes its own table through to a file of the shared folder, and looks an ID up in the files of the others.
A file outlives its process for as long as an ID is remembered, so that a repeat is recognized by the process that took
over.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from harecross.dispatch.remembered_ids import BUCKET_BYTES, RememberedIds, bucket_offset, remembered_until
from harecross.node.handover_store import HandoverStore
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_line

HEADER = b"harecross-ids 1\n"


class SharedIds:
    """The table of this process in its file, and the files of the other processes; implements `OtherIdTables`.

    Attributes:
        others: The descriptors of the other processes' files, by path.
        dead_since_us: When the process of a file was first seen to have ended.
    """

    def __init__(self, store: HandoverStore, remembered: RememberedIds) -> None:
        self.store = store
        self.remembered = remembered
        self.descriptor: int | None = None
        self.others: dict[Path, int] = {}
        self.dead_since_us: dict[Path, int] = {}
        self.folder_version = 0

    def open(self) -> None:
        """Creates the file of this process, and begins to look IDs up in those of the others.

        Without a file, or if it cannot be written, the other processes do not learn the IDs of this one.
        """
        path = self.store.ids_path
        if path is None:
            return
        new = path.with_name(f".{path.name}")
        try:
            new.write_bytes(HEADER + self.remembered.table)
            self.descriptor = os.open(new, os.O_RDWR | os.O_CLOEXEC)
            new.rename(path)
            self.remembered.on_change = self.write_slot
        except OSError as error:
            log_line(f"{path}: other processes will not know the requests of this one: {error.strerror}")
            with suppress(OSError):
                new.unlink(missing_ok=True)
        self.remembered.others = self
        self.refresh()

    def write_slot(self, offset: int, data: bytes) -> None:
        """Writes one slot of this process's table to its file; one that cannot be written, only this process knows."""
        if self.descriptor is not None:
            with suppress(OSError):
                os.pwrite(self.descriptor, data, len(HEADER) + offset)

    def remembers(self, digest: int, now: int) -> bool:
        """Returns whether another process remembers an ID at the time `now`."""
        self.refresh_if_changed()
        return any(self.read_until(descriptor, digest) > now for descriptor in self.others.values())

    @staticmethod
    def read_until(descriptor: int, digest: int) -> int:
        """Returns until when the file of another process remembers a digest; 0 if it does not or cannot be read."""
        try:
            size = os.fstat(descriptor).st_size - len(HEADER)
            if size < BUCKET_BYTES:
                return 0
            bucket = os.pread(descriptor, BUCKET_BYTES, len(HEADER) + bucket_offset(digest, size))
        except OSError:
            return 0
        return remembered_until(bucket, digest) if len(bucket) == BUCKET_BYTES else 0

    def refresh_if_changed(self) -> None:
        """Looks for the files of other processes if one was added to the folder or removed from it."""
        path = self.store.ids_path
        if path is not None:
            with suppress(OSError):
                if path.parent.stat().st_mtime_ns != self.folder_version:
                    self.refresh()

    def refresh(self) -> None:
        """Opens the files of new processes, and removes those of processes that ended long enough ago."""
        own = self.store.ids_path
        if own is None:
            return
        with suppress(OSError):
            self.folder_version = own.parent.stat().st_mtime_ns
            paths = {each for each in own.parent.glob(f"{self.store.ids_prefix}*") if each != own}
            for path in self.others.keys() - paths:
                os.close(self.others.pop(path))
            for path in paths - self.others.keys():
                self.open_other(path)
        self.remove_forgotten()

    def open_other(self, path: Path) -> None:
        """Opens the file of another process, unless it is of another format."""
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        if os.pread(descriptor, len(HEADER), 0) == HEADER:
            self.others[path] = descriptor
        else:
            os.close(descriptor)

    def remove_forgotten(self) -> None:
        """Removes the files of processes that ended so long ago that all their IDs are forgotten."""
        if not self.others:
            return
        now = monotonic_us()
        live = self.store.live_tokens()
        for path in list(self.others):
            if path.name.removeprefix(self.store.ids_prefix) in live:
                self.dead_since_us.pop(path, None)
            elif now - self.dead_since_us.setdefault(path, now) > self.remembered.remembered_us:
                os.close(self.others.pop(path))
                self.dead_since_us.pop(path, None)
                path.unlink(missing_ok=True)
