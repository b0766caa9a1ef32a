"""The fault shim (`faults.c`): its configuration, and its build if there is a C compiler."""

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
# Value of `CallFault.error` for a call that transfers only a few bytes instead of failing.
CUT_SHORT = -1
# Value of `CallFault.error` for a call before which the process sleeps for 50 ms.
DELAYED = -2


class CallFault(NamedTuple):
    """A system call that fails with some probability during an interval.

    Attributes:
        call: One of accept, socket, connect, setsockopt, read, write, fsync, write_file, close_listener.
        error: The errno of the failure, `CUT_SHORT` or `DELAYED`.
        probability: Probability that a call in the interval fails.
        start: Start of the interval, in seconds from the start of the process.
        end: End of the interval, in seconds from the start of the process.
    """

    call: str
    error: int
    probability: float
    start: float
    end: float

    @property
    def name(self) -> str:
        """A description for reports: the call, its effect or the name of its errno, and the interval."""
        effect = {CUT_SHORT: "cut short", DELAYED: "held up"}.get(self.error)
        effect = effect or errno.errorcode[self.error]
        return f"{self.call} {effect} {self.probability:g} from {self.start:g} to {self.end:g} s"


class ClockStep(NamedTuple):
    """A step of the wall clock.

    Attributes:
        at: Time of the step, in seconds from the start of the process.
        seconds: Size of the step in seconds; negative for a step backwards.
    """

    at: float
    seconds: float


def find_compiler() -> str | None:
    """Returns the path of the C compiler, or None if there is none."""
    return shutil.which("cc") or shutil.which("gcc")


def build_shim(folder: Path | None = None) -> Path | None:
    """Compiles the shim into `folder`, by default a new temporary one.

    Returns the path of the library, or None if it cannot be built.
    """
    command = find_compiler()
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
    """Returns the environment variables that load the shim with these faults into a process."""
    rules = ";".join(
        f"{fault.call} {fault.error} {fault.probability} {fault.start} {fault.end}" for fault in calls
    )
    steps = ";".join(f"{step.at} {step.seconds}" for step in clock)
    return {"LD_PRELOAD": str(shim), "FAULT_SEED": str(seed), "FAULT_RULES": rules, "FAULT_CLOCK": steps}
