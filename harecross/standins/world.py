"""`python -m harecross.standins.world`: a process with a stand-in discovery and stand-in servers.

Each line on standard input is a command, a JSON object with the key `do`; for each command, one line with a JSON object
is written to standard output. The process exits at the end of its standard input, so that it does not outlive its
parent.

    {"do": "add", "name": "s1", "shape": {...}, "zone": "here", "cell": 0, "kind": "m1", "cold": false}
    {"do": "slow", "name": "s1", "factor": 4.0}
    {"do": "drain" | "remove" | "kill" | "hang", "name": "s1"}
    {"do": "faults", "name": "s1", "errors": 0.1, "cuts": 0, "silent": 0}
    {"do": "lag", "seconds": 2.0}      {"do": "silent", "on": true}
    {"do": "list"}                     {"do": "stats"}
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from typing import Any

from harecross.standins.discovery import StandinDiscovery, entry
from harecross.standins.model import KeyCache, ServerCapacity
from harecross.standins.servers import Faults, StandinServer

Command = dict[str, Any]
MAX_LINE_BYTES = 1 << 22
REMOVED_SERVER_STOP_S = 5.0  # a removed server is stopped after this time, so that it can finish its requests
# Maps the keys of a command's `shape` to the fields of ServerCapacity.
CAPACITY_FIELDS = {
    "slots": "slots", "queue": "queue", "speed": "speed", "cold_share": "slow_start_speed",
    "cold_time": "slow_start_us",
}  # fmt: skip
SERVER_COMMANDS = ("drain", "remove", "kill", "hang", "slow", "faults")


def capacity_from(shape: dict[str, Any], *, cold: bool) -> ServerCapacity:
    """Returns the capacity that a command's `shape` describes, without slow start unless `cold`.

    Raises KeyError for an unknown key.
    """
    capacity = ServerCapacity(**{CAPACITY_FIELDS[key]: value for key, value in shape.items()})
    if not cold:
        capacity.slow_start_us = 0
    return capacity


class World:
    """A stand-in discovery and the stand-in servers that it lists."""

    def __init__(self, seed: int = 0) -> None:
        self._discovery = StandinDiscovery()
        self._servers: dict[str, StandinServer] = {}
        self._removed: dict[str, StandinServer] = {}
        self._attributes: dict[str, dict[str, Any]] = {}  # further keys of each server's entry
        self._key_caches: dict[int, KeyCache] = {}  # by cell
        self._seed = seed

    async def start(self) -> World:
        """Starts the discovery."""
        await self._discovery.start()
        return self

    async def run(self, command: Command) -> dict[str, Any]:
        """Runs one command and returns the reply. Raises KeyError, TypeError or ValueError if it is invalid."""
        action = command["do"]
        if action == "list":
            return {"ok": True, "discovery": self._discovery.address, "known": self._discovery.full_list()}
        if action == "stats":
            return {"ok": True, **self._stats()}
        if action == "add":
            await self._add_server(command)
        elif action in SERVER_COMMANDS:
            self._change_server(action, command)
        elif action == "lag":
            self._discovery.update_delay_s = float(command["seconds"])
        elif action == "silent":
            self._discovery.silent = bool(command["on"])
        else:
            raise ValueError(f"unknown command {action!r}")
        return {"ok": True}

    def _stats(self) -> dict[str, Any]:
        servers = {**self._removed, **self._servers}
        return {
            "servers": {name: server.stats() for name, server in servers.items()},
            "effects": sum(cache.effects for cache in self._key_caches.values()),
        }

    async def _add_server(self, command: Command) -> None:
        name, cold = command["name"], command.get("cold", False)
        if name in self._servers:
            raise ValueError(f"a server named {name!r} already exists")
        cell = int(command.get("cell", 0))
        capacity = capacity_from(command.get("shape", {}), cold=cold)
        key_cache = self._key_caches.setdefault(cell, KeyCache())
        server = await StandinServer(name, capacity, key_cache, seed=self._seed).start()
        self._servers[name] = server
        self._attributes[name] = {
            "zone": command.get("zone", "here"),
            "machineType": command.get("kind", "m1"),
            "cell": cell,
            "startedAtMs": time.time_ns() // 1_000_000 if cold else 0,
        }
        self._discovery.put(entry(name, server.address, **self._attributes[name]))

    def _change_server(self, action: str, command: Command) -> None:
        server = self._servers.get(command["name"])
        if server is None:
            raise KeyError(f"no server named {command['name']!r}")
        if action == "slow":
            factor = float(command["factor"])
            if factor <= 0:
                raise ValueError(f"slow: factor must be greater than 0, got {factor}")
            server.model.slowdown = factor
        elif action == "hang":
            server.unresponsive = True
        elif action == "faults":
            errors, cuts, silent = (float(command.get(key, 0.0)) for key in ("errors", "cuts", "silent"))
            server.faults = Faults(errors, cuts, silent)
        else:
            self._withdraw_server(action, server)

    def _withdraw_server(self, action: str, server: StandinServer) -> None:
        """Drains a server or removes it from the endpoint list."""
        name = server.name
        # The drain starts before the list is sent, because requests received after it starts count as late.
        server.drain()
        state = "terminating" if action == "drain" else "terminated"
        self._discovery.put(entry(name, server.address, state, **self._attributes[name]))
        if action != "drain":
            self._removed[name] = self._servers.pop(name)
        if action == "kill":
            server.stop()
        elif action == "remove":
            asyncio.get_running_loop().call_later(REMOVED_SERVER_STOP_S, server.stop)


async def main() -> None:
    """Runs the commands from standard input until its end."""
    world = await World(int(os.environ.get("HARECROSS_SEED", "0"))).start()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        try:
            reply = await world.run(json.loads(line))
        except (KeyError, TypeError, ValueError, OSError) as error:
            reply = {"ok": False, "error": str(error)}
        sys.stdout.write(json.dumps(reply) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    # Ctrl-C reaches the whole process group; this process exits only when its parent closes the pipe.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    import uvloop

    uvloop.run(main())
