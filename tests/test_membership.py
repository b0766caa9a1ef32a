"""From several sources to one list: what is kept on disk, files, priorities, and many virtual days of failures."""

import os
from collections import Counter
from random import Random

import pytest

pytest.importorskip("dns")

from harecross.dns.lifetime import Lifetimes, Name, Standing
from harecross.dns.srv import Endpoint, Found
from harecross.sources import keep
from harecross.sources.files import BadFile, parse
from harecross.sources.ledger import Credit, Ledger, Limits, Priorities
from harecross.sources.membership import WATCH, Membership, stated_by_dns

SETS = {
    "_a._tcp.example.org": keep.Kept(Found((Endpoint(0, "t.", "10.0.0.1", 80, 5),), 30.0), 1000.0, 1030.0),
    "_b._tcp.example.org": keep.Kept(Found((Endpoint(1, "u.", "::1", 81, 0),), 5.0), 1001.0, 1006.0),
}


# ---- kept sets ----------------------------------------------------------------------------------------------


def test_a_kept_file_cut_or_spoilt_at_any_byte_is_refused_whole():
    data = keep.to_bytes(SETS)
    assert keep.from_bytes(data) == SETS
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]):
            with pytest.raises(keep.BadKept):
                keep.from_bytes(bad)


def test_a_kill_at_any_step_of_writing_leaves_the_old_file_or_the_new_one(tmp_path, monkeypatch):
    """The writer dies before its n-th call to the system, whatever that is, a write of half the bytes among them."""
    path = str(tmp_path / "kept")
    new = {"_a._tcp.example.org": SETS["_b._tcp.example.org"]}
    real = {name: getattr(os, name) for name in ("open", "write", "fsync", "close", "replace")}
    ends = Counter()
    for dies_at in range(40):
        keep.write(path, SETS)
        calls = 0

        def step(name, dies_at=dies_at):
            def dying(*args, **more):
                nonlocal calls
                calls += 1
                if name == "write":
                    args = (args[0], args[1][:37])
                if calls > dies_at:
                    raise KeyboardInterrupt
                return real[name](*args, **more)

            return dying

        for name in real:
            monkeypatch.setattr(os, name, step(name))
        try:
            keep.write(path, new)
            ends["done"] += 1
        except KeyboardInterrupt:
            pass
        monkeypatch.undo()
        found = keep.read(path)
        assert found in (SETS, new), dies_at
        ends["new" if found == new else "old"] += 1
    assert ends["old"] > 5 and ends["new"] > 5 and ends["done"], ends


def test_a_clock_set_back_makes_no_kept_set_young():
    kept = SETS["_a._tcp.example.org"]
    assert kept.age(1040.0) == (40.0, 10.0)
    assert kept.age(0.0) == (0.0, 0.0)
    name = Name(Lifetimes(), Random(1), 0.0)
    name.restore(0.0, kept.found, 0.0, -0.001)
    assert name.view(0.0).standing == Standing.STALE and name.due(0.0)


# ---- files of addresses -------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("10.0.0.1:80\n10.0.0.2\n", "line 2"),
        ("10.0.0.1:80\n10.0.0.2:8", "line 2: does not end"),
        ("10.0.0.1:0\n", "port 0"),
        ("10.0.0.1:80 weight=0\n", "weight"),
        ("10.0.0.1:80 weight=nan\n", "weight"),
        ("10.0.0.1:80 priority=-1\n", "priority"),
        ("10.0.0.1:80 drian\n", "drian"),
        ("10.0.0.1:80 zone=\n", "zone="),
    ],
)
def test_a_bad_line_spoils_the_whole_file_and_is_named(text, why):
    with pytest.raises(BadFile, match=why):
        parse(text)


def test_a_file_says_weight_priority_zone_name_and_drain():
    one, two = parse(
        "# boxes\n10.0.0.1:80 weight=2.5 priority=1 name=b-1 zone=x # fast\n\n[::1]:81 drain\n", "z", 3
    )
    assert (one.address, one.name, one.zone, one.weight, one.priority, one.draining) == (
        "10.0.0.1:80", "b-1", "x", 2.5, 4, False,
    )  # fmt: skip
    assert (two.address, two.zone, two.draining) == ("[::1]:81", "z", True)


# ---- weights and priorities ---------------------------------------------------------------------------------


def test_weights_compare_within_a_priority_and_priorities_within_a_name():
    found = stated_by_dns(
        [
            Endpoint(20, "a.", "10.0.0.1", 80, 30),
            Endpoint(20, "b.", "10.0.0.2", 80, 10),
            Endpoint(20, "c.", "10.0.0.3", 80, 0),
            Endpoint(30, "d.", "::1", 80, 0),
            Endpoint(30, "e.", "10.0.0.5", 80, 0),
        ],
        offset=2,
    )
    got = {s.address: (s.priority, round(s.weight, 3)) for s in found}
    assert got == {
        "10.0.0.1:80": (2, 2.25), "10.0.0.2:80": (2, 0.75), "10.0.0.3:80": (2, 0.05), "[::1]:80": (3, 1.0),
        "10.0.0.5:80": (3, 1.0),
    }  # fmt: skip


class Told:
    """A host's directory, as far as a list goes: who is in service."""

    def __init__(self) -> None:
        self.up: dict[str, dict] = {}
        self.tells = 0

    def __call__(self, update, cached=False, full=False) -> None:
        self.tells += 1
        if full or cached or update.get("reset"):
            self.up = {}
        for line in update["instances"]:
            if line["lifecycle"] == "in_service":
                self.up[line["instanceId"]] = line
            else:
                self.up.pop(line["instanceId"], None)


def listed(*names: str, draining: str = "", started: int = 0) -> dict:
    lines = [
        {
            "instanceId": f"id-{n}",
            "hostPort": f"10.0.0.{n}:80",
            "lifecycle": "terminating" if n in draining.split() else "in_service",
            "startedAtMs": started,
        }
        for n in names
    ]
    return {"generation": 1, "reset": True, "instances": lines}


def at(*names: str, priority: int = 0) -> tuple[Endpoint, ...]:
    return tuple(Endpoint(priority, f"box{n}.", f"10.0.0.{n}", 80, 1) for n in names)


def test_the_next_priority_comes_in_while_the_first_is_short_of_healthy_boxes():
    told = Told()
    m = Membership(told, priorities=Priorities(0.5, 0.7), watch_rank=None)
    m.ledger.add("srv:x", 1)
    sick: set[str] = set()
    m.sick = lambda: sick
    m.told(0, "srv:x", stated_by_dns([*at("1", "2", "3", "4"), *at("5", "6", priority=9)]))
    m.settle(0, 0)
    first, spare = {f"10.0.0.{i}:80" for i in range(1, 5)}, {"10.0.0.5:80", "10.0.0.6:80"}
    assert set(told.up) == first
    for count, wanted in ((2, first), (3, first | spare), (2, first | spare), (1, first)):
        sick.clear()
        sick.update(sorted(first)[:count])
        m.settle(1, 1)
        assert set(told.up) == wanted, "in under a half, out at seven tenths"
    m.held = lambda: sorted(first)[:3]
    m.settle(2, 2)
    assert spare <= set(told.up), "what operators hold out is missing too"


def test_a_box_in_two_names_has_the_weight_of_the_one_that_ranks_higher():
    told = Told()
    m = Membership(told, watch_rank=None)
    for name, rank in (("srv:a", 2), ("srv:b", 1)):
        m.ledger.add(name, rank)
    m.told(
        0,
        "srv:a",
        stated_by_dns([Endpoint(0, "x.", "10.0.0.1", 80, 30), Endpoint(0, "y.", "10.0.0.2", 80, 10)]),
    )
    m.told(
        0,
        "srv:b",
        stated_by_dns([Endpoint(0, "z.", "10.0.0.1", 80, 10), Endpoint(0, "y.", "10.0.0.3", 80, 30)]),
    )
    m.settle(0, 0)
    assert told.up["10.0.0.1:80"]["weight"] == 0.5 and len(told.up) == 3
    assert m.resolve("x:80") == m.resolve("z:80") == "10.0.0.1:80", "one box, by both its names"
    m.ledger.add("srv:a", 0)  # a reload gives it the better rank
    m.settle(1, 1)
    assert told.up["10.0.0.1:80"]["weight"] == 1.5


def test_a_resolver_dead_for_an_hour_is_asked_seldom_and_takes_nothing_out():
    name, now, asked = Name(Lifetimes(), Random(4), 0.0), 0.0, 0
    name.answered(0.0, Found(at("1", "2"), 5.0))
    told = Told()
    m = Membership(told, watch_rank=None)
    m.ledger.add("srv:x", 1)
    m.told(0, "srv:x", stated_by_dns(name.view(0.0).endpoints))
    while now < 3600:
        now += 0.5
        if name.due(now):
            asked += 1
            name.could_not(now, "no answer in time")
        if name.view(now).standing == Standing.STALE:
            m.worth("srv:x", Credit.STALE)
        m.settle(now, now)
        assert len(told.up) == 2
    assert 100 < asked < 300, "each half minute, drawn"
    name.answered(now, Found(at("2", "3"), 5.0))
    m.told(now, "srv:x", stated_by_dns(name.view(now).endpoints))
    m.settle(now, now)
    assert set(told.up) == {"10.0.0.2:80", "10.0.0.3:80"}


def test_a_start_takes_nothing_out_before_every_source_has_spoken_or_had_its_time():
    told = Told()
    m = Membership(told, until=3.0)
    m.ledger.add("srv:x", 1)
    m.remember([{"hostPort": "10.0.0.9:80", "lifecycle": "in_service"}])
    m.watched(0, 0, listed("1"), False, True)
    m.settle(0, 0)
    assert set(told.up) == {"10.0.0.1:80", "10.0.0.9:80"}, "what was known before the start stays in use"
    m.settle(3.0, 3.0)
    assert set(told.up) == {"10.0.0.1:80"}


def test_names_lead_to_a_box_unless_they_stand_for_several_and_a_box_keeps_its_address_as_its_id():
    told = Told()
    m = Membership(told)
    m.ledger.add("srv:x", 1)
    m.watched(0, 0, listed("1", "2"), False, True)
    ten = [Endpoint(0, "many.", f"10.0.1.{i}", 80, 1) for i in range(10)]
    m.told(0, "srv:x", stated_by_dns([*at("1"), *ten]))
    m.settle(0, 0)
    assert m.resolve("id-1") == m.resolve("box1:80") == "10.0.0.1:80"
    assert m.resolve("many:80") == "many:80", "ten boxes: an operator names one by its address"
    assert len(told.up) == 12 and all(k == v["hostPort"] for k, v in told.up.items())


def test_a_box_that_comes_later_is_cold_and_another_server_at_an_address_too():
    told = Told()
    m = Membership(told)
    m.ledger.add("srv:x", 1)
    m.watched(0, 1000, listed("1"), False, True)
    m.told(0, "srv:x", stated_by_dns(at("2")))
    m.settle(0, 1000)
    assert [told.up[a]["startedAtMs"] for a in ("10.0.0.1:80", "10.0.0.2:80")] == [0, 0], "there before us"
    m.told(50, "srv:x", stated_by_dns(at("2", "3")))
    other = listed("1")
    other["instances"][0]["instanceId"] = "id-new"
    m.watched(50, 1050, other, False, True)
    m.settle(50, 1050)
    assert told.up["10.0.0.3:80"]["startedAtMs"] == 1_050_000
    assert told.up["10.0.0.1:80"]["startedAtMs"] == 1_050_000
    m.settle(90, 5)  # the clock is set back
    m.told(90, "srv:x", stated_by_dns([*at("2", "3"), Endpoint(0, "c.", "10.0.0.3", 81, 1)]))
    m.settle(90, 5)
    assert told.up["10.0.0.3:80"]["startedAtMs"] == 1_050_000, "and takes nothing back"


# ---- the ledger -----------------------------------------------------------------------------------------------


def test_what_changes_is_enough_to_look_at():
    """A ledger that looks at everything at each step has the same boxes, lines and uses."""
    for seed in range(150):
        rng = Random(seed)
        quick, whole = Ledger(Limits(step_s=20)), Ledger(Limits(step_s=20))
        names = ["a", "b", "c"]
        for ledger in (quick, whole):
            for rank, name in enumerate(names):
                ledger.add(name, rank % 2)
        for step in range(60):
            now, kind, name = step * 7.0, rng.random(), rng.choice(names)
            some = [str(n) for n in range(9) if rng.random() < 0.7]
            for ledger in (quick, whole):
                if kind < 0.6:
                    stated = stated_by_dns(at(*some))
                    ledger.told(now, name, stated if kind < 0.5 else stated[:3])
                elif kind < 0.8:
                    ledger.worth(name, Credit.STALE if kind < 0.75 else Credit.LOST)
                elif kind < 0.9:
                    ledger.hold(["10.0.0.1:80", "box2:80"] if kind < 0.85 else [])
                else:
                    ledger.remove(name)
                    ledger.add(name, int(kind * 100) % 3)
            whole.touched.update(f"10.0.0.{n}:80" for n in range(9))
            quick.settle(now)
            whole.settle(now)
            mine, theirs = (
                {a: (b.outcome, b.line, b.used, b.stated, b.names) for a, b in x.boxes.items()}
                for x in (quick, whole)
            )
            assert mine == theirs, (seed, step)


def test_a_box_that_went_says_why_and_what_is_remembered_has_bounds():
    ledger = Ledger(Limits(step_s=1))
    ledger.add("a", 0)
    for step in range(3000):
        ledger.told(step * 2.0, "a", stated_by_dns(at(str(step))))
        ledger.settle(step * 2.0)
    assert str(ledger.gone["10.0.0.2998:80"].line).startswith("11 ")
    assert len(ledger.gone) <= 1000 and len(ledger.knowing) < 20 and len(ledger.sources["a"].dropped) < 20
    assert len(ledger.fading) < 20 and len(ledger.ripening) < 20 and len(ledger.sources["a"].flaps) < 20


# ---- many days of failures -------------------------------------------------------------------------------------


def test_two_thousand_days_of_sources_and_servers_failing_together():
    """A watch and two SRV names on a virtual clock; DNS dies, lies by half, flaps and answers nothing; the watch too.

    After every step: no drained box is in service; with every source failing nothing goes; a true box that the best
    fresh source lists is in service; and a box does not go in and out with a source that flaps.
    """
    seen: Counter[str] = Counter()
    for day in range(2000):
        rng = Random(day)
        told = Told()
        m = Membership(told, Limits(step_s=60))
        life = Lifetimes(doubt=30, stale_max=20_000 if day % 2 else 600)
        dns_names = {f"srv:{i}": Name(life, rng, 0.0) for i in range(rng.choice([1, 2]))}
        for i, source in enumerate(dns_names):
            m.ledger.add(source, 1 + i)
        true, count, drained = [str(i) for i in range(8)], 8, set()
        state = dict.fromkeys([WATCH, *dns_names], "good")
        seen_by: dict[str, tuple] = {}
        swings: Counter[str] = Counter()
        now = 0.0
        for step in range(40):
            now += rng.uniform(1, 45)
            for s in state:
                if rng.random() < 0.12:
                    state[s] = rng.choice(["good", "good", "dead", "half", "flap", "empty"])
            if rng.random() < 0.1 and state[WATCH] == "good":
                true[rng.randrange(len(true))] = str(count)
                count += 1
            if rng.random() < 0.1:
                drained ^= {rng.choice(true)}
            drained &= set(true)
            before = set(told.up)
            failing = step > 0 and all(v in ("dead", "empty") for v in state.values())
            for s, how in state.items():
                seen[how] += 1
                some = {"half": true[:4], "flap": true[: 4 if step % 2 else 8], "empty": []}.get(how, true)
                if s == WATCH:
                    if how in ("dead", "empty"):
                        m.worth(WATCH, Credit.STALE)
                    else:
                        m.watched(now, now, listed(*some, draining=" ".join(drained)), False, True)
                    continue
                name = dns_names[s]
                if how == "dead":
                    name.could_not(now, "SERVFAIL")
                else:
                    name.answered(now, Found(at(*some), 20.0, empty="" if some else "NXDOMAIN"))
                view = name.view(now)
                key = (view.standing, name.at)
                if seen_by.get(s) != key:
                    seen_by[s] = key
                    if view.standing in (Standing.FRESH, Standing.EMPTY):
                        m.told(now, s, stated_by_dns(view.endpoints))
                    elif view.standing in (Standing.STALE, Standing.DOUBTED):
                        m.worth(s, Credit.STALE)
                    elif view.standing == Standing.EXPIRED:
                        m.worth(s, Credit.LOST)
            m.settle(now, now)
            after = set(told.up)
            where = {f"10.0.0.{n}:80" for n in true}
            out = {f"10.0.0.{n}:80" for n in drained}
            if state[WATCH] not in ("dead", "empty"):
                assert not after & {f"10.0.0.{n}:80" for n in drained if n in true[:4]}, (day, step)
            if state[WATCH] == "good":
                assert after >= where - out, (day, step, "the source that ranks first is right")
            believed_empty = any(n.view(now).standing == Standing.EMPTY for n in dns_names.values())
            if failing and not believed_empty:
                seen["failing"] += 1
                assert after >= before, (day, step, "failures alone took something out")
            if failing and before:
                assert after or believed_empty, (day, step, "failures alone emptied the list")
            for a in (before ^ after) & where - out:
                swings[a] += 1
        assert max(swings.values(), default=0) <= 14, (day, swings)
    assert min(seen[k] for k in ("good", "dead", "half", "flap", "empty", "failing")) > 500, seen
