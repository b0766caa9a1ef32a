"""The settings object of an instance (JSON) made into the module's `Settings`. Shared by both hosts."""

from __future__ import annotations

import json
from math import isfinite
from typing import Any

from harecross.interface import ClassSettings, DeduplicationScope, Idempotency, Settings, TenantSettings

EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
COLUMNS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def address(text: str) -> tuple[str, int]:
    """HOST:PORT. ValueError for anything else."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or int(port) > 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


class SettingsError(ValueError):
    """Text that is not a settings object."""


class Table:
    """One object of the settings, read key by key; a value that cannot be is refused by its full key."""

    def __init__(self, value: Any, where: str = "") -> None:
        if not isinstance(value, dict):
            raise ValueError(f"settings: {where.rstrip('.') or 'the whole'} is not an object")
        self.value: dict[str, Any] = value
        self.where = where

    def get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        """The value; a key that is absent or null takes the default, and without one (...) is refused."""
        value = self.value.get(key)
        if value is None and default is not ...:
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise ValueError(f"settings: missing or impossible value for {self.where}{key}")
        return value

    def number(self, key: str, default: Any = ...) -> float:
        value = float(self.get(key, (int, float), default))
        if not isfinite(value):
            raise ValueError(f"settings: missing or impossible value for {self.where}{key}")
        return value

    def whole(self, key: str, default: Any = ...) -> int:
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        return bool(self.get(key, (bool,), False))

    def text(self, key: str, default: Any = ...) -> str:
        return str(self.get(key, (str,), default))

    def texts(self, key: str) -> list[str]:
        return [str(item) for item in self.get(key, (list,), [])]

    def table(self, key: str, default: Any = ...) -> Table:
        return Table(self.get(key, (dict,), default), f"{self.where}{key}.")

    def tables(self, key: str, default: Any = ...) -> list[Table]:
        items = self.get(key, (list,), default)
        return [Table(item, f"{self.where}{key}[{i}].") for i, item in enumerate(items)]


def read_class(c: Table) -> ClassSettings:
    """An effect not known counts as unsafe, a group not known as the narrowest."""
    return ClassSettings(
        idempotency=EFFECTS.get(c.text("effect"), Idempotency.NON_IDEMPOTENT),
        latency_objective=c.whole("goal_time"),
        deadline=c.whole("hard_limit"),
        priority_weight=c.number("worth"),
        late_priority_weight=c.number("late_value", 0.0),
        deduplication_scope=GROUPS.get(c.text("group", ""), DeduplicationScope.CELL),
        deduplication_window=c.whole("window", 0),
        stream=c.flag("stream"),
    )


def read_settings(text: bytes) -> Settings:
    """The settings of a CREATE event. A missing or impossible value is a ValueError that names the key."""
    try:
        value = json.loads(text)
    except RecursionError:
        raise SettingsError("settings are not JSON: nested too deep") from None
    except UnicodeDecodeError as e:
        raise SettingsError(f"settings are not JSON: {e.reason}") from None
    except json.JSONDecodeError as e:
        raise SettingsError(f"settings are not JSON: {e}") from None
    return settings_from(value)


def settings_from(value: Any) -> Settings:
    """The same from the parsed object."""
    env = Table(value)
    limits = env.table("policy_limits")
    rules = env.table("rules")
    return Settings(
        classes=tuple(read_class(c) for c in env.tables("classes")),
        tenants=tuple(TenantSettings(quota=t.number("quota_rps", 0.0)) for t in env.tables("tenants", [])),
        tier=env.whole("tier", 0),
        tiers=max(1, len(env.texts("layers"))),
        zone=env.whole("zone", 0),
        instance_count=env.whole("group_size"),
        instance_index=env.whole("self_index", 0),
        tick=env.whole("tick"),
        max_attempts=limits.whole("max_attempts"),
        cancel=limits.flag("cancel"),
        retry_after=limits.flag("retry_after"),
        max_retry_after=limits.whole("max_retry_after", 0),
        max_open=limits.whole("max_open", 20000),
        discovery_polled=env.text("discovery", "") == "ask",
        max_poll_interval=rules.whole("ask_within", 0),
        slow_start_duration=rules.whole("cold"),
        slow_start_min_capacity=rules.number("start_capacity"),
        overload_multiple=rules.number("fall_multiple"),
        overload_duration=rules.whole("tip_after"),
        cross_zone_cost=env.table("deductions", {}).number("cross_zone", 0.0),
        over_quota_weight=env.number("over_share_worth", 1.0),
        report_fields=tuple(COLUMNS.get(f, f) for f in env.table("report", {}).texts("columns")),
    )
