"""The stand-ins themselves: what they promise of a server must hold, or tests on top of them prove nothing."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from node_support import run

from harecross.standins.cluster import Cluster, ClusterError
from harecross.standins.model import Cell, ServerModel, Shape
from harecross.standins.world import World

SECOND = 1_000_000


def test_slots_then_queue_then_turned_away():
    m = ServerModel(Shape(slots=1, queue=1), 0)
    assert m.arrive(0, "a", 100) == 100
    assert m.arrive(0, "b", 100) == 0
    assert m.arrive(0, "c", 100) is None and m.rejected == 1
    assert m.finish(100, "a") == ("b", 200)
    assert m.finish(200, "b") is None and m.done == 2 and m.worked == 200


def test_what_waits_can_be_cancelled_and_what_runs_cannot():
    m = ServerModel(Shape(slots=1), 0)
    m.arrive(0, "a", 100)
    m.arrive(0, "b", 100)
    assert m.cancel("b") and not m.cancel("a") and m.finish(100, "a") is None


def test_a_cold_server_warms_up_evenly():
    m = ServerModel(Shape(cold_share=0.4, cold_time=10 * SECOND), 5 * SECOND)
    assert m.pace(5 * SECOND) == pytest.approx(0.4) and m.pace(10 * SECOND) == pytest.approx(0.7)
    assert m.pace(15 * SECOND) == 1.0
    m.slow = 4.0
    assert m.pace(15 * SECOND) == 0.25


def test_a_server_that_drains_ends_what_it_has_and_queues_nothing_new():
    m = ServerModel(Shape(slots=1), 0)
    m.arrive(0, "a", 100)
    m.arrive(0, "b", 100)
    m.draining = True
    assert m.arrive(0, "c", 100) is None and m.finish(100, "a") == ("b", 200)


def test_a_cell_remembers_a_key_for_its_window():
    cell = Cell(window=100)
    assert cell.run(0, b"k") and not cell.run(99, b"k") and cell.run(100, b"k")
    assert (cell.effects, cell.repeats) == (2, 1)


@pytest.mark.parametrize("bad", [{"slots": 0}, {"queue": -1}, {"speed": 0}, {"cold_share": 0}])
def test_a_server_that_cannot_be_is_refused(bad):
    with pytest.raises(ValueError, match="slot or more"):
        Shape(**bad)


def test_orders_that_cannot_be_are_refused_and_change_nothing():
    async def body() -> None:
        world = await World().start()
        await world.do({"do": "add", "name": "s"})
        for order, error in (
            ({"do": "add", "name": "s"}, ValueError),
            ({"do": "drain", "name": "t"}, KeyError),
            ({"do": "slow", "name": "s", "factor": 0}, ValueError),
            ({"do": "dance"}, ValueError),
            ({"do": "add", "name": "u", "shape": {"slots": 0}}, ValueError),
        ):
            with pytest.raises(error):
                await world.do(order)
        assert list((await world.do({"do": "stats"}))["servers"]) == ["s"]

    run(body())


def test_a_world_ends_with_its_parent():
    child = subprocess.Popen(
        [sys.executable, "-m", "harecross.standins.world"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert child.stdin is not None and child.stdout is not None
    child.stdin.write('{"do": "add", "name": "s"}\n{"do": "list"}\nnot json\n')
    child.stdin.flush()
    assert json.loads(child.stdout.readline()) == {"ok": True}
    assert json.loads(child.stdout.readline())["known"]["instances"][0]["instanceId"] == "s"
    assert json.loads(child.stdout.readline())["ok"] is False  # and it goes on
    child.stdin.close()
    assert child.wait(timeout=30) == 0


def test_a_node_that_cannot_start_is_told_and_nothing_is_left(monkeypatch):
    async def body() -> None:
        cluster = Cluster([{"name": "s"}], 1, [])  # no classes: no settings of a node
        with pytest.raises(ClusterError, match="n0 did not start: .*classes"):
            await cluster.__aenter__()
        assert (
            not cluster.nodes[0].alive and cluster.world is not None and cluster.world.returncode is not None
        )

    run(body())
