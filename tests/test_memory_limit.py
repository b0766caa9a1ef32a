"""A node keeps to the least memory that the platform gives, whatever hundreds of clients do."""

from __future__ import annotations

import pytest
from node_support import run

from benchmarks.other_clients import Crowd, Servers, Suspension, measure
from harecross.soak.abusive_clients import HOARDING_KINDS

LEAST_MEMORY_MB = 32
CLIENTS = 850
SERVERS = Servers(18)
SECONDS = 2.0
LARGEST_LIST = 3200


@pytest.mark.parametrize("kind", [*HOARDING_KINDS, "mix"])
def test_one_process_keeps_to_the_least_memory_limit(kind):
    """Guards against a crowd for which a process is killed at the least limit."""

    async def test() -> None:
        result = await measure(Crowd(kind, CLIENTS, SECONDS), LEAST_MEMORY_MB, SERVERS)
        assert result.memory is not None
        assert result.memory.peak <= LEAST_MEMORY_MB << 20
        assert result.outcome.late == 0

    run(test())


@pytest.mark.parametrize("kind", ["slow readers", "unread answers", "half small bodies"])
def test_a_process_that_was_stopped_while_a_crowd_wrote_keeps_to_the_limit(kind):
    """Guards against a crowd whose bytes are all read at once when the process goes on."""

    async def test() -> None:
        result = await measure(Crowd(kind, CLIENTS, SECONDS), LEAST_MEMORY_MB, SERVERS, Suspension(1.5))
        assert result.memory is not None
        assert result.memory.peak <= LEAST_MEMORY_MB << 20

    run(test())


@pytest.mark.parametrize(
    ("servers", "suspension"),
    [
        (Servers(18, answer_delay_s=0.1), Suspension(0.4, after_s=0.3)),
        (Servers(18, answer_delay_s=0.01), Suspension(0.8, after_s=0.5)),
        (Servers(80, answer_delay_s=0.3), Suspension(0.4, after_s=0.3)),
    ],
)
def test_responses_that_arrive_while_a_process_is_stopped_keep_to_the_limit(servers, suspension):
    """Guards against responses of many servers that are all read in one turn of the event loop."""

    async def test() -> None:
        crowd = Crowd("unread answers", CLIENTS, SECONDS)
        result = await measure(crowd, LEAST_MEMORY_MB, servers, suspension)
        assert result.memory is not None
        assert result.memory.peak <= LEAST_MEMORY_MB << 20
        assert result.outcome.late == 0

    run(test())


@pytest.mark.parametrize("kind", ["half small bodies", "mix"])
def test_a_process_with_a_large_list_keeps_to_the_least_memory_limit(kind):
    """Guards against a start that takes more than the limit, and a crowd that gets what the list has used."""

    async def test() -> None:
        servers = Servers(18, entries=LARGEST_LIST)
        result = await measure(Crowd(kind, CLIENTS, SECONDS), LEAST_MEMORY_MB, servers)
        assert result.memory is not None
        assert result.memory.peak <= LEAST_MEMORY_MB << 20
        assert result.outcome.late == 0

    run(test())
