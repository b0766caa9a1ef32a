"""Carries a release out: calls to nodes in threads, restarts as processes, Ctrl-C as interrupts."""

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

from harecross.admin_client.calls import call_node, fetch_status
from harecross.admin_client.release import Release
from harecross.admin_client.release_state import Action, ActionKind
from harecross.platform.child_process import describe_exit

TICK_S = 0.1
SIGNAL_TIMEOUT_S = 5.0  # from SIGTERM to SIGKILL for a restart that takes too long
MIN_CALL_THREADS = 4
INTERRUPTED_STATUS = 130
PATHS = {
    ActionKind.ENTER_MAINTENANCE: "/maintenance/enter",
    ActionKind.EXIT_MAINTENANCE: "/maintenance/exit",
}


class ReleaseRunner:
    """One release, from its first status to its end."""

    def __init__(
        self, release: Release, restart_command: str | None, print_line: Callable[[str], None]
    ) -> None:
        """`restart_command` is for a shell, with `HARECROSS_SERVER` set; without one people restart servers."""
        self.release = release
        self.restart_command = restart_command
        self.print_line = print_line
        # Unlike the lock of a plain Queue, this queue's may be taken in a signal handler.
        self.events: SimpleQueue[Callable[[float], list[Action]]] = SimpleQueue()
        self.pool = ThreadPoolExecutor(max(MIN_CALL_THREADS, 2 * len(release.nodes)))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.manual_restarts: set[str] = set()  # servers that people are restarting
        self.reading_input = False

    def run(self) -> int:
        """Returns the exit status: 0 for all done, 1 for a release that stopped, 130 when interrupted."""
        previous = signal.signal(signal.SIGINT, lambda *_: self.events.put(self.release.interrupt))
        try:
            self.execute(self.release.begin(time.monotonic()))
            while not self.release.finished:
                try:
                    event = self.events.get(timeout=TICK_S)
                except Empty:
                    event = self.release.tick
                self.execute(event(time.monotonic()))
                self.print_messages()
        finally:
            self.pool.shutdown(wait=False, cancel_futures=True)
            signal.signal(signal.SIGINT, previous)
        self.print_messages()
        if self.release.interrupts:
            return INTERRUPTED_STATUS
        return 1 if self.release.stop_reason else 0

    def print_messages(self) -> None:
        """Prints the messages of the release and removes them."""
        messages, self.release.messages = self.release.messages, []
        for message in messages:
            self.print_line(message)

    def execute(self, actions: list[Action]) -> None:
        """Starts the actions; each ends with an event."""
        for action in actions:
            if action.kind is ActionKind.FETCH_STATUS:
                self.pool.submit(self.fetch_status, action.node)
            elif action.kind in PATHS:
                self.pool.submit(self.call, action)
            elif action.kind is ActionKind.RESTART:
                self.restart(action.server)
            else:
                threading.Thread(target=self.end_restart, args=(action.server,), daemon=True).start()

    def fetch_status(self, node: str) -> None:
        """Runs in a thread of the pool."""
        status = fetch_status(node)
        self.events.put(lambda now: self.release.status_received(now, node, status))

    def call(self, action: Action) -> None:
        """Runs in a thread of the pool."""
        result = call_node(action.node, "POST", PATHS[action.kind], action.server)
        self.events.put(
            lambda now: self.release.call_answered(now, action.kind, action.node, action.server, result)
        )

    # ---- restarts -------------------------------------------------------------------------------------

    def restart(self, server: str) -> None:
        """Starts the restart command, or asks people to restart the server."""
        if self.restart_command is None:
            self.ask_for_manual_restart(server)
            return
        env = {**os.environ, "HARECROSS_SERVER": server}
        try:
            # In a session of its own, because the first Ctrl-C is for the release alone.
            process = subprocess.Popen(
                self.restart_command, shell=True, env=env, stdin=subprocess.DEVNULL, start_new_session=True
            )
        except OSError as error:
            self.restart_ended(server, ok=False, how=f"did not start: {error.strerror}")
            return
        self.processes[server] = process
        threading.Thread(target=self.wait, args=(server, process), daemon=True).start()

    def wait(self, server: str, process: subprocess.Popen[Any]) -> None:
        """Runs in a thread of its own until the restart command ends."""
        status = process.wait()
        self.restart_ended(server, ok=status == 0, how=describe_exit(status))

    def end_restart(self, server: str) -> None:
        """Ends a restart that takes too long, with all processes that it has started."""
        process = self.processes.get(server)
        if process is None:
            self.manual_restarts.discard(server)
            self.restart_ended(server, ok=False, how="was not reported")
            return
        for number in (signal.SIGTERM, signal.SIGKILL):
            try:
                os.killpg(process.pid, number)
                process.wait(SIGNAL_TIMEOUT_S)
                return
            except ProcessLookupError:
                return
            except subprocess.TimeoutExpired:
                continue

    def ask_for_manual_restart(self, server: str) -> None:
        """Asks people to restart a server and to report it on standard input."""
        self.manual_restarts.add(server)
        self.print_line(f"{server} is out and empty: restart it, then type {server} (or: {server} failed)")
        if not self.reading_input:
            self.reading_input = True
            threading.Thread(target=self.read_input, daemon=True).start()

    def read_input(self) -> None:
        """Reads people's reports on their restarts until the input ends."""
        for line in sys.stdin:
            name, _, result = line.strip().partition(" ")
            if name not in self.manual_restarts or result not in ("", "failed"):
                expected = ", ".join(sorted(self.manual_restarts)) or "nothing"
                self.print_line(f"waiting for one of: {expected} (ID, or ID failed)")
                continue
            self.manual_restarts.discard(name)
            self.restart_ended(name, ok=result == "", how="was reported as failed")
        for name in sorted(self.manual_restarts):
            self.restart_ended(name, ok=False, how="was not reported: standard input has ended")
        self.reading_input = False

    def restart_ended(self, server: str, *, ok: bool, how: str) -> None:
        """Passes the end of a restart to the release."""
        self.events.put(lambda now: self.release.restart_ended(now, server, ok=ok, how=how))
