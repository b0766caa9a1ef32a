"""What proxies are told: drains at once, doubts within bounds, weights that do not flap, cold servers in steps."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from node_support import entry, update

from harecross.discovery import listed_endpoints
from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.xds.publish import HOLD, Health, Publisher, ServerView, urgent


def views(n: int = 4, **more) -> list[ServerView]:
    return [ServerView(f"s{i}", f"127.0.0.1:{i}", **more) for i in range(n)]


def test_a_drain_and_an_ejection_are_told_and_are_urgent():
    p = Publisher()
    before = p.decide(0, views())
    some = views()
    some[0], some[1] = replace(some[0], draining=True), replace(some[1], ejected=True)
    after = p.decide(1, some)
    assert [e.health for e in after] == [Health.DRAINING, Health.UNHEALTHY, Health.HEALTHY, Health.HEALTHY]
    assert urgent(before, after) and not urgent(after, after)


def test_a_weight_alone_is_not_urgent():
    p = Publisher()
    before = p.decide(0, views())
    after = p.decide(1, [replace(v, cost=1.0 + 3 * (v.name == "s0")) for v in views()])
    assert before != after and not urgent(before, after)


def test_our_doubts_never_empty_a_set():
    told = Publisher().decide(0, [replace(v, ejected=v.name != "s0") for v in views()])
    assert [(e.health, e.weight) for e in told] == [(Health.HEALTHY, 100)] + [(Health.HEALTHY, 10)] * 3
    half = Publisher().decide(0, [replace(v, ejected=v.name < "s2") for v in views()])
    assert [e.health for e in half] == [Health.UNHEALTHY] * 2 + [Health.HEALTHY] * 2


def test_a_list_that_suddenly_holds_almost_nothing_is_disbelieved_for_a_while():
    p = Publisher()
    p.decide(0, views(6))
    assert len(p.decide(1_000_000, views(1))) == 6
    assert len(p.decide(HOLD, views(1))) == 6
    assert len(p.decide(1_000_000 + HOLD, views(1))) == 1
    # One server that goes is believed at once, and so is any number that was said to drain.
    p = Publisher()
    p.decide(0, views(6))
    assert len(p.decide(1, views(5))) == 5
    p.decide(2, [replace(v, draining=True) for v in views(5)])
    assert p.decide(3, []) == []


def test_a_disbelieved_absence_ends_with_a_later_word_about_that_server():
    """What is held is a view of the moment in which it went: discovery's own word, or a new server there, ends it."""
    p = Publisher()
    p.decide(0, views(6))
    assert len(p.decide(1, views(1))) == 6
    assert {e.name for e in p.decide(2, views(1), ended={"s4"})} == {"s0", "s1", "s2", "s3", "s5"}
    newcomer = replace(views(3)[2], name="new")
    told = p.decide(3, [*views(1), newcomer])
    assert {e.name for e in told} == {"s0", "s1", "s3", "s5", "new"}, "s2's address is another's now"
    # What was said of them all at once is the doubt itself, and ends none.
    p = Publisher()
    p.decide(0, views(6))
    mass = {f"s{i}" for i in range(1, 6)}
    assert len(p.decide(1, views(1), ended=mass)) == len(p.decide(2, views(1), ended=mass)) == 6


def test_a_roster_knows_whom_discovery_has_said_to_be_gone_until_it_lists_them_again(monkeypatch):
    roster = ListedEndpoints()
    roster.apply(update(1, entry("a", "h:1"), entry("b", "h:2")), full=True, cached=False)
    roster.apply(update(2, entry("a", "h:1", "terminated")), full=False, cached=False)
    roster.apply(update(3, entry("b", "h:2"), reset=True), full=True, cached=False)
    assert set(roster.ended) == {"a"} and set(roster.entries) == {"b"}
    roster.apply(update(4, entry("a", "h:1")), full=False, cached=False)
    assert not roster.ended
    monkeypatch.setattr(listed_endpoints, "MAX_ENDED", 3)
    for i in range(20):
        roster.apply(update(i, entry(f"x{i}", "h:3", "terminated")), full=False, cached=False)
    assert list(roster.ended) == ["x17", "x18", "x19"]


def test_a_weight_that_hovers_is_told_once():
    p, rng = Publisher(), Random(1)
    p.decide(0, views())
    changes = 0
    last = p.told
    for now in range(1, 500):
        p.decide(now, [replace(v, cost=1.0 + 0.06 * rng.uniform(-1, 1)) for v in views()])
        changes += p.told != last
        last = p.told
    assert changes == 0
    assert p.decide(501, [replace(v, cost=2.0 if v.name == "s0" else 1.0) for v in views()])[0].weight < 80


def test_a_cold_server_is_brought_up_in_steps_that_stay_under_its_part():
    p = Publisher()
    seen = set()
    for percent in range(40, 101):
        warmth = percent / 100
        told = p.decide(percent, [replace(v, warmth=warmth if v.name == "s0" else 1.0) for v in views()])
        weight = told[0].weight
        assert weight <= max(warmth, 0.125) * told[1].weight
        seen.add(weight)
    assert sorted(seen) == [25, 50, 75, 100]


def test_a_cheap_cold_server_gets_no_more_than_a_warm_one_of_mean_cost():
    told = Publisher().decide(
        0, [replace(v, cost=0.1 if v.name == "s0" else 1.0, warmth=0.5) for v in views()]
    )
    assert told[0].weight <= 50
