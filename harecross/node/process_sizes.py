"""The sizes of the other processes of a node, which each tells in a file of the shared folder, and of the files there.

The limit on memory is that of the node: all its processes together, and the files in the folder, keep to it.
"""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

from harecross.node.handover_store import HandoverStore

# A size is told again when it has changed by this much.
STEP_BYTES = 1 << 18
BLOCK_BYTES = 512  # the unit of st_blocks (stat(2))
SIZE_DIGITS = 12  # a size has a fixed length, so that a single write replaces one by another


class ProcessSizes:
    """The file in which this process tells its size, and the files of the others.

    Attributes:
        told: The size that this process has told last; 0 for none.
        least_size: The size of this process when it began to serve. Another one that has told less is starting.
        others_bytes: What the other live processes and the files of the folder take, at the last `refresh`.
    """

    def __init__(self, store: HandoverStore) -> None:
        self.store = store
        self.told = 0
        self.least_size = 0
        self.folder_version = 0
        self.live: set[str] = set()
        self.others_bytes = 0
        self.descriptor: int | None = None

    def tell(self, size: int) -> None:
        """Tells the other processes how much this one takes for itself. One that cannot be written is not known."""
        path = self.store.size_path
        if path is None or self.store.process_lock is None or abs(size - self.told) < STEP_BYTES:
            return
        with suppress(OSError):
            if self.descriptor is None:
                self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            os.pwrite(self.descriptor, b"%0*d\n" % (SIZE_DIGITS, size), 0)
            self.told = size

    def refresh(self) -> None:
        """Reads the sizes of the other live processes and of the files, and removes files of ended processes."""
        own = self.store.size_path
        if own is None:
            return
        self.live = self.store.live_tokens()
        sizes = dict.fromkeys(self.live, 0)
        files = 0
        with suppress(OSError):
            for entry in os.scandir(own.parent):
                token = entry.name.removeprefix(self.store.size_prefix)
                if token != entry.name and entry.name != own.name:
                    sizes[token] = self.read(Path(entry.path), live=token in self.live)
                files += entry.stat().st_blocks * BLOCK_BYTES
        expected = (max(size, self.least_size) for token, size in sizes.items() if token in self.live)
        self.others_bytes = files + sum(expected)

    def others_changed(self) -> bool:
        """Returns whether another process has started or ended since the last `refresh`."""
        own = self.store.size_path
        if own is None:
            return False
        with suppress(OSError):
            version = own.parent.stat().st_mtime_ns
            if version != self.folder_version:
                self.folder_version = version
                return self.store.live_tokens() != self.live
        return False

    @staticmethod
    def read(path: Path, *, live: bool) -> int:
        """Returns the size in the file of a live process; removes the file of an ended one."""
        with suppress(OSError, ValueError):
            if live:
                return int(path.read_bytes())
            path.unlink(missing_ok=True)
        return 0

    def close(self) -> None:
        """Removes the file of this process."""
        if self.descriptor is not None and self.store.size_path is not None:
            with suppress(OSError):
                self.store.size_path.unlink(missing_ok=True)
            os.close(self.descriptor)
            self.descriptor = None
