"""The configuration file: read at the start, and again on SIGHUP."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from harecross.interface import Settings
from harecross.settings import SettingsReader, parse_address, parse_settings

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 256
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_IDLE_TIMEOUT_US = 15_000_000
ADDRESS_VARIABLES = {"listen": "LB_LISTEN", "discovery": "LB_DISCOVERY", "admin": "LB_ADMIN"}


class ConfigError(Exception):
    """A configuration that the node cannot use; the text names the file or the key."""


@dataclass(frozen=True)
class Config:
    """The node's configuration. `raw` is the JSON object it was read from."""

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int  # bytes
    connect_timeout: int  # microseconds
    idle_time: int  # microseconds
    columns: Sequence[str]
    classes: Sequence[str]
    tenants: Sequence[str]
    zones: Sequence[str]
    kinds: Sequence[str]
    settings: Settings
    known: Any
    raw: dict[str, Any]


def address_in(raw: dict[str, Any], key: str) -> tuple[str, int]:
    """The address under a key. ConfigError if there is none."""
    value = raw.get(key)
    if not isinstance(value, str):
        raise ConfigError(f"{key} is not set")
    try:
        return parse_address(value)
    except ValueError:
        raise ConfigError(f"{key}: {value!r} is not an address") from None


def config_from(raw: Any) -> Config:
    """The configuration in a parsed JSON value. ConfigError if it cannot be used."""
    if not isinstance(raw, dict):
        raise ConfigError("not an object")
    try:
        settings = parse_settings(raw.get("settings"))
        environment = SettingsReader(raw.get("settings"))
        policy_limits = environment.object("policy_limits")
        report = environment.object("report", {})
        return Config(
            name=str(raw.get("name") or "node"),
            listen=address_in(raw, "listen"),
            admin=address_in(raw, "admin") if raw.get("admin") else None,
            discovery=address_in(raw, "discovery"),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=SettingsReader(raw).object("limits", {}).integer("sockets", DEFAULT_MAX_SOCKETS),
            memory=SettingsReader(raw).object("limits", {}).integer("memory_mb", DEFAULT_MEMORY_MB) << 20,
            connect_timeout=policy_limits.integer("connect_timeout", DEFAULT_CONNECT_TIMEOUT_US),
            idle_time=policy_limits.integer("conn_idle", DEFAULT_IDLE_TIMEOUT_US),
            columns=report.strings("columns") if report.string("how", "off") != "off" else [],
            classes=[c.string("name") for c in environment.objects("classes")],
            tenants=[t.string("name") for t in environment.objects("tenants", [])],
            zones=environment.strings("dcs"),
            kinds=environment.strings("kinds"),
            settings=settings,
            known=raw.get("known"),
            raw=raw,
        )
    except ValueError as error:
        raise ConfigError(str(error)) from None


def read_config(*, again: bool = False) -> Config:
    """The configuration in the file that LB_CONFIG names. ConfigError if it cannot be used.

    At the start the variables for addresses override the file. When it is read `again` only the file counts, because
    it may name a new discovery that the variable would override.
    """
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if isinstance(raw, dict) and not again:
        for key, variable in ADDRESS_VARIABLES.items():
            raw[key] = os.environ.get(variable) or raw.get(key)
    try:
        return config_from(raw)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def bind_socket(address: tuple[str, int]) -> socket.socket:
    """A socket bound to the address, not listening yet. OSError if the address cannot be bound."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_listener() -> socket.socket | None:
    """The clients' listening socket, if LB_INHERITED_FD names one of the parent. ConfigError if it is none."""
    text = os.environ.get("LB_INHERITED_FD")
    if not text:
        return None
    try:
        sock = socket.socket(fileno=int(text))
    except (ValueError, OSError) as error:
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not an open socket: {error}") from None
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is a socket that does not listen")
    return sock
