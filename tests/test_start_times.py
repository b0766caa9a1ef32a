"""Ready times of server processes while wall clocks are wrong or stepped: slow start must follow real time."""

from __future__ import annotations

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_support import NodeEnvironment, ScriptedDiscovery, entry, line, run_with_node, wait_until

from harecross.discovery import start_times
from harecross.discovery.start_times import LONG_AGO, StartTimes
from harecross.platform.clock import monotonic_us

SECOND = 1_000_000
HOUR = 3600 * SECOND
# The Unix time in microseconds at which the monotonic clock was zero.
WALL = 1_700_000_000 * SECOND


@pytest.mark.parametrize("clock_offset", [-HOUR, -5 * SECOND, 0, 5 * SECOND, HOUR])
def test_a_new_process_is_no_older_than_the_last_list_without_it_whatever_the_wall_clocks_show(clock_offset):
    """`clock_offset` is how far this node's wall clock is ahead, in microseconds."""
    known_starts = StartTimes(WALL + clock_offset)
    known_starts.listing_complete(100 * SECOND)
    started, now = (WALL + 100 * SECOND + SECOND // 2) // 1000, 101 * SECOND
    ready_at = known_starts.ready_at("s", started, now)
    assert 100 * SECOND <= ready_at <= now
    if clock_offset == 0:
        assert ready_at == 100 * SECOND + SECOND // 2
    # Later lists do not change the ready time.
    known_starts.listing_complete(500 * SECOND)
    assert known_starts.ready_at("s", started, 501 * SECOND) == ready_at


def test_for_the_first_list_the_wall_clock_decides_and_no_process_starts_in_the_future():
    known_starts = StartTimes(WALL)
    assert known_starts.ready_at("warm", 0, 9 * SECOND) == LONG_AGO
    assert known_starts.ready_at("old", WALL // 1000 - 10**9, 9 * SECOND) == 1
    assert known_starts.ready_at("cold", (WALL + 8 * SECOND) // 1000, 9 * SECOND) == 8 * SECOND
    assert known_starts.ready_at("ahead", (WALL + HOUR) // 1000, 9 * SECOND) == 9 * SECOND


def test_remembered_starts_are_bounded(monkeypatch):
    monkeypatch.setattr(start_times, "MAX_START_TIMES", 3)
    known_starts = StartTimes(0)
    for i in range(50):
        known_starts.ready_at(f"s{i}", i + 1, SECOND)
    assert list(known_starts.by_name) == ["s47", "s48", "s49"]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(1, 3000), st.integers(0, 3000), st.integers(-HOUR, HOUR)),
        min_size=1,
        max_size=8,
    ),
    st.integers(-HOUR, HOUR),
)
def test_no_new_process_counts_as_older_than_the_last_list_without_it(starts, clock_offset):
    """Each start holds its delay after the last list, its delay until it is listed, and its clock's offset.

    The delays are in milliseconds, the offset in microseconds.
    """
    known_starts, now = StartTimes(WALL + clock_offset), 0
    for i, (after, lag, server_clock_offset) in enumerate(starts):
        known_starts.listing_complete(now)
        listed_at = now
        started_at = now + after * 1000
        now = started_at + lag * 1000
        ready_at = known_starts.ready_at(
            f"s{i}", max(1, (WALL + started_at + server_clock_offset) // 1000), now
        )
        assert listed_at <= ready_at <= now
        if clock_offset == server_clock_offset == 0:
            assert abs(ready_at - started_at) <= 1000


@pytest.mark.parametrize("hours", [-1, 1])
def test_a_new_server_is_in_slow_start_from_its_first_list_on_though_wall_clocks_are_an_hour_apart(hours):
    async def test(env: NodeEnvironment) -> None:
        watch = await env.watch()
        started = int((time.time() + hours * 3600) * 1000)
        new_server = entry("new", env.upstreams[1].address, startedAtMs=started)
        ScriptedDiscovery.push(watch, b"")
        await asyncio.sleep(0.05)
        listed_from = monotonic_us()
        ScriptedDiscovery.push(watch, line(42, new_server))
        await wait_until(lambda: "new" in env.node.registry.numbers)
        server = env.node.registry.numbers["new"]
        (view,) = [
            v for v in env.node.dispatcher.balancer.endpoint_snapshots(monotonic_us()) if v.server == server
        ]
        assert view.slow_start_factor < 0.7, "it has just started"
        assert listed_from - 2 * SECOND <= env.node.registry.listed[server].ready_at <= monotonic_us()
        # A server that is recalled after a drain is still the same process.
        ready_at = env.node.registry.listed[server].ready_at
        ScriptedDiscovery.push(watch, line(43, {**new_server, "lifecycle": "terminating"}))
        await wait_until(lambda: server not in env.node.registry.listed)
        ScriptedDiscovery.push(watch, line(44, new_server))
        await wait_until(lambda: env.node.registry.numbers.get("new") in env.node.registry.listed)
        assert env.node.registry.listed[env.node.registry.numbers["new"]].ready_at == ready_at

    run_with_node(test, servers=2, known=None)
