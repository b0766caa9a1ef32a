"""A controller of a shift, which leads while it holds a lease and stores each decision before publishing it.

A controller first decides, then stores the new state and the record of the decision in one transaction with the fencing
token of its lease, and then publishes the share. If it is killed between two of these steps, nodes have either the old
or the new share, and the next leader continues from the stored state.
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

# The collection of the store that holds shifts.
COLLECTION = "shift"
# Another controller may become the leader if the lease has not been renewed for this long.
LEASE_S = 10.0
# The state of the sequential tests is stored at least this often, even if nothing is decided.
MAX_UNSTORED_S = 10.0

# Called with the fencing token and the candidate's share.
PublishShare = Callable[[int, float], None]


class Controller:
    """Controls a shift while it holds the lease. Without the lease, it only tries to acquire it.

    `now` is always in seconds of a monotonic clock. `wall` is the Unix time, which the store uses for leases and
    records.

    Attributes:
        plan: The plan of the shift.
        classes: The names of the request classes that the plan covers.
        store: The store that holds the shift and the lease.
        holder: The name of this controller in the lease.
        shift: The state of the shift.
        lease: The lease, or None if this controller is not the leader.
        store_problem: Why the last operation of the store failed, or "" if it succeeded.
    """

    def __init__(
        self, plan: Plan, classes: tuple[str, ...], store: Store, holder: str, publish_share: PublishShare,
        now: float,
    ) -> None:  # fmt: skip
        """Creates a controller without the lease.

        `publish_share` sends the share to the nodes. It is called for every window, even if nothing changes, because
        nodes that lose contact with the controller go back to the control pool.
        """
        self.plan, self.classes, self.store, self.holder = plan, classes, store, holder
        self.shift = Shift(plan, classes, now)
        self.lease: Lease | None = None
        self.store_problem = ""
        self._publish_share = publish_share
        self._stored_at = now
        # A decision that has taken effect, but could not be stored yet.
        self._unstored_undo: Decision | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this controller holds the lease."""
        return self.lease is not None

    def close_window(
        self,
        now: float,
        wall: float,
        attempts: Iterable[FirstAttempt],
        listed: PoolCounts,
        candidate_in_flight: int,
    ) -> Decision | None:
        """Closes one window and returns the decision that follows, if any.

        Without the lease, the controller evaluates no traffic and publishes nothing.
        """
        if not self.renew_lease(now, wall):
            return None
        self.shift.judge.add(attempts)
        before = self.shift.to_json()
        decision = self.shift.close_window(now, wall, listed, candidate_in_flight)
        due = decision is not None or self._unstored_undo is not None
        due = due or now - self._stored_at >= MAX_UNSTORED_S
        stored = not due or self._store(now, wall, decision)
        if decision is not None and not stored and not self._must_apply(decision):
            # A share that could not be stored must not reach the nodes.
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
        """Whether a decision takes effect even if it cannot be stored, and is stored later.

        This is true of decisions that remove all traffic from the candidate. Otherwise the candidate could go on doing
        harm while, for example, the disk is full.
        """
        return self.lease is not None and decision.share == 0.0

    def _publish(self) -> None:
        if self.lease is not None:
            self._publish_share(self.lease.fencing_token, self.shift.share)

    def renew_lease(self, now: float, wall: float) -> bool:
        """Acquires or renews the lease, and returns whether this controller holds it.

        With a new lease, the controller loads the stored state.
        """
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
            # Without the store nothing is decided, and another controller becomes the leader once the lease expires.
            self.lease, self.store_problem = None, str(error)
        return self.lease is not None

    def _load(self, now: float) -> None:
        stored = self.store.get(COLLECTION, self.plan.name)
        self.shift = Shift(self.plan, self.classes, now)
        if stored is not None:
            self.shift.restore(now, stored.body)

    def _store(self, now: float, wall: float, decision: Decision | None) -> bool:
        """Stores the shift and its decisions. Returns whether the store accepted them."""
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
