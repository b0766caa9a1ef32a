"""One client connection: its event loop callbacks, the order in which its requests are handled, and its close."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from httptools import HttpRequestParser

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.downstream.connection_state import LocalResponse, Presence
from harecross.downstream.input_reader import InputReader
from harecross.downstream.response_sender import ResponseSender
from harecross.http.body_buffer import Upload
from harecross.http.request_parser import ParsedRequest
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception
from harecross.platform.peer_state import (
    close_may_be_hidden,
    has_no_pending_events,
    peer_has_closed,
    unacknowledged_bytes,
)

# A client that was connected this long ago counts as connected. An attempt may begin up to 0.1 s after its client left.
KNOWN_CONNECTED_US = 80_000
PRESENCE_POLL_S = 0.005


class ClientConnection(InputReader, ResponseSender):
    """One client connection. Handles one request at a time; pipelined requests are queued in `pending`."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop when the connection is established."""
        self.transport = cast(asyncio.Transport, transport)
        self.sock = transport.get_extra_info("socket")
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.parser = HttpRequestParser(self)
        self.owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection is closed."""
        self.owner.connection_closed(self)
        self.transport = self.parser = None
        self.pending.clear()
        self.unparsed = b""
        self.incoming_upload = self.current_upload = None
        request, self.request = self.request, None
        self.release_message()
        self.backlogged = self.write_blocked = False
        self.settle()
        request_id = request.parsed.request_id.decode("latin-1") if request is not None else ""
        self.owner.dispatcher.connection_closed(
            ClosedConnection("client", "", self.close_reason or CloseReason.PEER, request_id)
        )
        if request is not None:
            self.owner.dispatcher.client_disconnected(request)

    def pause_writing(self) -> None:
        """Called when the write buffer is full: pauses a streamed response and holds back further responses."""
        self.write_blocked = True
        self.settle()
        if self.set_response_paused is not None:
            self.set_response_paused(True)
            self.owner.mark_slow_reader(self)
        else:
            self.owner.mark_receiving(self)

    def resume_writing(self) -> None:
        """Called when the client has read enough: resumes a streamed response or handles pending requests."""
        self.write_blocked = False
        self.settle()
        self.owner.unmark_slow_reader(self)
        if self.set_response_paused is not None:
            self.set_response_paused(False)
            return
        if not self.input_closed:
            if not self.receiving:
                self.owner.unmark(self)
            self.handle_pending()
        if self.is_idle():
            self.owner.mark_idle(self)

    def reject_input(self, status: int) -> None:
        """Stops handling input and answers with this status.

        Used when the end of a message can no longer be determined, or when the rest of it is not wanted.
        """
        self.input_closed = True
        self.receiving = False
        self.parser = None  # it buffers a part of the head
        self.release_message()
        self.owner.unmark(self)
        self.owner.count_bad_request(status)
        upload, self.incoming_upload = self.incoming_upload, None
        if upload is not None and upload is self.current_upload:
            # The request will never be complete, so it counts as not received.
            request, self.request = self.request, None
            self.busy = False
            if request is not None:
                self.owner.dispatcher.client_disconnected(request)
            if self.set_response_paused is not None and self.transport is not None:
                self.abort(CloseReason.BAD_REQUEST)
                return
        elif upload is not None:
            self.drop_pending_upload(upload)
        self.pending.append(LocalResponse(status))

    def drop_pending_upload(self, upload: Upload) -> None:
        """Drops the queued request whose body will never be complete: no deadline starts, and no server answers it."""
        last = self.pending[-1] if self.pending else None
        if isinstance(last, ParsedRequest) and last.upload is upload:
            self.pending.pop()

    def handle_pending(self) -> None:
        """Handles pending requests in order."""
        while self.pending and not self.busy and not self.write_blocked and self.transport is not None:
            if self.large_response and self.waits_for_reader():
                self.owner.mark_waiting_for_reader(self)
                return
            item = self.pending[0]
            if isinstance(item, ParsedRequest):
                presence = self.check_presence()
                if presence is Presence.UNKNOWN:
                    self.await_presence()
                    return
                if presence is Presence.CLOSED:
                    self.pending.clear()
                    return
                self.pending.popleft()
                self.dispatch(item)
            else:
                self.pending.popleft()
                self.keep_alive = item.keep_alive
                self.send_response(item.status, b"")

    def await_presence(self) -> None:
        """Waits for the client to acknowledge the last response, by which it was connected; else refuses the rest."""
        if monotonic_us() - self.responded_at_us <= KNOWN_CONNECTED_US:
            self.owner.loop.call_later(PRESENCE_POLL_S, self.handle_pending)
        else:
            self.refuse_pending()
            self.handle_pending()

    def refuse_pending(self) -> None:
        """Refuses the requests that wait, with everything that the client has sent behind them.

        The client may have left. No request of it is sent then, and none of these has been.
        """
        self.input_closed, self.receiving, self.unparsed = True, False, b""
        self.owner.unmark(self)
        upload, self.incoming_upload = self.incoming_upload, None
        if upload is not None:
            upload.discard()
        self.release_message()
        statuses = [item.status if isinstance(item, LocalResponse) else 503 for item in self.pending]
        self.pending = deque(LocalResponse(status, keep_alive=True) for status in statuses[:-1])
        self.pending.append(LocalResponse(statuses[-1]))
        self.settle()
        self.resume_transport()

    def dispatch(self, message: ParsedRequest) -> None:
        """Passes a request to the dispatcher, which may answer it during this call."""
        self.keep_alive = message.keep_alive
        self.busy = True
        self.current_upload = message.upload
        self.response_chunked = message.accepts_chunked
        dispatcher = self.owner.dispatcher
        # A client that sends an ID again on the connection on which it was answered has the answer.
        answered_here, self.last_request_id = self.last_request_id == message.request_id, message.request_id
        if dispatcher.is_open(message.request_id) or (not answered_here and dispatcher.may_have_run(message)):
            # Servers would treat it as a duplicate of the earlier request, or run it again.
            self.reject_conflict()
            return
        try:
            request = dispatcher.admit(self, message)
        except Exception:
            log_exception("request")
            self.send_failure()
            return
        if self.busy:
            self.request = request
            if message.upload is not None:
                if message.upload.complete:
                    dispatcher.body_received(request, self.last_read_delay_us)
                self.upload_progressed()
                self.limit_paused_upload()

    def reject_conflict(self) -> None:
        """Rejects a request that has the same ID as one that is open or may have run."""
        self.keep_alive = False
        self.owner.count_bad_request(409)
        self.send_response(409, b"")

    def is_connected(self) -> bool:
        """Returns whether the client is still connected; False if that is unknown.

        Asks the kernel, because reading is paused while a request is pending, so the event loop reports no disconnect.
        """
        return self.check_presence() is Presence.CONNECTED

    def check_presence(self) -> Presence:
        """Returns whether the client is still there; closes the connection if it has left."""
        presence = self.presence()
        if presence is Presence.CLOSED:
            # The caller may be the balancing policy, which is not reentrant: close in a later turn of the event loop.
            self.owner.loop.call_soon(self.close_abandoned)
        elif presence is Presence.UNKNOWN:
            self.owner.unseen_departures += 1
        return presence

    def presence(self) -> Presence:
        """Returns whether the client is still there.

        If its close may be hidden behind unread bytes, the client counts as connected for a short time after it was
        last known to be. It was when it acknowledged a response: the kernel of one that has closed resets instead.
        """
        if self.transport is None or self.transport.is_closing() or peer_has_closed(self.descriptor):
            return Presence.CLOSED
        now = monotonic_us()
        if self.sock is None or now - self.connected_at_us <= KNOWN_CONNECTED_US:
            return Presence.CONNECTED
        if not close_may_be_hidden(self.sock, self.descriptor):
            self.connected_at_us = now
        elif self.transport.get_write_buffer_size() == 0 and unacknowledged_bytes(self.descriptor) == 0:
            self.connected_at_us = max(self.connected_at_us, self.responded_at_us)
        known = now - self.connected_at_us <= KNOWN_CONNECTED_US
        return Presence.CONNECTED if known else Presence.UNKNOWN

    def close_if_departed(self) -> None:
        """Closes the connection of a client that the kernel reports as gone."""
        if self.presence() is Presence.CLOSED:
            self.close_abandoned()

    def close_abandoned(self) -> None:
        """Closes the connection of a client that has disconnected; `connection_lost` notifies the dispatcher."""
        if self.transport is None:
            return
        if self.request is None:
            self.close(CloseReason.CLIENT_DISCONNECTED)
        else:
            # `close` would delay `connection_lost` until buffered bytes are sent.
            self.abort(CloseReason.CLIENT_DISCONNECTED)

    def close(self, reason: CloseReason) -> None:
        """Closes the connection after buffered data has been sent."""
        if self.transport is not None:
            self.close_reason = self.close_reason or reason
            self.transport.close()

    def close_after_response(self) -> None:
        """Closes the connection after buffered data has been sent.

        If the client may still be sending, only the write side is shut down and received data is discarded for a while:
        closing a socket with unread data resets the connection, and the client could lose the response.
        """
        assert self.transport is not None
        if self.close_reason is None:
            self.close_reason = CloseReason.BAD_REQUEST if self.input_closed else CloseReason.LAST_RESPONSE
        if self.write_blocked:
            self.owner.mark_slow_reader(self)
        else:
            self.owner.mark_lingering(self)
        if self.input_closed or self.receiving or self.unparsed:
            self.input_closed = True
            self.unparsed = b""
            self.incoming_upload = None
            self.release_message()
            self.settle()
            self.transport.write_eof()
        else:
            self.input_closed = True
            self.transport.close()

    def has_unread_data(self) -> bool:
        """Returns whether received data or an end of the stream is waiting to be handled, and handling is possible."""
        if self.unparsed and not self.input_closed:
            return True
        if self.transport is None or self.transport.is_closing() or self.input_closed or self.reading_paused:
            return False
        return not has_no_pending_events(self.descriptor)

    def close_if_nothing_unread(self, reason: CloseReason) -> bool:
        """Closes the connection unless data is waiting to be read; returns whether it closed the connection.

        For a connection without open requests. Unread data may be a request, which its client may assume was received.
        """
        if self.transport is None or self.has_unread_data():
            return False
        self.close(reason)
        return True

    def timed_out(self) -> None:
        """Handles the end of the receive timeout."""
        if self.transport is None:
            return
        if self.receiving:
            self.reject_input(408)
            self.handle_pending()
        elif self.write_blocked:
            self.abort(CloseReason.RESPONSE_NOT_READ)
        else:
            self.owner.count_bad_request(0)
            self.close(CloseReason.REQUEST_TIMEOUT)
