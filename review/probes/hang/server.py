"""A stand-in server as a process of its own, so that it can be stopped. Prints its address, then what it runs."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from rig import Received, read_message, response

RECEIVE_BUFFER_BYTES = 1 << 16


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers the requests of one connection in turn, each after 30 ms."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while True:
            request = Received(*await read_message(reader))
            sys.stdout.write(f"run {request.id}\n")
            sys.stdout.flush()
            await asyncio.sleep(0.03)
            writer.write(response("200 OK", request.id.encode()))
    writer.close()


async def main() -> None:
    """Serves until the process is killed."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener)
    sys.stdout.write(f"127.0.0.1:{server.sockets[0].getsockname()[1]}\n")
    sys.stdout.flush()
    await server.serve_forever()


asyncio.run(main())
