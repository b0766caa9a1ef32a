"""Configurations with a missing, unknown or invalid key: they are accepted, or rejected with an error of one line."""

import copy
from collections.abc import Iterator
from typing import Any

import pytest
from node_support import config_dict

from harecross.node.config import ConfigError, config_from

# `...` stands for a missing key.
UNUSUAL_VALUES: list[Any] = [None, "x", -1, 1e400, float("nan"), [], {}, True, [None], {"a": 1}, 10**30, ...]
LIMITS = {"sockets": 1024, "memory_mb": 64, "cores": 1.0}


def valid_config() -> dict[str, Any]:
    """Returns a valid configuration."""
    config = copy.deepcopy(config_dict("127.0.0.1:1", limits=LIMITS, known={"instances": []}))
    config["settings"]["tenants"] = [{"name": "a", "quota_rps": 3}]
    return config


def paths(value: Any, prefix: tuple = ()) -> Iterator[tuple]:
    """Yields the path of each key and list index below a value."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, item in inner:
        yield (*prefix, key)
        yield from paths(item, (*prefix, key))


@pytest.mark.parametrize("path", list(paths(valid_config())), ids=lambda p: ".".join(map(str, p)))
def test_an_unusual_value_is_accepted_or_an_error_of_one_line(path):
    for unusual in UNUSUAL_VALUES:
        config = valid_config()
        parent: Any = config
        for key in path[:-1]:
            parent = parent[key]
        if unusual is ...:
            del parent[path[-1]]
        else:
            parent[path[-1]] = unusual
        try:
            config_from(config)
        except ConfigError as e:
            assert str(e)
            assert "\n" not in str(e)


def test_unknown_keys_are_ignored():
    config = valid_config()
    config["more"] = config["settings"]["more"] = config["settings"]["rules"]["more"] = {"a": [1]}
    assert config_from(config).settings == config_from(valid_config()).settings
