"""One controller of a shift: leads by a lease, writes each decision down before it tells anybody. Free of sockets.

The order is: decide, write the state and its record in one transaction under the lease's token, tell. Killed between
any two, nodes hold the old share or the new one, and the next leader goes on from what is written.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from harecross.shifts.judge import Try
from harecross.shifts.plan import Plan
from harecross.shifts.shift import Decision, Refused, Shift
from harecross.store.errors import FencedError, StoreError
from harecross.store.leases import Lease
from harecross.store.store import Store

KIND = "shift"
LEASE_S = 10.0  # seconds without renewal after which another controller may lead
KEEP_S = 10.0  # seconds between two writings of what was learned, where nothing is decided


class Controller:
    """`tell(token, share)` reaches the nodes; it is called each step, also where nothing changes: that is the
    contact."""

    def __init__(
        self, plan: Plan, classes: tuple[str, ...], store: Store, holder: str, tell: Callable[[int, float], None],
        now: float,
    ) -> None:  # fmt: skip
        self.plan, self.classes, self.store, self.holder, self.tell = plan, classes, store, holder, tell
        self.shift = Shift(plan, classes, now)
        self.lease: Lease | None = None
        self.kept_at = now
        self.trouble = ""  # why nothing could be written, if so
        self.unwritten: Decision | None = None  # an undo that was done and is not written yet

    @property
    def leads(self) -> bool:
        return self.lease is not None

    def step(
        self, now: float, wall: float, tries: Iterable[Try], listed: tuple[int, int], open_on_candidate: int
    ) -> Decision | None:
        """One window. Without the lease it follows: it reads no traffic and tells nothing."""
        if not self.lead(now, wall):
            return None
        self.shift.judge.add(tries)
        before = self.shift.to_doc()
        decision = self.shift.window(now, wall, listed, open_on_candidate)
        due = decision is not None or self.unwritten is not None or now - self.kept_at >= KEEP_S
        written = not due or self.write(now, wall, decision)
        if decision is not None and not written and not self.undoes(decision):
            # Guards against: a share that nobody wrote down is on the wire when this process is killed.
            self.shift.restore(now, before)
            decision = None
        if self.lease is not None:
            self.tell(self.lease.fencing_token, self.shift.share)
        return decision

    def undoes(self, decision: Decision) -> bool:
        """Whether it takes the candidate's traffic away: done also where it cannot be written, and written later.

        Guards against: the disk is full, and the candidate goes on doing harm for as long as it is.
        """
        return self.lease is not None and decision.share == 0.0

    def order(self, now: float, wall: float, what: str) -> Decision:
        """An operator's word. Refused where it does not fit, this controller does not lead, or it cannot be
        written; an undo is done all the same."""
        if not self.lead(now, wall):
            raise Refused(f"{what}: another controller leads")
        before = self.shift.to_doc()
        decision = self.shift.order(now, wall, what)
        if not self.write(now, wall, decision) and not self.undoes(decision):
            self.shift.restore(now, before)
            raise Refused(f"{what}: {self.trouble}")
        if self.lease is not None:
            self.tell(self.lease.fencing_token, self.shift.share)
        return decision

    def lead(self, now: float, wall: float) -> bool:
        """Takes or renews the lease; on taking it, begins from what is written."""
        had = self.lease
        try:
            self.lease = self.store.acquire_lease(f"{KIND}/{self.plan.name}", self.holder, wall, LEASE_S)
            if self.lease is not None and (had is None or had.fencing_token != self.lease.fencing_token):
                found = self.store.get(KIND, self.plan.name)
                self.shift = Shift(self.plan, self.classes, now)
                if found is not None:
                    self.shift.restore(now, found.body)
            self.trouble = ""
        except StoreError as e:
            # Without the store nothing new is decided; who cannot renew is followed in time.
            self.lease, self.trouble = None, str(e)
        return self.lease is not None

    def write(self, now: float, wall: float, decision: Decision | None) -> bool:
        last = [self.unwritten] if self.unwritten is not None else []
        records = [d.to_doc() for d in (*last, *([decision] if decision is not None else []))]
        try:
            urgent = self.shift.share == 0.0
            self.store.put(
                KIND, self.plan.name, self.shift.to_doc(), wall, records, self.lease, urgent=urgent
            )
        except StoreError as e:
            self.trouble = str(e)
            if isinstance(e, FencedError):
                self.lease = None
            elif decision is not None and self.undoes(decision):
                self.unwritten = decision
            return False
        self.kept_at, self.trouble, self.unwritten = now, "", None
        return True
