"""Reads the settings object of a node (JSON) into `Settings`, for the node and for the simulator's adapter.

This is the only module that maps the platform's keys and values to the names of this program.
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
# Load report fields that the platform names differently. Fields that are not listed here keep their names.
REPORT_FIELD_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of HOST:PORT. Raises ValueError for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


class SettingsError(ValueError):
    """The settings cannot be read; the message names the key and the value."""


class SettingsReader:
    """Reads one JSON object of the settings, key by key.

    A key that is absent or null gets the default. A missing key without a default and an invalid value raise
    SettingsError, which names the full key.
    """

    def __init__(self, value: Any, prefix: str = "") -> None:
        if not isinstance(value, dict):
            raise SettingsError(
                f"settings: {prefix.rstrip('.') or 'the top level'} is not an object: {value!r:.60}"
            )
        self.value: dict[str, Any] = value
        self.prefix = prefix

    def get(self, key: str, types: tuple[type, ...], default: Any) -> Any:
        """Returns the value of a key, which must have one of these types. A default of `...` means none."""
        value = self.value.get(key)
        if value is None:
            if default is ...:
                raise SettingsError(f"settings: missing value for {self.prefix}{key}")
            return default
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise self._invalid_value(key, value)
        return value

    def _invalid_value(self, key: str, value: Any) -> SettingsError:
        """Returns the error for an invalid value."""
        return SettingsError(f"settings: invalid value for {self.prefix}{key}: {value!r:.60}")

    def number(self, key: str, default: Any = ...) -> float:
        """Returns a finite number."""
        value = float(self.get(key, (int, float), default))
        if not isfinite(value):
            raise self._invalid_value(key, value)
        return value

    def integer(self, key: str, default: Any = ...) -> int:
        """Returns a number, truncated to an integer."""
        return int(self.number(key, default))

    def boolean(self, key: str) -> bool:
        """Returns a boolean, False for an absent key."""
        return bool(self.get(key, (bool,), False))

    def string(self, key: str, default: Any = ...) -> str:
        """Returns a string."""
        return str(self.get(key, (str,), default))

    def strings(self, key: str) -> list[str]:
        """Returns the items of a list as strings; the list is empty for an absent key."""
        return [str(item) for item in self.get(key, (list,), [])]

    def object(self, key: str, default: Any = ...) -> SettingsReader:
        """Returns a reader of a nested object."""
        return SettingsReader(self.get(key, (dict,), default), f"{self.prefix}{key}.")

    def objects(self, key: str, default: Any = ...) -> list[SettingsReader]:
        """Returns a reader for each object of a list."""
        items = self.get(key, (list,), default)
        return [SettingsReader(item, f"{self.prefix}{key}[{i}].") for i, item in enumerate(items)]


def parse_class(reader: SettingsReader) -> ClassSettings:
    """Returns the settings of a request class.

    An unknown effect is treated as not idempotent, and an unknown group as the narrowest deduplication scope.
    """
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
    """Returns the settings in a JSON text.

    Raises ValueError, which names the key, for a missing or invalid value.
    """
    try:
        value = json.loads(text)
    except RecursionError:
        raise SettingsError("settings are not JSON: nested too deeply") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"settings are not JSON: {error.reason}") from None
    except json.JSONDecodeError as error:
        raise SettingsError(f"settings are not JSON: {error}") from None
    return parse_settings(value)


def parse_settings(value: Any) -> Settings:
    """Returns the settings in a parsed JSON object.

    Raises ValueError, which names the key, for a missing or invalid value.
    """
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
