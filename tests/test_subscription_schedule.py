"""Asking for lists: the machine by itself, a fleet of them before one discovery, and a node's own watch."""

import asyncio
import json
import struct
from dataclasses import replace
from math import inf
from random import Random

import pytest
from node_support import SETTINGS, config_from, config_of, held_calls, run, until
from test_adapter import ENV

from harecross.adapter import ASK_AGAIN, Host
from harecross.discovery import subscription_schedule as schedule
from harecross.discovery.subscription_schedule import (
    AGENT_RESPONSE_TIMEOUT_S,
    SEND_STOP_GRACE_S,
    CallEnd,
    DiscoveryTerms,
    SubscriptionSchedule,
    SubscriptionState,
)
from harecross.fleet.discovery import Desk, Shape
from harecross.fleet.rehearsal import Day, Rehearsal, bound
from harecross.fleet.waits import WAITS
from harecross.node.__main__ import Node
from harecross.standins.discovery import chunk, entry, line, update

FLEET = DiscoveryTerms(True, 40, 7, 10.0)


def subscribed(terms: DiscoveryTerms = FLEET, seed: int = 1) -> SubscriptionSchedule:
    a = SubscriptionSchedule(terms, Random(seed))
    a.start(0.0)
    assert a.next_call_at == 0.0
    a.call_started(0.0)
    a.heartbeat_received(0.2)
    a.update_applied()
    return a


# ---- the machine ----------------------------------------------------------------------------------------


def test_states_and_how_old_the_list_is():
    a = SubscriptionSchedule(FLEET, Random(1))
    assert a.state is SubscriptionState.IDLE and a.next_call_at == inf and a.response_deadline() == inf
    a.start(1.0)
    assert a.state is SubscriptionState.WAITING
    a.call_started(1.0)
    assert a.state is SubscriptionState.CALLING and a.response_deadline() == 1.0 + schedule.POLL_TIMEOUT_S
    a.heartbeat_received(2.9)  # at the last moment of its wait
    a.update_applied()
    assert a.state is SubscriptionState.SUBSCRIBED and a.first_response_wait == pytest.approx(1.9)
    assert (
        a.response_deadline() == 2.9 + schedule.WATCH_HEARTBEAT_TIMEOUT_S
        and a.staleness_limit_at() == 2.9 + schedule.STALENESS_LIMIT_S
    )
    assert not a.staleness_limit_passed(8.8) and a.staleness_limit_passed(9.0)
    a.heartbeat_received(4.0)
    assert not a.staleness_limit_passed(9.0)
    a.stop()
    a.call_ended(5.0, CallEnd.ENDED)
    assert a.state is SubscriptionState.IDLE and a.next_call_at == inf


def test_a_watch_that_ends_alone_is_asked_for_soon_and_a_silent_one_in_its_turn():
    ended, silent, long = [], [], []
    for number in range(40):
        for end, waits in ((CallEnd.ENDED, ended), (CallEnd.SILENT, silent)):
            a = subscribed(replace(FLEET, instance_index=number))
            a.call_ended(10.0, end)
            waits.append(a.next_call_at - 10.0)
        a = subscribed(replace(FLEET, instance_index=number))
        a.long_queue_calls = schedule.LONG_QUEUE_CALLS
        a.call_ended(10.0, CallEnd.SILENT)
        long.append(a.next_call_at - 10.0)
    assert max(ended) <= schedule.MIN_CALL_DELAY_S + schedule.SINGLE_FAILURE_ROUND_S
    for waits, length in (
        (silent, schedule.max_round_s()),
        (long, schedule.LONG_QUEUE_ROUND_S),
    ):
        assert max(waits) <= schedule.MIN_CALL_DELAY_S + length
        # One in each fortieth of the round: nodes stand evenly, whatever their seeds.
        slots = sorted(
            int((w - schedule.MIN_CALL_DELAY_S) / length * 40 + 40 - 40 * schedule.GOLDEN_RATIO_FRACTION) % 40
            for w in waits
        )
        assert len(set(slots)) >= 38


@pytest.mark.parametrize("nodes", [2, 3, 4, 12, 67, 200, 1024])
def test_the_sum_of_all_waits_is_within_what_is_binding_for_every_place_in_the_round(nodes):
    """A silent watch, at its first, second and third time; a discovery that was down; a move to one that is mute."""
    for number in range(nodes):
        a = subscribed(DiscoveryTerms(True, nodes, number, 10.0), seed=number)
        for _ in range(3):
            a.call_ended(10.0, CallEnd.SILENT)
            assert (
                schedule.WATCH_HEARTBEAT_TIMEOUT_S + a.next_call_at - 10.0 + schedule.EXPECTED_RESPONSE_S
                <= schedule.STALENESS_LIMIT_S + 1e-9
            )
            a.call_started(a.next_call_at)
            a.heartbeat_received(a.call_started_at + schedule.EXPECTED_RESPONSE_S)
            a.update_applied()
        for _ in range(12):  # down: called in vain for as long as that lasts
            a.call_started(20.0)
            a.call_ended(20.0, CallEnd.FAILED)
            assert a.next_call_at - 20.0 + schedule.POLL_TIMEOUT_S <= schedule.STALENESS_LIMIT_S
        moving = SubscriptionSchedule(
            DiscoveryTerms(True, nodes, number, 10.0), Random(number), migrating=True
        )
        moving.start(0.0)
        moving.call_started(0.0)
        moving.call_ended(moving.response_deadline(), CallEnd.FAILED)
        assert (
            moving.next_call_at + schedule.EXPECTED_RESPONSE_S <= schedule.MIGRATION_STALENESS_LIMIT_S + 1e-9
        )


def test_only_a_call_failed_in_line_tells_of_a_long_one():
    for after, long in (
        (0.0, False),
        (1.0, False),
        (2.0, True),
        (2.4, True),
        (schedule.POLL_TIMEOUT_S, False),
    ):
        a = subscribed()
        a.call_started(10.0)
        a.call_ended(10.0 + after, CallEnd.FAILED)
        assert (a.next_call_at - 10.0 - after >= schedule.FAILED_CALL_PAUSE_S) == long
        for still in (long, long, False):
            a.call_started(20.0)
            a.heartbeat_received(20.1)
            a.update_applied()
            assert bool(a.long_queue_calls) == still
    a.call_started(30.0)
    a.heartbeat_received(31.9)
    assert a.long_queue_calls and a.round_length() == schedule.LONG_QUEUE_ROUND_S


def test_calls_that_fail_pause_and_their_rounds_grow_until_a_list_comes():
    a = subscribed()
    a.call_ended(0.0, CallEnd.SILENT)
    longest, now = [], 0.0
    for _ in range(8):
        now = a.next_call_at
        a.call_started(now)
        a.call_ended(now + 2, CallEnd.FAILED)
        wait = a.next_call_at - now - 2
        assert schedule.FAILED_CALL_PAUSE_S <= wait <= schedule.FAILED_CALL_PAUSE_S + a.round_length()
        longest.append(a.round_length())
    assert longest[:3] == [5.0, 10.0, 20.0] and longest[-1] == schedule.MAX_ROUND_POLL_INTERVALS * 10.0
    a.call_started(now)
    a.heartbeat_received(now + 1)
    a.update_applied()
    a.call_ended(now + 2, CallEnd.SILENT)
    assert a.round_length() == schedule.LONG_QUEUE_ROUND_S


def test_an_answer_that_breaks_off_again_and_again_takes_its_turn():
    a = subscribed()
    waits = []
    for _ in range(4):
        a.call_started(0.0)
        a.heartbeat_received(1.0)
        a.call_ended(1.0, CallEnd.MALFORMED)
        waits.append(a.round_length())
        assert a.next_call_at - 1.0 <= schedule.MIN_CALL_DELAY_S + (
            schedule.SINGLE_FAILURE_ROUND_S if len(waits) < 2 else a.round_length()
        )
    assert waits[-1] > waits[0] and a.consecutive_failures == 4


def test_an_agent_is_asked_at_once():
    a = subscribed(DiscoveryTerms())
    a.call_ended(1.0, CallEnd.SILENT)
    assert a.next_call_at == pytest.approx(1.0 + schedule.AGENT_BACKOFF_INITIAL_S)
    for _ in range(10):
        a.call_started(2.0)
        a.call_ended(2.0, CallEnd.FAILED)
    assert a.next_call_at == pytest.approx(2.0 + schedule.AGENT_BACKOFF_MAX_S)
    a.call_started(3.0)
    assert a.response_deadline() == 3.0 + schedule.AGENT_RESPONSE_TIMEOUT_S


# ---- the fleet ------------------------------------------------------------------------------------------


def test_discovery_works_through_calls_whose_callers_have_been_failed():
    desk = Desk(Shape(rate=2.0, timeout=2.0, overbook=2.0))
    replies = [desk.call(0.0) for _ in range(12)]
    assert [r.at for r in replies[:4]] == [0.5, 1.0, 1.5, 2.0] and all(r.good for r in replies[:4])
    assert [(r.at, r.good) for r in replies[4:9]] == [(2.0, False)] * 5 and desk.in_vain == 5
    assert replies[9].at == 0.0 and desk.turned_away == 3 and desk.backlog(0.0) == 4.5
    assert not desk.call(2.4).good and desk.call(4.6).good


def fleet(nodes: int, seconds: float, waits: str = "turns", **more):
    """Nodes before a discovery that takes one call of each in so many seconds, the line as after a common start."""
    shape = Shape(nodes / seconds)
    day = Day(**{"nodes": nodes, "discovery": shape, "backlog": 0.85 * seconds, "length": 130.0, **more})
    return Rehearsal(day, WAITS[waits]).run()


@pytest.mark.parametrize("nodes", [40, 2000])
def test_all_watches_silent_at_once_the_former_waits_collapse_for_good_and_turns_come_back(nodes):
    for seconds, last in ((2.0, 2.0), (4.9, 1.2), (6.0, 1.8), (8.0, 3.4)):
        r = fleet(nodes, seconds)
        assert r.recovered and r.back[-1] <= last * bound(r.day), (seconds, r.back[-1], bound(r.day))
        assert sum(r.calls.values()) <= 5 * nodes
    for seconds in (6.0, 8.0):
        former = fleet(nodes, seconds, "former")
        assert former.share(0.5) == inf and sum(former.answered.values()) < 0.2 * nodes
        # Not one was answered for the last minute, with a line that never gets shorter.
        assert sum(n for second, n in former.answered.items() if second > 60) == 0
        assert min(length for second, length in former.line.items() if second > 20) > 2.0


def test_without_places_the_fleet_comes_together_and_is_failed_together():
    mutant, turns = fleet(40, 4.9, "together"), fleet(40, 4.9)
    assert turns.recovered and turns.in_vain < 10
    assert mutant.in_vain > 2 * turns.in_vain and mutant.back[-1] > 2 * turns.back[-1]


def test_two_nodes_are_back_as_soon_as_one_round_lets_them():
    r = fleet(2, 2.0, backlog=0.0)
    assert (
        r.back[-1]
        <= schedule.WATCH_HEARTBEAT_TIMEOUT_S + schedule.MIN_CALL_DELAY_S + schedule.LONG_QUEUE_ROUND_S + 2.0
        and r.in_vain == 0
    )


@pytest.mark.parametrize("trigger", ["ended", "broken", "restart", "down"])
def test_other_triggers_come_back_too(trigger):
    for seconds in (2.0, 4.9, 8.0):
        r = fleet(40, seconds, trigger=trigger, backlog=0.0)
        assert r.recovered and r.back[-1] <= 4 * bound(r.day) + schedule.FAILED_CALL_PAUSE_S


def test_more_nodes_than_can_be_answered_within_the_longest_silence_come_back_all_the_same():
    """What is given up: most are without a word for longer than a drain takes to be binding; nobody for good."""
    r = fleet(200, 16.0, within=10.0)
    assert r.recovered and r.late > 0 and r.knew[-1] < 130


def test_answers_that_break_off_do_not_keep_the_fleet_away():
    r = fleet(40, 4.9, spoilt=0.3)
    assert r.recovered and r.back[-1] < 4 * bound(r.day)


def test_a_thousand_seeds_come_back_and_replay_exactly():
    worst = 0.0
    for seed in range(1000):
        r = fleet(40, 4.9, seed=seed, length=60.0)
        assert r.recovered
        worst = max(worst, r.back[-1] / bound(r.day))
    assert worst < 1.9
    assert fleet(40, 4.9, seed=77).back == fleet(40, 4.9, seed=77).back


def test_where_discovery_has_room_no_drain_counts_as_told_before_it_is_known():
    for seed in range(200):
        r = fleet(40, 2.0, seed=seed, change=2.5, more=1.0, length=40.0, backlog=0.0)
        assert r.recovered and r.late == 0


# ---- the two hosts --------------------------------------------------------------------------------------


def test_a_node_whose_watch_falls_silent_asks_in_its_turn_and_one_that_is_failed_pauses(monkeypatch):
    for name, value in (
        ("WATCH_HEARTBEAT_TIMEOUT_S", 0.2),
        ("LONG_QUEUE_ROUND_S", 0.2),
        ("FAILED_CALL_PAUSE_S", 0.1),
        ("SINGLE_FAILURE_ROUND_S", 0.02),
        ("MIN_CALL_DELAY_S", 0.01),
    ):
        monkeypatch.setattr(schedule, name, value)

    async def test() -> None:
        address, came = await held_calls()
        known = update(41, entry("s1", "127.0.0.1:1"), reset=True)
        asked = {**SETTINGS, "discovery": "ask"}
        node = Node(config_from(config_of(address, known=known, settings=asked)))
        task = asyncio.create_task(node.run())
        await node.ready.wait()
        a = node.discovery.schedule
        writer = await came.get()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunk(line(42)))
        await until(lambda: a.state is SubscriptionState.SUBSCRIBED)
        writer = await came.get()  # the first one has fallen silent
        assert a.consecutive_failures == 0 and a.call_count == 2
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        writer = await came.get()
        assert a.consecutive_failures == 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(chunk(line(43, entry("s1", "127.0.0.1:1", "terminating"))))
        await until(lambda: not node.registry.listed)
        assert a.consecutive_failures == 0 and a.state is SubscriptionState.SUBSCRIBED
        task.cancel()

    run(test())


def test_the_adapter_asks_again_by_the_same_machine():
    host = Host()
    text = json.dumps({**ENV, "discovery": "ask"}).encode()
    host.batch(1, struct.pack("<BHQI", 6, 3, 1, len(text)) + text, 0)
    assert host.schedule[3].state is SubscriptionState.CALLING
    failed = struct.pack("<BHBII", 7, 3, 3, 0, 0)
    reply = bytes(host.batch(1, failed, 2_000_000))
    assert reply[4] == 69
    _, _, delay, token = struct.unpack("<BHIQ", reply[4:19])
    assert token == ASK_AGAIN and delay >= schedule.FAILED_CALL_PAUSE_S * 1e6
    reply = host.batch(1, struct.pack("<BHQ", 2, 3, token), 2_000_000 + delay)
    assert reply[4] == 75 and host.schedule[3].call_count == 2
    host.batch(1, struct.pack("<BH", 9, 3), 9_000_000)
    assert not host.schedule


def test_an_agent_that_is_silent_or_refuses_for_long_is_asked_again_within_the_grace():
    """What it gets at its return counts as told at once, whether or not a call is out at that moment."""
    watch = SubscriptionSchedule(DiscoveryTerms(), Random(1))
    watch.start(0.0)
    now = 0.0
    for end in [CallEnd.SILENT, CallEnd.FAILED] * 20:
        watch.call_started(now)
        now += AGENT_RESPONSE_TIMEOUT_S if end is CallEnd.SILENT else 0.0
        watch.call_ended(now, end)
        assert watch.next_call_at - now <= SEND_STOP_GRACE_S / 2 + 1e-9, "and half of it is left for the call"
        now = watch.next_call_at
