"""A discrete-event simulation of nodes with watches, one discovery service and a trigger, in virtual time.

At the trigger, either every watch falls silent, ends, or ends in the middle of a message, or stopped nodes restart with
the list that they last had, or every watch ends and discovery is down for a while. Discovery lists drains at fixed
times; they reach the nodes whose watch is open. The result counts the drains that a node had not received within the
staleness limit, and the time during which restarted nodes could send without a change of which they count as notified.
The same seed gives the same events.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from math import ceil, inf
from random import Random

from harecross.discovery.readiness import ListReadiness, max_start_wait_s
from harecross.discovery.subscription_schedule import (
    SEND_STOP_GRACE_S,
    STALENESS_LIMIT_S,
    WATCH_HEARTBEAT_TIMEOUT_S,
    CallEnd,
    DiscoverySettings,
    SubscriptionSchedule,
    SubscriptionState,
)
from harecross.fleet.discovery import CallResult, DiscoveryQueue
from harecross.fleet.result import RehearsalResult
from harecross.fleet.scenario import Scenario, Trigger

# The time from the start of a node's process to its first call.
PROCESS_START_S = 0.3
ScheduleFactory = Callable[[DiscoverySettings, Random], SubscriptionSchedule]
# Called with the time of the event.
EventHandler = Callable[[float], None]


def merge_intervals(intervals: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Returns the union of the intervals as disjoint intervals, sorted by time."""
    merged: list[tuple[float, float]] = []
    for begin, end in sorted(intervals):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((begin, end))
    return merged


class NodeModel:
    """One simulated node.

    Attributes:
        schedule: The schedule of its calls to discovery.
        readiness: The readiness of its list if its process started during the rehearsal, else None.
        stopped: Whether its process is stopped.
        started_at: When its process started, or -inf if that was before the rehearsal.
        ready_at: When discovery first confirmed a list to the restarted process; inf until then, -inf if the node has
            not restarted.
        subscribed_at: When it first subscribed again after the trigger, or inf if it has not done so yet.
        change_times: When the node received each change of the list, in the order of the changes.
        generation: A counter that invalidates scheduled events: events of an earlier generation are ignored.
    """

    __slots__ = (
        "change_times",
        "generation",
        "readiness",
        "ready_at",
        "schedule",
        "started_at",
        "stopped",
        "subscribed_at",
    )  # fmt: skip

    def __init__(self, schedule: SubscriptionSchedule) -> None:
        self.schedule = schedule
        self.readiness: ListReadiness | None = None
        self.stopped = False
        self.started_at = -inf
        self.ready_at = -inf
        self.subscribed_at = inf
        self.change_times: list[float] = []
        self.generation = 0


class Rehearsal:
    """Runs the events of one scenario in the order of their times."""

    def __init__(self, scenario: Scenario, schedule_factory: ScheduleFactory = SubscriptionSchedule) -> None:
        self.scenario = scenario
        self.rng = Random(scenario.seed)
        self.discovery = DiscoveryQueue(scenario.discovery)
        self.nodes = [
            NodeModel(self._new_schedule(schedule_factory, number)) for number in range(scenario.nodes)
        ]
        self.result = RehearsalResult(scenario, [], [])
        self._events: list[tuple[float, int, EventHandler]] = []
        self._event_count = 0
        # When discovery listed each change.
        self._listed_at: list[float] = []
        # For each change, when each of the nodes that have it received it.
        self._received_at: list[list[float]] = []

    def _new_schedule(self, schedule_factory: ScheduleFactory, index: int) -> SubscriptionSchedule:
        settings = DiscoverySettings(True, self.scenario.nodes, index, self.scenario.max_poll_interval)
        return schedule_factory(settings, Random(self.rng.getrandbits(64)))

    def run(self) -> RehearsalResult:
        """Runs the scenario to its end and returns the result."""
        for position, node in enumerate(self.nodes, 1):
            self._subscribe_at_start(node, position)
        self._schedule_scenario()
        while self._events and self._events[0][0] <= self.scenario.duration:
            now, _, handler = heapq.heappop(self._events)
            handler(now)
        return self._collect_result()

    def _subscribe_at_start(self, node: NodeModel, position: int) -> None:
        """Subscribes a node that started together with the whole fleet; `position` is its place in discovery's queue.

        A node whose first call timed out in that queue goes into the trigger with a schedule that knows of the long
        queue.
        """
        scenario, schedule = self.scenario, node.schedule
        call_timeout = scenario.discovery.call_timeout_s
        queued_s = position / scenario.discovery.calls_per_second
        schedule.start(0.0)
        schedule.call_started(0.0)
        if queued_s > call_timeout:
            schedule.call_ended(call_timeout, CallEnd.FAILED)
            schedule.call_started(scenario.trigger_at)
        schedule.heartbeat_received(min(queued_s, call_timeout))
        schedule.update_applied()
        schedule.heartbeat_received(scenario.trigger_at)

    def _schedule_scenario(self) -> None:
        scenario = self.scenario
        if scenario.trigger is Trigger.RESTART and scenario.stopped_before > 0:
            self._add_event(scenario.trigger_at - scenario.stopped_before, self._stop_nodes)
        if scenario.earlier_drain > 0:
            self._add_event(scenario.trigger_at - scenario.earlier_drain, self._list_drain)
        self._add_event(scenario.trigger_at, self._fire_trigger)
        drain_at = scenario.trigger_at + scenario.drain_delay
        while drain_at < scenario.duration:
            self._add_event(drain_at, self._list_drain)
            drain_at = drain_at + scenario.drain_interval if scenario.drain_interval > 0 else inf

    def _add_event(self, at: float, handler: EventHandler) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, handler))

    def _restarted_nodes(self) -> list[NodeModel]:
        """Returns the nodes that restart at the trigger, always the same ones within a rehearsal."""
        return self.nodes[: ceil(self.scenario.restart_fraction * len(self.nodes))]

    def _stop_nodes(self, now: float) -> None:
        for node in self._restarted_nodes():
            node.generation += 1
            node.stopped = True

    def _fire_trigger(self, now: float) -> None:
        trigger = self.scenario.trigger
        self.discovery.idle_at = now + self.scenario.backlog
        affected = self._restarted_nodes() if trigger is Trigger.RESTART else self.nodes
        for node in self.nodes[len(affected) :]:
            node.subscribed_at = now  # the watches of the other nodes stay open
        for node in affected:
            node.generation += 1
            if trigger is Trigger.RESTART:
                self._restart(node, now)
            elif trigger is Trigger.SILENT:
                # Discovery sends heartbeats to all nodes at the same moment; the last one is sent at the trigger.
                self._add_event(now + WATCH_HEARTBEAT_TIMEOUT_S, self._call_end_handler(node, CallEnd.SILENT))
            else:
                end = CallEnd.MALFORMED if trigger is Trigger.BROKEN else CallEnd.ENDED
                self._call_end_handler(node, end)(now)

    def _restart(self, node: NodeModel, now: float) -> None:
        settings = node.schedule.settings
        node.schedule = type(node.schedule)(settings, Random(self.rng.getrandbits(64)))
        node.schedule.start(now + PROCESS_START_S)
        node.readiness = ListReadiness(now, max_start_wait_s(settings))
        node.stopped, node.started_at, node.ready_at = False, now, inf
        self._schedule_call(node)

    def _list_drain(self, now: float) -> None:
        self._listed_at.append(now)
        self._received_at.append([])
        for node in self.nodes:
            watch_open = now < self.scenario.trigger_at or node.subscribed_at < inf
            if node.schedule.state is SubscriptionState.SUBSCRIBED and watch_open and not node.stopped:
                self._receive_changes(node, now)

    def _receive_changes(self, node: NodeModel, now: float) -> None:
        """Records that a node receives all changes that it does not have yet."""
        for received_at in self._received_at[len(node.change_times) :]:
            received_at.append(now)
            node.change_times.append(now)

    def _call_end_handler(self, node: NodeModel, end: CallEnd) -> EventHandler:
        """Returns a handler that ends the node's current call and schedules the next one.

        The handler does nothing if the node's generation has changed by then.
        """
        generation = node.generation

        def handler(now: float) -> None:
            if node.generation == generation:
                node.schedule.call_ended(now, end)
                self._schedule_call(node)

        return handler

    def _schedule_call(self, node: NodeModel) -> None:
        node.generation += 1
        generation = node.generation

        def handler(now: float) -> None:
            if node.generation == generation:
                self._start_call(node, now)

        self._add_event(node.schedule.next_call_at, handler)

    def _start_call(self, node: NodeModel, now: float) -> None:
        scenario = self.scenario
        second = int(now - scenario.trigger_at)
        node.schedule.call_started(now)
        self.result.calls[second] += 1
        if scenario.trigger is Trigger.DOWN and now < scenario.trigger_at + scenario.outage:
            self._call_end_handler(node, CallEnd.FAILED)(now)
            return
        result = CallResult(now, succeeded=True) if scenario.local_agent else self.discovery.call(now)
        self.result.backlog_s[second] = self.discovery.backlog_s(now)
        if not result.succeeded:
            self._add_event(result.ended_at, self._call_end_handler(node, CallEnd.FAILED))
            return
        self._add_event(result.ended_at, self._list_handler(node))

    def _list_handler(self, node: NodeModel) -> EventHandler:
        """Returns a handler by which the node receives the full list or a malformed response."""
        malformed = self.rng.random() < self.scenario.malformed_fraction
        generation = node.generation

        def handler(now: float) -> None:
            if node.generation != generation:
                return
            node.schedule.heartbeat_received(now)
            if malformed:
                self._call_end_handler(node, CallEnd.MALFORMED)(now)
            else:
                self._apply_list(node, now)

        return handler

    def _apply_list(self, node: NodeModel, now: float) -> None:
        node.schedule.update_applied()
        self.result.answers[int(now - self.scenario.trigger_at)] += 1
        node.subscribed_at = now
        if node.readiness is not None:
            node.readiness.list_confirmed()
            node.ready_at = min(node.ready_at, now)
        self._receive_changes(node, now)

    def _collect_result(self) -> RehearsalResult:
        result = self.result
        result.recovery_times = sorted(node.subscribed_at - self.scenario.trigger_at for node in self.nodes)
        for node in self.nodes:
            if node.readiness is not None:
                self._add_restart(node, node.readiness)
        result.ready_times.sort()
        for listed_at, received_at in zip(self._listed_at, self._received_at, strict=True):
            self._add_drain(listed_at, received_at)
        result.wasted_calls, result.rejected_calls = self.discovery.wasted, self.discovery.rejected
        return result

    def _add_restart(self, node: NodeModel, readiness: ListReadiness) -> None:
        """Adds the measurements of a node that restarted to the result."""
        ready_at = min(node.ready_at, max(readiness.wait_until, node.started_at))
        self.result.ready_times.append(ready_at - node.started_at)
        self.result.start_wait_s += min(ready_at, self.scenario.duration) - node.started_at
        self.result.stale_send_s += self._stale_send_s(node, ready_at)

    def _add_drain(self, listed_at: float, received_at: list[float]) -> None:
        """Adds the delays of one drain to the result; the delay of a node that never received it is infinite."""
        delays = sorted(at - listed_at for at in received_at)
        delays += [inf] * (len(self.nodes) - len(received_at))
        if not self.result.first_drain_delays:
            self.result.first_drain_delays = delays
        if listed_at + STALENESS_LIMIT_S <= self.scenario.duration:
            self.result.late_drains += sum(delay > STALENESS_LIMIT_S for delay in delays)

    def _stale_send_s(self, node: NodeModel, ready_at: float) -> float:
        """Returns how long a restarted node could send without a change of which it counts as notified, in seconds.

        With a local agent, the node counts as notified of a change as soon as the agent has it and the node has
        started. Otherwise it counts as notified once the staleness limit has passed as well.
        """
        limit = 0.0 if self.scenario.local_agent else STALENESS_LIMIT_S
        intervals: list[tuple[float, float]] = []
        for change, listed_at in enumerate(self._listed_at):
            notified_at = max(listed_at + limit, node.started_at)
            received_at = node.change_times[change] if change < len(node.change_times) else inf
            begin = max(notified_at + SEND_STOP_GRACE_S, ready_at)
            end = min(received_at, self.scenario.duration)
            if begin < end:
                intervals.append((begin, end))
        return sum(end - begin for begin, end in merge_intervals(intervals))
