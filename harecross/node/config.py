"""The configuration: read at the start, and again on SIGHUP."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from harecross.interface import Settings
from harecross.settings import Table, address, settings_from


class ConfigError(Exception):
    """A configuration that the node cannot work with."""


@dataclass(frozen=True)
class Config:
    """What the node is told. `raw` is the object it was read from."""

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: int  # bytes
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


def address_in(raw: dict[str, Any], key: str) -> tuple[str, int]:
    value = raw.get(key)
    if not isinstance(value, str):
        raise ConfigError(f"{key} is not set")
    try:
        return address(value)
    except ValueError:
        raise ConfigError(f"{key}: {value!r} is not an address") from None


def config_from(raw: Any) -> Config:
    """The configuration in a parsed object; BadConfig tells what is wrong with it."""
    if not isinstance(raw, dict):
        raise ConfigError("not an object")
    try:
        settings = settings_from(raw.get("settings"))
        env = Table(raw.get("settings"))
        limits = env.table("policy_limits")
        report = env.table("report", {})
        return Config(
            name=str(raw.get("name") or "node"),
            listen=address_in(raw, "listen"),
            admin=address_in(raw, "admin") if raw.get("admin") else None,
            discovery=address_in(raw, "discovery"),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=Table(raw).table("limits", {}).whole("sockets", 1024),
            memory=Table(raw).table("limits", {}).whole("memory_mb", 256) << 20,
            connect_timeout=limits.whole("connect_timeout", 250_000),
            idle_time=limits.whole("conn_idle", 15_000_000),
            columns=report.texts("columns") if report.text("how", "off") != "off" else [],
            classes=[c.text("name") for c in env.tables("classes")],
            tenants=[t.text("name") for t in env.tables("tenants", [])],
            zones=env.texts("dcs"),
            kinds=env.texts("kinds"),
            settings=settings,
            known=raw.get("known"),
            raw=raw,
        )
    except ValueError as e:
        raise ConfigError(str(e)) from None


def read_config(again: bool = False) -> Config:
    """The file that LB_CONFIG names.

    At the start the variables go before the file; when it is read again only the file counts.
    Guards against: a file that names a new discovery is overruled by the variable the process began with.
    """
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as f:
            raw = json.load(f)
    except OSError as e:
        raise ConfigError(f"{path}: {e.strerror}") from None
    except (ValueError, RecursionError) as e:
        raise ConfigError(f"{path}: not JSON: {e}") from None
    if isinstance(raw, dict) and not again:
        for key, name in (("listen", "LB_LISTEN"), ("discovery", "LB_DISCOVERY"), ("admin", "LB_ADMIN")):
            raw[key] = os.environ.get(name) or raw.get(key)
    try:
        return config_from(raw)
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None


def bind_socket(address: tuple[str, int]) -> socket.socket:
    """A socket at the address, not listening yet. OSError where the address is not to be had."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_socket() -> socket.socket | None:
    """The clients' listening socket where LB_INHERITED_FD names one that the parent holds."""
    text = os.environ.get("LB_INHERITED_FD")
    if not text:
        return None
    try:
        sock = socket.socket(fileno=int(text))
    except (ValueError, OSError) as e:
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is not an open socket: {e}") from None
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"LB_INHERITED_FD: {text!r} is a socket that does not listen")
    return sock
