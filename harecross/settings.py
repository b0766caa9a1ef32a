"""Reads the settings object of a node (JSON) into `Settings`, for the node and for the simulator's adapter.

The keys and words of the platform are mapped to the program's own names here and nowhere else.
"""

from __future__ import annotations

import json
from math import isfinite
from typing import Any

from harecross.interface import ClassSettings, DeduplicationScope, Idempotency, Settings, TenantSettings

MAX_PORT = 65535
IDEMPOTENCY_BY_EFFECT = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
SCOPE_BY_GROUP = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
REPORT_FIELD_NAMES = {  # of load reports; others keep their names
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def parse_address(text: str) -> tuple[str, int]:
    """HOST:PORT as host and port. ValueError for anything else."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


class SettingsError(ValueError):
    """Settings that cannot be read, with the key and its value."""


class SettingsReader:
    """Reads one object of the settings key by key.

    A key that is absent or null takes the default; without one, it is a SettingsError, as is an impossible
    value. Errors name the full key.
    """

    def __init__(self, value: Any, prefix: str = "") -> None:
        if not isinstance(value, dict):
            raise SettingsError(
                f"settings: {prefix.rstrip('.') or 'the whole'} is not an object: {value!r:.60}"
            )
        self.value: dict[str, Any] = value
        self.prefix = prefix

    def get(self, key: str, types: tuple[type, ...], default: Any) -> Any:
        """The value of one of these types."""
        value = self.value.get(key)
        if value is None:
            if default is ...:
                raise SettingsError(f"settings: missing value for {self.prefix}{key}")
            return default
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise self._impossible(key, value)
        return value

    def _impossible(self, key: str, value: Any) -> SettingsError:
        """The error for a value that cannot be."""
        return SettingsError(f"settings: impossible value for {self.prefix}{key}: {value!r:.60}")

    def number(self, key: str, default: Any = ...) -> float:
        """A finite number."""
        value = float(self.get(key, (int, float), default))
        if not isfinite(value):
            raise self._impossible(key, value)
        return value

    def integer(self, key: str, default: Any = ...) -> int:
        """A number without its fraction."""
        return int(self.number(key, default))

    def boolean(self, key: str) -> bool:
        """True or false; false where it is absent."""
        return bool(self.get(key, (bool,), False))

    def string(self, key: str, default: Any = ...) -> str:
        """A string."""
        return str(self.get(key, (str,), default))

    def strings(self, key: str) -> list[str]:
        """A list, its items as strings; empty where it is absent."""
        return [str(item) for item in self.get(key, (list,), [])]

    def object(self, key: str, default: Any = ...) -> SettingsReader:
        """A nested object."""
        return SettingsReader(self.get(key, (dict,), default), f"{self.prefix}{key}.")

    def objects(self, key: str, default: Any = ...) -> list[SettingsReader]:
        """A list of nested objects."""
        items = self.get(key, (list,), default)
        return [SettingsReader(item, f"{self.prefix}{key}[{i}].") for i, item in enumerate(items)]


def parse_class(reader: SettingsReader) -> ClassSettings:
    """A request class. An unknown effect counts as not idempotent, an unknown group as the narrowest scope."""
    return ClassSettings(
        idempotency=IDEMPOTENCY_BY_EFFECT.get(reader.string("effect"), Idempotency.NON_IDEMPOTENT),
        latency_objective=reader.integer("goal_time"),
        deadline=reader.integer("hard_limit"),
        priority_weight=reader.number("worth"),
        late_priority_weight=reader.number("late_value", 0.0),
        deduplication_scope=SCOPE_BY_GROUP.get(reader.string("group", ""), DeduplicationScope.CELL),
        deduplication_window=reader.integer("window", 0),
        stream=reader.boolean("stream"),
    )


def parse_settings_json(text: bytes) -> Settings:
    """The settings of a JSON text. ValueError, with the key, for a missing or impossible value."""
    try:
        value = json.loads(text)
    except RecursionError:
        raise SettingsError("settings are not JSON: nested too deep") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"settings are not JSON: {error.reason}") from None
    except json.JSONDecodeError as error:
        raise SettingsError(f"settings are not JSON: {error}") from None
    return parse_settings(value)


def parse_settings(value: Any) -> Settings:
    """The settings of a parsed JSON object. ValueError, with the key, for a missing or impossible value."""
    reader = SettingsReader(value)
    limits = reader.object("policy_limits")
    rules = reader.object("rules")
    tenants = reader.objects("tenants", [])
    columns = reader.object("report", {}).strings("columns")
    return Settings(
        classes=tuple(parse_class(item) for item in reader.objects("classes")),
        tenants=tuple(TenantSettings(quota=tenant.number("quota_rps", 0.0)) for tenant in tenants),
        tier=reader.integer("tier", 0),
        tiers=max(1, len(reader.strings("layers"))),
        zone=reader.integer("zone", 0),
        instance_count=reader.integer("group_size"),
        instance_index=reader.integer("self_index", 0),
        tick=reader.integer("tick"),
        max_attempts=limits.integer("max_attempts"),
        cancel=limits.boolean("cancel"),
        retry_after=limits.boolean("retry_after"),
        max_retry_after=limits.integer("max_retry_after", 0),
        max_open=limits.integer("max_open", 20000),
        discovery_polled=reader.string("discovery", "") == "ask",
        max_poll_interval=rules.integer("ask_within", 0),
        slow_start_duration=rules.integer("cold"),
        slow_start_min_capacity=rules.number("start_capacity"),
        overload_multiple=rules.number("fall_multiple"),
        overload_duration=rules.integer("tip_after"),
        cross_zone_cost=reader.object("deductions", {}).number("cross_zone", 0.0),
        over_quota_weight=reader.number("over_share_worth", 1.0),
        report_fields=tuple(REPORT_FIELD_NAMES.get(column, column) for column in columns),
    )
