"""Tests how several sources become one list: cache file, address files, priorities, and simulated failures."""

import os
from collections import Counter
from collections.abc import Iterable
from random import Random

import pytest

pytest.importorskip("dns")

from harecross.dns.lifetime import CachedName, CacheLimits, CacheStatus, CacheView
from harecross.dns.srv import SrvAnswer, SrvEndpoint
from harecross.sources import cache_file
from harecross.sources.address_file import AddressFileError, parse
from harecross.sources.cache_file import CachedSet, CacheFileError, read_cache_file, write_cache_file
from harecross.sources.priorities import PriorityOverflow
from harecross.sources.publisher import WATCH, MembershipPublisher
from harecross.sources.reconciler import MembershipReconciler
from harecross.sources.source import Confidence, MergeLimits
from harecross.sources.statements import srv_statements

SETS = {
    "_a._tcp.example.org": CachedSet(
        SrvAnswer((SrvEndpoint(0, "t.", "10.0.0.1", 80, 5),), 30.0), 1000.0, 1030.0
    ),
    "_b._tcp.example.org": CachedSet(SrvAnswer((SrvEndpoint(1, "u.", "::1", 81, 0),), 5.0), 1001.0, 1006.0),
}


def test_a_cache_file_is_read_back_unchanged():
    assert cache_file.decode(cache_file.encode(SETS)) == SETS


def test_a_cache_file_that_is_truncated_or_changed_at_any_byte_is_rejected():
    data = cache_file.encode(SETS)
    for at in range(len(data)):
        for bad in (data[:at], data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]):
            with pytest.raises(CacheFileError):
                cache_file.decode(bad)


def test_a_kill_at_any_step_of_writing_leaves_the_old_file_or_the_new_one(tmp_path, monkeypatch):
    """The writer is killed before its n-th system call, for each n. Writes are partial: at most 37 bytes each."""
    path = str(tmp_path / "cache")
    new = {"_a._tcp.example.org": SETS["_b._tcp.example.org"]}
    real = {name: getattr(os, name) for name in ("open", "write", "fsync", "close", "replace")}
    outcomes = Counter()
    for killed_at in range(40):
        write_cache_file(path, SETS)
        calls = 0

        def step(name, killed_at=killed_at):
            def killed(*args, **kwargs):
                nonlocal calls
                calls += 1
                if name == "write":
                    args = (args[0], args[1][:37])
                if calls > killed_at:
                    raise KeyboardInterrupt
                return real[name](*args, **kwargs)

            return killed

        for name in real:
            monkeypatch.setattr(os, name, step(name))
        try:
            write_cache_file(path, new)
            outcomes["done"] += 1
        except KeyboardInterrupt:
            pass
        monkeypatch.undo()
        found = read_cache_file(path)
        assert found in (SETS, new), killed_at
        outcomes["new" if found == new else "old"] += 1
    assert outcomes["old"] > 5 and outcomes["new"] > 5 and outcomes["done"], outcomes


def test_the_age_of_a_cached_set_is_not_negative_if_the_clock_is_set_back():
    cached = SETS["_a._tcp.example.org"]
    assert cached.age(1040.0) == (40.0, 10.0)
    assert cached.age(0.0) == (0.0, 0.0)


def test_a_restored_set_is_stale_and_due_for_a_refresh_at_once():
    name = CachedName(CacheLimits(), Random(1), 0.0)
    name.restore(0.0, SETS["_a._tcp.example.org"].answer, 0.0, -0.001)
    assert name.view(0.0).status == CacheStatus.STALE
    assert name.due(0.0)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("10.0.0.1:80\n10.0.0.2\n", "line 2"),
        ("10.0.0.1:80\n10.0.0.2:8", "line 2: missing newline"),
        ("10.0.0.1:0\n", "port 0"),
        ("10.0.0.1:80 weight=0\n", "weight"),
        ("10.0.0.1:80 weight=nan\n", "weight"),
        ("10.0.0.1:80 priority=-1\n", "priority"),
        ("10.0.0.1:80 drian\n", "drian"),
        ("10.0.0.1:80 zone=\n", "zone="),
    ],
)
def test_an_invalid_line_makes_the_whole_file_invalid_and_is_named(text, problem):
    with pytest.raises(AddressFileError, match=problem):
        parse(text)


def test_a_line_can_set_weight_priority_zone_name_and_drain():
    one, two = parse(
        "# boxes\n10.0.0.1:80 weight=2.5 priority=1 name=b-1 zone=x # fast\n\n[::1]:81 drain\n", "z", 3
    )
    assert (one.address, one.name, one.zone, one.weight, one.priority, one.draining) == (
        "10.0.0.1:80", "b-1", "x", 2.5, 4, False,
    )  # fmt: skip
    assert (two.address, two.zone, two.draining) == ("[::1]:81", "z", True)


def test_weights_are_relative_to_their_priority_and_priorities_to_their_name():
    statements = srv_statements(
        [
            SrvEndpoint(20, "a.", "10.0.0.1", 80, 30),
            SrvEndpoint(20, "b.", "10.0.0.2", 80, 10),
            SrvEndpoint(20, "c.", "10.0.0.3", 80, 0),
            SrvEndpoint(30, "d.", "::1", 80, 0),
            SrvEndpoint(30, "e.", "10.0.0.5", 80, 0),
        ],
        priority_offset=2,
    )
    assert {s.address: (s.priority, round(s.weight, 3)) for s in statements} == {
        "10.0.0.1:80": (2, 2.25), "10.0.0.2:80": (2, 0.75), "10.0.0.3:80": (2, 0.05), "[::1]:80": (3, 1.0),
        "10.0.0.5:80": (3, 1.0),
    }  # fmt: skip


class RecordingConsumer:
    """A consumer that records the endpoints in service; tests set the unhealthy endpoints and the maintenance."""

    def __init__(self) -> None:
        self.in_service: dict[str, dict] = {}
        self.unhealthy_addresses: set[str] = set()
        self.maintenance_names: list[str] = []

    def apply(self, update, *, cached=False, full=False) -> None:
        if full or cached or update.get("reset"):
            self.in_service = {}
        for entry in update["instances"]:
            if entry["lifecycle"] == "in_service":
                self.in_service[entry["instanceId"]] = entry
            else:
                self.in_service.pop(entry["instanceId"], None)

    def unhealthy(self) -> set[str]:
        return self.unhealthy_addresses

    def maintenance(self) -> Iterable[str]:
        return self.maintenance_names

    def names_changed(self) -> None:
        pass


def watch_list(*numbers: str, draining: str = "", started: int = 0) -> dict:
    entries = [
        {
            "instanceId": f"id-{n}",
            "hostPort": f"10.0.0.{n}:80",
            "lifecycle": "terminating" if n in draining.split() else "in_service",
            "startedAtMs": started,
        }
        for n in numbers
    ]
    return {"generation": 1, "reset": True, "instances": entries}


def endpoints(*numbers: str, priority: int = 0) -> tuple[SrvEndpoint, ...]:
    return tuple(SrvEndpoint(priority, f"box{n}.", f"10.0.0.{n}", 80, 1) for n in numbers)


FIRST, SECOND = {f"10.0.0.{i}:80" for i in range(1, 5)}, {"10.0.0.5:80", "10.0.0.6:80"}


@pytest.fixture
def two_priorities():
    """A consumer and its publisher, with four endpoints of the first priority and two of the second."""
    consumer = RecordingConsumer()
    publisher = MembershipPublisher(consumer, overflow=PriorityOverflow(0.5, 0.7), watch_rank=None)
    publisher.reconciler.add_source("srv:x", 1)
    publisher.update_source(
        0, "srv:x", srv_statements([*endpoints("1", "2", "3", "4"), *endpoints("5", "6", priority=9)])
    )
    publisher.publish_changes(0, 0)
    assert set(consumer.in_service) == FIRST
    return consumer, publisher


def test_the_next_priority_is_used_while_the_first_is_short_of_healthy_endpoints(two_priorities):
    consumer, publisher = two_priorities
    for count, expected in ((2, FIRST), (3, FIRST | SECOND), (2, FIRST | SECOND), (1, FIRST)):
        consumer.unhealthy_addresses = set(sorted(FIRST)[:count])
        publisher.publish_changes(1, 1)
        assert set(consumer.in_service) == expected, (
            "the second priority is used below 0.5 healthy and until 0.7"
        )


def test_the_next_priority_is_used_while_the_first_is_in_maintenance(two_priorities):
    consumer, publisher = two_priorities
    consumer.maintenance_names = sorted(FIRST)[:3]
    publisher.publish_changes(2, 2)
    assert set(consumer.in_service) >= SECOND


@pytest.fixture
def endpoint_in_two_names():
    """A consumer and its publisher; two SRV names list 10.0.0.1 with different weights."""
    consumer = RecordingConsumer()
    publisher = MembershipPublisher(consumer, watch_rank=None)
    for name, rank in (("srv:a", 2), ("srv:b", 1)):
        publisher.reconciler.add_source(name, rank)
    lists = {
        "srv:a": [SrvEndpoint(0, "x.", "10.0.0.1", 80, 30), SrvEndpoint(0, "y.", "10.0.0.2", 80, 10)],
        "srv:b": [SrvEndpoint(0, "z.", "10.0.0.1", 80, 10), SrvEndpoint(0, "y.", "10.0.0.3", 80, 30)],
    }
    for name, listed in lists.items():
        publisher.update_source(0, name, srv_statements(listed))
    publisher.publish_changes(0, 0)
    return consumer, publisher


def test_an_endpoint_in_two_names_has_the_weight_from_the_name_with_the_better_rank(endpoint_in_two_names):
    consumer, publisher = endpoint_in_two_names
    assert consumer.in_service["10.0.0.1:80"]["weight"] == 0.5
    publisher.reconciler.add_source("srv:a", 0)  # as after a reload with a better rank for this name
    publisher.publish_changes(1, 1)
    assert consumer.in_service["10.0.0.1:80"]["weight"] == 1.5


def test_an_endpoint_in_two_names_is_published_once_and_found_by_both_names(endpoint_in_two_names):
    consumer, publisher = endpoint_in_two_names
    assert len(consumer.in_service) == 3
    assert publisher.resolve("x:80") == publisher.resolve("z:80") == "10.0.0.1:80"


def test_a_resolver_that_fails_for_an_hour_is_queried_rarely_and_removes_no_endpoint():
    name, now, queries = CachedName(CacheLimits(), Random(4), 0.0), 0.0, 0
    name.receive_answer(0.0, SrvAnswer(endpoints("1", "2"), 5.0))
    consumer = RecordingConsumer()
    publisher = MembershipPublisher(consumer, watch_rank=None)
    publisher.reconciler.add_source("srv:x", 1)
    publisher.update_source(0, "srv:x", srv_statements(name.view(0.0).endpoints))
    while now < 3600:
        now += 0.5
        if name.due(now):
            queries += 1
            name.receive_failure(now, "no answer in time")
        if name.view(now).status == CacheStatus.STALE:
            publisher.set_confidence("srv:x", Confidence.STALE)
        publisher.publish_changes(now, now)
        assert len(consumer.in_service) == 2
    assert 100 < queries < 300, "expected a query after 15 to 30 s, chosen at random"
    name.receive_answer(now, SrvAnswer(endpoints("2", "3"), 5.0))
    publisher.update_source(now, "srv:x", srv_statements(name.view(now).endpoints))
    publisher.publish_changes(now, now)
    assert set(consumer.in_service) == {"10.0.0.2:80", "10.0.0.3:80"}


def test_a_start_removes_no_remembered_endpoint_before_all_sources_have_a_list_or_the_wait_ends():
    consumer = RecordingConsumer()
    publisher = MembershipPublisher(consumer, wait_until=3.0)
    publisher.reconciler.add_source("srv:x", 1)
    publisher.remember([{"hostPort": "10.0.0.9:80", "lifecycle": "in_service"}])
    publisher.update_watch(0, 0, watch_list("1"), cached=False, full=True)
    publisher.publish_changes(0, 0)
    assert set(consumer.in_service) == {"10.0.0.1:80", "10.0.0.9:80"}, (
        "an endpoint from before the start was removed"
    )
    publisher.publish_changes(3.0, 3.0)
    assert set(consumer.in_service) == {"10.0.0.1:80"}


@pytest.fixture
def ten_endpoints_of_one_name():
    """A consumer and its publisher; the watch lists two endpoints, an SRV name one of them and ten of one target."""
    consumer = RecordingConsumer()
    publisher = MembershipPublisher(consumer)
    publisher.reconciler.add_source("srv:x", 1)
    publisher.update_watch(0, 0, watch_list("1", "2"), cached=False, full=True)
    ten = [SrvEndpoint(0, "many.", f"10.0.1.{i}", 80, 1) for i in range(10)]
    publisher.update_source(0, "srv:x", srv_statements([*endpoints("1"), *ten]))
    publisher.publish_changes(0, 0)
    return consumer, publisher


def test_a_name_resolves_to_its_endpoint_unless_several_endpoints_have_it(ten_endpoints_of_one_name):
    _, publisher = ten_endpoints_of_one_name
    assert publisher.resolve("id-1") == publisher.resolve("box1:80") == "10.0.0.1:80"
    assert publisher.resolve("many:80") == "many:80", (
        "the name of ten endpoints must not resolve to one of them"
    )


def test_an_endpoint_has_its_address_as_its_id(ten_endpoints_of_one_name):
    consumer, _ = ten_endpoints_of_one_name
    assert len(consumer.in_service) == 12
    assert all(key == entry["hostPort"] for key, entry in consumer.in_service.items())


def started_at_ms(consumer: RecordingConsumer, *numbers: str) -> list[int]:
    return [consumer.in_service[f"10.0.0.{n}:80"]["startedAtMs"] for n in numbers]


@pytest.fixture
def later_endpoints():
    """A consumer and its publisher: at 50 s an SRV name lists another endpoint, and the watch another server."""
    consumer = RecordingConsumer()
    publisher = MembershipPublisher(consumer)
    publisher.reconciler.add_source("srv:x", 1)
    publisher.update_watch(0, 1000, watch_list("1"), cached=False, full=True)
    publisher.update_source(0, "srv:x", srv_statements(endpoints("2")))
    publisher.publish_changes(0, 1000)
    assert started_at_ms(consumer, "1", "2") == [0, 0], "endpoints in the first lists have no start time"
    publisher.update_source(50, "srv:x", srv_statements(endpoints("2", "3")))
    other = watch_list("1")
    other["instances"][0]["instanceId"] = "id-new"
    publisher.update_watch(50, 1050, other, cached=False, full=True)
    publisher.publish_changes(50, 1050)
    return consumer, publisher


def test_an_endpoint_that_is_added_later_has_just_started(later_endpoints):
    consumer, _ = later_endpoints
    assert started_at_ms(consumer, "3") == [1_050_000]


def test_a_server_that_replaces_another_at_an_address_has_just_started(later_endpoints):
    consumer, _ = later_endpoints
    assert started_at_ms(consumer, "1") == [1_050_000]


def test_a_start_time_does_not_change_if_the_clock_is_set_back(later_endpoints):
    consumer, publisher = later_endpoints
    publisher.publish_changes(90, 5)
    more = [*endpoints("2", "3"), SrvEndpoint(0, "c.", "10.0.0.3", 81, 1)]
    publisher.update_source(90, "srv:x", srv_statements(more))
    publisher.publish_changes(90, 5)
    assert started_at_ms(consumer, "3") == [1_050_000]


def test_reconciling_only_what_has_changed_gives_the_same_endpoints():
    """Compares with a reconciler that checks every endpoint at each step."""
    for seed in range(150):
        rng = Random(seed)
        incremental, full = (
            MembershipReconciler(MergeLimits(grace_s=20)),
            MembershipReconciler(MergeLimits(grace_s=20)),
        )
        names = ["a", "b", "c"]
        for reconciler in (incremental, full):
            for rank, name in enumerate(names):
                reconciler.add_source(name, rank % 2)
        for step in range(60):
            now, draw, name = step * 7.0, rng.random(), rng.choice(names)
            listed = [str(n) for n in range(9) if rng.random() < 0.7]
            for reconciler in (incremental, full):
                if draw < 0.6:
                    statements = srv_statements(endpoints(*listed))
                    reconciler.update_source(now, name, statements if draw < 0.5 else statements[:3])
                elif draw < 0.8:
                    reconciler.set_confidence(name, Confidence.STALE if draw < 0.75 else Confidence.LOST)
                elif draw < 0.9:
                    reconciler.set_maintenance(["10.0.0.1:80", "box2:80"] if draw < 0.85 else [])
                else:
                    reconciler.remove_source(name)
                    reconciler.add_source(name, int(draw * 100) % 3)
            full.dirty.update(f"10.0.0.{n}:80" for n in range(9))
            incremental.reconcile(now)
            full.reconcile(now)
            found, expected = (
                {a: (e.verdict, e.in_service, e.statement, e.names) for a, e in r.endpoints.items()}
                for r in (incremental, full)
            )
            assert found == expected, (seed, step)


@pytest.fixture
def reconciler_of_many_removed():
    """A reconciler with one source, which lists a different endpoint at each of 3000 steps."""
    reconciler = MembershipReconciler(MergeLimits(grace_s=1))
    reconciler.add_source("a", 0)
    for step in range(3000):
        reconciler.update_source(step * 2.0, "a", srv_statements(endpoints(str(step))))
        reconciler.reconcile(step * 2.0)
    return reconciler


def test_a_tombstone_holds_the_reason_why_an_endpoint_was_removed(reconciler_of_many_removed):
    verdict = reconciler_of_many_removed.tombstones["10.0.0.2998:80"].verdict
    assert str(verdict.line).startswith("11 ")


def test_the_state_of_removed_endpoints_is_bounded(reconciler_of_many_removed):
    reconciler = reconciler_of_many_removed
    assert len(reconciler.tombstones) <= 1000
    assert len(reconciler.sources_by_address) < 20
    assert len(reconciler.remembered_drops) < 20
    assert len(reconciler.recent_drops) < 20
    assert len(reconciler.sources["a"].dropped) < 20
    assert len(reconciler.sources["a"].drop_times) < 20


def publish_view(publisher: MembershipPublisher, now: float, source: str, view: CacheView) -> None:
    """Passes the view of an SRV name to the publisher, as a DNS source does."""
    if view.status in (CacheStatus.FRESH, CacheStatus.EMPTY):
        publisher.update_source(now, source, srv_statements(view.endpoints))
    elif view.status in (CacheStatus.STALE, CacheStatus.UNCONFIRMED_EMPTY):
        publisher.set_confidence(source, Confidence.STALE)
    elif view.status == CacheStatus.EXPIRED:
        publisher.set_confidence(source, Confidence.LOST)


def test_endpoints_stay_correct_while_sources_fail_in_two_thousand_simulated_runs():
    """Simulates a watch and one or two SRV names, which fail, list half of the endpoints, flap and list none.

    After every step, no draining endpoint is in service; while all sources fail, no endpoint is removed; and an
    existing endpoint that the best fresh source lists is in service. No endpoint goes in and out of service as often
    as a flapping source changes its list.
    """
    seen: Counter[str] = Counter()
    for seed in range(2000):
        rng = Random(seed)
        consumer = RecordingConsumer()
        publisher = MembershipPublisher(consumer, MergeLimits(grace_s=60))
        limits = CacheLimits(empty_confirmation=30, max_stale=20_000 if seed % 2 else 600)
        dns_names = {f"srv:{i}": CachedName(limits, rng, 0.0) for i in range(rng.choice([1, 2]))}
        for i, source in enumerate(dns_names):
            publisher.reconciler.add_source(source, 1 + i)
        actual, count, drained = [str(i) for i in range(8)], 8, set()
        states = dict.fromkeys([WATCH, *dns_names], "good")
        published: dict[str, tuple] = {}
        state_changes: Counter[str] = Counter()
        now = 0.0
        for step in range(40):
            now += rng.uniform(1, 45)
            for source in states:
                if rng.random() < 0.12:
                    states[source] = rng.choice(["good", "good", "dead", "half", "flap", "empty"])
            if rng.random() < 0.1 and states[WATCH] == "good":
                actual[rng.randrange(len(actual))] = str(count)
                count += 1
            if rng.random() < 0.1:
                drained ^= {rng.choice(actual)}
            drained &= set(actual)
            before = set(consumer.in_service)
            failing = step > 0 and all(state in ("dead", "empty") for state in states.values())
            for source, state in states.items():
                seen[state] += 1
                listed = {"half": actual[:4], "flap": actual[: 4 if step % 2 else 8], "empty": []}.get(
                    state, actual
                )
                if source == WATCH:
                    if state in ("dead", "empty"):
                        publisher.set_confidence(WATCH, Confidence.STALE)
                    else:
                        update = watch_list(*listed, draining=" ".join(drained))
                        publisher.update_watch(now, now, update, cached=False, full=True)
                    continue
                name = dns_names[source]
                if state == "dead":
                    name.receive_failure(now, "SERVFAIL")
                else:
                    empty = "" if listed else "NXDOMAIN"
                    name.receive_answer(now, SrvAnswer(endpoints(*listed), 20.0, empty_reason=empty))
                view = name.view(now)
                key = (view.status, name.answered_at)
                if published.get(source) != key:
                    published[source] = key
                    publish_view(publisher, now, source, view)
            publisher.publish_changes(now, now)
            after = set(consumer.in_service)
            present = {f"10.0.0.{n}:80" for n in actual}
            drained_addresses = {f"10.0.0.{n}:80" for n in drained}
            if states[WATCH] not in ("dead", "empty"):
                assert not after & {f"10.0.0.{n}:80" for n in drained if n in actual[:4]}, (seed, step)
            if states[WATCH] == "good":
                assert after >= present - drained_addresses, (seed, step, "a listed endpoint is missing")
            confirmed_empty = any(name.view(now).status == CacheStatus.EMPTY for name in dns_names.values())
            if failing and not confirmed_empty:
                seen["failing"] += 1
                assert after >= before, (seed, step, "failures alone removed an endpoint")
            if failing and before:
                assert after or confirmed_empty, (seed, step, "failures alone emptied the list")
            for address in (before ^ after) & present - drained_addresses:
                state_changes[address] += 1
        assert max(state_changes.values(), default=0) <= 14, (seed, state_changes)
    assert min(seen[k] for k in ("good", "dead", "half", "flap", "empty", "failing")) > 500, seen
