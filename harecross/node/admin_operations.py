"""The operators' calls to a running node: maintenance of servers, standby, status. Two processes act as one node."""

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
from harecross.node.maintenance import MaintenanceState, maintenance_changes
from harecross.platform.clock import monotonic_us
from harecross.platform.durable_file import UnsyncedReplaceError
from harecross.platform.log import log_line

REFRESH_INTERVAL_S = 0.05  # between two looks at what another process has written
LEARNED_STATE_INTERVAL_S = 1.0
FIRST_LIST_WAIT_S = 1.0  # after which `status` accepts a list that was kept from before the start
MAX_SERVER_ID_BYTES = 512

MaintenanceChange = Callable[[MaintenanceState], MaintenanceState]


class UnknownServerError(Exception):
    """A call whose body names no server; the text is the answer's."""


class AdminOperations:
    """Carries out the calls, and applies the stored maintenance state to the node."""

    def __init__(
        self,
        store: HandoverStore,
        registry: EndpointRegistry,
        client_connections: ConnectionManager,
        has_current_list: Callable[[], bool],
    ) -> None:
        """`has_current_list` tells whether any source of endpoints has answered this process."""
        self.loop = asyncio.get_running_loop()
        self.store = store
        self.registry = registry
        self.client_connections = client_connections
        self.has_current_list = has_current_list
        self.started_at: float | None = None  # by the loop's clock; None until the node serves
        self.learned_state_saved_at = self.loop.time()
        self.server = AdminServer(
            {
                (b"GET", b"/status"): self.status,
                (b"GET", b"/servers"): self.servers,
                (b"POST", b"/maintenance/enter"): self.enter_maintenance,
                (b"POST", b"/maintenance/exit"): self.exit_maintenance,
                (b"POST", b"/standby"): lambda body: self.change_standby(standby=True),
                (b"POST", b"/active"): lambda body: self.change_standby(standby=False),
            }
        )
        self.refresh_timer: asyncio.TimerHandle | None = None

    def add_sources_call(self, explain: Callable[[str], dict[str, Any]]) -> None:
        """Adds the call `/sources`. `explain` tells why an endpoint, or every endpoint, is in use or is not."""

        def sources(query: bytes) -> AdminAnswer:
            """The explanation as one JSON object; `box` in the query selects one endpoint."""
            endpoint = dict(parse_qsl(query.decode(errors="replace"))).get("box", "")
            explanation = explain(endpoint)
            if endpoint and not explanation["boxes"]:
                return 404, f"{endpoint}: no source names such a box"
            return 200, json.dumps(explanation, separators=(",", ":"))

        self.server.calls[b"GET", b"/sources"] = sources

    async def listen(self, address: tuple[str, int]) -> None:
        """Opens the admin server. OSError if the address cannot be bound."""
        await self.server.listen(*address)
        log_line("door: listening on {}:{}".format(*self.server.address))

    def node_started(self) -> None:
        """The node accepts clients from now on."""
        self.started_at = self.loop.time()
        self.refresh_periodically()

    def close(self) -> None:
        """Closes the admin server and releases the process lock."""
        if self.refresh_timer is not None:
            self.refresh_timer.cancel()
        self.server.close()
        self.store.release_process_lock()

    # ---- learned state --------------------------------------------------------------------------------

    def load_learned_state(self) -> None:
        """Starts with the measurements of the process that serves already, if there is one."""
        snapshot = self.store.read_learned_state()
        if snapshot is None:
            return
        balancer = self.registry.dispatcher.balancer
        try:
            learned_state.import_learned_state(balancer, self.registry.numbers, snapshot, monotonic_us())
            log_line("what the other process has learned is taken over")
        except ValueError as error:
            log_line(f"{self.store.learned_state_path}: not taken over: {error}")

    def save_learned_state(self) -> None:
        """Writes a snapshot of the measurements once an interval, until the node drains."""
        now = self.loop.time()
        if self.client_connections.draining or now < self.learned_state_saved_at + LEARNED_STATE_INTERVAL_S:
            return
        self.learned_state_saved_at = now
        snapshot = learned_state.export_learned_state(
            self.registry.dispatcher.balancer, self.registry.numbers
        )
        if snapshot is not None:
            self.store.write_learned_state(snapshot)

    # ---- maintenance state ----------------------------------------------------------------------------

    def refresh_periodically(self) -> None:
        """Applies what another process has written, now and at each interval."""
        if self.store.refresh():
            self.apply_maintenance()
        self.refresh_timer = self.loop.call_later(REFRESH_INTERVAL_S, self.refresh_periodically)

    def apply_maintenance(self) -> None:
        """Brings the node into the stored maintenance state."""
        maintenance = self.store.maintenance
        entering, leaving = maintenance_changes(
            self.registry.in_maintenance, map(self.registry.resolve_name, maintenance.servers)
        )
        for name in entering:
            self.registry.enter_maintenance(name)
        for name in leaving:
            self.registry.exit_maintenance(name)
        if maintenance.standby == self.client_connections.in_standby:
            return
        if maintenance.standby:
            self.client_connections.enter_standby()
        else:
            self.client_connections.leave_standby()

    # ---- calls ----------------------------------------------------------------------------------------

    def status(self, body: bytes) -> AdminAnswer:
        """Whether the node serves, and what is in maintenance."""
        if self.started_at is None:
            return 503, "starting"
        if not self.registry.listed and not self.registry.in_maintenance:
            return 503, "no servers known"
        list_accepted = self.has_current_list() or self.loop.time() >= self.started_at + FIRST_LIST_WAIT_S
        if not list_accepted or not self.registry.dispatcher.may_send():
            return 503, "waiting for discovery"
        maintenance = self.store.maintenance
        servers = ", ".join(sorted(maintenance.servers)) or "none"
        return 200, f"{'standby' if maintenance.standby else 'active'}; servers out: {servers}"

    def servers(self, query: bytes) -> AdminAnswer:
        """The status of each server as one JSON object; each `id` in the query selects one server."""
        ids = [name for key, name in parse_qsl(query.decode(errors="replace")) if key == "id"]
        selected = {self.registry.resolve_name(name): name for name in ids}
        rows = endpoint_status_rows(
            self.registry, self.registry.dispatcher.in_flight_by_server(), monotonic_us()
        )
        for row in rows:
            row["id"] = selected.get(row["id"], row["id"])  # by the name in the query
        answer = {
            "name": self.store.name,
            "standby": self.store.maintenance.standby,
            "others": self.store.other_processes(),
            "servers": [row for row in rows if not selected or row["id"] in selected.values()],
        }
        return 200, json.dumps(answer, separators=(",", ":"))

    def enter_maintenance(self, body: bytes) -> AdminAnswer:
        """Takes the server that the body names out of service."""
        return self.change_server(body, MaintenanceState.with_server, "out")

    def exit_maintenance(self, body: bytes) -> AdminAnswer:
        """Puts the server that the body names back into service."""
        return self.change_server(body, self.without_server, "in use")

    def without_server(self, maintenance: MaintenanceState, server: str) -> MaintenanceState:
        """The state without the server, under whichever of its names it entered maintenance."""
        aliases = (name for name in maintenance.servers if self.registry.resolve_name(name) == server)
        for name in {server, *aliases}:
            maintenance = maintenance.without_server(name)
        return maintenance

    def change_server(
        self, body: bytes, change: Callable[[MaintenanceState, str], MaintenanceState], result: str
    ) -> AdminAnswer:
        """Changes the state of the server that the body names; `result` tells its new state."""
        try:
            name = self.server_in(body)
        except UnknownServerError as error:
            return 404, str(error)
        return self.change(lambda maintenance: change(maintenance, name), f"{name}: {result}")

    def server_in(self, body: bytes) -> str:
        """The server that a body names. UnknownServerError, with the answer's text, if it names none."""
        try:
            name = body.strip().decode()
        except UnicodeDecodeError:
            raise UnknownServerError("the body is no id: not UTF-8") from None
        if not name or len(body) > MAX_SERVER_ID_BYTES:
            raise UnknownServerError("the body holds the id of a server")
        if not self.registry.is_known(name):
            raise UnknownServerError(f"{name}: no such server")
        return self.registry.resolve_name(name)

    def change_standby(self, *, standby: bool) -> AdminAnswer:
        """Enters or leaves standby."""
        return self.change(
            lambda maintenance: maintenance.with_standby(standby=standby), "standby" if standby else "active"
        )

    def change(self, change: MaintenanceChange, text: str) -> AdminAnswer:
        """Writes the new state and applies it. 200 only once it is on disk, because it has to outlive the process."""
        try:
            self.store.update(change)
        except UnsyncedReplaceError as error:
            self.store.refresh()
            self.apply_maintenance()
            return 500, f"{text} now, but a crash of the machine may undo it: {error.strerror}"
        except OSError as error:
            return 500, f"not changed, it cannot be written: {error.strerror}"
        self.apply_maintenance()
        return 200, text
