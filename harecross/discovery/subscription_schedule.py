"""When to ask discovery for the list again: the states of one node's watch, free of I/O.

Where lists are asked for, discovery is one service that works through the calls of all nodes in turn. Whatever ends
one watch tends to end all of them, and calls that come together wait together: those that wait too long are failed,
are worked through all the same, and come back together. Nobody is then told anything for as long as it lasts (a
metastable failure: Bronson et al., HotOS 2021). So a node that has lost its watch takes its turn in a round that the
whole fleet fits into; nodes stand evenly in it by their numbers, and rounds grow while calls fail. Where lists are
pushed, an agent on the node's own machine answers at no cost, and is asked at once.

What a silent watch misses is binding 6 s after it fell silent, so all waits together have to fit in (`longest_round`):
a silence is known after 2.5 s, and the call stands in line for a while. A longer round is taken only by a node that
has seen the line to be so long that a short one makes its calls fail.

Times are seconds of one monotonic clock, which the host passes in.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from harecross.interface import Settings

BINDING = 6.0  # what discovery has to tell counts as told so long after it was listed (PROTOCOL, "Figures")
MOVED = 4.0  # the same after a new configuration named another discovery (STANDING, "Days at full size")
GRACE = 0.3  # and from then on sends have so long to cease: the settings' 250 ms and the sockets' slack of 50
BEAT = 2.5  # a watch without a word for so long has fallen silent; an empty line comes every 2
FIRST_WORD = 1.0  # the same for the first word of a watch that is pushed: its agent answers at once
QUEUE = 2.5  # a call that is asked waits for its first word for so long; discovery fails it after 2
STOOD = 1.5  # a call failed after so long has stood in line; sooner, discovery was not there, or took no more calls
LONG_WAIT = 1.75  # one answered after so long has found the line as long as it may be
# Between calls to an agent. What it gets at its return counts as told at once, call or no call: half of the grace may
# pass before the next call, the other half is for its answer.
BACKOFF_FIRST, BACKOFF_MOST = 0.05, GRACE / 2
ANSWER = 0.5  # in line, where calls come no faster than they are worked off
SLOT = 0.1  # of a round, for each node of the tier, before anything is known of the line
ROUND = 5.0  # a round at first where the line is long: within it each node asks once
LONG_CALLS = 3  # a line is taken to be long until so many calls were answered sooner
PAUSE = 4.0  # nobody asks for so long after a failed call of his: what stands in line is worked off
GROWTH = 2.0  # a round is so many times longer after each further call that fails
ROUND_MOST = 4.0  # times the longest silence allowed: the rule allows so many after a failed call
ALONE = 0.5  # a watch that ended by itself, or brought what cannot be read, ends alone most often: a round of its own
EARLY = 0.05  # no call comes sooner than this after an end
GOLDEN = 0.6180339887498949  # a node's place moves on by it from end to end: nobody is always the last


def longest_round(moving: bool = False) -> float:
    """Seconds of a round by which the last node in it has its word before anything that it missed is binding.

    The sum over that node's waits: the silence is known, the call goes out, and is answered. While `moving` to another
    discovery, that of a first call there which nobody answers.
    """
    return (MOVED - QUEUE if moving else BINDING - BEAT) - EARLY - ANSWER


class SubscriptionState(Enum):
    """Where a node stands with discovery."""

    IDLE = "idle"  # nobody listens
    WAITING = "waiting"  # until `next_at`
    ASKING = "asking"  # a call is out and has brought no word
    SUBSCRIBED = "subscribed"  # it has


class CallEnd(Enum):
    """How a call or a watch came to its end."""

    ENDED = "ended"  # by itself, after words
    BROKEN = "broken"  # it brought what cannot be read, or broke off in the middle
    SILENT = "silent"  # it is open, and no word came in time
    FAILED = "failed"  # a call that brought none: refused, failed by discovery, never answered


@dataclass(frozen=True, slots=True)
class DiscoveryTerms:
    """What a node is told of its discovery. `within` in seconds."""

    asked: bool = False  # the list is asked for; else an agent of the node's own pushes it
    nodes: int = 1  # of this tier
    number: int = 0  # this one's among them
    within: float = 10.0  # the longest silence allowed to a node without a watch


def discovery_terms(settings: Settings) -> DiscoveryTerms:
    """What a node's settings say of its discovery."""
    within = settings.max_poll_interval / 1e6
    return DiscoveryTerms(settings.discovery_polled, settings.instance_count, settings.instance_index, within)


class SubscriptionSchedule:
    """One watch: its state, how old its word is, and when to call next.

    The host calls `begin`, then `calling` when `next_at` has come, `word` for whatever the call brings and `ended` at
    its end; it ends a call itself once `patience_ends` has passed.
    """

    __slots__ = (
        "terms",
        "rng",
        "state",
        "next_at",
        "asked_at",
        "heard_at",
        "failures",
        "turn",
        "waited",
        "told",
        "calls",
        "long",
        "moving",
        "end",
    )

    def __init__(self, terms: DiscoveryTerms, rng: Random, moving: bool = False) -> None:
        """`moving`: of a watch that is to take another's place."""
        self.terms = terms
        self.rng = rng
        self.state = SubscriptionState.IDLE
        self.next_at = inf
        self.asked_at = -inf
        self.heard_at = -inf  # when the last word came
        self.failures = 0  # calls in a row that brought no word
        self.told = True  # the present call has brought something that could be used
        self.turn = 0  # waits so far
        self.waited = 0.0  # how long the last call that was answered had waited for its first word
        self.calls = 0
        self.moving = moving
        self.end = CallEnd.ENDED  # how the last one did
        self.long = 0  # above 0: the line in front of discovery is long

    def begin(self, now: float) -> None:
        """Somebody listens from now on."""
        self.state = SubscriptionState.WAITING
        self.next_at = now

    def stop(self) -> None:
        """Nobody does any more."""
        self.state = SubscriptionState.IDLE
        self.next_at = inf

    def calling(self, now: float) -> None:
        """The call goes out."""
        self.state = SubscriptionState.ASKING
        self.next_at = inf
        self.asked_at = now
        self.told = False
        self.calls += 1

    def word(self, now: float) -> None:
        """The call has brought something, were it an empty line."""
        if self.state is SubscriptionState.ASKING:
            self.state = SubscriptionState.SUBSCRIBED
            self.waited = now - self.asked_at
            self.long = LONG_CALLS if self.waited >= LONG_WAIT else max(0, self.long - 1)
        self.heard_at = now

    def good(self) -> None:
        """What came could be used: a list, or a change of it."""
        self.told = True
        self.failures = 0

    def ended(self, now: float, end: CallEnd) -> None:
        """The call is over; `next_at` is when the next one goes out."""
        if self.state is SubscriptionState.IDLE:
            return
        if not self.told:
            self.failures += 1
        if end is CallEnd.FAILED and STOOD <= now - self.asked_at < QUEUE:
            self.long = LONG_CALLS
        self.state, self.end = SubscriptionState.WAITING, end
        self.next_at = now + (self.turn_wait(end) if self.terms.asked else self.agent_wait())

    def agent_wait(self) -> float:
        return min(BACKOFF_FIRST * 2.0 ** min(self.failures, 10), BACKOFF_MOST)

    def turn_wait(self, end: CallEnd) -> float:
        """The wait for this node's turn in the present round.

        A call failed in line tells that more stands there than can be waited for. What comes while that is worked off
        is failed too, and makes the line longer: so all who were failed pause first. A call that was refused, reset or
        never answered says nothing of a line, unless one is known of: discovery is down, or was when it came, and what
        it lists once it is back is binding 6 s later.
        """
        self.turn += 1
        if end is CallEnd.FAILED and self.long:
            return PAUSE + self.round() * self.place()
        alone = end is not CallEnd.SILENT and self.failures <= 1
        return EARLY + (ALONE if alone else self.round()) * self.place()

    def round(self) -> float:
        """How long the present round takes, in seconds."""
        growth = GROWTH ** max(0, min(self.failures, 20) - 1)
        if not self.long:
            short = min(SLOT * self.terms.nodes, longest_round(self.moving)) * growth
            # What cannot be read comes from a discovery that is there and works for each call.
            return float(short if self.end is CallEnd.BROKEN else min(short, longest_round(self.moving)))
        return float(min(ROUND * growth, max(ROUND, ROUND_MOST * self.terms.within)))

    def place(self) -> float:
        """This node's place in the present round, in [0, 1)."""
        t = self.terms
        return ((t.number + self.rng.random()) / max(1, t.nodes) + self.turn * GOLDEN) % 1.0

    # ---- how old the list is ----------------------------------------------------------------------------

    def patience_ends(self) -> float:
        """When the call that is out, or the watch, is given up unless a word comes."""
        if self.state is SubscriptionState.ASKING:
            return self.asked_at + (QUEUE if self.terms.asked else FIRST_WORD)
        return self.heard_at + BEAT if self.state is SubscriptionState.SUBSCRIBED else inf

    def binding_at(self) -> float:
        """When the first change that this node may have missed counts as told to it."""
        return self.heard_at + BINDING

    def overdue(self, now: float) -> bool:
        """Whether something may count as told that this node has not heard."""
        return now > self.binding_at()

    def figures(self, now: float) -> dict[str, float]:
        """For the node's line: how old the list's last word is, in seconds, and what getting it took.

        `list_overdue` is 1 while something may count as told that this node has not heard.
        """
        age = now - self.heard_at
        found = {"list_calls": float(self.calls), "list_waited": round(self.waited, 2)}
        if age < inf:
            found["list_age"] = round(age, 1)
        if self.failures:
            found["list_failures"] = float(self.failures)
        if self.overdue(now):
            found["list_overdue"] = 1.0
        return found
