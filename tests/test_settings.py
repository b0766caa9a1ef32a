"""Settings that cannot be."""

import pytest
from support import BASE, KEYED, SAFE, UNSAFE

from harecross.interface import (
    ClassSettings,
    Idempotency,
    Settings,
)


@pytest.mark.parametrize(
    "key", ["classes", "instance_count", "max_attempts", "tick", "slow_start_min_capacity", "tier"]
)
def test_impossible_settings_name_their_key(key):
    values = {f: getattr(BASE, f) for f in BASE.__dataclass_fields__}
    values[key] = () if key == "classes" else -1
    with pytest.raises(ValueError, match=key):
        Settings(**values)
    with pytest.raises(ValueError, match="latency_objective"):
        Settings(
            classes=(
                ClassSettings(Idempotency.IDEMPOTENT, latency_objective=0, deadline=1, priority_weight=1),
            )
        )


def test_support_classes_cover_each_idempotency():
    assert [c.idempotency for c in (SAFE, KEYED, UNSAFE)] == list(Idempotency)
