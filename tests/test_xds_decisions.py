"""The control service's own decisions, free of I/O, and the module's view."""

from __future__ import annotations

from random import Random

from harecross.decide import Balancer
from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.interface import (
    ClassSettings,
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Idempotency,
    Settings,
)
from harecross.xds.access import allowed, loopback
from harecross.xds.loads import Loads
from harecross.xds.probes import Schedule
from harecross.xds.publish import Health, PublishedEndpoint, Publisher, ServerView, Told, calls_out, priority
from harecross.xds.release import Release

SECOND = 1_000_000


class Silent:
    """Actions that do nothing: whoever only judges sends nothing."""

    def __getattr__(self, name):
        return lambda *args: None


def judge(**more) -> Balancer:
    settings = Settings(
        classes=(ClassSettings(Idempotency.IDEMPOTENT, SECOND, 2 * SECOND, 1.0),), subset_max=1 << 30,
        report_fields=("latency_ms",), **more,
    )  # fmt: skip
    b = Balancer(settings, 1, Silent())
    b.start(0)
    return b


def listed(b: Balancer, n: int, now: int = 0, **more) -> None:
    b.endpoint_update(now, EndpointUpdateKind.FULL, [Endpoint(i, **more) for i in range(1, n + 1)])


# ---- the module's view --------------------------------------------------------------------------------


def test_the_view_covers_every_server_and_changes_nothing():
    b = judge()
    listed(b, 200)
    before = b.stats()
    views = b.endpoint_snapshots(0)
    assert {v.server for v in views} == set(range(1, 201)) and b.stats() == before
    assert all(
        v.state == EndpointState.READY and not v.ejected and v.slow_start_factor == 1 and v.cost == 1
        for v in views
    )


def test_probes_that_fail_eject_and_a_good_one_after_the_ejection_readmits():
    b = judge()
    listed(b, 5)
    for n in range(3):
        for server in (2, 3, 4, 5):
            b.health_checked(n * SECOND, server, True, 1000, ())
        b.health_checked(n * SECOND, 1, False, 1000, ())
    assert [v.server for v in b.endpoint_snapshots(0) if v.ejected] == [1]
    b.health_checked(2 * SECOND + 1, 1, True, 1000, ())
    assert b.endpoint_snapshots(0)[0].ejected  # not before its time
    b.health_checked(9 * SECOND, 1, False, 1000, ())
    b.health_checked(10 * SECOND, 1, True, 1000, ())
    assert b.endpoint_snapshots(0)[0].ejected  # failed its trial: a longer time
    b.health_checked(60 * SECOND, 1, True, 1000, ())
    assert not b.endpoint_snapshots(0)[0].ejected


def test_no_more_than_a_third_is_ejected_whatever_is_reported():
    b = judge()
    listed(b, 9)
    for n in range(5):
        for server in range(1, 10):
            b.load_reported(n * SECOND, server, *((0, 100) if server <= 6 else (100, 0)), ())
    assert 1 <= sum(v.ejected for v in b.endpoint_snapshots(0)) <= 3


def test_a_slow_server_costs_more_and_a_cold_one_shows_its_warmth():
    b = judge(slow_start_duration=10 * SECOND, slow_start_min_capacity=0.2)
    listed(b, 3, now=SECOND)
    b.endpoint_update(SECOND, EndpointUpdateKind.CHANGES, [Endpoint(4, ready_at=SECOND)])
    for n in range(20):
        for server, ms in ((1, 10), (2, 10), (3, 40)):
            b.load_reported(SECOND + n, server, 50, 0, (ms,))
    views = {v.server: v for v in b.endpoint_snapshots(SECOND + 20)}
    assert views[3].cost > 2 * views[1].cost and 0.19 < views[4].slow_start_factor < 0.21
    later = {v.server: v.slow_start_factor for v in b.endpoint_snapshots(6 * SECOND)}
    assert 0.55 < later[4] < 0.65 and {v.slow_start_factor for v in b.endpoint_snapshots(11 * SECOND)} == {
        1.0
    }


def test_a_report_that_cannot_be_changes_nothing():
    b = judge()
    listed(b, 3)
    b.load_reported(0, 99, 5, 5, ())
    b.load_reported(0, 1, 0, 0, ())
    b.load_reported(0, 1, 1, 0, (float("nan"),))
    b.load_reported(0, 2, 1, 0, (-5.0,))
    assert all(0 < v.cost < 1e9 and not v.ejected for v in b.endpoint_snapshots(0))


# ---- releases -----------------------------------------------------------------------------------------


def told(*weights: int, drained: int | None = None, limit: int = 0) -> Told:
    return Told(
        tuple(
            PublishedEndpoint(f"s{i}", f"h:{i}", "", Health.DRAINING if i == drained else Health.HEALTHY, w)
            for i, w in enumerate(weights)
        ),
        limit,
    )


def test_weights_wait_for_their_interval_and_a_drain_goes_alone_at_once():
    r = Release(SECOND)
    for name in "abc":
        r.offer(name, told(100, 100))
    clusters, urgent = r.due(5 * SECOND)
    assert set(clusters) == urgent == set("abc") and r.due(5 * SECOND) is None
    for weight in range(50, 60):
        r.offer("a", told(weight, 100))
        r.offer("b", told(100, weight))
        assert r.due(5 * SECOND + weight) is None
    r.offer("b", told(100, 60, drained=0))
    clusters, urgent = r.due(5 * SECOND + 100)
    assert (
        urgent == {"b"}
        and clusters["b"].endpoints[1].weight == 60
        and clusters["a"].endpoints[0].weight == 100
    )
    assert r.due(5 * SECOND + 200) is None
    clusters, urgent = r.due(6 * SECOND)
    assert not urgent and clusters["a"].endpoints[0].weight == 59


def test_what_is_taken_back_before_it_goes_out_does_not_go_out():
    r = Release(SECOND)
    r.offer("a", told(100, 100))
    r.due(SECOND)
    r.offer("a", told(50, 100))
    r.offer("a", told(100, 100))
    assert r.due(9 * SECOND) is None


def test_a_cluster_that_goes_is_left_out_and_one_not_known_is_there_with_nothing():
    r = Release(SECOND)
    r.offer("a", told(100))
    r.offer("b", Told(None))
    clusters, _ = r.due(SECOND)
    assert clusters["b"].endpoints is None
    r.withdraw("a")
    r.offer("b", told(100))
    clusters, urgent = r.due(3 * SECOND)
    assert set(clusters) == urgent == {"b"}


def test_a_flapping_server_reaches_proxies_seldom():
    """Its cost doubles and halves ten times a second: ten seconds, at most a release a second."""
    publisher, release, count, now = Publisher(), Release(SECOND), 0, 0
    rng = Random(1)
    for i in range(100):
        now = i * 100_000
        views = [ServerView(f"s{k}", f"h:{k}", cost=rng.uniform(0.95, 1.05)) for k in range(9)]
        views.append(ServerView("s9", "h:9", cost=2.0 if i % 2 else 1.0))
        release.offer("a", publisher.tell(now, views, 100 + i % 7))
        count += release.due(now) is not None
    assert 2 <= count <= 11
    # Noise alone, within the hysteresis, reaches nobody.
    publisher, release, count = Publisher(), Release(SECOND), 0
    for i in range(100):
        views = [ServerView(f"s{k}", f"h:{k}", cost=rng.uniform(0.95, 1.05)) for k in range(9)]
        release.offer("a", publisher.tell(i * 100_000, views, 100 + i % 7))
        count += release.due(i * 100_000) is not None
    assert count == 1


# ---- publication --------------------------------------------------------------------------------------


def test_the_bound_on_calls_is_each_proxy_s_part_of_what_servers_bear():
    views = [ServerView(f"s{i}", "h:1") for i in range(10)]
    assert calls_out(views, 0, 5) == 0 and calls_out(views, 10, 1) == 100 and calls_out(views, 10, 10) == 20
    less = [*views[:5], *(ServerView(v.name, v.address, ejected=True) for v in views[5:])]
    assert calls_out(less, 10, 10) == 10 and calls_out([], 10, 1000) == 3
    cold = [ServerView("s", "h:1", warmth=0.25)]
    assert calls_out(cold, 40, 2) == 10


def test_a_zone_goes_first_only_for_proxies_that_stand_in_it():
    zones = {"a", "b"}
    assert [priority(z, "a", zones) for z in ("a", "b")] == [0, 1]
    assert [priority(z, "c", zones) for z in ("a", "b")] == [0, 0]


# ---- lists --------------------------------------------------------------------------------------------


def line(name: str, state: str = "in_service", port: int = 1) -> dict:
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": state}


def test_a_roster_keeps_drains_and_drops_what_is_gone():
    listed = ListedEndpoints()
    listed.apply({"instances": [line("a"), line("b")]}, full=True, cached=False)
    listed.apply({"instances": [{"instanceId": "a", "lifecycle": "terminating"}]}, full=False, cached=False)
    assert (
        listed.entries["a"]["hostPort"] == "127.0.0.1:1" and listed.entries["a"]["lifecycle"] == "terminating"
    )
    listed.apply(
        {"instances": [{"instanceId": "a", "lifecycle": "terminated"}, None, {}, {"instanceId": 3}]},
        full=False,
        cached=False,
    )
    assert set(listed.entries) == {"b"}
    listed.apply({"instances": [line("c")]}, full=True, cached=False)
    assert set(listed.entries) == {"c"}


def test_a_remembered_list_counts_as_old_and_an_empty_one_as_nothing():
    listed = ListedEndpoints()
    listed.apply({"instances": [line("a")]}, full=True, cached=False)
    again = ListedEndpoints()
    again.apply(listed.memory(), full=True, cached=True)
    assert again.is_publishable() and not again.has_full_list and again.entries == listed.entries
    empty = ListedEndpoints()
    empty.apply({"instances": []}, full=True, cached=True)
    assert not empty.is_publishable()


# ---- load reports -------------------------------------------------------------------------------------


def test_one_proxy_s_broken_way_ejects_nothing_and_the_word_of_most_does():
    loads = Loads()
    for proxy in range(5):
        loads.add(f"p{proxy}", "s1", *((0, 1000) if proxy == 0 else (100, 0)), 0, 1.0)
        loads.add(f"p{proxy}", "s2", *((0, 100) if proxy < 3 else (100, 0)), 0, 1.0)
    one, two = loads.take()
    assert (one.bad, two.good) == (0, 0) and one.good == 1400
    assert loads.take() == []


def test_reports_that_cannot_be_are_bounded():
    loads = Loads()
    loads.add("p", "s", 1 << 60, -5, 1 << 60, 1e30)
    (seen,) = loads.take()
    assert seen.good == 10_000 and seen.bad == 0 and seen.latency_ms <= 3.6e6


def test_latency_is_calls_in_progress_over_their_rate():
    loads = Loads()
    loads.add("p", "s", 100, 0, 5, 2.0)  # 50 a second, 5 out: 100 ms each
    assert abs(loads.take()[0].latency_ms - 100) < 1


# ---- probes -------------------------------------------------------------------------------------------


def test_probes_are_spread_and_none_is_out_twice():
    s = Schedule(SECOND, Random(1))
    servers = range(100)
    assert s.due(0, servers) == []
    counts = [len(s.due(t, servers)) for t in range(0, SECOND + 1, SECOND // 10)]
    assert sum(counts) == 100 and max(counts) < 30
    assert s.due(3 * SECOND, servers) == []  # all are still out
    s.ended(7)
    assert s.due(3 * SECOND, servers) == [7]
    assert s.due(9 * SECOND, []) == [] and not s.due_at


# ---- access -------------------------------------------------------------------------------------------


def test_what_a_certificate_s_name_may_see():
    rules = {"*.partner.example": ["orders"], "edge.example": ["*"], "a.partner.example": ["stock"]}
    assert allowed({}, ()) is None
    assert allowed(rules, ()) == frozenset() == allowed(rules, ("partner.example",))
    assert allowed(rules, ("a.partner.example",)) == {"orders", "stock"}
    assert allowed(rules, ("nobody", "edge.example")) is None


def test_what_counts_as_loopback():
    assert all(loopback(h) for h in ("127.0.0.1", "127.9.9.9", "localhost", "::1", "[::1]"))
    assert not any(
        loopback(h) for h in ("0.0.0.0", "10.0.0.1", "[::]", "example.org", "127.0.0.1.example.org", "")
    )
