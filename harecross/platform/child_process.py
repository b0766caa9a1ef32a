"""Child processes that are started without the fork handlers of libraries, and whose exit is described by its cause.

uvloop starts a child by fork(2), which runs the handlers that libraries have registered with pthread_atfork. Those of
grpc run in the child without its other threads, and crash it. CPython's `subprocess` uses vfork(2) where neither a
preexec function nor another user or group is requested, and runs no handlers.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from collections.abc import Sequence


def describe_exit(code: int) -> str:
    """How a process ended; a negative `code` is the signal that ended it."""
    if code >= 0:
        return f"ended with status {code}"
    try:
        name = signal.Signals(-code).name
    except ValueError:
        name = f"signal {-code}"
    return f"was ended by {name}"


class ChildProcess:
    """A child process. `ended` completes with its return code, negative for a signal."""

    def __init__(self, command: Sequence[str], pass_fds: Sequence[int] = ()) -> None:
        """Starts it. OSError if that fails."""
        self.loop = asyncio.get_running_loop()
        self.popen = subprocess.Popen(command, pass_fds=tuple(pass_fds), stdin=subprocess.DEVNULL)
        self.ended: asyncio.Future[int] = self.loop.create_future()
        # A pidfd needs neither a thread that waits nor a handler of SIGCHLD, which belongs to the event loop.
        self.pidfd = os.pidfd_open(self.popen.pid)
        self.loop.add_reader(self.pidfd, self.reap)

    def reap(self) -> None:
        """Completes `ended` if the process has ended."""
        code = self.popen.poll()
        if code is None:
            return
        self.loop.remove_reader(self.pidfd)
        os.close(self.pidfd)
        if not self.ended.done():
            self.ended.set_result(code)

    def kill(self) -> None:
        """Sends SIGKILL if it still runs."""
        self.popen.kill()

    async def wait(self) -> int:
        """Its return code, once it has ended. A cancelled wait does not cancel others."""
        return await asyncio.shield(self.ended)
