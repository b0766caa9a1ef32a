"""The plan of a shift, a TOML file: the pools, the steps, how the pools are compared, and the affected requests.

The field names are the keys of the file. `Plan.digest` is computed from them, so renaming a field would make
every stored shift that is running or paused wait for an operator. Unknown keys and values out of range are errors.
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
    """A table of the plan in which an unknown key is an error."""


class Pool(PlanTable, frozen=True):
    """One pool: the servers that have one of the given labels. Exactly one of the three fields must be set.

    Attributes:
        kinds: The machine types.
        zones: The zones.
        sources: The names of sources from the table `[sources]` of the operators' file.
    """

    kinds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()


class Step(PlanTable, frozen=True):
    """One step of a plan.

    Attributes:
        share: The candidate's share of the units.
        least_s: The shortest running time of the step, in seconds.
        least_units: The smallest number of candidate units that the step must observe.
    """

    share: Share
    least_s: Seconds = 60.0
    least_units: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 200


class JudgeSettings(PlanTable, frozen=True):
    """The table `[judge]`: how the candidate is compared with the control.

    Attributes:
        false_alarms: The highest probability that a shift between equal pools is undone.
        ratio: Harm is ignored up to this multiple of the control's.
        least: Harm is ignored if the fraction of units with an event exceeds the control's by less than this.
        slower: A latency counts as slow if it exceeds the control's quantile by more than this fraction of it.
        quantiles: The quantiles of the control's latency with which latencies are compared.
        window_s: The length of a window in seconds.
        again_s: After an event of a unit, its further events are ignored for this many seconds.
        shared: Both pools are considered faulty if at least this fraction of the control's units has an event.
        quiet_s: The candidate has too little traffic if no unit was seen in it for this many seconds.
    """

    false_alarms: Annotated[float, msgspec.Meta(gt=0, le=0.2)] = 0.01
    ratio: Annotated[float, msgspec.Meta(ge=1, le=10)] = 1.25
    least: Annotated[float, msgspec.Meta(ge=0, le=0.5)] = 0.005
    slower: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.25
    quantiles: tuple[Annotated[float, msgspec.Meta(gt=0, lt=1)], ...] = (0.5, 0.9, 0.99)
    window_s: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 1.0
    again_s: Seconds = 600.0
    shared: Share = 0.3
    quiet_s: Seconds = 30.0


class Scope(PlanTable, frozen=True):
    """The table `[scope]`: the requests that the shift affects.

    Attributes:
        classes: The request classes; empty means all.
        tenants: The tenants; empty means all.
        by: The unit of the shift: all requests with the same key, tenant or id go to the same pool.
    """

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    by: Literal["key", "tenant", "id"] = "key"


class Plan(PlanTable, frozen=True):
    """The content of the file.

    Attributes:
        name: The name of the shift.
        control: The pool that has the traffic before the shift.
        candidate: The pool that the traffic is shifted to.
        steps: The steps, with rising shares.
        judge: How the candidate is compared with the control.
        scope: The requests that the shift affects.
        at_end: What follows the last step. "done" sends all traffic to the candidate; "hold" keeps the last share
            until an operator commands `done` or `undo`.
        contact_s: A node uses only the control pool if it has not heard from the controller for this many seconds.
    """

    name: str
    control: Pool
    candidate: Pool
    steps: tuple[Step, ...]
    judge: JudgeSettings = JudgeSettings()
    scope: Scope = Scope()
    at_end: Literal["done", "hold"] = "done"
    contact_s: Seconds = 30.0

    def digest(self) -> str:
        """Returns a hash of all keys and values, by which a change of the plan of a running shift is detected."""
        return blake2b(msgspec.json.encode(self, order="deterministic"), digest_size=8).hexdigest()


def read_plan(path: str | Path) -> Plan:
    """Reads a plan from a file.

    Raises OperatorsFileError, which names the file, the key and what is allowed, if the plan is invalid.
    """
    plan = read_toml(path, Plan)
    validator = PlanValidator(path)
    validator.require(
        plan.name.isascii() and plan.name.replace("-", "").isalnum(),
        "name",
        "only letters, digits and - are allowed",
    )
    validator.check_steps(plan.steps)
    validator.check_pools(plan.control, plan.candidate)
    validator.check_quantiles(plan.judge.quantiles)
    return plan


class PlanValidator:
    """Checks the rules for plans that the types of the fields cannot express."""

    def __init__(self, path: str | Path) -> None:
        self._path = path

    def require(self, valid: bool, key: str, allowed: str) -> None:
        """Raises OperatorsFileError if `valid` is false."""
        if not valid:
            raise OperatorsFileError(f"{self._path}: {key}: {allowed}")

    def check_steps(self, steps: tuple[Step, ...]) -> None:
        """Requires at least one step, and shares that rise from step to step."""
        self.require(bool(steps), "steps", "at least one [[steps]] is required")
        for index, (before, step) in enumerate(itertools.pairwise(steps), 1):
            rises = step.share > before.share
            self.require(
                rises,
                f"steps[{index}].share",
                f"{step.share:g} is not greater than the share of the previous step, {before.share:g}",
            )

    def check_pools(self, control: Pool, candidate: Pool) -> None:
        """Requires each pool to have exactly one kind of label, and no label in common with the other pool."""
        for name, pool in (("control", control), ("candidate", candidate)):
            given = [label for label in POOL_LABELS if getattr(pool, label)]
            self.require(len(given) == 1, name, "exactly one of kinds, zones, sources is required")
        for label in POOL_LABELS:
            common = sorted({*getattr(control, label)} & {*getattr(candidate, label)})
            self.require(not common, f"candidate.{label}", f"{', '.join(common)} must not be in both pools")

    def check_quantiles(self, quantiles: tuple[float, ...]) -> None:
        """Requires at least one quantile, and that quantiles rise."""
        rises = bool(quantiles) and list(quantiles) == sorted(set(quantiles))
        self.require(
            rises,
            "judge.quantiles",
            "at least one quantile is required, and each must be greater than the previous one",
        )


def unit_position(salt: str, unit: bytes) -> float:
    """Returns the hash of a unit as a number in [0, 1).

    It is the same on every node. `salt` is the name of the plan, so it changes with that name.
    """
    return int.from_bytes(blake2b(unit, digest_size=8, key=salt.encode()[:64]).digest(), "big") / 2.0**64


def goes_to_candidate(salt: str, unit: bytes, share: float) -> bool:
    """Whether a unit goes to the candidate. A unit that does so at one share also does so at every larger share."""
    return unit_position(salt, unit) < share
