"""From what several sources say to the one list that a host is told. Free of I/O: time is handed in.

Boxes go by their address here, also to the host: whoever lists them, and under whichever name, they are one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from harecross.discovery.listed_endpoints import ListedEndpoints
from harecross.settings import address
from harecross.sources.ledger import Box, Credit, Ledger, Limits, Priorities, Stated

if TYPE_CHECKING:
    from harecross.dns.srv import Endpoint

WATCH = "watch"
FIRST_WORDS = (
    3.0  # seconds that a start waits for sources that have said nothing; what others list is used meanwhile
)
STATES = {"in_service": False, "terminating": True}
WEIGHT_LEAST, WEIGHT_MOST = 0.05, 20.0  # of a record, in mean weights of its priority


class Tell(Protocol):
    """`EndpointRegistry.apply`."""

    def __call__(self, update: Any, *, cached: bool = False, full: bool = False) -> None: ...


def weighed(endpoints: Iterable[Endpoint]) -> list[tuple[Endpoint, int, float]]:
    """Each endpoint with its priority, counted from 0 within its name, and its weight in mean ones of that priority.

    RFC 2782: priorities and weights compare within one name only. A weight of 0 among others still gets a
    little; where all are 0 they are alike.
    """
    by_priority: dict[int, list[Endpoint]] = {}
    for e in endpoints:
        by_priority.setdefault(e.priority, []).append(e)
    found = []
    for place, priority in enumerate(sorted(by_priority)):
        group = by_priority[priority]
        mean = sum(e.weight for e in group) / len(group)
        for e in group:
            weight = min(max(e.weight / mean, WEIGHT_LEAST), WEIGHT_MOST) if mean else 1.0
            found.append((e, place, weight))
    return found


def stated_by_dns(endpoints: Iterable[Endpoint], zone: str = "", offset: int = 0) -> list[Stated]:
    """What an SRV name says of its boxes."""
    return [
        Stated(
            f"[{e.address}]:{e.port}" if ":" in e.address else f"{e.address}:{e.port}",
            f"{e.target.rstrip('.')}:{e.port}",
            False,
            zone,
            weight,
            place + offset,
        )
        for e, place, weight in weighed(endpoints)
    ]


def by_address(lines: Mapping[str, Mapping[str, Any]]) -> dict[str, Mapping[str, Any]]:
    """The watch's lines by address; the younger one where a server has taken over another's, and of two as young the
    one that drains."""
    found: dict[str, Mapping[str, Any]] = {}
    for line in lines.values():
        where = str(line.get("hostPort", ""))
        try:
            address(where)
        except ValueError:
            continue
        other = found.get(where)
        if other is None or age(line) > age(other):
            found[where] = line
    return found


def age(line: Mapping[str, Any]) -> tuple[int, bool]:
    started = line.get("startedAtMs")
    return (started if isinstance(started, int) else 0, line.get("lifecycle") != "in_service")


class Membership:
    """The ledger with a host on its other side."""

    def __init__(
        self,
        tell: Tell,
        limits: Limits | None = None,
        priorities: Priorities | None = None,
        watch_rank: int | None = 0,
        until: float = 0.0,
    ) -> None:
        """`watch_rank` is None where the platform's watch is no source. Up to `until` sources that have said
        nothing yet are waited for: until then nobody is told that a box is not listed."""
        self.tell = tell
        self.ledger = Ledger(limits)
        self.priorities = priorities or Priorities()
        self.sick: Callable[[], set[str]] = set  # addresses that the host's decision module holds ejected
        self.held: Callable[[], Iterable[str]] = tuple  # what operators hold out
        self.renamed: Callable[[], None] = lambda: None  # before boxes with new names are told
        self.roster = ListedEndpoints()
        self.raw: dict[str, Mapping[str, Any]] = {}  # the watch's own line, by address
        self.lines: dict[str, dict[str, Any]] = {}  # as last told
        self.by_name: dict[str, set[str]] = {}
        self.named: dict[str, frozenset[str]] = {}  # by address
        self.started: dict[
            str, tuple[float, int]
        ] = {}  # by address: when it was born, and that as Unix milliseconds
        self.placed: dict[str, int] = {}  # each box's priority...
        self.places: Counter[int] = Counter()  # ...and how many have it
        self.tiers: list[int] = []  # priorities in use
        self.whole = False  # the host has been told a whole list of what is fresh
        self.until = until
        self.remembered: dict[str, dict[str, Any]] = {}  # lines of before the start, until then
        if watch_rank is not None:
            self.ledger.add(WATCH, watch_rank)

    # ---- the watch --------------------------------------------------------------------------------------

    def watched(self, now: float, wall: float, update: Any, cached: bool, full: bool) -> None:
        """A list or change of the watch. ValueError if it is none."""
        if not isinstance(update, dict) or not isinstance(update.get("instances"), list):
            raise ValueError("no list of servers")
        self.roster.apply(update, full=full or cached or bool(update.get("reset")), cached=cached)
        before, self.raw = self.raw, by_address(self.roster.entries)
        for where, line in self.raw.items():
            old = before.get(where)
            if old is not None and old.get("instanceId") != line.get("instanceId") and not age(line)[0]:
                # Guards against: another server at an address passes for the one before, and as warm as that.
                self.raw[where] = {**line, "startedAtMs": int(wall * 1000)}
        self.told(now, WATCH, (self.of_watch(where, line) for where, line in self.raw.items()))
        if cached:
            self.ledger.worth(WATCH, Credit.STALE)

    def of_watch(self, where: str, line: Mapping[str, Any]) -> Stated:
        return Stated(
            where,
            str(line.get("instanceId", where)),
            STATES.get(str(line.get("lifecycle")), True),
            str(line.get("zone", "")),
            started=age(line)[0],  # its weights are nominal sizes: the module measures speeds itself
        )

    def watch_back(self, now: float) -> None:
        """The watch speaks again: what it said last holds, as it has said nothing since."""
        if WATCH in self.ledger.sources and self.ledger.sources[WATCH].credit in (Credit.STALE, Credit.LOST):
            self.told(now, WATCH, (self.of_watch(where, line) for where, line in self.raw.items()))

    # ---- any source -------------------------------------------------------------------------------------

    def told(self, now: float, source: str, stated: Iterable[Stated]) -> None:
        """A source's whole list."""
        self.ledger.told(now, source, stated)

    def worth(self, source: str, credit: Credit) -> None:
        """What a source's last list is worth from now on."""
        self.ledger.worth(source, credit)

    def resolve(self, name: str) -> str:
        """The address of the box of that name; the name itself where it is none, or that of several."""
        found = self.by_name.get(name, ())
        return next(iter(found)) if len(found) == 1 else name

    # ---- what comes of it -------------------------------------------------------------------------------

    def settle(self, now: float, wall: float) -> int:
        """Applies the rule and tells the host what has changed; how many lines it was told."""
        self.ledger.hold(self.held())
        self.ledger.settle(now)
        changed = self.ledger.take_changed()
        boxes = self.ledger.boxes
        for where in changed:
            self.rename(where, boxes.get(where))
        tiers = self.priorities_in_use()
        if tiers != self.tiers:
            self.tiers = tiers
            changed.update(boxes)
        lines: list[dict[str, Any]] = []
        for where in sorted(changed):
            box = boxes.get(where)
            if box is None:
                if self.lines.pop(where, None) is not None:
                    lines.append({"instanceId": where, "hostPort": where, "lifecycle": "terminated"})
                self.started.pop(where, None)
                continue
            line = self.line(now, wall, box)
            if line != self.lines.get(where):
                self.lines[where] = line
                lines.append(line)
        if lines:
            self.renamed()
        if not self.whole and self.complete(now):
            self.whole, self.remembered = True, {}
            self.tell({"reset": True, "instances": list(self.lines.values())}, full=True)
        elif not self.whole and (lines or self.remembered):
            # Guards against: after a restart the first source to answer takes out what only the others list.
            known = {**self.remembered, **self.lines}
            self.tell({"reset": True, "instances": list(known.values())}, cached=True)
        elif lines:
            self.tell({"instances": lines})
        return len(lines)

    def complete(self, now: float) -> bool:
        """Whether something is fresh, and every source has spoken or has had its time."""
        credits = [s.credit for s in self.ledger.sources.values()]
        return Credit.FRESH in credits and (Credit.NONE not in credits or now >= self.until)

    def remember(self, lines: Iterable[dict[str, Any]]) -> None:
        """Lines that this program has told before: used until the sources have spoken."""
        self.remembered = {str(line["hostPort"]): {**line, "instanceId": line["hostPort"]} for line in lines}

    def rename(self, where: str, box: Box | None) -> None:
        """Keeps what is looked up by name, and by priority."""
        old = self.placed.pop(where, None)
        if old is not None:
            self.places[old] -= 1
            if not self.places[old]:
                del self.places[old]
        if box is not None:
            self.placed[where] = box.stated.priority
            self.places[box.stated.priority] += 1
        names = box.names if box is not None else frozenset()
        for name in self.named.pop(where, frozenset()) - names:
            left = self.by_name[name]
            left.discard(where)
            if not left:
                del self.by_name[name]
        for name in names:
            self.by_name.setdefault(name, set()).add(where)
        if names:
            self.named[where] = names

    def priorities_in_use(self) -> list[int]:
        """The priorities whose boxes get new work. What drains or is held out is missing to its priority."""
        if len(self.places) < 2:
            return sorted(self.places)
        sick = self.sick()
        counts = dict.fromkeys(self.places, (0, 0))
        for b in self.ledger.boxes.values():
            good, there = counts[b.stated.priority]
            counts[b.stated.priority] = (good + (b.used and b.address not in sick), there + 1)
        return self.priorities.used(counts)

    def line(self, now: float, wall: float, box: Box) -> dict[str, Any]:
        """A box as discovery would list it. One in a priority that is not in use drains."""
        raw, stated = self.raw.get(box.address), box.stated
        used = box.wanted and stated.priority in self.tiers
        started = stated.started
        if raw is not None:
            started = age(raw)[0]
        elif not started and box.born is not None:
            # Nobody says when it started: it was not there when its source was first asked, so it is new, and cold.
            if self.started.get(box.address, (None, 0))[0] != box.born:
                self.started[box.address] = (box.born, int((wall - (now - box.born)) * 1000))
            started = self.started[box.address][1]
        return {
            **(raw or {}),
            "instanceId": box.address,
            "hostPort": box.address,
            "lifecycle": "in_service" if used else "terminating",
            "zone": stated.zone or (str(raw.get("zone", "")) if raw else ""),
            "weight": stated.weight,
            "startedAtMs": started,
        }
