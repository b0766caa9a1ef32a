"""Entry point of `python -m harecross.node`."""

from __future__ import annotations

import os
import sys
from dataclasses import replace

import uvloop

from harecross.node.config import Config, ConfigError, inherited_listener, read_config
from harecross.node.node import Node
from harecross.node.operators_file import options_from_operators_file
from harecross.node.options import NodeOptions
from harecross.platform.log import log_line

CONFIGURATION_ERROR_STATUS = 2


async def run_node(config: Config, options: NodeOptions) -> None:
    """Runs one node until it has shut down."""
    await Node(config, options).run()


def main() -> int:
    """Runs a node in this process and returns the exit status."""
    try:
        listener = inherited_listener()
        config = read_config()
        options = replace(
            options_from_operators_file(),
            inherited_listener=listener,
            state_folder=os.environ.get("TMPDIR") or None,
        )
        uvloop.run(run_node(config, options))
    except ConfigError as error:
        log_line(str(error))
        return CONFIGURATION_ERROR_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
