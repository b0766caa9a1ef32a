"""Reloads the configuration on SIGHUP."""

from __future__ import annotations

import os

from harecross.node.config import Config, ConfigError, read_config
from harecross.node.membership import Membership
from harecross.node.operators_file import read_operators_file
from harecross.node.options import AdditionalSources
from harecross.platform.log import log_line

# Keys whose changes are not logged as pending: they take effect at once, or a running node does not use them.
RELOADABLE_KEYS = ("discovery", "known", "seed")


def reload_configuration(running: Config, membership: Membership) -> None:
    """Reads the configuration again and logs the result.

    Only `discovery`, and the table `[sources]` of the operators' file, can change while the node runs. A file that
    cannot be used changes nothing.
    """
    try:
        config = read_config(reload=True)
    except ConfigError as error:
        log_line(f"configuration not changed: {error}")
        return
    migrates = membership.discovery.migrate(config.discovery)
    text = "configuration reloaded: " + (
        "migrating to another discovery" if migrates else "discovery unchanged"
    )
    pending = changed_keys(running, config)
    if pending:
        text += f"; changes to {', '.join(sorted(pending))} take effect at the next start"
    if membership.additional_sources is not None:
        text += reload_sources(membership, membership.additional_sources)
    log_line(text)


def changed_keys(running: Config, config: Config) -> list[str]:
    """Returns the changed keys whose new value takes effect only at the next start."""
    return [
        key
        for key, value in config.raw.items()
        if key not in RELOADABLE_KEYS and value != running.raw.get(key)
    ]


def reload_sources(membership: Membership, additional_sources: AdditionalSources) -> str:
    """Reads the table `[sources]` of the operators' file again. Returns the result as text for the log line."""
    from harecross.sources.manager import SourceManager

    assert isinstance(additional_sources, SourceManager)
    try:
        operators_file = read_operators_file(os.environ.get("HARECROSS_CONFIG", ""))
        additional_sources.configure(operators_file.sources)
    except (ConfigError, ValueError) as error:
        return f"; sources not changed: {error}"
    if additional_sources.includes_watch and membership.discovery.current is None:
        membership.discovery.subscribe()
    elif not additional_sources.includes_watch:
        membership.discovery.unsubscribe()
    return f"; {len(additional_sources.membership.reconciler.sources)} sources"
