"""Tests when a node counts as notified of a change, according to the records of the soak's discoveries."""

from __future__ import annotations

import asyncio
import time

import pytest
from node_support import run

from harecross.soak.discoveries import LISTED_NOTIFIED_S, MIGRATION_NOTIFIED_S, SoakDiscovery
from harecross.soak.plan import DiscoveryPlan
from harecross.soak.planner import make_plan
from harecross.soak.records import EndpointChange, Records

FIRST = DiscoveryPlan(0.0, 0.0, omits_draining=False, first_generation=1, writes_per_line=1, answer_delay=0.0)
MIGRATED_TO = FIRST._replace(delay=0.3, caught_up_after=2.0)
# Monotonic time of the change, in seconds.
START = 100.0
EPSILON_S = 0.001


def discovery_of(plan: DiscoveryPlan, *, polled: bool) -> SoakDiscovery:
    """Returns a discovery that has known a drain since `START` and has not written it."""
    records = Records(changes=[EndpointChange(START, "s0", "terminating", 0)])
    discovery = SoakDiscovery(plan, records, "n.1", lambda server: "", 0, polled=polled)
    discovery.known_changes = 1
    discovery.active_from = START
    return discovery


def notification_times(discovery: SoakDiscovery) -> list[float]:
    return [notification.at for notification in discovery.records.notifications]


def test_a_node_counts_as_notified_at_once_of_what_its_agent_has():
    discovery = discovery_of(FIRST, polled=False)
    discovery.record_pushed_notifications(START)
    assert notification_times(discovery) == [START]


def test_a_node_counts_as_notified_a_fixed_time_after_a_change_could_be_polled():
    discovery = discovery_of(FIRST, polled=True)
    discovery.record_polled_notifications(START)
    discovery.record_polled_notifications(START + LISTED_NOTIFIED_S - EPSILON_S)
    assert notification_times(discovery) == []
    discovery.record_polled_notifications(START + LISTED_NOTIFIED_S + EPSILON_S)
    discovery.record_polled_notifications(START + LISTED_NOTIFIED_S + 1)
    assert notification_times(discovery) == [START + LISTED_NOTIFIED_S]


@pytest.mark.parametrize("polled", [True, False])
def test_a_node_does_not_count_as_notified_before_the_time_limit_after_a_migration(polled):
    discovery = discovery_of(MIGRATED_TO, polled=polled)
    record = discovery.record_polled_notifications if polled else discovery.record_pushed_notifications
    record(START)
    record(START + MIGRATION_NOTIFIED_S - EPSILON_S)
    assert notification_times(discovery) == []


def test_changes_cannot_be_polled_while_a_service_is_down():
    async def test() -> None:
        discovery = discovery_of(FIRST, polled=True)
        discovery.record_polled_notifications(time.monotonic())
        down = asyncio.create_task(discovery.go_down(0.1))
        await asyncio.sleep(0)
        discovery.learn()
        await down
        assert discovery.pending[0] >= time.monotonic() + LISTED_NOTIFIED_S - 0.1
        assert notification_times(discovery) == []

    run(test())


def test_a_new_process_counts_as_notified_of_changes_that_were_listed_long_enough_before():
    discovery = discovery_of(FIRST, polled=True)
    discovery.records.changes[0] = EndpointChange(
        time.monotonic() - LISTED_NOTIFIED_S - 1, "s0", "terminating", 0
    )
    discovery.begin_process("n.2")
    assert [notification.node for notification in discovery.records.notifications] == ["n.2"]
    recent = discovery_of(FIRST, polled=True)
    recent.records.changes[0] = EndpointChange(time.monotonic(), "s0", "terminating", 0)
    recent.begin_process("n.2")
    assert notification_times(recent) == []
    assert 0 in recent.pending


def test_some_runs_poll_their_lists():
    assert 40 < sum(make_plan(seed).polled for seed in range(200)) < 90
