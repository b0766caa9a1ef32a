"""Configuration, start, SIGTERM, exit."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import socket
import sys
from collections.abc import Callable
from typing import Any

import uvloop

from harecross.node.callers import Callers
from harecross.node.discovery import Directory, Watch
from harecross.node.host import Host, say
from harecross.node.servers import Servers
from harecross.settings import Table, settings_from

BACKLOG = 1024
RESERVE = 40  # descriptors for everything but callers and servers
STILL_COMING = 0.6  # seconds after SIGTERM; connections come for 0.4
LAST_REQUESTS = 0.2  # seconds for requests on connections that came last
FLUSH = 0.3  # seconds at most for answers that are still being written
LAG_SHOWN = 0.05
REPORT_EVERY = 10.0  # seconds between two lines on how things stand


class BadConfig(Exception):
    """A configuration the node cannot start with."""


def read_config() -> dict[str, Any]:
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise BadConfig("LB_CONFIG is not set")
    try:
        with open(path, "rb") as f:
            config = json.load(f)
    except OSError as e:
        raise BadConfig(f"{path}: {e.strerror}") from None
    except (ValueError, RecursionError) as e:
        raise BadConfig(f"{path}: not JSON: {e}") from None
    if not isinstance(config, dict):
        raise BadConfig(f"{path}: not an object")
    for key, name in (("name", "LB_NAME"), ("listen", "LB_LISTEN"), ("discovery", "LB_DISCOVERY")):
        value = os.environ.get(name) or config.get(key)
        if not isinstance(value, str):
            raise BadConfig(f"{name} is not set")
        config[key] = value
    for key in ("listen", "discovery"):
        host, _, port = config[key].rpartition(":")
        if not host or not port.isdecimal() or int(port) > 65535:
            raise BadConfig(f"{key}: {config[key]!r} is not an address")
    return config


class Node:
    """The running program."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.loop = asyncio.get_running_loop()
        raw = config.get("settings")
        try:
            settings = settings_from(raw)
            env = Table(raw)
            limits = env.table("policy_limits")
            connect, idle = limits.whole("connect_timeout", 250_000), limits.whole("conn_idle", 15_000_000)
            report = env.table("report", {})
            columns = report.texts("columns") if report.text("how", "off") != "off" else []
            names = [c.text("name") for c in env.tables("classes")]
            tenants = [t.text("name") for t in env.tables("tenants", [])]
            zones, kinds = env.texts("dcs"), env.texts("kinds")
            sockets = Table(config).table("limits", {}).whole("sockets", 1024)
            seed = int(str(config.get("seed", "0")), 16)
        except ValueError as e:
            raise BadConfig(str(e)) from None
        room = max(16, sockets - RESERVE)
        self.servers = Servers(connect, idle, columns, most=room // 2)
        self.host = Host(settings, seed, self.servers)
        self.directory = Directory(self.host, self.servers, zones, kinds)
        self.watch = Watch(self.directory, config["discovery"], settings.list_on_request)
        self.host.on_watch, self.host.on_fetch = self.watch.listen, self.watch.fetch
        self.callers = Callers(self.host, settings, names, tenants, most=room // 2)
        self.known = config.get("known")
        self.listen = config["listen"]
        self.address: tuple[str, int] = ("", 0)  # where it listens, once `ready` is set
        self.ready = asyncio.Event()
        self.stop = asyncio.Event()
        self.lag = 0.0
        self.reported = self.loop.time()

    async def run(self) -> None:
        self.host.start()
        if self.known is not None:
            try:
                self.directory.apply(self.known, cached=True)
            except ValueError as e:
                say(f"known: {e}")
        if not self.watch.asked:
            self.watch.listen(True)
        address, _, port = self.listen.rpartition(":")
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((address, int(port)))
        except OSError as e:
            raise BadConfig(f"listen {self.listen}: {e.strerror}") from None
        sock.setblocking(False)
        server = await self.loop.create_server(self.callers.make, sock=sock, backlog=BACKLOG)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        self.every(1.0, self.sweep)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)
        self.address = sock.getsockname()
        say(f"listening on {self.address[0]}:{self.address[1]}")
        self.ready.set()
        await self.stop.wait()
        await self.drain(server, sock)

    async def drain(self, server: asyncio.AbstractServer, sock: socket.socket) -> None:
        """Answers all that was taken, and all that still comes while others have not noticed."""
        say("stopping")
        self.callers.stopping = True
        self.callers.close_idle()
        await asyncio.sleep(STILL_COMING)
        # Guards against: closing the listener resets what waits in its backlog, and a request that a
        # caller has written to such a connection counts as taken.
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                break
            conn.setblocking(False)
            await self.loop.connect_accepted_socket(self.callers.make, conn)
        server.close()
        await asyncio.sleep(LAST_REQUESTS)
        while self.callers.busy():
            await asyncio.sleep(0.01)
        self.callers.close_all()
        self.watch.listen(False)
        self.servers.shut()
        end = self.loop.time() + FLUSH
        while self.callers.open and self.loop.time() < end:
            await asyncio.sleep(0.01)
        self.host.report()

    def every(self, seconds: float, do: Callable[[], None]) -> None:
        due = self.loop.time() + seconds

        def tick() -> None:
            self.lag = max(self.lag, self.loop.time() - due)
            do()
            self.every(seconds, do)

        self.loop.call_at(due, tick)

    def sweep(self) -> None:
        self.servers.sweep()
        self.callers.sweep()
        now = self.loop.time()
        if now >= self.reported + REPORT_EVERY:
            self.reported = now
            self.host.report()
            if self.lag > LAG_SHOWN:
                say(f"the event loop was {self.lag * 1000:.0f} ms late")
            self.lag = 0.0


async def run(config: dict[str, Any]) -> None:
    await Node(config).run()


def main() -> int:
    try:
        uvloop.run(run(read_config()))
    except BadConfig as e:
        say(str(e))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
