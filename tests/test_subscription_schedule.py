"""The subscription schedule on its own, in a node, and in the adapter."""

import asyncio
import json
import struct
from dataclasses import replace
from math import inf
from random import Random

import pytest
from node_support import SETTINGS, config_dict, config_from, run, unanswered_discovery, wait_until
from test_adapter import SETTINGS as ADAPTER_SETTINGS

from harecross.adapter import SUBSCRIBE_TOKEN, InstanceHost
from harecross.discovery import subscription_schedule
from harecross.discovery.subscription_schedule import (
    AGENT_BACKOFF_INITIAL_S,
    AGENT_BACKOFF_MAX_S,
    AGENT_RESPONSE_TIMEOUT_S,
    EXPECTED_RESPONSE_S,
    FAILED_CALL_PAUSE_S,
    GOLDEN_RATIO_FRACTION,
    LONG_QUEUE_CALLS,
    LONG_QUEUE_ROUND_S,
    MAX_ROUND_POLL_INTERVALS,
    MIGRATION_STALENESS_LIMIT_S,
    MIN_CALL_DELAY_S,
    POLL_TIMEOUT_S,
    SEND_STOP_GRACE_S,
    SINGLE_FAILURE_ROUND_S,
    STALENESS_LIMIT_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
    CallEnd,
    DiscoverySettings,
    SubscriptionSchedule,
    SubscriptionState,
    max_round_s,
)
from harecross.node.node import Node
from harecross.standins.discovery import chunk, entry, line, update

FLEET = DiscoverySettings(True, 40, 7, 10.0)


def subscribed(settings: DiscoverySettings = FLEET, seed: int = 1) -> SubscriptionSchedule:
    schedule = SubscriptionSchedule(settings, Random(seed))
    schedule.start(0.0)
    assert schedule.next_call_at == 0.0
    schedule.call_started(0.0)
    schedule.heartbeat_received(0.2)
    schedule.update_applied()
    return schedule


def test_states_response_deadlines_and_the_staleness_limit():
    schedule = SubscriptionSchedule(FLEET, Random(1))
    assert schedule.state is SubscriptionState.IDLE
    assert schedule.next_call_at == inf
    assert schedule.response_deadline() == inf
    schedule.start(1.0)
    assert schedule.state is SubscriptionState.WAITING
    schedule.call_started(1.0)
    assert schedule.state is SubscriptionState.CALLING
    assert schedule.response_deadline() == 1.0 + POLL_TIMEOUT_S
    schedule.heartbeat_received(2.9)  # just before discovery would have failed the call
    schedule.update_applied()
    assert schedule.state is SubscriptionState.SUBSCRIBED
    assert schedule.first_response_wait == pytest.approx(1.9)
    assert schedule.response_deadline() == 2.9 + WATCH_HEARTBEAT_TIMEOUT_S
    assert schedule.staleness_limit_at() == 2.9 + STALENESS_LIMIT_S
    assert not schedule.staleness_limit_passed(8.8)
    assert schedule.staleness_limit_passed(9.0)
    schedule.heartbeat_received(4.0)
    assert not schedule.staleness_limit_passed(9.0)
    schedule.stop()
    schedule.call_ended(5.0, CallEnd.ENDED)
    assert schedule.state is SubscriptionState.IDLE
    assert schedule.next_call_at == inf


def test_an_ended_watch_is_reopened_soon_and_a_silent_one_in_its_slot_of_the_round():
    ended, silent, long = [], [], []
    for index in range(40):
        for end, waits in ((CallEnd.ENDED, ended), (CallEnd.SILENT, silent)):
            schedule = subscribed(replace(FLEET, instance_index=index))
            schedule.call_ended(10.0, end)
            waits.append(schedule.next_call_at - 10.0)
        schedule = subscribed(replace(FLEET, instance_index=index))
        schedule.long_queue_calls = LONG_QUEUE_CALLS
        schedule.call_ended(10.0, CallEnd.SILENT)
        long.append(schedule.next_call_at - 10.0)
    assert max(ended) <= MIN_CALL_DELAY_S + SINGLE_FAILURE_ROUND_S
    for waits, length in (
        (silent, max_round_s()),
        (long, LONG_QUEUE_ROUND_S),
    ):
        assert max(waits) <= MIN_CALL_DELAY_S + length
        # Nearly every fortieth of the round holds one node: the slots are spread evenly, whatever the seeds.
        slots = sorted(
            int((w - MIN_CALL_DELAY_S) / length * 40 + 40 - 40 * GOLDEN_RATIO_FRACTION) % 40 for w in waits
        )
        assert len(set(slots)) >= 38


@pytest.mark.parametrize("nodes", [2, 3, 4, 12, 67, 200, 1024])
def test_all_waits_together_fit_into_the_staleness_limit_for_every_position_in_the_round(nodes):
    """Covers three silent watches in a row, a discovery that was down, and a migration to one that does not respond."""
    for index in range(nodes):
        schedule = subscribed(DiscoverySettings(True, nodes, index, 10.0), seed=index)
        for _ in range(3):
            schedule.call_ended(10.0, CallEnd.SILENT)
            assert (
                WATCH_HEARTBEAT_TIMEOUT_S + schedule.next_call_at - 10.0 + EXPECTED_RESPONSE_S
                <= STALENESS_LIMIT_S + 1e-9
            )
            schedule.call_started(schedule.next_call_at)
            schedule.heartbeat_received(schedule.call_started_at + EXPECTED_RESPONSE_S)
            schedule.update_applied()
        for _ in range(12):  # discovery is down, and each call fails at once
            schedule.call_started(20.0)
            schedule.call_ended(20.0, CallEnd.FAILED)
            assert schedule.next_call_at - 20.0 + POLL_TIMEOUT_S <= STALENESS_LIMIT_S
        migration = SubscriptionSchedule(
            DiscoverySettings(True, nodes, index, 10.0), Random(index), migrating=True
        )
        migration.start(0.0)
        migration.call_started(0.0)
        migration.call_ended(migration.response_deadline(), CallEnd.FAILED)
        assert migration.next_call_at + EXPECTED_RESPONSE_S <= MIGRATION_STALENESS_LIMIT_S + 1e-9


def test_only_a_call_that_failed_in_the_queue_marks_the_queue_as_long():
    for after, queued in (
        (0.0, False),
        (1.0, False),
        (2.0, True),
        (2.4, True),
        (POLL_TIMEOUT_S, False),
    ):
        schedule = subscribed()
        schedule.call_started(10.0)
        schedule.call_ended(10.0 + after, CallEnd.FAILED)
        assert (schedule.next_call_at - 10.0 - after >= FAILED_CALL_PAUSE_S) == queued
        for still_long in (queued, queued, False):
            schedule.call_started(20.0)
            schedule.heartbeat_received(20.1)
            schedule.update_applied()
            assert bool(schedule.long_queue_calls) == still_long
    schedule.call_started(30.0)
    schedule.heartbeat_received(31.9)
    assert schedule.long_queue_calls
    assert schedule.round_length() == LONG_QUEUE_ROUND_S


def test_failed_calls_pause_and_rounds_grow_until_a_list_is_received():
    schedule = subscribed()
    schedule.call_ended(0.0, CallEnd.SILENT)
    longest, now = [], 0.0
    for _ in range(8):
        now = schedule.next_call_at
        schedule.call_started(now)
        schedule.call_ended(now + 2, CallEnd.FAILED)
        wait = schedule.next_call_at - now - 2
        assert FAILED_CALL_PAUSE_S <= wait <= FAILED_CALL_PAUSE_S + schedule.round_length()
        longest.append(schedule.round_length())
    assert longest[:3] == [5.0, 10.0, 20.0]
    assert longest[-1] == MAX_ROUND_POLL_INTERVALS * 10.0
    schedule.call_started(now)
    schedule.heartbeat_received(now + 1)
    schedule.update_applied()
    schedule.call_ended(now + 2, CallEnd.SILENT)
    assert schedule.round_length() == LONG_QUEUE_ROUND_S


def test_repeated_malformed_responses_wait_for_growing_rounds():
    schedule = subscribed()
    waits = []
    for _ in range(4):
        schedule.call_started(0.0)
        schedule.heartbeat_received(1.0)
        schedule.call_ended(1.0, CallEnd.MALFORMED)
        waits.append(schedule.round_length())
        assert schedule.next_call_at - 1.0 <= MIN_CALL_DELAY_S + (
            SINGLE_FAILURE_ROUND_S if len(waits) < 2 else schedule.round_length()
        )
    assert waits[-1] > waits[0]
    assert schedule.consecutive_failures == 4


def test_an_agent_is_called_again_with_a_short_backoff():
    schedule = subscribed(DiscoverySettings())
    schedule.call_ended(1.0, CallEnd.SILENT)
    assert schedule.next_call_at == pytest.approx(1.0 + AGENT_BACKOFF_INITIAL_S)
    for _ in range(10):
        schedule.call_started(2.0)
        schedule.call_ended(2.0, CallEnd.FAILED)
    assert schedule.next_call_at == pytest.approx(2.0 + AGENT_BACKOFF_MAX_S)
    schedule.call_started(3.0)
    assert schedule.response_deadline() == 3.0 + AGENT_RESPONSE_TIMEOUT_S


def test_a_node_reopens_a_silent_watch_in_its_slot_and_pauses_after_a_failed_call(monkeypatch):
    for name, value in (
        ("WATCH_HEARTBEAT_TIMEOUT_S", 0.2),
        ("LONG_QUEUE_ROUND_S", 0.2),
        ("FAILED_CALL_PAUSE_S", 0.1),
        ("SINGLE_FAILURE_ROUND_S", 0.02),
        ("MIN_CALL_DELAY_S", 0.01),
    ):
        monkeypatch.setattr(subscription_schedule, name, value)

    async def test() -> None:
        address, calls = await unanswered_discovery()
        known = update(41, entry("s1", "127.0.0.1:1"), reset=True)
        asked = {**SETTINGS, "discovery": "ask"}
        node = Node(config_from(config_dict(address, known=known, settings=asked)))
        task = asyncio.create_task(node.run())
        await node.started.wait()
        schedule = node.discovery.schedule
        writer = await calls.get()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunk(line(42)))
        await wait_until(lambda: schedule.state is SubscriptionState.SUBSCRIBED)
        writer = await calls.get()  # the first watch has timed out
        assert schedule.consecutive_failures == 0
        assert schedule.call_count == 2
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        writer = await calls.get()
        assert schedule.consecutive_failures == 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunk(line(43, entry("s1", "127.0.0.1:1", "terminating"))))
        await wait_until(lambda: not node.registry.listed)
        assert schedule.consecutive_failures == 0
        assert schedule.state is SubscriptionState.SUBSCRIBED
        task.cancel()

    run(test())


def test_the_adapter_calls_again_by_the_same_schedule():
    host = InstanceHost()
    text = json.dumps({**ADAPTER_SETTINGS, "discovery": "ask"}).encode()
    host.handle_batch(1, struct.pack("<BHQI", 6, 3, 1, len(text)) + text, 0)
    assert host.subscription_schedules[3].state is SubscriptionState.CALLING
    failed = struct.pack("<BHBII", 7, 3, 3, 0, 0)
    reply = bytes(host.handle_batch(1, failed, 2_000_000))
    assert reply[4] == 69
    _, _, delay, token = struct.unpack("<BHIQ", reply[4:19])
    assert token == SUBSCRIBE_TOKEN
    assert delay >= FAILED_CALL_PAUSE_S * 1e6
    reply = host.handle_batch(1, struct.pack("<BHQ", 2, 3, token), 2_000_000 + delay)
    assert reply[4] == 75
    assert host.subscription_schedules[3].call_count == 2
    host.handle_batch(1, struct.pack("<BH", 9, 3), 9_000_000)
    assert not host.subscription_schedules


def test_an_agent_that_is_silent_or_refuses_for_long_is_called_again_within_the_send_stop_grace():
    """A change that the agent receives on its return counts as notified at once, whether or not a call is open."""
    watch = SubscriptionSchedule(DiscoverySettings(), Random(1))
    watch.start(0.0)
    now = 0.0
    for end in [CallEnd.SILENT, CallEnd.FAILED] * 20:
        watch.call_started(now)
        now += AGENT_RESPONSE_TIMEOUT_S if end is CallEnd.SILENT else 0.0
        watch.call_ended(now, end)
        assert watch.next_call_at - now <= SEND_STOP_GRACE_S / 2 + 1e-9, (
            "half of the grace is left for the call"
        )
        now = watch.next_call_at
