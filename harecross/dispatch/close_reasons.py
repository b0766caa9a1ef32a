"""Reasons why connections are closed, used in the attempt log and in the counts of the report line."""

from __future__ import annotations

from enum import StrEnum
from typing import Literal, NamedTuple


class CloseReason(StrEnum):
    """Why a connection was closed.

    The values are written to the attempt log and to the report line (`closed_<value>`).

    Attributes:
        PEER: The peer closed or reset the connection.
        LAST_RESPONSE: The last response was complete, and either side had asked for the connection to be closed, or it
            is not used again.
        IDLE: The connection was unused for too long.
        SHUTDOWN: The process is shutting down or is draining its clients.
        DESCRIPTOR_SHORTAGE: The descriptor was needed for another connection.
        REQUEST_TIMEOUT: The client sent no complete request in time.
        BAD_REQUEST: The client sent a request that cannot be parsed.
        RESPONSE_NOT_READ: The client does not read its response.
        RESPONSE_ABORTED: A part of a response was sent, and the rest is not available.
        CLIENT_DISCONNECTED: The kernel reports that the client has closed its side.
        ABANDONED: The response from the server is no longer needed.
        MALFORMED_RESPONSE: The server sent a response that cannot be parsed, or bytes that belong to no response.
        DUPLICATE_RESPONSE: The server's response may be a second copy of an earlier one on the connection.
        STALLED: A streamed body made no progress for too long.
        SERVER_OUT_OF_SERVICE: The server is draining, is gone or was replaced by another process.
        EJECTED: The balancer asked for the idle connections of the server to be closed.
        CONNECT_TIMEOUT: The connection was not established in time.
    """

    PEER = "peer"
    LAST_RESPONSE = "last_answer"
    IDLE = "idle"
    SHUTDOWN = "stop"
    DESCRIPTOR_SHORTAGE = "no_room"

    # Client connections.
    REQUEST_TIMEOUT = "silent"
    BAD_REQUEST = "bad_request"
    RESPONSE_NOT_READ = "not_read"
    RESPONSE_ABORTED = "broken_answer"
    CLIENT_DISCONNECTED = "client_left"

    # Upstream connections.
    ABANDONED = "given_up"
    MALFORMED_RESPONSE = "spoilt"
    DUPLICATE_RESPONSE = "second_copy"
    STALLED = "stalled"
    SERVER_OUT_OF_SERVICE = "server_leaves"
    EJECTED = "ejected"
    CONNECT_TIMEOUT = "connect_timeout"


class ClosedConnection(NamedTuple):
    """Record of a closed connection.

    Attributes:
        side: Whether the peer is a client or a server.
        peer_address: The server's `host:port`; "" for a client.
        reason: Why the connection was closed.
        request_id: ID of the request that was in flight on the connection; "" for none.
    """

    side: Literal["client", "server"]
    peer_address: str
    reason: CloseReason
    request_id: str = ""
