"""From when on a change counts as told, as the soak's discoveries record it."""

from __future__ import annotations

import asyncio
import time

import pytest
from node_support import run

from harecross.soak.discoveries import LISTED_BINDING, MOVED, SoakDiscovery
from harecross.soak.plan import DiscoveryPlan, make_plan
from harecross.soak.records import Change, Records

PLAIN = DiscoveryPlan(0.0, 0.0, leaves_out=False, first_version=1, pieces=1, answers_after=0.0)
MOVED_TO = PLAIN._replace(lag=0.3, caught_up=2.0)
START = 100.0  # seconds
SLACK = 0.001


def discovery_of(plan: DiscoveryPlan, asked: bool) -> SoakDiscovery:
    """One that has known a drain since `START`, which it has written nowhere."""
    records = Records(changes=[Change(START, "s0", "terminating", 0)])
    discovery = SoakDiscovery(plan, records, "n.1", lambda server: "", 0, asked)
    discovery.known = 1
    discovery.active_from = START
    return discovery


def told_at(discovery: SoakDiscovery) -> list[float]:
    return [told.at for told in discovery.records.told]


def test_what_an_agent_has_counts_at_once():
    discovery = discovery_of(PLAIN, asked=False)
    discovery.count_pushed(START)
    assert told_at(discovery) == [START]


def test_what_a_service_has_counts_a_while_after_it_was_there_to_be_asked_for():
    discovery = discovery_of(PLAIN, asked=True)
    discovery.count_asked(START)
    discovery.count_asked(START + LISTED_BINDING - SLACK)
    assert told_at(discovery) == []
    discovery.count_asked(START + LISTED_BINDING + SLACK)
    discovery.count_asked(START + LISTED_BINDING + 1)
    assert told_at(discovery) == [START + LISTED_BINDING]


@pytest.mark.parametrize("asked", [True, False])
def test_nothing_that_another_address_has_counts_before_its_time(asked):
    discovery = discovery_of(MOVED_TO, asked)
    count = discovery.count_asked if asked else discovery.count_pushed
    count(START)
    count(START + MOVED - SLACK)
    assert told_at(discovery) == []


def test_a_service_that_was_down_had_nothing_to_be_asked_for():
    async def test() -> None:
        discovery = discovery_of(PLAIN, asked=True)
        discovery.count_asked(time.monotonic())
        down = asyncio.create_task(discovery.go_down(0.1))
        await asyncio.sleep(0)
        discovery.look()
        await down
        assert discovery.due[0] >= time.monotonic() + LISTED_BINDING - 0.1
        assert told_at(discovery) == []

    run(test())


def test_another_process_knows_from_its_start_what_was_listed_long_enough_before():
    discovery = discovery_of(PLAIN, asked=True)
    discovery.records.changes[0] = Change(time.monotonic() - LISTED_BINDING - 1, "s0", "terminating", 0)
    discovery.new_life("n.2")
    assert [told.node for told in discovery.records.told] == ["n.2"]
    later = discovery_of(PLAIN, asked=True)
    later.records.changes[0] = Change(time.monotonic(), "s0", "terminating", 0)
    later.new_life("n.2")
    assert told_at(later) == []
    assert 0 in later.due


def test_some_runs_ask_for_their_lists():
    assert 40 < sum(make_plan(seed).asked for seed in range(200)) < 90
