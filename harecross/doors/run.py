"""Carries a release out: calls to doors in threads, restarts as processes, Ctrl-C as interrupts."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from queue import Empty, SimpleQueue
from typing import Any

from harecross.doors.ask import call, look
from harecross.doors.release import Do, Release
from harecross.platform.child_process import describe_exit

TICK = 0.1  # seconds between two looks at the clock
BEFORE_KILL = 5.0  # seconds from SIGTERM to SIGKILL for a restart that takes too long
PATHS = {"out": "/maintenance/enter", "back": "/maintenance/exit"}


class Runner:
    """One release, from its first look to its end. `say` prints a line."""

    def __init__(self, release: Release, command: str | None, say: Callable[[str], None]) -> None:
        """`command` restarts a server, through a shell, with `HARECROSS_SERVER` set; without it people do."""
        self.release = release
        self.command = command
        self.say = say
        # A plain Queue's lock is not safe to take in a signal's handler.
        self.events: SimpleQueue[Callable[[float], list[Do]]] = SimpleQueue()
        self.pool = ThreadPoolExecutor(max(4, 2 * len(release.doors)))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.asks: set[str] = set()  # servers that people are restarting
        self.reading = False

    def run(self) -> int:
        """The status to end with: 0 for all done, 1 for a no, 130 when interrupted."""
        before = signal.signal(signal.SIGINT, lambda *_: self.events.put(self.release.interrupt))
        try:
            self.do(self.release.begin(time.monotonic()))
            while not self.release.over:
                try:
                    event = self.events.get(timeout=TICK)
                except Empty:
                    event = self.release.tick
                self.do(event(time.monotonic()))
                self.tell()
        finally:
            self.pool.shutdown(wait=False, cancel_futures=True)
            signal.signal(signal.SIGINT, before)
        self.tell()
        if self.release.interrupts:
            return 130
        return 1 if self.release.why else 0

    def tell(self) -> None:
        lines, self.release.lines = self.release.lines, []
        for line in lines:
            self.say(line)

    def do(self, todo: list[Do]) -> None:
        for d in todo:
            if d.what == "look":
                self.pool.submit(self.look, d.door)
            elif d.what in PATHS:
                self.pool.submit(self.call, d)
            elif d.what == "restart":
                self.restart(d.server)
            else:
                threading.Thread(target=self.end, args=(d.server,), daemon=True).start()

    def look(self, door: str) -> None:
        seen = look(door)
        self.events.put(lambda now: self.release.looked(now, door, seen))

    def call(self, d: Do) -> None:
        said = call(d.door, "POST", PATHS[d.what], d.server)
        self.events.put(lambda now: self.release.answered(now, d.what, d.door, d.server, said))

    # ---- restarts -------------------------------------------------------------------------------------

    def restart(self, server: str) -> None:
        if self.command is None:
            self.asks.add(server)
            self.say(f"{server} is out and empty: restart it, then type {server} (or: {server} failed)")
            if not self.reading:
                self.reading = True
                threading.Thread(target=self.read, daemon=True).start()
            return
        env = {**os.environ, "HARECROSS_SERVER": server}
        try:
            # A session of its own: the first Ctrl-C is for the release, not for what it has begun.
            process = subprocess.Popen(
                self.command, shell=True, env=env, stdin=subprocess.DEVNULL, start_new_session=True
            )
        except OSError as e:
            self.ended(server, False, f"did not start: {e.strerror}")
            return
        self.processes[server] = process
        threading.Thread(target=self.wait, args=(server, process), daemon=True).start()

    def wait(self, server: str, process: subprocess.Popen[Any]) -> None:
        code = process.wait()
        self.ended(server, code == 0, describe_exit(code))

    def end(self, server: str) -> None:
        """Ends a restart that takes too long, with all that it has started."""
        process = self.processes.get(server)
        if process is None:
            self.asks.discard(server)
            self.ended(server, False, "was not reported")
            return
        for number, patience in ((signal.SIGTERM, BEFORE_KILL), (signal.SIGKILL, BEFORE_KILL)):
            try:
                os.killpg(process.pid, number)
                process.wait(patience)
                return
            except ProcessLookupError:
                return
            except subprocess.TimeoutExpired:
                continue

    def read(self) -> None:
        """What people say of their restarts."""
        for line in sys.stdin:
            name, _, how = line.strip().partition(" ")
            if name not in self.asks or how not in ("", "failed"):
                self.say(
                    f"waiting for one of: {', '.join(sorted(self.asks)) or 'nothing'} (ID, or ID failed)"
                )
                continue
            self.asks.discard(name)
            self.ended(name, how == "", "was reported as failed")
        for name in sorted(self.asks):
            self.ended(name, False, "was not reported: standard input has ended")
        self.reading = False

    def ended(self, server: str, ok: bool, how: str) -> None:
        self.events.put(lambda now: self.release.restarted(now, server, ok, how))
