"""Why connections are closed: one reason for each, for the attempt log and the report's counts."""

from __future__ import annotations

from enum import StrEnum
from typing import Literal, NamedTuple


class CloseReason(StrEnum):
    """What closed a connection. The values are words of the attempt log and of the report (`closed_<value>`)."""

    PEER = "peer"  # the other side closed or reset it
    LAST_RESPONSE = "last_answer"  # its last response was complete, and one side had asked for the close
    IDLE = "idle"  # unused for too long
    SHUTDOWN = "stop"  # the process stops, or sends its clients away
    DESCRIPTOR_SHORTAGE = "no_room"  # its descriptor was needed for another connection
    # Client connections.
    REQUEST_TIMEOUT = "silent"  # no request came in time
    BAD_REQUEST = "bad_request"  # a request that cannot be parsed
    RESPONSE_NOT_READ = "not_read"  # the client does not read its response
    RESPONSE_ABORTED = "broken_answer"  # a part of a response was sent, and the rest cannot be
    CLIENT_DISCONNECTED = "client_left"  # the kernel reports that the client has closed its side
    # Upstream connections.
    ABANDONED = "given_up"  # the response is no longer waited for
    MALFORMED_RESPONSE = "spoilt"  # a response that cannot be parsed, or bytes outside any response
    STALLED = "stalled"  # a streamed body made no progress for too long
    SERVER_OUT_OF_SERVICE = "server_leaves"  # the server drains, is gone or was replaced by another process
    EJECTED = "ejected"  # the balancer asked for its connections to be closed
    CONNECT_TIMEOUT = "connect_timeout"  # the handshake took too long


class ClosedConnection(NamedTuple):
    """The end of one connection."""

    side: Literal["client", "server"]
    peer_address: str  # the server's host:port; "" for a client
    reason: CloseReason
    request_id: str = ""  # the request that was in flight on it; "" for none
