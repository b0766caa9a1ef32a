"""From a trace to what a replay sends: the window, the sample, work scaled to the stand-ins, machine events."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import polars as pl

from harecross.replay.account import Klass
from harecross.traces.causes import BadTrace, Tally
from harecross.traces.mapping import Classes
from harecross.traces.plan import ADD, DUE, KEY, KLASS, REMOVE, REQUESTS, TIER, WORK
from harecross.traces.summary import SECOND, Trace

REQUESTS_MOST = 5_000_000  # that one replay holds: choose a part with --from and --for, or --sample
MEAN_WORK_MS = 20.0  # to which the trace's mean work is scaled: hours of a batch task cannot be rehearsed
WORK_LEAST, WORK_MOST = 100, 2_000_000  # microseconds of one request's work after that
SLOTS = 8
LOAD = 0.5  # of the servers' slots, on average, where the trace does not tell how many servers there are
SERVERS_LEAST, SERVERS_MOST = 2, 1024


@dataclass(frozen=True, slots=True)
class Event:
    """Something that is done to the world: `at` in microseconds since the start."""

    at: int
    what: str  # add, remove, kill, drain, slow, hang; kill-node, stop-node
    name: str
    factor: float = 1.0


WHATS = ("remove", "kill", "drain", "slow", "hang", "kill-node", "stop-node")


def read_event(text: str) -> Event:
    """`SECONDS:WHAT:NAME[:FACTOR]`; ValueError says what is allowed."""
    parts = text.split(":")
    try:
        at = float(parts[0])
        what, name = parts[1], parts[2]
        factor = float(parts[3]) if len(parts) > 3 else 1.0
        if (
            what not in WHATS
            or at < 0
            or factor <= 0
            or len(parts) > 4
            or (what == "slow") != (len(parts) == 4)
        ):
            raise ValueError
    except (IndexError, ValueError):
        raise ValueError(
            f"--event {text}: SECONDS:WHAT:NAME, or SECONDS:slow:NAME:FACTOR; WHAT is {', '.join(WHATS)}"
        ) from None
    return Event(int(at * 1e6), what, name, factor)


@dataclass(frozen=True, slots=True)
class Replay:
    """What is sent and done, at the replay's speed."""

    due: list[int]  # microseconds since the start, in order
    klass: list[int]
    work: list[int]
    tier: list[int]
    classes: list[Klass]
    servers: list[list[str]]  # of each tier
    events: list[Event]
    format: str
    tally: Tally
    scale: float  # microseconds of work for one of the trace
    left_out: int  # requests before or after the part that is replayed, or not in the sample
    machines_left_out: int


def prefix(tier: int) -> str:
    """What names of a tier's servers and nodes begin with: nothing for the first."""
    return f"t{tier}" if tier else ""


def klasses(classes: Classes) -> list[Klass]:
    return [
        Klass(name, c.effect, c.worth, int(c.aim_ms * 1000), int(c.deadline_ms * 1000))
        for name, c in zip(classes.names, classes.maps, strict=True)
    ]


def first_due(trace: Trace) -> int:
    """When the trace's first request is due; one pass over the file."""
    least = None
    for frame in trace.requests():
        low = frame[DUE].min()
        if isinstance(low, int):
            least = low if least is None else min(least, low)
    if least is None:
        raise BadTrace(f"{trace.reader.paths[0]}: no row makes a request")
    return least


def plan_replay(
    open_trace: Callable[[], Trace],
    speed: float = 1.0,
    start: float = 0.0,
    length: float | None = None,
    sample: float = 1.0,
    servers: int | None = None,
    mean_work_ms: float = MEAN_WORK_MS,
) -> Replay:
    """Reads a trace into a replay. Times `start` and `length` are seconds of the trace. BadTrace if it can't."""
    windowed = start > 0 or length is not None
    t0 = first_due(open_trace()) if windowed else None
    trace = open_trace()
    low = None if t0 is None else t0 + int(start * 1e6)
    high = None if low is None or length is None else low + int(length * 1e6)
    kept: list[pl.DataFrame] = []
    durations: list[pl.DataFrame] = []
    total = held = 0
    work_sum, work_count = 0.0, 0
    for frame in trace.requests():
        assert trace.planner is not None
        total += frame.height
        if TIER not in frame.columns:
            frame = frame.with_columns(pl.lit(0, dtype=pl.UInt8).alias(TIER))
        if low is not None:
            frame = frame.filter(pl.col(DUE) >= low)
        if high is not None:
            frame = frame.filter(pl.col(DUE) < high)
        if sample < 1:
            draw = (
                pl.int_range(held, held + frame.height, eager=True).hash(trace.seed).cast(pl.Float64)
                / 2.0**64
            )
            frame = frame.filter(draw < sample)
        held += frame.height
        if held > REQUESTS_MOST:
            raise BadTrace(
                f"{trace.reader.paths[0]}: more than {REQUESTS_MOST:,} requests to replay; "
                "choose a part with --from and --for, or --sample"
            )
        kept.append(frame)
        durations.extend(trace.planner.durations)
        for works in (frame[WORK], *(d[WORK] for d in trace.planner.durations)):
            work_sum += float(works.sum() or 0.0)
            work_count += works.len() - works.null_count()
        if len(durations) > 64:
            # One row a key: a key's many spells would pile up.
            durations = [pl.concat(durations).group_by(KEY).agg(pl.col(WORK).mean())]
    if held == 0:
        raise BadTrace(f"{trace.reader.paths[0]}: no request in the part that is to be replayed")
    assert trace.classes is not None and trace.planner is not None
    requests = pl.concat(kept, how="vertical").select(*REQUESTS, TIER)
    if durations:
        told = pl.concat(durations).group_by(KEY).agg(pl.col(WORK).mean().alias("told"))
        requests = requests.join(told, on=KEY, how="left", maintain_order="left").with_columns(
            pl.coalesce(pl.col(WORK), pl.col("told")).alias(WORK)
        )
    requests = requests.with_columns(
        pl.col(WORK).fill_null(pl.col(WORK).mean().over(KLASS)).fill_null(pl.col(WORK).mean()).fill_null(1.0)
    ).sort(DUE, maintain_order=True)
    mean = requests[WORK].mean()
    scale = mean_work_ms * 1000 / mean if isinstance(mean, float) and mean > 0 else 1.0
    work = (requests[WORK] * scale).clip(WORK_LEAST, WORK_MOST).cast(pl.Int64)
    begin = low if low is not None else requests[DUE][0]
    due = ((requests[DUE] - begin).cast(pl.Float64) / speed).cast(pl.Int64)
    last = due[-1]
    names, events, machines_out = machines(trace, begin, speed, last, servers)
    tiers = int(requests[TIER].max()) + 1  # type: ignore[arg-type]
    pools = [names] if names else []
    for tier in range(len(pools), tiers):
        busy = float(work.filter(requests[TIER] == tier).sum()) / max(last, SECOND)
        count = servers or min(SERVERS_MOST, max(SERVERS_LEAST, math.ceil(busy / (SLOTS * LOAD))))
        pools.append([f"{prefix(tier)}s{i}" for i in range(count)])
    return Replay(
        due.to_list(), requests[KLASS].to_list(), work.to_list(), requests[TIER].to_list(),
        klasses(trace.classes), pools, events,
        trace.reader.name, trace.reader.tally, scale, total - held, machines_out,
    )  # fmt: skip


def machines(
    trace: Trace, begin: int, speed: float, last: int, most: int | None
) -> tuple[list[str], list[Event], int]:
    """The servers at the start, those that come and go by the trace's machines, and how many are left out."""
    assert trace.planner is not None
    if not trace.planner.machines:
        return [], [], 0
    rows = pl.concat(trace.planner.machines).sort(DUE, maintain_order=True)
    chosen: dict[int, str] = {}
    left_out: set[int] = set()
    present: set[int] = set()
    events: list[Event] = []
    for due, machine, event in rows.iter_rows():
        if machine not in chosen:
            if len(chosen) >= (most or SERVERS_MOST):
                left_out.add(machine)
                continue
            chosen[machine] = f"m{machine}"
        name = chosen[machine]
        at = int((due - begin) / speed)
        if event == ADD and machine not in present:
            present.add(machine)
        elif event == REMOVE and machine in present:
            present.discard(machine)
        else:
            continue  # an UPDATE, or what is so already
        events.append(Event(max(0, at), "add" if event == ADD else "remove", name))
    # What happened before the part that is replayed stands at its start.
    standing: dict[str, bool] = {}
    for e in events:
        if e.at <= 0:
            standing[e.name] = e.what == "add"
    names = [n for n, up in standing.items() if up]
    later = [e for e in events if 0 < e.at <= last]
    if not names:
        raise BadTrace("machine_events: no machine is there when the replay starts")
    return names, later, len(left_out)


def default_paths(paths: list[Path]) -> list[Path]:
    """As given; BadTrace for one that is no file."""
    for path in paths:
        if not path.is_file():
            raise BadTrace(f"{path}: {'is a folder' if path.is_dir() else 'no such file'}")
    return paths
