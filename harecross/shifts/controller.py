"""One controller of a shift: it leads by a lease, and stores each decision before it publishes it. Free of sockets.

The order is: decide, store the state and its record in one transaction under the lease's fencing token, publish. Killed
between any two, nodes have the old share or the new one, and the next leader goes on from what is stored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from harecross.shifts.eprocess import PoolCounts
from harecross.shifts.judge import FirstAttempt
from harecross.shifts.plan import Plan
from harecross.shifts.shift import CommandRejectedError, Decision, OperatorCommand, Shift
from harecross.store.errors import FencedError, StoreError
from harecross.store.leases import Lease
from harecross.store.store import Store

COLLECTION = "shift"  # of the store
LEASE_S = 10.0  # without renewal for so long, another controller may lead
MAX_UNSTORED_S = 10.0  # between two writes of the tests' state, where nothing is decided

PublishShare = Callable[[int, float], None]  # the fencing token, the candidate's share


class Controller:
    """Leads a shift while it holds the lease, and follows otherwise."""

    def __init__(
        self, plan: Plan, classes: tuple[str, ...], store: Store, holder: str, publish_share: PublishShare,
        now: float,
    ) -> None:  # fmt: skip
        """`holder` names this controller in the lease. `publish_share` sends the share to the nodes; it is called at
        every window, also where nothing changes, as nodes without contact go back to the control pool.
        """
        self.plan, self.classes, self.store, self.holder = plan, classes, store, holder
        self.shift = Shift(plan, classes, now)
        self.lease: Lease | None = None
        self.store_problem = ""  # why the store could not be written, if so
        self._publish_share = publish_share
        self._stored_at = now
        self._unstored_undo: Decision | None = None  # done, and not stored yet

    @property
    def is_leader(self) -> bool:
        """Whether it holds the lease."""
        return self.lease is not None

    def close_window(
        self,
        now: float,
        wall: float,
        attempts: Iterable[FirstAttempt],
        listed: PoolCounts,
        candidate_in_flight: int,
    ) -> Decision | None:
        """Closes one window. Without the lease it only follows: it judges no traffic and publishes nothing."""
        if not self.renew_lease(now, wall):
            return None
        self.shift.judge.add(attempts)
        before = self.shift.to_json()
        decision = self.shift.close_window(now, wall, listed, candidate_in_flight)
        due = decision is not None or self._unstored_undo is not None
        due = due or now - self._stored_at >= MAX_UNSTORED_S
        stored = not due or self._store(now, wall, decision)
        if decision is not None and not stored and not self._must_apply(decision):
            # A share that is not stored must not reach the nodes.
            self.shift.restore(now, before)
            decision = None
        self._publish()
        return decision

    def execute(self, now: float, wall: float, command: OperatorCommand) -> Decision:
        """Executes an operator's command and publishes the resulting share.

        An undo is executed even if it cannot be stored.

        Raises:
            CommandRejectedError: The command does not fit the shift's state, another controller is the leader, or the
                decision cannot be stored.
        """
        if not self.renew_lease(now, wall):
            raise CommandRejectedError(f"{command}: another controller leads")
        before = self.shift.to_json()
        decision = self.shift.execute(now, wall, command)
        if not self._store(now, wall, decision) and not self._must_apply(decision):
            self.shift.restore(now, before)
            raise CommandRejectedError(f"{command}: {self.store_problem}")
        self._publish()
        return decision

    def _must_apply(self, decision: Decision) -> bool:
        """Whether a decision applies though it cannot be stored: one that takes the candidate's traffic away, or a
        full disk would let it go on doing harm. It is stored later.
        """
        return self.lease is not None and decision.share == 0.0

    def _publish(self) -> None:
        if self.lease is not None:
            self._publish_share(self.lease.fencing_token, self.shift.share)

    def renew_lease(self, now: float, wall: float) -> bool:
        """Acquires or renews the lease, and returns whether it has it. A new one begins from what is stored."""
        previous = self.lease
        try:
            self.lease = self.store.acquire_lease(
                f"{COLLECTION}/{self.plan.name}", self.holder, wall, LEASE_S
            )
            if self.lease is not None and (
                previous is None or previous.fencing_token != self.lease.fencing_token
            ):
                self._load(now)
            self.store_problem = ""
        except StoreError as error:
            # Without the store nothing new is decided, and another controller leads once the lease expires.
            self.lease, self.store_problem = None, str(error)
        return self.lease is not None

    def _load(self, now: float) -> None:
        stored = self.store.get(COLLECTION, self.plan.name)
        self.shift = Shift(self.plan, self.classes, now)
        if stored is not None:
            self.shift.restore(now, stored.body)

    def _store(self, now: float, wall: float, decision: Decision | None) -> bool:
        """Stores the shift and its decisions; returns whether that succeeded."""
        decisions = [d for d in (self._unstored_undo, decision) if d is not None]
        records = [d.to_json() for d in decisions]
        urgent = self.shift.share == 0.0
        try:
            self.store.put(
                COLLECTION, self.plan.name, self.shift.to_json(), wall, records, self.lease, urgent=urgent
            )
        except StoreError as error:
            self.store_problem = str(error)
            if isinstance(error, FencedError):
                self.lease = None
            elif decision is not None and self._must_apply(decision):
                self._unstored_undo = decision
            return False
        self._stored_at, self.store_problem, self._unstored_undo = now, "", None
        return True
