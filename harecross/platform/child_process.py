"""Child processes whose start runs no library's fork handlers, and whose end is told by cause.

uvloop starts a child by fork(2), which runs what libraries have registered with pthread_atfork: of grpc in the
child, while its other threads are gone. That crashed 14 children in 30 runs of one test on a busy machine. CPython's
`subprocess` uses vfork(2) where neither a preexec function nor another user or group is asked for: no handler runs.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from collections.abc import Sequence


def cause(code: int) -> str:
    """How a process ended, in words; a negative `code` is the signal that ended it."""
    if code >= 0:
        return f"ended with status {code}"
    try:
        name = signal.Signals(-code).name
    except ValueError:
        name = f"signal {-code}"
    return f"was ended by {name}"


class Child:
    """One child. `ended` completes with its return code, negative for a signal."""

    def __init__(self, command: Sequence[str], pass_fds: Sequence[int] = ()) -> None:
        """Starts it. OSError where that cannot be."""
        self.loop = asyncio.get_running_loop()
        self.popen = subprocess.Popen(command, pass_fds=tuple(pass_fds), stdin=subprocess.DEVNULL)
        self.ended: asyncio.Future[int] = self.loop.create_future()
        # Guards against: a wait in a thread, or a handler of SIGCHLD, which belongs to the loop.
        self.handle = os.pidfd_open(self.popen.pid)
        self.loop.add_reader(self.handle, self.reap)

    def reap(self) -> None:
        code = self.popen.poll()
        if code is None:
            return
        self.loop.remove_reader(self.handle)
        os.close(self.handle)
        if not self.ended.done():
            self.ended.set_result(code)

    def kill(self) -> None:
        """SIGKILL, if it still runs."""
        self.popen.kill()

    async def wait(self) -> int:
        """Its return code, once it has ended. Being cancelled changes nothing for others that wait."""
        return await asyncio.shield(self.ended)
