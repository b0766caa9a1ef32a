"""What a copy has learned, for the process that takes over from it: taken out and put in. Free of I/O.

No times are handed on, since each process has a clock of its own; servers go by discovery's ids.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from math import isfinite
from typing import Any

from harecross.policy.balancer import Balancer
from harecross.policy.health import FASTEST, SLOWEST


def learned(balancer: Balancer, names: Mapping[str, int]) -> bytes | None:
    """What there is to hand on; None before the first pass has measured anything."""
    ctl = balancer.controller
    if ctl.passes == 0:
        return None
    servers = {}
    for name, number in names.items():
        srv = balancer.servers.get(number)
        if srv is not None and srv.member and srv.calls:
            servers[name] = [srv.slowness, srv.fail_rate, srv.ejected]
    told = {
        "limit": ctl.limit,
        "usual": ctl.usual,
        "min_rtt": ctl.min_rtt,
        "target": ctl.target,
        "mean_rtt": balancer.mean_rtt,
        "deviation": balancer.deviation,
        "warm_rate": balancer.warm_rate,
        "cut": [zone.id for zone in balancer.cut],
        "servers": servers,
    }
    return json.dumps(told).encode()


def number(value: Any, least: float, most: float) -> float:
    """The number, within bounds. ValueError for what is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
        raise ValueError(f"{value!r} is no number")
    return min(max(float(value), least), most)


def recall(balancer: Balancer, names: Mapping[str, int], text: bytes, now: int) -> None:
    """Begins where another process stands. ValueError, and nothing changed, for what cannot be read.

    Guards against: a process that takes over in the middle of the traffic refuses and times out anew until it
    knows what the one before it knew.
    """
    ctl, classes = balancer.controller, len(balancer.settings.classes)
    try:
        told = json.loads(text)
        lists = {}
        for key in ("min_rtt", "target", "mean_rtt", "deviation"):
            lists[key] = [number(v, 0, 1e9) for v in told[key]]
            if len(lists[key]) != classes:
                raise ValueError(f"{key} is for other classes")
        limit = number(told["limit"], ctl.floor, ctl.ceiling)
        usual = number(told["usual"], 0, limit)
        warm_rate = number(told["warm_rate"], 0, 1e6)
        cut = [int(number(zone, 0, 1e6)) for zone in told["cut"]]
        servers = {
            str(name): (number(slow, FASTEST, SLOWEST), number(fails, 0, 1), bool(ejected))
            for name, (slow, fails, ejected) in told["servers"].items()
        }
    except (KeyError, TypeError, AttributeError) as e:
        raise ValueError(f"not what a process hands on: {e!r}") from None
    if min(lists["mean_rtt"]) <= 0 or min(lists["target"]) <= 0:
        raise ValueError("a round-trip of nothing")
    ctl.end_pass(now)
    ctl.limit, ctl.usual, ctl.ramping = limit, usual, False
    ctl.min_rtt, ctl.target = lists["min_rtt"], lists["target"]
    balancer.mean_rtt, balancer.deviation, balancer.warm_rate = (
        lists["mean_rtt"],
        lists["deviation"],
        warm_rate,
    )
    for name, (slow, fails, ejected) in servers.items():
        srv = balancer.servers.get(names.get(name, 0))
        if srv is None or not srv.member:
            continue
        srv.slowness, srv.fail_rate, srv.seen_at = slow, fails, now
        if ejected:
            balancer.eject(now, srv, silent=False)
    for zone in cut:
        known = balancer.zones.get(zone)
        if known is not None and not known.cut and any(m.zone != zone for m in balancer.able):
            known.cut = True
            known.trial_at = now
            balancer.cut.append(known)
            balancer.sort_members()  # so that the last zone is not cut off too
