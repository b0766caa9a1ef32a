"""What one process leaves to the next: a small file for what is held out, and a lock that says who lives.

A file is replaced whole by a rename, under a lock, so that a kill at any moment leaves the old state or
the new one. Locks are the kernel's: a killed process holds none.
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

from harecross.node.maintenance import MaintenanceState, from_json
from harecross.platform.durable_file import replace_file
from harecross.platform.log import log_line

LEARNED_FRESH = 5.0  # seconds after which what was learned no longer holds


class HandoverStore:
    """What is held out, in `folder`, for the node of that name. Without a folder it lives in memory alone."""

    def __init__(self, folder: str | None, name: str) -> None:
        self.name = name
        self.held = MaintenanceState()
        self.seen: tuple[int, int] | None = None  # inode and time of the file as last read
        plain = re.sub(r"[^A-Za-z0-9._-]", "_", name)
        self.path = Path(folder) / f"harecross-{plain}.held" if folder else None
        self.learned = Path(folder) / f"harecross-{plain}.learned" if folder else None
        self.start = f"harecross-{plain}.life-"
        self.lives = Path(folder) / f"{self.start}{secrets.token_hex(6)}" if folder else None
        self.life: int | None = None

    # ---- what is held out -----------------------------------------------------------------------------

    def look(self) -> bool:
        """Reads the file again where it is another one; whether anything changed.

        Guards against: what one process was told while two run is not known to the other.
        """
        if self.path is None:
            return False
        try:
            stat = self.path.stat()
            seen = (stat.st_ino, stat.st_mtime_ns)
            if seen == self.seen:
                return False
            held = from_json(self.path.read_bytes())
        except FileNotFoundError:
            return False
        except (OSError, ValueError) as e:
            log_line(f"{self.path}: cannot be read, what was held stays: {e}")
            return False
        self.seen = seen
        changed, self.held = held != self.held, held
        return changed

    def change(self, make: Callable[[MaintenanceState], MaintenanceState]) -> None:
        """Changes the state, and has written it when this returns. OSError where it cannot be written."""
        if self.path is None:
            self.held = make(self.held)
            return
        with locked(self.path.with_suffix(".lock")):
            # Guards against: two processes that change it at once each undo the other's change.
            self.look()
            held = make(self.held)
            # Guards against: what an operator was promised is undone by a crash, or by a disk that is full.
            replace_file(self.path, held.to_json(), self.path.with_suffix(".new"))
            self.look()

    # ---- what was learned -----------------------------------------------------------------------------

    def write_learned(self, text: bytes) -> None:
        """Leaves it to the process that takes over; what cannot be written is not missed for long."""
        if self.learned is not None:
            new = self.learned.with_suffix(".learning")
            with suppress(OSError):
                new.write_bytes(b"%d\n%s" % (time.monotonic_ns(), text))
                os.replace(new, self.learned)

    def read_learned(self) -> bytes | None:
        """What another process has just written, if there is one.

        It lives, so the machine has not started again since: both processes have one monotonic clock.
        """
        if self.learned is None or not self.others():
            return None
        try:
            written, _, text = self.learned.read_bytes().partition(b"\n")
            age = (time.monotonic_ns() - int(written)) / 1e9
        except (OSError, ValueError):
            return None
        return text if 0 <= age < LEARNED_FRESH else None

    # ---- who lives ------------------------------------------------------------------------------------

    def live(self) -> None:
        """Says that this process serves, for as long as it lives. OSError where it cannot be said."""
        if self.lives is not None and self.life is None:
            # Guards against: a file that is not locked yet is taken for a dead process's and cleared away.
            new = self.lives.with_name(f".{self.lives.name}")
            self.life = os.open(new, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.life, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(new, self.lives)

    def leave(self) -> None:
        """Says that it serves no longer."""
        if self.life is not None and self.lives is not None:
            self.lives.unlink(missing_ok=True)
            os.close(self.life)
            self.life = None

    def others(self) -> int:
        """How many other processes serve under this node's name."""
        if self.lives is None:
            return 0
        return sum(
            name.startswith(self.start) and name != self.lives.name and alive(self.lives.with_name(name))
            for name in os.listdir(self.lives.parent)
        )


def alive(path: Path) -> bool:
    """Whether a process holds the lock on the file; what a killed one has left is cleared away."""
    try:
        file = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    else:
        path.unlink(missing_ok=True)
        return False
    finally:
        os.close(file)


@contextmanager
def locked(path: Path) -> Iterator[None]:
    file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
    finally:
        os.close(file)
