"""Plans a replay: selects requests of a trace, scales their work, and derives servers and events from its machines."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import polars as pl

from harecross.interface import Idempotency
from harecross.replay.accounting import RequestClass
from harecross.traces.mapping import TraceClasses
from harecross.traces.request_planner import (
    ADD_EVENT,
    CLASS,
    DUE,
    KEY,
    REMOVE_EVENT,
    REQUEST_SCHEMA,
    TIER,
    WORK,
)
from harecross.traces.row_tally import RowTally, TraceError
from harecross.traces.summary import SECOND_US, Trace

MAX_REQUESTS = 5_000_000  # limits memory: a replay holds all its requests
# Work is scaled to this mean, because batch tasks of several hours cannot be replayed at their full length.
DEFAULT_MEAN_WORK_MS = 20.0
MIN_WORK_US, MAX_WORK_US = 100, 2_000_000
SERVER_SLOTS = 8  # how many requests a stand-in server processes at once
# The mean share of busy server slots for which the number of servers is chosen if the trace does not contain it.
TARGET_LOAD = 0.5
MIN_SERVERS, MAX_SERVERS = 2, 1024
# Durations are combined by key when there are more frames than this, which limits memory.
MAX_DURATION_FRAMES = 64
RECORDED_WORK = "recorded_work"  # the column with the mean recorded duration of a request's key
IDEMPOTENCY_BY_EFFECT = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENCY_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}


class EventAction(StrEnum):
    """What an event does to a server or a node. The values are used in the option --event and in the JSON report."""

    ADD = "add"
    REMOVE = "remove"
    KILL = "kill"
    DRAIN = "drain"
    SLOW = "slow"
    HANG = "hang"
    KILL_NODE = "kill-node"
    STOP_NODE = "stop-node"


# The actions that the option --event accepts; only machine events of a trace add servers.
OPERATOR_ACTIONS = [action for action in EventAction if action is not EventAction.ADD]


@dataclass(frozen=True, slots=True)
class Event:
    """An event of the replay. `at_us` is its time since the start; `factor` is the slowdown of `EventAction.SLOW`."""

    at_us: int
    action: EventAction
    name: str
    factor: float = 1.0


def parse_event(text: str) -> Event:
    """Parses `SECONDS:WHAT:NAME[:FACTOR]`. Raises ValueError, with the allowed syntax, if `text` does not match."""
    parts = text.split(":")
    try:
        at_s = float(parts[0])
        action, name = EventAction(parts[1]), parts[2]
        factor = float(parts[3]) if len(parts) > 3 else 1.0
        fields = 4 if action is EventAction.SLOW else 3
        if action not in OPERATOR_ACTIONS or at_s < 0 or factor <= 0 or len(parts) != fields:
            raise ValueError(text)
    except (IndexError, ValueError):
        allowed = ", ".join(OPERATOR_ACTIONS)
        raise ValueError(
            f"--event {text}: SECONDS:WHAT:NAME, or SECONDS:slow:NAME:FACTOR; WHAT is {allowed}"
        ) from None
    return Event(int(at_s * 1e6), action, name, factor)


@dataclass(frozen=True, slots=True)
class ReplayOptions:
    """Which requests of a trace are replayed, and how.

    Attributes:
        speed: The speed of the replay relative to the trace.
        start_s: The start of the replayed part, in seconds of the trace after its first request.
        length_s: The length of the replayed part in seconds of the trace; None for the rest of the trace.
        sample: The share of requests that are replayed, above 0 and at most 1.
        servers: The number of servers of a tier, and the maximum number of machines; None to derive it from the trace.
        mean_work_ms: The mean to which the work of the requests is scaled, in milliseconds.
    """

    speed: float = 1.0
    start_s: float = 0.0
    length_s: float | None = None
    sample: float = 1.0
    servers: int | None = None
    mean_work_ms: float = DEFAULT_MEAN_WORK_MS


@dataclass(frozen=True, slots=True)
class ReplayPlan:
    """The requests and events of a replay, with times at the speed of the replay.

    Attributes:
        due_us: The due time of each request, in ascending order.
        class_index: The index in `classes` of each request's class.
        work_us: The work of each request.
        tier: The tier of each request.
        classes: The request classes.
        servers: The names of the servers of each tier.
        events: The events from the trace's machines.
        format: The name of the trace's format.
        tally: The counts of the trace's rows.
        work_scale: The replayed work in microseconds for one unit of work in the trace.
        requests_left_out: The number of requests outside the replayed part or the sample.
        machines_left_out: The number of machines of the trace that have no server in the replay.
    """

    due_us: list[int]
    class_index: list[int]
    work_us: list[int]
    tier: list[int]
    classes: list[RequestClass]
    servers: list[list[str]]
    events: list[Event]
    format: str
    tally: RowTally
    work_scale: float
    requests_left_out: int
    machines_left_out: int


def tier_prefix(tier: int) -> str:
    """Returns the prefix of the names of a tier's servers and nodes; it is empty for the first tier."""
    return f"t{tier}" if tier else ""


def request_classes(classes: TraceClasses) -> list[RequestClass]:
    """Converts the request classes of a trace to those of the clients."""
    return [
        RequestClass(
            name, IDEMPOTENCY_BY_EFFECT[c.effect], c.worth, int(c.aim_ms * 1000), int(c.deadline_ms * 1000)
        )
        for name, c in zip(classes.names, classes.mappings, strict=True)
    ]


def plan_replay(open_trace: Callable[[], Trace], options: ReplayOptions | None = None) -> ReplayPlan:
    """Reads a trace and returns the plan of its replay. Raises TraceError if it cannot be replayed."""
    options = options or ReplayOptions()
    bounds = _part_bounds(open_trace, options)
    trace = open_trace()
    selection = _select_requests(trace, bounds, options.sample)
    assert trace.classes is not None
    requests = _with_work(selection)
    work_scale = _work_scale(requests, options.mean_work_ms)
    work = (requests[WORK] * work_scale).clip(MIN_WORK_US, MAX_WORK_US).cast(pl.Int64)
    begin = bounds.low if bounds.low is not None else requests[DUE][0]
    due = ((requests[DUE] - begin).cast(pl.Float64) / options.speed).cast(pl.Int64)
    machines = _machine_servers(trace, begin, options.speed, due[-1], options.servers)
    return ReplayPlan(
        due_us=due.to_list(),
        class_index=requests[CLASS].to_list(),
        work_us=work.to_list(),
        tier=requests[TIER].to_list(),
        classes=request_classes(trace.classes),
        servers=_tier_servers(machines.names, requests[TIER], work, due[-1], options.servers),
        events=machines.events,
        format=trace.reader.name,
        tally=trace.reader.tally,
        work_scale=work_scale,
        requests_left_out=selection.read - selection.requests.height,
        machines_left_out=machines.left_out,
    )


def _work_scale(requests: pl.DataFrame, mean_work_ms: float) -> float:
    mean = requests[WORK].mean()
    return mean_work_ms * 1000 / mean if isinstance(mean, float) and mean > 0 else 1.0


@dataclass(frozen=True, slots=True)
class _Bounds:
    """The time range of the trace that is replayed, in microseconds of the trace; None stands for no bound."""

    low: int | None = None
    high: int | None = None


def _part_bounds(open_trace: Callable[[], Trace], options: ReplayOptions) -> _Bounds:
    if options.start_s <= 0 and options.length_s is None:
        return _Bounds()
    low = _first_due(open_trace()) + int(options.start_s * 1e6)
    return _Bounds(low, None if options.length_s is None else low + int(options.length_s * 1e6))


def _first_due(trace: Trace) -> int:
    """Returns the due time of the trace's first request. Reads all files once, since requests are not in order."""
    first = None
    for frame in trace.requests():
        due = frame[DUE].min()
        if isinstance(due, int):
            first = due if first is None else min(first, due)
    if first is None:
        raise TraceError(f"{trace.reader.paths[0]}: the trace contains no request")
    return first


@dataclass(frozen=True, slots=True)
class _Selection:
    """The requests that are replayed, their recorded durations by key, and the number of requests read."""

    requests: pl.DataFrame
    durations: pl.DataFrame | None
    read: int


def _select_requests(trace: Trace, bounds: _Bounds, sample: float) -> _Selection:
    selected: list[pl.DataFrame] = []
    durations: list[pl.DataFrame] = []
    read = kept = 0
    for frame in trace.requests():
        assert trace.planner is not None
        read += frame.height
        part = _filter_frame(frame, bounds, sample, kept, trace.seed)
        kept += part.height
        if kept > MAX_REQUESTS:
            raise TraceError(
                f"{trace.reader.paths[0]}: more than {MAX_REQUESTS:,} requests to replay; "
                "select fewer with --from and --for, or with --sample"
            )
        selected.append(part)
        durations.extend(trace.planner.durations)
        if len(durations) > MAX_DURATION_FRAMES:
            durations = [_mean_by_key(durations)]
    if kept == 0:
        raise TraceError(
            f"{trace.reader.paths[0]}: no request in the part of the trace that is to be replayed"
        )
    requests = pl.concat(selected, how="vertical").select(*REQUEST_SCHEMA, TIER)
    return _Selection(requests, _mean_by_key(durations) if durations else None, read)


def _filter_frame(frame: pl.DataFrame, bounds: _Bounds, sample: float, kept: int, seed: int) -> pl.DataFrame:
    """Returns the requests of a frame that are within the bounds and in the sample.

    `kept` is the number of requests selected from earlier frames, and the position in the sequence of random draws at
    which the draws of this frame start.
    """
    if TIER not in frame.columns:
        frame = frame.with_columns(pl.lit(0, dtype=pl.UInt8).alias(TIER))
    if bounds.low is not None:
        frame = frame.filter(pl.col(DUE) >= bounds.low)
    if bounds.high is not None:
        frame = frame.filter(pl.col(DUE) < bounds.high)
    if sample < 1:
        positions = pl.int_range(kept, kept + frame.height, eager=True)
        draw = positions.hash(seed).cast(pl.Float64) / 2.0**64
        frame = frame.filter(draw < sample)
    return frame


def _mean_by_key(durations: list[pl.DataFrame]) -> pl.DataFrame:
    return pl.concat(durations).group_by(KEY).agg(pl.col(WORK).mean())


def _with_work(selection: _Selection) -> pl.DataFrame:
    """Returns the requests in the order of their due times, each with its work.

    A request without work of its own gets the mean of its key, else that of its class, else that of all requests.
    """
    requests = selection.requests
    if selection.durations is not None:
        recorded = selection.durations.rename({WORK: RECORDED_WORK})
        requests = requests.join(recorded, on=KEY, how="left", maintain_order="left").with_columns(
            pl.coalesce(pl.col(WORK), pl.col(RECORDED_WORK)).alias(WORK)
        )
    work = pl.col(WORK)
    work = work.fill_null(work.mean().over(CLASS)).fill_null(work.mean()).fill_null(1.0)
    return requests.with_columns(work).sort(DUE, maintain_order=True)


def _tier_servers(
    machines: list[str], tier: pl.Series, work: pl.Series, last_due_us: int, servers: int | None
) -> list[list[str]]:
    """Returns the names of the servers of each tier.

    The trace's machines, if it has any, are the servers of the first tier. A tier without machines has `servers`
    servers, or a number derived from the work of its requests if that is None.
    """
    tiers = int(tier.max()) + 1  # type: ignore[arg-type]
    pools = [machines] if machines else []
    for index in range(len(pools), tiers):
        busy_servers = float(work.filter(tier == index).sum()) / max(last_due_us, SECOND_US)
        needed = math.ceil(busy_servers / (SERVER_SLOTS * TARGET_LOAD))
        count = servers or min(MAX_SERVERS, max(MIN_SERVERS, needed))
        pools.append([f"{tier_prefix(index)}s{i}" for i in range(count)])
    return pools


@dataclass(frozen=True, slots=True)
class _MachineServers:
    """The servers present at the start, the events that add and remove servers, and how many machines are left out."""

    names: list[str]
    events: list[Event]
    left_out: int


def _machine_servers(
    trace: Trace, begin: int, speed: float, last_due_us: int, servers: int | None
) -> _MachineServers:
    """Converts the machine events of a trace to servers and events.

    Raises TraceError if the trace has machines and none of them is present at the start.
    """
    assert trace.planner is not None
    if not trace.planner.machines:
        return _MachineServers([], [], 0)
    rows = pl.concat(trace.planner.machines).sort(DUE, maintain_order=True)
    events, left_out = _machine_events(rows, begin, speed, servers or MAX_SERVERS)
    # The events before the replayed part determine which machines are present at its start.
    present: dict[str, bool] = {}
    for event in events:
        if event.at_us <= 0:
            present[event.name] = event.action is EventAction.ADD
    names = [name for name, is_present in present.items() if is_present]
    if not names:
        raise TraceError("machine_events: no machine is present when the replay starts")
    return _MachineServers(names, [event for event in events if 0 < event.at_us <= last_due_us], left_out)


def _machine_events(
    rows: pl.DataFrame, begin: int, speed: float, max_machines: int
) -> tuple[list[Event], int]:
    """Returns the events of the first `max_machines` machines, and the number of the others."""
    chosen: set[int] = set()
    left_out: set[int] = set()
    present: set[int] = set()
    events: list[Event] = []
    for due, machine, kind in rows.iter_rows():
        if machine not in chosen:
            if len(chosen) >= max_machines:
                left_out.add(machine)
                continue
            chosen.add(machine)
        if kind == ADD_EVENT and machine not in present:
            present.add(machine)
            action = EventAction.ADD
        elif kind == REMOVE_EVENT and machine in present:
            present.discard(machine)
            action = EventAction.REMOVE
        else:
            continue  # an UPDATE event, or an event that changes nothing
        events.append(Event(max(0, int((due - begin) / speed)), action, f"m{machine}"))
    return events, len(left_out)


def check_paths(paths: list[Path]) -> None:
    """Raises TraceError for a path that is not a file."""
    for path in paths:
        if not path.is_file():
            raise TraceError(f"{path}: {'is a folder' if path.is_dir() else 'no such file'}")
