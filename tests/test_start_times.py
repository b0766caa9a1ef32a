"""When a server process became ready, while wall clocks are wrong or stepped: slow start must hold by real time."""

from __future__ import annotations

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harecross.discovery import start_times
from harecross.discovery.start_times import LONG_AGO, StartTimes
from harecross.platform.clock import monotonic_us
from tests.node_support import Catalog, World, entry, line, until, with_node

SECOND = 1_000_000
HOUR = 3600 * SECOND
WALL = 1_700_000_000 * SECOND  # Unix microseconds at monotonic zero


@pytest.mark.parametrize("off", [-HOUR, -5 * SECOND, 0, 5 * SECOND, HOUR])
def test_a_process_that_appears_is_no_older_than_the_last_list_without_it_whatever_clocks_say(off):
    """`off`: how far this node's wall clock is ahead."""
    found = StartTimes(WALL + off)
    found.listing_complete(100 * SECOND)
    started, now = (WALL + 100 * SECOND + SECOND // 2) // 1000, 101 * SECOND
    ready_at = found.ready_at("s", started, now)
    assert 100 * SECOND <= ready_at <= now
    if off == 0:
        assert ready_at == 100 * SECOND + SECOND // 2
    # It stays so, though lists go on, and the server drains and is recalled.
    found.listing_complete(500 * SECOND)
    assert found.ready_at("s", started, 501 * SECOND) == ready_at


def test_of_the_first_list_the_wall_clock_is_all_there_is_and_nobody_starts_in_the_future():
    found = StartTimes(WALL)
    assert found.ready_at("warm", 0, 9 * SECOND) == LONG_AGO
    assert found.ready_at("old", WALL // 1000 - 10**9, 9 * SECOND) == 1
    assert found.ready_at("cold", (WALL + 8 * SECOND) // 1000, 9 * SECOND) == 8 * SECOND
    assert found.ready_at("ahead", (WALL + HOUR) // 1000, 9 * SECOND) == 9 * SECOND


def test_what_is_remembered_is_bounded(monkeypatch):
    monkeypatch.setattr(start_times, "MAX_START_TIMES", 3)
    found = StartTimes(0)
    for i in range(50):
        found.ready_at(f"s{i}", i + 1, SECOND)
    assert list(found.by_name) == ["s47", "s48", "s49"]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.integers(1, 3000), st.integers(0, 3000), st.integers(-HOUR, HOUR)),
        min_size=1,
        max_size=8,
    ),
    st.integers(-HOUR, HOUR),
)
def test_no_process_that_appears_is_ever_taken_for_older_than_it_is_by_more_than_a_step_between_lists(
    starts, off
):
    """Each start: when after the last list (ms), how much later it is listed, and how far the server's clock is off."""
    found, now = StartTimes(WALL + off), 0
    for i, (after, lag, server_off) in enumerate(starts):
        found.listing_complete(now)
        listed_at = now
        began = now + after * 1000
        now = began + lag * 1000
        ready_at = found.ready_at(f"s{i}", max(1, (WALL + began + server_off) // 1000), now)
        assert listed_at <= ready_at <= now
        if off == server_off == 0:
            assert abs(ready_at - began) <= 1000


@pytest.mark.parametrize("hours", [-1, 1])
def test_a_server_that_joins_is_cold_from_its_sighting_on_though_wall_clocks_are_an_hour_apart(hours):
    async def test(w: World) -> None:
        watch = await w.watch()
        started = int((time.time() + hours * 3600) * 1000)
        joins = entry("new", w.origins[1].address, startedAtMs=started)
        Catalog.push(watch, b"")
        await asyncio.sleep(0.05)
        sighted = monotonic_us()
        Catalog.push(watch, line(42, joins))
        await until(lambda: "new" in w.node.registry.numbers)
        server = w.node.registry.numbers["new"]
        (view,) = [
            v for v in w.node.dispatcher.balancer.endpoint_snapshots(monotonic_us()) if v.server == server
        ]
        assert view.slow_start_factor < 0.7, "it has just started"
        assert sighted - 2 * SECOND <= w.node.registry.listed[server].ready_at <= monotonic_us()
        # Recalled after a drain, it is the process that it was.
        ready_at = w.node.registry.listed[server].ready_at
        Catalog.push(watch, line(43, {**joins, "lifecycle": "terminating"}))
        await until(lambda: server not in w.node.registry.listed)
        Catalog.push(watch, line(44, joins))
        await until(lambda: w.node.registry.numbers.get("new") in w.node.registry.listed)
        assert w.node.registry.listed[w.node.registry.numbers["new"]].ready_at == ready_at

    with_node(test, servers=2, known=None)
