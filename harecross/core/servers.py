"""Connections to servers: pool, connect, send, outcome, close; probes use them too.

A connection carries one exchange at a time. Nothing here ever sends an exchange twice.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from time import monotonic_ns
from typing import cast

from harecross.core.answers import Answer, Reading, read_report, report_places
from harecross.core.bodies import STREAM_MOST, Upload, stream_buffer
from harecross.core.closings import CloseReason, Closing
from harecross.core.presence import is_quiet
from harecross.core.requests import HOST
from harecross.core.room import Room
from harecross.core.system_errors import is_local_shortage
from harecross.interface import Outcome

IDLE_MARGIN = 1_500_000  # an idle connection is dropped so long before the server would close it
NEVER = 1 << 62  # no time at all
PASSING = 1 << 25  # bytes of large answers that may stand here, where nothing else is told
CROWD = 4  # one in so many descriptors may be a large answer that begins
# A second answer may come some milliseconds after the first (STANDING, "Days at full size") and would be taken for the
# next exchange's. A kept connection rests for so long before that one, or for one part in so many of what the last one
# took: there is then a connection more for each so many in use.
REST_MOST = 20_000
REST_PART = 4
STALLED = 6_000_000  # a large body that its server neither takes nor gives on for so long is given up


def clock() -> int:
    """The module's time: monotonic microseconds."""
    return monotonic_ns() // 1000


class Target:
    """One process of a server, as discovery lists it. A restart makes a new one."""

    __slots__ = ("server", "host", "port", "started", "ready", "idle", "links")

    def __init__(self, server: int, host: str, port: int, started: int) -> None:
        self.server = server
        self.host = host
        self.port = port
        self.started = started
        self.ready = True  # in service
        self.links = 0  # connections to it, and attempts at one
        self.idle: list[Connection] = []  # the one used last stands last

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"


class Exchange:
    """One message to a server and what becomes of it; `ended` is called exactly once."""

    __slots__ = (
        "server",
        "target",
        "head",
        "body",
        "until",
        "began",
        "timer",
        "conn",
        "over",
        "ended",
        "upload",
        "patience",
        "begun",
        "begin_by",
    )

    def __init__(
        self,
        server: int,
        head: bytes,
        body: bytes,
        until: int,
        ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None],
    ) -> None:
        self.server = server
        self.head = head  # up to the X-Timeout header, which tells what is left when the first byte goes out
        self.body = body
        self.until = until
        self.ended = ended
        self.began = 0
        self.target: Target | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.conn: Connection | None = None
        self.over = False
        self.upload: Upload | None = None  # in place of `body`; `until` is set once all of it has left
        self.patience = 0  # and is then so much later
        self.begun = False  # its answer is being passed on
        self.begin_by = NEVER  # its first byte goes out before then or not at all

    def begin(self, length: int | None, report: Sequence[float]) -> bool:
        """A large answer begins, of that many bytes if it says so. Whether anybody wants it."""
        return False

    def part(self, data: bytes) -> None:
        """More of that answer."""

    def wanted(self) -> bool:
        """Whether anybody waits for what comes of it: asked again before its first byte goes out late."""
        return True

    def is_sent(self) -> bool:
        """Whether its last byte has left, so that it may run."""
        return self.conn is not None and self.conn.sent

    def left(self) -> None:
        """The last byte of the upload has left."""

    def written(self, fresh: bool, whole: bool) -> None:
        """It was written to a connection, `fresh` or kept; not `whole` while bytes of it stand here."""

    def request_id(self) -> str:
        """Of the request that it is an attempt of; "" if it is none."""
        return ""


class Probe(Exchange):
    """A test of a server."""

    __slots__ = ()


class Connection(asyncio.Protocol):
    """A connection to a server."""

    __slots__ = (
        "pool",
        "target",
        "transport",
        "answer",
        "exchange",
        "sent",
        "since",
        "usable",
        "rest",
        "stuck",
        "held",
        "moved",
        "buffer",
        "descriptor",
        "rested",
        "closing",
    )

    def __init__(self, pool: Servers, target: Target) -> None:
        self.pool = pool
        self.target = target
        self.transport: asyncio.Transport | None = None
        self.answer: Answer | None = None
        self.exchange: Exchange | None = None
        self.since = 0
        self.sent = False
        self.usable = True
        self.rest = False  # more of an upload is to come
        self.stuck = False  # the server does not take what was written
        self.held = False  # the caller does not take what the server sent
        self.moved = 0  # when a large body last went on
        self.buffer = 0  # of the kernel for what the server sends, as asked for
        self.descriptor = -1
        self.rested = 0  # when it may carry the next exchange
        self.closing: Closing | None = None  # why this side has ended it

    # ---- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.descriptor = transport.get_extra_info("socket").fileno()
        # With no room in the buffer a write is tried at once, and a pause tells that bytes have not left.
        self.transport.set_write_buffer_limits(high=0)
        # Guards against: what a caller takes slowly piles up by the megabyte in the kernel.
        self.narrow(self.pool.first)

    def pause_writing(self) -> None:
        self.stuck = True
        self.sent = False

    def resume_writing(self) -> None:
        self.stuck = False
        if self.rest:
            self.more()
        elif self.exchange is not None and self.exchange.upload is not None and not self.sent:
            self.all_left(self.exchange)
        else:
            self.sent = True

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self.answer is None:
            # Stray bytes: whatever they are, they would be taken for the next answer.
            self.discard(CloseReason.SPOILT)
            return
        self.read(self.answer, self.answer.feed(data))

    def eof_received(self) -> bool:
        if self.exchange is not None and self.answer is not None:
            reading = self.answer.end()
            if reading == Reading.WHOLE:
                self.usable = False
                self.read(self.answer, reading)
        return False

    def read(self, answer: Answer, reading: Reading) -> None:
        """What has been read of the answer."""
        if answer.streaming and not self.pass_on(answer):
            return
        if reading == Reading.WHOLE:
            self.settle(answer)
        elif reading == Reading.SPOILT:
            # The request has run; what came of it is nothing to show a caller, and nor is what may follow.
            self.pool.spoilt += 1
            self.lost(CloseReason.SPOILT)

    def pass_on(self, answer: Answer) -> bool:
        """Passes on what has come of a large answer; whether anybody wants it."""
        exchange = self.exchange
        assert exchange is not None
        self.moved = clock()
        if not exchange.begun:
            if not exchange.begin(answer.length, self.report_in(answer.report)):
                self.lost(CloseReason.GIVEN_UP)
                return False
            exchange.begun = True
            if exchange.timer is not None:
                exchange.timer.cancel()
            self.pool.streams.add(self)
            self.pool.fit_buffers()
            self.narrow(self.pool.buffer)
        part = answer.take()
        if part:
            exchange.part(part)
        return self.exchange is exchange  # its caller may have gone over this

    def narrow(self, size: int) -> None:
        """How much the kernel takes of what the server sends."""
        if self.transport is not None and size != self.buffer:
            self.buffer = size
            sock = self.transport.get_extra_info("socket")
            with suppress(OSError):  # the kernel's own size serves as well
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def hold(self, on: bool) -> None:
        """Reads no more of the answer for now, or goes on."""
        if self.held == on or self.transport is None:
            return
        self.held = on
        self.moved = clock()
        if on:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.pool.room.servers -= 1
        self.target.links -= 1
        self.pool.streams.discard(self)
        self.usable = False
        self.transport = None
        if self.answer is not None:
            self.answer.drop()
        if self in self.target.idle:
            self.target.idle.remove(self)
        if self.exchange is not None:
            self.lost(CloseReason.PEER)
        self.pool.on_closed(self.closing or Closing("server", self.target.address, CloseReason.PEER))

    # ---- exchanges ------------------------------------------------------------------------------------

    def start(self, exchange: Exchange, now: int) -> None:
        """Writes the exchange's message."""
        assert self.transport is not None
        self.exchange = exchange
        exchange.conn = self
        self.answer = Answer()
        self.narrow(self.pool.first)
        upload = exchange.upload
        if upload is not None:
            self.sent, self.rest, self.moved = False, True, now
            self.pool.streams.add(self)
            self.transport.write(b"%sX-Timeout: %du\r\n\r\n" % (exchange.head, max(1, exchange.patience)))
            upload.attach(self.more)
            self.more()
            return
        self.sent = True
        self.transport.write(
            b"%sX-Timeout: %du\r\n\r\n%s" % (exchange.head, max(1, exchange.until - now), exchange.body)
        )
        if self.transport.is_closing():
            self.sent = False
        exchange.written(self.since == 0, self.sent)

    def more(self) -> None:
        """Writes what there is of the upload."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.stuck or self.transport is None:
            return
        upload = exchange.upload
        data, complete = upload.take(), upload.complete
        if upload.length is None:
            data = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
            if complete:
                data += b"0\r\n\r\n"
        self.moved = clock()
        if complete:
            self.rest = False
            upload.detach()
        if data:
            self.transport.write(data)
        if complete and not self.stuck:
            self.all_left(exchange)

    def all_left(self, exchange: Exchange) -> None:
        """The last byte of an upload has left: its time begins."""
        self.pool.streams.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        self.sent = True
        exchange.began = clock()
        exchange.until = min(exchange.until, exchange.began + exchange.patience)
        if exchange.timer is None:
            self.pool.limit(exchange)
        exchange.left()

    def report_in(self, text: bytes) -> Sequence[float]:
        """The load report in a header, if it is one."""
        report = read_report(text, self.pool.places, self.pool.fields) if text else ()
        self.pool.reports += bool(report)
        return report

    def settle(self, answer: Answer) -> None:
        """A whole answer has come."""
        exchange = self.exchange
        assert exchange is not None
        # /_load answers with the report itself.
        report = self.report_in(answer.report or (answer.body if isinstance(exchange, Probe) else b""))
        self.let_go(exchange)
        whole = self.sent  # an answer before the last byte has left leaves half a request on the line
        self.exchange = self.answer = None
        if answer.reusable and whole and self.usable:
            now = clock()
            self.rested = now + min(REST_MOST, (now - exchange.began) // REST_PART)
            self.pool.put(self)
        else:
            self.discard(CloseReason.LAST_ANSWER, exchange)
        self.pool.end(exchange, answer.outcome(), answer.body, report)

    def lost(self, reason: CloseReason) -> None:
        """Broken under a request: it never ran if the last byte had not left, and may have run otherwise.

        Guards against: a kept connection that the server has just closed looks like one that never came
        up. Its request may have been read, so it is a reset and nothing here sends it again.
        """
        exchange = self.exchange
        assert exchange is not None
        self.let_go(exchange)
        self.exchange = None
        sent = self.sent
        self.discard(reason, exchange)
        self.pool.end(exchange, Outcome.RESET if sent else Outcome.CONNECT_FAILED)

    def let_go(self, exchange: Exchange) -> None:
        """The exchange has no more to do with this connection."""
        self.rest = False
        self.pool.streams.discard(self)
        if exchange.upload is not None:
            exchange.upload.detach()
        if self.held:
            self.hold(False)

    def discard(self, reason: CloseReason, exchange: Exchange | None = None) -> None:
        """Closes it at once; `exchange` is the one it ends with."""
        self.usable = False
        if self.closing is None:
            request = exchange.request_id() if exchange is not None else ""
            self.closing = Closing("server", self.target.address, reason, request)
        if self.transport is not None:
            self.transport.abort()


class Servers:
    """Every connection of this node to servers."""

    def __init__(self, connect_timeout: int, idle_time: int, columns: Sequence[str], room: Room) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout / 1e6
        self.idle_time = max(idle_time - IDLE_MARGIN, idle_time // 2)
        self.places = report_places(columns)
        self.fields = len(columns)
        self.room = room
        self.on_closed: Callable[[Closing], None] = lambda closing: None
        # Asks callers for a place: True if one of theirs has been put out.
        self.on_short: Callable[[], bool] = lambda: False
        self.reports = 0  # load reports read
        self.spoilt = 0  # answers that could not be read
        self.targets: dict[int, Target] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.streams: set[Connection] = set()  # those that carry a large body
        self.passing_most = 0  # bytes of large answers that may stand here, all together
        self.buffer = STREAM_MOST  # the kernel's for each of them, as last set
        self.first = STREAM_MOST  # and for any answer, until it is known to be large
        self.set_passing(PASSING)

    @property
    def open(self) -> int:
        """Connections to servers, and attempts at one."""
        return self.room.servers

    def update(self, server: int, address: str, started: int) -> None:
        """A server in service. Old connections never lead to a new process or address."""
        host, _, port = address.rpartition(":")
        old = self.targets.get(server)
        if old is not None:
            if (old.host, old.port, old.started) == (host, int(port), started):
                old.ready = True
                return
            self.withdraw(server)
        self.targets[server] = Target(server, host, int(port), started)

    def withdraw(self, server: int) -> None:
        """Nothing new goes to the server from now on; what is out on its connections is waited for."""
        target = self.targets.get(server)
        if target is not None:
            target.ready = False
            self.close_idle(target, CloseReason.SERVER_LEAVES)

    def forget(self, server: int) -> bool:
        """Lets go of a server that is not in service, once nothing is out on it."""
        target = self.targets.get(server)
        if target is None:
            return True
        if target.ready or target.links:
            return False
        del self.targets[server]
        return True

    def close_idle(self, target: Target, reason: CloseReason) -> None:
        for conn in list(target.idle):
            conn.discard(reason)
        target.idle.clear()

    def close(self, server: int) -> None:
        target = self.targets.get(server)
        if target is not None:
            self.close_idle(target, CloseReason.EJECTED)

    def send(self, exchange: Exchange) -> None:
        """Sends on the connection used last, or on a new one. The outcome never comes within this call."""
        now = clock()
        exchange.began = now
        target = exchange.target = self.targets.get(exchange.server)
        if target is None or not target.ready or min(exchange.until, exchange.begin_by) <= now:
            self.loop.call_soon(self.end, exchange, Outcome.NOT_SENT)
            return
        if exchange.until < NEVER:
            self.limit(exchange)
        fits = self.room.server_fits()
        # Where no other one fits, the one that has not rested is better than the work of another handshake.
        conn = self.kept(target, now) or (None if fits else self.kept(target, now, rested=False))
        if conn is not None:
            conn.start(exchange, now)
            return
        if not (fits or self.spare() or self.on_short()):
            # Guards against: at the descriptor limit the node could not even accept and refuse.
            self.loop.call_soon(self.end, exchange, Outcome.NOT_SENT)
            return
        self.room.servers += 1
        target.links += 1
        task = self.loop.create_task(self.connect(exchange, target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def kept(self, target: Target, now: int, rested: bool = True) -> Connection | None:
        """The idle connection used last that has rested and on which nothing has come; None if there is none.

        Guards against: a request written as the server closes its idle end is a reset, which may have run; and on one
        whose server has said something more, that is taken for the answer. Both may be in the kernel, not yet read.
        """
        idle = target.idle
        at = len(idle) - 1
        while at >= 0:
            conn = idle[at]
            if now - conn.since >= self.idle_time:
                for old in idle[: at + 1]:  # it, and all that stand before it
                    old.discard(CloseReason.IDLE)
                del idle[: at + 1]
                return None
            if conn.rested <= now or not rested:
                del idle[at]
                if (
                    conn.transport is not None
                    and not conn.transport.is_closing()
                    and is_quiet(conn.descriptor)
                ):
                    return conn
                conn.discard(CloseReason.PEER)
            at -= 1
        return None

    def limit(self, exchange: Exchange) -> None:
        """Gives it up at its time."""
        exchange.timer = self.loop.call_later((exchange.until - clock()) / 1e6, self.expire, exchange)

    def probe(
        self, server: int, ended: Callable[[Exchange, Outcome, bytes, Sequence[float]], None]
    ) -> Exchange:
        """A probe of a server, which waits as long as a connection may take to come up."""
        head = b"GET %s HTTP/1.1\r\nHost: %s\r\n" % (b"/_load" if self.fields else b"/ping", HOST)
        return Probe(server, head, b"", clock() + int(self.connect_timeout * 1e6), ended)

    def spare(self) -> bool:
        """Closes an idle connection to make room for a new one."""
        for target in self.targets.values():
            if target.idle:
                target.idle.pop(0).discard(CloseReason.NO_ROOM)
                return True
        return False

    async def connect(self, exchange: Exchange, target: Target) -> None:
        conn = Connection(self, target)
        limit = self.loop.call_later(
            self.connect_timeout, cast(asyncio.Task[None], asyncio.current_task()).cancel
        )
        try:
            await self.loop.create_connection(lambda: conn, target.host, target.port)
        except (OSError, asyncio.CancelledError) as error:
            if conn.transport is not None:
                conn.discard(CloseReason.CONNECT_TIMEOUT)
            else:
                self.room.servers -= 1
                target.links -= 1
            # Guards against: a server is blamed, and put out, for a shortage of this machine's own.
            blameless = isinstance(error, OSError) and is_local_shortage(error)
            self.end(exchange, Outcome.NOT_SENT if blameless else Outcome.CONNECT_FAILED)
            return
        finally:
            limit.cancel()
        if exchange.over:
            self.put(conn)
            return
        # Guards against: while the connection came up the list may have said that the server drains, is
        # gone or is another process, the time may have run out, or the caller may have left. Not a byte has gone out.
        now = clock()
        if not target.ready or min(exchange.until, exchange.begin_by) <= now or not exchange.wanted():
            self.put(conn)
            self.end(exchange, Outcome.NOT_SENT)
        elif conn.transport is None or conn.transport.is_closing():
            self.end(exchange, Outcome.CONNECT_FAILED)
        else:
            conn.start(exchange, now)

    def put(self, conn: Connection) -> None:
        """Keeps an idle connection for the next exchange."""
        if (
            conn.target.ready
            and conn.usable
            and conn.transport is not None
            and not conn.transport.is_closing()
        ):
            conn.since = clock()
            conn.target.idle.append(conn)
        else:
            conn.discard(CloseReason.PEER if conn.target.ready else CloseReason.SERVER_LEAVES)

    def end(
        self, exchange: Exchange, outcome: Outcome, body: bytes = b"", report: Sequence[float] = ()
    ) -> None:
        if exchange.over:
            return
        exchange.over = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        exchange.conn = None
        exchange.ended(exchange, outcome, body, report)

    def expire(self, exchange: Exchange) -> None:
        self.abandon(exchange, Outcome.TIMEOUT)

    def abandon(self, exchange: Exchange, outcome: Outcome) -> None:
        """Stops waiting: the connection is closed, for the answer could still come on it.

        Before the last byte has left nothing has run. A connection still coming up is kept for others.
        """
        if exchange.over:
            return
        conn = exchange.conn
        if conn is None:
            outcome = Outcome.NOT_SENT
        else:
            if not conn.sent:
                outcome = Outcome.NOT_SENT
            conn.let_go(exchange)
            conn.exchange = None
            conn.discard(CloseReason.GIVEN_UP, exchange)
        self.end(exchange, outcome)

    def set_passing(self, most: int) -> None:
        """Bounds what large answers may hold here, in bytes; what has begun keeps to it after the next sweep.

        Guards against: a crowd of answers begins at once, each with the buffer of a single one.
        """
        if most != self.passing_most:
            self.passing_most = most
            self.first = stream_buffer(most, self.room.total // CROWD)

    def fit_buffers(self) -> None:
        """Makes the kernel's buffers smaller where many large bodies pass, and larger again where few do.

        Guards against: hundreds of slow callers, each with an answer's buffer of the time when there were few.
        """
        buffer = stream_buffer(self.passing_most, len(self.streams))
        if self.buffer // 2 < buffer < 2 * self.buffer:
            return
        self.buffer = buffer
        for conn in self.streams:
            conn.narrow(buffer)

    def sweep(self) -> None:
        """Drops connections that have stood idle almost as long as the server allows.

        Guards against: a large body that its server has left half way holds its caller for good. What waits
        for the caller is not the server's doing.
        """
        now = clock()
        self.fit_buffers()
        for conn in [c for c in self.streams if now - c.moved > STALLED]:
            if conn.exchange is not None and not conn.held and (conn.stuck or not conn.rest):
                conn.lost(CloseReason.STALLED)
        oldest = now - self.idle_time
        for target in self.targets.values():
            while target.idle and target.idle[0].since <= oldest:
                target.idle.pop(0).discard(CloseReason.IDLE)

    def shut(self) -> None:
        for task in self.tasks:
            task.cancel()
        for target in self.targets.values():
            self.close_idle(target, CloseReason.STOP)
