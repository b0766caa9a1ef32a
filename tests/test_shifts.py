"""Shifts: the judge on a seeded model, the states, and controllers killed at every point."""

from collections import Counter
from random import Random

import pytest

pytest.importorskip("msgspec")

from harecross.operators import OperatorsFileError
from harecross.shifts.controller import KIND, LEASE_S, Controller
from harecross.shifts.judge import Judge, Try
from harecross.shifts.model import Weather, play
from harecross.shifts.plan import Judging, Plan, Pool, Step, chosen, read_plan
from harecross.shifts.shift import BACK_S, Cause, NodeShare, Refused, Shift, State
from harecross.store.store import Store, StoreError

PLAN = Plan(
    "readings-2",
    Pool(kinds=("m1",)),
    Pool(kinds=("m2",)),
    tuple(Step(share, 20.0, 100) for share in (0.05, 0.3, 0.6)),
)
UP = (5, 5)


def at_share(share: float):
    return lambda now, present: present >= share


def candidate(weather: Weather):
    return lambda since, share, candidate: weather if candidate else None


FAULTS = {
    "slow": candidate(Weather(slow=3.0)),
    "late": candidate(Weather(slow=10.0)),
    "errors": candidate(Weather(errors=0.3)),
    "fast errors": candidate(Weather(slow=0.1, errors=0.5)),
    "vanished": candidate(Weather(lost=1.0)),
    "a tenth of the keys": candidate(Weather(errors=0.9, only=lambda unit: unit % 10 == 0)),
    "a little": candidate(Weather(errors=0.06)),
    "by and by": lambda since, share, c: Weather(slow=1 + since / 20) if c else None,
}


@pytest.mark.parametrize("fault", FAULTS)
def test_harm_from_the_30_percent_step_on_is_undone_within_a_minute(fault):
    """The traffic is bursty, its latencies heavy-tailed, some captains ask a hundred times more often."""
    for seed in range(12):
        out = play(PLAN, seed, FAULTS[fault], begins=at_share(0.3))
        assert out.state == State.UNDONE, (fault, seed, [d.why for d in out.decisions])
        assert out.undone_after <= 60, (fault, seed, out.undone_after)
        assert out.decisions[-1].share == 0.0


def test_like_pools_are_undone_no_more_often_than_stated():
    """1,000 are in benchmarks/shifts.py; these few would show a judge that is wrong by much."""
    plan = Plan("a-a", PLAN.control, PLAN.candidate, PLAN.steps, Judging(false_alarms=0.05))
    ends = Counter(play(plan, 10_000 + seed).state for seed in range(60))
    assert ends[State.DONE] >= 54 and ends[State.UNDONE] <= 6, ends


def test_trouble_that_both_pools_share_pauses_and_does_not_undo():
    def both(since, share, candidate):
        return Weather(slow=12.0 if candidate else 10.0) if since < 120 else None

    for seed in range(6):
        out = play(PLAN, seed, both, begins=lambda now, share: now > 30)
        why = [d.why for d in out.decisions]
        assert out.state == State.DONE, (seed, why)
        assert any(str(Cause.SHARED) in w for w in why) and len(why) < 12, why


def test_a_captain_whose_own_calls_always_fail_is_no_harm():
    judge = Judge(Judging(), ("read",))
    rng, verdict = Random(1), None
    for now in range(600):
        units = [rng.randrange(400) for _ in range(50)]
        tries = [Try(u, "read", u % 10 == 0, 0.1, False, False) for u in units]
        tries += [Try(1000, "read", True, 0.1, True, False)] * 20
        judge.add(tries)
        verdict = judge.close(float(now))
        assert not verdict.harm and not verdict.gross
    assert verdict.evidence < 10


def windows(
    shift: Shift, now: float, seconds: float, units: int = 20, listed=UP, share=None, bad=0.0
) -> float:
    """Quiet traffic of so many units a second."""
    rng = Random(int(now))
    for _ in range(int(seconds)):
        now += 1.0
        part = shift.share if share is None else share
        shift.judge.add(
            Try(rng.randrange(10**9), "read", rng.random() < part, 0.1, rng.random() < bad, False)
            for _ in range(units)
        )
        shift.window(now, now, listed, 0)
    return now


def test_a_trickle_pauses_and_comes_back_without_swinging():
    shift = Shift(PLAN, ("read",), 0.0)
    shift.order(0.0, 0.0, "start")
    now, states = 0.0, []
    for _ in range(30):
        now = windows(shift, now, 25, units=0)
        states.append(shift.state)
        now = windows(shift, now, 1, units=1, share=1.0)  # one call, now and then
        states.append(shift.state)
    swings = sum(a != b for a, b in zip(states, states[1:], strict=False))
    assert swings == 0, "one call in half a minute is no silence, and no reason to go on either"
    now = windows(shift, now, 45, units=0)
    assert shift.state == State.PAUSED and shift.cause == Cause.BLIND
    in_step = shift.in_step
    now = windows(shift, now, BACK_S + 2)
    assert shift.state == State.RUNNING and shift.in_step <= in_step + 2, "time in a pause does not count"


def test_an_empty_candidate_pauses_and_is_undone_where_it_stays_so():
    shift = Shift(PLAN, ("read",), 0.0)
    shift.order(0.0, 0.0, "start")
    now = windows(shift, 0.0, 5, listed=(5, 0))
    assert shift.cause == Cause.EMPTY
    now = windows(shift, now, 15)
    assert shift.state == State.RUNNING
    now = windows(shift, now, 40, listed=(5, 0))
    assert shift.state == State.UNDONE and shift.share == 0.0


def test_orders_that_do_not_fit_are_refused_and_an_undone_shift_stays_so():
    shift = Shift(PLAN, ("read",), 0.0)
    for order in ("pause", "resume", "undo", "done"):
        with pytest.raises(Refused):
            shift.order(0.0, 0.0, order)
    assert shift.share == 0.0
    shift.order(0.0, 0.0, "start")
    assert shift.share == 0.05
    shift.order(1.0, 1.0, "pause")
    now = windows(shift, 1.0, 60)
    assert shift.state == State.PAUSED and shift.share == 0.05, "only an operator ends an operator's pause"
    shift.order(now, now, "undo")
    now = windows(shift, now, 60)
    assert shift.state == State.UNDONE
    for order in ("start", "resume", "pause", "undo", "done"):
        with pytest.raises(Refused):
            shift.order(now, now, order)


def test_who_goes_to_the_candidate_at_one_share_goes_there_at_every_larger_one():
    units = [b"captain-%d" % n for n in range(4000)]
    before: set[bytes] = set()
    for share in (0.01, 0.05, 0.3, 0.6, 1.0):
        there = {u for u in units if chosen("x", u, share)}
        assert before <= there and abs(len(there) / len(units) - share) < 0.03
        before = there


class Died(BaseException):
    """The controller is killed."""


def test_killed_at_every_point_the_share_on_the_wire_is_the_old_or_the_new_one(tmp_path):
    """The n-th call to the store or to the nodes kills it, before or after it was done; another one leads on."""
    undone = Counter()
    for dies_at in range(0, 160, 3):
        path = str(tmp_path / f"store{dies_at}")
        wire: list[float] = []
        node = NodeShare(30.0, 0.0)
        calls, now = 0, 0.0

        def counted(real, dies_at=dies_at):
            def call(*args, **more):
                nonlocal calls
                calls += 1
                if calls == dies_at:
                    raise Died
                result = real(*args, **more)
                if calls == dies_at + 1:
                    raise Died
                return result

            return call

        def tell(token, share, node=node, wire=wire):
            if node.tell(0.0, token, share):
                wire.append(share)

        def begin(name, now, kills, path=path, tell=tell):
            store = Store(path)
            if kills:
                store.put, store.lease = counted(store.put), counted(store.lease)
            return Controller(PLAN, ("read",), store, name, counted(tell) if kills else tell, now)

        controller = begin("one", 0.0, True)
        try:
            controller.order(0.0, 0.0, "start")
            while now < 70:
                now += 1.0
                bad = 0.5 if controller.shift.share >= 0.3 else 0.0
                rng = Random(int(now))
                tries = [
                    Try(u, "read", c, 0.1, c and rng.random() < bad, False)
                    for u in (rng.randrange(10**9) for _ in range(60))
                    for c in [rng.random() < controller.shift.share]
                ]
                controller.step(now, now, tries, UP, 0)
        except Died:
            undone["died"] += 1
        controller.store.close()
        last = wire[-1] if wire else 0.0
        after = begin("two", now, False)
        written = after.store.get(KIND, PLAN.name)
        steps = [0.0, 0.05, 0.3, 0.6]
        share = written.body["share"] if written else 0.0
        # What is written is what was on the wire, or the next thing that would have been.
        assert share == last or (last in steps and share in (0.0, 0.05, 0.3)), (dies_at, last, share)
        assert all(s in steps for s in wire)
        now += LEASE_S + 1
        after.step(now, now, [], UP, 0)
        assert after.leads and wire[-1] == (share if written else 0.0) if wire else True
        records = after.store.records(KIND, PLAN.name)
        if records and written:
            assert records[-1].body["share"] == share, "the log says what is"
        after.store.close()
    assert undone["died"] > 25, undone


def test_two_controllers_one_leads_and_the_one_that_was_paused_tells_nobody(tmp_path):
    path, node = str(tmp_path / "store"), NodeShare(30.0, 0.0)
    told: list[str] = []

    def tells(name):
        return lambda token, share: told.append(name) if node.tell(0.0, token, share) else None

    one = Controller(PLAN, ("read",), Store(path), "one", tells("one"), 0.0)
    two = Controller(PLAN, ("read",), Store(path), "two", tells("two"), 0.0)
    one.order(0.0, 0.0, "start")
    two.step(1.0, 1.0, [], UP, 0)
    with pytest.raises(Refused, match="another controller leads"):
        two.order(1.0, 1.0, "undo")
    assert told == ["one"] and not two.leads
    two.step(1.0 + LEASE_S, 1.0 + LEASE_S, [], UP, 0)
    assert two.leads and two.shift.state == State.RUNNING, "it goes on from what is written"
    # The first one was paused: it holds a lease it believes in, and its word is written and taken nowhere.
    assert one.lease is not None
    with pytest.raises(StoreError):
        one.store.put(KIND, PLAN.name, one.shift.to_doc(), 12.0, lease=one.lease)
    assert not node.tell(12.0, one.lease.token, 0.9)
    one.step(12.0, 12.0, [], UP, 0)
    assert not one.leads and told[-1] == "two"


def test_a_store_that_cannot_be_written_holds_up_everything_but_an_undo(tmp_path):
    store = Store(str(tmp_path / "store"))
    told: list[float] = []
    controller = Controller(PLAN, ("read",), store, "one", lambda token, share: told.append(share), 0.0)
    controller.order(0.0, 0.0, "start")

    def full(*args, **more):
        raise StoreError("disk full")

    real, store.put = store.put, full
    with pytest.raises(Refused, match="disk full"):
        controller.order(1.0, 1.0, "pause")
    assert controller.shift.state == State.RUNNING and told[-1] == 0.05
    controller.order(2.0, 2.0, "undo")
    assert told[-1] == 0.0, "harm goes on for as long as the disk is full"
    assert store.get(KIND, PLAN.name).body["share"] == 0.05
    store.put = real
    controller.step(3.0, 3.0, [], UP, 1)
    assert store.get(KIND, PLAN.name).body["share"] == 0.0
    assert store.records(KIND, PLAN.name)[-1].body["why"] == "undone by an operator"


def test_what_was_seen_survives_a_store_that_cannot_be_written_and_a_decision_taken_back(tmp_path):
    store = Store(str(tmp_path / "store"))
    controller = Controller(PLAN, ("read",), store, "one", lambda token, share: None, 0.0)
    controller.order(0.0, 0.0, "start")

    def full(*args, **more):
        raise StoreError("disk full")

    store.put = full
    for now in range(1, 16):
        tries = [Try(now * 100 + n, "read", n % 2 == 0, 0.1, False, False) for n in range(20)]
        controller.step(float(now), float(now), tries, UP, 0)
    bet = controller.shift.judge.bets["read", "errors"]
    assert bet.at_risk == [150, 150] and controller.shift.in_step == 15.0
    with pytest.raises(Refused):
        controller.order(16.0, 16.0, "pause")
    assert bet.at_risk == [150, 150]
    doc = controller.shift.judge.to_doc()
    bet.window((1, 1), (0, 0), 1.0)
    assert doc["read/errors"]["at_risk"] == [150, 150], "what is kept does not change with what is seen later"


def test_a_plan_edited_while_it_runs_pauses_until_an_operator_says(tmp_path):
    path = str(tmp_path / "store")
    one = Controller(PLAN, ("read",), Store(path), "one", lambda token, share: None, 0.0)
    one.order(0.0, 0.0, "start")
    other = Plan(PLAN.name, PLAN.control, PLAN.candidate, PLAN.steps[1:])
    two = Controller(other, ("read",), Store(path), "two", lambda token, share: None, 0.0)
    now = LEASE_S + 1
    for _ in range(30):
        two.step(now, now, [], UP, 0)
        now += 1
    assert two.shift.state == State.PAUSED and two.shift.cause == Cause.CHANGED
    two.order(now, now, "resume")
    assert two.shift.state == State.RUNNING


def test_a_node_without_contact_keeps_its_share_for_a_while_and_then_goes_to_the_safe_pool():
    node = NodeShare(30.0, 0.0)
    node.tell(10.0, 1, 0.3)
    assert node.share(39.0) == 0.3 and node.share(40.0) == 0.0
    node.tell(50.0, 2, 1.0)
    assert node.share(10_000.0) == 1.0, "done is done"


GOOD = 'name = "x"\n[control]\nkinds = ["a"]\n[candidate]\nkinds = ["b"]\n' + "".join(
    f"[[steps]]\nshare = {share}\n" for share in (0.1, 0.5)
)


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        ("0.5", "0.1", r"steps\[1\].share"),
        ('["b"]', '["a"]', "in both pools"),
        ('kinds = ["b"]', "", "one of kinds, zones, sources"),
        ('"x"', '"x y"', "name"),
        ("share = 0.5", "shares = 0.5", "allowed"),
        ("0.5", "1.5", "<= 1"),
    ],
)
def test_a_plan_that_cannot_be_says_which_key_and_what_is_allowed(tmp_path, old, new, why):
    path = tmp_path / "plan.toml"
    path.write_text(GOOD)
    assert [s.share for s in read_plan(path).steps] == [0.1, 0.5]
    path.write_text(GOOD.replace(old, new, 1) if old != "0.5" else new.join(GOOD.rsplit(old, 1)))
    with pytest.raises(OperatorsFileError, match=why):
        read_plan(path)
