"""Builds a node from its configuration and the operators' file, and runs it."""

from __future__ import annotations

import os
import socket
from dataclasses import replace

import uvloop

from harecross.node.config import Config
from harecross.node.handover_store import HandoverStore
from harecross.node.node import Node
from harecross.node.operators_file import options_from_operators_file
from harecross.node.options import NodeOptions


async def serve(config: Config, options: NodeOptions) -> None:
    """Runs one node until it has shut down."""
    await Node(config, options).run()


def run_node(config: Config, listener: socket.socket | None, store: HandoverStore | None) -> None:
    """Runs a node until it has shut down. Raises ConfigError if it cannot start.

    `store` is the one in which this process is registered already; None if it is not.
    """
    options = replace(
        options_from_operators_file(),
        inherited_listener=listener,
        state_folder=os.environ.get("TMPDIR") or None,
        handover_store=store,
    )
    uvloop.run(serve(config, options))
