"""Why connections end: a reason for every one, for the log and its counts."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class CloseReason(StrEnum):
    """What ended a connection. `PEER` wherever this process did not."""

    PEER = "peer"  # the other side closed or reset it
    LAST_ANSWER = "last_answer"  # it ended with its answer, as one side or the other had said
    IDLE = "idle"  # unused for too long
    STOP = "stop"  # the process stops, or sends its clients away
    NO_ROOM = "no_room"  # its descriptor is wanted for another one
    # Of clients.
    SILENT = "silent"  # it has said nothing in time
    BAD_REQUEST = "bad_request"  # what came cannot be read on
    NOT_READ = "not_read"  # its client does not take what it is sent
    BROKEN_ANSWER = "broken_answer"  # part of an answer has gone out, and the rest will not come
    CLIENT_LEFT = "client_left"  # its client has gone, by the kernel's word
    # Of servers.
    GIVEN_UP = "given_up"  # the answer is not waited for any more
    SPOILT = "spoilt"  # an answer that cannot be read, or bytes that belong to none
    STALLED = "stalled"  # a large body has not moved for too long
    SERVER_LEAVES = "server_leaves"  # it drains, is gone or is another process now
    EJECTED = "ejected"  # the decision module wants its connections closed
    CONNECT_TIMEOUT = "connect_timeout"  # its handshake took too long


class Closing(NamedTuple):
    """The end of one connection."""

    side: str  # "client" or "server"
    peer: str  # the server's address, "" for a client
    reason: CloseReason
    request: str = ""  # the id of the request that was out on it
