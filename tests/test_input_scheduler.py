"""The queues of connections whose input waits for its share of a turn."""

from __future__ import annotations

import asyncio
from itertools import pairwise

from node_support import run

from harecross.downstream.input_scheduler import TURN_SHARE_US, InputScheduler

NEVER_US = -(1 << 62)


class Source:
    """A connection whose share takes a fixed time; `shares` are left."""

    def __init__(self, scheduler: InputScheduler, log: list[Source], shares: int, cost_us: int) -> None:
        self.scheduler, self.log, self.shares, self.cost_us = scheduler, log, shares, cost_us
        self.flooded_at_us = NEVER_US
        self.input_queued = False

    def parse_share(self) -> None:
        """Spends the time of one share."""
        self.log.append(self)
        clock[0] += self.cost_us
        self.shares -= 1
        if self.shares:
            self.scheduler.exceeded(self)
            self.scheduler.defer(self)


clock = [0]


def make_scheduler() -> InputScheduler:
    """Returns a scheduler whose time only passes while shares are parsed."""
    return InputScheduler(asyncio.get_running_loop(), monotonic=lambda: clock[0])


def test_each_connection_gets_one_share_of_a_turn_and_all_get_theirs():
    """Guards against a flood that is parsed to its end before others have their turn."""

    async def test() -> None:
        scheduler = make_scheduler()
        log: list[Source] = []
        sources = [Source(scheduler, log, shares=5, cost_us=100) for _ in range(4)]
        for source in sources:
            scheduler.defer(source)
            scheduler.defer(source)
        while any(source.shares for source in sources):
            before = len(log)
            await asyncio.sleep(0)
            assert len(set(log[before:])) == len(log[before:])
        assert len(log) == 20

    run(test())


def test_a_turn_ends_when_its_time_is_used_up_and_floods_are_never_starved():
    """Guards against a turn that grows with the number of connections, and against floods that wait for ever."""

    async def test() -> None:
        scheduler = make_scheduler()
        log: list[Source] = []
        flood = Source(scheduler, log, shares=8, cost_us=TURN_SHARE_US)
        scheduler.exceeded(flood)
        scheduler.defer(flood)
        moderate = [Source(scheduler, log, shares=1, cost_us=TURN_SHARE_US // 2) for _ in range(12)]
        for source in moderate:
            scheduler.defer(source)
        times = [clock[0]]
        while any(source.shares for source in moderate):
            await asyncio.sleep(0)
            times.append(clock[0])
        assert max(after - before for before, after in pairwise(times)) <= 2 * TURN_SHARE_US
        assert log[0] is moderate[0]
        assert flood.shares < 8

    run(test())


def test_input_waits_once_the_turn_is_used_up_or_its_connection_floods():
    """Guards against input that is parsed at once however much of the turn is gone."""

    async def test() -> None:
        scheduler = make_scheduler()
        log: list[Source] = []
        source, flood = (Source(scheduler, log, shares=1, cost_us=1) for _ in range(2))
        scheduler.exceeded(flood)
        assert scheduler.may_parse(source, clock[0])
        assert not scheduler.may_parse(flood, clock[0])
        began = clock[0]
        clock[0] += TURN_SHARE_US
        scheduler.record(began)
        assert not scheduler.may_parse(source, clock[0])
        await asyncio.sleep(0)
        assert scheduler.may_parse(source, clock[0])

    run(test())
