"""The HTTP side that callers see: requests, `/_health`, final answers."""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Sequence
from typing import cast

from httptools import HttpParserError, HttpRequestParser

from harecross.interface import Effect, Settings
from harecross.node.host import Host, Message, Request, guard
from harecross.node.servers import HOST, clock

BODY_MOST = 1 << 16
HEAD_MOST = 1 << 15
MESSAGE_MOST = 4 * BODY_MOST  # chunks cost bytes of their own
AHEAD = 8  # requests that may wait on one connection before it is read no further
SLOW = 10_000_000  # a request that takes so long to come is given up
LINGER = 1.0  # seconds in which what still comes is thrown away, so that the answer is not
TIMEOUT = re.compile(rb"(\d{1,12})(?:\.(\d{1,6}))?([mu])")
# Not passed on: they belong to one connection, or the node writes its own.
OWN_HEADERS = frozenset(
    b"host connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect "
    b"content-length x-timeout".split()
)
TEXTS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def time_left(text: bytes) -> int | None:
    """Microseconds in an X-Timeout header; None if it is not one."""
    m = TIMEOUT.fullmatch(text.strip())
    if m is None:
        return None
    whole, part, unit = m.groups()
    scale = 1000 if unit == b"m" else 1
    return int(whole) * scale + int(float(b"0." + (part or b"0")) * scale)


class BadRequest(Exception):
    """A request that is answered with a status of its own and goes nowhere."""

    def __init__(self, status: int) -> None:
        self.status = status


class Caller(asyncio.Protocol):
    """One connection from a caller. One request at a time is handled; what comes early waits."""

    __slots__ = (
        "front",
        "transport",
        "parser",
        "request",
        "queue",
        "last_used",
        "served_any",
        "closing",
        "busy",
        "url",
        "headers",
        "body",
        "size",
        "head_size",
        "reading",
        "keep",
        "paused",
    )

    def __init__(self, front: Callers) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = None
        self.request: Request | None = None
        self.queue: deque[Message | int] = deque()  # a number: the status of what cannot be handled
        self.last_used = clock()
        self.served_any = False
        self.closing = False  # no further request is read
        self.busy = False  # a request is being handled
        self.keep = True
        self.paused = False
        self.reading = False  # part of a request has come
        self.size = 0  # bytes of it so far
        self.clear()

    def clear(self) -> None:
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.head_size = 0

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = HttpRequestParser(self)
        self.front.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.open.discard(self)
        self.transport = self.parser = None
        self.queue.clear()
        request, self.request = self.request, None
        if request is not None:
            self.front.host.left(request)

    def data_received(self, data: bytes) -> None:
        if self.closing or self.parser is None:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except BadRequest as e:
            self.refuse_rest(e.status)
        except HttpParserError as e:
            inner = e.__context__
            self.refuse_rest(inner.status if isinstance(inner, BadRequest) else 400)
        else:
            if not self.reading:
                self.size = 0
            elif self.size > MESSAGE_MOST:
                self.refuse_rest(431)
        if len(self.queue) >= AHEAD and self.transport is not None and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        if not self.busy:
            self.next()

    # ---- httptools ------------------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.clear()
        self.reading = True
        self.last_used = clock()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > HEAD_MOST:
            raise BadRequest(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        # Guards against: a head without end fills the memory of all requests together.
        self.head_size += len(name) + len(value)
        if self.head_size > HEAD_MOST:
            raise BadRequest(431)
        self.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        self.body = self.body + data if self.body else data
        if len(self.body) > BODY_MOST:
            raise BadRequest(413)

    def on_headers_complete(self) -> None:
        for name, value in self.headers:
            if name.lower() == b"content-length" and int(value) > BODY_MOST:
                raise BadRequest(413)

    def on_message_complete(self) -> None:
        self.reading = False
        assert self.parser is not None
        keep = self.parser.should_keep_alive()
        method = self.parser.get_method()
        if self.url == b"/_health":
            # The front takes a node in once this has answered 200; one that is stopping wants no more.
            self.queue.append(-503 if self.front.stopping else -200)
            return
        try:
            self.queue.append(self.front.read(method, self.url, self.headers, self.body, keep))
        except BadRequest as e:
            # Framing is sound: the connection goes on with the next request.
            self.queue.append(-e.status if keep else e.status)

    # ---- answers --------------------------------------------------------------------------------------

    def refuse_rest(self, status: int) -> None:
        """Where a message ends is lost: nothing more is read from this connection."""
        self.closing = True
        self.reading = False
        self.queue.append(status)

    def next(self) -> None:
        """Handles what waits, one after another."""
        while self.queue and not self.busy and self.transport is not None:
            item = self.queue.popleft()
            self.last_used = clock()
            if isinstance(item, int):
                self.keep = item < 0
                self.answer(abs(item), b"")
                continue
            self.keep = item.keep
            self.busy = True
            try:
                request = self.front.host.take(self, item)
            except Exception:
                guard("request")
                self.failed()
                continue
            if self.busy:
                self.request = request

    def served(self, body: bytes) -> None:
        self.answer(200, body)

    def refused(self, retry_after: int) -> None:
        self.answer(503, b"", retry_after)

    def failed(self) -> None:
        self.answer(502, b"")

    def answer(self, status: int, body: bytes, retry_after: int = 0) -> None:
        """Writes the whole answer at once, and closes the connection where it cannot go on."""
        was_busy, self.busy = self.busy, False
        self.request = None
        transport = self.transport
        if transport is None:
            return
        self.last_used = clock()
        self.served_any = True
        if not self.keep:
            self.queue.clear()  # the caller has said that nothing more comes
        # What has come already is answered before the connection ends.
        last = not self.keep or not self.queue and (self.front.leaving or self.front.crowded())
        transport.write(
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
        if last:
            self.shut()
            return
        if self.paused and len(self.queue) < AHEAD:
            self.paused = False
            transport.resume_reading()
        if was_busy and self.queue:
            self.front.loop.call_soon(self.next)

    def shut(self) -> None:
        """Ends the connection after what was written; what still comes is thrown away for a while.

        Guards against: closing with unread bytes resets the connection, and the answer is lost with it.
        """
        assert self.transport is not None
        if self.closing:
            self.front.loop.call_later(LINGER, self.transport.close)
        else:
            self.closing = True
            self.transport.close()

    def idle(self) -> bool:
        return not self.busy and not self.queue and not self.reading


class Callers:
    """The listener and its connections."""

    def __init__(
        self, host: Host, settings: Settings, names: Sequence[str], tenants: Sequence[str], most: int
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.host = host
        self.most = most  # connections that are kept
        self.open: set[Caller] = set()
        self.stopping = False  # health says so
        self.leaving = False  # connections close after what is on them
        self.classes = {name.encode(): i for i, name in enumerate(names)}
        self.effects = [c.effect for c in settings.classes]
        self.tenants = {name.encode(): i for i, name in enumerate(tenants)}

    def make(self) -> Caller:
        return Caller(self)

    def crowded(self) -> bool:
        return len(self.open) > self.most

    def joined(self, caller: Caller) -> None:
        """Guards against: callers that only ever open connections take the last descriptor."""
        self.open.add(caller)
        if len(self.open) > self.most:
            idle = [c for c in self.open if c.served_any and c.idle()]
            if idle:
                oldest = min(idle, key=lambda c: c.last_used)
                if oldest.transport is not None:
                    oldest.transport.close()

    def read(
        self, method: bytes, url: bytes, headers: list[tuple[bytes, bytes]], body: bytes, keep: bool
    ) -> Message:
        """A request of one of the classes, made ready to be passed on."""
        if not url.startswith(b"/"):
            raise BadRequest(400)
        end = len(url)
        for mark in (url.find(b"/", 1), url.find(b"?", 1)):
            if 0 < mark < end:
                end = mark
        klass = self.classes.get(url[1:end])
        if klass is None:
            raise BadRequest(404)
        left: int | None = None
        tenant = len(self.tenants)  # none of those in the settings: no share to draw on
        repeat = named = keyed = False
        lines = [method + b" " + url + b" HTTP/1.1\r\nHost: " + HOST + b"\r\n"]
        for name, value in headers:
            low = name.lower()
            if low in OWN_HEADERS:
                if low == b"x-timeout":
                    left = time_left(value)
                continue
            if low == b"x-request-id":
                named = bool(value)
            elif low == b"idempotency-key":
                keyed = bool(value)
            elif low == b"x-retried":
                repeat = value.strip() == b"1"
            elif low == b"x-tenant-id":
                tenant = self.tenants.get(value, tenant)
            lines.append(b"%s: %s\r\n" % (name, value))
        effect = self.effects[klass]
        if left is None or not named or (effect == Effect.KEYED and not keyed):
            # Guards against: a keyed request with no key would be counted on to be dropped when repeated.
            raise BadRequest(400)
        if body or method != b"GET":
            lines.append(b"Content-Length: %d\r\n" % len(body))
        return Message(klass, tenant, repeat, left, b"".join(lines), body, clock(), keep)

    def sweep(self) -> None:
        """Gives up on requests that stopped half way."""
        late = clock() - SLOW
        for caller in list(self.open):
            if caller.reading and not caller.busy and caller.last_used < late and not caller.closing:
                caller.refuse_rest(408)
                caller.next()

    def close_idle(self) -> None:
        """Closes connections that have had an answer and hold nothing; new ones may have a request coming."""
        for caller in list(self.open):
            if caller.served_any and caller.idle() and caller.transport is not None:
                caller.transport.close()

    def close_all(self) -> None:
        for caller in list(self.open):
            if caller.transport is not None:
                caller.transport.close()

    def busy(self) -> bool:
        """Whether a request that came whole has no answer yet."""
        return any(c.busy or c.queue for c in self.open)
