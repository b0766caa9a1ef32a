"""Starts child processes without running libraries' fork handlers, and describes how they exited.

uvloop starts a child with fork(2), which runs the handlers that libraries have registered with pthread_atfork. The
handlers of grpc then run in a child that lacks the parent's other threads, and crash it. CPython's `subprocess` uses
vfork(2), which runs no handlers, if neither a preexec function nor another user or group is requested.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from collections.abc import Sequence


def describe_exit(code: int) -> str:
    """Describes how a process ended; a negative `code` is the number of the signal that killed it."""
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
        """Starts the process. Raises OSError on failure."""
        self.loop = asyncio.get_running_loop()
        self.popen = subprocess.Popen(command, pass_fds=tuple(pass_fds), stdin=subprocess.DEVNULL)
        self.ended: asyncio.Future[int] = self.loop.create_future()
        # A pidfd needs no waiting thread, and no SIGCHLD handler, which would conflict with that of the event loop.
        self.pidfd = os.pidfd_open(self.popen.pid)
        self.loop.add_reader(self.pidfd, self.reap)

    def reap(self) -> None:
        """Completes `ended` if the process has exited."""
        code = self.popen.poll()
        if code is None:
            return
        self.loop.remove_reader(self.pidfd)
        os.close(self.pidfd)
        if not self.ended.done():
            self.ended.set_result(code)

    def kill(self) -> None:
        """Sends SIGKILL if the process is still running."""
        self.popen.kill()

    async def wait(self) -> int:
        """Waits for the process to exit and returns its return code. Cancelling one wait does not affect others."""
        return await asyncio.shield(self.ended)
