"""Runs a release: makes calls to nodes in threads, runs restarts as processes, handles Ctrl-C as an interrupt."""

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
# The time between SIGTERM and SIGKILL for a restart that exceeded its timeout.
SIGNAL_TIMEOUT_S = 5.0
MIN_CALL_THREADS = 4
INTERRUPTED_STATUS = 130
PATHS = {
    ActionKind.ENTER_MAINTENANCE: "/maintenance/enter",
    ActionKind.EXIT_MAINTENANCE: "/maintenance/exit",
}


class ReleaseRunner:
    """Runs one release from its first status call to its end."""

    def __init__(
        self, release: Release, restart_command: str | None, print_line: Callable[[str], None]
    ) -> None:
        """`restart_command` runs in a shell with `HARECROSS_SERVER` set to the server id.

        If it is None, operators restart servers by hand.
        """
        self.release = release
        self.restart_command = restart_command
        self.print_line = print_line
        # The signal handler puts events into this queue. Unlike Queue, SimpleQueue is reentrant.
        self.events: SimpleQueue[Callable[[float], list[Action]]] = SimpleQueue()
        self.pool = ThreadPoolExecutor(max(MIN_CALL_THREADS, 2 * len(release.nodes)))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.manual_restarts: set[str] = set()  # servers that operators are restarting
        self.reading_input = False

    def run(self) -> int:
        """Runs the release; returns its exit status: 0 if it completed, 1 if it stopped, 130 if interrupted."""
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
        """Prints and removes the messages of the release."""
        messages, self.release.messages = self.release.messages, []
        for message in messages:
            self.print_line(message)

    def execute(self, actions: list[Action]) -> None:
        """Starts the actions; the end of each is reported as an event."""
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
        """Fetches the status of a node; runs in a thread of the pool."""
        status = fetch_status(node)
        self.events.put(lambda now: self.release.status_received(now, node, status))

    def call(self, action: Action) -> None:
        """Makes the call of an action; runs in a thread of the pool."""
        result = call_node(action.node, "POST", PATHS[action.kind], action.server)
        self.events.put(
            lambda now: self.release.call_answered(now, action.kind, action.node, action.server, result)
        )

    def restart(self, server: str) -> None:
        """Starts the restart command, or asks operators to restart the server."""
        if self.restart_command is None:
            self.ask_for_manual_restart(server)
            return
        env = {**os.environ, "HARECROSS_SERVER": server}
        try:
            # The command runs in its own session, because the first Ctrl-C must only reach the release.
            process = subprocess.Popen(
                self.restart_command, shell=True, env=env, stdin=subprocess.DEVNULL, start_new_session=True
            )
        except OSError as error:
            self.restart_ended(server, ok=False, how=f"did not start: {error.strerror}")
            return
        self.processes[server] = process
        threading.Thread(target=self.wait, args=(server, process), daemon=True).start()

    def wait(self, server: str, process: subprocess.Popen[Any]) -> None:
        """Waits for the restart command to end; runs in its own thread."""
        status = process.wait()
        self.restart_ended(server, ok=status == 0, how=describe_exit(status))

    def end_restart(self, server: str) -> None:
        """Terminates a restart that takes too long, including all processes that it has started."""
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
        """Asks operators to restart a server and to report the result on standard input."""
        self.manual_restarts.add(server)
        self.print_line(f"{server} is drained: restart it, then type {server} (or: {server} failed)")
        if not self.reading_input:
            self.reading_input = True
            threading.Thread(target=self.read_input, daemon=True).start()

    def read_input(self) -> None:
        """Reads the reports on manual restarts until standard input ends."""
        for line in sys.stdin:
            name, _, result = line.strip().partition(" ")
            if name not in self.manual_restarts or result not in ("", "failed"):
                expected = ", ".join(sorted(self.manual_restarts)) or "none"
                self.print_line(f"expected ID, or ID failed, for one of these servers: {expected}")
                continue
            self.manual_restarts.discard(name)
            self.restart_ended(name, ok=result == "", how="was reported as failed")
        for name in sorted(self.manual_restarts):
            self.restart_ended(name, ok=False, how="was not reported before standard input ended")
        self.reading_input = False

    def restart_ended(self, server: str, *, ok: bool, how: str) -> None:
        """Reports the end of a restart to the release."""
        self.events.put(lambda now: self.release.restart_ended(now, server, ok=ok, how=how))
