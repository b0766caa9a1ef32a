"""Several sources: the rule against its table in the docs, and the ledger through seeded days of failing sources."""

from __future__ import annotations

import re
from collections import Counter
from itertools import combinations_with_replacement, product
from pathlib import Path
from random import Random

import pytest

from harecross.sources.ledger import Credit, Ledger, Limits, Priorities, Stated
from harecross.sources.rule import Evidence, Line, Outcome, Word, decide

TABLE = Path(__file__).parent.parent / "docs" / "design-sources.md"
DROPS = {"new no", "flap no", "no", "mass no"}

# The conditions of the table, in its own words.
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
    assert len(rows) == len(Line)
    return rows


def by_the_table(rows, evidence) -> tuple[str, str]:
    for number, some, and_, outcome in rows:
        there = not some or any(w == some or (some == "drop" and w in DROPS) for _, w in evidence)
        if there and CONDITIONS[and_](evidence):
            return outcome, number
    raise AssertionError("no line of the table holds")


def test_every_combination_of_three_sources_has_the_outcome_of_the_table():
    rows, lines = table(), Counter()
    for count in (1, 2, 3):
        for words in product(Word, repeat=count):
            for ranks in combinations_with_replacement(range(count), count):
                evidence = [Evidence(r, w) for r, w in zip(ranks, words, strict=True)]
                outcome, line = decide(evidence)
                told = [(e.rank, str(e.word)) for e in evidence]
                assert by_the_table(rows, told) == (str(outcome), line.split(" ")[0]), evidence
                lines[line] += 1
                assert decide(evidence[::-1]) == (outcome, line), "the order of sources is nothing"
                if set(words) <= {Word.SILENT, Word.OLD_YES}:
                    assert outcome != Outcome.GONE, "failures alone take nothing out"
                if Word.DRAIN in words:
                    assert outcome == Outcome.DRAIN
    assert set(lines) == set(Line)


def used(ledger: Ledger, now: float) -> set[str]:
    return {a for a, box in ledger.settle(now).items() if box.used}


def of(*addresses: str, draining: str = "") -> list[Stated]:
    return [Stated(a, f"n-{a}", draining=a in draining.split()) for a in addresses]


def both(limits: Limits | None = None) -> Ledger:
    ledger = Ledger(limits)
    ledger.add("watch", 0)
    ledger.add("srv", 1)
    return ledger


ALL = [f"10.0.0.{i}:80" for i in range(10)]


@pytest.mark.parametrize("first", ["watch", "srv"])
def test_a_release_out_of_step_by_half_a_minute_takes_nothing_out_and_in_again(first):
    ledger, second = both(), "srv" if first == "watch" else "watch"
    for name in (first, second):
        ledger.told(0, name, of(*ALL))
    lists, seen = {first: list(ALL), second: list(ALL)}, []
    for i in range(3):  # each old box goes, and a new one comes, in one source 30 s before the other
        for at, name in ((100 * i, first), (100 * i + 30, second)):
            lists[name] = [a for a in lists[name] if a != ALL[i]] + [f"10.1.0.{i}:80"]
            ledger.told(at, name, of(*lists[name]))
            seen.append(used(ledger, at))
            assert len(seen[-1]) >= 10 and f"10.1.0.{i}:80" in seen[-1]
        assert ALL[i] not in seen[-1], "gone once both have dropped it"


@pytest.mark.parametrize("liar", ["watch", "srv"])
def test_a_source_that_lists_half_is_not_believed_while_the_other_lists_all(liar):
    ledger = both()
    for name in ("watch", "srv"):
        ledger.told(0, name, of(*ALL))
    ledger.told(10, liar, of(*ALL[:5]))
    for now in (10, 60, 100, 4000):
        assert used(ledger, now) == set(ALL), now
        ledger.told(now + 1, liar, of(*ALL[:5]))
    # Alone it is believed: nobody says otherwise.
    other = "srv" if liar == "watch" else "watch"
    ledger.remove(other)
    assert used(ledger, 4001) == set(ALL[:5])


def test_one_box_dropped_goes_by_rank_once_the_time_to_disagree_is_over():
    for dropping, stays in (("watch", False), ("srv", True)):
        ledger = both()
        for name in ("watch", "srv"):
            ledger.told(0, name, of(*ALL))
        ledger.told(10, dropping, of(*ALL[1:]))
        assert ALL[0] in used(ledger, 69) and (ALL[0] in used(ledger, 71)) == stays
        line = ledger.evidence(ALL[0], 71)
        assert {e.word for e in line.values()} == {Word.YES, Word.NO}


def test_a_drain_from_any_source_wins_until_that_source_takes_it_back():
    ledger = both()
    ledger.told(0, "watch", of(*ALL))
    ledger.told(0, "srv", of(*ALL, draining=ALL[0]))
    assert ALL[0] not in used(ledger, 0)
    ledger.worth("srv", Credit.STALE)
    ledger.told(5, "watch", of(*ALL))
    assert ALL[0] not in used(ledger, 5) and ledger.boxes[ALL[0]].outcome == Outcome.DRAIN
    ledger.told(6, "srv", of(*ALL))
    assert ALL[0] in used(ledger, 6)
    # What operators hold out is out by its name, whatever sources say.
    ledger.hold({f"n-{ALL[0]}"})
    assert ALL[0] not in used(ledger, 7)
    ledger.hold(())
    assert ALL[0] in used(ledger, 8) and len(ledger.boxes[ALL[0]].changes) <= 5


def test_sources_added_and_removed_lose_no_box_that_another_names():
    ledger = both()
    ledger.told(0, "watch", of(*ALL[:6]))
    ledger.told(0, "srv", of(*ALL[4:]))
    assert used(ledger, 0) == set(ALL), "each speaks of boxes of its own"
    ledger.add("file", 2)
    assert used(ledger, 1) == set(ALL)
    ledger.remove("srv")
    assert used(ledger, 2) == set(ALL[:6])
    two = [
        Stated(ALL[0], "a", weight=2.0),
        Stated(ALL[0], "b", weight=5.0),
        Stated(ALL[0], "c", priority=1, weight=9),
    ]
    ledger.told(3, "file", two)
    assert ledger.sources["file"].listed[ALL[0]].name == "b"


def test_through_seeded_days_failures_never_empty_the_list_and_drained_boxes_get_nothing():
    """Three sources fail, lie, lag and flap; the true set changes slowly. Checked after every step."""
    seen: Counter[str] = Counter()
    for seed in range(250):
        rng = Random(seed)
        ledger = Ledger(Limits(step_s=60))
        names = ["watch", "srv", "file"][: rng.choice([1, 2, 3])]
        for rank, name in enumerate(names):
            ledger.add(name, rank)
        true, drained, count = [f"b{i}:1" for i in range(12)], set(), 12
        state = dict.fromkeys(names, "good")
        lag: dict[str, list[str]] = {n: list(true) for n in names}
        for n in names:
            ledger.told(0, n, of(*true))
        before = used(ledger, 0)
        for step in range(1, 120):
            now = step * 10.0
            for n in names:
                if rng.random() < 0.05:
                    state[n] = rng.choice(["good", "good", "stale", "lost", "half", "flap", "lag"])
            if rng.random() < 0.1:
                true[rng.randrange(len(true))] = f"b{count}:1"
                count += 1
            if rng.random() < 0.1:
                drained ^= {rng.choice(true)}
            drained &= set(true)
            for n in names:
                seen[state[n]] += 1
                if state[n] in ("stale", "lost"):
                    ledger.worth(n, Credit.STALE if state[n] == "stale" else Credit.LOST)
                    continue
                if state[n] != "lag":
                    lag[n] = list(true)
                told = lag[n][:6] if state[n] == "half" or (state[n] == "flap" and step % 2) else lag[n]
                ledger.told(now, n, of(*told, draining=" ".join(drained)))
            after = used(ledger, now)
            speaking = [n for n in names if ledger.sources[n].credit == Credit.FRESH]
            for address in after:
                assert not any(
                    address in s.drains and s.credit != Credit.LOST for s in ledger.sources.values()
                )
            if not speaking:
                # Only what a drain that has lost its source held out may come in.
                assert before <= after, (seed, step, "failures alone took something out")
            good = [n for n in names if state[n] == "good"]
            if good and len(names) > 1:
                missing = {a for a in true if a not in drained} - after
                hidden = {a for s in ledger.sources.values() for a in s.drains}
                rank = min(ledger.sources[n].rank for n in good)
                if rank == 0:
                    assert not missing - hidden, (
                        seed,
                        step,
                        "the source that ranks first is right, and lists them",
                    )
            before = after
    assert min(seen.values()) > 500, seen


def test_next_priorities_come_in_under_one_share_and_go_above_another():
    priorities = Priorities()
    assert priorities.used({0: (10, 10), 1: (5, 5)}) == [0]
    assert priorities.used({0: (4, 10), 1: (5, 5), 2: (1, 1)}) == [0, 1]
    for good in (5, 6, 5, 6):  # near a bound nothing swings
        assert priorities.used({0: (good, 10), 1: (5, 5)}) == [0, 1]
    assert priorities.used({0: (7, 10), 1: (5, 5)}) == [0]
    assert priorities.used({0: (5, 10), 1: (5, 5)}) == [0]
    assert priorities.used({0: (0, 0), 1: (0, 3), 2: (1, 1)}) == [0, 1, 2]
    with pytest.raises(ValueError):
        Priorities(0.7, 0.7)
