"""A release of servers over several nodes, decided step by step. Free of I/O.

`Release` receives events (a node's status, an answer, the end of a restart, an interrupt, the time) and returns the
actions to take next. Times are seconds of one monotonic clock. It guarantees:

- At most `batch` servers are in maintenance at once, and at each node the share `min_in_use` of the servers that were
  in use at the beginning stays in use.
- A server is restarted only once it is in maintenance at every node, no node has requests in flight on it, and no node
  has another process.
- It leaves maintenance at every node where it may be, unless its restart failed; a running restart is waited for.
- `servers_in_maintenance` names whatever stays in maintenance at the end.
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
from harecross.discovery.endpoint_status import IN_USE, OUT

STATUS_INTERVAL_S = 0.5
MAX_STATUS_FAILURES = 6  # in a row at one node
MAX_EXIT_CALLS = 5  # to put a server back at one node
EXIT_RETRY_S = 1.0


class Release:
    """The state machine. `messages` collects lines for operators; whoever prints them removes them."""

    def __init__(self, servers: Sequence[str], nodes: Sequence[str], limits: ReleaseLimits) -> None:
        self.servers = [ServerRelease(name) for name in servers]
        self.by_id = {server.id: server for server in self.servers}
        self.nodes = list(nodes)
        self.limits = limits
        self.statuses: dict[str, NodeStatus] = {}
        self.status_requested_at: dict[str, float] = {}  # when the call for the present status began
        self.status_calls: dict[str, float] = {}  # calls without an answer yet, and when they began
        self.next_status_at = 0.0
        self.status_failures: dict[str, int] = {}  # in a row
        self.min_in_use: dict[str, int] = {}  # servers by node; empty until the preconditions are checked
        self.below_min_in_use_since: float | None = None  # no server may leave, because too few are in use
        self.stop_reason = ""  # the first reason to stop
        self.interrupts = 0
        self.finished = False
        self.messages: list[str] = []

    # ---- events ---------------------------------------------------------------------------------------

    def begin(self, now: float) -> list[Action]:
        """The first actions."""
        return self.fetch_statuses(now)

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
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
        """A node's status has come, or its call has failed."""
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
        """A call to enter or exit maintenance has ended."""
        server = self.by_id[server_id]
        if kind is ActionKind.ENTER_MAINTENANCE:
            server.pending_nodes.discard(node)
            if not result.ok:
                if result.effect_unknown:
                    server.effect_unknown.add(node)
                else:
                    server.maybe_in_maintenance.discard(node)
                self.stop(f"{node}: {server_id} cannot be taken out: {result.text}")
        elif result.ok:
            server.pending_nodes.discard(node)
            server.maybe_in_maintenance.discard(node)
        elif server.exit_calls[node] < MAX_EXIT_CALLS:
            server.retry_at[node] = now + EXIT_RETRY_S
        else:
            server.pending_nodes.discard(node)
            self.stop(f"{node}: {server_id} cannot be put back: {result.text}")
        return self.step(now)

    def restart_ended(self, now: float, server_id: str, *, ok: bool, how: str) -> list[Action]:
        """A restart has ended, as `how` says."""
        server = self.by_id[server_id]
        if ok:
            server.restarted = True
            actions: list[Action] = []
            self.start_exit(now, server, actions)
            return actions + self.step(now)
        self.enter_phase(now, server, Phase.LEFT_IN_MAINTENANCE)
        self.stop(f"the restart of {server_id} {how}; it stays out")
        return self.step(now)

    def interrupt(self, now: float) -> list[Action]:
        """The first interrupt stops the release in order, the second one at once."""
        self.interrupts += 1
        if self.interrupts == 1:
            self.stop("interrupted; once more ends it at once")
            return self.step(now)
        self.finished = True
        return []

    # ---- queries --------------------------------------------------------------------------------------

    def servers_in_maintenance(self) -> dict[str, list[str]]:
        """Servers that are in maintenance, or may be, each with the nodes where they are."""
        return {
            server.id: sorted(nodes)
            for server in self.servers
            if (nodes := server.maybe_in_maintenance | server.effect_unknown)
        }

    def running_restarts(self) -> list[str]:
        """Servers whose restart has not ended."""
        return [server.id for server in self.servers if server.phase == Phase.RESTARTING]

    def waiting_for(self, server: ServerRelease) -> str:
        """What a server's phase waits for, as a text for operators."""
        current = self.current_statuses(server)
        if server.phase == Phase.DRAINING:
            waits = [
                f"{status.in_flight} at {node}"
                for node, status, _ in current
                if status is not None and status.in_flight
            ]
            return ", ".join(waits + [f"another process at {node}" for node, _, others in current if others])
        if server.phase == Phase.WARMING_UP:
            missing = [(node, reason_not_warm(status)) for node, status, _ in current]
            return ", ".join(f"{text} at {node}" for node, text in missing if text)
        return ", ".join(sorted(server.pending_nodes))

    def in_use(self, node: str) -> set[str]:
        """The servers that a node uses, without those that entered maintenance since its status."""
        out = {server.id for server in self.servers if server.maybe_in_maintenance}
        statuses = self.statuses[node].servers.values()
        return {s.id for s in statuses if s.state == IN_USE and not s.ejected} - out

    def current_statuses(self, server: ServerRelease) -> list[tuple[str, ServerStatus | None, int]]:
        """Node, server's status there if the node lists it, and other processes: of statuses since its phase began."""
        return [
            (node, status.servers.get(server.id), status.other_processes)
            for node, status in self.statuses.items()
            if self.status_requested_at[node] >= server.phase_began
        ]

    # ---- steps ----------------------------------------------------------------------------------------

    def stop(self, reason: str) -> None:
        """No further server enters maintenance; those that are out are brought to their end."""
        if not self.stop_reason:
            self.stop_reason = reason
        self.messages.append(reason)

    def enter_phase(self, now: float, server: ServerRelease, phase: Phase) -> None:
        """Moves a server into a phase."""
        server.phase, server.phase_began = phase, now
        self.messages.append(f"{server.id}: {phase.value}")

    def fetch_statuses(self, now: float) -> list[Action]:
        """Fetches the status of every node without a call under way."""
        self.next_status_at = now + STATUS_INTERVAL_S
        nodes = [node for node in self.nodes if node not in self.status_calls]
        for node in nodes:
            self.status_calls[node] = now
        return [Action(ActionKind.FETCH_STATUS, node) for node in nodes]

    def check_preconditions(self) -> None:
        """Stops unless every server is in use at every node, and enough others can stay in use."""
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
                return self.stop(f"{node}: {used} servers are in use and {least[node]} must stay")
        self.min_in_use = least
        return None

    def step(self, now: float) -> list[Action]:
        """Moves every server on that can move, and finishes the release once nothing is left to do."""
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
        """Moves one server on, if it can move."""
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
        """Takes the next server out, where the limits allow it; returns whether it did."""
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
        """Too few servers are in use at a node; stops once that has lasted too long."""
        if self.below_min_in_use_since is None:
            self.below_min_in_use_since = now
        elif now - self.below_min_in_use_since > self.limits.warm_up_timeout_s:
            self.stop(f"{node}: {used} servers are in use and {self.min_in_use[node]} must stay")

    def check_drained(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Restarts a drained server; puts it back where the release stops or somebody else has put it back."""
        if self.stop_reason:
            self.start_exit(now, server, actions)
            return
        current = self.current_statuses(server)
        for node, status, _ in current:
            if status is None or status.state != OUT:
                self.stop(f"{node}: {server.id} was put back by somebody else")
                self.start_exit(now, server, actions)
                return
        if len(current) == len(self.nodes) and not self.waiting_for(server):
            self.enter_phase(now, server, Phase.RESTARTING)
            actions.append(Action(ActionKind.RESTART, server=server.id))

    def start_exit(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Ends the maintenance of a server at every node where it may be out."""
        self.enter_phase(now, server, Phase.EXITING_MAINTENANCE)
        server.pending_nodes = set(server.maybe_in_maintenance)
        for node in sorted(server.pending_nodes):
            self.request_exit(server, node, actions)

    def request_exit(self, server: ServerRelease, node: str, actions: list[Action]) -> None:
        """Calls one node to end the maintenance of a server."""
        server.exit_calls[node] = server.exit_calls.get(node, 0) + 1
        actions.append(Action(ActionKind.EXIT_MAINTENANCE, node, server.id))

    def check_warm(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Finishes a server that is warm everywhere; one that a late call has taken out is put back again."""
        current = self.current_statuses(server)
        for node, status, _ in current:
            late_call = node in server.effect_unknown
            server.effect_unknown.discard(node)
            if status is None or status.state != OUT:
                continue
            if late_call:
                server.maybe_in_maintenance.add(node)
                self.start_exit(now, server, actions)
            else:
                self.stop(f"{node}: {server.id} was taken out again by somebody else")
                self.enter_phase(now, server, Phase.DONE)
            return
        node_failing = any(n >= MAX_STATUS_FAILURES for n in self.status_failures.values())
        if len(current) < len(self.nodes) and not node_failing:
            return
        if self.stop_reason or not server.restarted or not self.waiting_for(server):
            self.enter_phase(now, server, Phase.LEFT_IN_MAINTENANCE if server.effect_unknown else Phase.DONE)

    def check_timeouts(self, now: float, server: ServerRelease, actions: list[Action]) -> None:
        """Stops over a phase that takes too long."""
        waited, limits = now - server.phase_began, self.limits
        if server.phase == Phase.RESTARTING and waited > limits.restart_timeout_s:
            server.phase_began = now
            self.stop(
                f"the restart of {server.id} takes longer than {limits.restart_timeout_s:g} s and is ended"
            )
            actions.append(Action(ActionKind.END_RESTART, server=server.id))
        elif self.stop_reason:
            return
        elif server.phase == Phase.DRAINING and waited > limits.drain_timeout_s:
            reason = self.waiting_for(server) or "not seen to be empty"
            self.stop(f"{server.id} is not empty after {limits.drain_timeout_s:g} s: {reason}")
        elif server.phase == Phase.WARMING_UP and waited > limits.warm_up_timeout_s:
            reason = self.waiting_for(server) or "not seen to be warm"
            self.stop(f"{server.id} is not warm after {limits.warm_up_timeout_s:g} s: {reason}")
