"""Shifts: the judge in a seeded simulation, the state machine, and controllers that are killed at any point."""

from collections import Counter
from itertools import pairwise
from random import Random

import pytest

pytest.importorskip("msgspec")

from harecross.operators import OperatorsFileError
from harecross.shifts.controller import COLLECTION, LEASE_S, Controller
from harecross.shifts.eprocess import PoolCounts
from harecross.shifts.judge import FirstAttempt, Judge
from harecross.shifts.node_share import NodeShare
from harecross.shifts.plan import JudgeSettings, Plan, Pool, Step, goes_to_candidate, read_plan
from harecross.shifts.shift import (
    RESUME_AFTER_S,
    CommandRejectedError,
    OperatorCommand,
    PauseCause,
    Shift,
    ShiftState,
)
from harecross.shifts.simulation import LoadScenario, simulate
from harecross.store.errors import StoreError
from harecross.store.store import Store

PLAN = Plan(
    "readings-2",
    Pool(kinds=("m1",)),
    Pool(kinds=("m2",)),
    tuple(Step(share, 20.0, 100) for share in (0.05, 0.3, 0.6)),
)
LISTED = PoolCounts(5, 5)
EMPTY_CANDIDATE = PoolCounts(5, 0)


def from_share(share: float):
    return lambda now, current_share: current_share >= share


def in_candidate(scenario: LoadScenario):
    return lambda since_s, share, candidate: scenario if candidate else None


FAULTS = {
    "slow": in_candidate(LoadScenario(latency_factor=3.0)),
    "late": in_candidate(LoadScenario(latency_factor=10.0)),
    "errors": in_candidate(LoadScenario(error_fraction=0.3)),
    "fast errors": in_candidate(LoadScenario(latency_factor=0.1, error_fraction=0.5)),
    "vanished": in_candidate(LoadScenario(lost_fraction=1.0)),
    "a tenth of the keys": in_candidate(
        LoadScenario(error_fraction=0.9, affects_unit=lambda unit: unit % 10 == 0)
    ),
    "few errors": in_candidate(LoadScenario(error_fraction=0.06)),
    "growing slowness": lambda since_s, share, candidate: (
        LoadScenario(latency_factor=1 + since_s / 20) if candidate else None
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_harm_from_the_30_percent_step_on_is_undone_within_a_minute(fault):
    """The traffic is bursty, latencies are heavy-tailed, and some units send a hundred times more often than others."""
    for seed in range(12):
        result = simulate(PLAN, seed, FAULTS[fault], fault_start=from_share(0.3))
        assert result.state == ShiftState.UNDONE, (
            fault,
            seed,
            [decision.reason for decision in result.decisions],
        )
        assert result.undone_after_s <= 60, (fault, seed, result.undone_after_s)
        assert result.decisions[-1].share == 0.0


def test_shifts_between_equal_pools_are_undone_no_more_often_than_configured():
    """60 shifts reveal only large errors of the judge; benchmarks/shifts.py runs 1,000."""
    plan = Plan("a-a", PLAN.control, PLAN.candidate, PLAN.steps, JudgeSettings(false_alarms=0.05))
    end_states = Counter(simulate(plan, 10_000 + seed).state for seed in range(60))
    assert end_states[ShiftState.DONE] >= 54 and end_states[ShiftState.UNDONE] <= 6, end_states


def test_a_problem_that_both_pools_share_pauses_and_does_not_undo():
    def slow_in_both_pools(since_s, share, candidate):
        return LoadScenario(latency_factor=12.0 if candidate else 10.0) if since_s < 120 else None

    for seed in range(6):
        result = simulate(PLAN, seed, slow_in_both_pools, fault_start=lambda now, share: now > 30)
        reasons = [decision.reason for decision in result.decisions]
        assert result.state == ShiftState.DONE, (seed, reasons)
        assert any(str(PauseCause.SHARED_TROUBLE) in reason for reason in reasons), reasons
        assert len(reasons) < 12, reasons


def test_a_single_unit_whose_requests_always_fail_does_not_count_as_harm():
    judge = Judge(JudgeSettings(), ("read",))
    rng, verdict = Random(1), None
    for now in range(600):
        units = [rng.randrange(400) for _ in range(50)]
        attempts = [FirstAttempt(unit, "read", unit % 10 == 0, 0.1, False, False) for unit in units]
        attempts += [FirstAttempt(1000, "read", True, 0.1, True, False)] * 20
        judge.add(attempts)
        verdict = judge.close_window(float(now))
        assert not verdict.harm
        assert not verdict.gross
    assert verdict.evidence < 10


def started_shift() -> Shift:
    shift = Shift(PLAN, ("read",), 0.0)
    shift.execute(0.0, 0.0, OperatorCommand.START)
    return shift


def close_windows(
    shift: Shift, now: float, seconds: float, units: int = 20, listed=LISTED, share=None
) -> float:
    """Closes windows with healthy traffic of `units` units per second; returns the time of the last one."""
    rng = Random(int(now))
    for _ in range(int(seconds)):
        now += 1.0
        candidate_share = shift.share if share is None else share
        shift.judge.add(
            FirstAttempt(rng.randrange(10**9), "read", rng.random() < candidate_share, 0.1, False, False)
            for _ in range(units)
        )
        shift.close_window(now, now, listed, 0)
    return now


def test_a_shift_with_very_little_traffic_does_not_oscillate():
    shift = started_shift()
    now, states = 0.0, []
    for _ in range(30):
        now = close_windows(shift, now, 25, units=0)
        states.append(shift.state)
        now = close_windows(shift, now, 1, units=1, share=1.0)
        states.append(shift.state)
    assert sum(before != after for before, after in pairwise(states)) == 0, (
        "one request per 26 s is enough traffic"
    )


def test_a_shift_without_traffic_pauses_until_there_is_traffic_again():
    shift = started_shift()
    now = close_windows(shift, 0.0, 45, units=0)
    assert shift.state == ShiftState.PAUSED
    assert shift.cause == PauseCause.NO_DATA
    close_windows(shift, now, RESUME_AFTER_S + 2)
    assert shift.state == ShiftState.RUNNING


def test_time_in_a_pause_does_not_count_as_time_in_the_step():
    shift = started_shift()
    now = close_windows(shift, 0.0, 45, units=0)
    running_s = shift.step_running_s
    close_windows(shift, now, RESUME_AFTER_S + 2)
    assert shift.state == ShiftState.RUNNING
    assert shift.step_running_s <= running_s + 2


def test_an_empty_candidate_pauses_until_it_lists_servers():
    shift = started_shift()
    now = close_windows(shift, 0.0, 5, listed=EMPTY_CANDIDATE)
    assert shift.cause == PauseCause.EMPTY_CANDIDATE
    close_windows(shift, now, 15)
    assert shift.state == ShiftState.RUNNING


def test_a_candidate_that_stays_empty_is_undone():
    shift = started_shift()
    now = close_windows(shift, 0.0, 15)
    close_windows(shift, now, 40, listed=EMPTY_CANDIDATE)
    assert shift.state == ShiftState.UNDONE
    assert shift.share == 0.0


@pytest.mark.parametrize(
    "command", [OperatorCommand.PAUSE, OperatorCommand.RESUME, OperatorCommand.UNDO, OperatorCommand.DONE]
)
def test_a_shift_that_has_not_been_started_accepts_no_other_command(command):
    shift = Shift(PLAN, ("read",), 0.0)
    with pytest.raises(CommandRejectedError):
        shift.execute(0.0, 0.0, command)
    assert shift.share == 0.0


def test_a_started_shift_has_the_share_of_its_first_step():
    assert started_shift().share == 0.05


def test_only_an_operator_ends_an_operators_pause():
    shift = started_shift()
    shift.execute(1.0, 1.0, OperatorCommand.PAUSE)
    close_windows(shift, 1.0, 60)
    assert shift.state == ShiftState.PAUSED
    assert shift.share == 0.05


@pytest.mark.parametrize("command", list(OperatorCommand))
def test_an_undone_shift_accepts_no_command(command):
    shift = started_shift()
    shift.execute(1.0, 1.0, OperatorCommand.PAUSE)
    now = close_windows(shift, 1.0, 60)
    shift.execute(now, now, OperatorCommand.UNDO)
    now = close_windows(shift, now, 60)
    assert shift.state == ShiftState.UNDONE
    with pytest.raises(CommandRejectedError):
        shift.execute(now, now, command)


def test_a_unit_that_goes_to_the_candidate_at_one_share_goes_there_at_every_larger_one():
    units = [b"captain-%d" % number for number in range(4000)]
    previously_chosen: set[bytes] = set()
    for share in (0.01, 0.05, 0.3, 0.6, 1.0):
        chosen = {unit for unit in units if goes_to_candidate("x", unit, share)}
        assert previously_chosen <= chosen
        assert abs(len(chosen) / len(units) - share) < 0.03
        previously_chosen = chosen


class KilledError(BaseException):
    """Simulates the death of the controller's process. It is not an Exception, so no code under test handles it."""


def test_a_controller_killed_at_any_point_leaves_the_old_or_the_new_share(tmp_path):
    """A controller is killed right before a call to the store or to the nodes, or right after its first call.

    Another controller then takes over. Every third call is tested.
    """
    killed = 0
    for killed_at in range(0, 160, 3):
        path = str(tmp_path / f"store{killed_at}")
        shares: list[float] = []
        node = NodeShare(30.0, 0.0)
        calls, now = 0, 0.0

        def killing(real, killed_at=killed_at):
            def call(*args, **kwargs):
                nonlocal calls
                calls += 1
                if calls == killed_at:
                    raise KilledError
                result = real(*args, **kwargs)
                if calls == killed_at + 1:
                    raise KilledError
                return result

            return call

        def publish(token, share, node=node, shares=shares):
            if node.receive(0.0, token, share):
                shares.append(share)

        def make_controller(name, now, kills, path=path, publish=publish):
            store = Store(path)
            if kills:
                store.put, store.acquire_lease = killing(store.put), killing(store.acquire_lease)
            return Controller(PLAN, ("read",), store, name, killing(publish) if kills else publish, now)

        controller = make_controller("one", 0.0, True)
        try:
            controller.execute(0.0, 0.0, OperatorCommand.START)
            while now < 70:
                now += 1.0
                errors = 0.5 if controller.shift.share >= 0.3 else 0.0
                rng = Random(int(now))
                attempts = [
                    FirstAttempt(unit, "read", candidate, 0.1, candidate and rng.random() < errors, False)
                    for unit in (rng.randrange(10**9) for _ in range(60))
                    for candidate in [rng.random() < controller.shift.share]
                ]
                controller.close_window(now, now, attempts, LISTED, 0)
        except KilledError:
            killed += 1
        controller.store.close()
        last_share = shares[-1] if shares else 0.0
        after = make_controller("two", now, False)
        stored = after.store.get(COLLECTION, PLAN.name)
        steps = [0.0, 0.05, 0.3, 0.6]
        share = stored.body["share"] if stored else 0.0
        # The stored share is the one that the nodes have, or the next one, which had not been published yet.
        assert share == last_share or (last_share in steps and share in (0.0, 0.05, 0.3)), (
            killed_at,
            last_share,
            share,
        )
        assert all(published in steps for published in shares)
        now += LEASE_S + 1
        after.close_window(now, now, [], LISTED, 0)
        assert after.is_leader and shares[-1] == (share if stored else 0.0) if shares else True
        records = after.store.records(COLLECTION, PLAN.name)
        if records and stored:
            assert records[-1].body["share"] == share, "the last record has the stored share"
        after.store.close()
    assert killed > 25, killed


class TwoControllers:
    """Two controllers of one shift and a node. The first controller has started the shift.

    Attributes:
        accepted: The names of the controllers whose shares the node accepted, in order.
    """

    def __init__(self, path: str) -> None:
        self.node = NodeShare(30.0, 0.0)
        self.accepted: list[str] = []
        self.one, self.two = (
            Controller(PLAN, ("read",), Store(path), name, self.publisher(name), 0.0)
            for name in ("one", "two")
        )
        self.one.execute(0.0, 0.0, OperatorCommand.START)

    def publisher(self, name: str):
        def publish(token: int, share: float) -> None:
            if self.node.receive(0.0, token, share):
                self.accepted.append(name)

        return publish


@pytest.fixture
def controllers(tmp_path):
    return TwoControllers(str(tmp_path / "store"))


def test_a_controller_without_the_lease_publishes_nothing_and_accepts_no_command(controllers):
    controllers.two.close_window(1.0, 1.0, [], LISTED, 0)
    with pytest.raises(CommandRejectedError, match="another controller leads"):
        controllers.two.execute(1.0, 1.0, OperatorCommand.UNDO)
    assert controllers.accepted == ["one"]
    assert not controllers.two.is_leader


def test_another_controller_continues_from_the_stored_state_once_the_lease_expires(controllers):
    controllers.two.close_window(1.0 + LEASE_S, 1.0 + LEASE_S, [], LISTED, 0)
    assert controllers.two.is_leader
    assert controllers.two.shift.state == ShiftState.RUNNING


def test_a_leader_suspended_past_its_lease_is_fenced_off_by_the_store_and_the_nodes(controllers):
    one, two = controllers.one, controllers.two
    two.close_window(1.0 + LEASE_S, 1.0 + LEASE_S, [], LISTED, 0)
    assert one.lease is not None, "it does not know yet that its lease has expired"
    with pytest.raises(StoreError):
        one.store.put(COLLECTION, PLAN.name, one.shift.to_json(), 12.0, lease=one.lease)
    assert not controllers.node.receive(12.0, one.lease.fencing_token, 0.9)
    one.close_window(12.0, 12.0, [], LISTED, 0)
    assert not one.is_leader
    assert controllers.accepted[-1] == "two"


def full_disk(*args, **kwargs):
    raise StoreError("disk full")


def test_without_the_store_a_command_is_rejected_and_changes_nothing(tmp_path):
    store, shares = Store(str(tmp_path / "store")), []
    controller = Controller(PLAN, ("read",), store, "one", lambda token, share: shares.append(share), 0.0)
    controller.execute(0.0, 0.0, OperatorCommand.START)
    store.put = full_disk
    with pytest.raises(CommandRejectedError, match="disk full"):
        controller.execute(1.0, 1.0, OperatorCommand.PAUSE)
    assert controller.shift.state == ShiftState.RUNNING
    assert shares[-1] == 0.05


def test_without_the_store_an_undo_is_carried_out_and_stored_later(tmp_path):
    store, shares = Store(str(tmp_path / "store")), []
    controller = Controller(PLAN, ("read",), store, "one", lambda token, share: shares.append(share), 0.0)
    controller.execute(0.0, 0.0, OperatorCommand.START)
    original_put, store.put = store.put, full_disk
    controller.execute(2.0, 2.0, OperatorCommand.UNDO)
    assert shares[-1] == 0.0, "a full disk must not prolong the harm"
    assert store.get(COLLECTION, PLAN.name).body["share"] == 0.05
    store.put = original_put
    controller.close_window(3.0, 3.0, [], LISTED, 1)
    assert store.get(COLLECTION, PLAN.name).body["share"] == 0.0
    assert store.records(COLLECTION, PLAN.name)[-1].body["why"] == "undone by an operator"


def test_observations_survive_failed_writes_to_the_store_and_a_rejected_command(tmp_path):
    store = Store(str(tmp_path / "store"))
    controller = Controller(PLAN, ("read",), store, "one", lambda token, share: None, 0.0)
    controller.execute(0.0, 0.0, OperatorCommand.START)
    store.put = full_disk
    for now in range(1, 16):
        attempts = [FirstAttempt(now * 100 + n, "read", n % 2 == 0, 0.1, False, False) for n in range(20)]
        controller.close_window(float(now), float(now), attempts, LISTED, 0)
    test = controller.shift.judge.tests["read", "errors"]
    assert test.at_risk == (150, 150)
    assert controller.shift.step_running_s == 15.0
    with pytest.raises(CommandRejectedError):
        controller.execute(16.0, 16.0, OperatorCommand.PAUSE)
    assert test.at_risk == (150, 150)


def test_the_stored_form_does_not_change_with_later_observations():
    judge = Judge(JudgeSettings(), ("read",))
    judge.add(FirstAttempt(n, "read", n % 2 == 0, 0.1, False, False) for n in range(20))
    judge.close_window(1.0)
    document = judge.to_json()
    judge.tests["read", "errors"].update(PoolCounts(1, 1), PoolCounts(0, 0), 1.0)
    assert document["read/errors"]["at_risk"] == [10, 10]


def test_a_shift_whose_plan_was_edited_pauses_until_an_operator_resumes_it(tmp_path):
    path = str(tmp_path / "store")
    one = Controller(PLAN, ("read",), Store(path), "one", lambda token, share: None, 0.0)
    one.execute(0.0, 0.0, OperatorCommand.START)
    edited = Plan(PLAN.name, PLAN.control, PLAN.candidate, PLAN.steps[1:])
    two = Controller(edited, ("read",), Store(path), "two", lambda token, share: None, 0.0)
    now = LEASE_S + 1
    for _ in range(30):
        two.close_window(now, now, [], LISTED, 0)
        now += 1
    assert two.shift.state == ShiftState.PAUSED
    assert two.shift.cause == PauseCause.PLAN_CHANGED
    two.execute(now, now, OperatorCommand.RESUME)
    assert two.shift.state == ShiftState.RUNNING


def test_a_node_without_contact_keeps_its_share_for_a_while_and_then_uses_the_control_pool():
    node = NodeShare(30.0, 0.0)
    node.receive(10.0, 1, 0.3)
    assert node.share(39.0) == 0.3
    assert node.share(40.0) == 0.0


def test_a_node_without_contact_keeps_the_share_of_a_shift_that_is_done():
    node = NodeShare(30.0, 0.0)
    node.receive(50.0, 2, 1.0)
    assert node.share(10_000.0) == 1.0


VALID = 'name = "x"\n[control]\nkinds = ["a"]\n[candidate]\nkinds = ["b"]\n' + "".join(
    f"[[steps]]\nshare = {share}\n" for share in (0.1, 0.5)
)


def test_the_steps_of_a_plan_are_read(tmp_path):
    path = tmp_path / "plan.toml"
    path.write_text(VALID)
    assert [step.share for step in read_plan(path).steps] == [0.1, 0.5]


@pytest.mark.parametrize(
    ("old", "new", "allowed"),
    [
        ("0.5", "0.1", r"steps\[1\].share"),
        ('["b"]', '["a"]', "in both pools"),
        ('kinds = ["b"]', "", "one of kinds, zones, sources"),
        ('"x"', '"x y"', "name"),
        ("share = 0.5", "shares = 0.5", "allowed"),
        ("0.5", "1.5", "<= 1"),
    ],
)
def test_an_invalid_plan_is_rejected_with_its_key_and_what_is_allowed(tmp_path, old, new, allowed):
    path = tmp_path / "plan.toml"
    path.write_text(VALID.replace(old, new, 1) if old != "0.5" else new.join(VALID.rsplit(old, 1)))
    with pytest.raises(OperatorsFileError, match=allowed):
        read_plan(path)
