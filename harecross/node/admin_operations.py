"""What operators tell a running node, carried out: servers out and back, standby, and two processes as one."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.discovery.endpoint_status import endpoint_status_rows
from harecross.downstream.connection_manager import ConnectionManager
from harecross.node import learned_state
from harecross.node.admin_server import AdminAnswer, AdminServer
from harecross.node.handover_store import HandoverStore
from harecross.node.maintenance import MaintenanceState, difference
from harecross.platform.clock import monotonic_us
from harecross.platform.durable_file import UnsyncedReplace
from harecross.platform.log import log_line

LOOK_EVERY = 0.05  # seconds between two looks at what another process was told
LEARN_EVERY = 1.0  # seconds between two writings of what was learned
FIRST_LIST = 1.0  # seconds that `status` waits for discovery before the list in hand will do
ID_MOST = 512


class AdminOperations:
    """The door's calls, and the following of what the store holds."""

    def __init__(
        self,
        store: HandoverStore,
        directory: EndpointRegistry,
        callers: ConnectionManager,
        heard: Callable[[], bool],
    ) -> None:
        """`heard` tells whether discovery has spoken to this process."""
        self.loop = asyncio.get_running_loop()
        self.store = store
        self.registry = directory
        self.callers = callers
        self.serving_since: float | None = None
        self.learned_at = self.loop.time()
        self.heard = heard
        self.door = AdminServer(
            {
                (b"GET", b"/status"): self.status,
                (b"GET", b"/servers"): self.servers,
                (b"POST", b"/maintenance/enter"): self.enter,
                (b"POST", b"/maintenance/exit"): self.exit,
                (b"POST", b"/standby"): lambda body: self.stand(True),
                (b"POST", b"/active"): lambda body: self.stand(False),
            }
        )
        self.ticking: asyncio.TimerHandle | None = None

    def explain_by(self, explain: Callable[[str], dict[str, Any]]) -> None:
        """Servers come from several sources: why each is in or out can be asked for."""

        def sources(query: bytes) -> AdminAnswer:
            box = dict(parse_qsl(query.decode(errors="replace"))).get("box", "")
            told = explain(box)
            if box and not told["boxes"]:
                return 404, f"{box}: no source names such a box"
            return 200, json.dumps(told, separators=(",", ":"))

        self.door.calls[b"GET", b"/sources"] = sources

    async def open(self, address: tuple[str, int]) -> None:
        """OSError where the address is not to be had."""
        await self.door.listen(*address)
        log_line("door: listening on {}:{}".format(*self.door.address))

    def serving(self) -> None:
        """The node takes clients from now on."""
        self.serving_since = self.loop.time()
        self.tick()

    def recall(self) -> None:
        """Begins where the process that serves already stands, if there is one."""
        text = self.store.read_learned()
        if text is None:
            return
        try:
            learned_state.import_learned_state(
                self.registry.dispatcher.balancer, self.registry.numbers, text, monotonic_us()
            )
            log_line("what the other process has learned is taken over")
        except ValueError as e:
            log_line(f"{self.store.learned}: not taken over: {e}")

    def learn(self) -> None:
        """Writes what this process has learned, now and then, until it is to stop."""
        now = self.loop.time()
        if self.callers.leaving or now < self.learned_at + LEARN_EVERY:
            return
        self.learned_at = now
        text = learned_state.export_learned_state(self.registry.dispatcher.balancer, self.registry.numbers)
        if text is not None:
            self.store.write_learned(text)

    def close(self) -> None:
        if self.ticking is not None:
            self.ticking.cancel()
        self.door.close()
        self.store.leave()

    def tick(self) -> None:
        if self.store.look():
            self.follow()
        self.ticking = self.loop.call_later(LOOK_EVERY, self.tick)

    def follow(self) -> None:
        """Makes the node what the store says it is."""
        held = self.store.held
        out, back = difference(self.registry.out, map(self.registry.resolve, held.out))
        for name in out:
            self.registry.hold(name)
        for name in back:
            self.registry.put_back(name)
        if held.standby != self.callers.standing_by:
            self.callers.stand(held.standby)

    # ---- calls ----------------------------------------------------------------------------------------

    def status(self, body: bytes) -> AdminAnswer:
        since = self.serving_since
        if since is None:
            return 503, "starting"
        if not self.registry.listed and not self.registry.out:
            return 503, "no servers known"
        fresh = self.heard() or self.loop.time() >= since + FIRST_LIST
        if not fresh or not self.registry.dispatcher.may_send():
            return 503, "waiting for discovery"
        held = self.store.held
        out = ", ".join(sorted(held.out)) or "none"
        return 200, f"{'standby' if held.standby else 'active'}; servers out: {out}"

    def servers(self, query: bytes) -> AdminAnswer:
        """Each server as this process sees it, one line of JSON; `id=` names those that are asked for."""
        asked = [name for key, name in parse_qsl(query.decode(errors="replace")) if key == "id"]
        wanted = {self.registry.resolve(name): name for name in asked}
        rows = endpoint_status_rows(
            self.registry, self.registry.dispatcher.in_flight_by_server(), monotonic_us()
        )
        for row in rows:
            row["id"] = wanted.get(row["id"], row["id"])  # by the name that was asked for
        told = {
            "name": self.store.name,
            "standby": self.store.held.standby,
            "others": self.store.others(),
            "servers": [row for row in rows if not wanted or row["id"] in wanted.values()],
        }
        return 200, json.dumps(told, separators=(",", ":"))

    def enter(self, body: bytes) -> AdminAnswer:
        return self.move(body, MaintenanceState.enter, "out")

    def exit(self, body: bytes) -> AdminAnswer:
        return self.move(body, self.without, "in use")

    def without(self, held: MaintenanceState, server: str) -> MaintenanceState:
        """With the server back, by whichever of its names it was taken out."""
        for name in {server, *(n for n in held.out if self.registry.resolve(n) == server)}:
            held = held.exit(name)
        return held

    def move(
        self, body: bytes, make: Callable[[MaintenanceState, str], MaintenanceState], how: str
    ) -> AdminAnswer:
        name, why = self.known(body)
        return self.write(lambda held: make(held, name), f"{name}: {how}") if name else (404, why)

    def known(self, body: bytes) -> tuple[str, str]:
        """The id in a body and nothing, or nothing and what is wrong with it."""
        try:
            name = body.strip().decode()
        except UnicodeDecodeError:
            return "", "the body is no id: not UTF-8"
        if not name or len(body) > ID_MOST:
            return "", "the body holds the id of a server"
        if not self.registry.knows(name):
            return "", f"{name}: no such server"
        return self.registry.resolve(name), ""

    def stand(self, by: bool) -> AdminAnswer:
        return self.write(lambda held: held.stand(by), "standby" if by else "active")

    def write(self, make: Callable[[MaintenanceState], MaintenanceState], text: str) -> AdminAnswer:
        """A yes only once it is written: what was promised has to outlive this process."""
        try:
            self.store.change(make)
        except UnsyncedReplace as e:
            self.store.look()
            self.follow()
            return 500, f"{text} now, but a crash of the machine may undo it: {e.strerror}"
        except OSError as e:
            return 500, f"not changed, it cannot be written: {e.strerror}"
        self.follow()
        return 200, text
