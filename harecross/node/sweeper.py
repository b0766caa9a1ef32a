"""The periodic work of a node: timeouts, sharing of resources and state with other processes, and the report line."""

from __future__ import annotations

import asyncio

from harecross.node.composition import NodeParts
from harecross.node.memory_report import leading_memory_fields, memory_fields
from harecross.platform.log import log_line

SWEEP_INTERVAL_S = 0.25
GIVE_BACK_BYTES = 1 << 22  # the system gets memory back after this much was freed
LOGGED_EVENT_LOOP_LAG_S = 0.05


class Sweeper:
    """Calls `sweep` at a fixed interval and measures the event loop's lag.

    Attributes:
        event_loop_lag_s: The longest lag since the last report, in seconds.
    """

    def __init__(self, parts: NodeParts, report_interval_s: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.parts = parts
        self.report_interval_s = report_interval_s
        self.reported_at = self.loop.time()
        self.event_loop_lag_s = 0.0
        self.free_memory = parts.memory_control.free_memory

    def start(self) -> None:
        """Schedules the next sweep; each sweep schedules the one after it."""
        due = self.loop.time() + SWEEP_INTERVAL_S
        self.loop.call_at(due, self.sweep_at, due)

    def sweep_at(self, due: float) -> None:
        """Runs the sweep that was due at the event loop's time `due`, and schedules the next one."""
        self.event_loop_lag_s = max(self.event_loop_lag_s, self.loop.time() - due)
        self.sweep()
        self.start()

    def sweep(self) -> None:
        """Closes connections that timed out, and writes the report line if its interval has elapsed."""
        parts = self.parts
        if parts.admin_operations is not None:
            parts.divide_resources()
            parts.admin_operations.save_learned_state()
        if parts.shared_ids is not None:
            parts.shared_ids.refresh()
        if parts.membership.additional_list_is_current():
            parts.membership.list_received()
        self.give_back_memory()
        parts.pool.sweep()
        parts.client_connections.sweep()
        now = self.loop.time()
        if now >= self.reported_at + self.report_interval_s:
            self.reported_at = now
            self.report()
            if self.event_loop_lag_s > LOGGED_EVENT_LOOP_LAG_S:
                log_line(f"event loop lag reached {self.event_loop_lag_s * 1000:.0f} ms")
            self.event_loop_lag_s = 0.0

    def give_back_memory(self) -> None:
        """Returns free memory to the system when much less is held than before, and adapts the budget."""
        ledger = self.parts.pool.ledger
        if ledger.peak - ledger.held >= GIVE_BACK_BYTES:
            ledger.peak = ledger.held
            self.free_memory.give_back()
        self.parts.memory_control.refresh()

    def report(self) -> None:
        """Writes the report line."""
        connections = self.parts.client_connections
        fields = {**self.parts.membership.report_fields(), **memory_fields(self.parts)}
        fields["lag_ms"] = round(self.event_loop_lag_s * 1000)
        fields["passed_on_early"] = self.parts.pool.responses_passed_on_early
        fields["left_unseen"] = connections.unseen_departures
        remembered_ids = self.parts.dispatcher.remembered_ids
        fields["ids_rejected"], fields["ids_evicted"] = remembered_ids.matched, remembered_ids.evicted
        fields["bodies_refused"] = self.parts.pool.ledger.refused
        fields["memory_returned"] = self.free_memory.trims
        fields["input_deferred"] = connections.input_scheduler.deferred
        fields["input_over_share"] = connections.input_scheduler.floods
        memory = leading_memory_fields(self.parts)
        self.parts.dispatcher.report(
            connections.bad_requests, connections.refused_connections, fields, memory
        )
