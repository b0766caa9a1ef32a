"""The table of server processes: its transition table, and any order of moves, lags, recalls and replays."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from harecross.discovery import process_table
from harecross.discovery.process_table import (
    REPLAY_SETTLE_S,
    DiscoverySource,
    ProcessState,
    ProcessTable,
    TransitionCause,
)
from harecross.discovery.wire_format import Lifecycle
from tests.node_support import entry, update

OLD, NEW = DiscoverySource("old:1", 0), DiscoverySource("new:1", 1, may_lag_until=5.0)
AFTER = 7.0  # the new discovery has caught up by then


def told(lifecycle: str, started: int = 5, version: int = 1) -> dict:
    return update(version, entry("s", "h:1", lifecycle, startedAtMs=started))


# Rows of the module's table: what the new discovery says, what the old one said (lifecycle and start), the state, and
# the start of the process that is used.
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
    ("in_service", ("a state never heard of", 5), ProcessState.QUARANTINED, None),
    ("in_service", ("terminated", 5), ProcessState.QUARANTINED, None),
    ("in_service", ("terminating", 6), ProcessState.QUARANTINED, None),
    ("in_service", ("in_service", 6), ProcessState.IN_SERVICE, 6),
]


def used_start(instances: list[dict]) -> int | None:
    """The start of the process that a list makes usable."""
    usable = [e["startedAtMs"] for e in instances if e["lifecycle"] == "in_service"]
    return usable[0] if usable else None


@pytest.mark.parametrize("present, earlier, state, started", ROWS)
def test_what_two_discoveries_say_amounts_to_what_the_table_says(present, earlier, state, started):
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, told(*earlier) if earlier else update(1), full=True)
    change = update(1) if present is None else told(present)
    outcome = table.receive(1.0, NEW, change, full=True)
    assert table.state("s") is state and used_start(outcome.update["instances"]) == started
    # The same if the old one says it after the hand-over, on the watch that it still holds open.
    if earlier and present:
        late = ProcessTable(OLD)
        late.receive(0.0, OLD, told("in_service", 1), full=True)
        late.receive(1.0, NEW, told(present), full=True)
        late.receive(1.1, OLD, told(*earlier), full=False)
        assert late.state("s") is state
    # And nothing of it is left once the new one has caught up.
    used = table.heartbeat(AFTER, NEW).update["instances"]
    assert table.state("s") is (ProcessState.IN_SERVICE if present == "in_service" else state)
    if state is ProcessState.QUARANTINED or (started or 5) > 5:
        assert used_start(used) == 5
    assert not table.earlier_statements and not table.heartbeat(AFTER + 1, NEW).update["instances"]


@pytest.mark.parametrize("behind_until, first_list", [(5.0, 1.0), (5.0, 4.5), (0.0, 1.0)])
def test_a_doubt_ends_with_the_first_word_after_the_new_discovery_has_caught_up_and_never_by_time(
    behind_until, first_list
):
    table, new = ProcessTable(OLD), DiscoverySource("new:1", 1, behind_until)
    table.receive(0.0, OLD, told("terminating"), full=True)
    table.receive(first_list, new, told("in_service"), full=True)
    ends = max(behind_until, first_list + REPLAY_SETTLE_S)
    assert (
        not table.heartbeat(ends - 0.01, new).update["instances"]
        and table.state("s") is ProcessState.QUARANTINED
    )
    assert (
        not table.heartbeat(ends + 60, OLD).update["instances"]
        and table.state("s") is ProcessState.QUARANTINED
    )
    outcome = table.heartbeat(ends, new)
    assert used_start(outcome.update["instances"]) == 5 and table.state("s") is ProcessState.IN_SERVICE
    (change,) = outcome.transitions
    assert (change.before, change.after, change.cause) == (
        ProcessState.QUARANTINED,
        ProcessState.IN_SERVICE,
        TransitionCause.CAUGHT_UP,
    )
    assert change.statement.stated_at == first_list and change.statement.source == new


def test_a_recall_that_the_old_discovery_tells_ends_its_own_objection_and_nobody_elses():
    table = ProcessTable(OLD)
    middle, last = DiscoverySource("middle:1", 1, 5.0), DiscoverySource("last:1", 2, 6.0)
    table.receive(0.0, OLD, told("terminating"), full=True)
    table.receive(1.0, middle, told("in_service"), full=True)
    assert used_start(table.receive(1.1, OLD, told("in_service"), full=False).update["instances"]) == 5
    table.receive(1.2, middle, told("terminating"), full=False)
    table.receive(2.0, last, told("in_service"), full=True)
    assert not table.receive(2.1, OLD, told("in_service"), full=False).update["instances"]
    assert table.state("s") is ProcessState.QUARANTINED
    assert used_start(table.receive(2.2, middle, told("in_service"), full=False).update["instances"]) == 5


def test_a_whole_list_of_the_old_discovery_that_leaves_a_server_out_says_it_is_gone():
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, told("in_service"), full=True)
    table.receive(0.5, OLD, update(2), full=True)
    table.receive(1.0, NEW, told("in_service"), full=True)
    assert table.state("s") is ProcessState.QUARANTINED
    late = ProcessTable(OLD)
    late.receive(0.0, OLD, told("in_service"), full=True)
    late.receive(1.0, NEW, told("in_service"), full=True)
    outcome = late.receive(1.2, OLD, update(2, reset=True), full=False)
    assert (
        late.state("s") is ProcessState.QUARANTINED
        and outcome.update["instances"][0]["lifecycle"] == "terminating"
    )


def test_a_line_that_names_only_the_server_and_its_drain_is_about_the_process_that_is_known():
    table = ProcessTable(OLD)
    table.receive(0.0, OLD, told("in_service"), full=True)
    table.receive(0.1, OLD, update(2, {"instanceId": "s", "lifecycle": "terminating"}), full=False)
    table.receive(1.0, NEW, told("in_service"), full=True)
    assert table.state("s") is ProcessState.QUARANTINED


def test_records_of_servers_gone_and_of_moves_in_a_row_are_bounded(monkeypatch):
    monkeypatch.setattr(process_table, "MAX_TOMBSTONES", 3)
    table = ProcessTable(OLD)
    for i in range(50):
        table.receive(0.0, OLD, update(i, entry(f"s{i}", "h:1", "terminated")), full=False)
    assert len(table.current_statements) == 3 and table.state("s49") is ProcessState.GONE
    table.receive(0.0, OLD, told("terminating"), full=False)
    for number in range(1, 50):
        source = DiscoverySource(f"d{number}:1", number, 100.0)
        table.receive(float(number), source, told("in_service"), full=True)
        assert table.state("s") is ProcessState.QUARANTINED
    assert len(table.earlier_statements["s"]) <= process_table.MAX_EARLIER_STATEMENTS


@pytest.mark.parametrize("odd", [None, [], {}, {"instances": None}, "x"])
def test_what_is_no_list_is_refused_and_odd_entries_pass_through(odd):
    table = ProcessTable(OLD)
    with pytest.raises(ValueError):
        table.receive(0.0, OLD, odd, full=True)
    items = [None, 7, [], {}, {"instanceId": 3, "lifecycle": []}, {"instanceId": "t", "startedAtMs": "x"}]
    outcome = table.receive(0.0, OLD, {"instances": items}, full=True)
    assert outcome.update["instances"] == items


# ---- any order, against what a server really is ---------------------------------------------------------

TELL_LAG_MOST = 3.0  # seconds that a new discovery is behind at most; the pages allow 4 after the move
STEP = 0.5  # seconds between two events
DAY = 120  # events
WORD_EVERY = 2.0  # seconds between two words of a watch


class Truth:
    """The real servers, and each discovery's view of them, which comes late by a lag of its own."""

    def __init__(self) -> None:
        self.changes: list[tuple[float, dict[str, str]]] = [
            (-100.0, {f"s{i}": "in_service" for i in range(3)})
        ]

    @property
    def now(self) -> dict[str, str]:
        return self.changes[-1][1]

    def change(self, at: float, name: str, lifecycle: str) -> None:
        self.changes.append((at, {**self.now, name: lifecycle}))

    def seen(self, at: float, lag: float) -> int:
        """The last change that a discovery with that lag knows of."""
        return max(i for i, (when, _) in enumerate(self.changes) if when <= at - lag)

    def whole(self, index: int, leaves_out: bool) -> dict:
        view = self.changes[index][1]
        return update(
            index,
            *(
                entry(name, "h:1", state)
                for name, state in view.items()
                if state == "in_service" or not leaves_out
            ),
            reset=True,
        )

    def step(self, index: int) -> dict:
        before, after = self.changes[index - 1][1], self.changes[index][1]
        return update(index, *(entry(n, "h:1", s) for n, s in after.items() if before[n] != s))


EVENTS = st.one_of(
    st.tuples(
        st.just("change"), st.sampled_from(["s0", "s1", "s2"]), st.sampled_from(["in_service", "terminating"])
    ),
    st.tuples(st.just("move"), st.floats(0, TELL_LAG_MOST), st.booleans()),
    st.tuples(st.just("pass"), st.just(0.0), st.booleans()),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(EVENTS, min_size=3, max_size=40))
def test_nothing_is_used_that_the_node_was_told_leaves_and_all_is_used_again_in_the_end(events):
    truth, table = Truth(), ProcessTable(DiscoverySource("d0", 0))
    sources = {0: (DiscoverySource("d0", 0), 0.0)}  # by number: who, and how far behind
    reached = {0: 0}  # the last change that each has told
    told_leaving: dict[str, int] = {}  # by server: the change by which it leaves, told by anybody
    used: set[str] = set()
    current, moved_at, now = 0, -100.0, 0.0

    def apply(outcome, whole: bool) -> None:
        if whole:
            used.clear()
        for item in outcome.update["instances"]:
            (used.add if item["lifecycle"] == "in_service" else used.discard)(item["instanceId"])

    def hear(number: int) -> None:
        """The discovery tells, change by change, what it knows by now, and that there is nothing more."""
        source, lag = sources[number]
        lag = lag if now < moved_at + 4.0 or number != current else 0.0
        while reached[number] < truth.seen(now, lag):
            reached[number] += 1
            index = reached[number]
            apply(table.receive(now, source, truth.step(index), full=False), False)
            for name, state in truth.changes[index][1].items():
                if state != "in_service" and truth.changes[index - 1][1][name] == "in_service":
                    told_leaving[name] = max(index, told_leaving.get(name, 0))
        apply(table.heartbeat(now, source), False)

    def check() -> None:
        """A server that leaves since the change by which the node was last told so must not be used."""
        for name, index in told_leaving.items():
            still = all(view[name] != "in_service" for _, view in truth.changes[index:])
            assert not (still and name in used), (now, name)

    apply(table.receive(now, sources[0][0], truth.whole(0, False), full=True), True)
    for kind, what, how in [*events, *[("pass", 0.0, True)] * 16]:
        now += STEP
        if kind == "change":
            truth.change(now, what, how)
        elif kind == "move":
            former, current, moved_at = current, current + 1, now
            sources[current] = (DiscoverySource(f"d{current}", current, now + 5.0), what)
            reached[current] = truth.seen(now, what)
            apply(
                table.receive(now, sources[current][0], truth.whole(reached[current], how), full=True), True
            )
            check()
            hear(former)  # it goes on telling for a moment
            check()
        hear(current)
        check()
    assert used == {name for name, state in truth.now.items() if state == "in_service"}


def test_the_words_of_the_log_name_who_said_what_and_when():
    from harecross.discovery.transition_log import describe

    table = ProcessTable(OLD)
    table.receive(0.0, OLD, told("terminating", version=43), full=True)
    held = table.receive(1.0, NEW, told("in_service", version=42), full=True)
    assert describe(held.transitions, 1.0) == [
        "draining -> held, said: s (old:1 v43 said draining, 1.0 s ago)"
    ]
    back = table.heartbeat(AFTER, NEW)
    assert describe(back.transitions, AFTER) == [
        "held -> in service, caught up: s (new:1 v42 said in service, 6.0 s ago)"
    ]
    many = update(50, *(entry(f"s{i}", "h:1") for i in range(8)))
    (line,) = describe(table.receive(AFTER, NEW, many, full=False).transitions, AFTER)
    assert line == "gone -> in service, said: s0, s1, s2, s3, s4, s5, 2 more"
    assert table.current_statements["s0"].lifecycle is Lifecycle.IN_SERVICE
