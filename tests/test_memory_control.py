"""The budget for bytes follows the size of the process."""

from __future__ import annotations

import pytest
from node_support import NodeEnvironment, run_with_node, wait_until

from harecross.node.handover_store import HandoverStore
from harecross.node.memory_control import (
    GIVE_BACK_INTERVAL_US,
    LOG_INTERVAL_US,
    RESERVE_BYTES,
    MemoryControl,
)
from harecross.node.memory_report import log_memory_at_start, log_memory_state
from harecross.node.process_sizes import ProcessSizes
from harecross.platform.allocator import FreeMemory
from harecross.platform.memory_ledger import (
    CHANGES_PER_CHECK,
    CONNECTION_BYTES,
    MAX_GROWTH_BYTES,
    MIN_BUDGET_BYTES,
    SCARCE_CHANGES_PER_CHECK,
    MemoryLedger,
)
from harecross.platform.process_memory import ProcessSize, ResidentSize
from harecross.soak.abusive_clients import upload_head

MB = 1 << 20
LIMIT = 32 * MB
SHARE = 8 * MB
BODIES = 20
BODY_BYTES = 50_000


class Process(FreeMemory):
    """A process whose size, clock and free memory the test sets."""

    def __init__(self, size: int | None) -> None:
        super().__init__()
        self.size = size
        self.free = 0
        self.now = 0
        self.ledger = MemoryLedger(SHARE)
        self.control = MemoryControl(self.ledger, LIMIT, self.read_size, self, lambda: self.now)

    def read_size(self) -> ProcessSize | None:
        """Replaces `ResidentSize.read`."""
        return None if self.size is None else ProcessSize(self.size, self.size)

    def give_back(self) -> None:
        """Gives back what the test says is free."""
        self.trims += 1
        assert self.size is not None
        self.size -= self.free
        self.free = 0


@pytest.mark.parametrize(
    ("size", "changes"), [(10 * MB, CHANGES_PER_CHECK), (29 * MB + MB // 4, SCARCE_CHANGES_PER_CHECK)]
)
def test_the_size_is_asked_for_although_no_more_is_held(size, changes):
    """Guards against a process that grows while connections come and go, and is not looked at."""
    process = Process(size)
    process.control.check()
    process.size = LIMIT
    for _ in range(changes):
        process.ledger.connection_opened()
        process.ledger.connection_closed()
    assert process.ledger.budget == MIN_BUDGET_BYTES


def test_the_budget_is_what_the_process_leaves_of_the_limit():
    """Guards against a budget that is a part of the limit, whatever the process takes itself."""
    process = Process(26 * MB)
    process.control.check()
    assert process.ledger.budget == LIMIT - RESERVE_BYTES - 26 * MB
    process.size = 10 * MB
    process.control.check()
    assert process.ledger.budget == SHARE


def test_the_budget_shrinks_when_the_process_grows_more_than_the_account():
    """Guards against bytes that are resident and in no account."""
    process = Process(26 * MB)
    process.control.check()
    process.size = 29 * MB
    process.ledger.bodies += MAX_GROWTH_BYTES
    process.ledger.note_peak()
    assert process.ledger.budget == MAX_GROWTH_BYTES + LIMIT - RESERVE_BYTES - 29 * MB


def test_connections_without_input_have_the_budget_adapted():
    """Guards against a crowd whose connections fill the process before its first bytes are read."""
    process = Process(20 * MB)
    process.control.check()
    process.size = 28 * MB
    for _ in range(MAX_GROWTH_BYTES // CONNECTION_BYTES + 1):
        process.ledger.connection_opened()
    assert process.ledger.budget == LIMIT - RESERVE_BYTES - 28 * MB
    assert process.ledger.held == 0


@pytest.mark.parametrize("size", [LIMIT, 2 * LIMIT])
def test_a_process_that_is_over_its_limit_still_serves_small_requests(size):
    """Guards against a node that refuses everything because its own size leaves nothing."""
    process = Process(size)
    process.control.check()
    assert process.ledger.budget == MIN_BUDGET_BYTES
    assert process.ledger.body_fits(1_000, 1_000)


def test_free_memory_is_given_back_before_anything_is_refused_and_not_at_every_check():
    """Guards against memory that is free and counts as taken, and against a visit of the heap at each look."""
    process = Process(31 * MB)
    process.now, process.free = GIVE_BACK_INTERVAL_US, 5 * MB
    process.control.check()
    assert process.ledger.budget == LIMIT - RESERVE_BYTES - 26 * MB
    process.size = 31 * MB
    process.control.check()
    assert process.trims == 1
    process.now += GIVE_BACK_INTERVAL_US
    process.control.check()
    assert process.trims == 2


def test_the_share_is_the_budget_where_the_kernel_tells_no_size():
    """Guards against a node that serves nothing on a system without /proc."""
    process = Process(None)
    process.control.check()
    assert process.ledger.budget == SHARE


def test_the_resident_size_is_that_of_this_process():
    """Guards against a size in other units."""
    size = ResidentSize().read()
    assert size is not None
    assert MB < size.own < size.resident < 1 << 34


def test_all_processes_of_a_node_and_their_files_count(tmp_path):
    """Guards against a second process that takes its share of a limit that the first one has used."""
    processes = [Process(14 * MB), Process(10 * MB)]
    for process in processes:
        store = HandoverStore(str(tmp_path), "n0")
        store.acquire_process_lock()
        process.control.sizes = ProcessSizes(store)
        process.control.refresh()
    first, second = processes
    assert second.control.left() <= LIMIT - RESERVE_BYTES - 24 * MB
    first.control.refresh()
    assert first.control.left() <= LIMIT - RESERVE_BYTES - 24 * MB
    (tmp_path / "file").write_bytes(bytes(MB))
    first.control.refresh()
    assert first.control.left() <= LIMIT - RESERVE_BYTES - 25 * MB
    assert second.control.sizes is not None
    second.control.sizes.store.release_process_lock()
    first.control.refresh()
    assert first.control.left() > LIMIT - RESERVE_BYTES - 16 * MB
    assert not list(tmp_path.glob("*.size-*"))[1:]


def test_a_process_that_has_not_told_its_size_counts_like_this_one(tmp_path):
    """Guards against a running process that makes room for a starting one when that has its size already."""
    running = Process(14 * MB)
    store, starting = (HandoverStore(str(tmp_path), "n0") for _ in range(2))
    store.acquire_process_lock()
    sizes = running.control.sizes = ProcessSizes(store)
    running.control.refresh()
    running.control.note_least_size()
    assert not sizes.others_changed()
    starting.acquire_process_lock()
    assert sizes.others_changed()
    running.control.refresh()
    assert not sizes.others_changed()
    assert running.control.left() <= LIMIT - RESERVE_BYTES - 28 * MB
    starting.release_process_lock()
    assert sizes.others_changed()


def test_a_running_process_refuses_large_bodies_for_one_that_starts(tmp_path):
    """Guards against two processes that together pass the limit until the next sweep."""

    async def test(env: NodeEnvironment) -> None:
        parts = env.node.parts
        control, store = parts.memory_control, HandoverStore(str(tmp_path), "n0")
        store.acquire_process_lock()
        control.sizes = ProcessSizes(store)
        control.read_size = lambda: ProcessSize(14 * MB, 14 * MB)
        control.limit = LIMIT
        control.refresh()
        control.note_least_size()
        clients = [await env.client() for _ in range(BODIES)]
        for number, client in enumerate(clients):
            client.writer.write(upload_head("Content-Length: 60000", f"r{number}") + bytes(BODY_BYTES))
        await wait_until(lambda: parts.pool.ledger.bodies == BODIES * BODY_BYTES)
        starting = HandoverStore(str(tmp_path), "n0")
        starting.acquire_process_lock()
        control.limit = 28 * MB
        parts.make_room_for_others()
        assert parts.pool.ledger.held <= MIN_BUDGET_BYTES
        starting.release_process_lock()

    run_with_node(test)


def test_a_change_of_short_memory_is_told_at_most_once_a_second():
    """Guards against a log without a line before a kill, and against one that a crowd fills."""
    process = Process(20 * MB)
    told: list[bool] = []
    process.control.on_change = lambda: told.append(process.control.is_short)
    process.control.check()
    assert told == []
    process.size = 30 * MB
    process.control.check()
    process.size = 20 * MB
    process.control.check()
    assert told == [True]
    process.now += LOG_INTERVAL_US
    process.control.check()
    assert told == [True, False]


def test_the_log_tells_what_takes_the_memory(capsys):
    """Guards against a report of a killed process that does not tell what took its memory."""

    async def test(env: NodeEnvironment) -> None:
        parts = env.node.parts
        parts.memory_control.is_short = True
        parts.memory_control.read_size = ResidentSize().read
        log_memory_state(parts)
        parts.memory_control.limit = MB
        log_memory_at_start(parts)
        env.node.sweeper.report()

    run_with_node(test)
    lines = capsys.readouterr().err.splitlines()
    assert any("memory short: memory_mb=" in each and "held_bodies_kb=0" in each for each in lines)
    assert any("memory_mb=1: " in each and "only small ones are served" in each for each in lines)
    report = next(each for each in lines if " served=" in each)
    assert report.index("resident_kb=") < report.index("reports=") < 200
