"""What a process can say of each server it knows, for operators: rows of plain values. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from harecross.discovery.endpoint_registry import EndpointRegistry

IN_USE, OUT, DRAINING, GONE = "in use", "out", "draining", "gone"


def endpoint_status_rows(
    directory: EndpointRegistry, out_on: Mapping[int, int], now: int
) -> list[dict[str, Any]]:
    """A row for each server that discovery lists, operators hold out, or something is still out on.

    `out_on` counts what is out by server number. A row holds `id`, `state` (one of the four above), `listed`
    (discovery has it in service), `open`, `warmth` (part of a warm server's capacity, 1 for one that is not
    in use) and `ejected`.
    """
    views = {view.server: view for view in directory.dispatcher.balancer.endpoint_snapshots(now)}
    numbers = directory.numbers
    rows = []
    for name in sorted({*numbers, *directory.out, *directory.draining}):
        number = numbers.get(name, 0)
        if name in directory.out:
            state = OUT
        elif number in directory.listed:
            state = IN_USE
        else:
            state = DRAINING if name in directory.draining else GONE
        view = views.get(number)
        used = view is not None and state == IN_USE
        rows.append(
            {
                "id": name,
                "state": state,
                "listed": number in directory.listed or directory.out.get(name) is not None,
                "open": out_on.get(number, 0),
                "warmth": round(view.slow_start_factor, 3) if view is not None and used else 1.0,
                "ejected": bool(view is not None and used and view.ejected),
            }
        )
    return rows
