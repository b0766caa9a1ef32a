"""The process table: its state table, and arbitrary orders of migrations, lags, recalls and replays."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from node_support import entry, update

from harecross.discovery import process_table
from harecross.discovery.process_table import (
    REPLAY_SETTLE_S,
    DiscoverySource,
    ProcessState,
    ProcessTable,
    TransitionCause,
)
from harecross.discovery.transition_log import describe_transitions
from harecross.discovery.wire_format import Lifecycle

OLD, NEW = DiscoverySource("old:1", 0), DiscoverySource("new:1", 1, may_lag_until=5.0)
AFTER = 7.0  # the new discovery has caught up by then


def list_with(lifecycle: str, started: int = 5, version: int = 1) -> dict:
    """Builds a list or change with one server."""
    return update(version, entry("s", "h:1", lifecycle, startedAtMs=started))


# Rows of the state table in the process_table module: the lifecycle that the current source states, the lifecycle and
# start time that an earlier source stated, the resulting state, and the start time of the process that is used.
ROWS = [
    (None, ("in_service", 5), ProcessState.GONE, None),
    (None, ("terminating", 5), ProcessState.GONE, None),
    ("terminating", ("in_service", 5), ProcessState.DRAINING, None),
    ("terminating", ("in_service", 9), ProcessState.DRAINING, None),
    ("terminated", ("in_service", 5), ProcessState.GONE, None),
    ("in_service", None, ProcessState.IN_SERVICE, 5),
    ("in_service", ("in_service", 5), ProcessState.IN_SERVICE, 5),
    ("in_service", ("in_service", 4), ProcessState.IN_SERVICE, 5),
    ("in_service", ("terminating", 4), ProcessState.IN_SERVICE, 5),
    ("in_service", ("terminated", 4), ProcessState.IN_SERVICE, 5),
    ("in_service", ("terminating", 5), ProcessState.QUARANTINED, None),
    ("in_service", ("an unknown state", 5), ProcessState.QUARANTINED, None),
    ("in_service", ("terminated", 5), ProcessState.QUARANTINED, None),
    ("in_service", ("terminating", 6), ProcessState.QUARANTINED, None),
    ("in_service", ("in_service", 6), ProcessState.IN_SERVICE, 6),
]


def used_start(instances: list[dict]) -> int | None:
    """Returns the start time of the process that a list puts into service; None if there is none."""
    starts = [entry["startedAtMs"] for entry in instances if entry["lifecycle"] == "in_service"]
    return starts[0] if starts else None


@pytest.mark.parametrize(("present", "earlier", "state", "started"), ROWS)
def test_the_state_follows_from_the_statements_of_two_sources(present, earlier, state, started):
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, list_with(*earlier) if earlier else update(1), full=True)
    change = update(1) if present is None else list_with(present)
    result = table.receive(1.0, NEW, change, full=True)
    assert table.state("s") is state
    assert used_start(result.update["instances"]) == started
    # The state is the same if the earlier source makes its statement after the migration, on its still open watch.
    if earlier and present:
        late = ProcessTable(OLD)
        late.receive(0.0, OLD, list_with("in_service", 1), full=True)
        late.receive(1.0, NEW, list_with(present), full=True)
        late.receive(1.1, OLD, list_with(*earlier), full=False)
        assert late.state("s") is state
    # No earlier statement is left once the current source has caught up.
    used = table.heartbeat(AFTER, NEW).update["instances"]
    assert table.state("s") is (ProcessState.IN_SERVICE if present == "in_service" else state)
    if state is ProcessState.QUARANTINED or (started or 5) > 5:
        assert used_start(used) == 5
    assert not table.earlier_statements
    assert not table.heartbeat(AFTER + 1, NEW).update["instances"]


@pytest.mark.parametrize(("behind_until", "first_list"), [(5.0, 1.0), (5.0, 4.5), (0.0, 1.0)])
def test_quarantine_ends_at_the_first_heartbeat_after_the_source_has_caught_up_and_never_by_time(
    behind_until, first_list
):
    table, new = ProcessTable(OLD), DiscoverySource("new:1", 1, behind_until)
    table.receive(0.0, OLD, list_with("terminating"), full=True)
    table.receive(first_list, new, list_with("in_service"), full=True)
    ends = max(behind_until, first_list + REPLAY_SETTLE_S)
    assert not table.heartbeat(ends - 0.01, new).update["instances"]
    assert table.state("s") is ProcessState.QUARANTINED
    assert not table.heartbeat(ends + 60, OLD).update["instances"]
    assert table.state("s") is ProcessState.QUARANTINED
    result = table.heartbeat(ends, new)
    assert used_start(result.update["instances"]) == 5
    assert table.state("s") is ProcessState.IN_SERVICE
    (change,) = result.transitions
    assert (change.before, change.after, change.cause) == (
        ProcessState.QUARANTINED,
        ProcessState.IN_SERVICE,
        TransitionCause.CAUGHT_UP,
    )
    assert change.statement.stated_at == first_list
    assert change.statement.source == new


def test_a_recall_by_an_earlier_source_ends_only_the_quarantine_that_it_caused():
    table = ProcessTable(OLD)
    middle, last = DiscoverySource("middle:1", 1, 5.0), DiscoverySource("last:1", 2, 6.0)
    table.receive(0.0, OLD, list_with("terminating"), full=True)
    table.receive(1.0, middle, list_with("in_service"), full=True)
    assert used_start(table.receive(1.1, OLD, list_with("in_service"), full=False).update["instances"]) == 5
    table.receive(1.2, middle, list_with("terminating"), full=False)
    table.receive(2.0, last, list_with("in_service"), full=True)
    assert not table.receive(2.1, OLD, list_with("in_service"), full=False).update["instances"]
    assert table.state("s") is ProcessState.QUARANTINED
    assert (
        used_start(table.receive(2.2, middle, list_with("in_service"), full=False).update["instances"]) == 5
    )


def test_a_server_absent_from_a_full_list_of_an_earlier_source_is_gone():
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, list_with("in_service"), full=True)
    table.receive(0.5, OLD, update(2), full=True)
    table.receive(1.0, NEW, list_with("in_service"), full=True)
    assert table.state("s") is ProcessState.QUARANTINED
    late = ProcessTable(OLD)
    late.receive(0.0, OLD, list_with("in_service"), full=True)
    late.receive(1.0, NEW, list_with("in_service"), full=True)
    result = late.receive(1.2, OLD, update(2, reset=True), full=False)
    assert late.state("s") is ProcessState.QUARANTINED
    assert result.update["instances"][0]["lifecycle"] == "terminating"


def test_a_server_absent_from_a_full_list_on_an_open_watch_is_gone_and_quarantined_after_a_migration():
    # Guards against a server that left being used again after SIGHUP: the table did not see that a list was full.
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, list_with("in_service"), full=True)
    table.receive(0.5, OLD, update(2, reset=True), full=False)
    assert table.state("s") is ProcessState.GONE
    table.receive(1.0, NEW, list_with("in_service"), full=True)
    assert table.state("s") is ProcessState.QUARANTINED


def test_a_quarantined_server_that_a_full_list_on_an_open_watch_leaves_out_is_gone_for_good():
    # Guards against the end of a quarantine restoring an entry that the current discovery has withdrawn.
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, list_with("in_service"), full=True)
    table.receive(0.1, OLD, list_with("terminating"), full=False)
    table.receive(1.0, NEW, list_with("in_service"), full=True)
    assert table.state("s") is ProcessState.QUARANTINED
    table.receive(2.0, NEW, update(3, reset=True), full=False)
    assert table.state("s") is ProcessState.GONE
    assert table.heartbeat(1000.0, NEW).update["instances"] == []
    assert table.state("s") is ProcessState.GONE


def test_an_entry_without_a_start_time_is_about_the_known_process():
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, list_with("in_service"), full=True)
    table.receive(0.1, OLD, update(2, {"instanceId": "s", "lifecycle": "terminating"}), full=False)
    table.receive(1.0, NEW, list_with("in_service"), full=True)
    assert table.state("s") is ProcessState.QUARANTINED


def test_tombstones_and_earlier_statements_are_bounded(monkeypatch):
    monkeypatch.setattr(process_table, "MAX_TOMBSTONES", 3)
    table = ProcessTable(OLD)
    for i in range(50):
        table.receive(0.0, OLD, update(i, entry(f"s{i}", "h:1", "terminated")), full=False)
    assert len(table.current_statements) == 3
    assert table.state("s49") is ProcessState.GONE
    table.receive(0.0, OLD, list_with("terminating"), full=False)
    for number in range(1, 50):
        source = DiscoverySource(f"d{number}:1", number, 100.0)
        table.receive(float(number), source, list_with("in_service"), full=True)
        assert table.state("s") is ProcessState.QUARANTINED
    assert len(table.earlier_statements["s"]) <= process_table.MAX_EARLIER_STATEMENTS


@pytest.mark.parametrize("malformed", [None, [], {}, {"instances": None}, "x"])
def test_a_malformed_list_raises_and_malformed_entries_pass_through(malformed):
    table = ProcessTable(OLD)
    with pytest.raises(ValueError):
        table.receive(0.0, OLD, malformed, full=True)
    items = [None, 7, [], {}, {"instanceId": 3, "lifecycle": []}, {"instanceId": "t", "startedAtMs": "x"}]
    result = table.receive(0.0, OLD, {"instances": items}, full=True)
    assert result.update["instances"] == items


MAX_LAG_S = 3.0  # the longest lag of a new discovery; the protocol allows 4 s after a migration
STEP_S = 0.5  # the time between two events


class RealServers:
    """The servers' real lifecycles, and the view of them that a discovery with a given lag has."""

    def __init__(self) -> None:
        self.changes: list[tuple[float, dict[str, str]]] = [
            (-100.0, {f"s{i}": "in_service" for i in range(3)})
        ]

    @property
    def now(self) -> dict[str, str]:
        return self.changes[-1][1]

    def change(self, at: float, name: str, lifecycle: str) -> None:
        self.changes.append((at, {**self.now, name: lifecycle}))

    def last_change_seen(self, at: float, lag: float) -> int:
        """Returns the index of the last change that a discovery with that lag has received."""
        return max(i for i, (when, _) in enumerate(self.changes) if when <= at - lag)

    def full_list(self, index: int, *, omits_draining: bool) -> dict:
        view = self.changes[index][1]
        return update(
            index,
            *(
                entry(name, "h:1", state)
                for name, state in view.items()
                if state == "in_service" or not omits_draining
            ),
            reset=True,
        )

    def change_at(self, index: int) -> dict:
        before, after = self.changes[index - 1][1], self.changes[index][1]
        return update(index, *(entry(n, "h:1", s) for n, s in after.items() if before[n] != s))


EVENTS = st.one_of(
    st.tuples(
        st.just("change"), st.sampled_from(["s0", "s1", "s2"]), st.sampled_from(["in_service", "terminating"])
    ),
    st.tuples(st.just("migrate"), st.floats(0, MAX_LAG_S), st.booleans()),
    st.tuples(st.just("pass"), st.just(0.0), st.booleans()),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(EVENTS, min_size=3, max_size=40))
def test_no_server_is_used_after_a_notified_drain_and_all_are_used_again_in_the_end(events):
    real_servers, table = RealServers(), ProcessTable(DiscoverySource("d0", 0))
    sources = {0: (DiscoverySource("d0", 0), 0.0)}  # each source with its lag, by sequence
    sent = {0: 0}  # the index of the last change that each source has sent, by sequence
    # The index of the last change that drained each server, whichever source sent it.
    notified_drains: dict[str, int] = {}
    used: set[str] = set()
    current, migrated_at, now = 0, -100.0, 0.0

    def apply(result, whole: bool) -> None:
        if whole:
            used.clear()
        for item in result.update["instances"]:
            (used.add if item["lifecycle"] == "in_service" else used.discard)(item["instanceId"])

    def receive_from(sequence: int) -> None:
        """Sends the discovery's changes one by one, and then a heartbeat."""
        source, lag = sources[sequence]
        lag = lag if now < migrated_at + 4.0 or sequence != current else 0.0
        while sent[sequence] < real_servers.last_change_seen(now, lag):
            sent[sequence] += 1
            index = sent[sequence]
            apply(table.receive(now, source, real_servers.change_at(index), full=False), False)
            for name, state in real_servers.changes[index][1].items():
                if state != "in_service" and real_servers.changes[index - 1][1][name] == "in_service":
                    notified_drains[name] = max(index, notified_drains.get(name, 0))
        apply(table.heartbeat(now, source), False)

    def check() -> None:
        """Asserts that no server is used that has been draining since its last notified drain."""
        for name, index in notified_drains.items():
            still_draining = all(view[name] != "in_service" for _, view in real_servers.changes[index:])
            assert not (still_draining and name in used), (now, name)

    apply(table.receive(now, sources[0][0], real_servers.full_list(0, omits_draining=False), full=True), True)
    for kind, what, how in [*events, *[("pass", 0.0, True)] * 16]:
        now += STEP_S
        if kind == "change":
            real_servers.change(now, what, how)
        elif kind == "migrate":
            former, current, migrated_at = current, current + 1, now
            sources[current] = (DiscoverySource(f"d{current}", current, now + 5.0), what)
            sent[current] = real_servers.last_change_seen(now, what)
            apply(
                table.receive(
                    now,
                    sources[current][0],
                    real_servers.full_list(sent[current], omits_draining=how),
                    full=True,
                ),
                True,
            )
            check()
            receive_from(former)  # the former source's watch is still open
            check()
        receive_from(current)
        check()
    assert used == {name for name, state in real_servers.now.items() if state == "in_service"}


def test_log_lines_name_the_source_its_statement_and_its_age():
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, list_with("terminating", version=43), full=True)
    quarantined = table.receive(1.0, NEW, list_with("in_service", version=42), full=True)
    assert describe_transitions(quarantined.transitions, 1.0) == [
        "draining -> held, said: s (old:1 v43 said draining, 1.0 s ago)"
    ]
    back = table.heartbeat(AFTER, NEW)
    assert describe_transitions(back.transitions, AFTER) == [
        "held -> in service, caught up: s (new:1 v42 said in service, 6.0 s ago)"
    ]
    many = update(50, *(entry(f"s{i}", "h:1") for i in range(8)))
    (line,) = describe_transitions(table.receive(AFTER, NEW, many, full=False).transitions, AFTER)
    assert line == "gone -> in service, said: s0, s1, s2, s3, s4, s5, 2 more"
    assert table.current_statements["s0"].lifecycle is Lifecycle.IN_SERVICE
