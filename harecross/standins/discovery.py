"""The stand-in discovery: whole lists and watches as PROTOCOL's catalog describes, and its failures."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from harecross.standins.http import answer, listen, read_message


def entry(name: str, address: str, state: str = "in_service", **more: Any) -> dict[str, Any]:
    """One instance of a list."""
    base = {"instanceId": name, "hostPort": address, "zone": "here", "machineType": "m1", "cell": 0}
    return {**base, "lifecycle": state, "weight": 1.0, "startedAtMs": 0, **more}


def update(generation: int, *entries: dict[str, Any], reset: bool = False) -> dict[str, Any]:
    """A list or a change of it."""
    return {"generation": generation, "reset": reset, "instances": list(entries)}


def line(generation: int, *entries: dict[str, Any], reset: bool = False) -> bytes:
    """The same as a watch sends it."""
    return json.dumps(update(generation, *entries, reset=reset)).encode()


def chunk(text: bytes) -> bytes:
    """One line as a chunk of a watch."""
    return b"%x\r\n%s\n\r\n" % (len(text) + 1, text)


class Catalog:
    """Discovery as a service: what is `put` reaches every watch, at once or `lag` seconds later."""

    def __init__(self) -> None:
        self.instances: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.lag = 0.0
        self.silent = False  # connections stay open and nothing is sent
        self.watches: list[asyncio.StreamWriter] = []
        self.address = ""
        self.server: asyncio.Server | None = None
        self.beat: asyncio.Task[None] | None = None

    async def start(self) -> Catalog:
        self.server, self.address = await listen(self.serve)
        self.beat = asyncio.create_task(self.keep())
        return self

    async def stop(self) -> None:
        """Down: watches end, and new connections are refused."""
        if self.beat is not None:
            self.beat.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.watches:
            writer.close()
        self.watches.clear()

    def put(self, *entries: dict[str, Any]) -> None:
        """Changes the list; entries that are `terminated` leave it."""
        self.generation += 1
        for item in entries:
            if item["lifecycle"] == "terminated":
                self.instances.pop(item["instanceId"], None)
            else:
                self.instances[item["instanceId"]] = item
        text = chunk(line(self.generation, *entries))
        if self.lag > 0:
            asyncio.get_running_loop().call_later(self.lag, self.send, text)
        else:
            self.send(text)

    def send(self, text: bytes) -> None:
        if self.silent:
            return
        for writer in self.watches:
            if not writer.transport.is_closing():  # whoever watched may have been killed
                writer.write(text)

    def whole(self) -> dict[str, Any]:
        """The list as it stands."""
        return update(self.generation, *self.instances.values(), reset=True)

    async def keep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.send(b"1\r\n\n\r\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head, _ = await read_message(reader)
                text = json.dumps(self.whole()).encode()
                if b"watch=1" not in head.split(b"\r\n", 1)[0]:
                    writer.write(answer(200, text))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if not self.silent:
                    writer.write(chunk(text))
                self.watches.append(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()
