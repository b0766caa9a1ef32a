"""Servers that the complete list of an earlier discovery lacked: which have left, and which have just joined."""

from __future__ import annotations

import time

import pytest
from node_support import NodeEnvironment, ScriptedDiscovery, entry, line, run_with_node, update, wait_until

from harecross.discovery.absences import MAX_LISTING_DELAY_S
from harecross.discovery.discovery_client import MAX_LIST_LAG_S, MAX_MIGRATION_LAG_S
from harecross.discovery.process_table import REPLAY_SETTLE_S, ProcessState, ProcessTable, TransitionCause
from harecross.discovery.statements import DiscoverySource

UNIX_OFFSET_S = 1_700_000_000.0
CONFIRMED_AT = 100.0  # the old discovery's list is complete at this time
MOVED_AT = 101.0
COUNTED_UNTIL = MOVED_AT + MAX_LIST_LAG_S
OLD = DiscoverySource("old:1", 0)
NEW = DiscoverySource("new:1", 1, MOVED_AT + MAX_MIGRATION_LAG_S, COUNTED_UNTIL)
NEWER = DiscoverySource("newer:1", 2, MOVED_AT + 3 + MAX_MIGRATION_LAG_S, MOVED_AT + 3 + MAX_LIST_LAG_S)
IN_SERVICE, QUARANTINED = ProcessState.IN_SERVICE, ProcessState.QUARANTINED


def started_at(monotonic_s: float) -> int:
    """Returns the start time in Unix milliseconds of a process that started at a monotonic time."""
    return int((monotonic_s + UNIX_OFFSET_S) * 1000)


def server(name: str, started_ms: int = 0, lifecycle: str = "in_service") -> dict:
    """Returns the entry of a server."""
    return entry(name, f"{name}:1", lifecycle, startedAtMs=started_ms)


def table_after_first_list() -> ProcessTable:
    """Returns the table of a new process whose first complete list names one server."""
    table = ProcessTable(OLD, UNIX_OFFSET_S)
    table.receive(CONFIRMED_AT - 1, OLD, update(9, server("kept")), full=True)
    table.heartbeat(CONFIRMED_AT, OLD)
    return table


def migrated_table(*entries: dict) -> ProcessTable:
    """Returns such a table after a migration to a discovery that lists that server and others."""
    table = table_after_first_list()
    table.receive(MOVED_AT, NEW, update(3, server("kept"), *entries), full=True)
    return table


JUST_JOINED_MS = started_at(CONFIRMED_AT - MAX_LISTING_DELAY_S + 1)
LISTED_LONG_AGO_MS = started_at(CONFIRMED_AT - MAX_LISTING_DELAY_S - 1)


@pytest.mark.parametrize(
    ("started_ms", "state"),
    [(0, QUARANTINED), (LISTED_LONG_AGO_MS, QUARANTINED), (JUST_JOINED_MS, IN_SERVICE)],
    ids=["long ago", "before the complete list", "just now"],
)
@pytest.mark.parametrize("by_change", [False, True], ids=["in the first list", "in a change"])
def test_a_server_that_a_complete_list_lacked_is_used_only_if_it_may_have_joined_since(
    started_ms, state, by_change
):
    """Guards against the word of a discovery that lags about a server that left before the start of this process."""
    table = migrated_table(*([] if by_change else [server("s", started_ms)]))
    if by_change:
        table.receive(MOVED_AT + 0.5, NEW, update(4, server("s", started_ms)), full=False)
    assert table.state("s") is state
    assert table.state("kept") is IN_SERVICE
    lifecycle = table.effective_entry("s")["lifecycle"]
    assert lifecycle == ("in_service" if state is IN_SERVICE else "terminating")


def test_an_absence_counts_until_the_new_discovery_cannot_lag_any_more():
    """Guards against an absence that ends by time alone, or with the statements of the earlier discovery, or never."""
    table = migrated_table(server("s"))
    table.heartbeat(MOVED_AT + MAX_MIGRATION_LAG_S + 1, NEW)
    assert not table.catching_up
    assert table.state("s") is QUARANTINED
    assert table.quarantined() == ["s"]
    result = table.heartbeat(COUNTED_UNTIL, NEW)
    assert [each["instanceId"] for each in result.update["instances"]] == ["s"]
    assert [each.cause for each in result.transitions] == [TransitionCause.CAUGHT_UP]
    assert table.state("s") is IN_SERVICE
    assert not table.absences.statements


def test_a_later_process_of_an_absent_server_is_used():
    """Guards against withholding a server that has restarted since."""
    table = migrated_table(server("s"))
    table.receive(MOVED_AT + 1, NEW, update(4, server("s", started_at(MOVED_AT))), full=False)
    assert table.state("s") is IN_SERVICE


@pytest.mark.parametrize("lifecycle", ["terminating", "terminated"])
def test_what_the_new_discovery_states_after_it_knows_of_the_leaving_is_news(lifecycle):
    """Guards against withholding a server that has left and returned according to the new discovery."""
    table = migrated_table(server("s"))
    table.receive(MOVED_AT + 1, NEW, update(4, server("s", lifecycle=lifecycle)), full=False)
    assert table.state("s") not in (IN_SERVICE, QUARANTINED)
    table.receive(MOVED_AT + 2, NEW, update(5, server("s")), full=False)
    assert table.state("s") is IN_SERVICE


def test_the_old_discovery_ends_an_absence_if_it_lists_the_server_on_its_open_watch():
    """Guards against withholding a server that joins while both watches are open."""
    table = migrated_table(server("s"))
    result = table.receive(MOVED_AT + 1, OLD, update(10, server("s")), full=False)
    assert table.state("s") is IN_SERVICE
    assert [each["lifecycle"] for each in result.update["instances"]] == ["in_service"]


def test_an_absence_outlasts_a_second_migration():
    """Guards against taking the word of the discovery that lagged for evidence at the next one."""
    table = migrated_table(server("s"))
    table.receive(MOVED_AT + 3, NEWER, update(1, server("kept"), server("s")), full=True)
    assert table.state("s") is QUARANTINED
    table.heartbeat(COUNTED_UNTIL + 1, NEWER)
    assert table.state("s") is QUARANTINED
    table.heartbeat(NEWER.absences_count_until, NEWER)
    assert table.state("s") is IN_SERVICE


def test_a_configured_list_is_no_evidence_before_discovery_has_confirmed_it():
    """Guards against withholding servers because an old list lacked them."""
    for confirmed, state in ((False, IN_SERVICE), (True, QUARANTINED)):
        table = ProcessTable(OLD, UNIX_OFFSET_S)
        table.receive(CONFIRMED_AT - 1, OLD, update(9, server("kept")), full=True, configured=True)
        if confirmed:
            table.heartbeat(CONFIRMED_AT, OLD)
        table.receive(MOVED_AT, NEW, update(3, server("kept"), server("s")), full=True)
        assert table.state("s") is state


def test_nothing_is_withheld_after_a_migration_to_another_fleet():
    """Guards against a node without any server, because all servers of its new discovery are new to it."""
    table = table_after_first_list()
    table.receive(MOVED_AT, NEW, update(3, server("s"), server("t")), full=True)
    table.receive(MOVED_AT + 1, NEW, update(4, server("u")), full=False)
    assert {table.state(name) for name in "stu"} == {IN_SERVICE}


def test_a_restarted_discovery_may_lag_for_as_long_as_it_replays():
    """Guards against withholding servers for the lag of another address."""
    table = table_after_first_list()
    restarted = DiscoverySource("old:1", 1, MOVED_AT, MOVED_AT)
    table.receive(MOVED_AT, restarted, update(1, server("kept"), server("s")), full=True)
    assert table.state("s") is QUARANTINED
    table.heartbeat(MOVED_AT + REPLAY_SETTLE_S, restarted)
    assert table.state("s") is IN_SERVICE


def test_a_new_process_of_a_node_uses_only_servers_that_have_not_left_after_a_migration():
    """Guards against the same fault where the clocks and the discovery client come together."""

    async def test(env: NodeEnvironment) -> None:
        watch = await env.watch()
        ScriptedDiscovery.push(watch, b"")  # the configured list is complete
        await wait_until(lambda: env.node.discovery.table.absences.current)
        now_ms = int(time.time() * 1000)
        kept, left, joined = (entry(f"s{i}", f"127.0.0.1:{i + 1}", startedAtMs=0) for i in range(3))
        joined["startedAtMs"] = now_ms
        other = await ScriptedDiscovery().start()
        other.full_list = line(5, kept, left, joined, reset=True)
        host, port = other.address.split(":")
        assert env.node.discovery.migrate((host, int(port)))
        await other.watches.get()
        registry = env.node.registry
        used = {name for name, number in registry.numbers.items() if number in registry.listed}
        assert used == {"s0", "s2"}

    run_with_node(test, servers=1)
