"""One connection from a client: its events, the order of its requests, and its end."""

from __future__ import annotations

import asyncio
from typing import cast

from httptools import HttpParserError, HttpRequestParser

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.downstream.connection_state import LocalResponse
from harecross.downstream.read_delay import UnreadInterval
from harecross.downstream.request_receiver import RequestReceiver
from harecross.downstream.response_sender import ResponseSender
from harecross.http.request_parser import MAX_HEAD_BYTES, BadRequestError, ParsedRequest
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception
from harecross.platform.peer_state import is_quiet, peer_has_closed

MAX_DISCARDED_BYTES = 1 << 18  # read after the input was closed; then reading is paused


class ClientConnection(RequestReceiver, ResponseSender):
    """One connection from a client. One request at a time is handled; those that come early are pending."""

    __slots__ = ()

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is set up."""
        self.transport = cast(asyncio.Transport, transport)
        self.sock = transport.get_extra_info("socket")
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.parser = HttpRequestParser(self)
        self.owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection is closed."""
        self.owner.connection_closed(self)
        self.transport = self.parser = None
        self.pending.clear()
        self.incoming_upload = self.current_upload = None
        self.buffer_bytes(-self.buffered_bytes)
        request, self.request = self.request, None
        request_id = request.parsed.request_id.decode("latin-1") if request is not None else ""
        self.owner.dispatcher.connection_closed(
            ClosedConnection("client", "", self.close_reason or CloseReason.PEER, request_id)
        )
        if request is not None:
            self.owner.dispatcher.client_disconnected(request)

    def data_received(self, data: bytes) -> None:
        """Parses what has come, and handles the requests that are complete."""
        if self.parser is None or self.transport is None:
            return
        if self.input_closed:
            self.discard(len(data), self.transport)
            return
        self.last_read_delay_us = self.read_delay.measure(monotonic_us(), self.sock)
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            # An exception of a callback is the context of the parser's own.
            inner = error.__context__
            self.reject_input(inner.status if isinstance(inner, BadRequestError) else 400)
        except BadRequestError as error:
            self.reject_input(error.status)
        else:
            if self.receiving:
                self.limit_unparsed_head(len(data))
        self.handle_pending()
        self.pause_reading_if_behind()

    def pause_writing(self) -> None:
        """The client does not read: a large response is paused, smaller ones wait."""
        self.write_blocked = True
        if self.set_response_paused is not None:
            self.set_response_paused(True)
            self.owner.mark_slow_reader(self)
        else:
            self.owner.mark_receiving(self)

    def resume_writing(self) -> None:
        """The client reads again."""
        self.write_blocked = False
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

    # ---- input ----------------------------------------------------------------------------------------

    def discard(self, size: int, transport: asyncio.Transport) -> None:
        """Ignores bytes that come after the input was closed, up to a bound."""
        self.discarded_bytes += size
        if self.discarded_bytes > MAX_DISCARDED_BYTES and not self.reading_paused:
            self.reading_paused = True
            transport.pause_reading()

    def limit_unparsed_head(self, size: int) -> None:
        """Bounds the bytes of a head that the parser keeps without a callback."""
        self.last_data_us = monotonic_us()
        starts = self.unparsed_head_bytes < 0 or self.head_complete
        self.unparsed_head_bytes = 0 if starts else self.unparsed_head_bytes + size
        if self.unparsed_head_bytes > MAX_HEAD_BYTES:
            self.reject_input(431)

    def pause_reading_if_behind(self) -> None:
        """Stops reading while a request is pending, or while a server has not taken enough of an upload."""
        if self.reading_paused or self.input_closed or self.transport is None:
            return
        if self.incoming_upload is not None and self.incoming_upload.full:
            self.waited_for_server = True
            self.owner.unmark(self)  # the client is not late while it is not read
        elif not self.pending:
            return
        self.reading_paused, self.paused_at_us = True, monotonic_us()
        self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads again; what has come since the pause has waited."""
        if self.transport is not None:
            self.reading_paused = False
            self.read_delay.unread_interval = UnreadInterval(monotonic_us(), self.paused_at_us)
            self.transport.resume_reading()

    def reject_input(self, status: int) -> None:
        """Closes the input with this status: where a message ends is lost, or the rest is not wanted."""
        self.input_closed = True
        self.receiving = False
        self.owner.unmark(self)
        self.owner.count_bad_request(status)
        upload, self.incoming_upload = self.incoming_upload, None
        if upload is not None and upload is self.current_upload:
            # The request never becomes whole, so it counts as not received.
            request, self.request = self.request, None
            self.busy = False
            if request is not None:
                self.owner.dispatcher.client_disconnected(request)
            if self.set_response_paused is not None and self.transport is not None:
                self.abort(CloseReason.BAD_REQUEST)
                return
        self.pending.append(LocalResponse(status))

    # ---- requests -------------------------------------------------------------------------------------

    def handle_pending(self) -> None:
        """Handles pending requests, one after another."""
        while self.pending and not self.busy and not self.write_blocked and self.transport is not None:
            item = self.pending.popleft()
            if isinstance(item, LocalResponse):
                self.keep_alive = item.keep_alive
                self.send_response(item.status, b"")
                continue
            if not self.is_connected():
                self.pending.clear()
                return
            self.dispatch(item)

    def dispatch(self, message: ParsedRequest) -> None:
        """Hands a request to the dispatcher, which may answer it within this call."""
        self.keep_alive = message.keep_alive
        self.busy = True
        self.current_upload = message.upload
        self.response_chunked = message.accepts_chunked
        dispatcher = self.owner.dispatcher
        if dispatcher.is_open(message.request_id):
            # Servers would take it for a second copy of the other request.
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

    def reject_conflict(self) -> None:
        """Answers a request whose id belongs to an open one."""
        self.keep_alive = False
        self.owner.count_bad_request(409)
        self.send_response(409, b"")

    def is_connected(self) -> bool:
        """Whether the client is still there.

        The kernel is asked, because nothing is read while a request is pending and so no end is seen.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if not peer_has_closed(self.descriptor):
            return True
        # The decision module may be asking: it must not be called within its own call.
        self.owner.loop.call_soon(self.close_abandoned)
        return False

    # ---- the end --------------------------------------------------------------------------------------

    def close_abandoned(self) -> None:
        """Closes a connection whose client has left; `connection_lost` tells the dispatcher."""
        if self.transport is None:
            return
        if self.request is None:
            self.close(CloseReason.CLIENT_DISCONNECTED)
        else:
            self.abort(CloseReason.CLIENT_DISCONNECTED)  # unsent bytes must not delay `connection_lost`

    def close(self, reason: CloseReason) -> None:
        """Closes the connection once what was written has been sent."""
        if self.transport is not None:
            self.close_reason = self.close_reason or reason
            self.transport.close()

    def close_after_response(self) -> None:
        """Closes the connection after what was written.

        What still comes is discarded for a while: closing with unread bytes resets the connection, and the response
        would be lost.
        """
        assert self.transport is not None
        if self.close_reason is None:
            self.close_reason = CloseReason.BAD_REQUEST if self.input_closed else CloseReason.LAST_RESPONSE
        if self.write_blocked:
            self.owner.mark_slow_reader(self)
        else:
            self.owner.mark_lingering(self)
        if self.input_closed or self.receiving:
            self.input_closed = True
            self.transport.write_eof()
        else:
            self.input_closed = True
            self.transport.close()

    def has_unread_data(self) -> bool:
        """Whether bytes or an end have come that are not read yet, and can be."""
        if self.transport is None or self.transport.is_closing() or self.input_closed or self.reading_paused:
            return False
        return not is_quiet(self.descriptor)

    def close_if_nothing_unread(self, reason: CloseReason) -> bool:
        """Closes a connection without open requests, unless unread data may be a request; returns whether it did.

        A request that crosses the close was received as far as its client can know.
        """
        if self.transport is None or self.has_unread_data():
            return False
        self.close(reason)
        return True

    def timed_out(self) -> None:
        """The receive timeout is over."""
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
