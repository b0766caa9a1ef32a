"""The operators' calls to a running node: maintenance of servers, standby and status.

Several processes may run as one node (during a handover). They share the maintenance state through a file.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from harecross.discovery.endpoint_registry import EndpointRegistry
from harecross.discovery.endpoint_status import endpoint_status_rows
from harecross.downstream.connection_manager import ConnectionManager
from harecross.node import learned_state
from harecross.node.admin_server import AdminAnswer, AdminServer
from harecross.node.handover_store import HandoverStore, ProcessPhase
from harecross.node.list_handover import ListHandover
from harecross.node.maintenance import MaintenanceState, maintenance_changes
from harecross.node.membership import Membership
from harecross.platform.clock import monotonic_us
from harecross.platform.durable_file import UnsyncedReplaceError
from harecross.platform.log import log_line

# Interval between two checks for a maintenance state that another process has written.
REFRESH_INTERVAL_S = 0.05
# Interval between two snapshots of the learned state.
LEARNED_STATE_INTERVAL_S = 1.0
# After this time from the start, `status` also accepts an endpoint list that was stored before the start.
FIRST_LIST_WAIT_S = 1.0
MAX_SERVER_ID_BYTES = 512

MaintenanceChange = Callable[[MaintenanceState], MaintenanceState]


class UnknownServerError(Exception):
    """The body of a call does not name a known server. The message is the text of the answer."""


def query_fields(query: bytes) -> list[tuple[str, str]]:
    """Returns the names and values of the query of an admin call."""
    from urllib.parse import parse_qsl  # half a megabyte that a node without such calls does not need

    return parse_qsl(query.decode(errors="replace"))


class AdminOperations:
    """Handles the operators' calls, and applies the stored maintenance state to the node.

    Attributes:
        started_at: The event loop's time at which the node began to serve; None until then.
        on_refresh: Called whenever the shared folder was looked at.
    """

    def __init__(
        self,
        store: HandoverStore,
        registry: EndpointRegistry,
        client_connections: ConnectionManager,
        membership: Membership,
    ) -> None:
        """Registers the calls."""
        self.loop = asyncio.get_running_loop()
        self.store = store
        self.registry = registry
        self.client_connections = client_connections
        self.has_current_list = membership.has_current_list
        self.list_handover = ListHandover(store, membership)
        self.on_refresh: Callable[[], None] = lambda: None
        self.started_at: float | None = None
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
        """Adds the call `/sources`.

        `explain` returns why one endpoint, or every endpoint for an empty name, is in use or not.
        """

        def sources(query: bytes) -> AdminAnswer:
            """Returns the explanation as one JSON object. `box` in the query selects one endpoint."""
            endpoint = dict(query_fields(query)).get("box", "")
            explanation = explain(endpoint)
            if endpoint and not explanation["boxes"]:
                return 404, f"{endpoint}: no source names such a box"
            return 200, json.dumps(explanation, separators=(",", ":"))

        self.server.calls[b"GET", b"/sources"] = sources

    async def listen(self, address: tuple[str, int]) -> None:
        """Opens the admin server. Raises OSError if the address cannot be bound."""
        await self.server.listen(*address)
        log_line("door: listening on {}:{}".format(*self.server.address))

    def node_started(self) -> None:
        """Called once the node accepts clients. Starts the periodic refresh of the maintenance state."""
        self.started_at = self.loop.time()
        self.store.publish(ProcessPhase.ACCEPTING)
        self.refresh_periodically()

    def close(self) -> None:
        """Closes the admin server and releases the process lock."""
        if self.refresh_timer is not None:
            self.refresh_timer.cancel()
        self.server.close()
        self.store.release_process_lock()

    def load_learned_state(self) -> None:
        """Imports the measurements of the process that already serves as this node, if there is one."""
        snapshot = self.store.read_learned_state()
        if snapshot is None:
            return
        balancer = self.registry.dispatcher.balancer
        try:
            learned_state.import_learned_state(balancer, self.registry.numbers, snapshot, monotonic_us())
            log_line("learned state imported from the running process")
        except ValueError as error:
            log_line(f"{self.store.learned_state_path}: learned state not imported: {error}")

    def save_learned_state(self) -> None:
        """Writes a snapshot of the measurements once per interval, until the node drains."""
        now = self.loop.time()
        if self.client_connections.draining or now < self.learned_state_saved_at + LEARNED_STATE_INTERVAL_S:
            return
        self.learned_state_saved_at = now
        snapshot = learned_state.export_learned_state(
            self.registry.dispatcher.balancer, self.registry.numbers
        )
        if snapshot is not None:
            self.store.write_learned_state(snapshot)

    def refresh_periodically(self) -> None:
        """Applies the maintenance state that another process has written, now and at each interval."""
        if self.store.refresh():
            self.apply_maintenance()
        self.list_handover.offer_if_needed()
        self.on_refresh()
        self.refresh_timer = self.loop.call_later(REFRESH_INTERVAL_S, self.refresh_periodically)

    def apply_maintenance(self) -> None:
        """Applies the stored maintenance state to the node's servers and client connections."""
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

    def status(self, body: bytes) -> AdminAnswer:
        """Returns whether the node serves, and which servers are in maintenance. Answers 503 until it is ready."""
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
        """Returns the status of each server as one JSON object. Each `id` in the query selects one server."""
        ids = [name for key, name in query_fields(query) if key == "id"]
        selected = {self.registry.resolve_name(name): name for name in ids}
        rows = endpoint_status_rows(
            self.registry, self.registry.dispatcher.in_flight_by_server(), monotonic_us()
        )
        for row in rows:
            # The answer names a selected server as the query does, which may use an alias of its id.
            row["id"] = selected.get(row["id"], row["id"])
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
        """Returns the state without the server, under all names by which it may have entered maintenance."""
        aliases = (name for name in maintenance.servers if self.registry.resolve_name(name) == server)
        for name in {server, *aliases}:
            maintenance = maintenance.without_server(name)
        return maintenance

    def change_server(
        self, body: bytes, change: Callable[[MaintenanceState, str], MaintenanceState], result: str
    ) -> AdminAnswer:
        """Changes the maintenance state of the server that the body names. `result` is the new state in the answer."""
        try:
            name = self.parse_server_id(body)
        except UnknownServerError as error:
            return 404, str(error)
        return self.change(lambda maintenance: change(maintenance, name), f"{name}: {result}")

    def parse_server_id(self, body: bytes) -> str:
        """Returns the id of the server that the body names. Raises UnknownServerError if it names no known server."""
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
        """Writes the new state and applies it.

        Answers 200 only once the state is on disk, because it must outlive the process.
        """
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
