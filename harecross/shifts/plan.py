"""A shift's plan (TOML): pools, steps, what is compared, where it applies. Checked strictly.

The fields' names are the file's keys, and `Plan.digest` is made from them: a renamed field would pause a stored shift.
"""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.operators import OperatorsFileError, read_toml
import itertools

Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=7 * 86_400)]

POOL_LABELS = ("kinds", "zones", "sources")


class PlanTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table in which an unknown key is an error."""


class Pool(PlanTable, frozen=True):
    """One pool: the servers with one of these labels. Exactly one of the three is given."""

    kinds: tuple[str, ...] = ()  # machine types
    zones: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()  # names of `[sources]`


class Step(PlanTable, frozen=True):
    """One step: the candidate's share, and for how long and with how many units it is observed at least."""

    share: Share
    least_s: Seconds = 60.0
    least_units: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 200


class JudgeSettings(PlanTable, frozen=True):
    """`[judge]`."""

    # The probability that a shift between like pools is undone.
    false_alarms: Annotated[float, msgspec.Meta(gt=0, le=0.2)] = 0.01
    # Neither harm of up to so many times the control's counts...
    ratio: Annotated[float, msgspec.Meta(ge=1, le=10)] = 1.25
    # ...nor a share of units with an event that is larger by less than this.
    least: Annotated[float, msgspec.Meta(ge=0, le=0.5)] = 0.005
    # A latency counts as slow from so much above the control's quantile.
    slower: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.25
    quantiles: tuple[Annotated[float, msgspec.Meta(gt=0, lt=1)], ...] = (0.5, 0.9, 0.99)
    window_s: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 1.0
    again_s: Seconds = 600.0  # a unit with an event counts again after so long
    shared: Share = 0.3  # the control's share of units with an event from which both pools are in trouble
    quiet_s: Seconds = 30.0  # without a unit in the candidate for so long there is too little traffic


class Scope(PlanTable, frozen=True):
    """`[scope]`: the requests that the shift is about; empty lists mean all."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    by: Literal["key", "tenant", "id"] = "key"  # what keeps to its pool


class Plan(PlanTable, frozen=True):
    """The whole file."""

    name: str
    control: Pool
    candidate: Pool
    steps: tuple[Step, ...]
    judge: JudgeSettings = JudgeSettings()
    scope: Scope = Scope()
    at_end: Literal["done", "hold"] = "done"  # hold: the last share stays until an operator says done or undo
    # A node that has not heard from the controller for so long uses the control pool alone.
    contact_s: Seconds = 30.0

    def digest(self) -> str:
        """A hash of all keys and values: a plan that is edited while it runs is another plan."""
        return blake2b(msgspec.json.encode(self, order="deterministic"), digest_size=8).hexdigest()


def read_plan(path: str | Path) -> Plan:
    """The plan in a file. OperatorsFileError names the file, the key and what is allowed."""
    plan = read_toml(path, Plan)
    check = PlanCheck(path)
    check.require(
        plan.name.isascii() and plan.name.replace("-", "").isalnum(), "name", "letters, digits and - only"
    )
    check.steps(plan.steps)
    check.pools(plan.control, plan.candidate)
    check.quantiles(plan.judge.quantiles)
    return plan


class PlanCheck:
    """What a schema cannot say of a plan."""

    def __init__(self, path: str | Path) -> None:
        self._path = path

    def require(self, valid: bool, key: str, allowed: str) -> None:
        """OperatorsFileError where a key is not valid."""
        if not valid:
            raise OperatorsFileError(f"{self._path}: {key}: {allowed}")

    def steps(self, steps: tuple[Step, ...]) -> None:
        """The shares must rise."""
        self.require(bool(steps), "steps", "one [[steps]] at least")
        for index, (before, step) in enumerate(itertools.pairwise(steps), 1):
            rises = step.share > before.share
            self.require(rises, f"steps[{index}].share", f"above the one before it ({before.share:g})")

    def pools(self, control: Pool, candidate: Pool) -> None:
        """Each pool must have one kind of label, and no label of the other's."""
        for name, pool in (("control", control), ("candidate", candidate)):
            given = [label for label in POOL_LABELS if getattr(pool, label)]
            self.require(len(given) == 1, name, "one of kinds, zones, sources")
        for label in POOL_LABELS:
            common = sorted({*getattr(control, label)} & {*getattr(candidate, label)})
            self.require(not common, f"candidate.{label}", f"{', '.join(common)}: in both pools")

    def quantiles(self, quantiles: tuple[float, ...]) -> None:
        """The quantiles must rise."""
        rising = bool(quantiles) and list(quantiles) == sorted(set(quantiles))
        self.require(rising, "judge.quantiles", "rising, one at least")


def unit_position(salt: str, unit: bytes) -> float:
    """Where a unit stands in [0, 1): the same on every node, for as long as the plan keeps its name."""
    return int.from_bytes(blake2b(unit, digest_size=8, key=salt.encode()[:64]).digest(), "big") / 2.0**64


def goes_to_candidate(salt: str, unit: bytes, share: float) -> bool:
    """Whether a unit goes to the candidate. One that goes there at one share goes there at every larger one."""
    return unit_position(salt, unit) < share
