"""Connects balancers to the simulator, whose binary protocol it speaks on standard input and output.

The adapter makes no decisions. The layouts and names of events and actions are those of the simulator's
protocol. Input that cannot be read ends the process with exit status 2 and one line on standard error.
"""

from __future__ import annotations

import sys
from random import Random
from struct import Struct
from struct import error as StructError
from typing import Any, BinaryIO

from harecross.discovery.subscription_schedule import CallEnd, SubscriptionSchedule, discovery_settings
from harecross.discovery.subscription_schedule import SubscriptionState as SubscriptionState
from harecross.interface import Endpoint, EndpointState, EndpointUpdateKind, Outcome
from harecross.policy.balancer import Balancer
from harecross.settings import parse_settings_json

BATCH_HEADER = Struct("<IIQ")
REPLY_LENGTH = Struct("<I")
# The layouts of the events, without their leading code.
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
# The layouts of the actions, each with the action's code as its first field.
RELAY, RELAY_CODE = Struct("<BHQII"), 65
BOUNCE, BOUNCE_CODE = Struct("<BHQI"), 66
END_FAILED, END_FAILED_CODE = Struct("<BHQ"), 67
WITHDRAW, WITHDRAW_CODE = Struct("<BHQB"), 68
NOTIFY_ME, NOTIFY_ME_CODE = Struct("<BHIQ"), 69
PROBE, PROBE_CODE = Struct("<BHI"), 70
RELEASE, RELEASE_CODE = Struct("<BHI"), 71
NOTIFY, NOTIFY_CODE = Struct("<BHHH"), 72
JOURNAL_LINE, JOURNAL_LINE_CODE = Struct("<BHH"), 73
BAIL_OUT, BAIL_OUT_CODE = Struct("<BHH"), 74
LISTEN, LISTEN_CODE = Struct("<BHB"), 75
QUERY_ALL, QUERY_ALL_CODE = Struct("<BH"), 76

OUTCOME_BY_STATUS = {
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
ENDPOINT_STATES = {0: EndpointState.GONE, 1: EndpointState.READY, 2: EndpointState.DRAINING}
STATUS_OK = 200
REPEAT_FLAG = 2
MAX_UINT32 = 0xFFFFFFFF
MAX_TEXT_BYTES = 0xFFFF
MAX_TIMER_DELAY_US = 4_260_000_000
ALL_PEERS = 0xFFFF
# The token of the adapter's own timer. Tokens of the balancer have a different top byte.
SUBSCRIBE_TOKEN = 1 << 56


class WireError(Exception):
    """The input does not follow the simulator's protocol."""


class WireActions:
    """Appends the actions of one node to the reply of the process, encoded for the simulator."""

    __slots__ = ("node", "out")

    def __init__(self, out: bytearray, node: int) -> None:
        self.out = out
        self.node = node

    def send(self, request: int, server: int, timeout: int) -> None:
        """Starts an attempt."""
        self.out += RELAY.pack(RELAY_CODE, self.node, request, server, min(max(timeout, 1), MAX_UINT32))

    def cancel(self, request: int, attempt: int) -> None:
        """Cancels an attempt."""
        self.out += WITHDRAW.pack(WITHDRAW_CODE, self.node, request, attempt)

    def shed(self, request: int, retry_after: int) -> None:
        """Sheds a request."""
        self.out += BOUNCE.pack(BOUNCE_CODE, self.node, request, min(max(retry_after, 0), MAX_UINT32))

    def fail(self, request: int) -> None:
        """Gives the final answer that a request failed."""
        self.out += END_FAILED.pack(END_FAILED_CODE, self.node, request)

    def health_check(self, server: int) -> None:
        """Sends a health check to a server."""
        self.out += PROBE.pack(PROBE_CODE, self.node, server)

    def set_timer(self, delay: int, token: int) -> None:
        """Requests a timer event."""
        delay = min(max(delay, 0), MAX_TIMER_DELAY_US)
        self.out += NOTIFY_ME.pack(NOTIFY_ME_CODE, self.node, delay, token)

    def send_peer_message(self, peer: int, data: bytes) -> None:
        """Sends a message to another node, or to all nodes if `peer` is negative."""
        self.out += NOTIFY.pack(NOTIFY_CODE, self.node, ALL_PEERS if peer < 0 else peer, len(data)) + data

    def subscribe(self, on: bool) -> None:
        """Starts or stops watching the endpoint list."""
        self.out += LISTEN.pack(LISTEN_CODE, self.node, on)

    def poll_endpoints(self) -> None:
        """Requests the full endpoint list once."""
        self.out += QUERY_ALL.pack(QUERY_ALL_CODE, self.node)

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to a server."""
        self.out += RELEASE.pack(RELEASE_CODE, self.node, server)

    def log_event(self, text: str) -> None:
        """Writes a log line, cut to the longest text of the protocol."""
        data = text.encode()[:MAX_TEXT_BYTES]
        self.out += JOURNAL_LINE.pack(JOURNAL_LINE_CODE, self.node, len(data)) + data

    def fault(self, text: str) -> None:
        """Reports that the balancer of the node raised an exception."""
        data = text.encode()[:MAX_TEXT_BYTES]
        self.out += BAIL_OUT.pack(BAIL_OUT_CODE, self.node, len(data)) + data


class InstanceHost:
    """The balancers of one process, one for each node.

    The nodes share only the endpoint lists, which the protocol numbers.

    Attributes:
        out: The actions that answer the current batch, encoded.
        nodes: The balancers by node number.
        subscription_schedules: The schedules of nodes that subscribe to the endpoint list, by node number.
        lists: The endpoint lists by their number.
    """

    def __init__(self) -> None:
        self.out = bytearray()
        self.nodes: dict[int, Balancer] = {}
        self.subscription_schedules: dict[int, SubscriptionSchedule] = {}
        self.lists: dict[int, list[Endpoint]] = {}

    def handle_batch(self, count: int, body: bytes, now: int) -> bytes:
        """Handles one batch of events and returns the reply with its length.

        Raises WireError for a batch that cannot be read.
        """
        self.out.clear()
        pos = 0
        for record in range(count):
            if pos >= len(body):
                raise WireError(f"record {record}: batch ends early, at byte {pos}")
            code = body[pos]
            where = f"record {record} at byte {pos}"
            if code not in EVENT_READERS:
                raise WireError(f"{where}: unknown event code {code}")
            try:
                pos = EVENT_READERS[code](self, now, body, pos + 1)
            except StructError:
                raise WireError(f"{where}: event {code} is cut short") from None
            except (WireError, ValueError) as error:
                raise WireError(f"{where}: {error}") from None
        if pos != len(body):
            raise WireError(f"{len(body) - pos} bytes after the last record")
        return REPLY_LENGTH.pack(len(self.out)) + self.out

    def deliver(self, node: int, event: str, *args: Any) -> None:
        """Calls a method of the node's balancer. An exception becomes a BAIL_OUT action and ends the node."""
        balancer = self.nodes.get(node)
        if balancer is None:
            return
        try:
            getattr(balancer, event)(*args)
        except Exception as error:  # the protocol requires that every failure is reported
            del self.nodes[node]
            WireActions(self.out, node).fault(f"{event}: {type(error).__name__}: {error}")

    # Each of the `read_` methods below reads one event at `pos` and returns the position after it.

    def read_create(self, now: int, body: bytes, pos: int) -> int:
        """Reads an event that starts a node, with its seed and its settings as JSON."""
        node, seed, size = CREATE.unpack_from(body, pos)
        pos += CREATE.size
        settings = parse_settings_json(read_bytes(body, pos, size))
        self.nodes[node] = Balancer(settings, seed, WireActions(self.out, node))
        if settings.discovery_polled:
            self.subscription_schedules[node] = SubscriptionSchedule(
                discovery_settings(settings), Random(seed)
            )
            self.subscription_schedules[node].call_started(now / 1e6)
        self.deliver(node, "start", now)
        return pos + int(size)

    def read_directory(self, now: int, body: bytes, pos: int) -> int:
        """Reads an endpoint list and its number, by which later endpoint updates refer to it."""
        number, count = DIRECTORY.unpack_from(body, pos)
        pos += DIRECTORY.size
        raw = read_bytes(body, pos, count * ENTRY.size)
        self.lists[number] = [
            # All weights are 1.0: the platform's weights are nominal sizes, and the balancer measures speeds.
            Endpoint(
                server,
                ENDPOINT_STATES.get(state, EndpointState.DRAINING),
                cell,
                zone,
                machine_type,
                1.0,
                ready_at,
            )
            for server, cell, ready_at, zone, _, state, machine_type in ENTRY.iter_unpack(raw)
        ]
        return pos + int(count) * ENTRY.size

    def read_targets(self, now: int, body: bytes, pos: int) -> int:
        """Reads an endpoint update for one node."""
        node, code, _, number = TARGETS.unpack_from(body, pos)
        if code >= len(UPDATE_KINDS):
            raise WireError(f"unknown endpoint list kind {code}")
        kind = UPDATE_KINDS[code]
        entries: list[Endpoint] = []
        if kind != EndpointUpdateKind.FAILED:
            if number not in self.lists:
                raise WireError(f"endpoint list {number} was not sent before this update")
            entries = self.lists[number]
        self.deliver(node, "endpoint_update", now, kind, entries)
        if node in self.subscription_schedules and kind != EndpointUpdateKind.CACHED:
            self._update_schedule(now / 1e6, node, succeeded=kind != EndpointUpdateKind.FAILED)
        return pos + TARGETS.size

    def _update_schedule(self, now: float, node: int, *, succeeded: bool) -> None:
        """Tells the schedule that a call for the endpoint list or its subscription succeeded or failed."""
        schedule = self.subscription_schedules[node]
        if succeeded:
            schedule.heartbeat_received(now)
            schedule.update_applied()
            return
        if schedule.state is SubscriptionState.WAITING:
            return
        subscribed = schedule.state is SubscriptionState.SUBSCRIBED
        schedule.call_ended(now, CallEnd.ENDED if subscribed else CallEnd.FAILED)
        delay = int((schedule.next_call_at - now) * 1e6)
        WireActions(self.out, node).set_timer(delay, SUBSCRIBE_TOKEN)

    def read_accept(self, now: int, body: bytes, pos: int) -> int:
        """Reads a new request."""
        node, request, _, tenant, flags, time_left, _, request_class = ACCEPT.unpack_from(body, pos)
        repeat = bool(flags & REPEAT_FLAG)
        self.deliver(node, "request", now, request, request_class, tenant, time_left, repeat)
        return pos + ACCEPT.size

    def read_client_left(self, now: int, body: bytes, pos: int) -> int:
        """Reads that the client of a request has disconnected."""
        node, request = CLIENT_LEFT.unpack_from(body, pos)
        self.deliver(node, "client_disconnected", now, request)
        return pos + CLIENT_LEFT.size

    def read_check_result(self, now: int, body: bytes, pos: int) -> int:
        """Reads the result of a health check."""
        node, latency, status, server, count = CHECK_RESULT.unpack_from(body, pos)
        pos += CHECK_RESULT.size
        report = read_floats(body, pos, count)
        self.deliver(node, "health_checked", now, server, status == STATUS_OK, latency, report)
        return pos + 4 * int(count)

    def read_opened(self, now: int, body: bytes, pos: int) -> int:
        """Reads that the response of an attempt has started."""
        node, request, attempt, server, latency = OPENED.unpack_from(body, pos)
        self.deliver(node, "response_started", now, request, attempt, server, latency)
        return pos + OPENED.size

    def read_wake(self, now: int, body: bytes, pos: int) -> int:
        """Reads an expired timer: one of the balancer's, or the adapter's own for the next subscription."""
        node, token = WAKE.unpack_from(body, pos)
        if token != SUBSCRIBE_TOKEN:
            self.deliver(node, "timer", now, token)
        elif node in self.nodes:
            self.subscription_schedules[node].call_started(now / 1e6)
            WireActions(self.out, node).subscribe(True)
        return pos + WAKE.size

    def read_shutdown(self, now: int, body: bytes, pos: int) -> int:
        """Reads that a node stops."""
        (node,) = SHUTDOWN.unpack_from(body, pos)
        self.nodes.pop(node, None)
        self.subscription_schedules.pop(node, None)
        return pos + SHUTDOWN.size

    def read_peer_data(self, now: int, body: bytes, pos: int) -> int:
        """Reads a message from another node."""
        node, peer, size = PEER_DATA.unpack_from(body, pos)
        pos += PEER_DATA.size
        self.deliver(node, "peer_message", now, peer, read_bytes(body, pos, size))
        return pos + int(size)

    def read_verdict(self, now: int, body: bytes, pos: int) -> int:
        """Reads the outcome of an attempt."""
        node, request, attempt, latency, server, final, status, count = VERDICT.unpack_from(body, pos)
        pos += VERDICT.size
        outcome = OUTCOME_BY_STATUS.get(status, Outcome.UNKNOWN)
        report = read_floats(body, pos, count) if count else ()
        self.deliver(node, "outcome", now, request, attempt, server, outcome, latency, bool(final), report)
        return pos + 4 * int(count)


EVENT_READERS = {
    1: InstanceHost.read_directory,
    2: InstanceHost.read_wake,
    3: InstanceHost.read_accept,
    4: InstanceHost.read_peer_data,
    5: InstanceHost.read_check_result,
    6: InstanceHost.read_create,
    7: InstanceHost.read_targets,
    8: InstanceHost.read_verdict,
    9: InstanceHost.read_shutdown,
    10: InstanceHost.read_opened,
    11: InstanceHost.read_client_left,
}
FLOATS = [Struct(f"<{count}f") for count in range(256)]


def read_bytes(body: bytes, pos: int, size: int) -> bytes:
    """Returns `size` bytes of a batch. Raises StructError if the batch ends earlier."""
    if pos + size > len(body):
        raise StructError("cut short")
    return body[pos : pos + size]


def read_floats(body: bytes, pos: int, count: int) -> tuple[float, ...]:
    """Returns `count` 32-bit floats of a batch. Raises StructError if the batch ends earlier."""
    return FLOATS[count].unpack_from(body, pos)


def read_exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    """Returns `size` bytes of the input. Raises WireError, which names `what`, if the input ends earlier."""
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"{what}: input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends. Raises WireError for input that cannot be read."""
    host = InstanceHost()
    batch = 0
    while True:
        first = source.read(1)
        if not first:
            return
        where = f"batch {batch}"
        rest = read_exactly(source, BATCH_HEADER.size - 1, where + " header")
        count, size, now = BATCH_HEADER.unpack(first + rest)
        if size < 8:
            raise WireError(f"{where} header: length {size} is less than 8")
        body = read_exactly(source, size - 8, where)
        try:
            reply = host.handle_batch(count, body, now)
        except WireError as error:
            raise WireError(f"{where}: {error}") from None
        sink.write(reply)
        sink.flush()
        batch += 1


def main() -> int:
    """Answers the batches on standard input and returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"harecross: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
