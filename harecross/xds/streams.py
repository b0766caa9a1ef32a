"""One proxy's stream, state of the world or delta: subscriptions, nonces, ACK and NACK. Free of I/O.

Source: the xDS REST and gRPC protocol page of Envoy's documentation (versions, nonces, "ACK/NACK and resource
type instance version", "knowing when a requested resource does not exist", incremental xDS).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from harecross.xds.cache import ORDER, WILDCARDS, Resource, Snapshot, version_of

NAMES_MOST = 10_000  # subscriptions of one stream and type


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
    """How one type stands on a stream, for operators."""

    sent: str = ""
    acked: str = ""
    refused: str = ""
    reason: str = ""


@dataclass(slots=True)
class Sotw:
    """One type of a state-of-the-world stream."""

    names: frozenset[str] = frozenset()
    wildcard: bool = False
    nonce: str = ""
    version: str = ""  # of what was sent last
    status: Status = field(default_factory=Status)


class SotwStream:
    """The state-of-the-world variant. Each call gives what is to be sent."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.types: dict[str, Sotw] = {}
        self.count = 0

    def request(self, type_url: str, nonce: str, names: Iterable[str], error: str = "") -> list[Response]:
        """A request of the proxy: its first of a type, an ACK, a NACK or another subscription."""
        wanted = checked(type_url, names)
        state = self.types.get(type_url)
        if state is None:
            # A nonce of an earlier stream means nothing on this one: it is a first request all the same.
            state = self.types[type_url] = Sotw(wanted, type_url in WILDCARDS and not wanted)
            return self.answer(type_url, state, always=True)
        if nonce != state.nonce:
            return []  # stale: it answers something that has been overtaken, and another one follows
        added = wanted - state.names
        if state.wildcard and wanted:
            # Names after a wildcard of none: from now on only these.
            state.wildcard = False
        changed = wanted != state.names
        state.names = wanted
        if state.status.sent and nonce:
            if error:
                state.status.refused, state.status.reason = state.version, error
            else:
                state.status.acked = state.version
                state.status.refused = state.status.reason = ""
        if not changed:
            return []
        return self.answer(type_url, state, always=bool(added))

    def selected(self, type_url: str, state: Sotw) -> list[Resource]:
        known = self.snapshot.get(type_url)
        if state.wildcard:
            return sorted(known.values(), key=lambda r: r.name)
        return [known[n] for n in sorted(state.names) if n in known]

    def answer(self, type_url: str, state: Sotw, always: bool = False) -> list[Response]:
        """What the proxy lacks. What it refused is never sent again unchanged."""
        resources = self.selected(type_url, state)
        version = version_of(resources)
        if version == state.version and not always or version == state.status.refused:
            return []
        if not resources and not state.version and type_url not in WILDCARDS:
            return []  # nothing is known of what it asked for: silence, until there is
        self.count += 1
        state.nonce = str(self.count)
        state.version = state.status.sent = version
        return [Response(type_url, version, state.nonce, resources)]

    def push(self, snapshot: Snapshot) -> list[Response]:
        """The snapshot has changed; one step of `steps` at a time."""
        self.snapshot = snapshot
        return [r for t in ORDER if t in self.types for r in self.answer(t, self.types[t])]


@dataclass(slots=True)
class Delta:
    """One type of a delta stream."""

    names: set[str] = field(default_factory=set)
    wildcard: bool = False
    known: dict[str, str] = field(default_factory=dict)  # what the proxy holds or is on its way to it
    refused: dict[str, str] = field(default_factory=dict)
    pending: dict[str, dict[str, str]] = field(default_factory=dict)  # by nonce; a removal has the version ""
    status: Status = field(default_factory=Status)


class DeltaStream:
    """The incremental variant."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.types: dict[str, Delta] = {}
        self.count = 0

    def request(
        self,
        type_url: str,
        nonce: str = "",
        subscribe: Iterable[str] = (),
        unsubscribe: Iterable[str] = (),
        initial: Mapping[str, str] | None = None,
        error: str = "",
    ) -> list[Response]:
        """A request of the proxy: subscriptions, an ACK or NACK, or both."""
        added, dropped = checked(type_url, subscribe), checked(type_url, unsubscribe)
        state = self.types.get(type_url)
        first = state is None
        if state is None:
            state = self.types[type_url] = Delta(known=dict(initial or {}))
            state.wildcard = type_url in WILDCARDS and not added
        sent = state.pending.pop(nonce, None) if nonce else None
        if sent is not None:
            if error:
                # Kept on its last good version: what it refused is not sent again until it has changed.
                for name, version in sent.items():
                    if version:
                        state.refused[name] = version
                    elif name not in state.known:
                        # It still holds what it was told to remove, and has not been sent it anew since.
                        state.known[name] = state.refused[name] = ""
                state.status.refused, state.status.reason = nonce, error
            else:
                state.status.acked = nonce
        if "*" in added:
            state.wildcard = True
        if "*" in dropped:
            state.wildcard = False
        added, dropped = added - {"*"}, dropped - {"*"}
        if len(state.names | added) > NAMES_MOST:
            raise BadRequest(f"{type_url}: more than {NAMES_MOST} subscriptions")
        for name in dropped:
            state.names.discard(name)
            state.known.pop(name, None)
        again = added & state.known.keys() if not first else set()
        for name in again:
            del state.known[name]  # asked for anew: sent anew, whatever the proxy held
        state.names |= added
        absent = {n for n in added if n not in self.snapshot.get(type_url)}
        return self.answer(type_url, state, absent, always=first and state.wildcard)

    def answer(
        self, type_url: str, state: Delta, absent: Iterable[str] = (), always: bool = False
    ) -> list[Response]:
        """What differs from what the proxy holds; names that do not exist are told as removed."""
        known = self.snapshot.get(type_url)
        wanted = known.keys() if state.wildcard else state.names & known.keys()
        changed = [
            known[n]
            for n in sorted(wanted)
            if state.known.get(n) != known[n].version and state.refused.get(n) != known[n].version
        ]
        gone = {n for n in state.known if n not in wanted}
        for name in [n for n, version in state.refused.items() if not version and n in wanted]:
            del state.refused[name]  # it is there again: its next removal is a new one
        # A removal that was refused goes out again with the next thing that is new.
        news = {n for n in gone if state.refused.get(n) != ""} | set(absent)
        if not changed and not news and not always:
            return []
        removed = sorted(gone | news)
        self.count += 1
        nonce = str(self.count)
        for name in removed:
            state.known.pop(name, None)
            state.refused.pop(name, None)
        sent = {r.name: r.version for r in changed}
        state.known.update(sent)
        state.pending[nonce] = {**dict.fromkeys(removed, ""), **sent}
        version = version_of(known[n] for n in wanted)
        state.status.sent = nonce
        return [Response(type_url, version, nonce, changed, removed)]

    def push(self, snapshot: Snapshot) -> list[Response]:
        """The snapshot has changed; one step of `steps` at a time."""
        self.snapshot = snapshot
        return [r for t in ORDER if t in self.types for r in self.answer(t, self.types[t])]


def checked(type_url: str, names: Iterable[str]) -> frozenset[str]:
    """The names of a request; BadRequest for a type that is not served, or for too many."""
    if type_url not in ORDER:
        raise BadRequest(f"{type_url or 'no type'}: not served here")
    found = frozenset(names)
    if len(found) > NAMES_MOST:
        raise BadRequest(f"{type_url}: more than {NAMES_MOST} subscriptions")
    return found
