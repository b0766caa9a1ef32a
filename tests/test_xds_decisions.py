"""The control service's decisions, which perform no I/O, and the decision module's snapshots of servers."""

from __future__ import annotations

from random import Random

import pytest

from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.interface import (
    ClassSettings,
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Idempotency,
    Settings,
)
from harecross.policy.balancer import Balancer
from harecross.xds.access import allowed_clusters, is_loopback
from harecross.xds.health_checks import HealthCheckSchedule
from harecross.xds.load_reports import LoadReports
from harecross.xds.published import Health, PublishedCluster, PublishedEndpoint, ServerView
from harecross.xds.publisher import ClusterPublisher, priority, request_limit
from harecross.xds.release import ReleaseSchedule

SECOND = 1_000_000


class IgnoredActions:
    """Actions that do nothing, because a decision module that only judges servers sends no requests."""

    def __getattr__(self, name):
        return lambda *args: None


def balancer_of(servers: int, now: int = 0, **overrides) -> Balancer:
    """Returns a decision module without requests, with servers 1 to `servers` listed."""
    settings = Settings(
        classes=(ClassSettings(Idempotency.IDEMPOTENT, SECOND, 2 * SECOND, 1.0),), subset_max=1 << 30,
        report_fields=("latency_ms",), **overrides,
    )  # fmt: skip
    balancer = Balancer(settings, 1, IgnoredActions())
    balancer.start(0)
    balancer.endpoint_update(now, EndpointUpdateKind.FULL, [Endpoint(i) for i in range(1, servers + 1)])
    return balancer


def ejected(balancer: Balancer, now: int = 0) -> list[int]:
    return [snapshot.server for snapshot in balancer.endpoint_snapshots(now) if snapshot.ejected]


def test_the_snapshots_cover_every_server_and_change_nothing():
    balancer = balancer_of(200)
    before = balancer.stats()
    snapshots = balancer.endpoint_snapshots(0)
    assert {s.server for s in snapshots} == set(range(1, 201))
    assert balancer.stats() == before
    assert all(
        s.state == EndpointState.READY and not s.ejected and s.slow_start_factor == 1 and s.cost == 1
        for s in snapshots
    )


@pytest.fixture
def balancer_with_server_1_ejected():
    """Returns a decision module with five servers, of which server 1 has failed three health checks."""
    balancer = balancer_of(5)
    for second in range(3):
        for server in (2, 3, 4, 5):
            balancer.health_checked(second * SECOND, server, True, 1000, ())
        balancer.health_checked(second * SECOND, 1, False, 1000, ())
    assert ejected(balancer) == [1]
    return balancer


def test_a_good_health_check_during_the_ejection_does_not_end_it(balancer_with_server_1_ejected):
    balancer_with_server_1_ejected.health_checked(2 * SECOND + 1, 1, True, 1000, ())
    assert ejected(balancer_with_server_1_ejected) == [1]


def test_a_failed_health_check_after_the_ejection_prolongs_it(balancer_with_server_1_ejected):
    balancer = balancer_with_server_1_ejected
    balancer.health_checked(2 * SECOND + 1, 1, True, 1000, ())
    balancer.health_checked(9 * SECOND, 1, False, 1000, ())
    balancer.health_checked(10 * SECOND, 1, True, 1000, ())
    assert ejected(balancer) == [1]
    balancer.health_checked(60 * SECOND, 1, True, 1000, ())
    assert ejected(balancer) == []


def test_at_most_a_third_of_the_servers_is_ejected_whatever_is_reported():
    balancer = balancer_of(9)
    for second in range(5):
        for server in range(1, 10):
            good, bad = (0, 100) if server <= 6 else (100, 0)
            balancer.load_reported(second * SECOND, server, good, bad, ())
    assert 1 <= len(ejected(balancer)) <= 3


def test_a_slow_server_has_a_higher_cost():
    balancer = balancer_of(3, now=SECOND)
    for step in range(20):
        for server, latency_ms in ((1, 10), (2, 10), (3, 40)):
            balancer.load_reported(SECOND + step, server, 50, 0, (latency_ms,))
    snapshots = {s.server: s for s in balancer.endpoint_snapshots(SECOND + 20)}
    assert snapshots[3].cost > 2 * snapshots[1].cost


def test_the_snapshot_of_a_server_that_has_just_started_contains_its_slow_start_factor():
    balancer = balancer_of(3, SECOND, slow_start_duration=10 * SECOND, slow_start_min_capacity=0.2)
    balancer.endpoint_update(SECOND, EndpointUpdateKind.CHANGES, [Endpoint(4, ready_at=SECOND)])
    factors = [
        {s.server: s.slow_start_factor for s in balancer.endpoint_snapshots(now)}
        for now in (SECOND + 20, 6 * SECOND, 11 * SECOND)
    ]
    assert 0.19 < factors[0][4] < 0.21
    assert 0.55 < factors[1][4] < 0.65
    assert set(factors[2].values()) == {1.0}


def test_an_invalid_report_changes_nothing():
    balancer = balancer_of(3)
    balancer.load_reported(0, 99, 5, 5, ())
    balancer.load_reported(0, 1, 0, 0, ())
    balancer.load_reported(0, 1, 1, 0, (float("nan"),))
    balancer.load_reported(0, 2, 1, 0, (-5.0,))
    assert all(0 < s.cost < 1e9 and not s.ejected for s in balancer.endpoint_snapshots(0))


def cluster(*weights: int, drained: int | None = None) -> PublishedCluster:
    return PublishedCluster(
        tuple(
            PublishedEndpoint(
                f"s{i}", f"h:{i}", "", Health.DRAINING if i == drained else Health.HEALTHY, weight
            )
            for i, weight in enumerate(weights)
        )
    )


@pytest.fixture
def released_abc():
    """Returns a schedule that released the clusters a, b and c at 5 seconds."""
    schedule = ReleaseSchedule(SECOND)
    for name in "abc":
        schedule.offer(name, cluster(100, 100))
    batch = schedule.take_due(5 * SECOND)
    assert set(batch.clusters) == batch.urgent == set("abc")
    return schedule


def test_weights_wait_for_their_interval(released_abc):
    assert released_abc.take_due(5 * SECOND) is None
    for weight in range(50, 60):
        released_abc.offer("a", cluster(weight, 100))
        assert released_abc.take_due(5 * SECOND + weight) is None
    batch = released_abc.take_due(6 * SECOND)
    assert not batch.urgent
    assert batch.clusters["a"].endpoints[0].weight == 59


def test_a_drain_is_released_at_once_and_only_for_its_own_cluster(released_abc):
    released_abc.offer("a", cluster(59, 100))
    released_abc.offer("b", cluster(100, 59))
    assert released_abc.take_due(5 * SECOND + 59) is None
    released_abc.offer("b", cluster(100, 60, drained=0))
    batch = released_abc.take_due(5 * SECOND + 100)
    assert batch.urgent == {"b"}
    assert batch.clusters["b"].endpoints[1].weight == 60
    assert batch.clusters["a"].endpoints[0].weight == 100
    assert released_abc.take_due(5 * SECOND + 200) is None
    batch = released_abc.take_due(6 * SECOND)
    assert not batch.urgent
    assert batch.clusters["a"].endpoints[0].weight == 59


def test_a_change_that_is_reverted_before_its_release_is_not_released():
    schedule = ReleaseSchedule(SECOND)
    schedule.offer("a", cluster(100, 100))
    schedule.take_due(SECOND)
    schedule.offer("a", cluster(50, 100))
    schedule.offer("a", cluster(100, 100))
    assert schedule.take_due(9 * SECOND) is None


def test_a_cluster_that_is_not_known_is_released_without_endpoints():
    schedule = ReleaseSchedule(SECOND)
    schedule.offer("b", PublishedCluster(None))
    assert schedule.take_due(SECOND).clusters["b"].endpoints is None


def test_a_cluster_that_becomes_known_is_urgent_and_a_removed_one_is_left_out():
    schedule = ReleaseSchedule(SECOND)
    schedule.offer("a", cluster(100))
    schedule.offer("b", PublishedCluster(None))
    schedule.take_due(SECOND)
    schedule.withdraw("a")
    schedule.offer("b", cluster(100))
    batch = schedule.take_due(3 * SECOND)
    assert set(batch.clusters) == batch.urgent == {"b"}


def releases_in_ten_seconds(cost_of_s9) -> int:
    """Returns how many releases there are in 10 seconds for ten servers whose costs are slightly noisy.

    The servers are updated ten times per second. `cost_of_s9` returns the tenth server's cost at a step.
    """
    publisher, schedule, count = ClusterPublisher(), ReleaseSchedule(SECOND), 0
    rng = Random(1)
    for step in range(100):
        now = step * 100_000
        views = [ServerView(f"s{k}", f"h:{k}", cost=rng.uniform(0.95, 1.05)) for k in range(9)]
        views.append(ServerView("s9", "h:9", cost=cost_of_s9(step)))
        schedule.offer("a", publisher.update(now, views, 100 + step % 7))
        count += schedule.take_due(now) is not None
    return count


def test_a_cost_that_alternates_is_released_at_most_once_per_second():
    assert 2 <= releases_in_ten_seconds(lambda step: 2.0 if step % 2 else 1.0) <= 11


def test_noise_within_the_hysteresis_is_not_released():
    assert releases_in_ten_seconds(lambda step: 1.0) == 1


def test_the_request_limit_is_twice_a_proxys_share_of_the_capacity():
    views = [ServerView(f"s{i}", "h:1") for i in range(10)]
    assert request_limit(views, 10, 1) == 100
    assert request_limit(views, 10, 10) == 20


def test_without_a_capacity_per_server_there_is_no_request_limit():
    assert request_limit([ServerView(f"s{i}", "h:1") for i in range(10)], 0, 5) == 0


def test_ejected_servers_have_no_capacity():
    views = [ServerView(f"s{i}", "h:1", ejected=i >= 5) for i in range(10)]
    assert request_limit(views, 10, 10) == 10


def test_a_server_in_slow_start_has_a_fraction_of_its_capacity():
    assert request_limit([ServerView("s", "h:1", slow_start_factor=0.25)], 40, 2) == 10


def test_a_proxy_may_always_have_a_few_requests_in_flight():
    assert request_limit([], 10, 1000) == 3


def test_a_zone_has_priority_only_for_proxies_that_are_in_it():
    zones = {"a", "b"}
    assert [priority(zone, "a", zones) for zone in ("a", "b")] == [0, 1]
    assert [priority(zone, "c", zones) for zone in ("a", "b")] == [0, 0]


def listed(name: str, state: str = "in_service", port: int = 1) -> dict:
    return {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "lifecycle": state}


@pytest.fixture
def listed_a_and_b():
    endpoints = ListedEndpoints()
    endpoints.apply({"instances": [listed("a"), listed("b")]}, full=True, cached=False)
    return endpoints


def test_a_list_keeps_a_server_that_drains(listed_a_and_b):
    draining = {"instanceId": "a", "lifecycle": "terminating"}
    listed_a_and_b.apply({"instances": [draining]}, full=False, cached=False)
    assert listed_a_and_b.entries["a"]["hostPort"] == "127.0.0.1:1"
    assert listed_a_and_b.entries["a"]["lifecycle"] == "terminating"


def test_a_list_drops_a_terminated_server_and_ignores_invalid_entries(listed_a_and_b):
    terminated = {"instanceId": "a", "lifecycle": "terminated"}
    listed_a_and_b.apply({"instances": [terminated, None, {}, {"instanceId": 3}]}, full=False, cached=False)
    assert set(listed_a_and_b.entries) == {"b"}


def test_a_full_list_replaces_the_one_before(listed_a_and_b):
    listed_a_and_b.apply({"instances": [listed("c")]}, full=True, cached=False)
    assert set(listed_a_and_b.entries) == {"c"}


def test_a_cached_list_is_publishable_but_counts_as_old():
    endpoints = ListedEndpoints()
    endpoints.apply({"instances": [listed("a")]}, full=True, cached=False)
    restarted = ListedEndpoints()
    restarted.apply(endpoints.snapshot(), full=True, cached=True)
    assert restarted.is_publishable()
    assert not restarted.has_full_list
    assert restarted.entries == endpoints.entries


def test_an_empty_cached_list_is_not_publishable():
    endpoints = ListedEndpoints()
    endpoints.apply({"instances": []}, full=True, cached=True)
    assert not endpoints.is_publishable()


def reports(*failing: bool) -> LoadReports:
    """Returns the load reports of several proxies on one server, one proxy for each argument.

    A proxy for which the argument is true reports 1000 failed requests, another one 100 successful requests.
    """
    collected = LoadReports()
    for number, fails in enumerate(failing):
        good, bad = (0, 1000) if fails else (100, 0)
        collected.add(f"p{number}", "s1", good, bad, 0, 1.0)
    return collected


def test_failures_that_only_one_proxy_reports_do_not_count():
    (load,) = reports(True, False, False, False, False).collect()
    assert load.failures == 0
    assert load.successes == 1400


def test_the_failures_that_most_proxies_report_count():
    (load,) = reports(True, True, True, False, False).collect()
    assert load.successes == 0


def test_reports_are_taken_once():
    collected = reports(False)
    collected.collect()
    assert collected.collect() == []


def test_impossible_figures_are_bounded():
    collected = LoadReports()
    collected.add("p", "s", 1 << 60, -5, 1 << 60, 1e30)
    (load,) = collected.collect()
    assert load.successes == 10_000
    assert load.failures == 0
    assert load.latency_ms <= 3.6e6


def test_latency_is_the_requests_in_progress_over_their_rate():
    collected = LoadReports()
    collected.add("p", "s", 100, 0, 5, 2.0)  # 50 requests per second with 5 in progress take 100 ms each
    assert abs(collected.collect()[0].latency_ms - 100) < 1


def test_health_checks_are_spread_over_their_interval():
    schedule, servers = HealthCheckSchedule(SECOND, Random(1)), range(100)
    assert schedule.take_due(0, servers) == []
    counts = [len(schedule.take_due(now, servers)) for now in range(0, SECOND + 1, SECOND // 10)]
    assert sum(counts) == 100
    assert max(counts) < 30


def test_a_server_has_one_health_check_in_progress():
    schedule, servers = HealthCheckSchedule(SECOND, Random(1)), range(100)
    for now in (0, SECOND):
        schedule.take_due(now, servers)
    assert schedule.take_due(3 * SECOND, servers) == []
    schedule.complete(7)
    assert schedule.take_due(3 * SECOND, servers) == [7]


def test_a_server_that_is_no_longer_listed_is_forgotten():
    schedule = HealthCheckSchedule(SECOND, Random(1))
    schedule.take_due(0, range(100))
    assert schedule.take_due(9 * SECOND, []) == []
    assert not schedule.due_at


RULES = {"*.partner.example": ["orders"], "edge.example": ["*"], "a.partner.example": ["stock"]}


def test_without_rules_a_client_sees_all_clusters():
    assert allowed_clusters({}, ()) is None


@pytest.mark.parametrize("names", [(), ("partner.example",)])
def test_a_client_that_no_rule_matches_sees_nothing(names):
    assert allowed_clusters(RULES, names) == frozenset()


def test_a_client_sees_the_clusters_of_all_rules_that_match():
    assert allowed_clusters(RULES, ("a.partner.example",)) == {"orders", "stock"}
    assert allowed_clusters(RULES, ("nobody", "edge.example")) is None


@pytest.mark.parametrize("host", ["127.0.0.1", "127.9.9.9", "localhost", "::1", "[::1]"])
def test_an_address_of_this_machine_alone_is_loopback(host):
    assert is_loopback(host)


@pytest.mark.parametrize("host", ["0.0.0.0", "10.0.0.1", "[::]", "example.org", "127.0.0.1.example.org", ""])
def test_any_other_address_is_not_loopback(host):
    assert not is_loopback(host)
