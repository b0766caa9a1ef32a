"""One connection from a caller: its requests, its bodies, and its final answers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from httptools import HttpParserError, HttpRequestParser

from harecross.dispatch.close_reasons import ClosedConnection, CloseReason
from harecross.dispatch.dispatcher import DispatchedRequest
from harecross.downstream.read_delay import InfoSocket, ReadDelay, WaitingSocket
from harecross.http.body_buffer import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Upload, has_too_many_chunks
from harecross.http.request_parser import MAX_HEAD_BYTES, MAX_HEADERS, BadRequestError, ParsedRequest
from harecross.platform.clock import monotonic_us
from harecross.platform.log import log_exception
from harecross.platform.peer_state import has_left, is_quiet

if TYPE_CHECKING:
    from harecross.downstream.connection_manager import ConnectionManager

AHEAD = 8  # requests that may wait on one connection; callers send one at a time
OWED = 2_500_000  # from connecting to a message's first byte, from that to the end of its head, between two
# parts of a body, and before this rate counts:
SLOWEST = 32_000  # bytes a second of a body
BUFFER = 1 << 16  # of the kernel for a large answer, of which it takes twice as much
THROWN_MOST = 1 << 18  # bytes that are read and thrown away meanwhile
TEXTS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class ClientConnection(asyncio.Protocol):
    """One connection from a caller. One request at a time is handled; what comes early waits."""

    __slots__ = (
        "front",
        "transport",
        "parser",
        "request",
        "queue",
        "closing",
        "busy",
        "url",
        "headers",
        "body",
        "head_size",
        "head_done",
        "unread",
        "chunks",
        "reading",
        "keep",
        "paused",
        "full",
        "held",
        "thrown",
        "upload",
        "sending",
        "size",
        "begun",
        "heard",
        "waited",
        "expects",
        "hold_answer",
        "chunked",
        "ending",
        "descriptor",
        "sock",
        "read_delay",
        "unread_for",
        "paused_at",
        "close_reason",
    )

    def __init__(self, front: ConnectionManager, waiting: WaitingSocket | None = None) -> None:
        """`waiting`: since when what comes first may have waited."""
        self.front = front
        self.sock: InfoSocket | None = None
        self.read_delay = ReadDelay(front.heartbeat, waiting)
        self.unread_for = 0  # microseconds that what was read last may have waited
        self.paused_at = 0
        self.descriptor = -1
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = None
        self.request: DispatchedRequest | None = None
        self.queue: deque[ParsedRequest | int] = deque()  # a number: the status of what is answered here
        self.closing = False  # no further request is read
        self.busy = False  # a request is being handled
        self.keep = True
        self.paused = False
        self.full = False  # the caller does not read what it is sent
        self.reading = False  # part of a request has come
        self.held = 0  # bytes of bodies that wait here
        self.thrown = 0  # bytes that came after the end
        self.upload: Upload | None = None  # the large body that is being read
        self.sending: Upload | None = None  # the one of the request that is being handled
        self.hold_answer: Callable[[bool], None] | None = None  # while a large answer passes
        self.chunked = False  # it goes out in chunks
        self.ending = False  # and ends the connection
        self.close_reason: CloseReason | None = None  # why this side has ended it
        self.clear()

    def clear(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.head_size = 0
        self.head_done = False
        self.unread = -1  # bytes of a head that the parser keeps to itself; not those it began with
        self.chunks = 0
        self.size = 0  # of the body so far
        self.begun = self.heard = 0  # the first and the last of it
        self.waited = False  # for a server to take of its body
        self.expects = False  # to be told to go on

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.sock = transport.get_extra_info("socket")
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.parser = HttpRequestParser(self)
        self.front.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.parted(self)
        self.transport = self.parser = None
        self.queue.clear()
        self.upload = self.sending = None
        self.hold(-self.held)
        request, self.request = self.request, None
        name = request.parsed.request_id.decode("latin-1") if request is not None else ""
        self.front.dispatcher.connection_closed(
            ClosedConnection("client", "", self.close_reason or CloseReason.PEER, name)
        )
        if request is not None:
            self.front.dispatcher.client_disconnected(request)

    def close(self, reason: CloseReason) -> None:
        """Ends the connection once what was written has left."""
        if self.transport is not None:
            self.close_reason = self.close_reason or reason
            self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Ends the connection at once; what has not left is dropped."""
        if self.transport is not None:
            self.close_reason = self.close_reason or reason
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.parser is None or self.transport is None:
            return
        if self.closing:
            self.thrown += len(data)
            if self.thrown > THROWN_MOST and not self.paused:
                self.paused = True
                self.transport.pause_reading()
            return
        self.unread_for = self.read_delay.of(monotonic_us(), self.sock)
        try:
            self.parser.feed_data(data)
        except HttpParserError as e:
            inner = e.__context__
            self.refuse_rest(inner.status if isinstance(inner, BadRequestError) else 400)
        except BadRequestError as e:
            self.refuse_rest(e.status)
        else:
            if self.reading:
                self.heard = monotonic_us()
                self.unread = 0 if self.unread < 0 or self.head_done else self.unread + len(data)
                if self.unread > MAX_HEAD_BYTES:
                    self.refuse_rest(431)
        self.next()
        if self.paused or self.closing or self.transport is None:
            return
        if self.upload is not None and self.upload.full:
            # The server is to keep up: until then nothing is owed here.
            self.waited = True
            self.front.owes_nothing(self)
        elif not self.queue:
            return
        self.paused, self.paused_at = True, monotonic_us()
        self.transport.pause_reading()

    def read_on(self) -> None:
        """Reads again; what has come since the pause has waited."""
        if self.transport is not None:
            self.paused = False
            self.read_delay.waiting = WaitingSocket(monotonic_us(), self.paused_at)
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Guards against: answers to a caller that reads nothing pile up in memory."""
        self.full = True
        if self.hold_answer is not None:
            self.hold_answer(True)
            self.front.lags(self)
        else:
            self.front.owes(self)

    def resume_writing(self) -> None:
        self.full = False
        self.front.lagging.pop(self, None)
        if self.hold_answer is not None:
            self.hold_answer(False)
            return
        if not self.closing:
            if not self.reading:
                self.front.owes_nothing(self)
            self.next()
        if self.idle():
            self.front.rests(self)

    # ---- httptools ------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        if self.closing:
            return
        self.clear()
        self.reading = True
        self.begun = monotonic_us()
        self.front.owes(self)

    def grown(self, size: int) -> None:
        # Guards against: a head without end fills the memory of all requests together.
        self.head_size += size
        if self.head_size > MAX_HEAD_BYTES:
            raise BadRequestError(431)

    def on_url(self, url: bytes) -> None:
        self.grown(len(url))
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.grown(len(name) + len(value) + 4)
        if self.head_done:
            return  # a trailer
        if len(self.headers) >= MAX_HEADERS:
            raise BadRequestError(431)
        self.headers.append((name, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        assert self.parser is not None
        self.head_done = True
        if self.parser.should_upgrade():
            # Guards against: after CONNECT or Upgrade the parser takes the body for another protocol's bytes,
            # and the request would go on without it.
            raise BadRequestError(400)
        version = self.parser.get_http_version()
        self.front.reader.check_framing(version, self.headers)
        length = None
        for name, value in self.headers:
            low = name.lower()
            if low == b"content-length":
                length = int(value)
            elif low == b"expect" and value.lower() == b"100-continue" and version == "1.1":
                self.expects = True
        self.go_on()
        if length is not None and length > MAX_BUFFERED_BODY_BYTES:
            self.begin_upload(length)

    def go_on(self) -> None:
        """Tells a caller that waits for it to send its body, when its answer is the next one."""
        if self.expects and not self.busy and not self.queue and self.transport is not None:
            self.expects = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def begin_upload(self, length: int | None) -> None:
        """The body is too large to be held: its request is handled while it comes."""
        self.upload = Upload(length)
        self.upload.on_consumed = self.upload_moved
        self.queue.append(self.message(self.upload))

    def upload_moved(self) -> None:
        """A server has taken of the body, or nobody wants it any more."""
        upload = self.sending
        if upload is None or self.transport is None:
            return
        self.hold(len(upload.buffered) - self.held)
        if self.request is not None:
            self.front.dispatcher.body_consumed(self.request)
        if self.paused and not upload.full and not self.closing and not self.queue:
            if self.reading:
                self.front.owes(self)
            self.read_on()

    def on_chunk_header(self) -> None:
        self.chunks += 1
        if has_too_many_chunks(self.chunks, self.size):
            raise BadRequestError(413)

    def on_body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            raise BadRequestError(413)
        late = monotonic_us() - self.begun - OWED
        if late > 0 and not self.waited and self.size * 1_000_000 < SLOWEST * late:
            # Guards against: a byte now and then holds a connection, and a server's, for good.
            raise BadRequestError(408)
        self.front.owes(self)
        if self.upload is None and len(self.body) + len(data) > MAX_BUFFERED_BODY_BYTES:
            self.begin_upload(None)
            data, self.body = self.body + data, b""
            self.hold(-self.held)
        if self.upload is not None:
            self.upload.feed(data)
            if not self.upload.discarded:
                self.hold(len(self.upload.buffered) - self.held)
        else:
            self.body = self.body + data if self.body else data
            self.hold(len(data))
        if self.front.held > self.front.held_most:
            # Guards against: bodies within their bound, on all connections at once, fill the memory.
            raise BadRequestError(503)

    def on_message_complete(self) -> None:
        if self.closing:
            return
        assert self.parser is not None
        self.reading = False
        self.front.owes_nothing(self)
        if self.upload is not None:
            upload, self.upload = self.upload, None
            upload.finish()
            if self.sending is upload and self.request is not None:
                self.front.dispatcher.body_received(self.request, self.unread_for)
            elif self.sending is not upload and upload.discarded and self.idle():
                self.front.rests(self)  # answered before it had come
            return
        if self.url == b"/_health" and self.parser.get_method() == b"GET":
            # The front takes a node in once this has answered 200; one that is stopping wants no more, and one that
            # has no list of its own time may send nothing yet.
            self.queue.append(-503 if self.front.stopping or not self.front.dispatcher.may_send() else -200)
            return
        self.queue.append(self.message())
        if len(self.queue) > AHEAD:
            # Guards against: hundreds of requests on one connection wait, each with its body, for a turn
            # that costs a server's. None of them has been sent anywhere.
            self.queue.clear()
            raise BadRequestError(400)

    def message(self, upload: Upload | None = None) -> ParsedRequest:
        """The request that has been read, all but an upload."""
        assert self.parser is not None
        return self.front.reader.parse(
            self.parser.get_method(),
            self.url,
            self.headers,
            self.body,
            self.parser.should_keep_alive(),
            monotonic_us(),
            upload,
            self.parser.get_http_version() == "1.1",
            self.unread_for,
        )

    # ---- answers --------------------------------------------------------------------------------------

    def hold(self, size: int) -> None:
        self.held += size
        self.front.held += size

    def refuse_rest(self, status: int) -> None:
        """The connection ends with this status: where a message ends is lost, or nobody wants the rest."""
        self.closing = True
        self.reading = False
        self.front.owes_nothing(self)
        self.front.found(status)
        upload, self.upload = self.upload, None
        if upload is not None and upload is self.sending:
            # The rest of a body never comes: its request has not been taken, and ends where it stands.
            request, self.request = self.request, None
            self.busy = False
            if request is not None:
                self.front.dispatcher.client_disconnected(request)
            if self.hold_answer is not None and self.transport is not None:
                self.abort(CloseReason.BAD_REQUEST)
                return
        self.queue.append(status)

    def next(self) -> None:
        """Handles what waits, one after another."""
        while self.queue and not self.busy and not self.full and self.transport is not None:
            item = self.queue.popleft()
            if isinstance(item, int):
                self.keep = item < 0
                self.answer(abs(item), b"")
                continue
            if not self.is_connected():
                self.queue.clear()
                return
            self.keep = item.keep_alive
            self.busy = True
            self.sending = item.upload
            self.chunked = item.accepts_chunked
            if self.front.dispatcher.is_open(item.request_id):
                # Guards against: the id of another's open request, passed on, is a second copy of that one.
                self.conflict()
                continue
            try:
                request = self.front.dispatcher.admit(self, item)
            except Exception:
                log_exception("request")
                self.send_failure()
                continue
            if self.busy:
                self.request = request
                if item.upload is not None:
                    if item.upload.complete:
                        self.front.dispatcher.body_received(request, self.unread_for)
                    self.upload_moved()

    def is_connected(self) -> bool:
        """Whether its caller is still there, by the kernel's word.

        Guards against: a request is sent on that came together with its caller's end, or whose caller went while it
        waited in the queue, where nothing is read and no end is seen.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        if not has_left(self.descriptor):
            return True
        # Never within a call of the module, which may be asking.
        self.front.loop.call_soon(self.leave)
        return False

    def leave(self) -> None:
        """Its caller has gone; `connection_lost` tells the host."""
        if self.transport is None:
            return
        if self.request is None:
            self.close(CloseReason.CLIENT_DISCONNECTED)
        else:
            self.abort(
                CloseReason.CLIENT_DISCONNECTED
            )  # what is still written to it must not hold up the news

    def conflict(self) -> None:
        self.keep = False
        self.front.found(409)
        self.answer(409, b"")

    def finish_response(self, body: bytes) -> None:
        if self.hold_answer is None:
            self.answer(200, body)
            return
        self.hold_answer = None
        if self.transport is not None:
            if self.chunked:
                self.transport.write(b"0\r\n\r\n")
            self.answered(self.ending)

    def send_shed(self, retry_after: int) -> None:
        self.answer(503, b"", retry_after)

    def send_failure(self) -> None:
        if self.hold_answer is None:
            self.answer(502, b"")
        elif self.transport is not None:
            # What the caller has of the answer is not whole, and only by a reset can every caller tell.
            self.hold_answer = None
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.abort(CloseReason.RESPONSE_BROKEN_OFF)

    def begin_response(self, length: int | None, hold: Callable[[bool], None]) -> None:
        """Writes the head of a large answer."""
        self.hold_answer = hold
        if self.transport is None:
            return
        if length is None and not self.chunked:
            self.keep = False  # an old caller reads to the end
        self.chunked = self.chunked and length is None
        self.ending = self.ends()
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        # Guards against: what the kernel does not take piles up here, beside what it holds.
        self.transport.set_write_buffer_limits(high=0)
        sock = self.transport.get_extra_info("socket")
        # Guards against: megabytes for a slow caller wait in the kernel.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\n%s%s\r\n" % (framing, b"Connection: close\r\n" if self.ending else b"")
        )

    def send_part(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def ends(self) -> bool:
        """Whether the connection ends with the answer. What has come already is answered first."""
        return not self.keep or (not self.queue and self.front.leaving)

    def answer(self, status: int, body: bytes, retry_after: int = 0) -> None:
        """Writes the whole answer at once, and closes the connection where it cannot go on."""
        if self.transport is None:
            self.busy = False
            self.request = None
            return
        last = self.ends()
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s"
            % (
                status,
                TEXTS[status],
                len(body),
                b"Retry-After: %.3f\r\n" % (retry_after / 1e6) if retry_after else b"",
                b"Connection: close\r\n" if last else b"",
                body,
            )
        )
        self.answered(last)

    def answered(self, last: bool) -> None:
        """An answer has been written: the connection goes on, or ends."""
        was_busy, self.busy = self.busy, False
        self.request = self.sending = None
        transport = self.transport
        assert transport is not None
        if not self.keep:
            self.queue.clear()  # the caller has said that nothing more comes
        if not self.queue and not (self.reading and self.upload is None):
            self.hold(-self.held)
        if last:
            self.shut()
            return
        if self.paused and not self.queue:
            self.read_on()
            if self.reading:
                self.front.owes(self)
        self.go_on()
        if self.idle():
            self.front.rests(self)
        if was_busy and self.queue:
            self.front.loop.call_soon(self.next)

    def shut(self) -> None:
        """Ends the connection after what was written; what still comes is thrown away for a while.

        Guards against: closing with unread bytes resets the connection, and the answer is lost with it.
        """
        assert self.transport is not None
        if self.close_reason is None:
            self.close_reason = CloseReason.BAD_REQUEST if self.closing else CloseReason.LAST_RESPONSE
        if self.full:
            self.front.lags(self)  # its end still waits behind what the caller has not taken
        else:
            self.front.ends(self)
        if self.closing or self.reading:
            self.closing = True
            self.transport.write_eof()
        else:
            self.closing = True
            self.transport.close()

    def has_unread(self) -> bool:
        """Whether more has come that can be read as a request, and has not been: bytes, or an end."""
        if self.transport is None or self.transport.is_closing() or self.closing or self.paused:
            return False
        return not is_quiet(self.descriptor)

    def end_idle(self, reason: CloseReason) -> bool:
        """Ends a connection that owes nothing, unless a request lies unread on it; whether it has.

        Guards against: a request that crosses the end of its connection has been taken as far as its caller can
        know, and closing with bytes unread resets the connection.
        """
        if self.transport is None or self.has_unread():
            return False
        self.close(reason)
        return True

    def idle(self) -> bool:
        return not (self.busy or self.queue or self.reading or self.closing or self.full)

    def overdue(self) -> None:
        """It has owed something for too long."""
        if self.transport is None:
            return
        if self.reading:
            self.refuse_rest(408)
            self.next()
        elif self.full:
            self.abort(CloseReason.RESPONSE_NOT_READ)
        else:
            self.front.found(0)
            self.close(CloseReason.REQUEST_TIMEOUT)
