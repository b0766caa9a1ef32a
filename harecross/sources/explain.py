"""Why a box is in or out, in plain values for operators. Free of I/O but for the clock that the sources hold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from harecross.sources.ledger import Box, Credit
from harecross.sources.membership import WATCH

if TYPE_CHECKING:
    from harecross.sources.run import Sources


def explained(sources: Sources, box: str = "") -> dict[str, Any]:
    """`sources`: a row for each; `boxes`: for the one asked for, by any name or address, or for all there are.

    Ages and times left are seconds. A box that went is still told of for a while.
    """
    ledger, now = sources.membership.ledger, sources.now()
    found = [*ledger.boxes.values(), *(b for a, b in ledger.gone.items() if a not in ledger.boxes)]
    if box:
        found = [b for b in found if box == b.address or box in b.names]
    held = set(sources.registry.in_maintenance)
    return {
        "priorities": sources.membership.tiers,
        "sources": [source_row(sources, name, now) for name in ledger.sources],
        "boxes": [box_row(sources, b, now, held, bool(box)) for b in sorted(found, key=lambda b: b.address)],
    }


def source_row(sources: Sources, name: str, now: float) -> dict[str, Any]:
    source = sources.membership.ledger.sources[name]
    row: dict[str, Any] = {
        "source": name,
        "rank": source.rank,
        "credit": str(source.credit),
        "lists": len(source.listed),
        "drains": len(source.drains),
        "age_s": round(now - source.told_at, 1) if source.told_at is not None else None,
        "left_s": None,
        "why": "",
    }
    if name in sources.asked:
        asked = sources.asked[name]
        view = asked.name.view(now)
        row.update(
            credit=str(view.standing),
            age_s=round(view.age, 1) if asked.name.held is not None else None,
            left_s=round(view.left, 1) if asked.name.held is not None else None,
            why=view.why,
            notes=list(view.notes),
            next_s=0.0 if asked.name.asking else round(max(0.0, asked.name.ask_at - now), 1),
            believed_after_s=asked.told.doubt_s,
            stale_max_s=asked.told.stale_max_s,
        )
    elif name in sources.files:
        row["why"] = sources.files[name].why
    elif name == WATCH and source.credit != Credit.FRESH:
        row["why"] = f"silent for {now - sources.watch_heard:.1f} s"
    return row


def box_row(sources: Sources, box: Box, now: float, held: set[str], words: bool) -> dict[str, Any]:
    ledger, membership = sources.membership.ledger, sources.membership
    there = box.address in ledger.boxes
    out = bool(held & {box.address, *box.names})
    spare = there and box.wanted and box.stated.priority not in membership.tiers
    row: dict[str, Any] = {
        "address": box.address,
        "names": sorted(box.names),
        "in": there and box.wanted and not out and not spare,
        "outcome": str(box.outcome),
        "line": str(box.line),
        "held_out": out,
        "spare": spare,
        "priority": box.stated.priority,
        "weight": round(box.stated.weight, 3),
        "zone": box.stated.zone,
        "changes": [
            {"ago_s": round(now - c.at, 1), "outcome": str(c.outcome), "line": str(c.line)}
            for c in reversed(box.changes)
        ],
    }
    if words:
        row["words"] = {name: str(e.word) for name, e in ledger.evidence(box.address, now).items()}
    return row
