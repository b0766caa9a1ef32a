"""The fault shim (`faults.c`): rules for system calls that fail, and its build where there is a C compiler."""

from __future__ import annotations

import errno
import os
import shutil
import subprocess
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

SOURCE = Path(__file__).with_name("faults.c")
# In the place of an errno.
CUT_SHORT = -1  # the call transfers a few bytes only
DELAYED = -2  # the process sleeps for 50 ms before the call


class CallFault(NamedTuple):
    """A system call that fails with `error`, with that probability, between two times after the process started.

    `call` is one of accept, socket, connect, setsockopt, read, write, fsync, write_file, close_listener. Times in
    seconds.
    """

    call: str
    error: int
    probability: float
    start: float
    end: float

    @property
    def name(self) -> str:
        """For a report: the call and the name of its errno."""
        effect = {CUT_SHORT: "cut short", DELAYED: "held up"}.get(self.error)
        effect = effect or errno.errorcode[self.error]
        return f"{self.call} {effect} {self.probability:g} from {self.start:g} to {self.end:g} s"


class ClockStep(NamedTuple):
    """The wall clock is set forward or back, both in seconds; `at` counts from the process's start."""

    at: float
    seconds: float


def compiler() -> str | None:
    """The C compiler of this machine, if it has one."""
    return shutil.which("cc") or shutil.which("gcc")


def build_shim(folder: Path | None = None) -> Path | None:
    """The compiled shim, None where it cannot be built. `folder` is a new temporary one by default."""
    command = compiler()
    if command is None or not os.path.exists("/proc/self/fd"):
        return None
    target = (folder or Path(tempfile.mkdtemp(prefix="harecross-shim-"))) / "faults.so"
    compilation = subprocess.run(
        [command, "-O1", "-shared", "-fPIC", "-o", str(target), str(SOURCE), "-ldl", "-lpthread"],
        capture_output=True,
        text=True,
    )
    return target if compilation.returncode == 0 else None


def shim_environment(
    shim: Path, seed: int, calls: Iterable[CallFault] = (), clock: Iterable[ClockStep] = ()
) -> dict[str, str]:
    """The environment variables of a process that is to have these faults."""
    rules = ";".join(
        f"{fault.call} {fault.error} {fault.probability} {fault.start} {fault.end}" for fault in calls
    )
    steps = ";".join(f"{step.at} {step.seconds}" for step in clock)
    return {"LD_PRELOAD": str(shim), "FAULT_SEED": str(seed), "FAULT_RULES": rules, "FAULT_CLOCK": steps}
