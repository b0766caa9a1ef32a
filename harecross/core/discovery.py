"""Discovery: the watch, parsing of lists, reconnecting."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import Any, NamedTuple, Protocol, cast

from httptools import HttpParserError, HttpResponseParser

from harecross.core.asking import BEAT, BINDING, Asking, End, Terms
from harecross.core.host import Host, guard, say
from harecross.core.leaving import Leaving
from harecross.core.servers import Servers, clock
from harecross.core.values import BLANK_LINE, BadValue, Values
from harecross.core.versions import Verdict, judge
from harecross.interface import ListKind, ServerEntry, State

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
CONNECT = 1.0  # seconds
PART_MOST = BEAT  # seconds for which the parts of one list or change count as words
DOUBT = (
    2 * BINDING
)  # seconds after which a discovery is believed that another one said a server leaves: it has heard by then
PUSHED = Terms()
COLD_MOST = 60_000_000  # microseconds after which a server put back is warm anywhere


class Names:
    """Positions of names: those in the settings keep theirs, others get one for as long as it is in use."""

    def __init__(self, names: Sequence[str]) -> None:
        self.fixed = {name: i for i, name in enumerate(names)}
        self.others: dict[str, int] = {}
        self.last = len(names)

    def place(self, name: str) -> int:
        if name in self.fixed:
            return self.fixed[name]
        if name not in self.others:
            self.others[name] = self.last
            self.last += 1
        return self.others[name]

    def keep(self, used: set[int]) -> None:
        self.others = {name: at for name, at in self.others.items() if at in used}


class Listed(NamedTuple):
    """What discovery says of a server in service."""

    entry: ServerEntry
    address: str
    started: int  # Unix time in milliseconds


class Lists(Protocol):
    """Who is told what a watch brings: the directory itself, or what stands between where there are more sources."""

    def apply(self, update: Any, cached: bool = False, full: bool = False) -> None:
        """One list or change. ValueError if it is none."""

    def reached(self, good: bool) -> None:
        """The watch has just spoken, or its connection has ended or come to nothing."""


class Directory:
    """Makes lists of discovery into the module's entries, and tells the connections of them.

    A server that operators hold out is DRAINING to the module, whatever discovery says of it.
    """

    def __init__(self, host: Host, servers: Servers, zones: Sequence[str], kinds: Sequence[str]) -> None:
        self.host = host
        self.servers = servers
        self.zones = Names(zones)
        self.kinds = Names(kinds)
        self.numbers: dict[str, int] = {}
        self.last = 0
        self.listed: dict[int, ServerEntry] = {}  # in service, as last told
        self.draining: set[str] = set()  # names that discovery lists as such
        self.out: dict[str, Listed | None] = {}  # held out: what discovery says of them meanwhile
        self.back: dict[str, int] = {}  # when they were put back
        self.owners: dict[str, int] = {}  # who listens at an address
        self.weighted = False  # the platform's weights are nominal, and the module measures speeds itself
        self.resolve: Callable[[str], str] = str  # from a name that operators use to the one that lists use
        self.heard: Callable[[Any, bool, bool], None] | None = (
            None  # each update, whether full, whether cached
        )
        # Fixed once: the module takes any other start time for another process.
        self.unix_offset = time.time_ns() // 1000 - clock()

    def reached(self, good: bool) -> None:
        """The only source there is: its last list holds however old it is."""

    def number(self, name: str) -> int:
        """The server's number: the same for as long as it is listed or anything is out on it."""
        number = self.numbers.get(name)
        if number is None:
            self.last += 1
            number = self.numbers[name] = self.last
        return number

    def apply(self, update: Any, cached: bool = False, full: bool = False) -> None:
        """One list or change. ValueError if it is none; a bad entry is logged and left out."""
        if not isinstance(update, dict) or not isinstance(update.get("instances"), list):
            raise ValueError("no list of servers")
        full = full or cached or bool(update.get("reset"))
        trace = self.host.trace
        before = set(self.listed) if trace is not None else set()
        entries: dict[int, ServerEntry] = {}
        for item in update["instances"]:
            try:
                for entry in self.entries(item):
                    entries[entry.server] = entry
            except (KeyError, TypeError, ValueError) as e:
                say(f"discovery: bad entry {item!r:.200}: {e!r}")
        if full:
            for server in [n for n in self.listed if n not in entries]:
                self.withdraw(server)
            names = {str(item.get("instanceId")) for item in update["instances"] if isinstance(item, dict)}
            self.draining &= names
            self.out.update({name: None for name in self.out if name not in names})
        kind = ListKind.CACHED if cached else ListKind.FULL if full else ListKind.CHANGES
        self.host.server_list(kind, list(entries.values()))
        if trace is not None:
            named = {number: name for name, number in self.numbers.items()}
            now_listed = set(self.listed)
            came, left = ({named[n] for n in part} for part in (now_listed - before, before - now_listed))
            trace.listed(kind, update.get("generation"), came, left)
        self.forget()
        if self.heard is not None:
            self.heard(update, full, cached)

    def entries(self, item: Any) -> list[ServerEntry]:
        """What one line says, of its server and of one whose address it takes over."""
        name = str(item["instanceId"])
        # A state never heard of counts as draining: nothing new is sent.
        state = STATES.get(item["lifecycle"], State.DRAINING)
        self.draining.discard(name)
        if state != State.READY:
            if state == State.DRAINING:
                self.draining.add(name)
            if name in self.out:
                self.out[name] = None
            # Guards against: a line on a server that goes is left out over a field that no longer matters.
            return [self.withdraw(self.numbers[name], state)] if name in self.numbers else []
        started = int(item.get("startedAtMs") or 0)
        address = str(item["hostPort"])
        number = self.number(name)
        entry = ServerEntry(
            server=number,
            cell=int(item.get("cell") or 0),
            zone=self.zones.place(str(item.get("zone", ""))),
            kind=self.kinds.place(str(item.get("machineType", ""))),
            weight=float(item.get("weight", 1.0)) if self.weighted else 1.0,
            ready_at=max(1, started * 1000 - self.unix_offset) if started > 0 else 0,
        )
        listed = Listed(entry, address, started)
        if name in self.out:
            self.out[name] = listed
            return []
        return self.place(name, listed)

    def place(self, name: str, listed: Listed) -> list[ServerEntry]:
        """Uses a server, unless a younger one listens at its address."""
        entry, address, started = listed
        number = entry.server
        owner = self.listed.get(self.owners.get(address, number))
        if owner is not None and owner.server != number and owner.ready_at > entry.ready_at:
            return [self.withdraw(number)]
        if self.back.get(name, 0) > entry.ready_at:
            # Guards against: a server comes back cold, and the list has not told that it was restarted.
            entry = replace(entry, ready_at=self.back[name])
        self.servers.update(number, address, started)
        self.listed[number] = entry
        self.owners[address] = number
        if owner is None or owner.server == number:
            return [entry]
        # Guards against: what is sent to a server that has been replaced reaches the new one at its address,
        # which is cold and is not counted as having got it.
        return [self.withdraw(owner.server), entry]

    # ---- held out by hand ----------------------------------------------------------------------------

    def knows(self, name: str) -> bool:
        """Whether discovery lists the server, or operators hold it out."""
        name = self.resolve(name)
        return name in self.out or name in self.draining or self.numbers.get(name) in self.listed

    def hold(self, name: str) -> None:
        """Takes the server out until it is `put_back`, whatever discovery says meanwhile."""
        name = self.resolve(name)
        if name in self.out:
            return
        number = self.numbers.get(name, 0)
        entry, target = self.listed.get(number), self.servers.targets.get(number)
        self.out[name] = None
        if entry is not None and target is not None:
            self.out[name] = Listed(entry, f"{target.host}:{target.port}", target.started)
            self.host.server_list(ListKind.CHANGES, [self.withdraw(number, State.DRAINING)])

    def put_back(self, name: str) -> None:
        """Uses the server again if discovery lists it, as one that has just started."""
        name = name if name in self.out else self.resolve(name)
        if name not in self.out:
            return
        listed = self.out.pop(name)
        self.back[name] = clock()
        if listed is not None:
            entry = replace(listed.entry, server=self.number(name))
            self.host.server_list(ListKind.CHANGES, self.place(name, listed._replace(entry=entry)))

    def withdraw(self, number: int, state: State = State.GONE) -> ServerEntry:
        self.servers.withdraw(number)
        self.listed.pop(number, None)
        return ServerEntry(number, state)

    def forget(self) -> None:
        """Guards against: where servers are replaced all day, what was known of those gone piles up."""
        for name, number in list(self.numbers.items()):
            if number not in self.listed and self.servers.forget(number):
                del self.numbers[name]
        cold = clock() - COLD_MOST
        self.back = {name: at for name, at in self.back.items() if name in self.numbers or at > cold}
        self.owners = {address: n for address, n in self.owners.items() if n in self.listed}
        self.zones.keep({e.zone for e in self.listed.values()})
        self.kinds.keep({e.kind for e in self.listed.values()})


class Stream(asyncio.Protocol):
    """One call to discovery: a whole list, or a watch that lasts until its connection ends."""

    def __init__(self, watch: Watch, path: bytes, asking: Asking, own: bool) -> None:
        """`own`: it is the watch's own call, none beside it."""
        self.watch = watch
        self.first = own  # the next list or change is the first word of the watch's own call
        self.asking = asking
        self.path = path
        self.transport: asyncio.Transport | None = None
        self.parser = HttpResponseParser(self)
        self.values = Values()
        self.part_since: float | None = None  # when a value that is not whole yet began to come
        self.ended = asyncio.get_running_loop().create_future()
        self.good = False  # an answer has brought something usable
        self.bad = False  # it has brought what could not be read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(
            b"GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n"
            % (self.path, b"%s:%d" % (self.watch.address[0].encode(), self.watch.address[1]))
        )

    def data_received(self, data: bytes) -> None:
        self.watch.discovery.lists.reached(True)
        try:
            self.parser.feed_data(data)
        except HttpParserError as e:
            self.spoilt(f"bad answer: {e}")
        if self.good and self.is_word(time.monotonic()):
            self.asking.word(time.monotonic())

    def is_word(self, now: float) -> bool:
        """Whether what has come tells that the watch is alive.

        Guards against: a list that dribbles in and never ends keeps up a watch that tells nothing.
        """
        if not self.values.open:
            self.part_since = None
            return True
        if self.part_since is None:
            self.part_since = now
        return now - self.part_since < PART_MOST

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)

    def on_body(self, data: bytes) -> None:
        if self.parser.get_status_code() != 200 or self.ended.done():
            return
        self.good = True
        try:
            for value in self.values.feed(data):
                self.value(value)
        except BadValue as e:
            self.spoilt(f"bad list: {e}")

    def on_message_complete(self) -> None:
        try:
            self.values.finish()
        except BadValue as e:
            self.spoilt(f"bad list: {e}")
        self.stop()

    def value(self, value: Any) -> None:
        """One list or change, or the word that there is none."""
        if self.ended.done():
            return
        self.part_since = None
        if value is BLANK_LINE:
            self.watch.unchanged()
            return
        first, self.first = self.first, False
        try:
            self.watch.told(value, first)
        except (ValueError, RecursionError) as e:
            self.spoilt(f"bad list: {e}")
        except Exception:
            guard("discovery")

    def spoilt(self, what: str) -> None:
        """Ends the call.

        Guards against: a change that could not be read is missed for good. The next watch starts after the last one
        that could.
        """
        if self.ended.done():
            return
        say(f"discovery: {what}")
        self.good, self.bad = False, True
        self.stop()

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)


class Watch:
    """A watch at one address, opened anew when its `Asking` says, until `close`."""

    def __init__(
        self, discovery: Discovery, address: tuple[str, int], generation: int | None, asking: Asking
    ) -> None:
        self.discovery = discovery
        self.address = address
        self.generation = generation  # the last version read; None before the first whole list
        self.asking = asking
        self.closed = False
        asking.begin(time.monotonic())
        self.task = discovery.loop.create_task(self.run())

    def close(self) -> None:
        self.closed = True
        self.asking.stop()
        self.task.cancel()

    def told(self, update: Any, first: bool) -> None:
        """One line of this watch; nothing counts that comes after the watch has been given up.

        `first`: it is the first word of its present call. ValueError for what cannot be used.
        """
        if self.closed:
            return
        generation = update.get("generation") if isinstance(update, dict) else None
        if isinstance(generation, int):
            verdict = judge(self.generation, generation, bool(update.get("reset")), first)
            if verdict is not Verdict.NEWER:
                say(f"discovery: version {generation} after {self.generation}: {verdict.value}")
            if verdict is Verdict.OLDER:
                return
            if verdict is Verdict.UNUSABLE:
                self.generation = None
                raise ValueError("a change of a version never seen")
        update = self.discovery.believed(self, update)
        self.discovery.lists.apply(update, full=self.generation is None)
        if isinstance(generation, int):
            self.generation = generation
        elif self.generation is None:
            self.generation = 0
        self.asking.good()
        self.discovery.settled(self)

    def unchanged(self) -> None:
        """An empty line: what this watch asked after is the newest there is, since a first line brings what is not."""
        if not self.closed and self.generation is not None and self.discovery.current is self:
            self.discovery.on_word()

    async def run(self) -> None:
        while True:
            await asyncio.sleep(max(0.0, self.asking.next_at - time.monotonic()))
            path, had = b"/catalog/members", self.generation
            if had is not None:
                path += b"?watch=1&after=%d" % had
            self.asking.calling(time.monotonic())
            end = await self.call(path, self.asking, own=True)
            if had is None and self.generation is not None and end is End.ENDED:
                self.asking.begin(time.monotonic())  # the whole list is here: its watch follows
                continue
            self.asking.ended(time.monotonic(), end)
            if self.discovery.asked and self.discovery.current is self:
                self.discovery.failed()

    async def call(self, path: bytes, asking: Asking, own: bool) -> End:
        """One call from connect to end, and how it ended; `own` for that of the watch, not one beside it."""
        stream = Stream(self, path, asking, own)
        end: End | None = None
        try:
            async with asyncio.timeout(CONNECT):
                await self.discovery.loop.create_connection(lambda: stream, *self.address)
            # Guards against: a machine that has gone leaves the connection open and silent; and two silent
            # watches in a row outlast the time after which a change is binding.
            while not stream.ended.done():
                left = asking.patience_ends() - time.monotonic()
                if left <= 0:
                    say("discovery: silent")
                    end = End.SILENT
                    break
                await asyncio.wait([stream.ended], timeout=left)
        except (OSError, TimeoutError) as e:
            say(f"discovery: {e!r}")
        finally:
            stream.stop()
        self.discovery.lists.reached(False)
        if stream.bad:
            return End.BROKEN
        if not stream.good:
            return End.FAILED
        return end or End.ENDED


class Discovery:
    """The watch in use and, while the node moves to another address, the one that comes up there.

    A watch comes back by itself when its `Asking` says; where lists are asked for, the module is told of the end.
    """

    def __init__(
        self,
        directory: Directory,
        address: tuple[str, int],
        terms: Terms = PUSHED,
        lists: Lists | None = None,
        seed: int = 0,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.directory = directory
        self.lists = lists or directory
        self.address = address
        self.terms = terms
        self.asked = terms.asked
        self.rng = Random(seed)
        self.asking = Asking(terms, self.rng)
        self.generation: int | None = 0
        self.current: Watch | None = None
        self.coming: Watch | None = None
        self.heard = False  # has spoken to this process
        self.on_word: Callable[[], None] = lambda: None  # the list in hand is of this process's own time
        self.fetching: set[asyncio.Task[None]] = set()
        self.leaving = Leaving()

    def begin(self, known: Any) -> None:
        """The list of the configuration, as it was once told at the same address."""
        self.lists.apply(known, cached=True)
        generation = known.get("generation")
        if isinstance(generation, int):
            self.generation = generation

    def listen(self, on: bool) -> None:
        for watch in (self.current, self.coming):
            if watch is not None:
                self.generation = watch.generation
                watch.close()
        self.current = self.coming = None
        if on:
            self.current = Watch(self, self.address, self.generation, self.asking)

    def move(self, address: tuple[str, int]) -> bool:
        """Goes to another address; False if that is where the node is, or is going, already.

        Guards against: between two watches a change is missed. The old one counts until the new one has
        brought its first list, and that is asked for whole: a version of the old address may mean nothing
        at the new one.
        """
        if address == self.address:
            return False
        self.address = address
        if self.coming is not None:
            self.coming.close()
            self.coming = None
        if self.current is None:
            self.generation = None
        elif address == self.current.address:
            return True  # back before the other one had come up
        else:
            self.coming = Watch(self, address, None, Asking(self.terms, self.rng, moving=True))
        return True

    def settled(self, watch: Watch) -> None:
        """A watch has brought a list."""
        self.heard = True
        self.on_word()
        if watch is self.coming:
            if self.current is not None:
                self.current.close()
            self.current, self.coming, self.asking = watch, None, watch.asking
            watch.asking.moving = False
            say(f"discovery: moved to {watch.address[0]}:{watch.address[1]}")

    def believed(self, watch: Watch, update: Any) -> Any:
        """The list or change as it is to be used."""
        if watch is self.coming:
            update, doubted = self.leaving.doubted(update)
            if doubted:
                say(
                    f"discovery: {watch.address[0]}:{watch.address[1]} has not heard of {len(doubted)} that leave"
                )
                self.loop.call_later(DOUBT, self.trust, watch, doubted)
        self.leaving.told(update)
        return update

    def trust(self, watch: Watch, doubted: list[Any]) -> None:
        """Uses servers that another discovery said were leaving, if the present one has not said so by now."""
        items = self.leaving.still(doubted)
        if watch is self.current and items:
            self.leaving.told({"instances": items})
            self.lists.apply({"instances": items})

    def fetch(self) -> None:
        task = self.loop.create_task(self.ask_once())
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def ask_once(self) -> None:
        watch = self.current
        if watch is None:
            return self.failed()
        once = Asking(self.terms, self.rng)  # what the call brings is no word of the watch that is open
        once.calling(time.monotonic())
        if await watch.call(b"/catalog/members", once, own=False) is not End.ENDED:
            self.failed()

    def failed(self) -> None:
        self.directory.host.server_list(ListKind.FAILED, [])
