"""A shift's plan (TOML): pools, steps, what is compared, where it applies. Checked strictly."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from harecross.operators import OperatorsFileError, read_toml

Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=7 * 86_400)]


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A table in which an unknown key is an error."""


class Pool(Strict, frozen=True):
    """One pool: servers by one label of the list."""

    kinds: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    sources: tuple[str, ...] = ()  # names of `[sources]`


class Step(Strict, frozen=True):
    """One step: the candidate's share, and how long and on how many units it is looked at, at least."""

    share: Share
    least_s: Seconds = 60.0
    least_units: Annotated[int, msgspec.Meta(ge=1, le=10_000_000)] = 200


class Judging(Strict, frozen=True):
    """`[judge]`."""

    false_alarms: Annotated[float, msgspec.Meta(gt=0, le=0.2)] = (
        0.01  # chance that a shift of like pools is undone
    )
    ratio: Annotated[float, msgspec.Meta(ge=1, le=10)] = (
        1.25  # harm up to so many times the control's does not count...
    )
    least: Annotated[float, msgspec.Meta(ge=0, le=0.5)] = (
        0.005  # ...nor a share of units that is worse by less than this
    )
    slower: Annotated[float, msgspec.Meta(ge=0, le=10)] = (
        0.25  # latency counts as worse from so much beyond the control's
    )
    quantiles: tuple[Annotated[float, msgspec.Meta(gt=0, lt=1)], ...] = (0.5, 0.9, 0.99)
    window_s: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 1.0
    again_s: Seconds = 600.0  # a unit that was harmed counts again after so long
    shared: Share = 0.3  # the control's share of harmed units from which all is taken to be slow
    quiet_s: Seconds = 30.0  # without a unit in the candidate for so long there is too little traffic


class Scope(Strict, frozen=True):
    """`[scope]`: which requests the shift is about; empty lists mean all."""

    classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    by: Literal["key", "tenant", "id"] = "key"  # what keeps to its pool


class Plan(Strict, frozen=True):
    """The whole file."""

    name: str
    control: Pool
    candidate: Pool
    steps: tuple[Step, ...]
    judge: Judging = Judging()
    scope: Scope = Scope()
    at_end: Literal["done", "hold"] = "done"  # hold: the last share stays until an operator says done or undo
    contact_s: Seconds = (
        30.0  # a node without word from the controller goes to the control pool after so long
    )

    def digest(self) -> str:
        """Of all that it says: a plan edited while it runs is another plan."""
        return blake2b(msgspec.json.encode(self, order="deterministic"), digest_size=8).hexdigest()


def read_plan(path: str | Path) -> Plan:
    """The plan in a file. OperatorsFileError names the file, the key and what is allowed."""
    plan = read_toml(path, Plan)

    def need(ok: bool, key: str, allowed: str) -> None:
        if not ok:
            raise OperatorsFileError(f"{path}: {key}: {allowed}")

    need(plan.name.isascii() and plan.name.replace("-", "").isalnum(), "name", "letters, digits and - only")
    need(bool(plan.steps), "steps", "one [[steps]] at least")
    shares = [s.share for s in plan.steps]
    for i in range(1, len(shares)):
        need(shares[i] > shares[i - 1], f"steps[{i}].share", f"above the one before it ({shares[i - 1]:g})")
    for name, pool in (("control", plan.control), ("candidate", plan.candidate)):
        told = [k for k in ("kinds", "zones", "sources") if getattr(pool, k)]
        need(len(told) == 1, name, "one of kinds, zones, sources")
    for key in ("kinds", "zones", "sources"):
        both = sorted({*getattr(plan.control, key)} & {*getattr(plan.candidate, key)})
        need(not both, f"candidate.{key}", f"{', '.join(both)}: in both pools")
    quantiles = plan.judge.quantiles
    need(
        list(quantiles) == sorted(set(quantiles)) and bool(quantiles),
        "judge.quantiles",
        "rising, one at least",
    )
    return plan


def place(salt: str, unit: bytes) -> float:
    """Where a unit stands in [0, 1): the same on every node and for as long as the plan keeps its name."""
    return int.from_bytes(blake2b(unit, digest_size=8, key=salt.encode()[:64]).digest(), "big") / 2.0**64


def chosen(salt: str, unit: bytes, share: float) -> bool:
    """Whether a unit goes to the candidate. What goes there at one share goes there at every larger one."""
    return place(salt, unit) < share
