"""What one process of a node leaves to the next: maintenance state, learned state, and a lock for each live process.

A file is replaced as a whole by a rename, under a lock, so that a kill at any moment leaves the old state or the new
one. The locks are the kernel's: a killed process holds none.
"""

from __future__ import annotations

import fcntl
import os
import re
import secrets
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from harecross.node.maintenance import MaintenanceState
from harecross.platform.durable_file import replace_file
from harecross.platform.log import log_line

LEARNED_STATE_MAX_AGE_S = 5.0


class HandoverStore:
    """The files of one node name in `folder`. Without a folder the maintenance state is in memory alone."""

    def __init__(self, folder: str | None, name: str) -> None:
        self.name = name
        self.maintenance = MaintenanceState()
        self.file_version: tuple[int, int] | None = (
            None  # inode and modification time of the file as last read
        )
        stem = f"harecross-{re.sub(r'[^A-Za-z0-9._-]', '_', name)}"
        self.process_lock_prefix = f"{stem}.life-"
        self.maintenance_path = Path(folder) / f"{stem}.held" if folder else None
        self.learned_state_path = Path(folder) / f"{stem}.learned" if folder else None
        self.process_lock_path = (
            Path(folder) / f"{self.process_lock_prefix}{secrets.token_hex(6)}" if folder else None
        )
        self.process_lock: int | None = None  # the descriptor of the locked file

    # ---- maintenance state ----------------------------------------------------------------------------

    def refresh(self) -> bool:
        """Reads the file if another process has replaced it; returns whether the state has changed."""
        if self.maintenance_path is None:
            return False
        try:
            stat = self.maintenance_path.stat()
            version = (stat.st_ino, stat.st_mtime_ns)
            if version == self.file_version:
                return False
            maintenance = MaintenanceState.from_json(self.maintenance_path.read_bytes())
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as error:
            log_line(f"{self.maintenance_path}: cannot be read, what was held stays: {error}")
            return False
        self.file_version = version
        changed, self.maintenance = maintenance != self.maintenance, maintenance
        return changed

    def update(self, change: Callable[[MaintenanceState], MaintenanceState]) -> None:
        """Changes the state; it is on disk when this returns. OSError if it cannot be written."""
        if self.maintenance_path is None:
            self.maintenance = change(self.maintenance)
            return
        with exclusive_lock(self.maintenance_path.with_suffix(".lock")):
            # Another process may have changed the file: its change must not be undone.
            self.refresh()
            maintenance = change(self.maintenance)
            replace_file(
                self.maintenance_path, maintenance.to_json(), self.maintenance_path.with_suffix(".new")
            )
            self.refresh()

    # ---- learned state --------------------------------------------------------------------------------

    def write_learned_state(self, snapshot: bytes) -> None:
        """Leaves a snapshot to the process that takes over. A failure is ignored: the next snapshot follows soon."""
        if self.learned_state_path is not None:
            new = self.learned_state_path.with_suffix(".learning")
            with suppress(OSError):
                new.write_bytes(b"%d\n%s" % (time.monotonic_ns(), snapshot))
                os.replace(new, self.learned_state_path)

    def read_learned_state(self) -> bytes | None:
        """A snapshot that another live process has written a moment ago; None if there is none.

        The other process is alive, so the machine has not restarted and both processes have one monotonic clock.
        """
        if self.learned_state_path is None or not self.other_processes():
            return None
        try:
            written_ns, _, snapshot = self.learned_state_path.read_bytes().partition(b"\n")
            age_s = (time.monotonic_ns() - int(written_ns)) / 1e9
        except (OSError, ValueError):
            return None
        return snapshot if 0 <= age_s < LEARNED_STATE_MAX_AGE_S else None

    # ---- processes ------------------------------------------------------------------------------------

    def acquire_process_lock(self) -> None:
        """Registers this process for as long as it lives. OSError if the file cannot be made."""
        if self.process_lock_path is None or self.process_lock is not None:
            return
        # Locked before it has its name, because a file without a lock is taken for a dead process's and removed.
        new = self.process_lock_path.with_name(f".{self.process_lock_path.name}")
        self.process_lock = os.open(new, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.process_lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.rename(new, self.process_lock_path)

    def release_process_lock(self) -> None:
        """Removes this process from those that serve."""
        if self.process_lock is not None and self.process_lock_path is not None:
            self.process_lock_path.unlink(missing_ok=True)
            os.close(self.process_lock)
            self.process_lock = None

    def other_processes(self) -> int:
        """How many other processes serve under this node's name."""
        own = self.process_lock_path
        if own is None:
            return 0
        return sum(
            name.startswith(self.process_lock_prefix) and name != own.name and is_locked(own.with_name(name))
            for name in os.listdir(own.parent)
        )


def is_locked(path: Path) -> bool:
    """Whether a live process holds the lock on the file. The file of a dead process is removed."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    else:
        path.unlink(missing_ok=True)
        return False
    finally:
        os.close(descriptor)


@contextmanager
def exclusive_lock(path: Path) -> Iterator[None]:
    """Holds an exclusive lock on the file, which is created if it does not exist."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        yield
    finally:
        os.close(descriptor)
