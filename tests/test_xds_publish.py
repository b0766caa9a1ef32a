"""What is published to proxies: urgent drains, bounded ejections, stable weights and slow start in steps."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from node_support import entry, update

from harecross.discovery import listed_endpoints
from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.xds.published import Health, PublishedEndpoint, ServerView, is_urgent
from harecross.xds.publisher import MASS_REMOVAL_HOLD_US, ClusterPublisher


def views(count: int = 4, **fields) -> list[ServerView]:
    return [ServerView(f"s{i}", f"127.0.0.1:{i}", **fields) for i in range(count)]


def names(endpoints: list[PublishedEndpoint]) -> set[str]:
    return {endpoint.name for endpoint in endpoints}


def publisher_of(count: int) -> ClusterPublisher:
    """Returns a publisher that published `count` healthy servers at time 0."""
    publisher = ClusterPublisher()
    publisher.update_endpoints(0, views(count))
    return publisher


def test_a_drain_and_an_ejection_are_published_and_urgent():
    publisher = ClusterPublisher()
    before = publisher.update_endpoints(0, views())
    changed = views()
    changed[0], changed[1] = replace(changed[0], draining=True), replace(changed[1], ejected=True)
    after = publisher.update_endpoints(1, changed)
    assert [endpoint.health for endpoint in after] == [
        Health.DRAINING, Health.UNHEALTHY, Health.HEALTHY, Health.HEALTHY,
    ]  # fmt: skip
    assert is_urgent(before, after)
    assert not is_urgent(after, after)


def test_a_weight_alone_is_not_urgent():
    publisher = ClusterPublisher()
    before = publisher.update_endpoints(0, views())
    changed = [replace(view, cost=1.0 + 3 * (view.name == "s0")) for view in views()]
    after = publisher.update_endpoints(1, changed)
    assert before != after
    assert not is_urgent(before, after)


def test_with_most_servers_ejected_all_stay_healthy_and_ejected_ones_get_the_minimum_weight():
    ejected = [replace(view, ejected=view.name != "s0") for view in views()]
    published = ClusterPublisher().update_endpoints(0, ejected)
    expected = [(Health.HEALTHY, 100)] + [(Health.HEALTHY, 10)] * 3
    assert [(endpoint.health, endpoint.weight) for endpoint in published] == expected


def test_with_half_of_the_servers_ejected_the_ejected_ones_are_unhealthy():
    ejected = [replace(view, ejected=view.name < "s2") for view in views()]
    published = ClusterPublisher().update_endpoints(0, ejected)
    assert [endpoint.health for endpoint in published] == [Health.UNHEALTHY] * 2 + [Health.HEALTHY] * 2


def test_the_servers_of_a_mass_removal_stay_published_for_the_hold_time():
    publisher = publisher_of(6)
    assert len(publisher.update_endpoints(1_000_000, views(1))) == 6
    assert len(publisher.update_endpoints(MASS_REMOVAL_HOLD_US, views(1))) == 6
    assert len(publisher.update_endpoints(1_000_000 + MASS_REMOVAL_HOLD_US, views(1))) == 1


def test_the_removal_of_one_server_is_published_at_once():
    assert len(publisher_of(6).update_endpoints(1, views(5))) == 5


def test_the_removal_of_draining_servers_is_published_at_once():
    publisher = publisher_of(5)
    publisher.update_endpoints(2, [replace(view, draining=True) for view in views(5)])
    assert publisher.update_endpoints(3, []) == []


def test_a_hold_ends_when_discovery_reports_the_server_as_terminated():
    publisher = publisher_of(6)
    assert len(publisher.update_endpoints(1, views(1))) == 6
    published = publisher.update_endpoints(2, views(1), terminated={"s4"})
    assert names(published) == {"s0", "s1", "s2", "s3", "s5"}


def test_a_hold_ends_when_another_server_has_the_address():
    publisher = publisher_of(6)
    assert len(publisher.update_endpoints(1, views(1))) == 6
    replacement = replace(views(3)[2], name="new")
    published = publisher.update_endpoints(3, [*views(1), replacement])
    assert names(published) == {"s0", "s1", "s3", "s4", "s5", "new"}, "the replacement has the address of s2"


def test_a_hold_does_not_end_for_servers_reported_as_terminated_with_the_mass_removal():
    publisher = publisher_of(6)
    terminated = {f"s{i}" for i in range(1, 6)}
    assert len(publisher.update_endpoints(1, views(1), terminated=terminated)) == 6
    assert len(publisher.update_endpoints(2, views(1), terminated=terminated)) == 6


def test_a_weight_that_fluctuates_within_the_hysteresis_is_published_once():
    publisher, rng = publisher_of(4), Random(1)
    changes = 0
    last = publisher.endpoints
    for now in range(1, 500):
        publisher.update_endpoints(
            now, [replace(view, cost=1.0 + 0.06 * rng.uniform(-1, 1)) for view in views()]
        )
        changes += publisher.endpoints != last
        last = publisher.endpoints
    assert changes == 0


def test_a_server_of_twice_the_cost_gets_a_smaller_weight():
    changed = [replace(view, cost=2.0 if view.name == "s0" else 1.0) for view in views()]
    assert publisher_of(4).update_endpoints(501, changed)[0].weight < 80


def test_the_weight_of_a_server_in_slow_start_rises_in_steps_within_its_capacity():
    publisher = ClusterPublisher()
    weights = set()
    for percent in range(40, 101):
        factor = percent / 100
        starting = [replace(view, slow_start_factor=factor if view.name == "s0" else 1.0) for view in views()]
        published = publisher.update_endpoints(percent, starting)
        assert published[0].weight <= max(factor, 0.125) * published[1].weight
        weights.add(published[0].weight)
    assert sorted(weights) == [25, 50, 75, 100]


def test_the_weight_of_a_cheap_server_in_slow_start_is_limited_by_the_mean_weight():
    starting = [
        replace(view, cost=0.1 if view.name == "s0" else 1.0, slow_start_factor=0.5) for view in views()
    ]
    assert ClusterPublisher().update_endpoints(0, starting)[0].weight <= 50


def test_a_list_keeps_the_names_of_terminated_servers_until_they_are_listed_again():
    endpoints = ListedEndpoints()
    endpoints.apply(update(1, entry("a", "h:1"), entry("b", "h:2")), full=True, cached=False)
    endpoints.apply(update(2, entry("a", "h:1", "terminated")), full=False, cached=False)
    endpoints.apply(update(3, entry("b", "h:2"), reset=True), full=True, cached=False)
    assert set(endpoints.terminated) == {"a"}
    assert set(endpoints.entries) == {"b"}
    endpoints.apply(update(4, entry("a", "h:1")), full=False, cached=False)
    assert not endpoints.terminated


def test_a_list_keeps_the_names_of_a_limited_number_of_terminated_servers(monkeypatch):
    monkeypatch.setattr(listed_endpoints, "MAX_TERMINATED", 3)
    endpoints = ListedEndpoints()
    for i in range(20):
        endpoints.apply(update(i, entry(f"x{i}", "h:3", "terminated")), full=False, cached=False)
    assert list(endpoints.terminated) == ["x17", "x18", "x19"]
