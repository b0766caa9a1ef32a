"""Files that the processes of one node share: maintenance state, learned state, and a lock for each live process.

The lock file of a process states what it does with the listening socket.

The maintenance file is replaced as a whole by a rename, under a lock, so that a kill at any moment leaves either the
old state or the new one. The kernel releases the locks of a killed process.
"""

from __future__ import annotations

import fcntl
import os
import re
import secrets
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from enum import Enum
from pathlib import Path

from harecross.node.maintenance import MaintenanceState
from harecross.platform.durable_file import replace_file
from harecross.platform.log import log_line

LEARNED_STATE_MAX_AGE_S = 5.0  # an older snapshot is not imported


class ProcessPhase(Enum):
    """What a process does with the listening socket, as it states in its lock file.

    The texts have one length, so that a single write replaces one by another. A process of an earlier version leaves
    its file empty; it counts as accepting, as it did then.
    """

    STARTING = b"starting \n"
    ACCEPTING = b"accepting\n"
    LEAVING = b"leaving  \n"


class HandoverStore:
    """The files of the node `name` in `folder`. Without a folder the maintenance state is kept only in memory.

    Attributes:
        file_version: The inode and the modification time of the maintenance file when it was last read.
        process_lock: The descriptor of this process's lock file; None while it is not locked.
    """

    def __init__(self, folder: str | None, name: str) -> None:
        self.name = name
        self.maintenance = MaintenanceState()
        self.file_version: tuple[int, int] | None = None
        stem = f"harecross-{re.sub(r'[^A-Za-z0-9._-]', '_', name)}"
        self.process_lock_prefix = f"{stem}.life-"
        self.maintenance_path = Path(folder) / f"{stem}.held" if folder else None
        self.learned_state_path = Path(folder) / f"{stem}.learned" if folder else None
        self.ids_prefix = f"{stem}.ids-"
        token = secrets.token_hex(6)
        self.process_lock_path = Path(folder) / f"{self.process_lock_prefix}{token}" if folder else None
        self.size_prefix = f"{stem}.size-"
        self.size_path = Path(folder) / f"{self.size_prefix}{token}" if folder else None
        self.ids_path = Path(folder) / f"{self.ids_prefix}{token}" if folder else None
        self.list_path = Path(folder) / f"{stem}.list" if folder else None
        # Not the lock of the maintenance file, which is held while that is written to the disk.
        self.leaving_lock_path = Path(folder) / f"{stem}.leaving" if folder else None
        self.process_lock: int | None = None
        self.folder_changed_ns = 0

    def refresh(self) -> bool:
        """Reads the maintenance file if another process has replaced it. Returns whether the state has changed."""
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
            log_line(
                f"{self.maintenance_path}: cannot be read, keeping the current maintenance state: {error}"
            )
            return False
        self.file_version = version
        changed, self.maintenance = maintenance != self.maintenance, maintenance
        return changed

    def update(self, change: Callable[[MaintenanceState], MaintenanceState]) -> None:
        """Changes the maintenance state, which is on disk when this returns. Raises OSError if it cannot be written."""
        if self.maintenance_path is None:
            self.maintenance = change(self.maintenance)
            return
        with exclusive_lock(self.maintenance_path.with_suffix(".lock")):
            # Another process may have changed the file since the last refresh, and its change must be kept.
            self.refresh()
            maintenance = change(self.maintenance)
            replace_file(
                self.maintenance_path, maintenance.to_json(), self.maintenance_path.with_suffix(".new")
            )
            self.refresh()

    def write_learned_state(self, snapshot: bytes) -> None:
        """Writes a snapshot for the process that takes over. Errors are ignored, as the next snapshot follows soon."""
        if self.learned_state_path is not None:
            data = b"%d\n%s" % (time.monotonic_ns(), snapshot)
            write_for_running_process(self.learned_state_path, ".learning", data)

    def write_list(self, data: bytes) -> None:
        """Writes the endpoint list for a process that is starting. Errors are ignored: it then has its own list."""
        if self.list_path is not None:
            write_for_running_process(self.list_path, ".listing", data)

    def read_list(self) -> bytes | None:
        """Returns what another live process has written by `write_list`; None if there is nothing."""
        if self.list_path is None or not self.other_processes():
            return None
        try:
            return self.list_path.read_bytes()
        except OSError:
            return None

    def folder_changed(self) -> bool:
        """Returns whether a file of the folder was added or removed since the last call."""
        if self.maintenance_path is None:
            return False
        try:
            changed_ns = self.maintenance_path.parent.stat().st_mtime_ns
        except OSError:
            return False
        before, self.folder_changed_ns = self.folder_changed_ns, changed_ns
        return changed_ns != before

    def read_learned_state(self) -> bytes | None:
        """Returns the snapshot of another live process, or None if there is none younger than the maximum age.

        Since the other process is alive, the machine has not restarted, so both processes share one monotonic clock.
        """
        if self.learned_state_path is None or not self.other_processes():
            return None
        try:
            written_ns, _, snapshot = self.learned_state_path.read_bytes().partition(b"\n")
            age_s = (time.monotonic_ns() - int(written_ns)) / 1e9
        except (OSError, ValueError):
            return None
        return snapshot if 0 <= age_s < LEARNED_STATE_MAX_AGE_S else None

    def acquire_process_lock(self) -> None:
        """Registers this process as long as it lives. Raises OSError if the lock file cannot be created."""
        if self.process_lock_path is None or self.process_lock is not None:
            return
        # The file is locked before it gets its final name, because other processes remove an unlocked file as that
        # of a dead process.
        new = self.process_lock_path.with_name(f".{self.process_lock_path.name}")
        self.process_lock = os.open(new, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self.process_lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.publish(ProcessPhase.STARTING)
        os.rename(new, self.process_lock_path)

    def publish(self, phase: ProcessPhase) -> None:
        """States to the other processes of the node what this one does with the listening socket."""
        if self.process_lock is not None:
            with suppress(OSError):  # the other processes keep to the last phase
                os.pwrite(self.process_lock, phase.value, 0)

    def leave_listener(self) -> bool:
        """States that this process stops accepting; returns whether another process accepts.

        The check and the statement are one step for all processes of the node. Otherwise two of them could each leave
        the listening socket to the other.
        """
        if self.leaving_lock_path is None:
            return False
        with ExitStack() as stack:
            try:
                stack.enter_context(exclusive_lock(self.leaving_lock_path))
            except OSError as error:
                log_line(
                    f"{self.leaving_lock_path}: leaving the listening socket without a lock: {error.strerror}"
                )
            self.publish(ProcessPhase.LEAVING)
            return ProcessPhase.ACCEPTING in self.other_phases()

    def release_process_lock(self) -> None:
        """Removes this process from the processes that serve as this node."""
        if self.process_lock is not None and self.process_lock_path is not None:
            self.process_lock_path.unlink(missing_ok=True)
            os.close(self.process_lock)
            self.process_lock = None

    def another_is_starting(self) -> bool:
        """Returns whether another process of this node is about to accept."""
        return ProcessPhase.STARTING in self.other_phases()

    def other_processes(self) -> int:
        """Returns how many other processes serve under this node's name."""
        return len(self.other_phases())

    def other_phases(self) -> list[ProcessPhase]:
        """Returns the phases of the other live processes of this node."""
        return [read_phase(path) for path in self.other_lock_paths()]

    def other_lock_paths(self) -> list[Path]:
        """Returns the lock files of the other live processes of this node."""
        own = self.process_lock_path
        if own is None:
            return []
        names = [name for name in os.listdir(own.parent) if name.startswith(self.process_lock_prefix)]
        others = [own.with_name(name) for name in names if name != own.name]
        return [path for path in others if is_locked(path)]

    def live_tokens(self) -> set[str]:
        """Returns the tokens of the other live processes, which end the names of their files."""
        return {path.name.removeprefix(self.process_lock_prefix) for path in self.other_lock_paths()}


def write_for_running_process(path: Path, suffix: str, data: bytes) -> None:
    """Replaces a file that is of use only while this machine runs, so that it need not be on disk. Ignores errors."""
    new = path.with_suffix(suffix)
    with suppress(OSError):
        new.write_bytes(data)
        os.replace(new, path)


def read_phase(path: Path) -> ProcessPhase:
    """Returns the phase that the process of a lock file states."""
    with suppress(OSError, ValueError):
        return ProcessPhase(path.read_bytes())
    return ProcessPhase.ACCEPTING


def is_locked(path: Path) -> bool:
    """Returns whether a live process holds the lock on the file. Removes the file of a dead process."""
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
    """Holds an exclusive lock on the file during the context. Creates the file if it does not exist."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        yield
    finally:
        os.close(descriptor)
