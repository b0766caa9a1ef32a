"""The stand-ins' own behaviour, on which the tests that use them rely."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from node_support import run

from harecross.standins.cluster import Cluster, ClusterError
from harecross.standins.model import KeyCache, ServerCapacity, ServerModel
from harecross.standins.world import World

SECOND_US = 1_000_000


def test_requests_fill_the_slots_and_then_the_queue_and_are_then_rejected():
    model = ServerModel(ServerCapacity(slots=1, queue=1), 0)
    assert model.add(0, "a", 100) == 100
    assert model.add(0, "b", 100) == 0
    assert model.add(0, "c", 100) is None
    assert model.rejected == 1
    assert model.complete(100, "a") == ("b", 200)
    assert model.complete(200, "b") is None
    assert model.completed == 2
    assert model.worked_us == 200


def test_a_queued_request_can_be_cancelled_but_a_running_one_cannot():
    model = ServerModel(ServerCapacity(slots=1), 0)
    model.add(0, "a", 100)
    model.add(0, "b", 100)
    assert model.cancel("b")
    assert not model.cancel("a")
    assert model.complete(100, "a") is None


def test_the_speed_rises_linearly_during_slow_start():
    capacity = ServerCapacity(slow_start_speed=0.4, slow_start_us=10 * SECOND_US)
    model = ServerModel(capacity, 5 * SECOND_US)
    assert model.speed(5 * SECOND_US) == pytest.approx(0.4)
    assert model.speed(10 * SECOND_US) == pytest.approx(0.7)
    assert model.speed(15 * SECOND_US) == 1.0


def test_a_slowdown_divides_the_speed():
    model = ServerModel(ServerCapacity(), 0)
    model.slowdown = 4.0
    assert model.speed(0) == 0.25


def test_a_draining_server_completes_its_requests_and_queues_nothing_new():
    model = ServerModel(ServerCapacity(slots=1), 0)
    model.add(0, "a", 100)
    model.add(0, "b", 100)
    model.draining = True
    assert model.add(0, "c", 100) is None
    assert model.complete(100, "a") == ("b", 200)


def test_a_key_takes_effect_once_in_its_deduplication_window():
    cache = KeyCache(window_us=100)
    assert cache.add(0, b"k")
    assert not cache.add(99, b"k")
    assert cache.add(100, b"k")
    assert (cache.effects, cache.repeats) == (2, 1)


@pytest.mark.parametrize("invalid", [{"slots": 0}, {"queue": -1}, {"speed": 0}, {"slow_start_speed": 0}])
def test_an_invalid_capacity_is_rejected(invalid):
    with pytest.raises(ValueError, match="expected slots >= 1"):
        ServerCapacity(**invalid)


def test_invalid_commands_are_rejected_and_change_nothing():
    async def test() -> None:
        world = await World().start()
        await world.run({"do": "add", "name": "s"})
        for command, error in (
            ({"do": "add", "name": "s"}, ValueError),
            ({"do": "drain", "name": "t"}, KeyError),
            ({"do": "slow", "name": "s", "factor": 0}, ValueError),
            ({"do": "dance"}, ValueError),
            ({"do": "add", "name": "u", "shape": {"slots": 0}}, ValueError),
        ):
            with pytest.raises(error):
                await world.run(command)
        assert list((await world.run({"do": "stats"}))["servers"]) == ["s"]

    run(test())


def test_a_world_process_ends_when_its_standard_input_is_closed():
    child = subprocess.Popen(
        [sys.executable, "-m", "harecross.standins.world"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdin is not None
    assert child.stdout is not None
    child.stdin.write('{"do": "add", "name": "s"}\n{"do": "list"}\nnot json\n')
    child.stdin.flush()
    assert json.loads(child.stdout.readline()) == {"ok": True}
    assert json.loads(child.stdout.readline())["known"]["instances"][0]["instanceId"] == "s"
    assert json.loads(child.stdout.readline())["ok"] is False
    child.stdin.close()
    assert child.wait(timeout=30) == 0


def test_a_node_that_does_not_start_raises_an_error_and_leaves_no_process():
    async def body() -> None:
        cluster = Cluster([{"name": "s"}], 1, [])  # a node's settings are invalid without request classes
        with pytest.raises(ClusterError, match="n0 did not start: .*classes"):
            await cluster.__aenter__()
        assert not cluster.nodes[0].alive
        assert cluster.world is not None
        assert cluster.world.returncode is not None

    run(body())
