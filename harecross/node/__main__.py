"""Entry point of `python -m harecross.node`."""

from __future__ import annotations

import os
import sys
from contextlib import suppress

from harecross.node.config import Config, ConfigError, inherited_listener, read_config
from harecross.node.handover_store import HandoverStore
from harecross.platform.log import log_line

CONFIGURATION_ERROR_STATUS = 2


def register_process(config: Config) -> HandoverStore | None:
    """Registers this process with the others of its node; returns None if there can be none.

    A failure is reported when the node starts and tries again.
    """
    if config.admin is None:
        return None
    store = HandoverStore(os.environ.get("TMPDIR") or None, config.name)
    with suppress(OSError):
        store.acquire_process_lock()
    return store


def main() -> int:
    """Runs a node in this process and returns the exit status."""
    store = None
    try:
        listener = inherited_listener()
        config = read_config()
        store = register_process(config)
        # A running process makes room for this one, whose size comes with the rest of the program.
        from harecross.node.launch import run_node

        run_node(config, listener, store)
    except ConfigError as error:
        log_line(str(error))
        if store is not None:
            store.release_process_lock()
        return CONFIGURATION_ERROR_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
