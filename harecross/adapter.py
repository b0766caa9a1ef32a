"""The adapter: the simulator's wire on standard input and output, and the hosting of instances. No decision.

A frame that cannot be read ends the process with status 2 and one line on standard error.
"""

from __future__ import annotations

import sys
from random import Random
from struct import Struct
from struct import error as StructError
from typing import Any, BinaryIO

from harecross.discovery.subscription_schedule import CallEnd, SubscriptionSchedule, discovery_terms
from harecross.discovery.subscription_schedule import SubscriptionState as SubscriptionState
from harecross.interface import Endpoint, EndpointState, EndpointUpdateKind, Outcome
from harecross.policy.balancer import Balancer
from harecross.settings import read_settings

HEADER = Struct("<IIQ")
LENGTH = Struct("<I")
CREATE = Struct("<HQI")
DIRECTORY = Struct("<II")
ENTRY = Struct("<IHQHfBH")
TARGETS = Struct("<HBII")
ACCEPT = Struct("<HQQHBIIH")
CLIENT_LEFT = Struct("<HQ")
CHECK_RESULT = Struct("<HIHIB")
OPENED = Struct("<HQBII")
WAKE = Struct("<HQ")
SHUTDOWN = Struct("<H")
PEER_DATA = Struct("<HHH")
VERDICT = Struct("<HQBIIBHB")

RELAY = Struct("<BHQII")
BOUNCE = Struct("<BHQI")
END_FAILED = Struct("<BHQ")
WITHDRAW = Struct("<BHQB")
NOTIFY_ME = Struct("<BHIQ")
PROBE = Struct("<BHI")
RELEASE = Struct("<BHI")
NOTIFY = Struct("<BHHH")
JOURNAL_LINE = Struct("<BHH")
BAIL_OUT = Struct("<BHH")
LISTEN = Struct("<BHB")
QUERY_ALL = Struct("<BH")

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}
UPDATE_KINDS = (
    EndpointUpdateKind.CHANGES,
    EndpointUpdateKind.FULL,
    EndpointUpdateKind.CACHED,
    EndpointUpdateKind.FAILED,
)
STATES = {0: EndpointState.GONE, 1: EndpointState.READY, 2: EndpointState.DRAINING}
REPEAT_FLAG = 2
LONGEST_TIMER = 4_260_000_000
EVERY_PEER = 0xFFFF
ASK_AGAIN = 1 << 56  # the token of a timer of the adapter's own; the module's have another top byte


class WireError(Exception):
    """Input that is not a frame of the wire."""


class WireActions:
    """One instance's actions, packed into the process's reply."""

    __slots__ = ("out", "node")

    def __init__(self, out: bytearray, node: int) -> None:
        self.out = out
        self.node = node

    def send(self, request: int, server: int, timeout: int) -> None:
        self.out += RELAY.pack(65, self.node, request, server, min(max(timeout, 1), 0xFFFFFFFF))

    def cancel(self, request: int, attempt: int) -> None:
        self.out += WITHDRAW.pack(68, self.node, request, attempt)

    def shed(self, request: int, retry_after: int) -> None:
        self.out += BOUNCE.pack(66, self.node, request, min(max(retry_after, 0), 0xFFFFFFFF))

    def fail(self, request: int) -> None:
        self.out += END_FAILED.pack(67, self.node, request)

    def health_check(self, server: int) -> None:
        self.out += PROBE.pack(70, self.node, server)

    def set_timer(self, delay: int, token: int) -> None:
        self.out += NOTIFY_ME.pack(69, self.node, min(max(delay, 0), LONGEST_TIMER), token)

    def send_peer_message(self, peer: int, data: bytes) -> None:
        self.out += NOTIFY.pack(72, self.node, EVERY_PEER if peer < 0 else peer, len(data)) + data

    def subscribe(self, on: bool) -> None:
        self.out += LISTEN.pack(75, self.node, on)

    def poll_endpoints(self) -> None:
        self.out += QUERY_ALL.pack(76, self.node)

    def close_idle(self, server: int) -> None:
        self.out += RELEASE.pack(71, self.node, server)

    def log_event(self, text: str) -> None:
        data = text.encode()[:0xFFFF]
        self.out += JOURNAL_LINE.pack(73, self.node, len(data)) + data

    def fault(self, text: str) -> None:
        data = text.encode()[:0xFFFF]
        self.out += BAIL_OUT.pack(74, self.node, len(data)) + data


class Host:
    """The instances of one process. Nothing passes between them but the numbered lists of the wire."""

    def __init__(self) -> None:
        self.out = bytearray()
        self.nodes: dict[int, Balancer] = {}
        self.schedule: dict[int, SubscriptionSchedule] = {}  # where lists are asked for
        self.banks: dict[int, list[Endpoint]] = {}

    def batch(self, count: int, body: bytes, now: int) -> bytes:
        """Handles one batch and returns the framed reply."""
        self.out.clear()
        pos = 0
        for record in range(count):
            if pos >= len(body):
                raise WireError(f"record {record}: batch ends early")
            code = body[pos]
            where = f"record {record} at byte {pos}"
            if code not in READERS:
                raise WireError(f"{where}: unknown event code {code}")
            try:
                pos = READERS[code](self, now, body, pos + 1)
            except StructError:
                raise WireError(f"{where}: event {code} is cut short") from None
            except (WireError, ValueError) as e:
                raise WireError(f"{where}: {e}") from None
        if pos != len(body):
            raise WireError(f"{len(body) - pos} bytes after the last record")
        return LENGTH.pack(len(self.out)) + self.out

    def tell(self, node: int, event: str, *args: Any) -> None:
        """Passes an event on; an exception in the module becomes the wire's fault action."""
        balancer = self.nodes.get(node)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as e:  # the wire wants any failure of the module reported, whatever it is
            del self.nodes[node]
            WireActions(self.out, node).fault(f"{event}: {type(e).__name__}: {e}")

    def create(self, now: int, body: bytes, pos: int) -> int:
        node, seed, size = CREATE.unpack_from(body, pos)
        pos += CREATE.size
        text = take(body, pos, size)
        settings = read_settings(text)
        self.nodes[node] = Balancer(settings, seed, WireActions(self.out, node))
        if settings.discovery_polled:
            self.schedule[node] = SubscriptionSchedule(discovery_terms(settings), Random(seed))
            self.schedule[node].call_started(now / 1e6)
        self.tell(node, "start", now)
        return pos + int(size)

    def directory(self, now: int, body: bytes, pos: int) -> int:
        bank, count = DIRECTORY.unpack_from(body, pos)
        pos += DIRECTORY.size
        raw = take(body, pos, count * ENTRY.size)
        self.banks[bank] = [
            # The platform's weights are nominal sizes, and the module measures speeds itself.
            Endpoint(server, STATES.get(state, EndpointState.DRAINING), cell, zone, kind, 1.0, ready_at)
            for server, cell, ready_at, zone, _, state, kind in ENTRY.iter_unpack(raw)
        ]
        return pos + int(count) * ENTRY.size

    def targets(self, now: int, body: bytes, pos: int) -> int:
        node, kind, _, bank = TARGETS.unpack_from(body, pos)
        if kind > 3:
            raise WireError(f"unknown list kind {kind}")
        list_kind = UPDATE_KINDS[kind]
        entries: list[Endpoint] = []
        if list_kind != EndpointUpdateKind.FAILED:
            if bank not in self.banks:
                raise WireError(f"list {bank} was never sent")
            entries = self.banks[bank]
        self.tell(node, "endpoint_update", now, list_kind, entries)
        if node in self.schedule and list_kind != EndpointUpdateKind.CACHED:
            self.heard(now / 1e6, node, list_kind != EndpointUpdateKind.FAILED)
        return pos + TARGETS.size

    def heard(self, now: float, node: int, good: bool) -> None:
        """A call for the list was answered or failed, or its subscription brought a change or ended."""
        schedule = self.schedule[node]
        if good:
            schedule.heartbeat_received(now)
            schedule.update_applied()
            return
        if schedule.state is SubscriptionState.WAITING:
            return
        schedule.call_ended(
            now, CallEnd.ENDED if schedule.state is SubscriptionState.SUBSCRIBED else CallEnd.FAILED
        )
        WireActions(self.out, node).set_timer(int((schedule.next_call_at - now) * 1e6), ASK_AGAIN)

    def accept(self, now: int, body: bytes, pos: int) -> int:
        node, request, _, tenant, flags, left, _, request_class = ACCEPT.unpack_from(body, pos)
        self.tell(node, "request", now, request, request_class, tenant, left, bool(flags & REPEAT_FLAG))
        return pos + ACCEPT.size

    def client_left(self, now: int, body: bytes, pos: int) -> int:
        node, request = CLIENT_LEFT.unpack_from(body, pos)
        self.tell(node, "client_disconnected", now, request)
        return pos + CLIENT_LEFT.size

    def check_result(self, now: int, body: bytes, pos: int) -> int:
        node, took, status, server, n = CHECK_RESULT.unpack_from(body, pos)
        pos += CHECK_RESULT.size
        self.tell(node, "health_checked", now, server, status == 200, took, floats(body, pos, n))
        return pos + 4 * int(n)

    def opened(self, now: int, body: bytes, pos: int) -> int:
        node, request, attempt, server, took = OPENED.unpack_from(body, pos)
        self.tell(node, "response_started", now, request, attempt, server, took)
        return pos + OPENED.size

    def wake(self, now: int, body: bytes, pos: int) -> int:
        node, token = WAKE.unpack_from(body, pos)
        if token != ASK_AGAIN:
            self.tell(node, "timer", now, token)
        elif node in self.nodes:
            self.schedule[node].call_started(now / 1e6)
            WireActions(self.out, node).subscribe(True)
        return pos + WAKE.size

    def shutdown(self, now: int, body: bytes, pos: int) -> int:
        (node,) = SHUTDOWN.unpack_from(body, pos)
        self.nodes.pop(node, None)
        self.schedule.pop(node, None)
        return pos + SHUTDOWN.size

    def peer_data(self, now: int, body: bytes, pos: int) -> int:
        node, peer, size = PEER_DATA.unpack_from(body, pos)
        pos += PEER_DATA.size
        self.tell(node, "peer_message", now, peer, take(body, pos, size))
        return pos + int(size)

    def verdict(self, now: int, body: bytes, pos: int) -> int:
        node, request, attempt, took, server, final, status, n = VERDICT.unpack_from(body, pos)
        pos += VERDICT.size
        self.tell(
            node,
            "outcome",
            now,
            request,
            attempt,
            server,
            OUTCOMES.get(status, Outcome.UNKNOWN),
            took,
            bool(final),
            floats(body, pos, n) if n else (),
        )
        return pos + 4 * int(n)


READERS = {
    1: Host.directory,
    2: Host.wake,
    3: Host.accept,
    4: Host.peer_data,
    5: Host.check_result,
    6: Host.create,
    7: Host.targets,
    8: Host.verdict,
    9: Host.shutdown,
    10: Host.opened,
    11: Host.client_left,
}
FLOATS = [Struct(f"<{n}f") for n in range(256)]


def take(body: bytes, pos: int, size: int) -> bytes:
    if pos + size > len(body):
        raise StructError("cut short")
    return body[pos : pos + size]


def floats(body: bytes, pos: int, n: int) -> tuple[float, ...]:
    return FLOATS[n].unpack_from(body, pos)


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"{what}: input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    host = Host()
    batch = 0
    while True:
        first = source.read(1)
        if not first:
            return
        where = f"batch {batch}"
        count, size, now = HEADER.unpack(first + read_exactly(source, HEADER.size - 1, where + " header"))
        if size < 8:
            raise WireError(f"{where} header: length {size} is too short")
        body = read_exactly(source, size - 8, where)
        try:
            reply = host.batch(count, body, now)
        except WireError as e:
            raise WireError(f"{where}: {e}") from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as e:
        print(f"harecross: {e}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
