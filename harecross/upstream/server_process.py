"""One process of a server, as listed by discovery, with its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from harecross.upstream.connection import ServerConnection

# Discovery tells a change after 6 s at the latest; the rest is for its way to this node.
LIST_LAG_US = 7_000_000


class ServerProcess:
    """One process of a server, as listed by discovery. A restarted server is a new process.

    Attributes:
        server: Number of the server.
        started_at: Start time of the process, as listed by discovery.
        in_service: Whether new exchanges may be sent to the process.
        connection_count: Number of connections, including those that are being opened.
        established: Number of connections that are open.
        uncertain_until_us: Until when another process may have taken over the address without a word of discovery.
        idle: Idle connections in order of last use, the most recently used last.
    """

    __slots__ = (
        "connection_count",
        "established",
        "host",
        "idle",
        "in_service",
        "port",
        "server",
        "started_at",
        "uncertain_until_us",
    )

    def __init__(self, server: int, host: str, port: int, started_at: int) -> None:
        self.server = server
        self.host = host
        self.port = port
        self.started_at = started_at
        self.in_service = True
        self.connection_count = 0
        self.established = 0
        self.uncertain_until_us = 0
        self.idle: list[ServerConnection] = []

    def connection_broke(self, now: int) -> None:
        """Notes that the process refused a connection, or ended its last one in disorder: it may be gone."""
        if self.established == 0:
            self.uncertain_until_us = now + LIST_LAG_US

    def may_be_another(self, now: int) -> bool:
        """Returns whether a new connection may reach another process than the one that discovery has listed."""
        return now < self.uncertain_until_us

    @property
    def address(self) -> str:
        """The address as `host:port`."""
        return f"{self.host}:{self.port}"
