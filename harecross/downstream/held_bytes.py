"""The account of the bytes that one client connection holds."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections import deque
from typing import TYPE_CHECKING

from harecross.http.body_buffer import Upload
from harecross.http.request_parser import ParsedRequest
from harecross.platform.memory_ledger import HEADER_FIELD_BYTES, PENDING_REQUEST_BYTES
from harecross.platform.peer_state import unacknowledged_bytes

if TYPE_CHECKING:
    from harecross.dispatch.request import DispatchedRequest
    from harecross.downstream.connection_state import ConnectionOwner, LocalResponse


class HeldBytes(asyncio.BufferedProtocol):
    """The bytes held by a `ConnectionState`, which documents the attributes."""

    __slots__ = ("backlogged", "buffered_bytes", "large_response", "other_bytes")

    owner: ConnectionOwner
    transport: asyncio.Transport | None
    descriptor: int
    unparsed: bytes
    request: DispatchedRequest | None
    pending: deque[ParsedRequest | LocalResponse]
    write_blocked: bool
    headers: list[tuple[bytes, bytes]]
    body: bytes
    head_size: int
    unparsed_head_bytes: int
    incoming_upload: Upload | None
    current_upload: Upload | None

    def __init__(self) -> None:
        self.backlogged = False
        self.large_response = False
        self.buffered_bytes = 0
        self.other_bytes = 0

    def settle(self) -> None:
        """Brings the account of the bytes that this connection holds up to date."""
        if self.holds_nothing() and not (self.buffered_bytes or self.other_bytes):
            return
        ledger = self.owner.ledger
        bodies, other = self.held_body_bytes(), self.held_other_bytes()
        if bodies == self.buffered_bytes and other == self.other_bytes:
            return
        ledger.bodies += bodies - self.buffered_bytes
        ledger.input += other - self.other_bytes
        self.buffered_bytes, self.other_bytes = bodies, other
        ledger.note_peak()

    def holds_nothing(self) -> bool:
        """Returns whether this connection holds no bytes, as is usual between small requests."""
        message = self.head_size or self.unparsed_head_bytes > 0 or self.body or self.unparsed or self.pending
        upload = self.incoming_upload or self.current_upload
        body = self.request is not None and self.request.parsed.body
        return not (message or upload or body or self.write_blocked or self.backlogged)

    def requests(self) -> list[ParsedRequest]:
        """Returns the request that is being handled, and those that wait."""
        waiting = [item for item in self.pending if isinstance(item, ParsedRequest)]
        return [self.request.parsed, *waiting] if self.request is not None else waiting

    def uploads(self) -> list[Upload]:
        """Returns the uploads that this connection holds, each once."""
        candidates = [self.incoming_upload, self.current_upload, *(each.upload for each in self.requests())]
        return list({id(upload): upload for upload in candidates if upload is not None}.values())

    def held_body_bytes(self) -> int:
        """Returns the bytes of bodies that this connection holds, and of the buffers of uploads."""
        size = len(self.body)
        if self.pending:
            size += sum(len(request.body) for request in self.requests())
        elif self.request is not None:
            size += len(self.request.parsed.body)
        incoming, current = self.incoming_upload, self.current_upload
        if not self.pending and (incoming is None or current is None or incoming is current):
            upload = incoming or current
            return size + len(upload.buffered) if upload is not None else size
        return size + sum(len(upload.buffered) for upload in self.uploads())

    def incoming_body_bytes(self) -> int:
        """Returns the bytes that are held of the body that is received."""
        upload = self.incoming_upload
        return len(self.body) + (len(upload.buffered) if upload is not None else 0)

    def held_other_bytes(self) -> int:
        """Returns the bytes of heads, unparsed input and responses that this connection holds."""
        unsent = self.unsent_bytes() if self.write_blocked or self.backlogged else 0
        waiting = len(self.pending) * PENDING_REQUEST_BYTES
        return len(self.unparsed) + self.head_bytes() + waiting + unsent

    def head_bytes(self) -> int:
        """Returns what the head that is received takes: its bytes, in the parser or parsed, and its fields."""
        return max(self.head_size, self.unparsed_head_bytes) + len(self.headers) * HEADER_FIELD_BYTES

    def unsent_bytes(self) -> int:
        """Returns the number of response bytes that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def settle_backlog(self) -> None:
        """Brings the account up to date once the kernel has had the chance to accept a response."""
        self.backlogged = self.unsent_bytes() > 0
        if self.backlogged or (self.large_response and self.pending):
            self.owner.backlogged.add(self)
        else:
            self.owner.backlogged.discard(self)
        self.settle()
        if self.large_response and self.pending:
            self.handle_pending()

    def waits_for_reader(self) -> bool:
        """Returns whether further requests wait until the client has read a response, because memory is short."""
        if self.large_response and unacknowledged_bytes(self.descriptor) in (0, None):
            self.large_response = False
        waits = self.large_response and self.owner.ledger.is_short
        if not waits:
            self.owner.unmark_slow_reader(self)
        return waits

    def held_message_bytes(self) -> int:
        """Returns the bytes of unparsed input, heads and whole bodies that this connection holds."""
        bodies = len(self.body) + sum(len(request.body) for request in self.requests())
        return bodies + self.head_size + len(self.unparsed)

    @abstractmethod
    def handle_pending(self) -> None:
        """Handles pending requests in order."""
