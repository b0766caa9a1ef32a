"""The account by itself, the plan, and whole runs in which something goes wrong: the sums must hold in each."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from harecross.replay.account import Account, End, Klass, retry_after
from harecross.replay.callers import Arrival, Habits, OpenLoop, Pool
from harecross.replay.page import page
from harecross.replay.plan import Event, plan_replay, read_event
from harecross.replay.run import execute, report
from harecross.standins.http import answer, header, listen, read_message
from harecross.traces.causes import BadTrace
from harecross.traces.summary import Trace

HERE = Path(__file__).parent / "traces"
SAFE = Klass("read", "safe", 1.0, 1_000_000, 2_000_000)
KEYED = Klass("put", "keyed", 5.0, 1_000_000, 2_000_000)
UNSAFE = Klass("pay", "unsafe", 5.0, 1_000_000, 2_000_000)


# ---- the account ------------------------------------------------------------------------------------


def test_service_is_worth_in_time_over_worth_asked():
    account = Account([SAFE, KEYED], 1_000_000)
    for ask, klass in enumerate((0, 0, 1, 1)):
        account.ask(ask, klass, due=100)
    assert account.end(0, 1_000_100, End.IN_TIME) == End.IN_TIME  # to the microsecond
    assert account.end(1, 1_000_101, End.IN_TIME) == End.LATE
    account.end(2, 200, End.IN_TIME)
    account.end(3, 200, End.REFUSED)
    figures = account.whole.figures()
    assert (figures["worth_asked"], figures["worth_in_time"], figures["service"]) == (12, 6, 0.5)
    assert [figures[k] for k in ("served_in_time", "served_late", "refused", "failed", "open")] == [
        2,
        1,
        1,
        0,
        0,
    ]
    assert account.check() == []


def test_a_retry_stands_under_its_first_try():
    """Counted as a fresh request, one that was refused once and served then would make two, half of them served."""
    account = Account([SAFE], 1_000_000)
    account.ask(0, 0, 0)
    account.sent(0)
    account.sent(0)
    account.end(0, 500_000, End.IN_TIME)
    figures = account.whole.figures()
    assert (figures["asked"], figures["tries"], figures["served_in_time"], figures["service"]) == (
        1,
        2,
        1,
        1.0,
    )


def test_a_request_ends_once():
    account = Account([SAFE], 1_000_000)
    account.ask(0, 0, 0)
    with pytest.raises(ValueError, match="asked twice"):
        account.ask(0, 0, 0)
    account.end(0, 1, End.FAILED)
    with pytest.raises(KeyError):
        account.end(0, 2, End.IN_TIME)


def test_an_account_that_does_not_add_up_says_so():
    account = Account([SAFE], 1_000_000)
    account.ask(0, 0, 0)
    account.by_class[0].ends[End.OPEN] -= 1
    assert account.check() == ["open: 1 in whole, 0 over classes"]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 1), st.integers(0, 10**7), st.sampled_from(End), st.integers(0, 3)),
        max_size=60,
    )
)
def test_the_sums_hold_whatever_happens(asks):
    account = Account([SAFE, KEYED], 700_000)
    for i, (klass, due, end, tries) in enumerate(asks):
        account.ask(i, klass, due)
        for _ in range(tries):
            account.sent(i)
        if end != End.OPEN:
            account.end(i, due + 10 * i, end)
    assert account.check() == []
    assert account.whole.asked == len(asks) and account.whole.tries == sum(a[3] for a in asks)
    assert sum(t.worth_asked for t in account.windows) == account.whole.worth_asked


def test_clients_repeat_only_what_is_harmless():
    assert retry_after(End.REFUSED, "unsafe", 1, 1, None, 100) == 100
    assert retry_after(End.REFUSED, "safe", 1, 1, 5000, 100) == 5000  # when they are told to come back
    assert retry_after(End.FAILED, "unsafe", 1, 1, None, 100) is None
    assert retry_after(End.FAILED, "keyed", 1, 1, None, 100) == 100
    assert retry_after(End.REFUSED, "safe", 2, 1, None, 100) is None


# ---- the clients ------------------------------------------------------------------------------------


def against(serve, arrivals: list[Arrival], klass: Klass = SAFE, retries: int = 1) -> OpenLoop:
    """Sends a plan to one scripted node."""

    async def body() -> OpenLoop:
        server, address = await listen(serve)
        host, _, port = address.rpartition(":")
        loop = OpenLoop([klass], [[Pool("n", lambda: (host, int(port)))]], Habits(retries, 1000), 1_000_000)

        async def plan():
            for arrival in arrivals:
                yield arrival

        async with asyncio.timeout(30):
            await loop.run(plan())
        server.close()
        return loop

    return uvloop.run(body())


def test_a_refused_request_is_one_request_on_the_wire_and_in_the_account():
    seen: list[bytes] = []

    async def serve(reader, writer) -> None:
        while True:
            try:
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            seen.append(header(head, b"x-request-id"))
            writer.write(
                answer(503, extra=b"Retry-After: 0.01\r\n") if len(seen) == 1 else answer(200, b"ok")
            )

    loop = against(serve, [Arrival(0, 0, 1000)])
    figures = loop.account.whole.figures()
    assert seen == [b"q0-1", b"q0-2"]
    assert (figures["asked"], figures["tries"], figures["served_in_time"]) == (1, 2, 1)


@pytest.mark.parametrize("klass", [SAFE, UNSAFE], ids=["safe", "unsafe"])
def test_a_cut_connection_is_repeated_only_where_that_is_harmless(klass):
    tries = 0

    async def serve(reader, writer) -> None:
        nonlocal tries
        await read_message(reader)
        tries += 1
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Le")
        writer.close()

    loop = against(serve, [Arrival(0, 0, 1000)], klass)
    assert tries == (2 if klass is SAFE else 1) and loop.account.whole.ends[End.FAILED] == 1


def test_a_node_that_says_nothing_costs_the_deadline_and_holds_up_nobody():
    """Open loop: the second request goes out while the first has no answer."""
    arrived = 0

    async def serve(reader, writer) -> None:
        nonlocal arrived
        head, _ = await read_message(reader)
        arrived += 1
        if b"/read/1 " in head:
            writer.write(answer(200, b"ok"))
        await reader.read()

    quick = Klass("read", "safe", 1.0, 200_000, 400_000)
    loop = against(serve, [Arrival(0, 0, 1), Arrival(1000, 0, 1)], quick)
    assert (
        arrived == 2
        and loop.account.whole.ends[End.FAILED] == 1
        and loop.account.whole.ends[End.IN_TIME] == 1
    )


def test_no_node_at_all_is_a_failure_and_not_a_hang():
    async def body() -> OpenLoop:
        server, address = await listen(lambda r, w: None)
        server.close()
        await server.wait_closed()
        host, _, port = address.rpartition(":")
        loop = OpenLoop([SAFE], [[Pool("n", lambda: (host, int(port)))]], Habits(1, 1000), 1_000_000)

        async def plan():
            yield Arrival(0, 0, 1)

        await loop.run(plan())
        return loop

    loop = uvloop.run(body())
    assert loop.account.whole.ends[End.FAILED] == 1 and loop.account.check() == []


# ---- the plan ---------------------------------------------------------------------------------------


def opened(*names: str, **more):
    return lambda: Trace([HERE / n for n in names], **more)


def test_speed_and_window_choose_what_is_sent():
    whole = plan_replay(opened("google_tasks.csv"))
    assert whole.due == [0, 100_000, 300_000, 500_000, 900_000] and whole.klass == [3, 0, 0, 2, 3]
    twice = plan_replay(opened("google_tasks.csv"), speed=2)
    assert twice.due == [d // 2 for d in whole.due] and twice.work == whole.work
    part = plan_replay(opened("google_tasks.csv"), start=0.1, length=0.4)
    assert part.due == [0, 200_000] and part.left_out == 3  # the request at 0.5 s is just beyond it


def test_work_is_that_of_the_same_job_and_task():
    """SCHEDULE to FINISH of job 2 are 400 ms, the only one known: its class has that, and all others the mean."""
    assert plan_replay(opened("google_tasks.csv"), mean_work_ms=10).work == [10_000] * 5
    calls = plan_replay(opened("ms_calls.csv"), mean_work_ms=22.5)
    assert sorted(calls.work) == [8000, 9000, 10_000, 33_000, 35_000, 40_000]  # the callee's 10 ms, not 12
    functions = plan_replay(opened("azure_2019_durations.csv", "azure_2019.csv"), mean_work_ms=28)
    assert sorted(functions.work) == [20_000] * 3 + [28_000] * 2 + [40_000] * 2


def test_calls_go_to_the_tier_that_their_rpcid_tells():
    plan = plan_replay(opened("ms_calls.csv"))
    assert plan.tier == [0, 1, 0, 0, 1, 1] and [len(p) for p in plan.servers] == [2, 2]
    assert plan.servers[1][0] == "t1s0"


def test_machines_that_stand_at_the_start_are_the_servers():
    plan = plan_replay(opened("google_machines.csv", "google_tasks.csv"), servers=2)
    assert plan.servers == [["m1", "m2"]] and plan.machines_left_out == 1
    assert plan.events == [Event(400_000, "remove", "m2")]


def test_a_part_without_a_request_is_told():
    with pytest.raises(BadTrace, match="no request in the part"):
        plan_replay(opened("google_tasks.csv"), start=100)
    with pytest.raises(BadTrace, match="no row makes a request"):
        plan_replay(opened("google_machines.csv"), start=1)


@pytest.mark.parametrize(
    "text", ["x:kill:s0", "1:burn:s0", "1:slow:s0", "1:kill:s0:2", "-1:kill:s0", "1:kill", ""]
)
def test_an_event_that_cannot_be_is_refused(text):
    with pytest.raises(ValueError, match="WHAT is remove, kill"):
        read_event(text)


# ---- whole runs -------------------------------------------------------------------------------------


def steady(rate: int, seconds: float, work: int = 5000) -> list[Arrival]:
    return [Arrival(int(i * 1e6 / rate), i % 2, work) for i in range(int(rate * seconds))]


def run(events: list[Event], servers: int = 3, nodes: int = 2, work: int = 5000) -> dict:
    names = [f"s{i}" for i in range(servers)]
    found = uvloop.run(execute(steady(150, 2.0, work), [SAFE, KEYED], [names], nodes, events))
    told = report(found)
    ends = ("served_in_time", "served_late", "refused", "failed", "open")
    assert told["asked"] == 300 == sum(told[k] for k in ends) and told["open"] == 0
    for part in (list(told["by_class"].values()), told["windows"]):
        assert all(sum(x[k] for x in part) == told[k] for k in ("asked", *ends))
    assert told["worth_asked"] == 900
    # No effect twice: a key takes effect at most once, and at least as often as it was served.
    put = told["by_class"]["put"]
    assert put["served_in_time"] + put["served_late"] <= found.world["effects"] <= put["asked"]
    return told


def test_a_node_that_is_killed_leaves_an_account_that_adds_up():
    told = run([Event(500_000, "kill-node", "n0")])
    assert [(n["name"], n["alive"]) for n in told["nodes"]] == [("n0", False), ("n1", True)]
    assert told["events"] == [{"at_s": 0.5, "what": "kill-node", "name": "n0", "done": True}]
    assert told["served_in_time"] >= 200 and told["samples"][-1]["nodes"] == 1


def test_a_slow_server_and_one_that_drains_are_told_and_the_drain_is_kept():
    told = run([Event(300_000, "slow", "s0", 20.0), Event(800_000, "drain", "s1")])
    assert [e["what"] for e in told["events"]] == ["slow", "drain"]
    assert told["servers"]["s1"]["latest_after_told_us"] <= 250_000
    assert told["servers"]["s0"]["slow"] == 20.0
    text = page(told, "<b> & a title")
    assert "&lt;b&gt; &amp; a title" in text and text.count("<svg") == 3 and "drain s1" in text


def test_a_server_that_is_killed_and_one_that_hangs():
    told = run([Event(300_000, "kill", "s0"), Event(600_000, "hang", "s1")])
    assert told["served_in_time"] >= 200 and all(e["done"] for e in told["events"])


def test_what_cannot_be_done_is_told_and_the_run_goes_on():
    told = run([Event(100_000, "drain", "s9"), Event(200_000, "kill-node", "n9")])
    assert [(e["done"], e["error"]) for e in told["events"]] == [
        (False, "\"no server named 's9'\""),
        (False, "no node named 'n9'"),
    ]


def test_a_late_generator_makes_a_run_invalid():
    async def body():
        found = await execute(steady(50, 0.5), [SAFE, KEYED], [["s0"]], 1, [])
        for _ in range(10):
            found.loop.lateness.record_value(50_000)
        return found

    told = report(uvloop.run(body()))
    assert told["valid"] is False and "Not valid" in page(told, "t")
