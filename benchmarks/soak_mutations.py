"""Measures which known faults the soak detects: runs the first seeds on a copy of the program with each fault injected.

    python benchmarks/soak_mutations.py [--seeds 10] [--side-by-side 4] [--only WORD]

Prints a row for each fault: the number of seeds that broke a rule, and the rules. A run takes several minutes.
"""

from __future__ import annotations

import argparse
import re
import shutil
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent


class Mutation(NamedTuple):
    """One fault: a source text that is replaced by another one.

    Attributes:
        file: Path of the file below the package `harecross`.
        original: The text to replace; it occurs exactly once in the file.
        mutated: The replacement.
        other_changes: Further replacements of the same fault, each as file, original and mutated text.
    """

    name: str
    file: str
    original: str
    mutated: str
    other_changes: tuple[tuple[str, str, str], ...] = ()

    @property
    def changes(self) -> list[tuple[str, str, str]]:
        """All replacements of the fault, each as file, original and mutated text."""
        return [(self.file, self.original, self.mutated), *self.other_changes]


MUTATIONS = [
    Mutation(
        "a new discovery is believed at once",
        "discovery/process_table.py",
        "        for candidate in self.earlier_statements.get(name, {}).values():\n            if candidate.is_leaving",
        "        for candidate in ():\n            if candidate.is_leaving",
    ),
    Mutation(
        "a timer puts the first list's entries back (the incident)",
        "discovery/discovery_client.py",
        "        self.close_retired_if_caught_up()\n\n    def heartbeat_received",
        "        if is_new_source:\n"
        "            items = [i for i in update['instances'] if i['lifecycle'] == 'in_service']\n"
        "            self.loop.call_later(6.0, self.consumer.apply, {'instances': items})\n\n"
        "    def heartbeat_received",
    ),
    Mutation(
        "the new discovery's replayed recall ends an objection",
        "discovery/process_table.py",
        "        self.current_statements[name] = statement\n",
        "        if not statement.is_leaving and name in self.current_statements:\n"
        "            self.earlier_statements.pop(name, None)\n"
        "        self.current_statements[name] = statement\n",
    ),
    Mutation(
        "the old watch is dropped at once",
        "discovery/discovery_client.py",
        "        watch.retired = True\n        self.retired.append(watch)",
        "        watch.close()",
    ),
    Mutation(
        "changes are used half a second late",
        "discovery/discovery_client.py",
        "            self.consumer.apply(result.update, full=full)\n            self.list_confirmed(watch)",
        "            self.loop.call_later(\n"
        "                0.0 if full else 0.5, lambda: self.consumer.apply(result.update, full=full)\n"
        "            )\n"
        "            self.list_confirmed(watch)",
    ),
    Mutation(
        "a start does not wait for its first list",
        "discovery/readiness.py",
        "        return self.ready\n",
        "        return True\n",
    ),
    Mutation(
        "a silent watch is not noticed",
        "discovery/subscription_schedule.py",
        "WATCH_HEARTBEAT_TIMEOUT_S = 2.5\n",
        "WATCH_HEARTBEAT_TIMEOUT_S = 1000.0\n",
    ),
    Mutation(
        "calls to an agent are 3 s apart",
        "discovery/subscription_schedule.py",
        "SEND_STOP_GRACE_S / 2",
        "3.0",
    ),
    Mutation(
        "a stop ends at an accept that failed",
        "downstream/connection_manager.py",
        "            if connection is AcceptFailure.CONNECTION_GONE:\n                continue\n"
        "            if connection is AcceptFailure.SHORTAGE:\n                return BacklogState.BLOCKED\n",
        "",
    ),
    Mutation(
        "a socket option that cannot be set closes the connection",
        "downstream/listener.py",
        "        with suppress(OSError):\n            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)",
        "        try:\n            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)\n"
        "        except OSError:\n            connection.close()\n"
        "            self.on_setup_failed()\n            return",
    ),
    Mutation(
        "the time that a request lay unread is not counted",
        "downstream/read_delay.py",
        "        lag = bound = self.heartbeat.lag_us(now)\n",
        "        return 0\n        lag = bound = self.heartbeat.lag_us(now)\n",
    ),
    Mutation(
        "attempts go out for clients that have left",
        "dispatch/dispatcher.py",
        "    def client_disconnected(self, request: DispatchedRequest) -> None:\n",
        "    def client_disconnected(self, request: DispatchedRequest) -> None:\n        return\n\n"
        "    def not_called(self, request: DispatchedRequest) -> None:\n",
        (
            (
                "platform/peer_state.py",
                "    return poll_events(descriptor, PEER_CLOSED) &",
                "    return False and poll_events(descriptor, PEER_CLOSED) &",
            ),
        ),
    ),
    Mutation(
        "an unsafe request that may have run is sent again",
        "policy/balancer.py",
        "repeatable = request.idempotency == Idempotency.IDEMPOTENT or (",
        "repeatable = True or (",
    ),
    Mutation(
        "a stop does not wait for what is out",
        "node/graceful_shutdown.py",
        "        while self.parts.client_connections.has_open_requests():\n"
        "            await asyncio.sleep(POLL_INTERVAL_S)\n",
        "",
    ),
    Mutation(
        "a listener is closed while connections still come",
        "downstream/connection_manager.py",
        "        if not shared:\n",
        "        if False:\n",
    ),
    Mutation(
        "a cold server gets what a warm one does",
        "policy/slow_start.py",
        "        rate = self.warm_rate * self.factor(now, server)\n",
        "        return True\n        rate = self.warm_rate * self.factor(now, server)\n",
    ),
    Mutation(
        "a client's input is parsed and answered whole in one turn",
        "downstream/input_reader.py",
        "EVENTS_PER_TURN = 32\n",
        "EVENTS_PER_TURN = 1 << 30\n",
        (("downstream/input_scheduler.py", "TURN_SHARE_US = 2_000\n", "TURN_SHARE_US = 1 << 40\n"),),
    ),
    Mutation(
        "an answer of unknown length is cut off at its deadline",
        "upstream/response_forwarding.py",
        "        return self.parser.begun_without_length and self.exchange.may_be_passed_on()\n",
        "        return False\n",
    ),
    Mutation(
        "a close behind unread bytes is not allowed for",
        "platform/peer_state.py",
        "    return bool(allocated * RECEIVE_WINDOW_DIVISOR >= limit)\n",
        "    return False\n",
    ),
    Mutation(
        "an id is forgotten with its request",
        "dispatch/remembered_ids.py",
        "        if may_have_run:\n",
        "        if False:\n",
    ),
    Mutation(
        "bodies have no budget and stay with their connections",
        "platform/memory_ledger.py",
        "        fits = self.held + size <= limit\n",
        "        fits = True\n",
        (
            (
                "downstream/connection_state.py",
                '        self.url = self.body = b""\n',
                '        self.url = b""\n',
            ),
        ),
    ),
]


def run_soak(mutation: Mutation | None, seeds: int, side_by_side: int) -> tuple[str, Counter[str]]:
    """Runs the soak on a copy of the program with a fault; returns its last output line and the broken rules.

    Raises ValueError if the original text of the fault is not in its file.
    """
    with tempfile.TemporaryDirectory(prefix="harecross-mutation-") as folder:
        copy = Path(folder)
        shutil.copytree(ROOT / "harecross", copy / "harecross", ignore=shutil.ignore_patterns("__pycache__"))
        if mutation is not None:
            for file, original, mutated in mutation.changes:
                path = copy / "harecross" / file
                text = path.read_text()
                if original not in text:
                    raise ValueError(f"{mutation.name}: {file} does not contain the text to replace")
                path.write_text(text.replace(original, mutated, 1))
        command = [sys.executable, "-m", "harecross.soak", "--seeds", str(seeds)]
        command += ["--side-by-side", str(side_by_side)]
        process = subprocess.run(command, cwd=copy, capture_output=True, text=True)
        lines = process.stdout.splitlines()
        rules = Counter(re.findall(r"^rule ([a-z ]+):", process.stdout, re.MULTILINE))
        return (lines[-1] if lines else f"no result: {process.stderr[-200:]}"), rules


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--side-by-side", type=int, default=4)
    parser.add_argument("--only", default="", help="run only faults whose name contains this text")
    options = parser.parse_args()
    for mutation in (None, *MUTATIONS):
        name = "no fault" if mutation is None else mutation.name
        if options.only not in name:
            continue
        result, rules = run_soak(mutation, options.seeds, options.side_by_side)
        print(
            f"{name}: {result}; {', '.join(f'{rule} {count}' for rule, count in rules.items()) or 'nothing'}",
            flush=True,
        )


if __name__ == "__main__":
    main()
