"""A configuration with a key that is missing, unknown or of the wrong kind: one line, or the start it describes."""

import copy
from collections.abc import Iterator
from typing import Any

import pytest
from node_support import config_dict

from harecross.node.config import ConfigError, config_from

ODD: list[Any] = [None, "x", -1, 1e400, float("nan"), [], {}, True, [None], {"a": 1}, 10**30, ...]
LIMITS = {"sockets": 1024, "memory_mb": 64, "cores": 1.0}


def base() -> dict[str, Any]:
    config = copy.deepcopy(config_dict("127.0.0.1:1", limits=LIMITS, known={"instances": []}))
    config["settings"]["tenants"] = [{"name": "a", "quota_rps": 3}]
    return config


def places(value: Any, at: tuple = ()) -> Iterator[tuple]:
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in inner:
        yield (*at, key)
        yield from places(item, (*at, key))


@pytest.mark.parametrize("place", list(places(base())), ids=lambda p: ".".join(map(str, p)))
def test_any_value_under_any_key_is_a_configuration_or_an_error_of_one_line(place):
    for odd in ODD:
        config = base()
        holder: Any = config
        for key in place[:-1]:
            holder = holder[key]
        if odd is ...:
            del holder[place[-1]]
        else:
            holder[place[-1]] = odd
        try:
            config_from(config)
        except ConfigError as e:
            assert str(e)
            assert "\n" not in str(e)


def test_unknown_keys_are_ignored():
    config = base()
    config["more"] = config["settings"]["more"] = config["settings"]["rules"]["more"] = {"a": [1]}
    assert config_from(config).settings == config_from(base()).settings
