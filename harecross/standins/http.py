"""HTTP/1.1 for the stand-ins: reading messages from a stream and building responses."""

from __future__ import annotations

import asyncio


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Reads one message and returns its head and body. Raises IncompleteReadError if the connection ends first."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head, await read_body(reader, head)


def write_or_raise(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes to a connection. Raises ConnectionError if it is closing, which `write` itself does not always report."""
    if writer.is_closing():
        raise ConnectionError("cannot write: the connection is closed")
    writer.write(data)


async def read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """Reads and returns the body that belongs to a head, by content length or in chunks."""
    if header(head, b"Transfer-Encoding").lower() != b"chunked":
        return await reader.readexactly(int(header(head, b"Content-Length") or 0))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


def header(head: bytes, name: bytes) -> bytes:
    """Returns the value of a header, or an empty string if it is missing. Names are case-insensitive."""
    wanted = name.lower()
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == wanted:
            return value.strip()
    return b""


def answer(status: int, body: bytes = b"", extra: bytes = b"") -> bytes:
    """Returns a complete response; `extra` holds further header lines, each with its line end."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), extra, body)


async def listen(serve, host: str = "127.0.0.1") -> tuple[asyncio.Server, str]:  # type: ignore[no-untyped-def]
    """Starts a server on a free port; returns it and its HOST:PORT."""
    server = await asyncio.start_server(serve, host, 0)
    return server, f"{host}:{server.sockets[0].getsockname()[1]}"
