"""What a copy has learned, for the process that takes over from it: taken out and put in. Free of I/O.

No times are handed on, since each process has a clock of its own; servers go by discovery's ids.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from math import isfinite
from typing import Any

from harecross.policy.balancer import Balancer
from harecross.policy.outlier_detection import MAX_SLOWNESS, MIN_SLOWNESS


def export_learned_state(balancer: Balancer, names: Mapping[str, int]) -> bytes | None:
    """What there is to hand on; None before the first pass has measured anything."""
    ctl = balancer.controller
    if ctl.min_rtt_windows == 0:
        return None
    servers = {}
    for name, bounded_number in names.items():
        srv = balancer.servers.get(bounded_number)
        if srv is not None and srv.in_subset and srv.outcome_count:
            servers[name] = [srv.slowness, srv.failure_rate, srv.ejected]
    told = {
        "limit": ctl.limit,
        "usual": ctl.baseline_in_flight,
        "min_rtt": ctl.min_rtt,
        "target": ctl.target,
        "mean_rtt": balancer.mean_rtt,
        "deviation": balancer.rtt_deviation,
        "warm_rate": balancer.warm_server_rate,
        "cut": [zone.id for zone in balancer.ejected_zones],
        "servers": servers,
    }
    return json.dumps(told).encode()


def bounded_number(value: Any, least: float, most: float) -> float:
    """The number, within bounds. ValueError for what is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise ValueError(f"{value!r} is no number")
    return min(max(float(value), least), most)


def import_learned_state(balancer: Balancer, names: Mapping[str, int], text: bytes, now: int) -> None:
    """Begins where another process stands. ValueError, and nothing changed, for what cannot be read.

    Guards against: a process that takes over in the middle of the traffic refuses and times out anew until it
    knows what the one before it knew.
    """
    ctl, classes = balancer.controller, len(balancer.settings.classes)
    try:
        told = json.loads(text)
        lists = {}
        for key in ("min_rtt", "target", "mean_rtt", "deviation"):
            lists[key] = [bounded_number(v, 0, 1e9) for v in told[key]]
            if len(lists[key]) != classes:
                raise ValueError(f"{key} is for other classes")
        limit = bounded_number(told["limit"], ctl.floor, ctl.max_limit)
        usual = bounded_number(told["usual"], 0, limit)
        warm_rate = bounded_number(told["warm_rate"], 0, 1e6)
        cut = [int(bounded_number(zone, 0, 1e6)) for zone in told["cut"]]
        servers = {
            str(name): (
                bounded_number(slow, MIN_SLOWNESS, MAX_SLOWNESS),
                bounded_number(fails, 0, 1),
                bool(ejected),
            )
            for name, (slow, fails, ejected) in told["servers"].items()
        }
    except (KeyError, TypeError, AttributeError) as e:
        raise ValueError(f"not what a process hands on: {e!r}") from None
    if min(lists["mean_rtt"]) <= 0 or min(lists["target"]) <= 0:
        raise ValueError("a round-trip of nothing")
    ctl.end_min_rtt_window(now)
    ctl.limit, ctl.baseline_in_flight, ctl.ramping = limit, usual, False
    ctl.min_rtt, ctl.target = lists["min_rtt"], lists["target"]
    balancer.mean_rtt, balancer.rtt_deviation, balancer.warm_server_rate = (
        lists["mean_rtt"],
        lists["deviation"],
        warm_rate,
    )
    for name, (slow, fails, ejected) in servers.items():
        srv = balancer.servers.get(names.get(name, 0))
        if srv is None or not srv.in_subset:
            continue
        srv.slowness, srv.failure_rate, srv.last_outcome_at = slow, fails, now
        if ejected:
            balancer.eject(now, srv, silent=False)
    for zone in cut:
        known = balancer.zones.get(zone)
        if known is not None and not known.ejected and any(m.zone != zone for m in balancer.eligible):
            known.ejected = True
            known.next_probe_at = now
            balancer.ejected_zones.append(known)
            balancer.classify_members()  # so that the last zone is not cut off too
