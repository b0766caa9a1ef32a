"""The node's configuration file, which is read at the start and again on SIGHUP."""

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
    """The node cannot use its configuration. The message names the file or the key."""


@dataclass(frozen=True)
class Config:
    """The node's configuration.

    Attributes:
        sockets: The maximum number of descriptors.
        memory: The memory limit in bytes.
        connect_timeout: The timeout of a connection to a server, in microseconds.
        idle_time: The time in microseconds after which an idle connection to a server is closed.
        columns: The fields of load reports, in order; empty if servers send none.
        kinds: The names of the machine types.
        known: The endpoint list that is used until discovery sends its own; None if there is none.
        raw: The JSON object that the configuration was read from.
    """

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int
    connect_timeout: int
    idle_time: int
    columns: Sequence[str]
    classes: Sequence[str]
    tenants: Sequence[str]
    zones: Sequence[str]
    kinds: Sequence[str]
    settings: Settings
    known: Any
    raw: dict[str, Any]


def parse_address_key(raw: dict[str, Any], key: str) -> tuple[str, int]:
    """Returns the address under a key. Raises ConfigError if it is missing or malformed."""
    value = raw.get(key)
    if not isinstance(value, str):
        raise ConfigError(f"{key} is not set")
    try:
        return parse_address(value)
    except ValueError:
        raise ConfigError(f"{key}: {value!r} is not an address of the form HOST:PORT") from None


def config_from(raw: Any) -> Config:
    """Returns the configuration in a parsed JSON value. Raises ConfigError if it cannot be used."""
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not a JSON object")
    try:
        settings = parse_settings(raw.get("settings"))
        settings_reader = SettingsReader(raw.get("settings"))
        policy_limits = settings_reader.object("policy_limits")
        report = settings_reader.object("report", {})
        return Config(
            name=str(raw.get("name") or "node"),
            listen=parse_address_key(raw, "listen"),
            admin=parse_address_key(raw, "admin") if raw.get("admin") else None,
            discovery=parse_address_key(raw, "discovery"),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=SettingsReader(raw).object("limits", {}).integer("sockets", DEFAULT_MAX_SOCKETS),
            memory=SettingsReader(raw).object("limits", {}).integer("memory_mb", DEFAULT_MEMORY_MB) << 20,
            connect_timeout=policy_limits.integer("connect_timeout", DEFAULT_CONNECT_TIMEOUT_US),
            idle_time=policy_limits.integer("conn_idle", DEFAULT_IDLE_TIMEOUT_US),
            columns=report.strings("columns") if report.string("how", "off") != "off" else [],
            classes=[c.string("name") for c in settings_reader.objects("classes")],
            tenants=[t.string("name") for t in settings_reader.objects("tenants", [])],
            zones=settings_reader.strings("dcs"),
            kinds=settings_reader.strings("kinds"),
            settings=settings,
            known=raw.get("known"),
            raw=raw,
        )
    except ValueError as error:
        raise ConfigError(str(error)) from None


def read_config(*, reload: bool = False) -> Config:
    """Reads the file that LB_CONFIG names. Raises ConfigError if it cannot be used.

    At the start, the environment variables for addresses override the file. On a reload only the file counts,
    because it may name a new discovery, which the variable would override.
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
    if isinstance(raw, dict) and not reload:
        for key, variable in ADDRESS_VARIABLES.items():
            raw[key] = os.environ.get(variable) or raw.get(key)
    try:
        return config_from(raw)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from None


def bind_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a socket that is bound to the address and not listening yet. Raises OSError if it cannot be bound."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_listener() -> socket.socket | None:
    """Returns the clients' listening socket that the parent process passed as LB_INHERITED_FD, or None if it is unset.

    Raises ConfigError if the descriptor is not a listening socket.
    """
    text = os.environ.get("LB_INHERITED_FD")
    if not text:
        return None
    try:
        sock = socket.socket(fileno=int(text))
    except (ValueError, OSError) as error:
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not an open socket: {error}") from None
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not a listening socket")
    return sock
