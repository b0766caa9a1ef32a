"""Validation of settings."""

import re

import pytest
from support import BASE, IDEMPOTENT, NON_IDEMPOTENT, WITH_IDEMPOTENCY_KEY

from harecross.interface import (
    ClassSettings,
    Idempotency,
    Settings,
)


@pytest.mark.parametrize(
    "key", ["classes", "instance_count", "max_attempts", "tick", "slow_start_min_capacity", "tier"]
)
def test_an_invalid_setting_is_named_with_its_value(key):
    values = {f: getattr(BASE, f) for f in BASE.__dataclass_fields__}
    values[key] = () if key == "classes" else -1
    with pytest.raises(ValueError, match=re.escape(f"invalid value for {key}: {values[key]!r}")):
        Settings(**values)


def test_an_invalid_setting_of_a_class_is_named_with_its_value():
    request_class = ClassSettings(Idempotency.IDEMPOTENT, latency_objective=0, deadline=1, priority_weight=1)
    with pytest.raises(ValueError, match=re.escape("classes[0].latency_objective: 0")):
        Settings(classes=(request_class,))


def test_support_classes_cover_each_idempotency():
    assert [c.idempotency for c in (IDEMPOTENT, WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT)] == list(Idempotency)
