"""The state machine of a release of servers over several nodes.

`Release` receives events (the status of a node, the result of a call, the end of a restart, an interrupt, the passing
of time) and returns the actions to perform next. Times are seconds of one monotonic clock. It guarantees:

- At most `batch` servers are in maintenance at once, and at each node the share `min_in_use` of the servers that were
  in use at the beginning stays in use.
- A server is restarted only when it is in maintenance at every node, no node has requests in flight on it, and no node
  has another process.
- A server exits maintenance at every node where it may be in maintenance, unless its restart failed, the calls to end
  its maintenance fail, or a second interrupt stops the release immediately. Unless it is stopped immediately, the
  release waits for running restarts.
- `servers_in_maintenance` lists every server that stays in maintenance at the end.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil

from harecross.admin_client.calls import CallResult, NodeStatus, ServerStatus, StatusFailure
from harecross.admin_client.release_state import (
    ACTIVE_PHASES,
    Action,
    ActionKind,
    Phase,
    ReleaseLimits,
    ServerRelease,
    reason_not_warm,
)
from harecross.discovery.endpoint_status import IN_MAINTENANCE, IN_USE

STATUS_INTERVAL_S = 0.5
MAX_STATUS_FAILURES = 6  # consecutive failures at one node
MAX_EXIT_CALLS = 5  # calls to end the maintenance of a server at one node
EXIT_RETRY_S = 1.0


class Release:
    """The state machine of one release.

    Attributes:
        status_requested_at: By node, when the call that returned the current status began.
        status_calls: By node, when a call that has not ended yet began.
        status_failures: By node, the number of consecutive failures to fetch the status.
        min_in_use: By node, the number of servers that must stay in use; empty until the preconditions are checked.
        below_min_in_use_since: Since when too few servers are in use for another to enter maintenance; None otherwise.
        stop_reason: The first reason to stop; empty while there is none.
        messages: Lines for operators; the caller that prints them removes them.
    """

    def __init__(self, servers: Sequence[str], nodes: Sequence[str], limits: ReleaseLimits) -> None:
        self.servers = [ServerRelease(name) for name in servers]
        self.by_id = {server.id: server for server in self.servers}
        self.nodes = list(nodes)
        self.limits = limits
        self.statuses: dict[str, NodeStatus] = {}
        self.status_requested_at: dict[str, float] = {}
        self.status_calls: dict[str, float] = {}
        self.next_status_at = 0.0
        self.status_failures: dict[str, int] = {}
        self.min_in_use: dict[str, int] = {}
        self.below_min_in_use_since: float | None = None
        self.stop_reason = ""
        self.interrupts = 0
        self.finished = False
        self.messages: list[str] = []

    def begin(self, now: float) -> list[Action]:
        """Returns the first actions."""
        return self.fetch_statuses(now)

    def tick(self, now: float) -> list[Action]:
        """Handles the passing of time: timeouts, retries and the next status calls."""
        actions: list[Action] = []
        for server in self.servers:
            self.check_timeouts(now, server, actions)
            for node, due in list(server.retry_at.items()):
                if now >= due:
                    del server.retry_at[node]
                    self.request_exit(server, node, actions)
        if now >= self.next_status_at and not self.finished:
            actions += self.fetch_statuses(now)
        return actions + self.step(now)

    def status_received(self, now: float, node: str, status: NodeStatus | StatusFailure) -> list[Action]:
        """Handles the status of a node, or the failure to fetch it."""
        requested_at = self.status_calls.pop(node, now)
        if isinstance(status, StatusFailure):
            self.status_failures[node] = self.status_failures.get(node, 0) + 1
            if not self.min_in_use or self.status_failures[node] >= MAX_STATUS_FAILURES:
                self.stop(f"{node}: {status.reason}")
        else:
            self.status_failures[node] = 0
            self.statuses[node], self.status_requested_at[node] = status, requested_at
        if not self.min_in_use and not self.stop_reason and len(self.statuses) == len(self.nodes):
            self.check_preconditions()
        return self.step(now)

    def call_answered(
        self, now: float, kind: ActionKind, node: str, server_id: str, result: CallResult
    ) -> list[Action]:
        """Handles the result of a call to enter or exit maintenance."""
        server = self.by_id[server_id]
        if kind is ActionKind.ENTER_MAINTENANCE:
            server.pending_nodes.discard(node)
            if not result.ok:
                if result.effect_unknown:
                    server.effect_unknown.add(node)
                else:
                    server.maybe_in_maintenance.discard(node)
                self.stop(f"{node}: cannot put {server_id} into maintenance: {result.text}")
        elif result.ok:
            server.pending_nodes.discard(node)
            server.maybe_in_maintenance.discard(node)
        elif server.exit_calls[node] < MAX_EXIT_CALLS:
            server.retry_at[node] = now + EXIT_RETRY_S
        else:
            server.pending_nodes.discard(node)
            self.stop(f"{node}: cannot end the maintenance of {server_id}: {result.text}")
        return self.step(now)

    def restart_ended(self, now: float, server_id: str, *, ok: bool, how: str) -> list[Action]:
        """Handles the end of a restart; `how` describes it for operators."""
        server = self.by_id[server_id]
        if ok:
            server.restarted = True
            actions: list[Action] = []
            self.start_exit(now, server, actions)
            return actions + self.step(now)
        self.enter_phase(now, server, Phase.LEFT_IN_MAINTENANCE)
        self.stop(f"the restart of {server_id} {how}; the server stays in maintenance")
        return self.step(now)

    def interrupt(self, now: float) -> list[Action]:
        """Handles an interrupt: the first stops the release gracefully, the second immediately."""
        self.interrupts += 1
        if self.interrupts == 1:
            self.stop("interrupted; interrupt again to stop immediately")
            return self.step(now)
        self.finished = True
        return []

    def servers_in_maintenance(self) -> dict[str, list[str]]:
        """Returns the servers that are, or may be, in maintenance, each with its nodes."""
        return {
            server.id: sorted(nodes)
            for server in self.servers
            if (nodes := server.maybe_in_maintenance | server.effect_unknown)
        }

    def running_restarts(self) -> list[str]:
        """Returns the servers whose restart has not ended."""
        return [server.id for server in self.servers if server.phase == Phase.RESTARTING]

    def waiting_for(self, server: ServerRelease) -> str:
        """Describes for operators what the current phase of a server is waiting for."""
        current = self.current_statuses(server)
        if server.phase == Phase.DRAINING:
            waits = [
                f"{status.in_flight} in flight at {node}"
                for node, status, _ in current
                if status is not None and status.in_flight
            ]
            return ", ".join(waits + [f"another process at {node}" for node, _, others in current if others])
        if server.phase == Phase.WARMING_UP:
            missing = [(node, reason_not_warm(status)) for node, status, _ in current]
            return ", ".join(f"{text} at {node}" for node, text in missing if text)
        return ", ".join(sorted(server.pending_nodes))

    def in_use(self, node: str) -> set[str]:
        """Returns the servers in use at a node, without those that this release may have put into maintenance."""
        out = {server.id for server in self.servers if server.maybe_in_maintenance}
        statuses = self.statuses[node].servers.values()
        return {s.id for s in statuses if s.state == IN_USE and not s.ejected} - out

    def current_statuses(self, server: ServerRelease) -> list[tuple[str, ServerStatus | None, int]]:
        """Returns what the statuses requested since the server's phase began say about the server.

        Each entry holds the node, the server's status there (None if the node does not list it), and the number of
        other processes of the node.
        """
        return [
            (node, status.servers.get(server.id), status.other_processes)
            for node, status in self.statuses.items()
            if self.status_requested_at[node] >= server.phase_began
        ]

    def stop(self, reason: str) -> None:
        """Lets no further server enter maintenance; the release ends once the servers in progress are done."""
        if not self.stop_reason:
            self.stop_reason = reason
        self.messages.append(reason)

    def enter_phase(self, now: float, server: ServerRelease, phase: Phase) -> None:
        """Sets the phase of a server."""
        server.phase, server.phase_began = phase, now
        self.messages.append(f"{server.id}: {phase.value}")

    def fetch_statuses(self, now: float) -> list[Action]:
        """Returns actions that fetch the status of every node without a status call in progress."""
        self.next_status_at = now + STATUS_INTERVAL_S
        nodes = [node for node in self.nodes if node not in self.status_calls]
        for node in nodes:
            self.status_calls[node] = now
        return [Action(ActionKind.FETCH_STATUS, node) for node in nodes]

    def check_preconditions(self) -> None:
        """Stops the release unless every server is in use at every node and enough others can stay in use."""
        for node, status in self.statuses.items():
            for server in self.servers:
                server_status = status.servers.get(server.id)
                if server_status is None:
                    return self.stop(f"{node}: {server.id}: no such server")
                if server_status.state != IN_USE:
                    return self.stop(f"{node}: {server.id} is not in use but {server_status.state}")
        least = {n: max(1, ceil(self.limits.min_in_use * len(self.in_use(n)))) for n in self.nodes}
        for node in self.nodes:
            used = len(self.in_use(node))
            if used - 1 < least[node]:
                return self.stop(f"{node}: {used} servers are in use and {least[node]} must stay in use")
        self.min_in_use = least
        return None

    def step(self, now: float) -> list[Action]:
        """Advances every server that can advance, and finishes the release when nothing is left to do."""
        actions: list[Action] = []
        if self.finished:
            return actions
        for server in self.servers:
            self.step_server(now, server, actions)
        while not self.stop_reason and self.min_in_use and self.start_next(now, actions):
            pass
        active = any(server.phase in ACTIVE_PHASES for server in self.servers)
        waiting = any(server.phase == Phase.WAITING for server in self.servers)
        self.finished = not active and bool(self.stop_reason or (self.min_in_use and not waiting))
        return actions

    def step_server(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Advances one server if it can advance."""
        if server.phase == Phase.ENTERING_MAINTENANCE and not server.pending_nodes:
            if self.stop_reason:
                self.start_exit(now, server, actions)
            else:
                self.enter_phase(now, server, Phase.DRAINING)
        elif server.phase == Phase.DRAINING:
            self.check_drained(now, server, actions)
        elif server.phase == Phase.EXITING_MAINTENANCE and not server.pending_nodes:
            self.enter_phase(
                now, server, Phase.LEFT_IN_MAINTENANCE if server.maybe_in_maintenance else Phase.WARMING_UP
            )
        elif server.phase == Phase.WARMING_UP:
            self.check_warm(now, server, actions)

    def start_next(self, now: float, actions: list[Action]) -> bool:
        """Starts the maintenance of the next server if the limits allow it; returns whether it did."""
        server = next((s for s in self.servers if s.phase == Phase.WAITING), None)
        if server is None or sum(s.phase in ACTIVE_PHASES for s in self.servers) >= self.limits.batch:
            self.below_min_in_use_since = None
            return False
        for node in self.nodes:
            used = self.in_use(node)
            if len(used - {server.id}) < self.min_in_use[node]:
                self.wait_for_more_in_use(now, node, len(used))
                return False
            if server.id not in used:
                self.stop(f"{node}: {server.id} is no longer in use")
                return False
        self.below_min_in_use_since = None
        self.enter_phase(now, server, Phase.ENTERING_MAINTENANCE)
        server.pending_nodes, server.maybe_in_maintenance = set(self.nodes), set(self.nodes)
        actions += [Action(ActionKind.ENTER_MAINTENANCE, node, server.id) for node in self.nodes]
        return True

    def wait_for_more_in_use(self, now: float, node: str, used: int) -> None:
        """Records that too few servers are in use at a node; stops the release if that lasts too long."""
        if self.below_min_in_use_since is None:
            self.below_min_in_use_since = now
        elif now - self.below_min_in_use_since > self.limits.warm_up_timeout_s:
            self.stop(f"{node}: {used} servers are in use and {self.min_in_use[node]} must stay in use")

    def check_drained(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Restarts a drained server; ends its maintenance instead if the release stops or others ended it."""
        if self.stop_reason:
            self.start_exit(now, server, actions)
            return
        current = self.current_statuses(server)
        for node, status, _ in current:
            if status is None or status.state != IN_MAINTENANCE:
                self.stop(f"{node}: {server.id} left maintenance, but not through this release")
                self.start_exit(now, server, actions)
                return
        if len(current) == len(self.nodes) and not self.waiting_for(server):
            self.enter_phase(now, server, Phase.RESTARTING)
            actions.append(Action(ActionKind.RESTART, server=server.id))

    def start_exit(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Ends the maintenance of a server at every node where it may be in maintenance."""
        self.enter_phase(now, server, Phase.EXITING_MAINTENANCE)
        server.pending_nodes = set(server.maybe_in_maintenance)
        for node in sorted(server.pending_nodes):
            self.request_exit(server, node, actions)

    def request_exit(self, server: ServerRelease, node: str, actions: list[Action]) -> None:
        """Adds the call that ends the maintenance of a server at one node."""
        server.exit_calls[node] = server.exit_calls.get(node, 0) + 1
        actions.append(Action(ActionKind.EXIT_MAINTENANCE, node, server.id))

    def check_warm(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Finishes a server whose slow start is over at every node.

        A call whose response was lost may take effect late and put the server into maintenance again; that
        maintenance is ended once more.
        """
        current = self.current_statuses(server)
        for node, status, _ in current:
            late_call = node in server.effect_unknown
            server.effect_unknown.discard(node)
            if status is None or status.state != IN_MAINTENANCE:
                continue
            if late_call:
                server.maybe_in_maintenance.add(node)
                self.start_exit(now, server, actions)
            else:
                self.stop(f"{node}: {server.id} entered maintenance again, but not through this release")
                self.enter_phase(now, server, Phase.DONE)
            return
        node_failing = any(n >= MAX_STATUS_FAILURES for n in self.status_failures.values())
        if len(current) < len(self.nodes) and not node_failing:
            return
        if self.stop_reason or not server.restarted or not self.waiting_for(server):
            self.enter_phase(now, server, Phase.LEFT_IN_MAINTENANCE if server.effect_unknown else Phase.DONE)

    def check_timeouts(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Stops the release if a phase of the server takes too long."""
        waited, limits = now - server.phase_began, self.limits
        if server.phase == Phase.RESTARTING and waited > limits.restart_timeout_s:
            server.phase_began = now
            self.stop(
                f"the restart of {server.id} exceeded {limits.restart_timeout_s:g} s and is being terminated"
            )
            actions.append(Action(ActionKind.END_RESTART, server=server.id))
        elif self.stop_reason:
            return
        elif server.phase == Phase.DRAINING and waited > limits.drain_timeout_s:
            reason = self.waiting_for(server) or "no status since then shows it as drained"
            self.stop(f"{server.id} is not drained after {limits.drain_timeout_s:g} s: {reason}")
        elif server.phase == Phase.WARMING_UP and waited > limits.warm_up_timeout_s:
            reason = self.waiting_for(server) or "no status since then shows it as warm"
            self.stop(f"{server.id} is not warm after {limits.warm_up_timeout_s:g} s: {reason}")
