"""Tests the merge rule against its table in the docs, and the reconciler with sources that fail in many ways."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator
from itertools import combinations_with_replacement, product
from pathlib import Path
from random import Random

import pytest

from harecross.sources.priorities import Health, PriorityOverflow
from harecross.sources.reconciler import MembershipReconciler
from harecross.sources.rule import Evidence, ListingStatus, MergeDecision, RuleLine, decide
from harecross.sources.source import Confidence, MergeLimits, Statement

TABLE = Path(__file__).parent.parent / "docs" / "design-sources.md"
DROPS = {"new no", "flap no", "no", "mass no"}

# The conditions in the table, by their text.
CONDITIONS = {
    "": lambda e: True,
    "no drop": lambda e: not any(w in DROPS for _, w in e),
    "new no or flap no": lambda e: any(w in ("new no", "flap no") for _, w in e),
    "the best rank of a flap no is lower than that of every no": lambda e: all(
        min(r for r, w in e if w == "flap no") < rank for rank, w in e if w == "no"
    ),
    "every drop is a mass no": lambda e: all(w == "mass no" for _, w in e if w in DROPS),
    "the best rank of a yes is lower than that of every no": lambda e: all(
        min(r for r, w in e if w == "yes") < rank for rank, w in e if w == "no"
    ),
    "no drop is a no": lambda e: not any(w == "no" for _, w in e),
}


def table() -> list[tuple[str, str, str, str]]:
    rows = re.findall(r"^\| (\d+) \| ?(.*?) ?\| ?(.*?) ?\| (\w+) \|$", TABLE.read_text(), re.M)
    assert len(rows) == len(RuleLine)
    return rows


def decide_by_table(rows, evidence) -> tuple[str, str]:
    for number, status, condition, decision in rows:
        applies = not status or any(
            listing == status or (status == "drop" and listing in DROPS) for _, listing in evidence
        )
        if applies and CONDITIONS[condition](evidence):
            return decision, number
    raise AssertionError("no line of the table applies")


def combinations() -> Iterator[list[Evidence]]:
    """Yields every combination of statuses in one, two or three sources, with every order of their ranks."""
    for count in (1, 2, 3):
        for statuses in product(ListingStatus, repeat=count):
            for ranks in combinations_with_replacement(range(count), count):
                yield [Evidence(rank, status) for rank, status in zip(ranks, statuses, strict=True)]


def test_every_combination_of_three_sources_is_decided_as_in_the_table():
    rows, lines = table(), Counter()
    for evidence in combinations():
        verdict = decide(evidence)
        stated = [(item.rank, str(item.status)) for item in evidence]
        assert decide_by_table(rows, stated) == (str(verdict.decision), verdict.line.split(" ")[0]), evidence
        lines[verdict.line] += 1
    assert set(lines) == set(RuleLine)


def test_the_order_of_sources_does_not_matter():
    for evidence in combinations():
        assert decide(evidence[::-1]) == decide(evidence)


def test_failures_of_sources_alone_remove_no_endpoint():
    failures = {ListingStatus.UNKNOWN, ListingStatus.STALE_LISTED}
    for evidence in combinations():
        if {item.status for item in evidence} <= failures:
            assert decide(evidence).decision != MergeDecision.REMOVE


def test_a_drain_overrides_all_other_statements():
    for evidence in combinations():
        if any(item.status == ListingStatus.DRAINING for item in evidence):
            assert decide(evidence).decision == MergeDecision.DRAIN


def in_service(reconciler: MembershipReconciler, now: float) -> set[str]:
    return {a for a, endpoint in reconciler.reconcile(now).items() if endpoint.in_service}


def statements(*addresses: str, draining: str = "") -> list[Statement]:
    return [Statement(a, f"n-{a}", draining=a in draining.split()) for a in addresses]


def watch_and_srv(limits: MergeLimits | None = None) -> MembershipReconciler:
    reconciler = MembershipReconciler(limits)
    reconciler.add_source("watch", 0)
    reconciler.add_source("srv", 1)
    return reconciler


def watch_and_srv_with(*addresses: str) -> MembershipReconciler:
    """Returns a reconciler whose two sources both list these addresses at time 0."""
    reconciler = watch_and_srv()
    for name in ("watch", "srv"):
        reconciler.update_source(0, name, statements(*addresses))
    return reconciler


ALL = [f"10.0.0.{i}:80" for i in range(10)]


@pytest.mark.parametrize("first", ["watch", "srv"])
def test_sources_that_differ_by_30_s_during_a_release_remove_no_endpoint_that_is_still_listed(first):
    reconciler, second = watch_and_srv_with(*ALL), "srv" if first == "watch" else "watch"
    lists, seen = {first: list(ALL), second: list(ALL)}, []
    # At each step, one endpoint is replaced by a new one, in one source 30 s before the other.
    for i in range(3):
        for at, name in ((100 * i, first), (100 * i + 30, second)):
            lists[name] = [a for a in lists[name] if a != ALL[i]] + [f"10.1.0.{i}:80"]
            reconciler.update_source(at, name, statements(*lists[name]))
            seen.append(in_service(reconciler, at))
            assert len(seen[-1]) >= 10
            assert f"10.1.0.{i}:80" in seen[-1]
        assert ALL[i] not in seen[-1], "still in service after both sources dropped it"


@pytest.mark.parametrize("partial", ["watch", "srv"])
def test_a_source_that_lists_half_removes_nothing_while_the_other_lists_all(partial):
    reconciler = watch_and_srv_with(*ALL)
    reconciler.update_source(10, partial, statements(*ALL[:5]))
    for now in (10, 60, 100, 4000):
        assert in_service(reconciler, now) == set(ALL), now
        reconciler.update_source(now + 1, partial, statements(*ALL[:5]))


@pytest.mark.parametrize("partial", ["watch", "srv"])
def test_a_source_that_lists_half_counts_once_it_is_the_only_one(partial):
    reconciler = watch_and_srv_with(*ALL)
    reconciler.update_source(10, partial, statements(*ALL[:5]))
    for now in (10, 60, 100, 4000):
        in_service(reconciler, now)
        reconciler.update_source(now + 1, partial, statements(*ALL[:5]))
    reconciler.remove_source("srv" if partial == "watch" else "watch")
    assert in_service(reconciler, 4001) == set(ALL[:5])


@pytest.mark.parametrize(("dropping", "stays"), [("watch", False), ("srv", True)])
def test_the_better_rank_decides_on_a_dropped_endpoint_once_the_grace_period_is_over(dropping, stays):
    reconciler = watch_and_srv_with(*ALL)
    reconciler.update_source(10, dropping, statements(*ALL[1:]))
    assert ALL[0] in in_service(reconciler, 69)
    assert (ALL[0] in in_service(reconciler, 71)) == stays
    evidence = reconciler.evidence(ALL[0], 71)
    assert {item.status for item in evidence.values()} == {ListingStatus.LISTED, ListingStatus.DROPPED}


def test_a_drain_by_any_source_lasts_until_that_source_ends_it():
    reconciler = watch_and_srv()
    reconciler.update_source(0, "watch", statements(*ALL))
    reconciler.update_source(0, "srv", statements(*ALL, draining=ALL[0]))
    assert ALL[0] not in in_service(reconciler, 0)
    reconciler.set_confidence("srv", Confidence.STALE)
    reconciler.update_source(5, "watch", statements(*ALL))
    assert ALL[0] not in in_service(reconciler, 5)
    assert reconciler.endpoints[ALL[0]].verdict.decision == MergeDecision.DRAIN
    reconciler.update_source(6, "srv", statements(*ALL))
    assert ALL[0] in in_service(reconciler, 6)


def test_maintenance_by_name_overrides_every_source():
    reconciler = watch_and_srv_with(*ALL)
    assert ALL[0] in in_service(reconciler, 6)
    reconciler.set_maintenance({f"n-{ALL[0]}"})
    assert ALL[0] not in in_service(reconciler, 7)
    reconciler.set_maintenance(())
    assert ALL[0] in in_service(reconciler, 8)


def test_an_endpoint_keeps_its_last_five_changes():
    reconciler = watch_and_srv_with(*ALL)
    for now in range(1, 21):
        drained = ALL[0] if now % 2 else ""
        reconciler.update_source(now, "srv", statements(*ALL, draining=drained))
        reconciler.reconcile(now)
    changes = reconciler.endpoints[ALL[0]].changes
    assert [change.at for change in changes] == [16, 17, 18, 19, 20]


def test_an_added_source_removes_no_endpoint():
    reconciler = watch_and_srv()
    reconciler.update_source(0, "watch", statements(*ALL[:6]))
    reconciler.update_source(0, "srv", statements(*ALL[4:]))
    assert in_service(reconciler, 0) == set(ALL), "an endpoint that only one source lists is missing"
    reconciler.add_source("file", 2)
    assert in_service(reconciler, 1) == set(ALL)


def test_removing_a_source_removes_only_endpoints_that_no_other_source_lists():
    reconciler = watch_and_srv()
    reconciler.update_source(0, "watch", statements(*ALL[:6]))
    reconciler.update_source(0, "srv", statements(*ALL[4:]))
    assert in_service(reconciler, 0) == set(ALL)
    reconciler.remove_source("srv")
    assert in_service(reconciler, 2) == set(ALL[:6])


def test_of_several_statements_at_an_address_the_lowest_priority_and_largest_weight_count():
    reconciler = watch_and_srv()
    same_address = [
        Statement(ALL[0], "a", weight=2.0),
        Statement(ALL[0], "b", weight=5.0),
        Statement(ALL[0], "c", priority=1, weight=9),
    ]
    reconciler.update_source(3, "srv", same_address)
    assert reconciler.sources["srv"].listed[ALL[0]].name == "b"


def test_failing_sources_remove_no_endpoint_and_draining_endpoints_are_out_of_service():
    """Simulates up to three sources, which fail, list a part, lag and flap while the actual set changes slowly.

    The conditions are checked after every step of each run.
    """
    seen: Counter[str] = Counter()
    for seed in range(250):
        rng = Random(seed)
        reconciler = MembershipReconciler(MergeLimits(grace_s=60))
        names = ["watch", "srv", "file"][: rng.choice([1, 2, 3])]
        for rank, name in enumerate(names):
            reconciler.add_source(name, rank)
        actual, drained, count = [f"b{i}:1" for i in range(12)], set(), 12
        states = dict.fromkeys(names, "good")
        lagging: dict[str, list[str]] = {name: list(actual) for name in names}
        for name in names:
            reconciler.update_source(0, name, statements(*actual))
        before = in_service(reconciler, 0)
        for step in range(1, 120):
            now = step * 10.0
            for name in names:
                if rng.random() < 0.05:
                    states[name] = rng.choice(["good", "good", "stale", "lost", "half", "flap", "lag"])
            if rng.random() < 0.1:
                actual[rng.randrange(len(actual))] = f"b{count}:1"
                count += 1
            if rng.random() < 0.1:
                drained ^= {rng.choice(actual)}
            drained &= set(actual)
            for name in names:
                state = states[name]
                seen[state] += 1
                if state in ("stale", "lost"):
                    reconciler.set_confidence(name, Confidence.STALE if state == "stale" else Confidence.LOST)
                    continue
                if state != "lag":
                    lagging[name] = list(actual)
                half = state == "half" or (state == "flap" and step % 2)
                listed = lagging[name][:6] if half else lagging[name]
                reconciler.update_source(now, name, statements(*listed, draining=" ".join(drained)))
            after = in_service(reconciler, now)
            sources = reconciler.sources.values()
            for address in after:
                assert not any(address in s.draining and s.confidence != Confidence.LOST for s in sources)
            if not any(source.confidence == Confidence.FRESH for source in sources):
                # An endpoint may be added, when the source that drained it is lost.
                assert before <= after, (seed, step, "failures alone removed an endpoint")
            good = [name for name in names if states[name] == "good"]
            if good and len(names) > 1 and min(reconciler.sources[name].rank for name in good) == 0:
                missing = {a for a in actual if a not in drained} - after
                hidden = {a for source in sources for a in source.draining}
                assert not missing - hidden, (seed, step, "a listed endpoint is missing")
            before = after
    assert min(seen.values()) > 500, seen


def health(*counts: tuple[int, int]) -> dict[int, Health]:
    """Returns the health by priority, from pairs of the numbers of healthy endpoints and all endpoints."""
    return {priority: Health(*count) for priority, count in enumerate(counts)}


def test_a_healthy_first_priority_is_used_alone():
    assert PriorityOverflow().in_use(health((10, 10), (5, 5))) == [0]


def test_the_next_priority_is_used_below_the_enter_share_and_until_the_leave_share():
    overflow = PriorityOverflow()
    assert overflow.in_use(health((4, 10), (5, 5), (1, 1))) == [0, 1]
    for healthy in (5, 6, 5, 6):  # between the two shares, nothing changes
        assert overflow.in_use(health((healthy, 10), (5, 5))) == [0, 1]
    assert overflow.in_use(health((7, 10), (5, 5))) == [0]
    assert overflow.in_use(health((5, 10), (5, 5))) == [0]


def test_every_priority_is_used_while_those_before_it_are_down():
    assert PriorityOverflow().in_use(health((0, 0), (0, 3), (1, 1))) == [0, 1, 2]


def test_an_overflow_without_hysteresis_is_rejected():
    with pytest.raises(ValueError):
        PriorityOverflow(0.7, 0.7)
