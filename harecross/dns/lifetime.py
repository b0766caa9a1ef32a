"""How long a name's endpoints hold, when they are asked for again, and what is believed. Free of I/O.

Times are seconds of a clock that never goes back, so a step of the system's clock changes nothing. RFC 2308, 8767.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from harecross.dns.srv import Endpoint, Found

REFRESH = (0.75, 0.95)  # of its life after which a set is asked for again, drawn evenly
BACK_OFF, BACK_OFF_MOST = 1.0, 30.0  # after a failure, doubling, drawn from the half to the whole
DOUBT_LOOKS = 4  # times an empty answer is asked again before it is believed


@dataclass(frozen=True, slots=True)
class Lifetimes:
    """Bounds, in seconds."""

    floor: float = 1.0  # a TTL of 0 would hammer the server
    ceiling: float = 3600.0
    negative_floor: float = 1.0
    negative_ceiling: float = 300.0
    stale_max: float = 86_400.0  # the last good set stays so long after its end while nobody answers
    doubt: float = 30.0  # an empty answer after a good one is believed after so long


class Standing(StrEnum):
    """What a name's set is worth. The values are what operators read."""

    UNKNOWN = "unknown"  # no answer yet
    FRESH = "fresh"
    DOUBTED = "doubted"  # an empty answer has come and is not believed yet: the set before it holds
    STALE = "stale"  # past its end, and nobody answers
    EXPIRED = "expired"  # stale for longer than is allowed: it vouches for nothing
    EMPTY = "empty"  # believed to hold nothing


@dataclass(frozen=True, slots=True)
class View:
    """A name at one moment. `age` since the last good answer; `left` until its set's end, below 0 once past."""

    standing: Standing
    endpoints: tuple[Endpoint, ...]
    age: float
    left: float
    why: str  # what is wrong, if anything
    notes: tuple[str, ...]


class Name:
    """One SRV name's set over time. Ask when `due`; tell what came of it."""

    def __init__(self, limits: Lifetimes, rng: Random, now: float) -> None:
        self.limits = limits
        self.rng = rng
        self.held: Found | None = None  # the last that was believed
        self.at = now  # when it came
        self.until = now  # its end
        self.ask_at = now
        self.asking = False
        self.failures = 0  # in a row
        self.why = ""
        self.doubt_since: float | None = None

    def due(self, now: float) -> bool:
        """Whether it is to be asked for now. At most one question is out."""
        return not self.asking and now >= self.ask_at

    def asked(self) -> None:
        self.asking = True

    def answered(self, now: float, found: Found) -> None:
        """An answer, with endpoints or without."""
        self.asking = False
        failures, self.failures = self.failures, 0
        if found.unknown or found.endpoints:
            filled = self.filled(found)
            if filled.endpoints:
                self.take(now, filled)
            else:
                # Guards against: a set of which no address could be looked up passes for an empty one.
                self.failures = failures
                self.could_not(now, "; ".join(found.notes))
            return
        limits = self.limits
        life = max(limits.negative_floor, min(found.ttl, limits.negative_ceiling))
        if self.held is not None and self.held.endpoints and now < self.until + limits.stale_max:
            # Guards against: NXDOMAIN from a server that has just been restarted empties a cluster.
            if self.doubt_since is None:
                self.doubt_since = now
            believed_at = self.doubt_since + limits.doubt
            if now < believed_at:
                self.why = f"{found.empty}, not believed before {limits.doubt:g} s"
                step = min(life, limits.doubt / DOUBT_LOOKS) * self.rng.uniform(0.5, 1)
                # The last look falls on the end of the doubt, not after it.
                self.ask_at = min(now + step, believed_at)
                return
        self.held, self.at, self.until = found, now, now + life
        self.doubt_since, self.why = None, found.empty
        self.ask_at = now + life * self.rng.uniform(*REFRESH)

    def take(self, now: float, found: Found) -> None:
        life = max(self.limits.floor, min(found.ttl, self.limits.ceiling))
        self.held, self.at, self.until = found, now, now + life
        self.doubt_since, self.why = None, ""
        self.ask_at = now + life * self.rng.uniform(*REFRESH)

    def filled(self, found: Found) -> Found:
        """With the addresses known before for targets whose lookup failed.

        Guards against: one failed lookup of an address takes a server out.
        """
        if not found.unknown:
            return found
        before = self.held.endpoints if self.held is not None else ()
        kept = [e for e in before if e.target in found.unknown]
        endpoints = tuple(sorted({*found.endpoints, *kept}))
        life = min(found.ttl, self.limits.floor * 2)
        return Found(endpoints, life, found.empty, found.unknown, found.notes)

    def could_not(self, now: float, why: str) -> None:
        """No answer was to be had."""
        self.asking = False
        self.failures += 1
        self.why = why
        wait = min(BACK_OFF_MOST, BACK_OFF * 2 ** (self.failures - 1)) * self.rng.uniform(0.5, 1)
        # A set that still holds is not asked for more often than its life asks.
        self.ask_at = now + wait

    def restore(self, now: float, found: Found, age: float, left: float) -> None:
        """Begins with a set that was kept on disk, so old and with so much left; asked for at once."""
        self.held, self.at, self.until = found, now - age, now + left
        self.ask_at, self.why = now, "kept from before the start"

    def view(self, now: float) -> View:
        """How it stands."""
        held = self.held
        if held is None:
            return View(Standing.UNKNOWN, (), 0.0, 0.0, self.why, ())
        left = self.until - now
        if not held.endpoints:
            standing = Standing.EMPTY
        elif self.doubt_since is not None:
            standing = Standing.DOUBTED
        elif left >= 0:
            standing = Standing.FRESH
        else:
            standing = Standing.STALE if -left <= self.limits.stale_max else Standing.EXPIRED
        endpoints = () if standing == Standing.EXPIRED else held.endpoints
        return View(standing, endpoints, now - self.at, left, self.why, held.notes)
