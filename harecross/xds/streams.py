"""One proxy's stream, state of the world or delta: subscriptions, nonces, ACK and NACK. Free of I/O.

A stream is pulled: `request` and `push` change what it owes, `next` gives one response at a time, as the proxy
takes them. What a slow proxy has not taken is not kept: it gets the newest.

Source: the xDS REST and gRPC protocol page of Envoy's documentation (versions, nonces, "ACK/NACK and resource
type instance version", "knowing when a requested resource does not exist", incremental xDS).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from harecross.xds.cache import (
    EDS,
    ORDER,
    SPACE,
    WILDCARDS,
    Resource,
    Resources,
    Snapshot,
    digest,
    steps,
    version_of,
    version_text,
)

NAMES_MOST = 10_000  # subscriptions of one stream and type
CHUNK = (
    1 << 16
)  # bytes of resources in a response, where the type allows a part: what is urgent overtakes the rest
UNACKED_MOST = 64  # responses of one type without their ACK


class BadRequest(Exception):
    """A request that ends its stream (INVALID_ARGUMENT)."""


@dataclass(frozen=True, slots=True)
class Response:
    """What is sent; `removed` is the delta variant's."""

    type_url: str
    version: str
    nonce: str
    resources: Sequence[Resource]
    removed: Sequence[str] = ()


@dataclass(slots=True)
class Status:
    """How one type stands on a stream, for operators: versions (state of the world) or nonces (delta)."""

    sent: str = ""
    acked: str = ""
    refused: str = ""
    reason: str = ""


@dataclass(slots=True)
class Held:
    """One type on one stream."""

    names: set[str] = field(default_factory=set)
    wildcard: bool = False
    known: dict[str, str] = field(default_factory=dict)  # what the proxy holds or is on its way to it
    total: int = 0  # the sum of the digests of `known`
    refused: dict[str, str] = field(default_factory=dict)  # not sent again unchanged; "" for a removal
    alone: set[str] = field(
        default_factory=set
    )  # of a refused response: sent one by one, to find the bad one
    pending: dict[str, dict[str, str]] = field(default_factory=dict)  # by nonce; a removal has the version ""
    doubted: set[str] = field(
        default_factory=set
    )  # left out of a stale request: the proxy may have let go of it
    absent: set[str] = field(default_factory=set)  # to be told as removed
    owed: bool = False  # an answer is due even if it is empty
    nonce: str = ""
    status: Status = field(default_factory=Status)

    def keep(self, name: str, version: str) -> None:
        self.drop(name)
        self.known[name] = version
        self.total = (self.total + digest(name, version)) % SPACE

    def drop(self, name: str) -> None:
        old = self.known.pop(name, None)
        if old is not None:
            self.total = (self.total - digest(name, old)) % SPACE

    def lacks(self, there: Resources, names: Iterable[str]) -> list[str]:
        """Which of these the proxy is to be sent."""
        known, refused = self.known, self.refused
        return sorted(
            n for n in names
            if n in there and known.get(n) != there[n].version and refused.get(n) != there[n].version
        )  # fmt: skip

    def part(self, there: Resources, due: list[str], most: int) -> list[Resource]:
        """As many as one response holds; one that may be bad goes by itself."""
        if self.alone:
            single = next((n for n in due if n in self.alone), None)
            if single is not None:
                self.alone.discard(single)
                return [there[single]]
        size, taken = 0, []
        for name in due:
            taken.append(there[name])
            size += len(there[name].body)
            if size >= most:
                break
        return taken

    def settle(self, nonce: str, error: str) -> bool:
        """An ACK or, with `error`, a NACK. False if the nonce is of nothing that waits for one."""
        sent = self.pending.pop(nonce, None)
        if sent is None:
            return False
        if not error:
            for name in sent:
                self.refused.pop(name, None)
            if not self.refused and not self.alone:
                self.status.refused = self.status.reason = ""
            return True
        changed = {n: v for n, v in sent.items() if v}
        if len(changed) > 1:
            # Failure prevented: one bad resource among many keeps all of them from the proxy.
            self.alone |= changed.keys()
            for name, version in changed.items():
                if self.known.get(name) == version:
                    self.drop(name)
        else:
            # Kept on its last good version: what it refused is not sent again until it has changed.
            self.refused.update(changed)
        for name in sent.keys() - changed.keys():
            if name not in self.known:
                # It still holds what it was told to remove, and has not been sent it anew since.
                self.keep(name, "")
                self.refused[name] = ""
        self.status.reason = error
        return True


class Stream:
    """What both variants share."""

    variant = ""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.ahead: list[Snapshot] = []
        self.types: dict[str, Held] = {}
        self.count = 0
        self.hurry: set[str] = set()
        self.settled = True
        self.names_most = NAMES_MOST
        self.chunk = CHUNK

    def push(self, target: Snapshot, hurry: Iterable[str] = ()) -> None:
        """The resources have changed, in make-before-break order; the assignments in `hurry` go first."""
        if target is not self.snapshot or self.ahead:
            self.snapshot, *self.ahead = steps(self.snapshot, target)
        self.hurry.update(hurry)
        self.settled = False

    def next(self, urgent: bool = False) -> Response | None:
        """The next response, or None; with `urgent` only one that must not wait."""
        if self.hurry:
            state = self.types.get(EDS)
            response = self.answer(EDS, state, self.hurry) if state is not None else None
            if response is not None:
                return response
            if state is not None:
                self.hurry.clear()
        if urgent or self.settled:
            return None
        while True:
            for type_url in ORDER:
                state = self.types.get(type_url)
                response = self.answer(type_url, state, None) if state is not None else None
                if response is not None:
                    return response
            if not self.ahead:
                self.settled = True
                return None
            self.snapshot = self.ahead.pop(0)

    def answer(self, type_url: str, state: Held, only: set[str] | None) -> Response | None:
        raise NotImplementedError

    def unacked(self) -> int:
        """Responses of one type without their ACK, where they are most."""
        return max((len(s.pending) for s in self.types.values()), default=0)

    def send(
        self, type_url: str, state: Held, version: str, resources: Sequence[Resource], removed: Sequence[str] = ()
    ) -> Response:  # fmt: skip
        self.count += 1
        state.nonce = str(self.count)
        state.owed = False
        state.pending[state.nonce] = {**dict.fromkeys(removed, ""), **{r.name: r.version for r in resources}}
        return Response(type_url, version, state.nonce, resources, removed)


class SotwStream(Stream):
    """The state-of-the-world variant. Listeners and clusters come whole; assignments and routes in parts."""

    variant = "sotw"

    def request(
        self, type_url: str, nonce: str, names: Iterable[str], error: str = "", version: str = ""
    ) -> None:
        """A request of the proxy: its first of a type, an ACK, a NACK or another subscription."""
        wanted = checked(type_url, names, self.names_most)
        state = self.types.get(type_url)
        if state is None or error or state.doubted or wanted != state.names:
            self.settled = False  # an ACK alone owes nothing
        if state is None:
            # A nonce of an earlier stream means nothing on this one: it is a first request all the same.
            state = self.types[type_url] = Held(set(wanted), type_url in WILDCARDS and not wanted)
            self.returned(type_url, state, version)
            return
        stale = nonce != state.nonce
        # With parts on their way a refusal of an earlier one counts; what it subscribes to does not.
        if nonce and state.settle(nonce, error):
            if error:
                state.status.refused = state.status.sent
            elif not stale:
                state.status.acked = state.status.sent
        if stale:
            # It answers something that has been overtaken, and another one follows. By then the proxy may have
            # let go of what it no longer names here, and want it again.
            state.doubted |= state.names - wanted
            return
        for name in state.doubted | (state.names - wanted):
            state.drop(name)
        state.doubted.clear()
        if type_url in WILDCARDS:
            state.owed = state.owed or bool(wanted - state.names)
            state.wildcard = state.wildcard and not wanted  # names after a wildcard: from now on only these
        state.names = set(wanted)

    def returned(self, type_url: str, state: Held, version: str) -> None:
        """A first request. A proxy that comes back with what we would send is not sent it again."""
        there = self.snapshot.get(type_url)
        held = [there[n] for n in (there if state.wildcard else state.names & there.keys())]
        if held and version and version == version_of(held):
            for r in held:
                state.keep(r.name, r.version)
            state.status.sent = state.status.acked = version
        else:
            state.owed = type_url in WILDCARDS

    def answer(self, type_url: str, state: Held, only: set[str] | None) -> Response | None:
        there = self.snapshot.get(type_url)
        if type_url not in WILDCARDS:
            due = state.lacks(there, state.names if only is None else state.names & only)
            if not due:
                return None
            resources = state.part(there, due, self.chunk)
        elif only is not None:
            return None
        else:
            resources = [there[n] for n in sorted(there if state.wildcard else state.names & there.keys())]
            version = version_of(resources)
            if not state.owed and version in (version_text(state.total), state.refused.get("*")):
                return None
            for name in list(state.known):
                state.drop(name)
        for r in resources:
            state.keep(r.name, r.version)
        version = state.status.sent = version_text(state.total)
        response = self.send(type_url, state, version, resources)
        if type_url in WILDCARDS:
            state.pending[state.nonce] = {"*": version}  # taken or refused as a whole
        return response


class DeltaStream(Stream):
    """The incremental variant."""

    variant = "delta"

    def request(
        self,
        type_url: str,
        nonce: str = "",
        subscribe: Iterable[str] = (),
        unsubscribe: Iterable[str] = (),
        initial: Mapping[str, str] | None = None,
        error: str = "",
    ) -> None:
        """A request of the proxy: subscriptions, an ACK or NACK, or both."""
        most = self.names_most
        added, dropped = checked(type_url, subscribe, most), checked(type_url, unsubscribe, most)
        state = self.types.get(type_url)
        first = state is None
        if first or error or added or dropped:
            self.settled = False  # an ACK alone owes nothing
        if state is None:
            state = self.types[type_url] = Held(wildcard=type_url in WILDCARDS and not added)
            state.owed = state.wildcard
            for name, version in (initial or {}).items():
                state.keep(name, version)
        if nonce and state.settle(nonce, error):
            if error:
                state.status.refused = nonce
            else:
                state.status.acked = nonce
        if "*" in added:
            state.wildcard = True
        if "*" in dropped:
            state.wildcard = False
        added, dropped = added - {"*"}, dropped - {"*"}
        if len(state.names | added) > most:
            raise BadRequest(f"{type_url}: more than {most} subscriptions")
        for name in dropped:
            state.names.discard(name)
            state.drop(name)
        if not first:
            for name in added:
                state.drop(name)  # asked for anew: sent anew, whatever the proxy held
        state.names |= added
        there = self.snapshot.get(type_url)
        state.absent |= {n for n in added if n not in there}

    def answer(self, type_url: str, state: Held, only: set[str] | None) -> Response | None:
        """What differs from what the proxy holds; names that do not exist are told as removed."""
        there = self.snapshot.get(type_url)
        wanted = there.keys() if state.wildcard else state.names & there.keys()
        due = state.lacks(there, wanted if only is None else wanted & only)
        if only is not None:
            if not due:
                return None
            gone: set[str] = set()
        else:
            unknown = self.snapshot.withheld if type_url == EDS else frozenset()
            gone = state.known.keys() - wanted - unknown
            state.absent = {
                n for n in state.absent if n in state.names and n not in there and n not in unknown
            }
        for name in [n for n, version in state.refused.items() if not version and n in wanted]:
            del state.refused[name]  # it is there again: its next removal is a new one
        # A removal that was refused goes out again with the next thing that is new.
        news = {n for n in gone if state.refused.get(n) != ""} | (state.absent if only is None else set())
        if not due and not news and not state.owed:
            return None
        resources = state.part(there, due, self.chunk)
        removed = sorted(gone | news)
        for name in removed:
            state.drop(name)
            state.refused.pop(name, None)
            state.absent.discard(name)
        for r in resources:
            state.keep(r.name, r.version)
        response = self.send(type_url, state, version_text(state.total), resources, removed)
        state.status.sent = state.nonce
        return response


def checked(type_url: str, names: Iterable[str], most: int) -> frozenset[str]:
    """The names of a request; BadRequest for a type that is not served, or for too many."""
    if type_url not in ORDER:
        raise BadRequest(f"{type_url or 'no type'}: not served here")
    found = frozenset(names)
    if len(found) > most:
        raise BadRequest(f"{type_url}: more than {most} subscriptions")
    return found
