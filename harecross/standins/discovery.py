"""The stand-in discovery: full lists, watches and heartbeats as PROTOCOL describes them, with scripted failures."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from harecross.standins.http import answer, listen, read_message

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT = b"1\r\n\n\r\n"  # an HTTP chunk that holds an empty line


def entry(name: str, address: str, state: str = "in_service", **more: Any) -> dict[str, Any]:
    """Returns the list entry of one endpoint."""
    base = {"instanceId": name, "hostPort": address, "zone": "here", "machineType": "m1", "cell": 0}
    return {**base, "lifecycle": state, "weight": 1.0, "startedAtMs": 0, **more}


def update(generation: int, *entries: dict[str, Any], reset: bool = False) -> dict[str, Any]:
    """Returns a full list (with `reset`) or a watch event."""
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def line(generation: int, *entries: dict[str, Any], reset: bool = False) -> bytes:
    """Returns a full list or a watch event as JSON."""
    return json.dumps(update(generation, *entries, reset=reset)).encode()


def chunk(data: bytes) -> bytes:
    """Returns one line of a watch as an HTTP chunk."""
    return b"%x\r\n%s\n\r\n" % (len(data) + 1, data)


class StandinDiscovery:
    """A discovery service.

    Attributes:
        instances: The entries of the list, by server name.
        generation: Version of the list; it increases with each change.
        update_delay_s: Time after which a change is sent to the watches.
        silent: If set, watches stay open but nothing is sent on them.
        address: HOST:PORT at which the service listens.
    """

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.update_delay_s = 0.0
        self.silent = False
        self.address = ""
        self._watches: list[asyncio.StreamWriter] = []
        self._listener: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> StandinDiscovery:
        """Starts listening and sending heartbeats."""
        self._listener, self.address = await listen(self._serve)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        return self

    async def stop(self) -> None:
        """Closes all watches and stops listening."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in self._watches:
            writer.close()
        self._watches.clear()

    def put(self, *entries: dict[str, Any]) -> None:
        """Adds, replaces or (if `terminated`) removes entries, and sends the change to all watches."""
        self.generation += 1
        for item in entries:
            if item["lifecycle"] == "terminated":
                self.instances.pop(item["instanceId"], None)
            else:
                self.instances[item["instanceId"]] = item
        event = chunk(line(self.generation, *entries))
        if self.update_delay_s > 0:
            asyncio.get_running_loop().call_later(self.update_delay_s, self._send, event)
        else:
            self._send(event)

    def full_list(self) -> dict[str, Any]:
        """Returns the current list."""
        return update(self.generation, *self.instances.values(), reset=True)

    def _send(self, data: bytes) -> None:
        if self.silent:
            return
        for writer in self._watches:
            if not writer.transport.is_closing():  # closed if the node has been killed
                writer.write(data)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._send(HEARTBEAT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                self._answer(head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            if writer in self._watches:
                self._watches.remove(writer)
            writer.close()

    def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Sends the full list, as a complete response or as the first line of a watch."""
        data = json.dumps(self.full_list()).encode()
        if b"watch=1" not in head.split(b"\r\n", 1)[0]:
            writer.write(answer(200, data))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not self.silent:
            writer.write(chunk(data))
        self._watches.append(writer)
