"""The policy's actions in seeded simulations, through the adapter: refactoring must not change a single byte.

A change of decisions changes the digests. They are then renewed in the commit that explains the change.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import struct
from random import Random

import pytest

from harecross.adapter import InstanceHost

MS = 1000
TICK = 5 * MS
SECONDS = 40
NODES = 3
SIZES = {65: 19, 66: 15, 67: 11, 68: 12, 69: 15, 70: 7, 71: 7, 75: 4, 76: 3}  # actions of a fixed size
OK, ERROR, REJECTED, TIMEOUT, CONNECT, RESET, CANCELLED = 200, 502, 429, 408, 521, 520, 444
CLASSES = [
    {"effect": "free", "goal_time": 1_000_000, "hard_limit": 2_500_000, "worth": 1},
    {"effect": "guarded", "goal_time": 1_200_000, "hard_limit": 3_000_000, "worth": 5, "group": "cell",
     "window": 5_000_000},
    {"effect": "single_shot", "goal_time": 800_000, "hard_limit": 2_000_000, "worth": 2},
]  # fmt: skip


def settings(tier: int) -> dict:
    return {
        "classes": CLASSES, "discovery": "push", "group_size": NODES, "layers": ["a", "b", "c"], "tier": tier,
        "tick": TICK, "dcs": ["x", "y"], "zone": 0, "deductions": {"cross_zone": 0.04},
        "tenants": [{"quota_rps": 200}, {"quota_rps": 0}],
        "policy_limits": {"max_attempts": 4, "cancel": True, "retry_after": True, "max_retry_after": 100_000},
        "rules": {"cold": 5_000_000, "start_capacity": 0.4, "fall_multiple": 3.0, "tip_after": 1_000_000},
        "report": {"how": "inline", "columns": ["load_share", "depth"]},
    }  # fmt: skip


class Simulation:
    """Simulates servers for the nodes of one adapter; servers slow down, fail, stop responding and restart."""

    def __init__(self, seed: int, tier: int) -> None:
        self.rng = Random(seed)
        self.host = InstanceHost()
        # A heap of future events: time, order, record, and the request whose attempt the event ends.
        self.due: list[tuple[int, int, bytes, tuple[int, int] | None]] = []
        self.order = 0
        # The attempts in flight by request: attempt, server and time of sending.
        self.in_flight: dict[tuple[int, int], tuple[int, int, int]] = {}
        self.last_attempts: dict[tuple[int, int], int] = {}
        self.ready = dict.fromkeys(range(1, 13), 0)
        self.digest = hashlib.sha256()
        self.action_counts: dict[int, int] = {}
        text = json.dumps(settings(tier)).encode()
        self.pending = [struct.pack("<BHQI", 6, n, 100 + n, len(text)) + text for n in range(NODES)]
        self.update_endpoints(2, [(s, 1) for s in self.ready])

    def update_endpoints(self, kind: int, servers: list[tuple[int, int]]) -> None:
        entries = b"".join(
            struct.pack("<IHQHfBH", s, s % 4, self.ready[s], s % 2, 1.0, state, s % 3) for s, state in servers
        )
        self.pending.append(struct.pack("<BII", 1, 0, len(servers)) + entries)
        self.pending += [struct.pack("<BHBII", 7, n, kind, 1, 0) for n in range(NODES)]

    def schedule(self, at: int, record: bytes, ends: tuple[int, int] | None = None) -> None:
        self.order += 1
        heapq.heappush(self.due, (at, self.order, record, ends))

    def verdict(self, now: int, at: int, request: tuple[int, int], server: int, status: int) -> None:
        attempt, _, sent = self.in_flight[request]
        report = struct.pack("<2f", self.rng.random(), self.rng.random()) if status == OK else b""
        head = struct.pack(
            "<BHQBIIBHB", 8, *request, attempt, at - sent, server, status == OK, status, len(report) // 4
        )
        self.schedule(at, head + report, request)

    def simulate_attempt(self, now: int, request: tuple[int, int], server: int, timeout: int) -> None:
        """Schedules the outcome of an attempt: a response, an error, a rejection, a reset or a timeout."""
        rng, second = self.rng, now // 1_000_000
        attempt = self.last_attempts.get(request, -1) + 1
        self.last_attempts[request] = attempt
        self.in_flight[request] = attempt, server, now
        slow = 6.0 if 12 <= second < 18 else 1.0 + server % 3
        latency = int(rng.expovariate(1 / (30 * MS * slow))) + 2 * MS
        chance = rng.random()
        unresponsive = (server == 5 and 20 <= second < 26) or (server % 2 == 1 and 30 <= second < 32)
        if unresponsive or latency >= timeout or chance < 0.01:
            self.verdict(now, now + timeout, request, server, TIMEOUT)
        elif chance < 0.03 or (server == 7 and 8 <= second < 11):
            self.verdict(now, now + latency // 4, request, server, ERROR)
        elif chance < 0.05:
            self.verdict(now, now + 2 * MS, request, server, rng.choice((REJECTED, CONNECT, RESET)))
        else:
            self.verdict(now, now + latency, request, server, OK)

    def handle_actions(self, now: int, reply: bytes) -> None:
        at = 0
        while at < len(reply):
            code = reply[at]
            self.action_counts[code] = self.action_counts.get(code, 0) + 1
            assert code != 74, reply[at:]  # the balancer raised an exception
            if code == 73:
                (size,) = struct.unpack_from("<H", reply, at + 3)
                at += 5 + size
                continue
            if code == 65:
                node, request, server, timeout = struct.unpack_from("<HQII", reply, at + 1)
                self.simulate_attempt(now, (node, request), server, timeout)
            elif code == 68:
                node, request, _ = struct.unpack_from("<HQB", reply, at + 1)
                attempt = self.in_flight.pop((node, request), None)
                if attempt is not None:
                    self.in_flight[node, request] = attempt
                    self.drop_outcome((node, request))
                    self.verdict(now, now + TICK, (node, request), attempt[1], CANCELLED)
            elif code == 69:
                node, delay, token = struct.unpack_from("<HIQ", reply, at + 1)
                self.schedule(now + delay, struct.pack("<BHQ", 2, node, token))
            at += SIZES[code]

    def drop_outcome(self, request: tuple[int, int]) -> None:
        """Removes the scheduled outcome of a cancelled attempt."""
        self.due = [d for d in self.due if d[3] != request]
        heapq.heapify(self.due)

    def change_servers(self, second: int) -> None:
        if second % 5 == 3:
            s = 1 + second % 12
            self.update_endpoints(0, [(s, 2)])
        elif second % 5 == 4:
            s = 1 + (second - 1) % 12
            self.ready[s] = second * 1_000_000
            self.update_endpoints(0, [(s, 1)])
        elif second == 35:
            self.update_endpoints(1, [(s, 1) for s in self.ready if s > 4])

    def run(self) -> str:
        request = 0
        for now in range(TICK, SECONDS * 1_000_000, TICK):
            second = now // 1_000_000
            if now % 1_000_000 == 0:
                self.change_servers(second)
            rate = 900 if 14 <= second < 16 else 250
            while self.rng.random() < rate * TICK / 1e6 / (1 + rate * TICK / 1e6):
                request += 1
                request_class = self.rng.choice((0, 0, 1, 1, 2))
                node = self.rng.randrange(NODES)
                left = CLASSES[request_class]["hard_limit"]
                tenant = self.rng.randrange(2)
                self.pending.append(
                    struct.pack("<BHQQHBIIH", 3, node, request, 0, tenant, 0, left, 0, request_class)
                )
                if self.rng.random() < 0.02:
                    self.schedule(now + 200 * MS, struct.pack("<BHQ", 11, node, request))
            while self.due and self.due[0][0] <= now:
                _, _, record, ends = heapq.heappop(self.due)
                if ends is not None:
                    self.in_flight.pop(ends, None)
                self.pending.append(record)
            records, self.pending = self.pending, []
            count = len(records)
            reply = self.host.handle_batch(count, b"".join(records), now)
            self.digest.update(reply)
            self.handle_actions(now, reply[4:])
        return self.digest.hexdigest()[:16]


@pytest.mark.parametrize(
    ("seed", "tier", "digest"),
    [
        (5, 0, "afddb40f14f3cf43"),
        (2, 0, "c138537cec374190"),
        (3, 1, "259d0f66464dfa25"),
        (4, 2, "0316c8ac7b545752"),
    ],
)
def test_the_actions_have_not_changed(seed, tier, digest):
    simulation = Simulation(seed, tier)
    assert simulation.run() == digest
    # The simulation must lead to each kind of decision: to send, shed, fail and cancel, to set a timer and to log.
    assert all(simulation.action_counts.get(code, 0) > 20 for code in (65, 66, 67, 68, 69, 73)), (
        simulation.action_counts
    )
